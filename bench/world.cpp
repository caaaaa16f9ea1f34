// Simulated clock, network, log, host list, probes and callers.
#include "world.h"

#include "codec.h"
#include "router.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf::fakes {

namespace {

constexpr Millis LogPollTimeout = 1000; // longest wait of a long poll
// Time after which an append without a reply fails at the entry process.
constexpr Millis LogRequestTimeout = 2500;
constexpr Millis LogPollInterval = 10;

InstanceId instanceOf(const State &S) { return S.Self_; }

} // namespace

std::string tokenText(const std::string &Prompt, std::int64_t Index) {
  const std::uint64_t Hash = XXH3_64bits(Prompt.data(), Prompt.size());
  return fmt::format("{:x} ", (Hash >> 40) + static_cast<std::uint64_t>(Index));
}

std::string exampleConfig(const std::vector<std::string> &Models) {
  std::string Text;
  for (int I = 0; I < 5; ++I)
    Text += fmt::format("[account a{}]\nkey = k{}\nweight = 1\nrate = "
                        "100000\nmax_in_flight = 100000\n",
                        I, I);
  for (const std::string &Model : Models)
    Text += fmt::format("[model {}]\nversion = v1\n", Model);
  return Text + "[service desk]\nunrepeatable = POST /\n";
}

World::World(const WorldOptions &Options)
    : RandomGenerator_(Options.Seed_), Options_(Options) {
  for (int I = 0; I < Options.EntryCount_; ++I) {
    FakeEntry New;
    New.State_ =
        makeState(settingsForEntry(I), 1 + static_cast<std::uint64_t>(I));
    Entries_.push_back(std::move(New));
    const std::uint64_t Incarnation = Entries_.back().State_.Self_.Incarnation_;
    scheduleAt(Now_ + I % Options_.TickPeriod_,
               [this, I, Incarnation] { tickEntry(I, Incarnation); });
  }
}

std::string World::dataCentre(int Index) const {
  return fmt::format("dc{}", Index % Options_.DataCentreCount_);
}

Settings World::settingsForEntry(int Index) const {
  Settings S = Options_.BaseSettings_;
  S.Name_ = fmt::format("entry-{}", Index);
  S.DataCentre_ = dataCentre(Index);
  S.Zone_ = fmt::format("{}-{}", S.DataCentre_,
                        (Index / Options_.DataCentreCount_) % 2);
  S.CloudUrl_ = "http://cloud";
  for (int I = 0; I < Options_.EntryCount_; ++I)
    if (I != Index)
      S.Peers_.push_back({fmt::format("entry-{}", I),
                          {"127.0.0.1", 9000 + I},
                          dataCentre(I),
                          fmt::format("{}-{}", dataCentre(I),
                                      (I / Options_.DataCentreCount_) % 2)});
  return S;
}

int World::addEngine(std::string Name, std::string DataCentre,
                     std::vector<LoadedVersion> Loaded,
                     EngineParameters Parameters, double Price) {
  FakeEngine New;
  New.Row_.Host_ = {std::move(Name), 1};
  New.Row_.Address_ = fmt::format("http://engine-{}", Engines_.size());
  New.Row_.DataCentre_ = std::move(DataCentre);
  New.Row_.Zone_ = New.Row_.DataCentre_ + "-0";
  New.Row_.Price_ = Price;
  New.Parameters_ = Parameters;
  New.Loaded_ = {Loaded.begin(), Loaded.end()};
  EngineByAddress_[New.Row_.Address_] = static_cast<int>(Engines_.size());
  Engines_.push_back(std::move(New));
  return static_cast<int>(Engines_.size()) - 1;
}

int World::addService(std::string Name, std::string Service,
                      std::string DataCentre) {
  FakeService New;
  New.Row_.Host_ = {std::move(Name), 1};
  New.Row_.Address_ = fmt::format("http://service-{}", Services_.size());
  New.Row_.DataCentre_ = std::move(DataCentre);
  New.Row_.Kind_ = UpstreamKind::Service;
  New.Row_.Service_ = std::move(Service);
  Services_.push_back(std::move(New));
  return static_cast<int>(Services_.size()) - 1;
}

LogOffset World::appendLogRecord(const LogRecord &Record) {
  LogRecords_.push_back(encodeRecord(Record));
  return EarliestOffset_ + static_cast<LogOffset>(LogRecords_.size()) - 1;
}

void World::publishConfig(const std::string &Text, LogOffset Base) {
  appendLogRecord(ConfigRecord{Base, Text});
}

// --- Time ---

void World::scheduleAt(Millis DueAt, std::function<void()> Task) {
  ScheduledTasks_.push({DueAt, NextSequence_++, std::move(Task)});
}

void World::runFor(Millis Duration) {
  const Millis Until = Now_ + Duration;
  while (!ScheduledTasks_.empty() && ScheduledTasks_.top().DueAt_ <= Until) {
    ScheduledTask Next = ScheduledTasks_.top();
    ScheduledTasks_.pop();
    Now_ = std::max(Now_, Next.DueAt_);
    Next.Task_();
  }
  Now_ = Until;
}

bool World::runUntil(const std::function<bool()> &Condition, Millis Limit) {
  const Millis Until = Now_ + Limit;
  while (Now_ < Until) {
    if (Condition())
      return true;
    runFor(10);
  }
  return Condition();
}

double World::randomFraction() {
  return std::uniform_real_distribution<>(0, 1)(RandomGenerator_);
}

void World::tickEntry(int Entry, std::uint64_t Incarnation) {
  FakeEntry &E = Entries_[Entry];
  if (!E.Alive_ || E.State_.Self_.Incarnation_ != Incarnation)
    return;
  if (!E.Paused_)
    reduceEvent(Entry, Tick{});
  scheduleAt(Now_ + Options_.TickPeriod_,
             [this, Entry, Incarnation] { tickEntry(Entry, Incarnation); });
}

void World::deliverEvent(int Entry, std::uint64_t Incarnation, EventBody Body) {
  FakeEntry &E = Entries_[Entry];
  if (!E.Alive_ || E.State_.Self_.Incarnation_ != Incarnation)
    return;
  if (E.Paused_)
    E.Backlog_.push_back(std::move(Body));
  else
    reduceEvent(Entry, std::move(Body));
}

void World::reduceEvent(int Entry, EventBody Body) {
  FakeEntry &E = Entries_[Entry];
  const Event Next{Now_, unixNow(), RandomGenerator_(), std::move(Body)};
  for (const Effect &Emitted : reduce(E.State_, Next)) {
    if (OnEffect_)
      OnEffect_(Entry, Emitted);
    executeEffect(Entry, Emitted);
  }
}

void World::runOnState(int Entry,
                       const std::function<void(State &, Effects &)> &Run) {
  Effects Out;
  Run(Entries_[Entry].State_, Out);
  for (const Effect &E : Out)
    executeEffect(Entry, E);
}

// --- Effects ---

namespace {

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace

void World::executeEffect(int Entry, const Effect &ToExecute) {
  const std::uint64_t Incarnation =
      instanceOf(Entries_[Entry].State_).Incarnation_;
  std::visit(
      Overloaded{[&](const StartAttempt &E) { startAttempt(Entry, E); },
                 [&](const CancelAttempt &E) {
                   CancelledAttempts_.insert({Entry, E.Attempt_});
                 },
                 [&](const SendToPeer &E) { sendToPeer(Entry, E); },
                 [&](const SendToPeers &E) {
                   for (const std::string &Peer : E.Peers_)
                     sendToPeer(Entry, {Peer, E.Message_});
                 },
                 [&](const ReadLog &E) {
                   readLog(Entry, Incarnation, E.FromOffset_,
                           Now_ + LogPollTimeout);
                 },
                 [&](const AppendToLog &E) { appendToLog(Entry, E); },
                 [&](const ReadHosts &) { readHosts(Entry); },
                 [&](const ReadReclaimNotices &) { readReclaimNotices(Entry); },
                 [&](const ProbeUpstream &E) { probeUpstream(Entry, E); },
                 [&](const LoadModelVersion &E) { applyLoadCommand(E); },
                 [&](const SendToken &E) { recordToken(Entry, E); },
                 [&](const FinishStream &E) {
                   endOutcome(Entry, E.Call_, [&](Outcome &O) {
                     O.Answered_ = true;
                     O.TokenSequenceWrong_ = O.TokenSequenceWrong_ ||
                                             O.TokensReceived_ != E.Tokens_;
                   });
                 },
                 [&](const SendCompletion &E) {
                   endOutcome(Entry, E.Call_, [&](Outcome &O) {
                     O.Answered_ = true;
                     std::string Expected;
                     for (std::int64_t I = 0; I < E.Tokens_; ++I)
                       Expected += tokenText(O.Request_.Prompt_, I);
                     O.TokenSequenceWrong_ = E.Text_ != Expected ||
                                             E.Tokens_ != O.Request_.MaxTokens_;
                     O.TokensReceived_ = E.Tokens_;
                   });
                 },
                 [&](const SendServiceAnswer &E) {
                   endOutcome(Entry, E.Call_, [&](Outcome &O) {
                     O.Answered_ = true;
                     O.Status_ = E.Status_;
                     O.Body_ = E.Body_;
                     O.Replayed_ = E.Replayed_;
                   });
                 },
                 [&](const SendError &E) {
                   endOutcome(Entry, E.Call_, [&](Outcome &O) {
                     O.Error_ = E.Error_;
                     O.ExecutionsAtRefusal_ =
                         ExecutionsByKey_[O.Request_.IdempotencyKey_];
                   });
                 },
                 [&](const RedirectStream &E) {
                   endOutcome(Entry, E.Call_,
                              [&](Outcome &O) { O.Redirected_ = true; });
                 },
                 [&](const ExitProcess &) {
                   Entries_[Entry].Exited_ = true;
                   killEntry(Entry);
                 },
                 [](const auto &) {}},
      ToExecute);
}

bool World::areConnected(const std::string &A, const std::string &B) const {
  return A == B || (IsolatedDataCentres_.count(A) == 0 &&
                    IsolatedDataCentres_.count(B) == 0);
}

bool World::isPlatformReachable(int Entry) const {
  return DataCentresWithoutPlatform_.count(dataCentre(Entry)) == 0;
}

void World::sendToPeer(int From, const SendToPeer &E) {
  FakeEntry &Sender = Entries_[From];
  ++Sender.MessagesSent_;
  std::int64_t Bytes = 0;
  if (Options_.CountPeerBytes_) {
    Bytes = static_cast<std::int64_t>(
        encodeMessage({Sender.State_.Self_, E.Message_}).size());
    Sender.BytesSent_ += Bytes;
    Sender.BytesSentByType_[std::string(messageName(E.Message_))] += Bytes;
  }
  const int To = std::stoi(E.Peer_.substr(E.Peer_.rfind('-') + 1));
  if (!areConnected(dataCentre(From), dataCentre(To)) ||
      randomFraction() < Options_.PeerMessageLossFraction_)
    return;
  const PeerEnvelope Envelope{Sender.State_.Self_, E.Message_};
  scheduleAt(Now_ + Options_.PeerDelay_, [this, To, Envelope, Bytes] {
    Entries_[To].BytesReceived_ += Bytes;
    deliverEvent(To, Entries_[To].State_.Self_.Incarnation_,
                 PeerReceived{Envelope});
  });
}

void World::readLog(int Entry, std::uint64_t Incarnation, LogOffset From,
                    Millis Until) {
  if (LogUnavailable_ || !isPlatformReachable(Entry)) {
    scheduleAt(Now_ + Options_.LogDelay_, [this, Entry, Incarnation] {
      deliverEvent(Entry, Incarnation, LogReadFailed{});
    });
    return;
  }
  const LogOffset Next =
      EarliestOffset_ + static_cast<LogOffset>(LogRecords_.size());
  if (From >= Next && Now_ < Until) {
    scheduleAt(Now_ + LogPollInterval, [this, Entry, Incarnation, From, Until] {
      readLog(Entry, Incarnation, From, Until);
    });
    return;
  }
  LogRead Page;
  Page.EarliestOffset_ = EarliestOffset_;
  Page.AtTail_ = true;
  for (LogOffset Offset = std::max(From, EarliestOffset_); Offset < Next;
       ++Offset) {
    LogEntry Row;
    Row.Offset_ = Offset;
    auto Record = decodeRecord(
        LogRecords_[static_cast<std::size_t>(Offset - EarliestOffset_)]);
    if (Record)
      Row.Record_ = std::move(*Record);
    Page.Entries_.push_back(std::move(Row));
  }
  Page.NextOffset_ = Next;
  scheduleAt(Now_ + 2 * Options_.LogDelay_, [this, Entry, Incarnation, Page] {
    if (isPlatformReachable(Entry))
      deliverEvent(Entry, Incarnation, Page);
    else
      deliverEvent(Entry, Incarnation, LogReadFailed{});
  });
}

void World::appendToLog(int Entry, const AppendToLog &E) {
  const std::uint64_t Incarnation = Entries_[Entry].State_.Self_.Incarnation_;
  const bool IsLogUnreachable = LogUnavailable_ || !isPlatformReachable(Entry);
  if (IsLogUnreachable || randomFraction() < FailedAppendFraction_) {
    scheduleAt(Now_ + 2 * Options_.LogDelay_,
               [this, Entry, Incarnation, Id = E.AppendId_] {
                 deliverEvent(Entry, Incarnation, AppendEnded{Id, false});
               });
    return;
  }
  const bool IsReplyLost = randomFraction() < LostAppendReplyFraction_;
  scheduleAt(
      Now_ + Options_.LogDelay_, [this, Entry, Incarnation, E, IsReplyLost] {
        ++AppendCount_;
        for (const LogRecord &Record : E.Records_)
          appendLogRecord(Record);
        const Millis ReplyDelay =
            IsReplyLost ? LogRequestTimeout : Options_.LogDelay_;
        scheduleAt(Now_ + ReplyDelay, [this, Entry, Incarnation,
                                       Id = E.AppendId_, IsReplyLost] {
          deliverEvent(Entry, Incarnation, AppendEnded{Id, !IsReplyLost});
        });
      });
}

void World::readHosts(int Entry) {
  if (!isPlatformReachable(Entry))
    return;
  HostsRead Page;
  for (const FakeEngine &E : Engines_)
    if (!E.Row_.Address_.empty())
      Page.Hosts_.push_back(E.Row_);
  for (const FakeService &Service : Services_)
    Page.Hosts_.push_back(Service.Row_);
  const std::uint64_t Incarnation = Entries_[Entry].State_.Self_.Incarnation_;
  scheduleAt(Now_ + Options_.HostListDelay_, [this, Entry, Incarnation, Page] {
    deliverEvent(Entry, Incarnation, Page);
  });
}

void World::readReclaimNotices(int Entry) {
  FakeEntry &E = Entries_[Entry];
  if (!isPlatformReachable(Entry) || E.NoticeCursor_ == ReclaimNotices_.size())
    return;
  ReclaimNoticesRead Page;
  Page.Notices_.assign(ReclaimNotices_.begin() +
                           static_cast<std::ptrdiff_t>(E.NoticeCursor_),
                       ReclaimNotices_.end());
  E.NoticeCursor_ = ReclaimNotices_.size();
  scheduleAt(Now_ + Options_.LogDelay_,
             [this, Entry, Incarnation = E.State_.Self_.Incarnation_, Page] {
               deliverEvent(Entry, Incarnation, Page);
             });
}

int World::engineIndexByAddress(const std::string &Address) const {
  const auto Found = EngineByAddress_.find(Address);
  return Found == EngineByAddress_.end() ? -1 : Found->second;
}

void World::probeUpstream(int Entry, const ProbeUpstream &E) {
  const std::uint64_t Incarnation = Entries_[Entry].State_.Self_.Incarnation_;
  ProbeEnded Probe;
  Probe.Host_ = E.Host_;
  const int EngineIndex = engineIndexByAddress(E.Address_);
  if (EngineIndex >= 0) {
    const FakeEngine &Engine = Engines_[EngineIndex];
    Probe.Reached_ = !Engine.Dead_ &&
                     areConnected(dataCentre(Entry), Engine.Row_.DataCentre_);
    Probe.Leaving_ = Engine.Leaving_ && !Engine.HidesLeavingFromProbes_;
    Probe.RunningRequests_ = Engine.RunningRequests_;
    Probe.WaitingRequests_ = static_cast<int>(Engine.WaitingJobs_.size());
    Probe.Slots_ = Engine.Parameters_.Slots_;
    Probe.Loaded_ = {Engine.Loaded_.begin(), Engine.Loaded_.end()};
  } else {
    for (const FakeService &Service : Services_)
      if (Service.Row_.Address_ == E.Address_)
        Probe.Reached_ = !Service.Dead_;
  }
  scheduleAt(Now_ + Options_.ProbeAnswerDelay_,
             [this, Entry, Incarnation, Probe] {
               deliverEvent(Entry, Incarnation, Probe);
             });
}

// --- Callers ---

CallRequest World::makeCompletionRequest(std::string Key, std::string Model,
                                         std::string Prompt,
                                         std::int64_t Tokens) {
  CallRequest Request;
  Request.ApiKey_ = std::move(Key);
  Request.Model_ = std::move(Model);
  Request.Route_ = "chat";
  // The fake engine reads the number of tokens and the prompt from the body.
  Request.Body_ = fmt::format("{}|{}", Tokens, Prompt);
  Request.Prompt_ = std::move(Prompt);
  Request.MaxTokens_ = Tokens;
  Request.Stream_ = true;
  return Request;
}

CallRequest World::makeServiceRequest(std::string Key, std::string Service,
                                      std::string IdempotencyKey) {
  CallRequest Request;
  Request.Kind_ = CallKind::Service;
  Request.ApiKey_ = std::move(Key);
  Request.Route_ = std::move(Service);
  Request.Method_ = "POST";
  Request.Path_ = "/";
  Request.IdempotencyKey_ = std::move(IdempotencyKey);
  return Request;
}

bool World::endIfEntryDead(std::size_t OutcomeIndex) {
  const Outcome &O = Outcomes_[OutcomeIndex];
  if (Entries_[O.Entry_].Alive_)
    return false;
  endOutcome(O.Entry_, O.Call_,
             [](Outcome &Ending) { Ending.EntryDied_ = true; });
  return true;
}

std::size_t World::sendRequest(int Entry, CallRequest Request) {
  Outcome New;
  New.Entry_ = Entry;
  New.Call_ = NextCall_++;
  if (Request.RequestId_.empty())
    Request.RequestId_ = fmt::format("request-{}", New.Call_);
  New.Request_ = Request;
  New.SentAt_ = Now_;
  Outcomes_.push_back(New);
  const std::size_t OutcomeIndex = Outcomes_.size() - 1;
  OutcomeByCall_[{Entry, New.Call_}] = OutcomeIndex;
  if (!endIfEntryDead(OutcomeIndex))
    deliverEvent(Entry, Entries_[Entry].State_.Self_.Incarnation_,
                 RequestArrived{New.Call_, std::move(Request)});
  return OutcomeIndex;
}

std::size_t World::resumeStream(int Entry, std::size_t PreviousOutcome) {
  Outcome New;
  New.Entry_ = Entry;
  New.Call_ = NextCall_++;
  New.Request_ = Outcomes_[PreviousOutcome].Request_;
  New.SentAt_ = Now_;
  New.TokensReceived_ = Outcomes_[PreviousOutcome].TokensReceived_;
  New.TokenSequenceWrong_ = Outcomes_[PreviousOutcome].TokenSequenceWrong_;
  Outcomes_.push_back(New);
  const std::size_t OutcomeIndex = Outcomes_.size() - 1;
  OutcomeByCall_[{Entry, New.Call_}] = OutcomeIndex;
  if (!endIfEntryDead(OutcomeIndex))
    deliverEvent(Entry, Entries_[Entry].State_.Self_.Incarnation_,
                 ResumeArrived{New.Call_, New.Request_.RequestId_,
                               New.Request_.ApiKey_, New.TokensReceived_});
  return OutcomeIndex;
}

void World::disconnectCaller(std::size_t OutcomeIndex) {
  const Outcome &O = Outcomes_[OutcomeIndex];
  OutcomeByCall_.erase({O.Entry_, O.Call_});
  deliverEvent(O.Entry_, Entries_[O.Entry_].State_.Self_.Incarnation_,
               CallerDisconnected{O.Call_});
}

void World::recordToken(int Entry, const SendToken &E) {
  const auto Found = OutcomeByCall_.find({Entry, E.Call_});
  if (Found == OutcomeByCall_.end())
    return;
  Outcome &O = Outcomes_[Found->second];
  if (O.FirstTokenAt_ < 0)
    O.FirstTokenAt_ = Now_;
  if (E.Index_ != O.TokensReceived_ ||
      E.Text_ != tokenText(O.Request_.Prompt_, E.Index_))
    O.TokenSequenceWrong_ = true;
  ++O.TokensReceived_;
}

void World::endOutcome(int Entry, CallId Call,
                       const std::function<void(Outcome &)> &Update) {
  const auto Found = OutcomeByCall_.find({Entry, Call});
  if (Found == OutcomeByCall_.end())
    return;
  const std::size_t OutcomeIndex = Found->second;
  OutcomeByCall_.erase(Found);
  Outcome &O = Outcomes_[OutcomeIndex];
  Update(O);
  O.Ended_ = true;
  O.EndedAt_ = Now_;
  if (OnOutcomeEnded_)
    OnOutcomeEnded_(OutcomeIndex);
}

} // namespace endivewharf::fakes
