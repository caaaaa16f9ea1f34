// The fakes' clock, network, platform, engines and callers.
#include "world.h"

#include "codec.h"
#include "router.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf::fakes {

namespace {

constexpr Millis LogWait = 1000;  // ms of a long poll
constexpr Millis LogLimit = 2500; // ms until an exchange with the log fails
constexpr Millis LogPoll = 10;    // ms

Life lifeOf(const State &S) { return S.Self_; }

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
    : Random_(Options.Seed_), Options_(Options) {
  for (int I = 0; I < Options.Entries_; ++I) {
    Entry New;
    New.State_ = makeState(settingsOf(I), 1 + static_cast<std::uint64_t>(I));
    Entries_.push_back(std::move(New));
    const std::uint64_t Life = Entries_.back().State_.Self_.Incarnation_;
    at(Now_ + I % Options_.TickMs_, [this, I, Life] { tick(I, Life); });
  }
}

std::string World::dataCentre(int Index) const {
  return fmt::format("dc{}", Index % Options_.DataCentres_);
}

Settings World::settingsOf(int Index) const {
  Settings S = Options_.Base_;
  S.Name_ = fmt::format("entry-{}", Index);
  S.DataCentre_ = dataCentre(Index);
  S.Zone_ =
      fmt::format("{}-{}", S.DataCentre_, (Index / Options_.DataCentres_) % 2);
  S.CloudUrl_ = "http://cloud";
  for (int I = 0; I < Options_.Entries_; ++I)
    if (I != Index)
      S.Peers_.push_back({fmt::format("entry-{}", I),
                          {"127.0.0.1", 9000 + I},
                          dataCentre(I),
                          fmt::format("{}-{}", dataCentre(I),
                                      (I / Options_.DataCentres_) % 2)});
  return S;
}

int World::addEngine(std::string Name, std::string DataCentre,
                     std::vector<LoadedVersion> Loaded, EngineShape Shape,
                     double Price) {
  FakeEngine New;
  New.Row_.Host_ = {std::move(Name), 1};
  New.Row_.Address_ = fmt::format("http://engine-{}", Engines_.size());
  New.Row_.DataCentre_ = std::move(DataCentre);
  New.Row_.Zone_ = New.Row_.DataCentre_ + "-0";
  New.Row_.Price_ = Price;
  New.Shape_ = Shape;
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

LogOffset World::publish(const LogRecord &Record) {
  LogRecords_.push_back(encodeRecord(Record));
  return LogEarliest_ + static_cast<LogOffset>(LogRecords_.size()) - 1;
}

void World::publishConfig(const std::string &Text, LogOffset Base) {
  publish(ConfigRecord{Base, Text});
}

// --- Time ---

void World::at(Millis When, std::function<void()> Then) {
  Queue_.push({When, NextOrder_++, std::move(Then)});
}

void World::run(Millis For) {
  const Millis Until = Now_ + For;
  while (!Queue_.empty() && Queue_.top().At_ <= Until) {
    Timed Next = Queue_.top();
    Queue_.pop();
    Now_ = std::max(Now_, Next.At_);
    Next.Then_();
  }
  Now_ = Until;
}

bool World::runUntil(const std::function<bool()> &Condition, Millis Limit) {
  const Millis Until = Now_ + Limit;
  while (Now_ < Until) {
    if (Condition())
      return true;
    run(10);
  }
  return Condition();
}

double World::chance() {
  return std::uniform_real_distribution<>(0, 1)(Random_);
}

void World::tick(int Index, std::uint64_t Life) {
  Entry &E = Entries_[Index];
  if (!E.Alive_ || E.State_.Self_.Incarnation_ != Life)
    return;
  if (!E.Paused_)
    feed(Index, Tick{});
  at(Now_ + Options_.TickMs_, [this, Index, Life] { tick(Index, Life); });
}

void World::deliver(int Index, std::uint64_t Life, EventBody Body) {
  Entry &E = Entries_[Index];
  if (!E.Alive_ || E.State_.Self_.Incarnation_ != Life)
    return;
  if (E.Paused_)
    E.Backlog_.push_back(std::move(Body));
  else
    feed(Index, std::move(Body));
}

void World::feed(int Index, EventBody Body) {
  Entry &E = Entries_[Index];
  const Event Next{Now_, unixNow(), Random_(), std::move(Body)};
  for (const Effect &Out : reduce(E.State_, Next)) {
    if (Watch_)
      Watch_(Index, Out);
    carryOut(Index, Out);
  }
}

void World::inject(int Index,
                   const std::function<void(State &, Effects &)> &Run) {
  Effects Out;
  Run(Entries_[Index].State_, Out);
  for (const Effect &E : Out)
    carryOut(Index, E);
}

// --- Effects ---

namespace {

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace

void World::carryOut(int Index, const Effect &Out) {
  const std::uint64_t Life = lifeOf(Entries_[Index].State_).Incarnation_;
  std::visit(
      Overloaded{[&](const StartAttempt &E) { startAttempt(Index, E); },
                 [&](const CancelAttempt &E) {
                   Cancelled_.insert({Index, E.Attempt_});
                 },
                 [&](const SendToPeer &E) { sendToPeer(Index, E); },
                 [&](const SendToPeers &E) {
                   for (const std::string &Peer : E.Peers_)
                     sendToPeer(Index, {Peer, E.Message_});
                 },
                 [&](const ReadLog &E) {
                   readLog(Index, Life, E.From_, Now_ + LogWait);
                 },
                 [&](const AppendToLog &E) { append(Index, E); },
                 [&](const ReadHosts &) { readHosts(Index); },
                 [&](const ReadNotices &) { readNotices(Index); },
                 [&](const ProbeUpstream &E) { probe(Index, E); },
                 [&](const OrderLoad &E) { order(E); },
                 [&](const SendToken &E) { onToken(Index, E); },
                 [&](const FinishStream &E) {
                   end(Index, E.Call_, [&](Outcome &O) {
                     O.Answered_ = true;
                     O.Wrong_ = O.Wrong_ || O.Tokens_ != E.Tokens_;
                   });
                 },
                 [&](const ReplyWhole &E) {
                   end(Index, E.Call_, [&](Outcome &O) {
                     O.Answered_ = true;
                     std::string Expected;
                     for (std::int64_t I = 0; I < E.Tokens_; ++I)
                       Expected += tokenText(O.Request_.Prompt_, I);
                     O.Wrong_ = E.Text_ != Expected ||
                                E.Tokens_ != O.Request_.MaxTokens_;
                     O.Tokens_ = E.Tokens_;
                   });
                 },
                 [&](const ReplyService &E) {
                   end(Index, E.Call_, [&](Outcome &O) {
                     O.Answered_ = true;
                     O.Status_ = E.Status_;
                     O.Body_ = E.Body_;
                     O.Replayed_ = E.Replayed_;
                   });
                 },
                 [&](const RefuseCall &E) {
                   end(Index, E.Call_, [&](Outcome &O) {
                     O.Error_ = E.Error_;
                     O.RunsAtRefusal_ = Executions_[O.Request_.IdempotencyKey_];
                   });
                 },
                 [&](const MoveStream &E) {
                   end(Index, E.Call_, [&](Outcome &O) { O.Moved_ = true; });
                 },
                 [&](const ExitProcess &) {
                   Entries_[Index].Exited_ = true;
                   kill(Index);
                 },
                 [](const auto &) {}},
      Out);
}

bool World::linked(const std::string &A, const std::string &B) const {
  return A == B || (CutCentres_.count(A) == 0 && CutCentres_.count(B) == 0);
}

bool World::platformReachable(int Index) const {
  return CutFromPlatform_.count(dataCentre(Index)) == 0;
}

void World::sendToPeer(int From, const SendToPeer &E) {
  Entry &Sender = Entries_[From];
  ++Sender.Messages_;
  std::int64_t Bytes = 0;
  if (Options_.CountBytes_) {
    Bytes = static_cast<std::int64_t>(
        encodeMessage({Sender.State_.Self_, E.Message_}).size());
    Sender.BytesSent_ += Bytes;
    Sender.BytesByType_[std::string(messageName(E.Message_))] += Bytes;
  }
  const int To = std::stoi(E.Peer_.substr(E.Peer_.rfind('-') + 1));
  if (!linked(dataCentre(From), dataCentre(To)) || chance() < Options_.Loss_)
    return;
  const PeerEnvelope Envelope{Sender.State_.Self_, E.Message_};
  at(Now_ + Options_.PeerDelay_, [this, To, Envelope, Bytes] {
    Entries_[To].BytesReceived_ += Bytes;
    deliver(To, Entries_[To].State_.Self_.Incarnation_, PeerReceived{Envelope});
  });
}

void World::readLog(int Index, std::uint64_t Life, LogOffset From,
                    Millis Until) {
  if (LogDown_ || !platformReachable(Index)) {
    at(Now_ + Options_.LogDelay_,
       [this, Index, Life] { deliver(Index, Life, LogReadFailed{}); });
    return;
  }
  const LogOffset Next =
      LogEarliest_ + static_cast<LogOffset>(LogRecords_.size());
  if (From >= Next && Now_ < Until) {
    at(Now_ + LogPoll,
       [this, Index, Life, From, Until] { readLog(Index, Life, From, Until); });
    return;
  }
  LogRead Page;
  Page.Earliest_ = LogEarliest_;
  Page.AtTail_ = true;
  for (LogOffset O = std::max(From, LogEarliest_); O < Next; ++O) {
    LogEntry Row;
    Row.Offset_ = O;
    auto Record =
        decodeRecord(LogRecords_[static_cast<std::size_t>(O - LogEarliest_)]);
    if (Record)
      Row.Record_ = std::move(*Record);
    Page.Entries_.push_back(std::move(Row));
  }
  Page.Next_ = Next;
  at(Now_ + 2 * Options_.LogDelay_, [this, Index, Life, Page] {
    if (platformReachable(Index))
      deliver(Index, Life, Page);
    else
      deliver(Index, Life, LogReadFailed{});
  });
}

void World::append(int Index, const AppendToLog &E) {
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  const bool Down = LogDown_ || !platformReachable(Index);
  if (Down || chance() < DropAppends_) {
    at(Now_ + 2 * Options_.LogDelay_, [this, Index, Life, Id = E.Append_] {
      deliver(Index, Life, AppendEnded{Id, false});
    });
    return;
  }
  const bool Lost = chance() < LoseAppendReplies_;
  at(Now_ + Options_.LogDelay_, [this, Index, Life, E, Lost] {
    ++Appends_;
    for (const LogRecord &Record : E.Records_)
      publish(Record);
    const Millis Reply = Lost ? LogLimit : Options_.LogDelay_;
    at(Now_ + Reply, [this, Index, Life, Id = E.Append_, Lost] {
      deliver(Index, Life, AppendEnded{Id, !Lost});
    });
  });
}

void World::readHosts(int Index) {
  if (!platformReachable(Index))
    return;
  HostsRead Page;
  for (const FakeEngine &E : Engines_)
    if (!E.Row_.Address_.empty())
      Page.Hosts_.push_back(E.Row_);
  for (const FakeService &Service : Services_)
    Page.Hosts_.push_back(Service.Row_);
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  at(Now_ + Options_.HostLag_,
     [this, Index, Life, Page] { deliver(Index, Life, Page); });
}

void World::readNotices(int Index) {
  Entry &E = Entries_[Index];
  if (!platformReachable(Index) || E.NoticesSeen_ == Notices_.size())
    return;
  NoticesRead Page;
  Page.Notices_.assign(Notices_.begin() +
                           static_cast<std::ptrdiff_t>(E.NoticesSeen_),
                       Notices_.end());
  E.NoticesSeen_ = Notices_.size();
  at(Now_ + Options_.LogDelay_,
     [this, Index, Life = E.State_.Self_.Incarnation_, Page] {
       deliver(Index, Life, Page);
     });
}

int World::engineAt(const std::string &Address) const {
  const auto Found = EngineByAddress_.find(Address);
  return Found == EngineByAddress_.end() ? -1 : Found->second;
}

void World::probe(int Index, const ProbeUpstream &E) {
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  ProbeEnded Report;
  Report.Host_ = E.Host_;
  const int Which = engineAt(E.Address_);
  if (Which >= 0) {
    const FakeEngine &Engine = Engines_[Which];
    Report.Reached_ =
        !Engine.Dead_ && linked(dataCentre(Index), Engine.Row_.DataCentre_);
    Report.Leaving_ = Engine.Leaving_ && !Engine.SilentAbout_;
    Report.Running_ = Engine.Running_;
    Report.Waiting_ = static_cast<int>(Engine.Queue_.size());
    Report.Slots_ = Engine.Shape_.Slots_;
    Report.Loaded_ = {Engine.Loaded_.begin(), Engine.Loaded_.end()};
  } else {
    for (const FakeService &Service : Services_)
      if (Service.Row_.Address_ == E.Address_)
        Report.Reached_ = !Service.Dead_;
  }
  at(Now_ + Options_.ReportLag_,
     [this, Index, Life, Report] { deliver(Index, Life, Report); });
}

// --- Callers ---

CallRequest World::completion(std::string Key, std::string Model,
                              std::string Prompt, std::int64_t Tokens) {
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

CallRequest World::booking(std::string Key, std::string Service,
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

bool World::refuseDead(std::size_t Which) {
  const Outcome &O = Outcomes_[Which];
  if (Entries_[O.Entry_].Alive_)
    return false;
  end(O.Entry_, O.Call_, [](Outcome &Dead) { Dead.Cut_ = true; });
  return true;
}

std::size_t World::send(int Index, CallRequest Request) {
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
  if (!refuseDead(Which))
    deliver(Index, Entries_[Index].State_.Self_.Incarnation_,
            RequestArrived{New.Call_, std::move(Request)});
  return Which;
}

std::size_t World::resume(int Index, std::size_t Before) {
  Outcome New;
  New.Entry_ = Index;
  New.Call_ = NextCall_++;
  New.Request_ = Outcomes_[Before].Request_;
  New.SentAt_ = Now_;
  New.Tokens_ = Outcomes_[Before].Tokens_;
  New.Wrong_ = Outcomes_[Before].Wrong_;
  Outcomes_.push_back(New);
  const std::size_t Which = Outcomes_.size() - 1;
  OutcomeByCall_[{Index, New.Call_}] = Which;
  if (!refuseDead(Which))
    deliver(Index, Entries_[Index].State_.Self_.Incarnation_,
            ResumeArrived{New.Call_, New.Request_.RequestId_,
                          New.Request_.ApiKey_, New.Tokens_});
  return Which;
}

void World::leave(std::size_t Which) {
  const Outcome &O = Outcomes_[Which];
  OutcomeByCall_.erase({O.Entry_, O.Call_});
  deliver(O.Entry_, Entries_[O.Entry_].State_.Self_.Incarnation_,
          CallerGone{O.Call_});
}

void World::onToken(int Index, const SendToken &E) {
  const auto Found = OutcomeByCall_.find({Index, E.Call_});
  if (Found == OutcomeByCall_.end())
    return;
  Outcome &O = Outcomes_[Found->second];
  if (O.FirstTokenAt_ < 0)
    O.FirstTokenAt_ = Now_;
  if (E.Index_ != O.Tokens_ ||
      E.Text_ != tokenText(O.Request_.Prompt_, E.Index_))
    O.Wrong_ = true;
  ++O.Tokens_;
}

void World::end(int Index, CallId Call,
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
  if (OnEnded_)
    OnEnded_(Which);
}

} // namespace endivewharf::fakes
