// The whole state of one entry process, as plain data. Only reduce() and the
// modules that it calls change it.
#pragma once

#include "coldhosts.h"
#include "config.h"
#include "effect.h"
#include "evacuation.h"
#include "event.h"
#include "hedgepolicy.h"
#include "peerstate.h"
#include "returntime.h"
#include "speeds.h"
#include "strainstate.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace endivewharf {

// --- Upstreams ---

/// One incarnation of an upstream host.
struct Upstream {
  HostRow Row_; ///< Latest host list entry.
  /// It stands for a peer to which requests are passed, and is never listed.
  bool IsPeer_ = false;
  /// The host gets no new work. Never cleared: a new incarnation of the host is
  /// a new upstream.
  bool Leaving_ = false;
  /// The host is on the host list, or is missing from it only while entries may
  /// still reappear after an outage of the platform's store.
  bool Listed_ = true;
  bool InLatestList_ = true; ///< On the host list received last.
  /// Model versions that it has in memory as of the last probe.
  std::set<LoadedVersion> Loaded_;
  int InFlight_ = 0;      ///< Attempts of this process in flight.
  int BatchInFlight_ = 0; ///< Those of batch calls in `InFlight_`.
  /// Requests of other processes in flight: on the platform the total of their
  /// summaries, elsewhere a moving average over probes.
  double OthersLoad_ = 0;
  int WaitingRequests_ = 0; ///< Requests waiting there as of the last probe.
  /// Requests that the upstream runs at once as of the last probe; 0: unknown.
  int Slots_ = 0;
  /// Moving average of the duration of completed streams, in ms.
  double AttemptMs_ = 300;
  /// Adaptive limit on this process's attempts in flight.
  double ConcurrencyLimit_ = 16;
  int ConsecutiveFailures_ = 0; ///< Failures since the last success.
  Millis AvoidUntil_ = 0;       ///< End of the backoff after a failure.
  Millis NotSentAt_ = -1;  ///< Last attempt that found no connection; -1: none.
  Millis PausedUntil_ = 0; ///< End of the pause that the upstream wants.
  Millis ProbedAt_ = 0;    ///< Start of the last probe; 0: none yet.
  int InFlightAtProbe_ = 0;      ///< `InFlight_` at the last probe's start.
  bool Probing_ = false;         ///< A probe is in progress.
  Millis LoadCommandSentAt_ = 0; ///< Time of the last load command; 0: none.
  /// Moving average of the time from an attempt's start to its first token, in
  /// ms.
  double FirstTokenMs_ = 50;
  /// Expected prefill time of this process's attempts that have had no token
  /// or event yet, in ms.
  double PrefillMs_ = 0;
  /// Expected prefill time of other processes' attempts that have had no token
  /// or event yet, in ms, from their summaries.
  double OthersPrefillMs_ = 0;
  /// When the host was first missing from the host list; 0: it is listed.
  Millis MissingSince_ = 0;

  /// Requests per second that it takes from all processes together, as it names
  /// in its answers; nothing: it names no limit.
  std::optional<double> NamedLimit_;
  /// Number of the last statement on the limit; a later one has a larger
  /// number.
  std::uint64_t LimitNumber_ = 0;
  Millis LimitChangedAt_ = 0; ///< When that statement was applied.
  Millis LimitNamedAt_ = 0;   ///< When the limit was last named here.
  double LimitPart_ = 0;      ///< This process's part; 0: others share it.
  double LimitRequests_ = 0;  ///< Requests that this process may send.
  Millis LimitRefilledAt_ = 0;
};

/// Upstreams that serve one model version or service, with a hash ring.
struct Pool {
  std::vector<int> UpstreamIndices_; ///< Indices into `State::Upstreams_`.
  /// Hash and upstream index of each point, sorted by hash.
  std::vector<std::pair<std::uint64_t, int>> HashRing_;
};

/// Picks the lowest expected first-token time plus price of a few candidates.
struct CostPolicy {};
/// Picks the upstreams in turn (baseline).
struct RoundRobinPolicy {
  std::size_t Next_ = 0;
};
/// Picks the upstream with the fewest attempts in flight (baseline).
struct LeastInFlightPolicy {};
/// Picks the less loaded one of two random upstreams (baseline).
struct TwoChoicesPolicy {};
/// Picks by the hash of the prompt's first block (baseline).
struct PrefixHashPolicy {};

using RoutePolicy =
    std::variant<CostPolicy, RoundRobinPolicy, LeastInFlightPolicy,
                 TwoChoicesPolicy, PrefixHashPolicy>;

// --- Calls ---

enum class CallPhase {
  Queued,          ///< Waits for an upstream.
  Claiming,        ///< Waits until its claim is read in the log.
  Running,         ///< Has an attempt in progress.
  AwaitingOutcome, ///< Waits for the outcome of another call with the same key.
  Locating,        ///< Waits for a peer to send the call's record.
  HandingOver,     ///< Stopped until a peer acknowledges the record.
  AwaitingQuota,   ///< Waits for units of its account's quota from a peer.
  AwaitingTrial    ///< Waits for permission to try a suspect part.
};

/// One caller's request from acceptance to the answer.
struct Call {
  CallId Id_ = 0;
  CallRequest Request_;
  std::string RequestId_;
  std::string Account_; ///< Name of the client account; empty: none.
  CallPhase Phase_ = CallPhase::Queued;
  Millis ArrivedAt_ = 0;
  Millis DispatchedAt_ = 0; ///< Start of the first attempt; 0: none yet.
  Millis Deadline_ = 0;
  bool StreamStarted_ = false; ///< The stream's head was sent to the caller.

  std::string GeneratedText_;  ///< Text generated so far.
  std::int64_t NextIndex_ = 0; ///< Index of the next token or event expected.
  /// Index of the first token that was not sent to this caller.
  std::int64_t NextSendIndex_ = 0;
  /// End of each token within `GeneratedText_`, in bytes.
  std::vector<std::size_t> TokenEnds_;
  std::string FinishReason_;
  std::int64_t PromptTokens_ = 0;

  AttemptId Attempt_ = 0; ///< Attempt in progress; 0: none.
  AttemptId Hedge_ = 0;   ///< Second attempt beside it; 0: none.
  int AttemptCount_ = 0;  ///< Attempts started.
  /// Failed attempts, except those that the upstream certainly did not run.
  int FailedAttempts_ = 0;
  /// Upstreams to pass over after a failure; cleared when all were tried.
  std::set<int> TriedUpstreams_;
  int LastFailedUpstream_ = -1;  ///< Upstream of the last failed attempt.
  bool AvoidNewVersion_ = false; ///< The new version has failed this call.
  bool FreshConnection_ = false; ///< The next attempt uses a new connection.
  int UncertainAttempts_ = 0; ///< Attempts that an upstream may have acted on.

  std::string ClaimId_; ///< ID of this call's own claim; empty: none.
  /// Hash of API key, method, path and body.
  std::uint64_t Fingerprint_ = 0;

  /// Hash of the prompt up to the end of each block.
  std::vector<std::uint64_t> PrefixHashes_;
  /// Peers that were sent the call's record, or that have yet to answer a
  /// search for it.
  int PeersAsked_ = 0;
  Millis HandoverSentAt_ = 0; ///< When peers were last sent the record.

  // Fields of routed calls only.

  /// Service whose upstreams the call waits for; empty: a call of our own
  /// interface.
  std::string ServiceQueue_;
  RepeatPolicy RepeatPolicy_ = RepeatPolicy::Never;
  bool EventStream_ = false; ///< The answer is a stream of events.
  /// `NextIndex_` is known. Otherwise the first event sets it.
  bool NextIndexKnown_ = false;
  int MaxUpstreams_ = 1;        ///< Upstreams that may run the call.
  int Rank_ = 0;                ///< Rank of the route; the lowest goes first.
  Homes Homes_;                 ///< Of its route and its account.
  Millis LatencyObjective_ = 0; ///< For the whole answer or the first event.
  Millis QueuedAt_ = 0;         ///< When the call was last put into its queue.
  double QuotaUnits_ = 0;       ///< Units that the account's quota counts.
  double ChargedUnits_ = 0;     ///< Units charged to the account's quota.
  std::string QuotaPeer_;       ///< Peer that was asked for the units.
  Millis QuotaAskedAt_ = 0;     ///< When it was asked.
  int QuotaRequests_ = 0;       ///< How often peers were asked.
  bool UsageCounted_ = false;   ///< Counted in the account's usage.
  /// Tokens of the prompt up to the end of each block.
  std::vector<std::int64_t> PrefixTokens_;
  std::uint64_t RequestKey_ = 0; ///< What the request is (requestkey.h).
  /// Keys of the prompt's parts that other requests may share: all but the
  /// last.
  std::vector<std::uint64_t> SharedPartKeys_;
  bool BrokenBeforeAnswer_ =
      false;                   ///< An attempt broke before its first event.
  std::uint64_t TrialKey_ = 0; ///< Suspect that it may try; 0: none.
  std::string TrialOwner_;     ///< Process that was asked for the trial.
  Millis TrialAskedAt_ = 0;    ///< When it was asked.
  int TrialRequests_ = 0;      ///< How often processes were asked.
  int NotSentCount_ = 0;       ///< Attempts that found no connection.
  int RelayCount_ = 0;         ///< Peers to which it was passed.
  /// Status of the first upstream's answer, until the stream's head is sent.
  int AnswerStatus_ = 0;
  /// Headers of the first upstream's answer, until the stream's head is sent.
  Headers AnswerHeaders_;
};

/// One try of a call at one upstream.
struct Attempt {
  CallId Call_ = 0;
  int Upstream_ = -1; ///< Index into `State::Upstreams_`.
  std::string Version_;
  bool NewVersion_ = false; ///< Runs the version that a rollout introduces.
  bool Batch_ = false;
  LogOffset NoteVersion_ = NoOffset; ///< Release note of the rollout, if any.
  Millis StartedAt_ = 0;
  Millis FirstTokenAt_ = 0;   ///< First token or event; 0: none yet.
  Millis LastProgressAt_ = 0; ///< Last token or event, or the start.
  /// Expected prefill time of what the upstream has not cached, in ms.
  double PrefillMs_ = 0;
  /// Tokens of the prompt that the upstream is expected not to have cached.
  double UncachedTokens_ = 0;
  /// Expected wait behind other requests: for their prompts, in ms.
  double BacklogMs_ = 0;
  /// Requests at the upstream when the attempt started, itself included.
  int LoadAtStart_ = 0;
  int Events_ = 0;        ///< Tokens or events so far.
  bool IsHedge_ = false;  ///< Started because another one was slow.
  int AnswerStatus_ = 0;  ///< Of its answer; 0: no head has arrived.
  Headers AnswerHeaders_; ///< Of its answer.
};

// --- Admission ---

/// Calls of one account that wait in one service queue, and its rate limit.
struct AccountState {
  std::string ServiceQueue_;
  std::deque<CallId> Queues_[2]; ///< Waiting calls, by priority.
  double WeightedWork_ = 0; ///< Work served, divided by the account's weight.
  /// Requests left in the rate limit's token bucket; -1: not yet filled.
  double RateTokens_ = -1;
  Millis RefilledAt_ = 0;
  int InFlight_ = 0; ///< Calls accepted and not yet ended.
};

/// Calls that wait for the same upstreams: those of one service, or all of our
/// own interface.
struct ServiceQueueState {
  int WaitingCalls_[2] = {0, 0}; ///< Waiting calls, by priority.
  /// Interactive calls served since the last batch call.
  int InteractiveSinceBatch_ = 0;
  Millis BatchServedAt_ = 0;
  Millis MaxBatchGap_ = 1000; ///< Longest time between two batch calls.
  /// Moving average of calls answered per second, by priority.
  double AnswersPerSecond_[2] = {20, 5};
  /// Calls answered in the current averaging window, by priority.
  int AnsweredInWindow_[2] = {0, 0};
  Millis WindowStartedAt_ = 0;
  /// Moving average of the time from dispatch to answer in ms, by priority.
  double AnswerMs_[2] = {300, 300};
  double RetryBudget_ = 10; ///< Retries left; grows with accepted calls.
};

struct AdmissionState {
  std::map<std::string, AccountState> Accounts_; ///< By accountQueueKey().
  /// By service; the empty name stands for our own interface.
  std::map<std::string, ServiceQueueState> ServiceQueues_;
  /// Configuration version that waiting calls were last checked against.
  LogOffset CheckedConfigVersion_ = NoOffset;
};

// --- Control plane ---

/// Reading of the control log and appending to it.
struct LogState {
  LogOffset NextOffset_ = 0; ///< Offset to read next.
  bool Reading_ = false;
  Millis ReadStartedAt_ = 0;
  /// When this process first knew of the log's present era; -1: not yet.
  Millis EraKnownSince_ = -1;
  /// Start of the last read that reached the tail; -1: none yet.
  Millis TailReadStartedAt_ = -1;
  bool Available_ = false; ///< The last read succeeded.
  Millis RetryAt_ = 0;     ///< Earliest next request after a failure.
  bool ReachedTail_ = false;
  LogOffset LastReadOffset_ = NoOffset;
  std::vector<LogRecord> Outbox_; ///< Records waiting to be appended.
  std::uint64_t NextAppendId_ = 1;
  std::uint64_t PendingAppendId_ = 0; ///< Append in progress; 0: none.
  std::vector<LogRecord>
      PendingRecords_; ///< Records of the append in progress.
  /// `NextOffset_` when an append was refused because the log had records that
  /// were not yet read. Conditional appends wait until more has been read.
  LogOffset RefusedOffset_ = NoOffset;
};

/// Reading of the operator log, where the platform stores it apart from the
/// control log.
struct OperatorLogState {
  LogOffset NextOffset_ = 0; ///< Offset to read next.
  bool Reading_ = false;
  bool SecondRead_ = false;  ///< A second read is in progress beside it.
  Millis ReadStartedAt_ = 0; ///< Start of the read in progress.
  Millis ReadMaxWait_ = 0;   ///< Time for which that waits for entries.
  bool Available_ = false;   ///< The last read succeeded.
  bool ReachedTail_ = false;
  Millis RetryAt_ = 0; ///< Earliest next read after a failure.
  /// Moment for which this process or a store reader last knew all entries;
  /// -1: none yet.
  Millis LastReadAt_ = -1;
  /// The same as store readers and peers have reported it; -1: none yet.
  Millis StoreReaderReadAt_ = -1;
};

struct ConfigState {
  /// The operators' number or, if they give none, the position in the log.
  LogOffset Version_ = NoOffset;
  std::string Text_;
  Configuration Configuration_;
  /// Reason of each rejection, for the operator.
  std::map<LogOffset, std::string> RejectedVersions_;
};

/// How far the control records have been applied.
struct ControlState {
  LogOffset Version_ = NoOffset; ///< Last control record applied.
  /// Records expired before they were read, so control records are deferred
  /// until a snapshot replaces the missing ones.
  bool AwaitingSnapshot_ = false;
  /// First record that could still be read after the missing ones.
  LogOffset FirstReadableOffset_ = 0;
  /// Control records read while a snapshot is awaited.
  std::vector<std::pair<LogOffset, LogRecord>> Deferred_;
  Millis AwaitingSnapshotSince_ = 0;
  /// When this process last wrote a snapshot; -1: never.
  Millis SnapshotWrittenAt_ = -1;
};

struct LeaseState {
  InstanceId Holder_;
  LogOffset Epoch_ = NoOffset; ///< Fencing token: offset of the acquisition.
  LogOffset LastRecordOffset_ = NoOffset; ///< Last valid lease record read.
  Millis LastRecordReadAt_ = 0; ///< When this process read the last record.
  Millis Duration_ = 0;         ///< Duration that the last record states.
  bool Released_ = false;
  Millis LastRecordSentAt_ = 0; ///< When this process sent its last record.
  /// Nonce of this process's unconfirmed lease record; 0: none.
  std::uint64_t Nonce_ = 0;
  /// Until when this process regards itself as the holder; 0: it does not.
  Millis HeldUntil_ = 0;
  /// Since when this process has been a store reader; -1: it is none.
  Millis StoreReaderSince_ = -1;
};

enum class KeyStatus { Claimed, Done };

/// Claim of an idempotency key and the outcome of the claimed call.
struct KeyState {
  KeyStatus Status_ = KeyStatus::Claimed;
  ClaimRecord Claim_;
  ClaimDoneRecord Outcome_;
  Millis ReadAt_ = 0; ///< When the claim was read in the log.
};

struct ClaimState {
  std::unordered_map<std::string, KeyState> Keys_;
  /// Keys with the time when each was read, oldest first.
  std::deque<std::pair<Millis, std::string>> ExpiryOrder_;
  std::uint64_t NextClaimNumber_ = 1;
  /// Calls of this process by claim ID.
  std::unordered_map<std::string, CallId> CallByClaimId_;
  /// Until then claims may be missing, as records expired before they were
  /// read, and no key may be claimed.
  Millis ClaimsIncompleteUntil_ = 0;
};

/// Rollout of one model or service to a new version.
struct RolloutState {
  RolloutRow Row_;
  Millis StartedAt_ = 0;
  Millis ShareChangedAt_ = 0;
  /// Requests that the new version's share entitles it to and that it has not
  /// had yet.
  double ShareCredit_ = 0;
  /// Attempts of this process on the new version.
  std::int64_t NewAttempts_ = 0;
  bool LateReported_ = false;       ///< A missed deadline has been logged.
  bool LastResortReported_ = false; ///< Its use as last resort was logged.
  std::string SentStatus_;          ///< Status last sent for operators.
  std::string AcknowledgedStatus_;  ///< Status that the platform has accepted.
  Millis StatusSentAt_ = 0;
  /// Share that was requested and is not yet in the log; -1: none.
  double PendingShare_ = -1;
  Millis PendingShareSince_ = 0;
};

/// Sequential test over the pooled evidence of all processes.
struct PooledEvidencePolicy {};
/// Sequential test over a process's own evidence only (baseline).
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
  LogOffset NoteVersion_ = NoOffset;               ///< Latest release note.
  std::map<std::string, RolloutState> Rollouts_;   ///< By model or service.
  std::map<LogOffset, std::string> RejectedNotes_; ///< Reason, by offset.
  /// By note, model, version, route, data centre, observer and window.
  std::map<std::string, EvidenceRow> Evidence_;
  /// By note and model.
  std::map<std::pair<LogOffset, std::string>, BadVersionFact> BadVersionFacts_;
  /// Shares by note and model, including rollouts that are not known yet.
  std::map<std::pair<LogOffset, std::string>, double> Shares_;
  /// First position of each order of a rollout on the platform, by service and
  /// version.
  std::map<std::pair<std::string, std::string>, LogOffset> Orders_;
  /// Totals over windows that have ended, by note, model, version, route, data
  /// centre and observer.
  std::map<std::string, EvidenceRow> ClosedWindowEvidence_;
  std::int64_t LastWindow_ = 0; ///< Latest window with evidence.
  Millis EvidenceSentAt_ = 0;
  Millis EvaluatedAt_ = 0;
  bool EvidenceChanged_ = false; ///< Own evidence is newer than that sent.
};

// --- Quotas and usage ---

/// One account's quota as this process sees it.
struct QuotaState {
  /// Units that this process may use or give away; below 0: used in advance.
  double AvailableUnits_ = 0;
  Millis RefilledAt_ = 0; ///< Last refill; 0: none yet.
  /// Average of the units per second that arrive here: the own part of the rate
  /// and the deposits of other processes.
  double InflowPerSecond_ = 0;
  double InflowSinceUpdate_ = 0; ///< Units arrived since the last averaging.
  double LargestUnits_ = 0;      ///< Units of the largest recent request.
  Millis RepaymentAskedAt_ = 0;  ///< When units used in advance were asked for.
  /// Until then requests of `RefusedUnits_` or more are refused without asking.
  Millis RefusedUntil_ = 0;
  double RefusedUnits_ = 0;
  double Admitted_ = 0;           ///< Units admitted by this incarnation.
  double AskedSinceUpdate_ = 0;   ///< Units asked for since the last averaging.
  double RefusedSinceUpdate_ = 0; ///< Units refused since the last averaging.
};

struct QuotaTable {
  std::map<std::string, QuotaState> Accounts_; ///< By account name.
  Millis UpdatedAt_ = 0;
  Millis DepositedAt_ = 0; ///< When spare units were last sent away.
  /// Peers that have not answered a request for units, and until when none is
  /// sent to them.
  std::map<std::string, Millis> UnresponsiveUntil_;
  std::map<std::string, QuotaMessage> Outbox_; ///< Messages to send, by peer.
};

struct UsageState {
  /// Counts of this incarnation, by window.
  std::map<std::int64_t, UsageCounts> OwnCounts_;
  /// Counts of other incarnations from messages and the log, by window.
  std::map<std::int64_t, std::map<InstanceId, UsageCounts>> OthersCounts_;
  /// Counts that the control log has decided, by window.
  std::map<std::int64_t, UsageCounts> DecidedCounts_;
  /// Windows whose usage record has been queued and is not yet in the log.
  std::set<std::int64_t> PendingWindows_;
  /// Windows whose report the platform has accepted.
  std::set<std::int64_t> ReportedWindows_;
  std::int64_t ReportingWindow_ = -1; ///< Report in progress; -1: none.
  Millis UsageReportSentAt_ = 0;
  Millis UsageRecordSentAt_ = 0;
  /// First window that this incarnation counts; earlier ones are known only
  /// from others.
  std::int64_t FirstWindow_ = 0;
  /// Smallest window of the newest era's UsageFloorRecords, and that era; -1:
  /// no such record was read.
  std::int64_t Floor_ = 0;
  std::int64_t FloorEra_ = -1;
  Millis FloorSentAt_ = 0; ///< When this process last wrote one; 0: never.
  /// Rows of each usage record that this process has written, by window. A
  /// retry writes the same rows.
  std::map<std::int64_t, std::vector<UsageRow>> ProposedRows_;
  /// Each peer's clock minus our own, in ms.
  std::map<std::string, std::int64_t> PeerClockDifferences_;
  bool ClockChecked_ = false;    ///< The clock was compared with the peers'.
  std::int64_t ClockOffset_ = 0; ///< Unix time minus monotonic clock, in ms.
  bool ClockOffsetKnown_ = false;
};

// --- What may end upstreams ---

/// Something that was carried by requests whose attempts broke.
struct Suspect {
  SuspectName Name_;
  /// Requests whose trials broke, by number of the trial and hash of the
  /// upstream's incarnation; none if only other requests broke there.
  std::map<std::uint32_t, std::map<std::uint32_t, std::uint64_t>> Breaks_;
  Millis LastBreakAt_ = 0;
};

/// A block in force or lifted, and how this process knows of it.
struct Block {
  BlockFact Fact_;
  std::string Source_; ///< `own`, `log` or the name of a peer.
  Millis LearntAt_ = 0;
};

/// A trial of a suspect that this process has permitted as its owner.
struct Trial {
  InstanceId Origin_;
  CallId Call_ = 0;
  Millis StartedAt_ = 0;
};

/// Keys in two generations: a full one replaces the older.
using KeyGenerations = std::array<std::unordered_set<std::uint64_t>, 2>;

/// What is known about parts of prompts and requests that may end upstreams.
struct SuspicionState {
  KeyGenerations ClearedParts_;    ///< Answers have begun under them.
  KeyGenerations ClearedRequests_; ///< They have been answered.
  std::map<std::uint64_t, Suspect> Suspects_; ///< By key.
  /// By hash of the keys of all names of the fact.
  std::map<std::uint64_t, Block> Blocks_;
  /// Trials under way of the suspects that this process owns, by key.
  std::map<std::uint64_t, Trial> Trials_;
  FactsMessage FactsOutbox_;        ///< New facts to gossip.
  std::vector<BreakRow> LogOutbox_; ///< Breaks for the control log.
  std::map<std::string, TrialMessage> TrialOutbox_; ///< By peer.
  /// Peers that have left a trial request unanswered, and until when they are
  /// not asked.
  std::map<std::string, Millis> UnresponsiveUntil_;
  /// Versions of the listed hosts, by service.
  std::map<std::string, std::set<std::string>> ServedVersions_;
};

// --- Reaching the upstreams ---

/// How this process reaches the upstreams of one service.
struct ServiceLink {
  Millis AnsweredAt_ = 0; ///< Last answer of any of them; 0: none yet.
  /// Those that have left attempts unanswered since, as indices.
  std::set<int> Unanswered_;
  Millis TriedAt_ = 0; ///< When a call was last placed here while cut off.
};

// --- Hosts of services ---

/// Work that a service's requests need, in ms of host time per second.
struct WorkAverage {
  /// Work since the averages were last updated, in ms of host time.
  double WorkMsSinceUpdate_ = 0;
  double FastAverage_ = 0; ///< Moving average over a short time.
  double SlowAverage_ = 0; ///< Moving average over a long time.
};

/// Last scale request for one kind of hosts of a service in one zone.
struct ScaleRequest {
  std::uint64_t Id_ = 0;
  int WantedHosts_ = -1; ///< -1: unknown.
  Millis SentAt_ = 0;
  /// Since when fewer hosts are wanted than were requested; 0: not now.
  Millis FewerWantedSince_ = 0;
  Millis UnavailableUntil_ = 0; ///< No spot hosts are available until then.
  bool Pending_ = false;        ///< No answer has come yet.
  bool Accepted_ = false;
};

struct FleetState {
  std::map<std::string, WorkAverage> Work_; ///< By service.
  /// By service, zone and kind of host.
  std::map<std::string, ScaleRequest> ScaleRequests_;
  /// Lease epoch under which the scale requests were sent.
  LogOffset ScaleRequestsEpoch_ = NoOffset;
  WorkRecord SavedWork_; ///< Work record last read or written.
  std::uint64_t LastScaleRequestId_ = 0;
  Millis AveragedAt_ = 0;
  Millis PlannedAt_ = 0;
  Millis FirstWorkAt_ = 0; ///< When work was first seen; 0: none yet.
  /// Time that a host of the service being planned needs to start.
  Millis HostStartupDuration_ = 0;
};

// --- The process ---

/// One decision with its reason, for the history in `dump`.
struct Decision {
  Millis At_ = 0;
  std::string Subject_; ///< Request, upstream, model or process.
  std::string Text_;
};

/// Upper bounds of a histogram's buckets, in ms; a further bucket counts longer
/// times.
constexpr std::array<Millis, 12> LatencyBucketBounds = {
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000};

struct Histogram {
  std::array<std::int64_t, LatencyBucketBounds.size() + 1> Counts_{};
  double Sum_ = 0; ///< Total of all times, in ms.
};

struct Counters {
  std::map<std::string, std::int64_t> Values_;
  /// Times by what was waited for, then by kind of request.
  std::map<std::string, std::map<std::string, Histogram>> Latencies_;
};

/// Records of completions that have ended here, have lost their caller or were
/// handed over by a peer, kept for callers that resume them.
struct RetainedCalls {
  std::map<std::string, CallRecord> ById_; ///< By request ID.
  /// Request IDs with the time when each was retained, oldest first.
  std::deque<std::pair<Millis, std::string>> ExpiryOrder_;
};

/// Time in which the platform's store has served reads.
struct StoreService {
  std::int64_t Era_ = -1; ///< Era of its logs; -1: not known yet.
  /// When this process learnt of that era; 0: it knows no earlier one.
  Millis EraBeganAt_ = 0;
  Millis Since_ = 0; ///< End of the last known outage; 0: none.
  Millis Until_ = 0; ///< Last read by this process or a store reader.
};

enum class Stage { Starting, Serving, Draining, Stopped };

struct State {
  Settings Settings_;
  /// Errors of the settings file; 0 if what it says is in force. A process that
  /// starts with such a file ends.
  std::size_t SettingsErrors_ = 0;
  InstanceId Self_;
  Millis Now_ = 0;
  std::int64_t UnixMs_ = 0;
  std::uint64_t Random_ = 1; ///< State of the random sequence.
  Stage Stage_ = Stage::Starting;
  Millis StartedAt_ = -1;
  Millis StopDeadline_ = 0;
  Millis StopStartedAt_ = 0;
  bool ListenerClosed_ = false;

  std::vector<Upstream> Upstreams_; ///< Never shrinks; indices stay valid.
  std::map<InstanceId, int> UpstreamByInstance_; ///< Index into `Upstreams_`.
  /// Index into `Upstreams_` by instanceHash().
  std::unordered_map<std::uint32_t, int> UpstreamByHash_;
  std::vector<int> LimitedUpstreams_; ///< Indices of those that name a limit.
  Millis LimitsUpdatedAt_ = 0; ///< Last update of the parts of named limits.
  Millis LimitsDrawnAt_ = 0;   ///< Last draw for limits that others share.
  ColdHostState ColdHosts_;
  EvacuationState Evacuations_;
  /// By model version or service, for all data centres and for each one.
  std::unordered_map<std::string, Pool> Pools_;
  bool PoolsChanged_ = true; ///< `Pools_` must be rebuilt.
  RoutePolicy RoutePolicy_;
  /// Upstreams that are expected to have a prompt prefix cached, by its hash.
  std::unordered_map<std::uint64_t, std::vector<int>> PrefixHolders_;
  std::deque<std::uint64_t> PrefixEvictionOrder_;   ///< Oldest hash first.
  std::map<std::string, LeavingFact> LeavingFacts_; ///< By `name/incarnation`.

  std::unordered_map<CallId, Call> Calls_;
  std::unordered_map<std::string, CallId> CallByRequestId_;
  std::unordered_map<AttemptId, Attempt> Attempts_;
  AttemptId NextAttemptId_ = 1;
  std::uint64_t NextRequestNumber_ = 1;
  RetainedCalls Retained_;

  AdmissionState Admission_;
  ReturnState Returns_;
  HedgeState Hedges_;
  QuotaTable Quotas_;
  FleetState Fleet_;
  UsageState Usage_;
  SuspicionState Suspicion_;
  std::map<std::string, ServiceLink> ServiceLinks_; ///< By service.
  LogState Log_;
  OperatorLogState OperatorLog_;
  ConfigState Config_;
  ControlState Control_;
  LeaseState Lease_;
  ClaimState Claims_;
  ReleaseState Release_;
  StrainState Strain_;
  MembershipState Membership_;
  SpeedState Speeds_;
  std::deque<Decision> Decisions_;
  Counters Counters_;
  /// When the host list was last requested or read; -1: never.
  Millis HostsReadAt_ = -1;
  /// Time for which a store reader or a peer last confirmed the host list in
  /// use; -1: never.
  Millis HostsConfirmedAt_ = -1;
  /// Process that confirmed it; empty: none yet.
  std::string HostsConfirmedBy_;
  /// A store reader has a newer host list that must be read from the store.
  bool HostsOutdated_ = false;
  /// Since when a store reader has had a newer host list; 0: none has.
  Millis HostsBehindSince_ = 0;
  Millis HostsRequestedAt_ = 0; ///< Last request to a peer for its host list.
  /// When the host list was last read from the store in full; -1: never.
  Millis HostsCompleteAt_ = -1;
  /// Version of the host list in use; grows with each change; 0: unknown.
  LogOffset HostsVersion_ = 0;
  /// Since when the reads of this process have not failed; -1: no read yet.
  Millis HostsReadableSince_ = -1;
  /// A read of the platform's host list is in progress, or a second one beside
  /// it.
  bool HostsReading_ = false;
  bool HostsSecondRead_ = false;
  bool HostsRecovered_ = false; ///< That time began after a failed read.
  StoreService StoreService_;
  /// A missing host still gets work, because the store has just recovered.
  bool MissingHostsKept_ = false;
  /// A listed host gets no work, because only a copy of the store lists it.
  bool CopiedHostsHeldBack_ = false;
  /// Since when reads of the host list have failed; 0: the last one succeeded.
  Millis HostsFailingSince_ = 0;
  Millis HostsFailedAt_ = 0;  ///< Last failed read of the host list.
  Millis NoticesReadAt_ = -1; ///< Last read of reclaim notices; -1: never.
  bool Ready_ = false;
  /// When the numbers of calls to the platform were last logged.
  Millis PlatformCallsLoggedAt_ = 0;
};

/// @return the service or model whose rollouts apply to a call
inline const std::string &rolloutKey(const Call &C) {
  return C.ServiceQueue_.empty() ? C.Request_.Model_ : C.ServiceQueue_;
}

/// Adds to a counter that the metrics page shows.
inline void incrementCounter(State &S, const char *Name,
                             std::int64_t Amount = 1) {
  S.Counters_.Values_[Name] += Amount;
}

/// Adds an entry to the decision history in `dump`.
void recordDecision(State &S, std::string Subject, std::string Text);

/// @return the next number of the process's deterministic random sequence
std::uint64_t nextRandom(State &S);

} // namespace endivewharf
