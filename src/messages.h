// Messages between entry processes and records in the control log, as plain
// data. codec.h encodes and decodes them.
#pragma once

#include "types.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace endivewharf {

/// One incarnation of a named process or host; a restart begins a new one.
struct InstanceId {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;

  bool operator==(const InstanceId &) const = default;
  bool operator<(const InstanceId &Other) const {
    return std::tie(Name_, Incarnation_) <
           std::tie(Other.Name_, Other.Incarnation_);
  }
};

/// One entry of the host list.
struct HostRow {
  InstanceId Host_;
  std::string Address_; ///< `http://ip:port`.
  std::string DataCentre_;
  std::string Zone_;
  UpstreamKind Kind_ = UpstreamKind::Model;
  std::string Service_; ///< Service that the host runs; empty: models.
  bool Leaving_ = false;
  bool ChecksEpoch_ = false;  ///< Refuses commands with an old fencing token.
  double Price_ = 1;          ///< Price per hour.
  std::string Version_;       ///< Version of its software; empty: unknown.
  int Slots_ = 0;             ///< Requests that it runs at once; 0: unknown.
  bool Spot_ = false;         ///< May be reclaimed, as may all of its zone.
  Millis WarmupTimeLeft_ = 0; ///< Time until it runs at full speed.
};

// --- Facts: restrictions that every process may add and none may revoke ---

/// An incarnation of a host that gets no new work.
struct LeavingFact {
  InstanceId Host_;
  std::string Reason_;
};

/// A version whose rollout is rolled back.
struct BadVersionFact {
  LogOffset NoteVersion_ = NoOffset; ///< Release note of the rollout.
  std::string Model_;                ///< Model or service.
  std::string Reason_;
};

/// A part of prompts of one model.
struct PartName {
  std::uint64_t Key_ = 0; ///< Hash of model and ID, by which it is found.
  std::string Model_;     ///< For people; may be cut.
  std::string Id_;        ///< For people; may be cut.
};

/// A whole request, whoever received it (requestkey.h).
struct RequestName {
  std::uint64_t Key_ = 0;
  std::string Route_;                   ///< For people; may be cut.
  std::string Account_;                 ///< For people; may be cut.
  std::vector<std::uint64_t> PartKeys_; ///< Shared parts of its prompt.
};

/// What may end every upstream that answers a request: a part of its prompt, or
/// the request as a whole.
using SuspectName = std::variant<PartName, RequestName>;

/// @return key by which it is found
inline std::uint64_t keyOf(const SuspectName &Name) {
  return std::visit([](const auto &N) { return N.Key_; }, Name);
}

/// An attempt of a request that carries a suspect broke.
struct BreakRow {
  SuspectName Name_;
  std::uint32_t UpstreamHash_ = 0; ///< Hash of the upstream's incarnation.
  /// Number of the trial that broke, unique over all processes but for chance;
  /// 0: it was no trial, so other requests that carry it were under way.
  std::uint32_t TrialId_ = 0;
  std::uint64_t RequestKey_ = 0; ///< Request that broke.
};

/// A suspect under which an upstream has answered, so it does not end them.
struct ClearedRow {
  std::uint64_t Key_ = 0;
};

/// Requests that carry all of these end upstreams and are refused.
struct BlockFact {
  std::vector<SuspectName> Names_;
  std::vector<std::uint32_t> UpstreamHashes_; ///< Incarnations that ended.
  bool Lifted_ = false; ///< An upstream has answered under one of them since.
};

// --- Evidence for a release verdict ---

/// Totals over finished attempts. They only grow, so of two the one with the
/// larger count is the newer. Latency is the time per token, or of the whole
/// answer if it is not a stream.
struct SampleSums {
  std::int64_t Count_ = 0;
  std::int64_t Failed_ = 0;
  std::int64_t LatencyCount_ = 0; ///< Attempts with a measured latency.
  double LogLatency_ = 0;         ///< Sum of ln(latency / 1 ms).
  double LogLatencySquare_ = 0;   ///< Sum of ln(latency / 1 ms)^2.
  /// Of the failed ones, those that broke or timed out without an answer.
  std::int64_t Broken_ = 0;
};

/// Evidence of one process on one version, route, data centre and window, and
/// on attempts under strain or without it.
struct EvidenceRow {
  LogOffset NoteVersion_ = NoOffset;
  std::string Model_;
  bool NewVersion_ = false; ///< Of the version that the note introduces.
  std::string Route_;
  std::string DataCentre_;
  InstanceId Observer_;
  std::int64_t Window_ = 0; ///< Unix time divided by the window length.
  SampleSums Sums_;
  /// The attempts ran under strain, which slows every version (strain.h).
  bool Strained_ = false;
};

// --- Messages between entry processes ---

/// One entry process as it describes itself to its peers.
struct PeerRow {
  InstanceId Instance_;
  std::string DataCentre_;
  std::string Zone_;
  std::uint64_t Heartbeat_ = 0;
  LogOffset ConfigVersion_ = NoOffset;
  bool Draining_ = false;
  std::string Address_; ///< `ip:port`; empty: stated by the settings.
};

/// Rollout of one model or service.
struct RolloutRow {
  LogOffset NoteVersion_ = NoOffset;
  std::string NoteId_;
  std::int64_t DeadlineUnixMs_ = 0;
  std::string Model_; ///< Model or service.
  std::string FromVersion_;
  std::string ToVersion_;
  double Share_ = 0; ///< Traffic share of the new version, 0 to 1.
  bool RolledBack_ = false;
  std::string Reason_;
};

/// State that results from the control log's records up to a given one.
struct ControlSnapshot {
  LogOffset Version_ = NoOffset; ///< Last control record applied.
  LogOffset ConfigVersion_ = NoOffset;
  std::string ConfigText_;
  LogOffset NoteVersion_ = NoOffset;
  std::vector<RolloutRow> Rollouts_;
  std::vector<BlockFact> Blocks_;
};

/// Heartbeat of an incarnation whose row the receiver already has.
struct HeartbeatRow {
  std::uint32_t InstanceHash_ = 0;
  std::uint64_t Heartbeat_ = 0;
};

/// Periodic heartbeat with a digest of the sender's state.
struct DigestMessage {
  std::vector<PeerRow> Peers_; ///< The sender's own row and a few others.
  /// Live peers in the sender's data centre and some elsewhere.
  std::vector<HeartbeatRow> Heartbeats_;
  LogOffset ControlVersion_ = NoOffset;
  std::uint64_t FactsHash_ = 0; ///< Hash of the sender's set of facts.
  std::uint64_t Sequence_ = 0;  ///< Number of this digest to the receiver.
  /// Sequence number of the last digest received from the receiver.
  std::uint64_t Acknowledged_ = 0;
  /// Sender's corrected Unix time in ms; 0: not sent.
  std::int64_t UnixMs_ = 0;
  /// Processes that the sender knows, including itself.
  std::int64_t ClusterSize_ = 1;
  /// Services of which upstreams have answered the sender lately.
  std::vector<std::string> ReachedServices_;
};

/// Load at one upstream.
struct LoadRow {
  std::uint32_t UpstreamHash_ = 0; ///< Hash of the host's incarnation.
  int InFlight_ = 0;               ///< Attempts in flight.
  /// Expected prefill time of attempts without a first event, in ms.
  int PrefillMs_ = 0;
};

/// Asks for units of an account's quota.
struct QuotaRequestRow {
  std::string Account_;
  double Units_ = 0;
  /// Call of the origin that needs all of the units at once; 0: the origin has
  /// used the units in advance and takes any part of them.
  CallId Call_ = 0;
  std::uint32_t OriginHash_ = 0; ///< Instance that needs the units.
  std::int64_t Hops_ = 0;        ///< Processes that have passed the row on.
};

/// Answers a `QuotaRequestRow`.
struct QuotaGrantRow {
  std::string Account_;
  double Units_ = 0; ///< Units that the origin may use; 0: refused.
  CallId Call_ = 0;
  std::uint32_t OriginHash_ = 0;
  Millis RetryAfter_ = 0; ///< Advice for the caller of a refused request.
};

/// Units that the sender has deducted from its own for the receiver.
struct QuotaDepositRow {
  std::string Account_;
  double Units_ = 0;
};

/// Moves units of quotas between processes. A lost message loses its units,
/// and none are counted twice.
struct QuotaMessage {
  std::vector<QuotaDepositRow> Deposits_;
  std::vector<QuotaRequestRow> Requests_;
  std::vector<QuotaGrantRow> Grants_;
};

/// Stands where a field was that is no longer used, so that the fields after it
/// keep their positions in the message.
struct ReservedField {};

/// Requests of an account that began to run in one usage window.
struct UsageRow {
  std::int64_t Window_ = 0;
  std::string Account_;
  std::int64_t Count_ = 0;
};

/// Work that a service's requests need at the processes that a summary or
/// record covers.
struct WorkRow {
  std::string Service_;
  double MsPerSecond_ = 0; ///< Host time in ms per second.
};

/// What one store reader has read from the platform's store.
struct StoreReaderRow {
  std::string Name_;
  std::uint64_t HostsHash_ = 0; ///< Hash of its host list; 0: unreadable.
  LogOffset HostsVersion_ = 0;
  Millis HostsAge_ = 0; ///< Time since it read the host list.
  /// When it read the host list, on its own monotonic clock.
  Millis HostsReadAt_ = 0;
  LogOffset ConfigVersion_ = NoOffset;
  /// Time since the operator log was last read; below 0: not yet.
  Millis ConfigAge_ = 0;
  /// Time up to its last read in which its reads of the host list have not
  /// failed.
  Millis HostsReadableFor_ = 0;
  bool HostsRecovered_ = false; ///< That time began after a failed read.
};

/// A statement on the limit that an upstream names.
struct LimitRow {
  std::uint32_t UpstreamHash_ = 0;
  double PerSecond_ = -1;    ///< Requests per second; below 0: none any more.
  std::uint64_t Number_ = 0; ///< A later statement has a larger number.
};

/// A statement that an upstream that was listed before is cold.
struct ColdRow {
  std::uint32_t UpstreamHash_ = 0;
  Millis TimeLeft_ = 0;      ///< Time for which it stays cold, in ms.
  std::uint64_t Number_ = 0; ///< A later statement has a larger number.
};

/// A statement of operators on a data centre.
struct EvacuationRow {
  std::string DataCentre_;
  LogOffset Offset_ = NoOffset; ///< Position in the operator log.
  bool Active_ = false;         ///< False: its evacuation was taken back.
};

/// How long answers of an upstream took in a window, relative to what is
/// typical of its service.
struct SpeedRow {
  std::uint32_t UpstreamHash_ = 0;
  std::uint32_t Counts_ = 0; ///< Answers by class of time, 4 bits each.
};

/// Typical time of a service's hosts as a line.
struct TypicalTimeRow {
  std::string Service_;
  int Kind_ = 0; ///< Number of a TimeKind.
  double BaseMs_ = 0;
  double PerUnitMs_ = 0;
  double Samples_ = 0; ///< Measured times behind it.
};

/// How fast upstreams are, as the processes of a summary have measured it.
struct SpeedReport {
  std::vector<SpeedRow> Upstreams_;
  std::vector<TypicalTimeRow> Services_;
};

/// A report that an aggregator's summary includes.
struct IncludedReportRow {
  std::uint32_t InstanceHash_ = 0;
  std::uint64_t Sequence_ = 0;
};

/// The processes that a summary covers.
enum class SummaryScope {
  Group,   ///< The sender and the processes that report to it.
  Process, ///< Only the sender: a report to the receiver.
  All      ///< All processes; sent to those that report to the sender.
};

/// Totals of the processes in its scope; each message replaces the previous one
/// of its sender.
struct SummaryMessage {
  std::vector<LoadRow> Loads_;
  ReservedField Reserved_;
  std::vector<UsageRow> Usage_;
  std::vector<WorkRow> Work_;
  std::vector<RolloutRow> Rollouts_; ///< Rollouts of services.
  LogOffset ConfigVersion_ = NoOffset;
  /// Hash of the host list that the sender reads as a store reader; 0: it is
  /// none, or cannot read the list.
  std::uint64_t HostsHash_ = 0;
  /// Version of the host list that the sender reads as a store reader.
  LogOffset HostsVersion_ = 0;
  std::int64_t UnixMs_ = 0; ///< Sender's corrected Unix time in ms.
  SummaryScope Scope_ = SummaryScope::Group;
  std::int64_t ProcessCount_ = 1; ///< Number of processes covered.
  std::uint64_t Sequence_ = 0;    ///< Sequence number of a report.
  /// Reports that a summary of all processes includes.
  std::vector<IncludedReportRow> IncludedReports_;
  /// Store readers that the sender knows, itself included.
  std::vector<StoreReaderRow> StoreReaders_;
  /// Aggregators that the sender, itself one, has recently received from.
  std::vector<std::string> Aggregators_;
  std::uint64_t UsedHostsHash_ = 0; ///< Hash of the host list in use.
  LogOffset UsedHostsVersion_ = 0;  ///< Version of the host list in use.
  std::vector<LimitRow>
      Limits_; ///< Of all processes, as the sender knows them.
  std::vector<ColdRow> ColdHosts_; ///< As the sender knows them.
  std::vector<EvacuationRow> Evacuations_;
  SpeedReport Speeds_; ///< In some summaries only; empty in the others.
};

/// Usage counts of the sender's incarnation, for processes that may have to
/// report usage.
struct UsageMessage {
  std::vector<UsageRow> Rows_;
};

/// Requests the host list that the receiver uses.
struct HostsRequestMessage {};

/// The sender's host list, for a receiver whose list is older.
struct HostsMessage {
  LogOffset Version_ = 0;
  std::vector<HostRow> Hosts_;
  ReservedField Reserved_;
  /// Time since the list was complete, in ms; below 0: unknown.
  Millis Age_ = -1;
};

/// Facts and evidence. Merging is idempotent and commutative.
struct FactsMessage {
  std::vector<LeavingFact> LeavingFacts_;
  std::vector<BadVersionFact> BadVersionFacts_;
  std::vector<EvidenceRow> Evidence_;
  std::vector<BreakRow> Breaks_;
  std::vector<ClearedRow> Cleared_;
  std::vector<BlockFact> Blocks_;
};

/// Asks the owner of a suspect for permission to try a request that carries it.
struct TrialRequestRow {
  std::uint64_t Key_ = 0;
  CallId Call_ = 0; ///< Call of the sender.
};

/// Answers a `TrialRequestRow`.
struct TrialAnswerRow {
  std::uint64_t Key_ = 0;
  CallId Call_ = 0;
  bool Granted_ = false;
};

/// Ends a trial that was granted, or reports a break that was no trial.
struct TrialEndRow {
  SuspectName Name_;               ///< If nothing broke, only the key counts.
  bool Broken_ = false;            ///< An attempt broke.
  std::uint32_t UpstreamHash_ = 0; ///< Where it broke.
  std::uint32_t TrialId_ = 0;      ///< As in `BreakRow`.
  std::uint64_t RequestKey_ = 0;   ///< As in `BreakRow`.
};

/// Lets requests that carry a suspect be tried one at a time.
struct TrialMessage {
  std::vector<TrialRequestRow> Requests_;
  std::vector<TrialAnswerRow> Answers_;
  std::vector<TrialEndRow> Ends_;
};

/// The sender's control state; the higher version prevails.
struct ControlMessage {
  ControlSnapshot Control_;
};

/// Requests the receiver's control state.
struct ControlRequestMessage {};

/// A completion with all that another process needs to continue it.
struct CallRecord {
  std::string RequestId_;
  std::string ApiKey_; ///< API key of the caller.
  std::string Model_;
  std::string Route_;
  std::string Body_;          ///< The caller's request body.
  std::string GeneratedText_; ///< Text generated so far.
  /// End of each token within `GeneratedText_`, in bytes.
  std::vector<std::size_t> TokenEnds_;
  std::int64_t NextIndex_ = 0;
  std::int64_t MaxTokens_ = 0;
  bool Stream_ = false;
  bool Finished_ = false;
  std::string FinishReason_;
  Priority Priority_ = Priority::Interactive;
  /// Hash of the prompt up to the end of each block.
  std::vector<std::uint64_t> PrefixHashes_;
};

/// Hands a completion over to the receiver.
struct HandoverMessage {
  CallRecord Record_;
};

/// Confirms that the sender retains a completion that was handed over.
struct HandoverAckMessage {
  std::string RequestId_;
};

/// Asks whether the receiver has a call or its record.
struct FindCallMessage {
  std::string RequestId_;
};

/// Answers a `FindCallMessage`.
struct FoundCallMessage {
  std::string RequestId_;
  bool Retained_ = false; ///< The sender has the record.
  CallRecord Record_;
};

using PeerMessage =
    std::variant<DigestMessage, FactsMessage, ControlMessage,
                 ControlRequestMessage, HandoverMessage, HandoverAckMessage,
                 FindCallMessage, FoundCallMessage, SummaryMessage,
                 UsageMessage, HostsRequestMessage, HostsMessage, QuotaMessage,
                 TrialMessage>;

/// A message with its sender.
struct PeerEnvelope {
  InstanceId Sender_;
  PeerMessage Message_;
};

// --- Records in the control log ---

/// A configuration that an operator publishes.
struct ConfigRecord {
  LogOffset BaseVersion_ = NoOffset; ///< Version that the operator edited.
  std::string Text_;
};

/// One model's change in a release note.
struct VersionChange {
  std::string Model_;
  std::string ToVersion_;
};

/// A release note that an operator publishes.
struct ReleaseNoteRecord {
  LogOffset BaseVersion_ = NoOffset; ///< Previous release note.
  std::string Id_;
  std::int64_t DeadlineUnixMs_ = 0;
  std::vector<VersionChange> Changes_;
};

/// Acquires the control lease, unless another lease record follows
/// `PreviousOffset_`.
struct LeaseAcquireRecord {
  InstanceId Holder_;
  LogOffset PreviousOffset_ =
      NoOffset; ///< Last lease record that the writer read.
  Millis Duration_ = 0;
  std::uint64_t Nonce_ = 0; ///< Identifies the record to its writer.
  std::int64_t Era_ = 0;    ///< Era of the log when it was written.
};

/// Renews or releases the control lease.
struct LeaseRenewRecord {
  InstanceId Holder_;
  LogOffset Epoch_ = NoOffset;
  Millis Duration_ = 0;
  std::uint64_t Nonce_ = 0;
  bool Released_ = false; ///< The holder releases the lease.
};

/// Sets the new version's share of a model's traffic; needs the lease.
struct ShareRecord {
  LogOffset Epoch_ = NoOffset;
  LogOffset NoteVersion_ = NoOffset;
  std::string Model_;
  double Share_ = 0;
  std::string Reason_;
};

/// Makes a verdict durable. It needs no lease, because it only restricts.
struct VerdictRecord {
  BadVersionFact Fact_;
};

/// States the intent to run a call that may not be repeated.
struct ClaimRecord {
  std::string Key_;
  std::string ClaimId_;
  InstanceId Claimer_;
  std::uint64_t Fingerprint_ = 0; ///< Hash of key, method, path and body.
};

/// States that the claimer has not run the call and never will.
struct ClaimReleaseRecord {
  std::string Key_;
  std::string ClaimId_;
};

/// States the outcome of a claimed call.
struct ClaimDoneRecord {
  std::string Key_;
  std::string ClaimId_;
  bool OutcomeKnown_ = true; ///< False: the upstream's answer was lost.
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;
};

/// Preserves control state whose own records expire; needs the lease.
struct SnapshotRecord {
  LogOffset Epoch_ = NoOffset;
  /// Last offset that the writer had read.
  LogOffset LastReadOffset_ = NoOffset;
  ControlSnapshot Control_;
};

/// Announces the address of a process to its peers.
struct JoinRecord {
  PeerRow Row_;
};

/// Decides the usage to report for a window; the first record for a window is
/// valid.
struct UsageRecord {
  LogOffset Epoch_ = NoOffset;
  std::int64_t Window_ = 0;
  std::vector<UsageRow> Rows_;
};

/// Requests that began to run, by account.
using UsageCounts = std::map<std::string, std::int64_t>;

/// Usage counts of one incarnation of a process.
struct InstanceUsageRow {
  InstanceId Instance_;
  UsageCounts Counts_;
};

/// Saves the counts of a window before it is decided, so that a restart of all
/// processes loses little. A later record includes all earlier ones.
struct UsageCountsRecord {
  std::int64_t Window_ = 0;
  std::vector<InstanceUsageRow> Rows_;
};

/// Saves the work of services at the last planning of hosts, so that a process
/// that has just started can plan before it has seen any work itself.
struct WorkRecord {
  std::int64_t UnixMs_ = 0;
  std::vector<WorkRow> Rows_;
};

/// Makes a block durable. It needs no lease, because it only restricts; one
/// with `Lifted_` replaces it.
struct BlockRecord {
  BlockFact Fact_;
};

/// Tells processes that are cut off from their peers of breaks that count.
struct BreaksRecord {
  std::string Writer_; ///< Name of the process.
  std::int64_t UnixMs_ = 0;
  std::vector<BreakRow> Rows_;
};

/// States that no window from `Window_` on was decided in an earlier era of the
/// log without its decision being in the log now. The smallest of an era holds.
struct UsageFloorRecord {
  std::int64_t Era_ = 0;
  std::int64_t Window_ = 0;
};

using LogRecord =
    std::variant<ConfigRecord, ReleaseNoteRecord, LeaseAcquireRecord,
                 LeaseRenewRecord, ShareRecord, VerdictRecord, ClaimRecord,
                 ClaimReleaseRecord, ClaimDoneRecord, SnapshotRecord,
                 JoinRecord, UsageRecord, UsageCountsRecord, WorkRecord,
                 BlockRecord, BreaksRecord, UsageFloorRecord>;

/// A record with its offset; empty if it could not be decoded.
struct LogEntry {
  LogOffset Offset_ = NoOffset;
  std::optional<LogRecord> Record_;
};

} // namespace endivewharf
