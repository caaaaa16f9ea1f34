// Applies the entries of the operator log in order; a later entry always
// replaces an earlier one.
#include "operatorlog.h"

#include "aggregators.h"
#include "controllog.h"
#include "diagnostics.h"
#include "membership.h"
#include "restore.h"
#include "rollout.h"
#include "storereaders.h"

namespace endivewharf {

namespace {

// Time from a failed read to the next one, and longest time that a read waits
// for entries, ms. Store readers use short times to detect an outage soon. The
// others receive what the store readers have read before their own reads end.
constexpr Millis StoreReaderRetryPeriod = 250;
constexpr Millis NonReaderRetryPeriod = 1000;
constexpr Millis StoreReaderPollTimeout = 1500;
constexpr Millis NonReaderPollTimeout = 10000;

/// Applies one entry of the operator log.
struct OperatorEntryVisitor {
  State &S_;
  LogOffset Offset_;
  Effects &Out_;

  void operator()(const PublishedConfiguration &Published) const {
    const LogOffset Version = Published.Version_.value_or(Offset_);
    // A peer of an earlier build may have sent this version in a text from
    // which not all of it can be read.
    if (Version == S_.Config_.Version_ && Published.Text_ != S_.Config_.Text_)
      replaceConfiguration(S_, Published.Text_, Out_);
    else
      adoptConfiguration(S_, Version, Published.Text_, "store", Out_);
  }
  void operator()(const RolloutRequest &Request) const {
    applyRolloutRequest(S_, Offset_, Request, Out_);
  }
};

} // namespace

void onOperatorLogRead(State &S, const OperatorLogRead &E, Effects &Out) {
  OperatorLogState &Log = S.OperatorLog_;
  Log.Reading_ = false;
  if (!Log.Available_)
    logEvent(Out, "operator_log_available", {});
  Log.Available_ = true;
  Log.ReachedTail_ = true;
  Log.LastReadAt_ = S.Now_;
  recordEra(S, E.NextOffset_, Out);
  for (const OperatorEntry &Entry : E.Entries_)
    std::visit(OperatorEntryVisitor{S, Entry.Offset_, Out}, Entry.Content_);
  Log.NextOffset_ = E.NextOffset_;
}

void onOperatorLogReadFailed(State &S, Effects &Out) {
  OperatorLogState &Log = S.OperatorLog_;
  Log.Reading_ = false;
  if (Log.Available_)
    logWarning(Out, "operator_log_unavailable",
               {{"age_ms", std::to_string(S.Now_ - Log.LastReadAt_)}});
  Log.Available_ = false;
  Log.RetryAt_ = S.Now_ + (isStoreReader(S) ? StoreReaderRetryPeriod
                                            : NonReaderRetryPeriod);
}

void startOperatorLogRead(State &S, Effects &Out) {
  OperatorLogState &Log = S.OperatorLog_;
  if (!S.Settings_.servesPlatform() || Log.Reading_ || S.Now_ < Log.RetryAt_)
    return;
  // In a large cluster the reports of the store readers replace own reads as
  // long as they are recent.
  if (Log.ReachedTail_ && isLargeCluster(S) && !isStoreReader(S) &&
      hasRecentOperatorRead(S))
    return;
  Log.Reading_ = true;
  incrementCounter(S, "operator_log_reads");
  Out.push_back(ReadOperatorLog{Log.NextOffset_, isStoreReader(S)
                                                     ? StoreReaderPollTimeout
                                                     : NonReaderPollTimeout});
}

} // namespace endivewharf
