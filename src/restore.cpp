// Facts, decisions and the configuration are kept in memory and ordered by what
// their writers say, so only the log itself has to be completed.
#include "restore.h"

#include "controllog.h"
#include "diagnostics.h"
#include "lease.h"
#include "membership.h"
#include "suspects.h"
#include "usage.h"

#include <set>

namespace endivewharf {

namespace {

// Time in which operators and hosts have written again what was lost, ms.
constexpr Millis WriteAgainTime = 30000;

/// Keys of the records that the restored log has.
struct CopiedKeys {
  std::set<std::int64_t> Windows_;
  std::set<std::pair<LogOffset, std::string>> Verdicts_;
  std::set<std::pair<LogOffset, std::string>> Shares_;
  std::set<std::pair<std::uint64_t, bool>> Blocks_; ///< Key and `Lifted_`.
};

/// Adds the key of one record.
struct KeyCollector {
  CopiedKeys &Keys_;

  void operator()(const UsageRecord &R) const {
    Keys_.Windows_.insert(R.Window_);
  }
  void operator()(const VerdictRecord &R) const {
    Keys_.Verdicts_.insert({R.Fact_.NoteVersion_, R.Fact_.Model_});
  }
  void operator()(const ShareRecord &R) const {
    Keys_.Shares_.insert({R.NoteVersion_, R.Model_});
  }
  void operator()(const BlockRecord &R) const {
    Keys_.Blocks_.insert({blockKey(R.Fact_), R.Fact_.Lifted_});
  }
  template <typename Other> void operator()(const Other &) const {}
};

} // namespace

void recordEra(State &S, LogOffset Position, Effects &Out) {
  StoreService &Store = S.StoreService_;
  const std::int64_t Era = eraOf(Position);
  if (Era <= Store.Era_)
    return;
  if (Store.Era_ >= 0) {
    Store.EraBeganAt_ = S.Now_;
    Store.Since_ = S.Now_;
    logEvent(Out, "store_restored",
             {{"era", std::to_string(Era)},
              {"before", std::to_string(Store.Era_)},
              {"config", std::to_string(S.Config_.Version_)}});
  }
  Store.Era_ = Era;
}

bool isEraNew(const State &S) {
  return S.StoreService_.EraBeganAt_ != 0 &&
         S.Now_ - S.StoreService_.EraBeganAt_ < WriteAgainTime;
}

void beginLogEra(State &S, Effects &Out) {
  endLeasesOfEarlierEras(S);
  S.Usage_.PendingWindows_.clear();
  S.Membership_.JoinQueued_ = false;
  for (auto &[Service, Rollout] : S.Release_.Rollouts_) {
    Rollout.SentStatus_.clear();
    Rollout.AcknowledgedStatus_.clear();
    Rollout.PendingShare_ = -1;
  }
  recordDecision(S, "lease", "ended: the log was restored from a copy");
  logEvent(Out, "lease_ended_by_restore", {});
}

void writeMissingRecords(State &S, std::span<const LogEntry> Copied) {
  if (!isStoreReader(S))
    return;
  CopiedKeys Keys;
  for (const LogEntry &Entry : Copied)
    if (Entry.Record_)
      std::visit(KeyCollector{Keys}, *Entry.Record_);
  for (const auto &[Window, Counts] : S.Usage_.DecidedCounts_)
    if (Keys.Windows_.count(Window) == 0)
      queueLogRecord(
          S, UsageRecord{S.Lease_.Epoch_, Window, decidedRows(S, Window)});
  for (const auto &[Key, Fact] : S.Release_.BadVersionFacts_)
    if (Keys.Verdicts_.count(Key) == 0)
      queueLogRecord(S, VerdictRecord{Fact});
  for (const auto &[Service, Rollout] : S.Release_.Rollouts_) {
    const RolloutRow &Row = Rollout.Row_;
    if (Row.Share_ > 0 && Keys.Shares_.count({Row.NoteVersion_, Service}) == 0)
      queueLogRecord(S, ShareRecord{S.Lease_.Epoch_, Row.NoteVersion_, Service,
                                    Row.Share_, "written again"});
  }
  for (const auto &[Key, Known] : S.Suspicion_.Blocks_)
    if (Keys.Blocks_.count({Key, Known.Fact_.Lifted_}) == 0)
      queueLogRecord(S, BlockRecord{Known.Fact_});
}

} // namespace endivewharf
