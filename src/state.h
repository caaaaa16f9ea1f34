// The whole state of one entry process, as plain data. Only reduce() and the
// modules that it calls change it.
#pragma once

#include "config.h"
#include "effect.h"
#include "event.h"
#include "peerstate.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivewharf {

// --- Upstreams ---

/// One life of an upstream host.
struct Upstream {
  HostRow Row_;
  bool Leaving_ = false; ///< Never unset: a new life is a new upstream.
  bool Listed_ = true;   ///< Still on the host list, or missing for a moment.
  bool InLatestList_ = true; ///< On the host list as it was read last.
  std::set<LoadedVersion> Loaded_;
  int InFlight_ = 0;        ///< Attempts of this process.
  int BatchInFlight_ = 0;   ///< Of these, those of batch requests.
  double OthersLoad_ = 0;   ///< Moving average of other processes' requests.
  int WaitingRequests_ = 0; ///< Requests that the upstream reports as waiting.
  int Slots_ = 0;           ///< Requests that it runs at once; 0: not told.
  double AttemptMs_ = 300;  ///< Moving average of an attempt's duration.
  double ConcurrencyLimit_ =
      16; ///< Adaptive concurrency limit of this process.
  int ConsecutiveFailures_ = 0;
  Millis AvoidUntil_ = 0;
  Millis PausedUntil_ = 0; ///< It asked for nothing until then.
  Millis ProbedAt_ = 0;
  int InFlightAtProbe_ = 0;
  bool Probing_ = false;
  Millis LoadCommandSentAt_ = 0; ///< Last order to load a version.
  double FirstTokenMs_ = 50;     ///< Moving average, with an empty cache.
  double PrefillMs_ = 0;         ///< Of own attempts without a first event.
  double OthersPrefillMs_ = 0;   ///< The same, as others have told.
  Millis MissingSince_ = 0; ///< When it was first missing; 0: it is listed.
};

/// Upstreams that serve one model version or service, with a hash ring.
struct Pool {
  std::vector<int> UpstreamIndices_;
  std::vector<std::pair<std::uint64_t, int>> HashRing_; ///< Sorted by hash.
};

/// Lowest expected first-token time plus price among a few candidates.
struct CostPolicy {};
/// Each upstream in turn (baseline).
struct RoundRobinPolicy {
  std::size_t Next_ = 0;
};
/// Fewest attempts in flight (baseline).
struct LeastInFlightPolicy {};
/// The less busy one of two at random (baseline).
struct TwoChoicesPolicy {};
/// By the hash of the prompt's first block (baseline).
struct PrefixHashPolicy {};

using RoutePolicy =
    std::variant<CostPolicy, RoundRobinPolicy, LeastInFlightPolicy,
                 TwoChoicesPolicy, PrefixHashPolicy>;

// --- Calls ---

enum class CallPhase {
  Queued,          ///< Waits for an upstream.
  Claiming,        ///< Waits for its claim to be read in the log.
  Running,         ///< Has an attempt.
  AwaitingOutcome, ///< Waits for the outcome of another call with the same key.
  Locating,        ///< Waits for a peer to send the call's record.
  HandingOver      ///< Frozen until a peer acknowledges the record.
};

/// One caller's request from acceptance to the answer.
struct Call {
  CallId Id_ = 0;
  CallRequest Request_;
  std::string RequestId_;
  std::string Account_; ///< Name; empty for none.
  CallPhase Phase_ = CallPhase::Queued;
  Millis ArrivedAt_ = 0;
  Millis DispatchedAt_ = 0; ///< First attempt; 0: none yet.
  Millis Deadline_ = 0;
  bool StreamStarted_ = false;

  std::string GeneratedText_;          ///< Generated so far.
  std::int64_t NextIndex_ = 0;         ///< Next token to come from an upstream.
  std::int64_t NextSendIndex_ = 0;     ///< First token that this caller lacks.
  std::vector<std::size_t> TokenEnds_; ///< End of each token within Text_.
  std::string FinishReason_;
  std::int64_t PromptTokens_ = 0;

  AttemptId Attempt_ = 0; ///< 0: none.
  int AttemptCount_ = 0;
  int FailedAttempts_ =
      0; ///< Attempts that an upstream took and did not finish.
  std::set<int> TriedUpstreams_;
  int LastFailedUpstream_ = -1;  ///< Where the last attempt failed.
  bool AvoidNewVersion_ = false; ///< The new version has failed this call.
  bool FreshConnection_ = false;
  int UncertainAttempts_ = 0; ///< Attempts that an upstream may have acted on.

  std::string ClaimId_;
  std::uint64_t Fingerprint_ = 0;

  std::vector<std::uint64_t>
      PrefixHashes_; ///< Hashes of the prompt's prefixes.
  int PeersAsked_ = 0;
  Millis HandoverSentAt_ = 0;

  // Of routed calls only.
  std::string
      ServiceQueue_; ///< Service that it waits for; empty: our own interface.
  RepeatPolicy RepeatPolicy_ = RepeatPolicy::Never;
  bool EventStream_ = false;    ///< The answer is a stream of events.
  bool NextIndexKnown_ = false; ///< `NextIndex_` is the next event's.
  int MaxUpstreams_ = 1;        ///< Upstreams at which it may run.
  int Rank_ = 0;                ///< Lower ones go first.
  Millis LatencyObjective_ = 0; ///< For the answer or the first event.
  Millis QueuedAt_ = 0;         ///< Since when it waits.
  double ChargedUnits_ = 0;     ///< Charged to the account's quota.
  bool UsageCounted_ = false;   ///< Counted in the account's usage.
  std::vector<std::int64_t> PrefixTokens_; ///< Of the prompt up to each block.
  int AnswerStatus_ = 0; ///< Of the first upstream's answer, until it is sent.
  Headers AnswerHeaders_;
};

/// One try at one upstream.
struct Attempt {
  CallId Call_ = 0;
  int Upstream_ = -1;
  std::string Version_;
  bool NewVersion_ = false;
  bool Batch_ = false;
  LogOffset NoteVersion_ = NoOffset;
  Millis StartedAt_ = 0;
  Millis FirstTokenAt_ = 0;
  Millis LastProgressAt_ = 0;
  double PrefillMs_ = 0; ///< Expected for what the upstream has not cached.
};

// --- Admission ---

/// Calls of one account that wait in one lane, and its long-term rate.
struct AccountState {
  std::string ServiceQueue_;
  std::deque<CallId> Queues_[2]; ///< By priority.
  double WeightedWork_ = 0; ///< Work served, divided by the account's weight.
  double RateTokens_ = -1;  ///< Rate limit's bucket; -1: not yet filled.
  Millis RefilledAt_ = 0;
  int InFlight_ = 0;
};

/// Calls that wait for the same upstreams: those of one service, or all of our
/// own interface.
struct ServiceQueueState {
  int WaitingCalls_[2] = {0, 0}; ///< By priority.
  int InteractiveSinceBatch_ =
      0; ///< Interactive calls served since the last batch call.
  Millis BatchServedAt_ = 0;
  Millis MaxBatchGap_ = 1000; ///< Longest time between two batch calls.
  double AnswersPerSecond_[2] = {20, 5}; ///< Answered calls, by priority.
  int AnsweredInWindow_[2] = {0, 0};
  Millis WindowStartedAt_ = 0;
  double AnswerMs_[2] = {300, 300}; ///< From dispatch to answer.
  double RetryBudget_ = 10;
};

struct AdmissionState {
  std::map<std::string, AccountState> Accounts_; ///< By queueName().
  std::map<std::string, ServiceQueueState> ServiceQueues_;
  LogOffset CheckedConfigVersion_ =
      NoOffset; ///< Waiting calls were checked against.
};

// --- Control plane ---

struct LogState {
  LogOffset NextOffset_ = 0;
  bool Reading_ = false;
  Millis ReadStartedAt_ = 0;
  Millis TailReadStartedAt_ =
      -1; ///< Start of the last read that reached the tail.
  bool Available_ = false;
  Millis RetryAt_ = 0;
  bool ReachedTail_ = false;
  LogOffset LastReadOffset_ = NoOffset;
  std::vector<LogRecord> Outbox_; ///< Records to append.
  std::uint64_t NextAppendId_ = 1;
  std::uint64_t PendingAppendId_ = 0;
  std::vector<LogRecord> PendingRecords_; ///< Records in the append under way.
  /// Where an append was refused, as the log had more records than were read.
  LogOffset RefusedOffset_ = NoOffset;
};

/// Reading of what operators write, where the platform keeps it apart from our
/// own records.
struct OperatorLogState {
  LogOffset NextOffset_ = 0;
  bool Reading_ = false;
  bool Available_ = false;
  bool ReachedTail_ = false;
  Millis RetryAt_ = 0;
  Millis LastReadAt_ = -1; ///< End of the last read, here or at a follower.
  Millis StoreReaderReadAt_ = -1; ///< When a follower's reading was heard of.
};

struct ConfigState {
  LogOffset Version_ = NoOffset;
  std::string Text_;
  Configuration Configuration_;
  std::map<LogOffset, std::string>
      RejectedVersions_; ///< Why, for the operator.
};

/// How far the control records have been applied.
struct ControlState {
  LogOffset Version_ = NoOffset;  ///< Last control record applied.
  bool AwaitingSnapshot_ = false; ///< Records were missed: wait for a snapshot.
  LogOffset FirstReadableOffset_ =
      0; ///< First record that could be read after them.
  std::vector<std::pair<LogOffset, LogRecord>> Deferred_; ///< Until then.
  Millis AwaitingSnapshotSince_ = 0;
  Millis SnapshotWrittenAt_ = -1; ///< -1: none written by this process yet.
};

struct LeaseState {
  InstanceId Holder_;
  LogOffset Epoch_ = NoOffset;
  LogOffset LastRecordOffset_ = NoOffset;
  Millis LastRecordReadAt_ = 0; ///< When this process read the last record.
  Millis Duration_ = 0;
  bool Released_ = false;
  Millis LastRecordSentAt_ = 0; ///< When this process sent its last record.
  std::uint64_t Nonce_ = 0;     ///< Of that record; 0: none under way.
  Millis HeldUntil_ = 0; ///< This process's own bound; 0: not the holder.
  Millis StoreReaderSince_ = -1; ///< Since when it follows the log closely.
};

enum class KeyStatus { Claimed, Done };

struct KeyState {
  KeyStatus Status_ = KeyStatus::Claimed;
  ClaimRecord Claim_;
  ClaimDoneRecord Outcome_;
  Millis ReadAt_ = 0;
};

struct ClaimState {
  std::unordered_map<std::string, KeyState> Keys_;
  std::deque<std::pair<Millis, std::string>> ExpiryOrder_; ///< For expiry.
  std::uint64_t NextClaimNumber_ = 1;
  std::unordered_map<std::string, CallId> CallByClaimId_; ///< By claim ID.
  Millis ClaimsIncompleteUntil_ =
      0; ///< Records were lost to retention before this.
};

/// Move of one model to a new version.
struct RolloutState {
  RolloutRow Row_;
  Millis StartedAt_ = 0;
  Millis ShareChangedAt_ = 0;
  double DueRequests_ = 0; ///< Requests for the new version that are due.
  std::int64_t NewAttempts_ = 0;
  bool LateReported_ = false;
  std::string SentStatus_;         ///< Last state written for operators.
  std::string AcknowledgedStatus_; ///< The same, once it was acknowledged.
  Millis StatusSentAt_ = 0;
  double PendingShare_ = -1; ///< Share asked for and not yet in the log.
  Millis PendingShareSince_ = 0;
};

/// Pooled sequential test over the evidence of all processes.
struct PooledEvidencePolicy {};
/// The same test on a process's own evidence only (baseline).
struct OwnEvidencePolicy {};
/// Fixed steps and a bound on the error rate (baseline).
struct ErrorRatePolicy {
  double MaxRate_ = 0.05;
  std::int64_t MinCount_ = 20;
};

using VerdictPolicy =
    std::variant<PooledEvidencePolicy, OwnEvidencePolicy, ErrorRatePolicy>;

struct ReleaseState {
  VerdictPolicy VerdictPolicy_;
  LogOffset NoteVersion_ = NoOffset;
  std::map<std::string, RolloutState> Rollouts_; ///< By model.
  std::map<LogOffset, std::string> RejectedNotes_;
  /// By note, model, version, route, data centre and observer.
  std::map<std::string, EvidenceRow> Evidence_;
  std::map<std::pair<LogOffset, std::string>, BadVersionFact> BadVersionFacts_;
  /// Shares by note and model, also of moves that are not known yet.
  std::map<std::pair<LogOffset, std::string>, double> Shares_;
  /// Windows that are over, summed up; keyed as above but without window.
  std::map<std::string, EvidenceRow> ClosedWindowEvidence_;
  std::int64_t LastWindow_ = 0;
  Millis EvidenceSentAt_ = 0;
  Millis EvaluatedAt_ = 0;
  bool EvidenceChanged_ = false;
};

// --- Quotas and usage ---

/// One account's quota as this process sees it.
struct QuotaState {
  double AvailableUnits_ = 0;  ///< Left for all processes; below 0: debt.
  Millis RefilledAt_ = 0;      ///< 0: not yet.
  double Admitted_ = 0;        ///< Units admitted here in this life.
  double GroupAdmitted_ = 0;   ///< Heard from processes that report here.
  double OthersAdmitted_ = 0;  ///< Heard from all others.
  double DemandPerSecond_ = 0; ///< Units asked for here, per second, averaged.
  double DemandSinceUpdate_ = 0; ///< Since the average was taken.
  double UsableFraction_ = 1;    ///< Of rate and burst, to go by here.
};

struct QuotaTable {
  std::map<std::string, QuotaState> Accounts_;
  Millis UpdatedAt_ = 0;
};

struct UsageState {
  std::map<std::int64_t, UsageCounts> OwnCounts_; ///< By window, of this life.
  /// By window, of other lives, as their processes and the log have told.
  std::map<std::int64_t, std::map<InstanceId, UsageCounts>> OthersCounts_;
  std::map<std::int64_t, UsageCounts> DecidedCounts_; ///< As the log has them.
  std::set<std::int64_t>
      PendingWindows_; ///< Windows whose record is on its way.
  std::set<std::int64_t>
      ReportedWindows_;               ///< Windows that the platform has taken.
  std::int64_t ReportingWindow_ = -1; ///< Window of the report on its way.
  Millis UsageReportSentAt_ = 0;
  Millis UsageRecordSentAt_ = 0;
  std::int64_t FirstWindow_ = 0; ///< Of this life; earlier ones are others'.
  std::map<std::int64_t, std::vector<UsageRow>>
      ProposedRows_; ///< As asked for.
  std::map<std::string, std::int64_t>
      PeerClockDifferences_; ///< Their time less ours.
  bool ClockChecked_ = false;
  std::int64_t ClockOffset_ = 0; ///< Unix time less the monotonic clock.
  bool ClockOffsetKnown_ = false;
};

// --- Hosts of services ---

/// Work that a service's requests ask for, in ms of hosts' time a second.
struct WorkAverage {
  double MsSinceUpdate_ = 0; ///< ms, since the averages were taken.
  double FastAverage_ = 0;
  double SlowAverage_ = 0;
};

/// What was ordered last of one kind of hosts in one zone.
struct ScaleRequest {
  std::uint64_t Id_ = 0;
  int WantedHosts_ = -1; ///< -1: not known.
  Millis SentAt_ = 0;
  Millis FewerWantedSince_ = 0; ///< Since when fewer are wanted; 0: not now.
  Millis UnavailableUntil_ = 0; ///< None are to be had until then.
  bool Pending_ = false;
  bool Accepted_ = false;
};

struct FleetState {
  std::map<std::string, WorkAverage> Work_; ///< By service.
  std::map<std::string, ScaleRequest>
      ScaleRequests_; ///< By service, zone and kind.
  /// Of the lease that the orders were sent under.
  LogOffset ScaleRequestsEpoch_ = NoOffset;
  WorkRecord SavedWork_; ///< As the log has it.
  std::uint64_t LastScaleRequestId_ = 0;
  Millis AveragedAt_ = 0;
  Millis PlannedAt_ = 0;
  Millis FirstWorkAt_ = 0;         ///< 0: none yet.
  Millis HostStartupDuration_ = 0; ///< Of a host.
};

// --- The process ---

/// One decision with its reason, for those who ask later.
struct Decision {
  Millis At_ = 0;
  std::string Subject_; ///< Request, upstream, model or process.
  std::string Text_;
};

/// Upper bounds of a histogram's buckets, ms; one more is for what is longer.
constexpr std::array<Millis, 12> LatencyBucketBounds = {
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000};

struct Histogram {
  std::array<std::int64_t, LatencyBucketBounds.size() + 1> Counts_{};
  double Sum_ = 0; ///< ms
};

struct Counters {
  std::map<std::string, std::int64_t> Values_;
  /// Times by what was waited for, then by kind of request.
  std::map<std::string, std::map<std::string, Histogram>> Latencies_;
};

/// Recently finished or handed-over completions that a caller may ask for.
struct RetainedCalls {
  std::map<std::string, CallRecord> ById_;
  std::deque<std::pair<Millis, std::string>> ExpiryOrder_;
};

enum class Stage { Starting, Serving, Draining, Stopped };

struct State {
  Settings Settings_;
  InstanceId Self_;
  Millis Now_ = 0;
  std::int64_t UnixMs_ = 0;
  std::uint64_t Random_ = 1;
  Stage Stage_ = Stage::Starting;
  Millis StartedAt_ = -1;
  Millis StopDeadline_ = 0;
  Millis StopStartedAt_ = 0;
  bool ListenerClosed_ = false;

  std::vector<Upstream> Upstreams_; ///< Never shrinks; indices stay valid.
  std::map<InstanceId, int> UpstreamByInstance_;
  std::unordered_map<std::string, Pool> Pools_; ///< See router.h.
  bool PoolsChanged_ = true;
  RoutePolicy RoutePolicy_;
  std::unordered_map<std::uint64_t, std::vector<int>> PrefixHolders_;
  std::deque<std::uint64_t> PrefixEvictionOrder_;
  std::map<std::string, LeavingFact> LeavingFacts_; ///< By `name/incarnation`.

  std::unordered_map<CallId, Call> Calls_;
  std::unordered_map<std::string, CallId> CallByRequestId_;
  std::unordered_map<AttemptId, Attempt> Attempts_;
  AttemptId NextAttemptId_ = 1;
  std::uint64_t NextRequestNumber_ = 1;
  RetainedCalls Retained_;

  AdmissionState Admission_;
  QuotaTable Quotas_;
  FleetState Fleet_;
  UsageState Usage_;
  LogState Log_;
  OperatorLogState OperatorLog_;
  ConfigState Config_;
  ControlState Control_;
  LeaseState Lease_;
  ClaimState Claims_;
  ReleaseState Release_;
  MembershipState Membership_;
  std::deque<Decision> Decisions_;
  Counters Counters_;
  Millis HostsReadAt_ = -1;
  Millis HostsConfirmedAt_ = -1; ///< When a follower's list was the same.
  bool HostsOutdated_ = false;   ///< A follower's list was another one.
  Millis HostsBehindSince_ = 0;  ///< Since when one is newer; 0: none is.
  Millis HostsRequestedAt_ = 0;  ///< When a peer was asked for its list.
  Millis HostsCompleteAt_ = -1;  ///< When the list was last read, whole.
  LogOffset HostsVersion_ = 0;   ///< Of the list; grows with its changes.
  /// Since when others have told lists read while ours can't be; 0: none has.
  Millis PeersReadHostsSince_ = 0;
  Millis HostsFailingSince_ = 0; ///< 0: the last read of the list succeeded.
  Millis HostsRecoveredAt_ = 0;  ///< First success after failures.
  Millis NoticesReadAt_ = -1;
  bool Ready_ = false;
  Millis PlatformCallsLoggedAt_ =
      0; ///< When the calls to the platform were logged.
};

/// Service or model whose moves to other versions concern a call.
inline const std::string &rolloutKey(const Call &C) {
  return C.ServiceQueue_.empty() ? C.Request_.Model_ : C.ServiceQueue_;
}

/// Adds to a counter that metrics show.
inline void incrementCounter(State &S, const char *Name,
                             std::int64_t Amount = 1) {
  S.Counters_.Values_[Name] += Amount;
}

/// Keeps a decision for `dump`.
void recordDecision(State &S, std::string Subject, std::string Text);

/// Next number of the process's deterministic random sequence.
std::uint64_t nextRandom(State &S);

} // namespace endivewharf
