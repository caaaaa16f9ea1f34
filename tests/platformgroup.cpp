#include "platformgroup.h"

#include "samples.h"

namespace endivewharf {

namespace {

constexpr std::int64_t Unix = 1'700'000'000'000;
constexpr double QuotaSlack = 500; // tokens
constexpr Millis StoreTime = 50;   // ms of a call to the store
constexpr Millis CallLimit = 1500; // ms until a call to a cut store has failed

} // namespace

PlatformGroup::PlatformGroup(int Size, std::string Config)
    : Operators_{std::move(Config)} {
  Processes_.resize(static_cast<std::size_t>(Size));
  for (int I = 0; I < Size; ++I) {
    Processes_[I].StartAt_ = Now_ + static_cast<Millis>(draw() % 300);
    Processes_[I].Up_ = false;
  }
}

std::uint64_t PlatformGroup::draw() {
  Random_ ^= Random_ << 13;
  Random_ ^= Random_ >> 7;
  Random_ ^= Random_ << 17;
  return Random_;
}

void PlatformGroup::start(int I) {
  Process &P = Processes_[I];
  Settings Given;
  Given.Name_ = nameOf(I);
  Given.DataCentre_ = Given.Zone_ =
      std::string(1, static_cast<char>('a' + I % DataCentres));
  Given.PeerListen_ = {"10.0.0." + std::to_string(I), 7000};
  Given.StoreUrl_ = "http://10.9.9.9:1";
  Given.CloudUrl_ = "http://10.9.9.8:1";
  Given.Limits_.DrainLimit_ = 8000;
  Given.Bounds_.QuotaSlack_ = QuotaSlack;
  P.State_ = makeState(Given, P.Life_);
  P.Up_ = true;
  ByAddress_["10.0.0." + std::to_string(I) + ":7000"] = I;
}

void PlatformGroup::feed(int I, EventBody Body) {
  for (const Effect &E : reduce(Processes_[I].State_,
                                {Now_, Unix + Now_, draw(), std::move(Body)}))
    carryOut(I, E);
}

bool PlatformGroup::reachesStore(int I) const {
  return CutFromStore_.count(I) == 0 && CutProcesses_.count(I) == 0 &&
         CutDataCentres_.count(I % DataCentres) == 0;
}

bool PlatformGroup::reaches(int From, int To) const {
  if (CutProcesses_.count(From) > 0 || CutProcesses_.count(To) > 0)
    return false;
  const int A = From % DataCentres;
  const int B = To % DataCentres;
  return A == B ||
         (CutDataCentres_.count(A) == 0 && CutDataCentres_.count(B) == 0);
}

void PlatformGroup::later(Millis Delay, int I,
                          std::function<EventBody()> Body) {
  const std::uint64_t Life = Processes_[I].Life_;
  Pending_.emplace(Now_ + Delay, [this, I, Life, Body = std::move(Body)] {
    Process &P = Processes_[I];
    if (!P.Up_ || P.Life_ != Life)
      return;
    if (Now_ < P.FrozenUntil_)
      later(P.FrozenUntil_ - Now_, I, Body);
    else
      feed(I, Body());
  });
}

void PlatformGroup::sendTo(int I, const std::string &Peer,
                           const PeerMessage &Message) {
  ++Messages_;
  const auto ByAddress = ByAddress_.find(Peer);
  const int To = ByAddress != ByAddress_.end()
                     ? ByAddress->second
                     : std::stoi(Peer.substr(Peer.find('-') + 1));
  const bool Lost = static_cast<double>(draw() % 1000) < Loss_ * 1000;
  if (Lost || !reaches(I, To) || !Processes_[To].Up_)
    return;
  const PeerEnvelope Envelope{Processes_[I].State_.Self_, Message};
  later(MessageTime, To, [Envelope] { return PeerReceived{Envelope}; });
}

void PlatformGroup::waitFor(int I, std::function<void()> Again) {
  const std::uint64_t Life = Processes_[I].Life_;
  Pending_.emplace(Now_ + Step, [this, I, Life, Again = std::move(Again)] {
    if (Processes_[I].Up_ && Processes_[I].Life_ == Life)
      Again();
  });
}

void PlatformGroup::readOwn(int I, const ReadLog &E, Millis Until) {
  if (!reachesStore(I)) {
    later(CallLimit, I, [] { return LogReadFailed{}; });
    return;
  }
  const auto End = static_cast<LogOffset>(Log_.size());
  if (E.From_ >= End && Now_ < Until) {
    waitFor(I, [this, I, E, Until] { readOwn(I, E, Until); });
    return;
  }
  LogRead Page{0, End, true, {}};
  for (LogOffset Offset = E.From_; Offset < End; ++Offset)
    Page.Entries_.push_back({Offset, Log_[static_cast<std::size_t>(Offset)]});
  later(StoreTime, I, [Page] { return Page; });
}

void PlatformGroup::readOperators(int I, const ReadOperator &E, Millis Until) {
  if (!reachesStore(I)) {
    later(CallLimit, I, [] { return OperatorReadFailed{}; });
    return;
  }
  const auto End = static_cast<LogOffset>(Operators_.size());
  if (E.From_ >= End && Now_ < Until) {
    waitFor(I, [this, I, E, Until] { readOperators(I, E, Until); });
    return;
  }
  OperatorRead Page{End, {}};
  for (LogOffset Offset = E.From_; Offset < End; ++Offset)
    Page.Entries_.push_back(
        {Offset,
         PublishedConfiguration{Operators_[static_cast<std::size_t>(Offset)]}});
  later(StoreTime, I, [Page] { return Page; });
}

void PlatformGroup::append(int I, const AppendToLog &E) {
  if (!reachesStore(I)) {
    later(CallLimit, I, [E] { return AppendEnded{E.Append_, false}; });
    return;
  }
  const bool Refused =
      E.OnlyAt_ != NoOffset && E.OnlyAt_ != static_cast<LogOffset>(Log_.size());
  if (!Refused)
    Log_.insert(Log_.end(), E.Records_.begin(), E.Records_.end());
  later(StoreTime, I, [E, Refused] {
    return AppendEnded{E.Append_, !Refused, Refused};
  });
}

void PlatformGroup::carryOut(int I, const Effect &Out) {
  if (const auto *E = std::get_if<SendToPeer>(&Out)) {
    sendTo(I, E->Peer_, E->Message_);
  } else if (const auto *All = std::get_if<SendToPeers>(&Out)) {
    for (const std::string &Peer : All->Peers_)
      sendTo(I, Peer, All->Message_);
  } else if (const auto *Own = std::get_if<ReadLog>(&Out)) {
    ++StoreCalls_;
    readOwn(I, *Own, Now_ + Own->Wait_);
  } else if (const auto *Operators = std::get_if<ReadOperator>(&Out)) {
    ++StoreCalls_;
    readOperators(I, *Operators, Now_ + Operators->Wait_);
  } else if (const auto *Append = std::get_if<AppendToLog>(&Out)) {
    ++StoreCalls_;
    append(I, *Append);
  } else if (std::holds_alternative<ReadHosts>(Out)) {
    ++StoreCalls_;
    if (reachesStore(I))
      later(StoreTime, I, [this] { return HostsRead{Hosts_, HostsVersion_}; });
    else
      later(CallLimit, I, [] { return HostsReadFailed{}; });
  } else if (const auto *Usage = std::get_if<ReportUsage>(&Out)) {
    ++DutyCalls_;
    Reported_[Usage->Window_] = Usage->Counts_;
    later(StoreTime, I, [Window = Usage->Window_] {
      return UsageReported{Window, true};
    });
  } else if (const auto *Order = std::get_if<OrderHosts>(&Out)) {
    ++DutyCalls_;
    later(StoreTime, I, [Id = Order->Order_] {
      return HostsOrdered{Id, true, false};
    });
  }
}

void PlatformGroup::run(Millis Time, const std::function<void()> &EachStep) {
  for (const Millis End = Now_ + Time; Now_ < End;) {
    Now_ += Step;
    ++HostsVersion_; // each heartbeat of a host is a record
    while (!Pending_.empty() && Pending_.begin()->first <= Now_) {
      const std::function<void()> Next = std::move(Pending_.begin()->second);
      Pending_.erase(Pending_.begin());
      Next();
    }
    for (int I = 0; I < size(); ++I) {
      Process &P = Processes_[I];
      if (!P.Up_ && P.StartAt_ != 0 && Now_ >= P.StartAt_)
        start(I);
      if (P.Up_ && Now_ >= P.FrozenUntil_)
        feed(I, Tick{});
    }
    EachStep();
  }
}

void PlatformGroup::kill(int I, Millis RestartAfter) {
  Process &P = Processes_[I];
  P.Up_ = false;
  ++P.Life_;
  P.StartAt_ = RestartAfter == 0 ? 0 : Now_ + RestartAfter;
}

void PlatformGroup::freeze(int I, Millis Time) {
  Processes_[I].FrozenUntil_ = Now_ + Time;
}

void PlatformGroup::publish(std::string Config) {
  Operators_.push_back(std::move(Config));
}

void PlatformGroup::setHosts(std::vector<HostRow> Hosts) {
  Hosts_ = std::move(Hosts);
  ++HostsVersion_;
}

bool PlatformGroup::ask(int I, const std::string &Path, const std::string &Key,
                        std::int64_t PromptTokens) {
  if (!Processes_[I].Up_ || Now_ < Processes_[I].FrozenUntil_)
    return false;
  CallRequest R = sampleRequest(Path, Key, "r" + std::to_string(NextCall_));
  R.PromptTokens_ = PromptTokens;
  bool Started = false;
  const Event Arrival{Now_, Unix + Now_, draw(),
                      RequestArrived{NextCall_++, R}};
  for (const Effect &E : reduce(Processes_[I].State_, Arrival)) {
    if (const auto *Start = std::get_if<StartAttempt>(&E)) {
      Started = true;
      later(Step, I, [Id = Start->Attempt_] {
        return ServiceReply{Id, 200, "", "ok", {}};
      });
    }
    carryOut(I, E);
  }
  return Started;
}

int PlatformGroup::holder() const {
  for (int I = 0; I < size(); ++I) {
    const Process &P = Processes_[I];
    if (P.Up_ && Now_ >= P.FrozenUntil_ && P.State_.Lease_.HeldUntil_ > Now_ &&
        P.State_.Lease_.Holder_ == P.State_.Self_)
      return I;
  }
  return -1;
}

} // namespace endivewharf
