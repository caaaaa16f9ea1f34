// Typed messages between entry processes and typed records in the platform's
// log. Data only; codec.h turns them into bytes and back.
#pragma once

#include "types.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace endivewharf {

/// One life of a named process or host; a restart is another life.
struct InstanceId {
  std::string Name_;
  std::uint64_t Incarnation_ = 0;

  bool operator==(const InstanceId &) const = default;
  bool operator<(const InstanceId &Other) const {
    return std::tie(Name_, Incarnation_) <
           std::tie(Other.Name_, Other.Incarnation_);
  }
};

/// One host as the host list shows it.
struct HostRow {
  InstanceId Host_;
  std::string Address_; ///< `http://ip:port`.
  std::string DataCentre_;
  std::string Zone_;
  UpstreamKind Kind_ = UpstreamKind::Model;
  std::string Service_; ///< Name of the plain service.
  bool Leaving_ = false;
  bool ChecksEpoch_ = false;  ///< Refuses orders with an old fencing number.
  double Price_ = 1;          ///< Per hour.
  std::string Version_;       ///< Of its software; empty: not told.
  int Slots_ = 0;             ///< Requests it runs at once; 0: not told.
  bool Spot_ = false;         ///< May be reclaimed, with all of its zone.
  Millis WarmupTimeLeft_ = 0; ///< Time for which it is still slow.
};

// --- Facts that every process may add and none may take back ---

/// This life of a host gets no new work.
struct LeavingFact {
  InstanceId Host_;
  std::string Reason_;
};

/// This release move is taken back.
struct BadVersionFact {
  LogOffset NoteVersion_ = NoOffset;
  std::string Model_;
  std::string Reason_;
};

// --- Evidence for a release verdict ---

/// Sums over finished attempts; only grows, so the larger one is the newer.
struct SampleSums {
  std::int64_t Count_ = 0;
  std::int64_t Failed_ = 0;
  std::int64_t LatencyCount_ = 0; ///< Attempts that gave a latency.
  double LogLatency_ = 0;         ///< Sum of ln(latency / 1 ms).
  double LogLatencySquare_ = 0;   ///< Sum of squares of the same.
};

/// What one process saw of one version on one route in its data centre.
struct EvidenceRow {
  LogOffset NoteVersion_ = NoOffset;
  std::string Model_;
  bool NewVersion_ = false; ///< The version that the note brings in.
  std::string Route_;
  std::string DataCentre_;
  InstanceId Observer_;
  std::int64_t Window_ = 0; ///< Number of the time window.
  SampleSums Sums_;
};

// --- Messages between entry processes ---

/// One process as others know it.
struct PeerRow {
  InstanceId Instance_;
  std::string DataCentre_;
  std::string Zone_;
  std::uint64_t Heartbeat_ = 0;
  LogOffset ConfigVersion_ = NoOffset;
  bool Draining_ = false;
  std::string Address_; ///< `ip:port` for peers; empty: as in the settings.
};

/// One model's release move.
struct RolloutRow {
  LogOffset NoteVersion_ = NoOffset;
  std::string NoteId_;
  std::int64_t DeadlineUnixMs_ = 0;
  std::string Model_;
  std::string FromVersion_;
  std::string ToVersion_;
  double Share_ = 0;
  bool RolledBack_ = false;
  std::string Reason_;
};

/// What the log's control records add up to, up to one of them.
struct ControlSnapshot {
  LogOffset Version_ = NoOffset; ///< Last control record that was applied.
  LogOffset ConfigVersion_ = NoOffset;
  std::string ConfigText_;
  LogOffset NoteVersion_ = NoOffset;
  std::vector<RolloutRow> Rollouts_;
};

/// Heartbeat of a life that the receiver knows by its row already.
struct HeartbeatRow {
  std::uint32_t InstanceHash_ = 0;
  std::uint64_t Heartbeat_ = 0;
};

/// Periodic heartbeat and summary of what the sender knows.
struct DigestMessage {
  std::vector<PeerRow> Peers_; ///< The sender's own row and a few others.
  std::vector<HeartbeatRow>
      Heartbeats_; ///< All living members near the sender.
  LogOffset ControlVersion_ = NoOffset;
  std::uint64_t FactsHash_ = 0;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Acknowledged_ = 0; ///< Last sequence got from the receiver.
  std::int64_t UnixMs_ = 0; ///< True time, as the sender believes; 0: not told.
};

/// What one process has under way at an upstream.
struct LoadRow {
  std::uint32_t UpstreamHash_ = 0; ///< Hash of its life.
  int InFlight_ = 0;
  int PrefillMs_ = 0; ///< Of prompts without a first event.
};

/// Units that an account asks for at the processes that a message sums up.
struct DemandRow {
  std::string Account_;
  double PerSecond_ = 0;
  double Admitted_ = 0; ///< Units admitted there, as far as the sender heard.
  double StalePerSecond_ = 0; ///< Per second, at processes that fell silent.
};

/// Requests of an account that began to run in one window.
struct UsageRow {
  std::int64_t Window_ = 0;
  std::string Account_;
  std::int64_t Count_ = 0;
};

/// Work that a service's requests ask for at one process.
struct WorkRow {
  std::string Service_;
  double MsPerSecond_ = 0; ///< Of hosts' time.
};

/// What one follower has read of the platform's store.
struct StoreReaderRow {
  std::string Name_;
  std::uint64_t HostsHash_ = 0; ///< Of the host list; 0: it can't be read.
  LogOffset HostsVersion_ = 0;
  Millis HostsAge_ = 0;
  Millis HostsReadAt_ = 0; ///< On the follower's own clock.
  LogOffset ConfigVersion_ = NoOffset;
  Millis ConfigAge_ = 0; ///< Below 0: not read yet.
};

/// A report that a collector's sums have in them.
struct IncludedReportRow {
  std::uint32_t InstanceHash_ = 0;
  std::uint64_t Sequence_ = 0;
};

/// Whom a message sums up.
enum class SummaryScope {
  Group,   ///< The sender and the processes that report to it.
  Process, ///< Only the sender, who reports to the receiver.
  All      ///< All processes, for those that report to the sender.
};

/// Sums that the sender keeps; each message replaces the one before.
struct SummaryMessage {
  std::vector<LoadRow> Loads_;
  std::vector<DemandRow> Demands_;
  std::vector<UsageRow> Usage_;
  std::vector<WorkRow> Work_;
  std::vector<RolloutRow> Rollouts_; ///< Of services, that are known there.
  LogOffset ConfigVersion_ = NoOffset;
  std::uint64_t HostsHash_ = 0; ///< Of the host list; 0: not followed there.
  LogOffset HostsVersion_ = 0;  ///< Of that list; grows with its changes.
  std::int64_t UnixMs_ = 0;     ///< True time, as the sender believes.
  SummaryScope Scope_ = SummaryScope::Group;
  std::int64_t ProcessCount_ = 1; ///< Summed up.
  std::uint64_t Sequence_ = 0;    ///< Of a report.
  std::vector<IncludedReportRow> IncludedReports_;
  std::vector<StoreReaderRow>
      StoreReaders_;                     ///< Others whom the sender heard of.
  std::vector<std::string> Aggregators_; ///< Heard of, by a collector.
  std::uint64_t UsedHostsHash_ = 0;      ///< Of the host list in use there.
  LogOffset UsedHostsVersion_ = 0;
};

/// What began to run in the sender's life, for those who report usage.
struct UsageMessage {
  std::vector<UsageRow> Rows_;
};

/// Asks for the host list that the receiver uses.
struct HostsRequestMessage {};

/// The sender's host list, for a receiver whose list is older.
struct HostsMessage {
  LogOffset Version_ = 0;
  std::vector<HostRow> Hosts_;
  /// Time since the sender's reads succeeded again after failures; below 0:
  /// they have not failed.
  Millis RecoveredFor_ = -1;
};

/// Facts and evidence; merging is idempotent and order does not matter.
struct FactsMessage {
  std::vector<LeavingFact> LeavingFacts_;
  std::vector<BadVersionFact> BadVersionFacts_;
  std::vector<EvidenceRow> Evidence_;
};

/// The sender's control state; the one with the higher version holds.
struct ControlMessage {
  ControlSnapshot Control_;
};

/// Asks for the receiver's control state.
struct ControlRequestMessage {};

/// A running completion, complete enough to go on with it elsewhere.
struct CallRecord {
  std::string RequestId_;
  std::string AccountKey_;
  std::string Model_;
  std::string Route_;
  std::string Body_;                   ///< The caller's request body.
  std::string GeneratedText_;          ///< Text generated so far.
  std::vector<std::size_t> TokenEnds_; ///< End of each token within it.
  std::int64_t NextIndex_ = 0;
  std::int64_t MaxTokens_ = 0;
  bool Stream_ = false;
  bool Finished_ = false;
  std::string FinishReason_;
  Priority Priority_ = Priority::Interactive;
  std::vector<std::uint64_t>
      PrefixHashes_; ///< Hashes of the prompt's prefixes.
};

struct HandoverMessage {
  CallRecord Record_;
};

struct HandoverAckMessage {
  std::string RequestId_;
};

/// Asks whether the receiver holds a call.
struct FindCallMessage {
  std::string RequestId_;
};

struct FoundCallMessage {
  std::string RequestId_;
  bool Retained_ = false;
  CallRecord Record_;
};

using PeerMessage =
    std::variant<DigestMessage, FactsMessage, ControlMessage,
                 ControlRequestMessage, HandoverMessage, HandoverAckMessage,
                 FindCallMessage, FoundCallMessage, SummaryMessage,
                 UsageMessage, HostsRequestMessage, HostsMessage>;

/// A message with its sender.
struct PeerEnvelope {
  InstanceId Sender_;
  PeerMessage Message_;
};

// --- Records in the log ---

/// A configuration that an operator publishes.
struct ConfigRecord {
  LogOffset BaseVersion_ = NoOffset; ///< Version that the operator changed.
  std::string Text_;
};

/// One model's change in a release note.
struct VersionChange {
  std::string Model_;
  std::string ToVersion_;
};

/// A release note that an operator publishes.
struct ReleaseNoteRecord {
  LogOffset BaseVersion_ = NoOffset; ///< Note before this one.
  std::string Id_;
  std::int64_t DeadlineUnixMs_ = 0;
  std::vector<VersionChange> Changes_;
};

/// Takes the control lease, if nobody renewed it since `Previous_`.
struct LeaseAcquireRecord {
  InstanceId Holder_;
  LogOffset PreviousOffset_ = NoOffset; ///< Last lease record that was read.
  Millis Duration_ = 0;
  std::uint64_t Nonce_ = 0; ///< Tells the holder which of its records it is.
};

struct LeaseRenewRecord {
  InstanceId Holder_;
  LogOffset Epoch_ = NoOffset;
  Millis Duration_ = 0;
  std::uint64_t Nonce_ = 0;
  bool Released_ = false; ///< The holder gives the lease up.
};

/// Share of a model's traffic for the new version; needs the lease.
struct ShareRecord {
  LogOffset Epoch_ = NoOffset;
  LogOffset NoteVersion_ = NoOffset;
  std::string Model_;
  double Share_ = 0;
  std::string Reason_;
};

/// A verdict made to last; needs no lease, as it only restricts.
struct VerdictRecord {
  BadVersionFact Fact_;
};

/// Intent to run a call that may not be repeated.
struct ClaimRecord {
  std::string Key_;
  std::string ClaimId_;
  InstanceId Claimer_;
  std::uint64_t Fingerprint_ = 0; ///< Hash of method, path and body.
};

/// The claimer never ran the call and never will.
struct ClaimReleaseRecord {
  std::string Key_;
  std::string ClaimId_;
};

/// The call's outcome.
struct ClaimDoneRecord {
  std::string Key_;
  std::string ClaimId_;
  bool OutcomeKnown_ = true; ///< False: the reply was lost.
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;
};

/// State that would expire with its records; needs the lease.
struct SnapshotRecord {
  LogOffset Epoch_ = NoOffset;
  LogOffset LastReadOffset_ =
      NoOffset; ///< Last offset that the writer had read.
  ControlSnapshot Control_;
};

/// Where a process is reached by its peers.
struct JoinRecord {
  PeerRow Row_;
};

/// What is to be reported for a window; the first one for it holds.
struct UsageRecord {
  LogOffset Epoch_ = NoOffset;
  std::int64_t Window_ = 0;
  std::vector<UsageRow> Rows_;
};

/// Requests that began to run, by account.
using UsageCounts = std::map<std::string, std::int64_t>;

/// What began to run in one life of a process.
struct InstanceUsageRow {
  InstanceId Instance_;
  UsageCounts Counts_;
};

/// What is known of a window before it is decided, so that a restart of all
/// processes loses little; each later record holds all of the earlier ones.
struct UsageCountsRecord {
  std::int64_t Window_ = 0;
  std::vector<InstanceUsageRow> Rows_;
};

/// Work that services were asked for when hosts were planned last, so that a
/// process that starts knows before it has seen any.
struct WorkRecord {
  std::int64_t UnixMs_ = 0;
  std::vector<WorkRow> Rows_;
};

using LogRecord =
    std::variant<ConfigRecord, ReleaseNoteRecord, LeaseAcquireRecord,
                 LeaseRenewRecord, ShareRecord, VerdictRecord, ClaimRecord,
                 ClaimReleaseRecord, ClaimDoneRecord, SnapshotRecord,
                 JoinRecord, UsageRecord, UsageCountsRecord, WorkRecord>;

/// A record at its place; empty if it could not be understood.
struct LogEntry {
  LogOffset Offset_ = NoOffset;
  std::optional<LogRecord> Record_;
};

} // namespace endivewharf
