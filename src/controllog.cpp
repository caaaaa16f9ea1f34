// Reader and writer of the control log. A configuration's version is its
// offset. A configuration that is not based on the version in force is
// rejected. All processes apply the same rule, so of two racing operators one
// wins.
#include "controllog.h"

#include "aggregators.h"
#include "claims.h"
#include "diagnostics.h"
#include "fleet.h"
#include "lease.h"
#include "membership.h"
#include "release.h"
#include "restore.h"
#include "rollout.h"
#include "suspects.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

// Longest time that a read waits for records, ms.
constexpr Millis LogPollTimeout = 1500;
// Times between two reads on the platform, ms. In a large cluster the processes
// that are not store readers receive the control state from their peers.
constexpr Millis NonReaderReadPeriod = 5000;
constexpr Millis StoreReaderReadPeriod = 400;
constexpr Millis LargeClusterNonReaderReadPeriod = 60000;
// Time from a failed request to the next one, ms.
constexpr Millis LogRetryPeriod = 250;
constexpr Millis SnapshotPeriod = 30000; // ms
// Time without a snapshot after which the remaining records are applied, ms.
constexpr Millis MissingSnapshotTimeout = 2 * SnapshotPeriod;
// Number of rejected configurations whose reasons operators can read.
constexpr std::size_t MaxRejectedConfigurations = 32;
constexpr std::size_t MaxRecordsPerAppend = 256;

/// Keeps the reason of a rejection and drops the oldest one beyond the limit.
void recordRejection(std::map<LogOffset, std::string> &Rejected,
                     LogOffset Offset, std::string Reason) {
  Rejected[Offset] = std::move(Reason);
  if (Rejected.size() > MaxRejectedConfigurations)
    Rejected.erase(Rejected.begin());
}

/// Puts a configuration into force.
void applyConfiguration(State &S, LogOffset Version, const std::string &Text,
                        Configuration Value, Effects &Out) {
  S.Config_.Version_ = Version;
  S.Config_.Text_ = Text;
  S.Config_.Configuration_ = std::move(Value);
  recordDecision(S, "configuration",
                 fmt::format("version {} in force", Version));
  logEvent(Out, "config_in_force", {{"version", std::to_string(Version)}});
}

/// Counts and logs the errors of sections that a configuration has in vain:
/// what it withdraws and changes elsewhere must come into force nevertheless.
void reportSectionsLeftOut(State &S, LogOffset Version,
                           const FileErrors &Errors, Effects &Out) {
  constexpr std::size_t MaxLoggedErrors = 8;
  if (Errors.empty())
    return;
  incrementCounter(S, "config_section_errors",
                   static_cast<std::int64_t>(Errors.size()));
  for (std::size_t I = 0; I < std::min(Errors.size(), MaxLoggedErrors); ++I)
    logWarning(Out, "config_section_left_out",
               {{"version", std::to_string(Version)},
                {"errors", std::to_string(Errors.size())},
                {"reason", describe(Errors[I])}});
}

/// Parses a configuration of the store or of a peer and puts it into force.
void putIntoForce(State &S, LogOffset Version, const std::string &Text,
                  std::string_view Source, Effects &Out) {
  auto Parsed = parseUsableConfiguration(Text, "configuration");
  if (!Parsed) {
    logWarning(Out, "config_rejected",
               {{"offset", std::to_string(Version)},
                {"source", std::string(Source)},
                {"reason", describe(Parsed.error().front())}});
    recordRejection(S.Config_.RejectedVersions_, Version,
                    describe(Parsed.error().front()));
    return;
  }
  logEvent(
      Out, "config_adopted",
      {{"version", std::to_string(Version)}, {"source", std::string(Source)}});
  reportSectionsLeftOut(S, Version, Parsed->Errors_, Out);
  applyConfiguration(S, Version, Text, std::move(Parsed->Configuration_), Out);
}

/// Applies one record. Control records up to the control version are skipped:
/// they have been applied already or were included in a snapshot.
struct RecordVisitor {
  State &S_;
  LogOffset Offset_;
  Effects &Out_;

  bool isApplied() const { return Offset_ <= S_.Control_.Version_; }
  void markApplied() const { S_.Control_.Version_ = Offset_; }

  void operator()(const ConfigRecord &R) const {
    if (isApplied())
      return;
    auto Parsed = parseConfiguration(R.Text_, "configuration");
    if (R.BaseVersion_ != S_.Config_.Version_) {
      rejectConfiguration(
          fmt::format("based on version {}, but version {} is in force",
                      R.BaseVersion_, S_.Config_.Version_));
      return;
    }
    if (!Parsed) {
      rejectConfiguration(describe(Parsed.error().front()));
      return;
    }
    applyConfiguration(S_, Offset_, R.Text_, std::move(*Parsed), Out_);
    markApplied();
  }

  void operator()(const ReleaseNoteRecord &R) const {
    if (isApplied())
      return;
    applyReleaseNote(S_, Offset_, R, Out_);
    markApplied();
  }

  void operator()(const ShareRecord &R) const {
    if (isApplied())
      return;
    // On the platform a share record may be read again long after its lease has
    // ended, so its epoch is not checked.
    if (R.Epoch_ == S_.Lease_.Epoch_ || S_.Settings_.servesPlatform())
      applyRolloutShare(S_, R, Out_);
    else
      incrementCounter(S_, "fenced_records");
    markApplied();
  }

  void operator()(const VerdictRecord &R) const {
    if (isApplied())
      return;
    rollBackVersion(S_, R.Fact_, Out_);
    markApplied();
  }

  void operator()(const BlockRecord &R) const {
    mergeBlock(S_, R.Fact_, "log", Out_);
  }

  void operator()(const BreaksRecord &R) const {
    mergeBreaksRecord(S_, R, Out_);
  }

  void operator()(const SnapshotRecord &R) const {
    // A snapshot is usable only if its writer had read all records that this
    // process missed.
    if (!S_.Control_.AwaitingSnapshot_ ||
        R.LastReadOffset_ + 1 < S_.Control_.FirstReadableOffset_)
      return;
    adoptControlSnapshot(S_, R.Control_, "snapshot", Out_);
    S_.Control_.AwaitingSnapshot_ = false;
    auto DeferredRecords = std::move(S_.Control_.Deferred_);
    S_.Control_.Deferred_.clear();
    for (const auto &[Offset, Record] : DeferredRecords)
      if (Offset > R.LastReadOffset_)
        std::visit(RecordVisitor{S_, Offset, Out_}, Record);
  }

  void operator()(const LeaseAcquireRecord &R) const {
    applyLeaseAcquire(S_, Offset_, R, Out_);
  }
  void operator()(const LeaseRenewRecord &R) const {
    applyLeaseRenew(S_, Offset_, R, Out_);
  }
  void operator()(const ClaimRecord &R) const { applyClaim(S_, R, Out_); }
  void operator()(const ClaimReleaseRecord &R) const {
    applyClaimRelease(S_, R, Out_);
  }
  void operator()(const ClaimDoneRecord &R) const {
    applyClaimDone(S_, R, Out_);
  }
  void operator()(const JoinRecord &R) const { applyJoin(S_, R, Out_); }
  void operator()(const UsageRecord &R) const {
    applyDecidedUsage(S_, R, Out_);
  }
  void operator()(const UsageCountsRecord &R) const { applyUsageCounts(S_, R); }
  void operator()(const UsageFloorRecord &R) const {
    applyUsageFloor(S_, R, Out_);
  }
  void operator()(const WorkRecord &R) const { applyWorkRecord(S_, R); }

private:
  void rejectConfiguration(std::string Reason) const {
    logWarning(Out_, "config_rejected",
               {{"offset", std::to_string(Offset_)}, {"reason", Reason}});
    recordRejection(S_.Config_.RejectedVersions_, Offset_, std::move(Reason));
  }
};

/// @return true if the record's meaning depends on the records before it
bool needsSnapshot(const LogRecord &Record) {
  return std::holds_alternative<ConfigRecord>(Record) ||
         std::holds_alternative<ReleaseNoteRecord>(Record) ||
         std::holds_alternative<ShareRecord>(Record);
}

/// Applies an entry, or defers it until a snapshot arrives.
void applyLogEntry(State &S, const LogEntry &Entry, Effects &Out) {
  S.Log_.LastReadOffset_ = Entry.Offset_;
  if (!Entry.Record_) {
    incrementCounter(S, "log_records_not_understood");
    return;
  }
  if (S.Control_.AwaitingSnapshot_ && needsSnapshot(*Entry.Record_)) {
    S.Control_.Deferred_.emplace_back(Entry.Offset_, *Entry.Record_);
    return;
  }
  std::visit(RecordVisitor{S, Entry.Offset_, Out}, *Entry.Record_);
}

/// @return true if the record may be appended again after a lost reply, because
/// applying it twice has the same effect as applying it once
bool isIdempotent(const LogRecord &Record) {
  return std::holds_alternative<ClaimRecord>(Record) ||
         std::holds_alternative<ClaimReleaseRecord>(Record) ||
         std::holds_alternative<ClaimDoneRecord>(Record) ||
         std::holds_alternative<VerdictRecord>(Record) ||
         std::holds_alternative<BlockRecord>(Record) ||
         std::holds_alternative<BreaksRecord>(Record) ||
         std::holds_alternative<JoinRecord>(Record) ||
         std::holds_alternative<UsageRecord>(Record) ||
         std::holds_alternative<UsageFloorRecord>(Record);
}

/// The platform's log may keep only the newest record of each key, so an
/// invalid record must not be written over a valid one.
/// @return true if the record may be written only if the log ends where its
/// writer has read to
bool needsConditionalAppend(const State &S, const LogRecord &Record) {
  return S.Settings_.servesPlatform() &&
         (std::holds_alternative<LeaseAcquireRecord>(Record) ||
          std::holds_alternative<LeaseRenewRecord>(Record) ||
          std::holds_alternative<UsageRecord>(Record) ||
          std::holds_alternative<UsageFloorRecord>(Record));
}

/// @return true if records read since then make a queued record obsolete
bool isSuperseded(const State &S, const LogRecord &Record) {
  const LeaseState &L = S.Lease_;
  if (const auto *Usage = std::get_if<UsageRecord>(&Record))
    return isDecidedOtherwise(S, *Usage);
  if (const auto *Floor = std::get_if<UsageFloorRecord>(&Record))
    return isUsageFloorSuperseded(S, *Floor);
  if (const auto *Acquire = std::get_if<LeaseAcquireRecord>(&Record))
    return Acquire->PreviousOffset_ != L.LastRecordOffset_;
  if (const auto *Renew = std::get_if<LeaseRenewRecord>(&Record))
    return Renew->Epoch_ != L.Epoch_;
  return false;
}

/// Drops queued conditional records that have been superseded.
void dropSupersededRecords(State &S) {
  std::erase_if(S.Log_.Outbox_, [&](const LogRecord &R) {
    if (!needsConditionalAppend(S, R) || !isSuperseded(S, R))
      return false;
    if (std::holds_alternative<LeaseAcquireRecord>(R) ||
        std::holds_alternative<LeaseRenewRecord>(R))
      S.Lease_.Nonce_ = 0;
    return true;
  });
}

/// Processes that start together must not go on reading together: their reads
/// of the whole log would delay all other reads of the store.
/// @return a time from half of the mean period to one and a half, by name
Millis spreadReadPeriod(const State &S, Millis MeanPeriod) {
  const auto Spread = static_cast<Millis>(
      storeReaderRank(S.Self_.Name_) % static_cast<std::uint64_t>(MeanPeriod));
  return MeanPeriod / 2 + Spread;
}

/// On the platform each new record ends the waiting read of every reader.
/// Processes that are not store readers therefore read rarely and get shares
/// from their peers. Store readers read at a minimum interval, so that records
/// in quick succession, as when all processes join, are read together.
bool isLogReadDue(const State &S) {
  if (!S.Settings_.servesPlatform() || !S.Log_.ReachedTail_)
    return true;
  const Millis Elapsed = S.Now_ - S.Log_.ReadStartedAt_;
  if (isStoreReader(S))
    return Elapsed >= StoreReaderReadPeriod;
  return Elapsed >= (isLargeCluster(S)
                         ? spreadReadPeriod(S, LargeClusterNonReaderReadPeriod)
                         : NonReaderReadPeriod);
}

/// Waits for a snapshot if records were lost to the log's retention.
/// @param Earliest oldest offset that the log still has
void handleMissedRecords(State &S, LogOffset Earliest) {
  if (Earliest <= S.Log_.NextOffset_ || S.Settings_.servesPlatform())
    return; // The platform keeps the newest record of each key.
  const bool IsFirstRead = S.Log_.LastReadOffset_ == NoOffset;
  if (!IsFirstRead)
    markClaimsIncomplete(S);
  // Any of the missed records may have changed the known control state.
  S.Control_.AwaitingSnapshot_ = true;
  S.Control_.FirstReadableOffset_ = Earliest;
  S.Control_.AwaitingSnapshotSince_ = S.Now_;
  S.Control_.Deferred_.clear();
}

} // namespace

void queueLogRecord(State &S, LogRecord Record) {
  S.Log_.Outbox_.push_back(std::move(Record));
}

void onLogRead(State &S, const LogRead &E, Effects &Out) {
  S.Log_.Reading_ = false;
  S.Log_.Available_ = true;
  handleMissedRecords(S, E.EarliestOffset_);
  const bool NewEra = S.Log_.NextOffset_ != 0 &&
                      eraOf(E.NextOffset_) > eraOf(S.Log_.NextOffset_);
  recordEra(S, E.NextOffset_, Out);
  const std::optional<std::int64_t> KnownFloor =
      NewEra ? usageFloorKnownAcrossEras(S) : std::nullopt;
  if (NewEra || S.Log_.EraKnownSince_ < 0)
    S.Log_.EraKnownSince_ = S.Now_;
  if (NewEra)
    beginLogEra(S, Out);
  for (const LogEntry &Entry : E.Entries_)
    if (Entry.Offset_ >= S.Log_.NextOffset_)
      applyLogEntry(S, Entry, Out);
  S.Log_.NextOffset_ = std::max(S.Log_.NextOffset_, E.NextOffset_);
  if (NewEra)
    writeMissingRecords(S, E.Entries_);
  // After the decisions that the log lacks, so that it holds for what is left.
  if (KnownFloor)
    queueLogRecord(S, UsageFloorRecord{eraOf(E.NextOffset_), *KnownFloor});
  if (E.AtTail_) {
    S.Log_.ReachedTail_ = true;
    S.Log_.TailReadStartedAt_ = S.Log_.ReadStartedAt_;
  }
}

void onLogReadFailed(State &S, Effects &Out) {
  S.Log_.Reading_ = false;
  if (S.Log_.Available_)
    logWarning(Out, "log_unavailable", {});
  S.Log_.Available_ = false;
  S.Log_.RetryAt_ = S.Now_ + LogRetryPeriod;
}

void onAppendEnded(State &S, const AppendEnded &E, Effects &) {
  if (E.AppendId_ != S.Log_.PendingAppendId_)
    return;
  S.Log_.PendingAppendId_ = 0;
  std::vector<LogRecord> Pending = std::move(S.Log_.PendingRecords_);
  S.Log_.PendingRecords_.clear();
  if (E.Accepted_)
    return;
  if (E.Refused_) {
    // Nothing was written. All records are appended again once the records that
    // are already in the log have been read.
    incrementCounter(S, "log_appends_refused");
    S.Log_.RefusedOffset_ = S.Log_.NextOffset_;
    S.Log_.Outbox_.insert(S.Log_.Outbox_.begin(), Pending.begin(),
                          Pending.end());
    return;
  }
  // It is not known whether the append took effect. Idempotent records, such as
  // claims and outcomes, are appended again. The others depend on the time and
  // are decided anew.
  S.Log_.RetryAt_ = S.Now_ + LogRetryPeriod;
  std::erase_if(Pending, [](const LogRecord &R) { return !isIdempotent(R); });
  S.Log_.Outbox_.insert(S.Log_.Outbox_.begin(), Pending.begin(), Pending.end());
}

void startLogRequests(State &S, Effects &Out) {
  LogState &Log = S.Log_;
  if (!Log.Reading_ && S.Now_ >= Log.RetryAt_ && isLogReadDue(S)) {
    Log.Reading_ = true;
    Log.ReadStartedAt_ = S.Now_;
    incrementCounter(S, "own_log_reads");
    Out.push_back(ReadLog{Log.NextOffset_, LogPollTimeout});
  }
  if (Log.PendingAppendId_ != 0 || S.Now_ < Log.RetryAt_)
    return;
  dropSupersededRecords(S);
  const auto BatchSize = static_cast<std::ptrdiff_t>(
      std::min(Log.Outbox_.size(), MaxRecordsPerAppend));
  const auto End = Log.Outbox_.begin() + BatchSize;
  const bool Conditional =
      std::any_of(Log.Outbox_.begin(), End, [&](const LogRecord &R) {
        return needsConditionalAppend(S, R);
      });
  if (BatchSize == 0 || (Conditional && Log.RefusedOffset_ == Log.NextOffset_))
    return;
  Log.PendingRecords_.assign(Log.Outbox_.begin(), End);
  Log.Outbox_.erase(Log.Outbox_.begin(), End);
  Log.PendingAppendId_ = Log.NextAppendId_++;
  incrementCounter(S, "log_appends");
  Out.push_back(AppendToLog{Log.PendingAppendId_, Log.PendingRecords_,
                            Conditional ? Log.NextOffset_ : NoOffset});
}

void tickControlSnapshots(State &S, Effects &Out) {
  if (S.Control_.AwaitingSnapshot_ && S.Log_.ReachedTail_ &&
      S.Now_ - S.Control_.AwaitingSnapshotSince_ > MissingSnapshotTimeout) {
    // Neither a snapshot nor a peer has provided the control state, so the
    // remaining records in the log are applied.
    logWarning(Out, "control_from_remaining_records", {});
    S.Control_.AwaitingSnapshot_ = false;
    auto DeferredRecords = std::move(S.Control_.Deferred_);
    S.Control_.Deferred_.clear();
    for (const auto &[Offset, Record] : DeferredRecords)
      std::visit(RecordVisitor{S, Offset, Out}, Record);
  }
  if (S.Settings_.servesPlatform())
    return;
  const bool Due = S.Control_.SnapshotWrittenAt_ < 0 ||
                   S.Now_ - S.Control_.SnapshotWrittenAt_ > SnapshotPeriod;
  if (Due && holdsLease(S) && !S.Control_.AwaitingSnapshot_ &&
      S.Config_.Version_ != NoOffset) {
    S.Control_.SnapshotWrittenAt_ = S.Now_;
    queueLogRecord(S, SnapshotRecord{S.Lease_.Epoch_, S.Log_.LastReadOffset_,
                                     controlSnapshot(S)});
  }
}

ControlSnapshot controlSnapshot(const State &S) {
  ControlSnapshot Control;
  Control.Version_ = S.Control_.Version_;
  Control.ConfigVersion_ = S.Config_.Version_;
  Control.ConfigText_ = S.Config_.Text_;
  Control.NoteVersion_ = S.Release_.NoteVersion_;
  for (const auto &[Model, Rollout] : S.Release_.Rollouts_)
    Control.Rollouts_.push_back(Rollout.Row_);
  for (const auto &[Key, Known] : S.Suspicion_.Blocks_)
    Control.Blocks_.push_back(Known.Fact_);
  return Control;
}

void adoptConfiguration(State &S, LogOffset Version, const std::string &Text,
                        std::string_view Source, Effects &Out) {
  if (Version <= S.Config_.Version_)
    return;
  putIntoForce(S, Version, Text, Source, Out);
}

void replaceConfiguration(State &S, const std::string &Text, Effects &Out) {
  putIntoForce(S, S.Config_.Version_, Text, "store", Out);
}

void adoptControlSnapshot(State &S, const ControlSnapshot &Control,
                          std::string_view Source, Effects &Out) {
  for (const BlockFact &Fact : Control.Blocks_)
    mergeBlock(S, Fact, Source, Out);
  if (S.Settings_.servesPlatform()) {
    adoptConfiguration(S, Control.ConfigVersion_, Control.ConfigText_, Source,
                       Out);
    adoptServiceRollouts(S, Control.Rollouts_, Out);
    return;
  }
  if (Control.Version_ <= S.Control_.Version_)
    return;
  auto Parsed = parseConfiguration(Control.ConfigText_, "configuration");
  if (!Parsed) {
    incrementCounter(S, "control_states_not_understood");
    return;
  }
  S.Control_.Version_ = Control.Version_;
  if (Control.ConfigVersion_ > S.Config_.Version_)
    applyConfiguration(S, Control.ConfigVersion_, Control.ConfigText_,
                       std::move(*Parsed), Out);
  adoptModelRollouts(S, Control.NoteVersion_, Control.Rollouts_, Out);
  logEvent(Out, "control_adopted",
           {{"version", std::to_string(Control.Version_)},
            {"source", std::string(Source)}});
}

} // namespace endivewharf
