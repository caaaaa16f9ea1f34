// Small fakes around the reducer on one fake clock: entry processes, a lossy
// network, the log, the host list, engines and services with faults. Used by
// tests and benches of decisions; deterministic for a seed.
#pragma once

#include "core.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivewharf::fakes {

constexpr Millis UpstreamDelay = 1; // ms one way

/// How an engine treats attempts at one version.
struct VersionFault {
  double FailShare_ = 0;   ///< Attempts that fail.
  double Slowdown_ = 1;    ///< Factor on all times.
  int MinRunning_ = 0;     ///< Only from this many streams on.
  std::string Route_;      ///< Only on this route; empty for all.
  std::string DataCentre_; ///< Only here; empty for all.
  Millis From_ = 0;        ///< Only from this time on.
};

struct EngineShape {
  int Slots_ = 8;
  int Queue_ = 16;
  double TokenMs_ = 10;
  double PrefillMsPerBlock_ = 8;
  std::size_t CacheBlocks_ = 256;
  Millis LoadMs_ = 1000;
};

struct WorldOptions {
  std::uint64_t Seed_ = 1;
  int Entries_ = 4;
  int DataCentres_ = 3;
  Millis TickMs_ = 50;
  double Loss_ = 0;      ///< Share of peer messages that are lost.
  Millis PeerDelay_ = 1; ///< One way.
  Millis LogDelay_ = 3;  ///< One way.
  Millis HostLag_ = 200;
  Millis ReportLag_ = 200;
  bool CountBytes_ = false;
  bool IgnoreResume_ = false; ///< Engines start each attempt from nothing.
  Settings Base_;             ///< Limits of all entry processes.
};

/// What a caller got for one request.
struct Outcome {
  int Entry_ = 0;
  CallId Call_ = 0;
  CallRequest Request_;
  Millis SentAt_ = 0;
  Millis FirstTokenAt_ = -1;
  Millis EndedAt_ = -1;
  std::int64_t Tokens_ = 0; ///< Next index that the caller expects.
  bool Ended_ = false;
  bool Answered_ = false;
  bool Wrong_ = false;
  bool Moved_ = false;
  bool Cut_ = false; ///< Its entry process died.
  CallError Error_;
  int RunsAtRefusal_ = 0; ///< Of the call's key, by then.
  int Status_ = 0;
  std::string Body_;
  bool Replayed_ = false;
};

struct FakeEngine {
  HostRow Row_;
  EngineShape Shape_;
  std::set<LoadedVersion> Loaded_;
  bool Dead_ = false;
  bool Leaving_ = false;     ///< Refuses new work.
  bool SilentAbout_ = false; ///< Its reports don't tell; its refusals do.
  LogOffset LastEpoch_ = NoOffset;
  std::int64_t OrdersTaken_ = 0;
  int Running_ = 0;
  struct Job {
    int Entry_ = 0;
    std::uint64_t Life_ = 0;
    StartAttempt Start_;
  };
  std::deque<Job> Queue_;
  std::list<std::uint64_t> Recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Cache_;
  std::int64_t BlocksComputed_ = 0;
  std::int64_t BlocksAsked_ = 0;
  std::int64_t TokensGeneratedAgain_ = 0;
  std::int64_t Attempts_ = 0;
  std::map<std::string, std::int64_t> AttemptsByVersion_;
  Millis LastStart_ = -1;
  Millis BusyMs_ = 0;
};

struct FakeService {
  HostRow Row_;
  bool Dead_ = false;
  bool Refuse_ = false;
  int LoseReplies_ = 0;
  Millis DelayMs_ = 5;
};

struct Entry {
  State State_;
  bool Alive_ = true;
  bool Paused_ = false;
  std::deque<EventBody> Backlog_; ///< What came in while it was paused.
  std::size_t NoticesSeen_ = 0;
  std::int64_t BytesSent_ = 0;
  std::int64_t BytesReceived_ = 0;
  std::int64_t Messages_ = 0;
  std::map<std::string, std::int64_t> BytesByType_;
  bool Exited_ = false;
};

class World {
public:
  explicit World(const WorldOptions &Options);

  // Building.
  int addEngine(std::string Name, std::string DataCentre,
                std::vector<LoadedVersion> Loaded, EngineShape Shape = {},
                double Price = 1);
  int addService(std::string Name, std::string Service, std::string DataCentre);
  void publishConfig(const std::string &Text, LogOffset Base = NoOffset);
  LogOffset publish(const LogRecord &Record);
  std::string dataCentre(int Index) const;

  // Time.
  void run(Millis For);
  bool runUntil(const std::function<bool()> &Condition, Millis Limit);
  void at(Millis When, std::function<void()> Then);
  Millis now() const { return Now_; }
  std::int64_t unixNow() const { return UnixBase_ + Now_; }

  // Callers.
  /// @return number of the outcome
  std::size_t send(int Entry, CallRequest Request);
  std::size_t resume(int Entry, std::size_t Before);
  void leave(std::size_t Which);
  Outcome &outcome(std::size_t Which) { return Outcomes_[Which]; }
  std::deque<Outcome> &outcomes() { return Outcomes_; }
  static CallRequest completion(std::string Key, std::string Model,
                                std::string Prompt, std::int64_t Tokens);
  static CallRequest booking(std::string Key, std::string Service,
                             std::string IdempotencyKey);

  /// Runs code on a process's state as if within an event.
  void inject(int Entry, const std::function<void(State &, Effects &)> &Run);

  // Faults.
  void kill(int Entry);
  void restart(int Entry);
  void pause(int Entry);
  void wake(int Entry);
  void stop(int Entry, Millis TimeLeft);
  void killEngine(int Engine);
  void notice(const Life &Host, Millis TimeLeft);
  void listLeaving(const Life &Host);
  void hideFromList(const Life &Host);
  void cut(const std::string &DataCentre, bool Cut); ///< From other centres.
  void cutPlatform(const std::string &DataCentre, bool Cut);
  void setVersionFault(const std::string &Version, VersionFault Fault);

  Entry &entry(int Index) { return Entries_[Index]; }
  State &state(int Index) { return Entries_[Index].State_; }
  int entries() const { return static_cast<int>(Entries_.size()); }
  std::deque<FakeEngine> Engines_;
  std::deque<FakeService> Services_;
  std::map<std::string, int> Executions_; ///< By idempotency key.
  std::map<std::string, int> ExecutionsByRequest_;
  bool LogDown_ = false;
  double LoseAppendReplies_ = 0; ///< Share of appends whose reply is lost.
  double DropAppends_ = 0;       ///< Share of appends that fail.
  std::int64_t Appends_ = 0;
  std::vector<std::string> LogRecords_;
  LogOffset LogEarliest_ = 0;
  std::function<void(int Entry, const Effect &)> Watch_; ///< Sees all effects.
  std::function<void(std::size_t Outcome)> OnEnded_;
  std::mt19937_64 Random_;

private:
  struct Timed {
    Millis At_;
    std::uint64_t Order_;
    std::function<void()> Then_;
    bool operator>(const Timed &Other) const {
      return std::pair(At_, Order_) > std::pair(Other.At_, Other.Order_);
    }
  };

  double chance();
  void deliver(int Entry, std::uint64_t Life, EventBody Body);
  void feed(int Entry, EventBody Body);
  void carryOut(int Entry, const Effect &E);
  void tick(int Entry, std::uint64_t Life);
  bool platformReachable(int Entry) const;
  bool linked(const std::string &A, const std::string &B) const;
  void sendToPeer(int From, const SendToPeer &E);
  void readLog(int Entry, std::uint64_t Life, LogOffset From, Millis Until);
  void append(int Entry, const AppendToLog &E);
  void readHosts(int Entry);
  void readNotices(int Entry);
  void probe(int Entry, const ProbeUpstream &E);
  void order(const OrderLoad &E);
  void startAttempt(int Entry, const StartAttempt &E);
  void startService(int Entry, const StartAttempt &E, FakeService &To);
  void startJobs(FakeEngine &Engine);
  void runJob(FakeEngine &Engine, const FakeEngine::Job &Job);
  void nextToken(int Engine, const FakeEngine::Job &Job, std::int64_t Index,
                 double Slowdown, std::int64_t Blocks);
  void endJob(FakeEngine &Engine);
  const VersionFault *faultOf(const FakeEngine &Engine,
                              const StartAttempt &Start) const;
  int engineAt(const std::string &Address) const;
  std::size_t *outcomeOf(int Entry, CallId Call);
  bool refuseDead(std::size_t Which);
  void onToken(int Entry, const SendToken &E);
  void end(int Entry, CallId Call, const std::function<void(Outcome &)> &How);
  Settings settingsOf(int Index) const;

  WorldOptions Options_;
  Millis Now_ = 1000;
  std::int64_t UnixBase_ = 1'800'000'000'000;
  std::uint64_t NextOrder_ = 0;
  std::priority_queue<Timed, std::vector<Timed>, std::greater<>> Queue_;
  std::deque<Entry> Entries_;
  std::deque<Outcome> Outcomes_;
  std::map<std::pair<int, CallId>, std::size_t> OutcomeByCall_;
  CallId NextCall_ = 1;
  std::set<std::string> CutCentres_;
  std::set<std::string> CutFromPlatform_;
  std::map<std::string, VersionFault> Faults_;
  std::vector<ReclaimNotice> Notices_;
  std::set<std::pair<int, AttemptId>> Cancelled_;
  std::map<std::string, int> EngineByAddress_;
};

/// Text of one token; depends on the prompt and the index only.
std::string tokenText(const std::string &Prompt, std::int64_t Index);

/// A configuration with accounts k0..k4 (one of them large), models and a
/// service `desk` whose POST may not be repeated.
std::string exampleConfig(const std::vector<std::string> &Models);

} // namespace endivewharf::fakes
