// Simulates a deployment around the reducer on one simulated clock: entry
// processes, a lossy network, the log, the host list, and engines and services
// with faults. Tests and benches use it; a run is deterministic for its seed.
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

constexpr Millis UpstreamDelay = 1; // one way

/// How an engine treats attempts at one version.
struct VersionFault {
  double FailureFraction_ = 0; ///< Fraction of the attempts that fail.
  double SlowdownFactor_ = 1;  ///< Factor on prefill time and time per token.
  /// Running requests of the engine from which the fault applies.
  int MinRunningRequests_ = 0;
  std::string Route_;      ///< Route that is affected; empty for all.
  std::string DataCentre_; ///< Data centre that is affected; empty for all.
  Millis ActiveFrom_ = 0;  ///< Simulated time at which the fault begins.
};

struct EngineParameters {
  int Slots_ = 8; ///< Requests that run at the same time.
  int MaxQueueLength_ = 16;
  double MsPerToken_ = 10;        ///< Time per token with all slots in use.
  double PrefillMsPerBlock_ = 8;  ///< Prefill time of an uncached prompt block.
  std::size_t CacheBlocks_ = 256; ///< Size of the prefix cache (LRU).
  Millis ModelLoadMs_ = 1000;
};

struct WorldOptions {
  std::uint64_t Seed_ = 1;
  int EntryCount_ = 4;
  int DataCentreCount_ = 3;
  Millis TickPeriod_ = 50;
  double PeerMessageLossFraction_ = 0; ///< Fraction of peer messages lost.
  Millis PeerDelay_ = 1;               ///< One-way delay between peers.
  Millis LogDelay_ = 3;                ///< One-way delay to the log.
  Millis HostListDelay_ = 200;    ///< From reading the host list to its answer.
  Millis ProbeAnswerDelay_ = 200; ///< From a probe to its answer.
  bool CountPeerBytes_ = false;   ///< Encodes peer messages to count bytes.
  /// Engines generate each attempt from the first token, also if it resumes.
  bool EnginesIgnoreResume_ = false;
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
  bool EntryDied_ = false; ///< The entry process died before the end.
  CallError Error_;
  /// Executions of the call's idempotency key when the error was sent.
  int ExecutionsAtRefusal_ = 0;
  int Status_ = 0;
  std::string Body_;
  bool Replayed_ = false; ///< The answer is a stored one of an earlier call.
};

/// An engine with continuous batching, a request queue and a prefix cache.
struct FakeEngine {
  HostRow Row_;
  EngineParameters Parameters_;
  std::set<LoadedVersion> Loaded_;
  bool Dead_ = false;
  bool Leaving_ = false; ///< Refuses new work.
  /// Probe answers do not show that the engine is leaving; refusals do.
  bool HidesLeavingFromProbes_ = false;
  LogOffset LastEpoch_ = NoOffset; ///< Highest epoch of a load command.
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
  std::int64_t BlocksComputed_ = 0;  ///< Prompt blocks not found in the cache.
  std::int64_t BlocksRequested_ = 0; ///< Prompt blocks of all attempts.
  /// Tokens that a caller had already and that were generated again.
  std::int64_t TokensRegenerated_ = 0;
  std::int64_t AttemptCount_ = 0;
  std::map<std::string, std::int64_t> AttemptsByVersion_;
  Millis LastAttemptAt_ = -1;
  Millis BusyMs_ = 0;
};

/// A plain service that counts executions per idempotency key.
struct FakeService {
  HostRow Row_;
  bool Dead_ = false;
  bool RefusesRequests_ = false;
  int RepliesToLose_ = 0; ///< Next requests that run without an answer.
  Millis AnswerDelayMs_ = 5;
};

/// One entry process: its state, and what the simulation knows of it.
struct FakeEntry {
  State State_;
  bool Alive_ = true;
  bool Paused_ = false;
  std::deque<EventBody> Backlog_; ///< Events that arrived while paused.
  std::size_t NoticeCursor_ = 0;  ///< Reclaim notices read so far.
  std::int64_t BytesSent_ = 0;
  std::int64_t BytesReceived_ = 0;
  std::int64_t MessagesSent_ = 0;
  std::map<std::string, std::int64_t> BytesSentByType_;
  bool Exited_ = false; ///< The process asked to exit.
};

/// The simulated deployment. Entry processes, engines and outcomes are named by
/// their index.
class World {
public:
  explicit World(const WorldOptions &Options);

  // Construction.

  /// @param Name host name
  /// @param DataCentre data centre of the engine
  /// @param Loaded versions that are loaded from the start
  /// @param Parameters speed and sizes
  /// @param Price price per hour
  /// @return index of the engine
  int addEngine(std::string Name, std::string DataCentre,
                std::vector<LoadedVersion> Loaded,
                EngineParameters Parameters = {}, double Price = 1);

  /// @return index of the service host
  int addService(std::string Name, std::string Service, std::string DataCentre);

  /// Appends a configuration to the log.
  /// @param Text configuration in the operators' format
  /// @param Base version that it replaces
  void publishConfig(const std::string &Text, LogOffset Base = NoOffset);

  /// @return offset of the record
  LogOffset appendLogRecord(const LogRecord &Record);
  std::string dataCentre(int Index) const;

  // Time.

  /// Runs all tasks that are due within the duration.
  void runFor(Millis Duration);

  /// Checks a condition every 10 ms until it holds.
  /// @return false if it does not hold at the limit
  bool runUntil(const std::function<bool()> &Condition, Millis Limit);
  void scheduleAt(Millis DueAt, std::function<void()> Task);

  /// @return simulated monotonic time
  Millis now() const { return Now_; }

  /// @return simulated time in ms since 1970
  std::int64_t unixNow() const { return UnixMsAtZero_ + Now_; }

  // Callers.

  /// Sends a request; an empty request id gets a generated one.
  /// @return index of the outcome
  std::size_t sendRequest(int Entry, CallRequest Request);

  /// Resumes the stream of an earlier outcome at its next token.
  /// @return index of the new outcome
  std::size_t resumeStream(int Entry, std::size_t PreviousOutcome);

  /// Closes the caller's connection; the outcome never ends.
  void disconnectCaller(std::size_t OutcomeIndex);
  Outcome &outcome(std::size_t OutcomeIndex) { return Outcomes_[OutcomeIndex]; }
  std::deque<Outcome> &outcomes() { return Outcomes_; }
  static CallRequest makeCompletionRequest(std::string Key, std::string Model,
                                           std::string Prompt,
                                           std::int64_t Tokens);
  static CallRequest makeServiceRequest(std::string Key, std::string Service,
                                        std::string IdempotencyKey);

  /// Calls a function on a process's state and executes the effects it adds.
  void runOnState(int Entry,
                  const std::function<void(State &, Effects &)> &Run);

  // Faults.

  /// Ends a process without notice; the outcomes of its open calls end.
  void killEntry(int Entry);

  /// Starts a process with empty state and a new incarnation; kills it first if
  /// it runs.
  void restartEntry(int Entry);

  /// Suspends a process; its events, except ticks, are kept until it continues.
  void pauseEntry(int Entry);
  void unpauseEntry(int Entry);

  /// Asks a process to drain and exit within the time left.
  void requestStop(int Entry, Millis TimeLeft);

  /// Ends an engine without notice; the connections of its attempts break.
  void killEngine(int EngineIndex);

  /// Adds a reclaim notice of the platform; the host itself goes on running.
  void publishReclaimNotice(const InstanceId &Host, Millis TimeLeft);

  /// Shows an engine as leaving in the host list.
  void markLeavingInHostList(const InstanceId &Host);

  /// Removes an engine from the host list and clears its address.
  void hideFromHostList(const InstanceId &Host);

  /// Cuts or restores the network between a data centre and all others.
  void setDataCentreIsolated(const std::string &DataCentre, bool Isolated);

  /// Cuts or restores access from a data centre to the log and the platform.
  void setPlatformUnreachable(const std::string &DataCentre, bool Unreachable);

  /// Sets the fault of a model version, on all engines.
  void setVersionFault(const std::string &Version, VersionFault Fault);

  FakeEntry &entry(int Index) { return Entries_[Index]; }
  State &state(int Index) { return Entries_[Index].State_; }
  int entryCount() const { return static_cast<int>(Entries_.size()); }
  std::deque<FakeEngine> Engines_;
  std::deque<FakeService> Services_;
  /// Executions at services by idempotency key, or by request id without a key.
  std::map<std::string, int> ExecutionsByKey_;
  std::map<std::string, int> ExecutionsByRequest_;
  bool LogUnavailable_ = false;
  double LostAppendReplyFraction_ = 0; ///< Fraction of appends without a reply.
  double FailedAppendFraction_ = 0;    ///< Fraction of appends that fail.
  std::int64_t AppendCount_ = 0;
  std::vector<std::string> LogRecords_;
  LogOffset EarliestOffset_ = 0; ///< Offset of the first record in LogRecords_.
  /// Called for each effect of the reducer, before it is executed.
  std::function<void(int Entry, const Effect &)> OnEffect_;
  std::function<void(std::size_t OutcomeIndex)> OnOutcomeEnded_;
  std::mt19937_64 RandomGenerator_;

private:
  /// A task of the simulated clock; tasks due at the same time run in the order
  /// in which they were scheduled.
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
  /// Reduces an event, or queues it if the process is paused. An event for an
  /// earlier incarnation is dropped.
  void deliverEvent(int Entry, std::uint64_t Incarnation, EventBody Body);
  void reduceEvent(int Entry, EventBody Body);
  void executeEffect(int Entry, const Effect &ToExecute);
  void tickEntry(int Entry, std::uint64_t Incarnation);
  bool isPlatformReachable(int Entry) const;
  bool areConnected(const std::string &A, const std::string &B) const;
  void sendToPeer(int From, const SendToPeer &E);
  /// Answers a long poll as soon as there are records, at the latest at Until;
  /// fails it if the log cannot be reached.
  void readLog(int Entry, std::uint64_t Incarnation, LogOffset From,
               Millis Until);
  void appendToLog(int Entry, const AppendToLog &E);
  void readHosts(int Entry);
  void readReclaimNotices(int Entry);
  void probeUpstream(int Entry, const ProbeUpstream &E);
  void applyLoadCommand(const LoadModelVersion &E);
  void startAttempt(int Entry, const StartAttempt &E);
  void startServiceAttempt(int Entry, const StartAttempt &E,
                           FakeService &Service);
  void startWaitingJobs(FakeEngine &Engine);
  void runJob(FakeEngine &Engine, const FakeEngine::Job &Job);
  /// Sends one token and schedules the next one.
  /// @param ComputedBlocks prompt blocks computed for the attempt
  void generateNextToken(int EngineIndex, const FakeEngine::Job &Job,
                         std::int64_t TokenIndex, double Slowdown,
                         std::int64_t ComputedBlocks);
  void endJob(FakeEngine &Engine);

  /// @return fault that affects the attempt now, or nullptr
  const VersionFault *findActiveFault(const FakeEngine &Engine,
                                      const StartAttempt &Start) const;

  /// @return index of the engine, or -1 if the address is not one of an engine
  int engineIndexByAddress(const std::string &Address) const;
  std::size_t *findOutcome(int Entry, CallId Call);

  /// Ends an outcome if its entry process is dead.
  /// @return true if it was ended
  bool endIfEntryDead(std::size_t OutcomeIndex);
  void recordToken(int Entry, const SendToken &E);

  /// Ends the outcome of a call; does nothing if the call is not open.
  /// @param Update sets the result in the outcome
  void endOutcome(int Entry, CallId Call,
                  const std::function<void(Outcome &)> &Update);
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

/// @return text of one token; it depends only on the prompt and the index
std::string tokenText(const std::string &Prompt, std::int64_t Index);

/// @return configuration with the accounts a0 to a4 (keys k0 to k4, equal
/// weights), the models at version v1, and a service `desk` whose POST requests
/// may not be repeated
std::string exampleConfig(const std::vector<std::string> &Models);

} // namespace endivewharf::fakes
