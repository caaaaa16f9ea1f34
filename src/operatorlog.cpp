// The order of the operators' log decides: a later record holds, always.
#include "operatorlog.h"

#include "collectors.h"
#include "controllog.h"
#include "followers.h"
#include "membership.h"
#include "record.h"
#include "rollout.h"

namespace endivewharf {

namespace {

constexpr Millis RetryPeriod = 250;   // ms after a failure
constexpr Millis OthersRetry = 1000;  // ms; followers' words come sooner
constexpr Millis FollowerWait = 1500; // ms; silence shows as soon
constexpr Millis OthersWait = 10000;  // ms; followers' words come sooner

/// One visitor for all that operators write.
struct OperatorVisitor {
  State &S_;
  LogOffset Offset_;
  Effects &Out_;

  void operator()(const PublishedConfiguration &C) const {
    adoptConfiguration(S_, Offset_, C.Text_, "store", Out_);
  }
  void operator()(const OrderedMove &M) const {
    orderMove(S_, Offset_, M, Out_);
  }
};

} // namespace

void onOperatorRead(State &S, const OperatorRead &E, Effects &Out) {
  OperatorState &O = S.Operator_;
  O.Reading_ = false;
  if (!O.Available_)
    logEvent(Out, "operator_log_available", {});
  O.Available_ = true;
  O.SawTail_ = true;
  O.FreshAt_ = S.Now_;
  for (const OperatorEntry &Entry : E.Entries_)
    std::visit(OperatorVisitor{S, Entry.Offset_, Out}, Entry.Content_);
  O.Next_ = E.Next_;
}

void onOperatorReadFailed(State &S, Effects &Out) {
  OperatorState &O = S.Operator_;
  O.Reading_ = false;
  if (O.Available_)
    logWarning(Out, "operator_log_unavailable",
               {{"age_ms", std::to_string(S.Now_ - O.FreshAt_)}});
  O.Available_ = false;
  O.RetryAt_ = S.Now_ + (followsStore(S) ? RetryPeriod : OthersRetry);
}

void driveOperator(State &S, Effects &Out) {
  OperatorState &O = S.Operator_;
  if (!S.Settings_.onPlatform() || O.Reading_ || S.Now_ < O.RetryAt_)
    return;
  // In a large group followers' words are enough while they come.
  if (O.SawTail_ && isLargeGroup(S) && !followsStore(S) && hearsOperators(S))
    return;
  O.Reading_ = true;
  count(S, "operator_log_reads");
  Out.push_back(
      ReadOperator{O.Next_, followsStore(S) ? FollowerWait : OthersWait});
}

} // namespace endivewharf
