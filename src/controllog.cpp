// The log's reader and writer. A configuration's version is its offset; a
// record whose base is not the version in force is rejected, by the same rule
// everywhere, so racing operators get one winner.
#include "controllog.h"

#include "claims.h"
#include "collectors.h"
#include "fleet.h"
#include "lease.h"
#include "membership.h"
#include "record.h"
#include "release.h"
#include "rollout.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis LogWait = 1500;    // ms for records to come
constexpr Millis RarePeriod = 5000; // ms between reads of a bystander
constexpr Millis ReadPeriod = 400;  // ms between reads that find records
constexpr Millis LargeGroupRarePeriod = 60000; // ms; peers tell the rest
constexpr Millis LogRetryPeriod = 250;         // ms after a failure
constexpr Millis SnapshotPeriod = 30000;       // ms
constexpr Millis GenesisPatience = 2 * SnapshotPeriod; // ms without a base
constexpr std::size_t MaxRejections = 32;              // kept for operators
constexpr std::size_t MaxBatch = 256;                  // records an append

void keepRejection(std::map<LogOffset, std::string> &Rejected, LogOffset Offset,
                   std::string Why) {
  Rejected[Offset] = std::move(Why);
  if (Rejected.size() > MaxRejections)
    Rejected.erase(Rejected.begin());
}

void takeConfiguration(State &S, LogOffset Version, const std::string &Text,
                       Configuration Value, Effects &Out) {
  S.Config_.Version_ = Version;
  S.Config_.Text_ = Text;
  S.Config_.Value_ = std::move(Value);
  remember(S, "configuration", fmt::format("version {} in force", Version));
  logEvent(Out, "config_in_force", {{"version", std::to_string(Version)}});
}

/// Applies one record. Control records at or before the control version have
/// been applied already, or came with a snapshot.
struct RecordVisitor {
  State &S_;
  LogOffset Offset_;
  Effects &Out_;

  bool known() const { return Offset_ <= S_.Control_.Version_; }
  void applied() const { S_.Control_.Version_ = Offset_; }

  void operator()(const ConfigRecord &R) const {
    if (known())
      return;
    auto Parsed = parseConfiguration(R.Text_, "configuration");
    if (R.Base_ != S_.Config_.Version_) {
      reject(fmt::format("it changes version {}, but {} is in force", R.Base_,
                         S_.Config_.Version_));
      return;
    }
    if (!Parsed) {
      reject(describe(Parsed.error().front()));
      return;
    }
    takeConfiguration(S_, Offset_, R.Text_, std::move(*Parsed), Out_);
    applied();
  }

  void operator()(const NoteRecord &R) const {
    if (known())
      return;
    applyNote(S_, Offset_, R, Out_);
    applied();
  }

  void operator()(const ShareRecord &R) const {
    if (known())
      return;
    // On the platform a share may be read again long after its lease.
    if (R.Epoch_ == S_.Lease_.Epoch_ || S_.Settings_.onPlatform())
      applyShare(S_, R, Out_);
    else
      count(S_, "fenced_records");
    applied();
  }

  void operator()(const VerdictRecord &R) const {
    if (known())
      return;
    markBad(S_, R.Fact_, Out_);
    applied();
  }

  void operator()(const SnapshotRecord &R) const {
    // A snapshot is a base only if its writer had read all that we missed.
    if (!S_.Control_.Baseless_ || R.Through_ + 1 < S_.Control_.BaseFrom_)
      return;
    adoptControl(S_, R.Control_, "snapshot", Out_);
    S_.Control_.Baseless_ = false;
    auto Later = std::move(S_.Control_.Unjudged_);
    S_.Control_.Unjudged_.clear();
    for (const auto &[Offset, Record] : Later)
      if (Offset > R.Through_)
        std::visit(RecordVisitor{S_, Offset, Out_}, Record);
  }

  void operator()(const LeaseAcquireRecord &R) const {
    applyLeaseAcquire(S_, Offset_, R, Out_);
  }
  void operator()(const LeaseRenewRecord &R) const {
    applyLeaseRenew(S_, Offset_, R, Out_);
  }
  void operator()(const ClaimRecord &R) const { onClaim(S_, R, Out_); }
  void operator()(const ClaimReleaseRecord &R) const {
    onClaimRelease(S_, R, Out_);
  }
  void operator()(const ClaimDoneRecord &R) const { onClaimDone(S_, R, Out_); }
  void operator()(const JoinRecord &R) const { onJoin(S_, R, Out_); }
  void operator()(const UsageRecord &R) const { applyUsage(S_, R, Out_); }
  void operator()(const UsageCountsRecord &R) const { noteCounts(S_, R); }
  void operator()(const WorkRecord &R) const { noteSavedWork(S_, R); }

private:
  void reject(std::string Why) const {
    logWarning(Out_, "config_rejected",
               {{"offset", std::to_string(Offset_)}, {"reason", Why}});
    keepRejection(S_.Config_.Rejected_, Offset_, std::move(Why));
  }
};

/// Records whose meaning depends on those before them.
bool needsBase(const LogRecord &Record) {
  return std::holds_alternative<ConfigRecord>(Record) ||
         std::holds_alternative<NoteRecord>(Record) ||
         std::holds_alternative<ShareRecord>(Record);
}

void applyEntry(State &S, const LogEntry &Entry, Effects &Out) {
  S.Log_.ReadThrough_ = Entry.Offset_;
  if (!Entry.Record_) {
    count(S, "log_records_not_understood");
    return;
  }
  if (S.Control_.Baseless_ && needsBase(*Entry.Record_)) {
    S.Control_.Unjudged_.emplace_back(Entry.Offset_, *Entry.Record_);
    return;
  }
  std::visit(RecordVisitor{S, Entry.Offset_, Out}, *Entry.Record_);
}

/// A record that may be appended again after a lost reply: applying it twice
/// is the same as once.
bool isIdempotent(const LogRecord &Record) {
  return std::holds_alternative<ClaimRecord>(Record) ||
         std::holds_alternative<ClaimReleaseRecord>(Record) ||
         std::holds_alternative<ClaimDoneRecord>(Record) ||
         std::holds_alternative<VerdictRecord>(Record) ||
         std::holds_alternative<JoinRecord>(Record) ||
         std::holds_alternative<UsageRecord>(Record);
}

/// Where the newest record of a key is all that may be left, one that does not
/// hold must not get in: it is written only where the log ends for its writer.
bool needsKnownEnd(const State &S, const LogRecord &Record) {
  return S.Settings_.onPlatform() &&
         (std::holds_alternative<LeaseAcquireRecord>(Record) ||
          std::holds_alternative<LeaseRenewRecord>(Record) ||
          std::holds_alternative<UsageRecord>(Record));
}

/// @return true if what has been read since shows that a record is not to be
/// written any more
bool isOvertaken(const State &S, const LogRecord &Record) {
  const LeaseState &L = S.Lease_;
  if (const auto *Usage = std::get_if<UsageRecord>(&Record))
    return S.Usage_.Decided_.count(Usage->Window_) > 0;
  if (const auto *Acquire = std::get_if<LeaseAcquireRecord>(&Record))
    return Acquire->Previous_ != L.LastRecord_;
  if (const auto *Renew = std::get_if<LeaseRenewRecord>(&Record))
    return Renew->Epoch_ != L.Epoch_;
  return false;
}

void dropOvertaken(State &S) {
  std::erase_if(S.Log_.Outbox_, [&](const LogRecord &R) {
    if (!needsKnownEnd(S, R) || !isOvertaken(S, R))
      return false;
    if (!std::holds_alternative<UsageRecord>(R))
      S.Lease_.Nonce_ = 0;
    return true;
  });
}

/// On the platform each record wakes every reader: those that don't follow the
/// store read our own records now and then, shares come from peers; and what
/// comes in quick succession, as when all processes join, is read together.
bool isLogReadDue(const State &S) {
  if (!S.Settings_.onPlatform() || !S.Log_.SawTail_)
    return true;
  const Millis Passed = S.Now_ - S.Log_.ReadStartedAt_;
  if (followsStore(S))
    return Passed >= ReadPeriod;
  return Passed >= (isLargeGroup(S) ? LargeGroupRarePeriod : RarePeriod);
}

void noteRetention(State &S, LogOffset Earliest) {
  if (Earliest <= S.Log_.Next_ || S.Settings_.onPlatform())
    return; // the platform keeps the newest record of each key
  const bool First = S.Log_.ReadThrough_ == NoOffset;
  if (!First)
    forgetClaims(S);
  // Whatever is known, one of the missed records may have changed it.
  S.Control_.Baseless_ = true;
  S.Control_.BaseFrom_ = Earliest;
  S.Control_.BaselessSince_ = S.Now_;
  S.Control_.Unjudged_.clear();
}

} // namespace

void appendRecord(State &S, LogRecord Record) {
  S.Log_.Outbox_.push_back(std::move(Record));
}

void onLogRead(State &S, const LogRead &E, Effects &Out) {
  S.Log_.Reading_ = false;
  S.Log_.Available_ = true;
  noteRetention(S, E.Earliest_);
  for (const LogEntry &Entry : E.Entries_)
    if (Entry.Offset_ >= S.Log_.Next_)
      applyEntry(S, Entry, Out);
  S.Log_.Next_ = std::max(S.Log_.Next_, E.Next_);
  if (E.AtTail_) {
    S.Log_.SawTail_ = true;
    S.Log_.FreshAt_ = S.Log_.ReadStartedAt_;
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
  if (E.Append_ != S.Log_.PendingAppend_)
    return;
  S.Log_.PendingAppend_ = 0;
  std::vector<LogRecord> Pending = std::move(S.Log_.Pending_);
  S.Log_.Pending_.clear();
  if (E.Accepted_)
    return;
  if (E.Refused_) {
    // All goes in again once what is there has been read.
    count(S, "log_appends_refused");
    S.Log_.RefusedAt_ = S.Log_.Next_;
    S.Log_.Outbox_.insert(S.Log_.Outbox_.begin(), Pending.begin(),
                          Pending.end());
    return;
  }
  // Whether the append took effect is not known. Claims and outcomes go in
  // again; what is bound to a moment is decided anew.
  S.Log_.RetryAt_ = S.Now_ + LogRetryPeriod;
  std::erase_if(Pending, [](const LogRecord &R) { return !isIdempotent(R); });
  S.Log_.Outbox_.insert(S.Log_.Outbox_.begin(), Pending.begin(), Pending.end());
}

void driveLog(State &S, Effects &Out) {
  LogState &Log = S.Log_;
  if (!Log.Reading_ && S.Now_ >= Log.RetryAt_ && isLogReadDue(S)) {
    Log.Reading_ = true;
    Log.ReadStartedAt_ = S.Now_;
    count(S, "own_log_reads");
    Out.push_back(ReadLog{Log.Next_, LogWait});
  }
  if (Log.PendingAppend_ != 0 || S.Now_ < Log.RetryAt_)
    return;
  dropOvertaken(S);
  const auto Batch =
      static_cast<std::ptrdiff_t>(std::min(Log.Outbox_.size(), MaxBatch));
  const auto End = Log.Outbox_.begin() + Batch;
  const bool Conditional =
      std::any_of(Log.Outbox_.begin(), End,
                  [&](const LogRecord &R) { return needsKnownEnd(S, R); });
  if (Batch == 0 || (Conditional && Log.RefusedAt_ == Log.Next_))
    return;
  Log.Pending_.assign(Log.Outbox_.begin(), End);
  Log.Outbox_.erase(Log.Outbox_.begin(), End);
  Log.PendingAppend_ = Log.NextAppend_++;
  count(S, "log_appends");
  Out.push_back(AppendToLog{Log.PendingAppend_, Log.Pending_,
                            Conditional ? Log.Next_ : NoOffset});
}

void tickControl(State &S, Effects &Out) {
  if (S.Control_.Baseless_ && S.Log_.SawTail_ &&
      S.Now_ - S.Control_.BaselessSince_ > GenesisPatience) {
    // Neither a snapshot nor a peer: the records that are left are all there
    // is.
    logWarning(Out, "control_from_remaining_records", {});
    S.Control_.Baseless_ = false;
    auto Remaining = std::move(S.Control_.Unjudged_);
    S.Control_.Unjudged_.clear();
    for (const auto &[Offset, Record] : Remaining)
      std::visit(RecordVisitor{S, Offset, Out}, Record);
  }
  if (S.Settings_.onPlatform())
    return;
  const bool Due = S.Control_.SnapshotAt_ < 0 ||
                   S.Now_ - S.Control_.SnapshotAt_ > SnapshotPeriod;
  if (Due && holdsLease(S) && !S.Control_.Baseless_ &&
      S.Config_.Version_ != NoOffset) {
    S.Control_.SnapshotAt_ = S.Now_;
    appendRecord(S, SnapshotRecord{S.Lease_.Epoch_, S.Log_.ReadThrough_,
                                   controlSnapshot(S)});
  }
}

ControlSnapshot controlSnapshot(const State &S) {
  ControlSnapshot Control;
  Control.Version_ = S.Control_.Version_;
  Control.ConfigVersion_ = S.Config_.Version_;
  Control.ConfigText_ = S.Config_.Text_;
  Control.NoteVersion_ = S.Release_.NoteVersion_;
  for (const auto &[Model, M] : S.Release_.Moves_)
    Control.Moves_.push_back(M.Row_);
  return Control;
}

void adoptConfiguration(State &S, LogOffset Version, const std::string &Text,
                        std::string_view Source, Effects &Out) {
  if (Version <= S.Config_.Version_)
    return;
  auto Parsed = parseConfiguration(Text, "configuration");
  if (!Parsed) {
    logWarning(Out, "config_rejected",
               {{"offset", std::to_string(Version)},
                {"source", std::string(Source)},
                {"reason", describe(Parsed.error().front())}});
    keepRejection(S.Config_.Rejected_, Version,
                  describe(Parsed.error().front()));
    return;
  }
  logEvent(
      Out, "config_adopted",
      {{"version", std::to_string(Version)}, {"source", std::string(Source)}});
  takeConfiguration(S, Version, Text, std::move(*Parsed), Out);
}

void adoptControl(State &S, const ControlSnapshot &Control,
                  std::string_view Source, Effects &Out) {
  if (S.Settings_.onPlatform()) {
    adoptConfiguration(S, Control.ConfigVersion_, Control.ConfigText_, Source,
                       Out);
    adoptRollouts(S, Control.Moves_, Out);
    return;
  }
  if (Control.Version_ <= S.Control_.Version_)
    return;
  auto Parsed = parseConfiguration(Control.ConfigText_, "configuration");
  if (!Parsed) {
    count(S, "control_states_not_understood");
    return;
  }
  S.Control_.Version_ = Control.Version_;
  if (Control.ConfigVersion_ > S.Config_.Version_)
    takeConfiguration(S, Control.ConfigVersion_, Control.ConfigText_,
                      std::move(*Parsed), Out);
  adoptMoves(S, Control.NoteVersion_, Control.Moves_, Out);
  logEvent(Out, "control_adopted",
           {{"version", std::to_string(Control.Version_)},
            {"source", std::string(Source)}});
}

} // namespace endivewharf
