// Simulated network, store and clock of many entry processes.
#include "platformgroup.h"

#include "samples.h"

#include <algorithm>

namespace endivewharf {

namespace {

constexpr std::int64_t UnixMsAtZero = 1'700'000'000'000;
/// Duration of a call to the store, in ms.
constexpr Millis StoreCallTime = 50;
/// Duration of a call to the store by a process that it answers slowly, in ms.
constexpr Millis SlowStoreCallTime = 800;
/// Time after which a call to an unreachable store fails, in ms.
constexpr Millis StoreCallTimeout = 1500;
/// The same for a read of the host list, which does not wait for records.
constexpr Millis HostReadTimeout = 900;

} // namespace

PlatformGroup::PlatformGroup(int Size, std::string Config) {
  publishConfig(std::move(Config));
  Processes_.resize(static_cast<std::size_t>(Size));
  for (int I = 0; I < Size; ++I) {
    Processes_[I].StartAt_ = Now_ + static_cast<Millis>(drawRandom() % 300);
    Processes_[I].Running_ = false;
  }
}

std::uint64_t PlatformGroup::drawRandom() {
  RandomState_ ^= RandomState_ << 13;
  RandomState_ ^= RandomState_ >> 7;
  RandomState_ ^= RandomState_ << 17;
  return RandomState_;
}

void PlatformGroup::startProcess(int I) {
  Process &P = Processes_[I];
  Settings ProcessSettings;
  ProcessSettings.Name_ = processName(I);
  ProcessSettings.DataCentre_ = ProcessSettings.Zone_ =
      std::string(1, static_cast<char>('a' + I % DataCentreCount));
  ProcessSettings.PeerListen_ = {"10.0.0." + std::to_string(I), 7000};
  ProcessSettings.RelayListen_ = {"10.0.0." + std::to_string(I), RelayPort};
  ProcessSettings.StoreUrl_ = "http://10.9.9.9:1";
  ProcessSettings.CloudUrl_ = "http://10.9.9.8:1";
  ProcessSettings.Limits_.DrainTimeout_ = 8000;
  ProcessSettings.Bounds_.QuotaExcess_ = 0.1;
  ProcessSettings.Bounds_.QuotaSlack_ = QuotaSlackTokens_;
  ProcessSettings.Bounds_.LeavingLimit_ = KnowledgeLimit_;
  ProcessSettings.Bounds_.ConfigLimit_ = KnowledgeLimit_;
  ProcessSettings.Bounds_.ColdFactor_ = ColdFactor_;
  ProcessSettings.Bounds_.ColdSlack_ = ColdSlack_;
  P.State_ = makeState(ProcessSettings, P.Incarnation_);
  P.HostReads_ = 0;
  ++P.HostReadRace_;
  P.Running_ = true;
  ProcessByAddress_["10.0.0." + std::to_string(I) + ":7000"] = I;
}

void PlatformGroup::reduceEvent(int I, EventBody Body) {
  for (const Effect &E :
       reduce(Processes_[I].State_,
              {Now_, UnixMsAtZero + Now_, drawRandom(), std::move(Body)}))
    executeEffect(I, E);
}

bool PlatformGroup::canReachStore(int I) const {
  return ProcessesWithoutStore_.count(I) == 0 &&
         MutedProcesses_.count(I) == 0 && RefusedProcesses_.count(I) == 0 &&
         IsolatedProcesses_.count(I) == 0 &&
         IsolatedDataCentres_.count(I % DataCentreCount) == 0;
}

Millis PlatformGroup::storeCallTime(int I) const {
  return SlowStoreProcesses_.count(I) > 0 ? SlowStoreCallTime : StoreCallTime;
}

Millis PlatformGroup::failedCallTime(int I, Millis Timeout) const {
  return RefusedProcesses_.count(I) > 0 ? StoreCallTime : Timeout;
}

bool PlatformGroup::canReach(int From, int To) const {
  if (MutedProcesses_.count(From) > 0)
    return false;
  if (IsolatedProcesses_.count(From) > 0 || IsolatedProcesses_.count(To) > 0)
    return false;
  const int A = From % DataCentreCount;
  const int B = To % DataCentreCount;
  const auto IsCut = [&](int DataCentre) {
    return IsolatedDataCentres_.count(DataCentre) > 0 ||
           SeparatedDataCentres_.count(DataCentre) > 0;
  };
  return A == B || (!IsCut(A) && !IsCut(B));
}

void PlatformGroup::scheduleEvent(Millis Delay, int I,
                                  std::function<EventBody()> Body) {
  const std::uint64_t Incarnation = Processes_[I].Incarnation_;
  ScheduledTasks_.emplace(Now_ + Delay,
                          [this, I, Incarnation, Body = std::move(Body)] {
                            Process &P = Processes_[I];
                            if (!P.Running_ || P.Incarnation_ != Incarnation)
                              return;
                            if (Now_ < P.FrozenUntil_)
                              scheduleEvent(P.FrozenUntil_ - Now_, I, Body);
                            else
                              reduceEvent(I, Body());
                          });
}

void PlatformGroup::sendMessage(int I, const std::string &Peer,
                                const PeerMessage &Message) {
  ++MessageCount_;
  const auto ByAddress = ProcessByAddress_.find(Peer);
  const int To = ByAddress != ProcessByAddress_.end()
                     ? ByAddress->second
                     : std::stoi(Peer.substr(Peer.find('-') + 1));
  const bool Lost = static_cast<double>(drawRandom() % 1000) <
                    PeerMessageLossFraction_ * 1000;
  if (Lost || !canReach(I, To) || !Processes_[To].Running_)
    return;
  const PeerEnvelope Envelope{Processes_[I].State_.Self_, Message};
  scheduleEvent(MessageDelay, To,
                [Envelope] { return PeerReceived{Envelope}; });
}

void PlatformGroup::scheduleNextStep(int I, std::function<void()> Callback) {
  const std::uint64_t Incarnation = Processes_[I].Incarnation_;
  ScheduledTasks_.emplace(
      Now_ + StepDuration,
      [this, I, Incarnation, Callback = std::move(Callback)] {
        if (Processes_[I].Running_ && Processes_[I].Incarnation_ == Incarnation)
          Callback();
      });
}

void PlatformGroup::readControlLog(int I, const ReadLog &E, Millis Until) {
  if (!canReachStore(I)) {
    scheduleEvent(failedCallTime(I, StoreCallTimeout), I,
                  [] { return LogReadFailed{}; });
    return;
  }
  const auto &Log = Store_.ControlLog_;
  const LogOffset End =
      makePosition(Era_, static_cast<std::int64_t>(Log.size()));
  if (E.FromOffset_ >= End && Now_ < Until) {
    scheduleNextStep(I, [this, I, E, Until] { readControlLog(I, E, Until); });
    return;
  }
  // In a new era all records are read again.
  LogRead Page{0, End, true, {}};
  for (LogOffset Offset = std::max(E.FromOffset_, makePosition(Era_, 0));
       Offset < End; ++Offset)
    Page.Entries_.push_back(
        {Offset, Log[static_cast<std::size_t>(offsetIn(Offset))]});
  scheduleEvent(storeCallTime(I), I, [Page] { return Page; });
}

void PlatformGroup::readOperatorLog(int I, const ReadOperatorLog &E,
                                    Millis Until) {
  if (!canReachStore(I)) {
    scheduleEvent(failedCallTime(I, StoreCallTimeout), I,
                  [] { return OperatorLogReadFailed{}; });
    return;
  }
  const auto &Log = Store_.OperatorLog_;
  const LogOffset End =
      makePosition(Era_, static_cast<std::int64_t>(Log.size()));
  if (E.FromOffset_ >= End && Now_ < Until) {
    scheduleNextStep(I, [this, I, E, Until] { readOperatorLog(I, E, Until); });
    return;
  }
  OperatorLogRead Page{End, {}, false, Now_};
  for (LogOffset Offset = std::max(E.FromOffset_, makePosition(Era_, 0));
       Offset < End; ++Offset)
    Page.Entries_.push_back(
        {Offset, Log[static_cast<std::size_t>(offsetIn(Offset))]});
  scheduleEvent(storeCallTime(I), I, [Page] { return Page; });
}

void PlatformGroup::appendToControlLog(int I, const AppendToLog &E) {
  if (!canReachStore(I)) {
    scheduleEvent(failedCallTime(I, StoreCallTimeout), I, [E] {
      return AppendEnded{E.AppendId_, false};
    });
    return;
  }
  auto &Log = Store_.ControlLog_;
  const bool Refused =
      E.ExpectedOffset_ != NoOffset &&
      E.ExpectedOffset_ !=
          makePosition(Era_, static_cast<std::int64_t>(Log.size()));
  if (!Refused)
    Log.insert(Log.end(), E.Records_.begin(), E.Records_.end());
  scheduleEvent(storeCallTime(I), I, [E, Refused] {
    return AppendEnded{E.AppendId_, !Refused, Refused};
  });
}

void PlatformGroup::readHosts(int I, bool Second) {
  Process &P = Processes_[I];
  // As the client of the store does: a second read beside a silent one.
  if (P.HostReads_ != (Second ? 1 : 0))
    return;
  ++P.HostReads_;
  ++StoreCallCount_;
  const bool Reachable = canReachStore(I);
  const Millis Duration =
      Reachable ? storeCallTime(I) : failedCallTime(I, HostReadTimeout);
  // The answer is what the store held when it was asked.
  HostsRead Read{Store_.Hosts_, makePosition(Era_, Store_.HostsEnd_), Now_};
  const std::uint64_t Incarnation = P.Incarnation_;
  ScheduledTasks_.emplace(Now_ + Duration, [this, I, Incarnation, Reachable,
                                            Race = P.HostReadRace_,
                                            Read = std::move(Read)] {
    endHostRead(I, Incarnation, Race, Reachable ? &Read : nullptr);
  });
}

void PlatformGroup::endHostRead(int I, std::uint64_t Incarnation, int Race,
                                const HostsRead *Read) {
  Process &P = Processes_[I];
  if (!P.Running_ || P.Incarnation_ != Incarnation || P.HostReadRace_ != Race)
    return;
  --P.HostReads_;
  if (Read == nullptr) {
    if (P.HostReads_ == 0)
      scheduleEvent(0, I, [] { return HostsReadFailed{}; });
    return;
  }
  ++P.HostReadRace_;
  P.HostReads_ = 0;
  scheduleEvent(0, I, [Answer = *Read] { return Answer; });
}

void PlatformGroup::answerAttempt(int I, const StartAttempt &Start) {
  const auto Waiting = WaitingTokens_.find(Start.RequestId_);
  if (Waiting != WaitingTokens_.end()) {
    StartedTokens_[Start.Account_] += Waiting->second;
    WaitingTokens_.erase(Waiting);
  }
  scheduleEvent(StepDuration, I, [Id = Start.Attempt_] {
    return ServiceAnswer{Id, 200, "", "ok", {}};
  });
}

void PlatformGroup::executeEffect(int I, const Effect &E) {
  if (EffectObserver_)
    EffectObserver_(I, E);
  if (const auto *Start = std::get_if<StartAttempt>(&E)) {
    if (!AttemptHandler_ || !AttemptHandler_(I, *Start))
      answerAttempt(I, *Start);
  } else if (const auto *Refusal = std::get_if<SendError>(&E)) {
    const auto Waiting = WaitingTokens_.find(Refusal->RequestId_);
    if (Waiting != WaitingTokens_.end()) {
      RefusedTokens_ += Waiting->second;
      WaitingTokens_.erase(Waiting);
    }
  } else if (const auto *Send = std::get_if<SendToPeer>(&E)) {
    sendMessage(I, Send->Peer_, Send->Message_);
  } else if (const auto *Broadcast = std::get_if<SendToPeers>(&E)) {
    for (const std::string &Peer : Broadcast->Peers_)
      sendMessage(I, Peer, Broadcast->Message_);
  } else if (const auto *ControlRead = std::get_if<ReadLog>(&E)) {
    ++StoreCallCount_;
    readControlLog(I, *ControlRead, Now_ + ControlRead->MaxWait_);
  } else if (const auto *OperatorRead = std::get_if<ReadOperatorLog>(&E)) {
    ++StoreCallCount_;
    readOperatorLog(I, *OperatorRead, Now_ + OperatorRead->MaxWait_);
  } else if (const auto *Append = std::get_if<AppendToLog>(&E)) {
    ++StoreCallCount_;
    appendToControlLog(I, *Append);
  } else if (const auto *Hosts = std::get_if<ReadHosts>(&E)) {
    readHosts(I, Hosts->Second_);
  } else if (const auto *Usage = std::get_if<ReportUsage>(&E)) {
    ++ControlCallCount_;
    ReportedUsage_[Usage->Window_] = Usage->Counts_;
    scheduleEvent(StoreCallTime, I, [Window = Usage->Window_] {
      return UsageReportAnswered{Window, true};
    });
  } else if (const auto *Scale = std::get_if<ScaleHosts>(&E)) {
    ++ControlCallCount_;
    scheduleEvent(StoreCallTime, I, [Id = Scale->ScaleRequestId_] {
      return ScaleAnswered{Id, true, false};
    });
  }
}

void PlatformGroup::runFor(Millis Time, const std::function<void()> &EachStep) {
  for (const Millis End = Now_ + Time; Now_ < End;) {
    Now_ += StepDuration;
    ++Store_.HostsEnd_; // Each heartbeat of a host writes a record.
    while (!ScheduledTasks_.empty() && ScheduledTasks_.begin()->first <= Now_) {
      const std::function<void()> Next =
          std::move(ScheduledTasks_.begin()->second);
      ScheduledTasks_.erase(ScheduledTasks_.begin());
      Next();
    }
    for (int I = 0; I < size(); ++I) {
      Process &P = Processes_[I];
      if (!P.Running_ && P.StartAt_ != 0 && Now_ >= P.StartAt_)
        startProcess(I);
      if (P.Running_ && Now_ >= P.FrozenUntil_)
        reduceEvent(I, Tick{});
    }
    EachStep();
  }
}

void PlatformGroup::killProcess(int I, Millis RestartAfter) {
  Process &P = Processes_[I];
  P.Running_ = false;
  ++P.Incarnation_;
  P.StartAt_ = RestartAfter == 0 ? 0 : Now_ + RestartAfter;
}

void PlatformGroup::freezeProcess(int I, Millis Time) {
  Processes_[I].FrozenUntil_ = Now_ + Time;
}

void PlatformGroup::appendOperatorRecord(
    decltype(OperatorEntry::Content_) Record) {
  OperatorRecordsSinceCopy_.push_back(Record);
  Store_.OperatorLog_.push_back(std::move(Record));
}

void PlatformGroup::publishConfig(std::string Config) {
  appendOperatorRecord(
      PublishedConfiguration{std::move(Config), NextConfigVersion_++});
}

void PlatformGroup::requestRollout(const RolloutRequest &Request) {
  appendOperatorRecord(Request);
}

void PlatformGroup::requestEvacuation(const EvacuationRequest &Request) {
  appendOperatorRecord(Request);
}

void PlatformGroup::writeOperatorLogAgain() {
  const auto Records = std::move(OperatorRecordsSinceCopy_);
  OperatorRecordsSinceCopy_.clear();
  for (const auto &Record : Records)
    appendOperatorRecord(Record);
}

void PlatformGroup::copyStore() {
  Copy_ = Store_;
  OperatorRecordsSinceCopy_.clear();
}

void PlatformGroup::restoreStore() {
  Store_ = Copy_;
  ++Era_;
}

void PlatformGroup::setHosts(std::vector<HostRow> Hosts) {
  Store_.Hosts_ = std::move(Hosts);
  ++Store_.HostsEnd_;
}

bool PlatformGroup::sendRequest(int I, const std::string &Path,
                                const std::string &Key,
                                std::int64_t PromptTokens) {
  if (!Processes_[I].Running_ || Now_ < Processes_[I].FrozenUntil_)
    return false;
  CallRequest R = sampleRequest(Path, Key, "r" + std::to_string(NextCallId_));
  R.PromptTokens_ = PromptTokens;
  WaitingTokens_[R.RequestId_] = static_cast<double>(PromptTokens);
  bool Started = false;
  const Event Arrival{Now_, UnixMsAtZero + Now_, drawRandom(),
                      RequestArrived{NextCallId_++, R}};
  for (const Effect &E : reduce(Processes_[I].State_, Arrival)) {
    Started = Started || std::holds_alternative<StartAttempt>(E);
    executeEffect(I, E);
  }
  return Started;
}

CallId PlatformGroup::submitRequest(int I, const CallRequest &R) {
  if (!Processes_[I].Running_ || Now_ < Processes_[I].FrozenUntil_)
    return 0;
  const CallId Id = NextCallId_++;
  reduceEvent(I, RequestArrived{Id, R});
  return Id;
}

int PlatformGroup::leaseHolder() const {
  for (int I = 0; I < size(); ++I) {
    const Process &P = Processes_[I];
    if (P.Running_ && Now_ >= P.FrozenUntil_ &&
        P.State_.Lease_.HeldUntil_ > Now_ &&
        P.State_.Lease_.Holder_ == P.State_.Self_)
      return I;
  }
  return -1;
}

} // namespace endivewharf
