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
  double FailureShare_ = 0;    ///< Attempts that fail.
  double SlowdownFactor_ = 1;  ///< Factor on all times.
  int MinRunningRequests_ = 0; ///< Only from this many streams on.
  std::string Route_;          ///< Only on this route; empty for all.
  std::string DataCentre_;     ///< Only here; empty for all.
  Millis ActiveFrom_ = 0;      ///< Only from this time on.
};

struct EngineParameters {
  int Slots_ = 8;
  int MaxQueueLength_ = 16;
  double MsPerToken_ = 10;
  double PrefillMsPerBlock_ = 8;
  std::size_t CacheBlocks_ = 256;
  Millis ModelLoadMs_ = 1000;
};

struct WorldOptions {
  std::uint64_t Seed_ = 1;
  int EntryCount_ = 4;
  int DataCentreCount_ = 3;
  Millis TickPeriod_ = 50;
  double PeerMessageLossShare_ = 0; ///< Share of peer messages that are lost.
  Millis PeerDelay_ = 1;            ///< One way.
  Millis LogDelay_ = 3;             ///< One way.
  Millis HostListDelay_ = 200;
  Millis ProbeAnswerDelay_ = 200;
  bool CountPeerBytes_ = false;
  bool EnginesIgnoreResume_ =
      false;              ///< Engines start each attempt from nothing.
  Settings BaseSettings_; ///< Limits of all entry processes.
};

/// What a caller got for one request.
struct Outcome {
  int Entry_ = 0;
  CallId Call_ = 0;
  CallRequest Request_;
  Millis SentAt_ = 0;
  Millis FirstTokenAt_ = -1;
  Millis EndedAt_ = -1;
  std::int64_t TokensReceived_ = 0; ///< Next index that the caller expects.
  bool Ended_ = false;
  bool Answered_ = false;
  bool TokenSequenceWrong_ = false;
  bool Redirected_ = false;
  bool EntryDied_ = false; ///< Its entry process died.
  CallError Error_;
  int ExecutionsAtRefusal_ = 0; ///< Of the call's key, by then.
  int Status_ = 0;
  std::string Body_;
  bool Replayed_ = false;
};

struct FakeEngine {
  HostRow Row_;
  EngineParameters Parameters_;
  std::set<LoadedVersion> Loaded_;
  bool Dead_ = false;
  bool Leaving_ = false; ///< Refuses new work.
  bool HidesLeavingFromProbes_ =
      false; ///< Its reports don't tell; its refusals do.
  LogOffset LastEpoch_ = NoOffset;
  std::int64_t LoadCommandsAccepted_ = 0;
  int RunningRequests_ = 0;
  struct Job {
    int Entry_ = 0;
    std::uint64_t Incarnation_ = 0;
    StartAttempt Start_;
  };
  std::deque<Job> WaitingJobs_;
  std::list<std::uint64_t> CacheLruOrder_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      CachedBlocks_;
  std::int64_t BlocksComputed_ = 0;
  std::int64_t BlocksRequested_ = 0;
  std::int64_t TokensRegenerated_ = 0;
  std::int64_t AttemptCount_ = 0;
  std::map<std::string, std::int64_t> AttemptsByVersion_;
  Millis LastAttemptAt_ = -1;
  Millis BusyMs_ = 0;
};

struct FakeService {
  HostRow Row_;
  bool Dead_ = false;
  bool RefusesRequests_ = false;
  int RepliesToLose_ = 0;
  Millis AnswerDelayMs_ = 5;
};

struct FakeEntry {
  State State_;
  bool Alive_ = true;
  bool Paused_ = false;
  std::deque<EventBody> Backlog_; ///< What came in while it was paused.
  std::size_t NoticeCursor_ = 0;
  std::int64_t BytesSent_ = 0;
  std::int64_t BytesReceived_ = 0;
  std::int64_t MessagesSent_ = 0;
  std::map<std::string, std::int64_t> BytesSentByType_;
  bool Exited_ = false;
};

class World {
public:
  explicit World(const WorldOptions &Options);

  // Building.
  int addEngine(std::string Name, std::string DataCentre,
                std::vector<LoadedVersion> Loaded, EngineParameters Shape = {},
                double Price = 1);
  int addService(std::string Name, std::string Service, std::string DataCentre);
  void publishConfig(const std::string &Text, LogOffset Base = NoOffset);
  LogOffset appendLogRecord(const LogRecord &Record);
  std::string dataCentre(int Index) const;

  // Time.
  void runFor(Millis For);
  bool runUntil(const std::function<bool()> &Condition, Millis Limit);
  void scheduleAt(Millis When, std::function<void()> Then);
  Millis now() const { return Now_; }
  std::int64_t unixNow() const { return UnixMsAtZero_ + Now_; }

  // Callers.
  /// @return number of the outcome
  std::size_t sendRequest(int Entry, CallRequest Request);
  std::size_t resumeStream(int Entry, std::size_t Before);
  void disconnectCaller(std::size_t Which);
  Outcome &outcome(std::size_t Which) { return Outcomes_[Which]; }
  std::deque<Outcome> &outcomes() { return Outcomes_; }
  static CallRequest makeCompletionRequest(std::string Key, std::string Model,
                                           std::string Prompt,
                                           std::int64_t Tokens);
  static CallRequest makeServiceRequest(std::string Key, std::string Service,
                                        std::string IdempotencyKey);

  /// Runs code on a process's state as if within an event.
  void runOnState(int Entry,
                  const std::function<void(State &, Effects &)> &Run);

  // Faults.
  void killEntry(int Entry);
  void restartEntry(int Entry);
  void pauseEntry(int Entry);
  void unpauseEntry(int Entry);
  void requestStop(int Entry, Millis TimeLeft);
  void killEngine(int Engine);
  void publishReclaimNotice(const InstanceId &Host, Millis TimeLeft);
  void markLeavingInHostList(const InstanceId &Host);
  void hideFromHostList(const InstanceId &Host);
  void setDataCentreIsolated(const std::string &DataCentre,
                             bool Cut); ///< From other centres.
  void setPlatformUnreachable(const std::string &DataCentre, bool Cut);
  void setVersionFault(const std::string &Version, VersionFault Fault);

  FakeEntry &entry(int Index) { return Entries_[Index]; }
  State &state(int Index) { return Entries_[Index].State_; }
  int entryCount() const { return static_cast<int>(Entries_.size()); }
  std::deque<FakeEngine> Engines_;
  std::deque<FakeService> Services_;
  std::map<std::string, int> ExecutionsByKey_; ///< By idempotency key.
  std::map<std::string, int> ExecutionsByRequest_;
  bool LogUnavailable_ = false;
  double LostAppendReplyShare_ = 0; ///< Share of appends whose reply is lost.
  double FailedAppendShare_ = 0;    ///< Share of appends that fail.
  std::int64_t AppendCount_ = 0;
  std::vector<std::string> LogRecords_;
  LogOffset EarliestOffset_ = 0;
  std::function<void(int Entry, const Effect &)>
      OnEffect_; ///< Sees all effects.
  std::function<void(std::size_t Outcome)> OnOutcomeEnded_;
  std::mt19937_64 RandomGenerator_;

private:
  struct ScheduledTask {
    Millis DueAt_;
    std::uint64_t Sequence_;
    std::function<void()> Task_;
    bool operator>(const ScheduledTask &Other) const {
      return std::pair(DueAt_, Sequence_) >
             std::pair(Other.DueAt_, Other.Sequence_);
    }
  };

  double randomFraction();
  void deliverEvent(int Entry, std::uint64_t Life, EventBody Body);
  void reduceEvent(int Entry, EventBody Body);
  void executeEffect(int Entry, const Effect &E);
  void tickEntry(int Entry, std::uint64_t Life);
  bool isPlatformReachable(int Entry) const;
  bool areConnected(const std::string &A, const std::string &B) const;
  void sendToPeer(int From, const SendToPeer &E);
  void readLog(int Entry, std::uint64_t Life, LogOffset From, Millis Until);
  void appendToLog(int Entry, const AppendToLog &E);
  void readHosts(int Entry);
  void readReclaimNotices(int Entry);
  void probeUpstream(int Entry, const ProbeUpstream &E);
  void applyLoadCommand(const LoadModelVersion &E);
  void startAttempt(int Entry, const StartAttempt &E);
  void startServiceAttempt(int Entry, const StartAttempt &E, FakeService &To);
  void startWaitingJobs(FakeEngine &Engine);
  void runJob(FakeEngine &Engine, const FakeEngine::Job &Job);
  void generateNextToken(int Engine, const FakeEngine::Job &Job,
                         std::int64_t Index, double Slowdown,
                         std::int64_t Blocks);
  void endJob(FakeEngine &Engine);
  const VersionFault *findActiveFault(const FakeEngine &Engine,
                                      const StartAttempt &Start) const;
  int engineIndexByAddress(const std::string &Address) const;
  std::size_t *findOutcome(int Entry, CallId Call);
  bool endIfEntryDead(std::size_t Which);
  void recordToken(int Entry, const SendToken &E);
  void endOutcome(int Entry, CallId Call,
                  const std::function<void(Outcome &)> &How);
  Settings settingsForEntry(int Index) const;

  WorldOptions Options_;
  Millis Now_ = 1000;
  std::int64_t UnixMsAtZero_ = 1'800'000'000'000;
  std::uint64_t NextSequence_ = 0;
  std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, std::greater<>>
      ScheduledTasks_;
  std::deque<FakeEntry> Entries_;
  std::deque<Outcome> Outcomes_;
  std::map<std::pair<int, CallId>, std::size_t> OutcomeByCall_;
  CallId NextCall_ = 1;
  std::set<std::string> IsolatedDataCentres_;
  std::set<std::string> DataCentresWithoutPlatform_;
  std::map<std::string, VersionFault> VersionFaults_;
  std::vector<ReclaimNotice> ReclaimNotices_;
  std::set<std::pair<int, AttemptId>> CancelledAttempts_;
  std::map<std::string, int> EngineByAddress_;
};

/// Text of one token; depends on the prompt and the index only.
std::string tokenText(const std::string &Prompt, std::int64_t Index);

/// A configuration with accounts k0..k4 (one of them large), models and a
/// service `desk` whose POST may not be repeated.
std::string exampleConfig(const std::vector<std::string> &Models);

} // namespace endivewharf::fakes
