// The fakes' clock, network, platform, engines and callers.
#include "world.h"

#include "codec.h"
#include "router.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf::fakes {

namespace {

constexpr Millis LogPollTimeout = 1000; // ms of a long poll
constexpr Millis LogRequestTimeout =
    2500; // ms until an exchange with the log fails
constexpr Millis LogPollInterval = 10; // ms

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
    const std::uint64_t Life = Entries_.back().State_.Self_.Incarnation_;
    scheduleAt(Now_ + I % Options_.TickPeriod_,
               [this, I, Life] { tickEntry(I, Life); });
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
                     std::vector<LoadedVersion> Loaded, EngineParameters Shape,
                     double Price) {
  FakeEngine New;
  New.Row_.Host_ = {std::move(Name), 1};
  New.Row_.Address_ = fmt::format("http://engine-{}", Engines_.size());
  New.Row_.DataCentre_ = std::move(DataCentre);
  New.Row_.Zone_ = New.Row_.DataCentre_ + "-0";
  New.Row_.Price_ = Price;
  New.Parameters_ = Shape;
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

void World::scheduleAt(Millis When, std::function<void()> Then) {
  ScheduledTasks_.push({When, NextSequence_++, std::move(Then)});
}

void World::runFor(Millis For) {
  const Millis Until = Now_ + For;
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

void World::tickEntry(int Index, std::uint64_t Life) {
  FakeEntry &E = Entries_[Index];
  if (!E.Alive_ || E.State_.Self_.Incarnation_ != Life)
    return;
  if (!E.Paused_)
    reduceEvent(Index, Tick{});
  scheduleAt(Now_ + Options_.TickPeriod_,
             [this, Index, Life] { tickEntry(Index, Life); });
}

void World::deliverEvent(int Index, std::uint64_t Life, EventBody Body) {
  FakeEntry &E = Entries_[Index];
  if (!E.Alive_ || E.State_.Self_.Incarnation_ != Life)
    return;
  if (E.Paused_)
    E.Backlog_.push_back(std::move(Body));
  else
    reduceEvent(Index, std::move(Body));
}

void World::reduceEvent(int Index, EventBody Body) {
  FakeEntry &E = Entries_[Index];
  const Event Next{Now_, unixNow(), RandomGenerator_(), std::move(Body)};
  for (const Effect &Out : reduce(E.State_, Next)) {
    if (OnEffect_)
      OnEffect_(Index, Out);
    executeEffect(Index, Out);
  }
}

void World::runOnState(int Index,
                       const std::function<void(State &, Effects &)> &Run) {
  Effects Out;
  Run(Entries_[Index].State_, Out);
  for (const Effect &E : Out)
    executeEffect(Index, E);
}

// --- Effects ---

namespace {

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace

void World::executeEffect(int Index, const Effect &Out) {
  const std::uint64_t Life = instanceOf(Entries_[Index].State_).Incarnation_;
  std::visit(
      Overloaded{[&](const StartAttempt &E) { startAttempt(Index, E); },
                 [&](const CancelAttempt &E) {
                   CancelledAttempts_.insert({Index, E.Attempt_});
                 },
                 [&](const SendToPeer &E) { sendToPeer(Index, E); },
                 [&](const SendToPeers &E) {
                   for (const std::string &Peer : E.Peers_)
                     sendToPeer(Index, {Peer, E.Message_});
                 },
                 [&](const ReadLog &E) {
                   readLog(Index, Life, E.FromOffset_, Now_ + LogPollTimeout);
                 },
                 [&](const AppendToLog &E) { appendToLog(Index, E); },
                 [&](const ReadHosts &) { readHosts(Index); },
                 [&](const ReadReclaimNotices &) { readReclaimNotices(Index); },
                 [&](const ProbeUpstream &E) { probeUpstream(Index, E); },
                 [&](const LoadModelVersion &E) { applyLoadCommand(E); },
                 [&](const SendToken &E) { recordToken(Index, E); },
                 [&](const FinishStream &E) {
                   endOutcome(Index, E.Call_, [&](Outcome &O) {
                     O.Answered_ = true;
                     O.TokenSequenceWrong_ = O.TokenSequenceWrong_ ||
                                             O.TokensReceived_ != E.Tokens_;
                   });
                 },
                 [&](const SendCompletion &E) {
                   endOutcome(Index, E.Call_, [&](Outcome &O) {
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
                   endOutcome(Index, E.Call_, [&](Outcome &O) {
                     O.Answered_ = true;
                     O.Status_ = E.Status_;
                     O.Body_ = E.Body_;
                     O.Replayed_ = E.Replayed_;
                   });
                 },
                 [&](const SendError &E) {
                   endOutcome(Index, E.Call_, [&](Outcome &O) {
                     O.Error_ = E.Error_;
                     O.ExecutionsAtRefusal_ =
                         ExecutionsByKey_[O.Request_.IdempotencyKey_];
                   });
                 },
                 [&](const RedirectStream &E) {
                   endOutcome(Index, E.Call_,
                              [&](Outcome &O) { O.Redirected_ = true; });
                 },
                 [&](const ExitProcess &) {
                   Entries_[Index].Exited_ = true;
                   killEntry(Index);
                 },
                 [](const auto &) {}},
      Out);
}

bool World::areConnected(const std::string &A, const std::string &B) const {
  return A == B || (IsolatedDataCentres_.count(A) == 0 &&
                    IsolatedDataCentres_.count(B) == 0);
}

bool World::isPlatformReachable(int Index) const {
  return DataCentresWithoutPlatform_.count(dataCentre(Index)) == 0;
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
      randomFraction() < Options_.PeerMessageLossShare_)
    return;
  const PeerEnvelope Envelope{Sender.State_.Self_, E.Message_};
  scheduleAt(Now_ + Options_.PeerDelay_, [this, To, Envelope, Bytes] {
    Entries_[To].BytesReceived_ += Bytes;
    deliverEvent(To, Entries_[To].State_.Self_.Incarnation_,
                 PeerReceived{Envelope});
  });
}

void World::readLog(int Index, std::uint64_t Life, LogOffset From,
                    Millis Until) {
  if (LogUnavailable_ || !isPlatformReachable(Index)) {
    scheduleAt(Now_ + Options_.LogDelay_, [this, Index, Life] {
      deliverEvent(Index, Life, LogReadFailed{});
    });
    return;
  }
  const LogOffset Next =
      EarliestOffset_ + static_cast<LogOffset>(LogRecords_.size());
  if (From >= Next && Now_ < Until) {
    scheduleAt(Now_ + LogPollInterval, [this, Index, Life, From, Until] {
      readLog(Index, Life, From, Until);
    });
    return;
  }
  LogRead Page;
  Page.EarliestOffset_ = EarliestOffset_;
  Page.AtTail_ = true;
  for (LogOffset O = std::max(From, EarliestOffset_); O < Next; ++O) {
    LogEntry Row;
    Row.Offset_ = O;
    auto Record = decodeRecord(
        LogRecords_[static_cast<std::size_t>(O - EarliestOffset_)]);
    if (Record)
      Row.Record_ = std::move(*Record);
    Page.Entries_.push_back(std::move(Row));
  }
  Page.NextOffset_ = Next;
  scheduleAt(Now_ + 2 * Options_.LogDelay_, [this, Index, Life, Page] {
    if (isPlatformReachable(Index))
      deliverEvent(Index, Life, Page);
    else
      deliverEvent(Index, Life, LogReadFailed{});
  });
}

void World::appendToLog(int Index, const AppendToLog &E) {
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  const bool Down = LogUnavailable_ || !isPlatformReachable(Index);
  if (Down || randomFraction() < FailedAppendShare_) {
    scheduleAt(Now_ + 2 * Options_.LogDelay_,
               [this, Index, Life, Id = E.AppendId_] {
                 deliverEvent(Index, Life, AppendEnded{Id, false});
               });
    return;
  }
  const bool Lost = randomFraction() < LostAppendReplyShare_;
  scheduleAt(Now_ + Options_.LogDelay_, [this, Index, Life, E, Lost] {
    ++AppendCount_;
    for (const LogRecord &Record : E.Records_)
      appendLogRecord(Record);
    const Millis Reply = Lost ? LogRequestTimeout : Options_.LogDelay_;
    scheduleAt(Now_ + Reply, [this, Index, Life, Id = E.AppendId_, Lost] {
      deliverEvent(Index, Life, AppendEnded{Id, !Lost});
    });
  });
}

void World::readHosts(int Index) {
  if (!isPlatformReachable(Index))
    return;
  HostsRead Page;
  for (const FakeEngine &E : Engines_)
    if (!E.Row_.Address_.empty())
      Page.Hosts_.push_back(E.Row_);
  for (const FakeService &Service : Services_)
    Page.Hosts_.push_back(Service.Row_);
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  scheduleAt(Now_ + Options_.HostListDelay_,
             [this, Index, Life, Page] { deliverEvent(Index, Life, Page); });
}

void World::readReclaimNotices(int Index) {
  FakeEntry &E = Entries_[Index];
  if (!isPlatformReachable(Index) || E.NoticeCursor_ == ReclaimNotices_.size())
    return;
  ReclaimNoticesRead Page;
  Page.Notices_.assign(ReclaimNotices_.begin() +
                           static_cast<std::ptrdiff_t>(E.NoticeCursor_),
                       ReclaimNotices_.end());
  E.NoticeCursor_ = ReclaimNotices_.size();
  scheduleAt(Now_ + Options_.LogDelay_,
             [this, Index, Life = E.State_.Self_.Incarnation_, Page] {
               deliverEvent(Index, Life, Page);
             });
}

int World::engineIndexByAddress(const std::string &Address) const {
  const auto Found = EngineByAddress_.find(Address);
  return Found == EngineByAddress_.end() ? -1 : Found->second;
}

void World::probeUpstream(int Index, const ProbeUpstream &E) {
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  ProbeEnded Report;
  Report.Host_ = E.Host_;
  const int Which = engineIndexByAddress(E.Address_);
  if (Which >= 0) {
    const FakeEngine &Engine = Engines_[Which];
    Report.Reached_ = !Engine.Dead_ &&
                      areConnected(dataCentre(Index), Engine.Row_.DataCentre_);
    Report.Leaving_ = Engine.Leaving_ && !Engine.HidesLeavingFromProbes_;
    Report.RunningRequests_ = Engine.RunningRequests_;
    Report.WaitingRequests_ = static_cast<int>(Engine.WaitingJobs_.size());
    Report.Slots_ = Engine.Parameters_.Slots_;
    Report.Loaded_ = {Engine.Loaded_.begin(), Engine.Loaded_.end()};
  } else {
    for (const FakeService &Service : Services_)
      if (Service.Row_.Address_ == E.Address_)
        Report.Reached_ = !Service.Dead_;
  }
  scheduleAt(Now_ + Options_.ProbeAnswerDelay_, [this, Index, Life, Report] {
    deliverEvent(Index, Life, Report);
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

bool World::endIfEntryDead(std::size_t Which) {
  const Outcome &O = Outcomes_[Which];
  if (Entries_[O.Entry_].Alive_)
    return false;
  endOutcome(O.Entry_, O.Call_, [](Outcome &Dead) { Dead.EntryDied_ = true; });
  return true;
}

std::size_t World::sendRequest(int Index, CallRequest Request) {
  Outcome New;
  New.Entry_ = Index;
  New.Call_ = NextCall_++;
  if (Request.RequestId_.empty())
    Request.RequestId_ = fmt::format("request-{}", New.Call_);
  New.Request_ = Request;
  New.SentAt_ = Now_;
  Outcomes_.push_back(New);
  const std::size_t Which = Outcomes_.size() - 1;
  OutcomeByCall_[{Index, New.Call_}] = Which;
  if (!endIfEntryDead(Which))
    deliverEvent(Index, Entries_[Index].State_.Self_.Incarnation_,
                 RequestArrived{New.Call_, std::move(Request)});
  return Which;
}

std::size_t World::resumeStream(int Index, std::size_t Before) {
  Outcome New;
  New.Entry_ = Index;
  New.Call_ = NextCall_++;
  New.Request_ = Outcomes_[Before].Request_;
  New.SentAt_ = Now_;
  New.TokensReceived_ = Outcomes_[Before].TokensReceived_;
  New.TokenSequenceWrong_ = Outcomes_[Before].TokenSequenceWrong_;
  Outcomes_.push_back(New);
  const std::size_t Which = Outcomes_.size() - 1;
  OutcomeByCall_[{Index, New.Call_}] = Which;
  if (!endIfEntryDead(Which))
    deliverEvent(Index, Entries_[Index].State_.Self_.Incarnation_,
                 ResumeArrived{New.Call_, New.Request_.RequestId_,
                               New.Request_.ApiKey_, New.TokensReceived_});
  return Which;
}

void World::disconnectCaller(std::size_t Which) {
  const Outcome &O = Outcomes_[Which];
  OutcomeByCall_.erase({O.Entry_, O.Call_});
  deliverEvent(O.Entry_, Entries_[O.Entry_].State_.Self_.Incarnation_,
               CallerDisconnected{O.Call_});
}

void World::recordToken(int Index, const SendToken &E) {
  const auto Found = OutcomeByCall_.find({Index, E.Call_});
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

void World::endOutcome(int Index, CallId Call,
                       const std::function<void(Outcome &)> &How) {
  const auto Found = OutcomeByCall_.find({Index, Call});
  if (Found == OutcomeByCall_.end())
    return;
  const std::size_t Which = Found->second;
  OutcomeByCall_.erase(Found);
  Outcome &O = Outcomes_[Which];
  How(O);
  O.Ended_ = true;
  O.EndedAt_ = Now_;
  if (OnOutcomeEnded_)
    OnOutcomeEnded_(Which);
}

} // namespace endivewharf::fakes
