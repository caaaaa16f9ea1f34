// The order of the operators' log decides: a later record holds, always.
#include "operatorlog.h"

#include "aggregators.h"
#include "controllog.h"
#include "diagnostics.h"
#include "membership.h"
#include "rollout.h"
#include "storereaders.h"

namespace endivewharf {

namespace {

constexpr Millis StoreReaderRetryPeriod = 250; // ms after a failure
constexpr Millis NonReaderRetryPeriod =
    1000; // ms; followers' words come sooner
constexpr Millis StoreReaderPollTimeout = 1500; // ms; silence shows as soon
constexpr Millis NonReaderPollTimeout =
    10000; // ms; followers' words come sooner

/// One visitor for all that operators write.
struct OperatorEntryVisitor {
  State &S_;
  LogOffset Offset_;
  Effects &Out_;

  void operator()(const PublishedConfiguration &C) const {
    adoptConfiguration(S_, Offset_, C.Text_, "store", Out_);
  }
  void operator()(const RolloutRequest &M) const {
    applyRolloutRequest(S_, Offset_, M, Out_);
  }
};

} // namespace

void onOperatorLogRead(State &S, const OperatorLogRead &E, Effects &Out) {
  OperatorLogState &O = S.OperatorLog_;
  O.Reading_ = false;
  if (!O.Available_)
    logEvent(Out, "operator_log_available", {});
  O.Available_ = true;
  O.ReachedTail_ = true;
  O.LastReadAt_ = S.Now_;
  for (const OperatorEntry &Entry : E.Entries_)
    std::visit(OperatorEntryVisitor{S, Entry.Offset_, Out}, Entry.Content_);
  O.NextOffset_ = E.NextOffset_;
}

void onOperatorLogReadFailed(State &S, Effects &Out) {
  OperatorLogState &O = S.OperatorLog_;
  O.Reading_ = false;
  if (O.Available_)
    logWarning(Out, "operator_log_unavailable",
               {{"age_ms", std::to_string(S.Now_ - O.LastReadAt_)}});
  O.Available_ = false;
  O.RetryAt_ = S.Now_ + (isStoreReader(S) ? StoreReaderRetryPeriod
                                          : NonReaderRetryPeriod);
}

void startOperatorLogRead(State &S, Effects &Out) {
  OperatorLogState &O = S.OperatorLog_;
  if (!S.Settings_.servesPlatform() || O.Reading_ || S.Now_ < O.RetryAt_)
    return;
  // In a large group followers' words are enough while they come.
  if (O.ReachedTail_ && isLargeCluster(S) && !isStoreReader(S) &&
      hasRecentOperatorRead(S))
    return;
  O.Reading_ = true;
  incrementCounter(S, "operator_log_reads");
  Out.push_back(ReadOperatorLog{O.NextOffset_, isStoreReader(S)
                                                   ? StoreReaderPollTimeout
                                                   : NonReaderPollTimeout});
}

} // namespace endivewharf
