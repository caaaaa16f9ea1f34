#include "hedges.h"

#include "admission.h"
#include "diagnostics.h"
#include "dispatch.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

/// Longest time for which a slow upstream is avoided, ms.
constexpr Millis MaxAvoidance = 1000;

bool isHedgingEnabled(const State &S) {
  return S.Settings_.Limits_.HedgeShare_ > 0;
}

/// @return true while a part of the service's requests goes to a new version,
///   whose answers are compared with those of the old one
bool isVersionUnderTest(const State &S, const std::string &Service) {
  const auto Found = S.Release_.Rollouts_.find(Service);
  return Found != S.Release_.Rollouts_.end() &&
         !Found->second.Row_.RolledBack_ && Found->second.Row_.Share_ < 1;
}

/// @return true if a second attempt can change neither what runs nor what is
///   learnt of the upstreams: the call may be repeated, its only attempt has
///   not begun to answer, and nothing that it carries is suspected
bool mayHedge(const State &S, const Call &C, const Attempt &A) {
  return C.Request_.Kind_ == CallKind::Routed && !C.Request_.Relayed_ &&
         C.RepeatPolicy_ != RepeatPolicy::Never &&
         C.UncertainAttempts_ < C.MaxUpstreams_ && C.AttemptCount_ == 1 &&
         A.FirstTokenAt_ == 0 && !S.Upstreams_[A.Upstream_].IsPeer_ &&
         C.TrialKey_ == 0 && !isVersionUnderTest(S, C.ServiceQueue_);
}

HedgeView viewOf(const State &S, const Call &C, const Attempt &A) {
  HedgeView View;
  View.Route_ = C.Request_.Route_;
  View.Service_ = C.ServiceQueue_;
  View.WaitedMs_ = static_cast<double>(S.Now_ - A.StartedAt_) - A.PrefillMs_;
  View.TimeLeft_ = C.Deadline_ - S.Now_;
  View.WaitingCalls_ = waitingCalls(S, C.ServiceQueue_);
  View.RetryBudget_ = retryBudget(S, C);
  return View;
}

/// Sends nothing to an upstream that was slower than a second attempt for as
/// long as the first one had waited there: its load has gone down by the one
/// that is cancelled, so it would be chosen next.
void avoidSlowUpstream(Upstream &U, Millis Now, Millis Waited) {
  U.AvoidUntil_ = std::max(U.AvoidUntil_, Now + std::min(Waited, MaxAvoidance));
}

/// Starts a second attempt if an upstream has room for it.
void startHedge(State &S, Call &C, const Attempt &First, Effects &Out) {
  const int Index = startSecondAttempt(S, C, Out);
  if (Index < 0)
    return;
  chargeHedge(S.Hedges_, C.ServiceQueue_);
  consumeRetry(S, C);
  incrementCounter(S, "hedges");
  logEvent(Out, "hedged",
           {{"request", C.RequestId_},
            {"route", C.Request_.Route_},
            {"slow", S.Upstreams_[First.Upstream_].Row_.Host_.Name_},
            {"second", S.Upstreams_[Index].Row_.Host_.Name_},
            {"waited_ms", std::to_string(S.Now_ - First.StartedAt_)},
            {"usual_ms",
             fmt::format(
                 "{:.0f}",
                 S.Hedges_.Delays_.find(C.Request_.Route_)->second.HighMs_)}});
}

} // namespace

void tickHedges(State &S, Effects &Out) {
  if (!isHedgingEnabled(S) || S.Stage_ != Stage::Serving)
    return;
  std::vector<AttemptId> Slow;
  for (const auto &[Id, A] : S.Attempts_) {
    const auto Found = S.Calls_.find(A.Call_);
    if (Found != S.Calls_.end() && mayHedge(S, Found->second, A) &&
        decideHedge(S.Hedges_, viewOf(S, Found->second, A)) ==
            HedgeDecision::Start)
      Slow.push_back(Id);
  }
  std::sort(Slow.begin(), Slow.end());
  for (const AttemptId Id : Slow) {
    const Attempt First = S.Attempts_.at(Id);
    Call &C = S.Calls_.at(First.Call_);
    // The hedges before this one may have used up the budget.
    if (decideHedge(S.Hedges_, viewOf(S, C, First)) == HedgeDecision::Start)
      startHedge(S, C, First, Out);
  }
}

void countHedgeableAttempt(State &S, const Call &C) {
  if (isHedgingEnabled(S) && C.RepeatPolicy_ != RepeatPolicy::Never)
    addHedgeCredit(S.Hedges_, C.ServiceQueue_, S.Settings_.Limits_.HedgeShare_);
}

void settleHedge(State &S, Call &C, const Attempt &Answering, Effects &Out) {
  if (!isHedgingEnabled(S) || C.ServiceQueue_.empty())
    return;
  // A retry begins late because the attempt before it has failed.
  if (C.TriedUpstreams_.empty() && !S.Upstreams_[Answering.Upstream_].IsPeer_)
    recordAnswerDelay(S.Hedges_, C.Request_.Route_,
                      static_cast<double>(S.Now_ - C.DispatchedAt_) -
                          Answering.PrefillMs_);
  const auto Other = cancelOtherAttempt(S, C, Answering, Out);
  if (!Other)
    return;
  if (Answering.IsHedge_) {
    incrementCounter(S, "hedges_won");
    avoidSlowUpstream(S.Upstreams_[*Other], S.Now_, S.Now_ - C.DispatchedAt_);
  }
  logEvent(Out, "hedge_settled",
           {{"request", C.RequestId_},
            {"answered_by", Answering.IsHedge_ ? "second" : "first"},
            {"upstream", S.Upstreams_[Answering.Upstream_].Row_.Host_.Name_},
            {"took_ms", std::to_string(S.Now_ - C.DispatchedAt_)}});
}

} // namespace endivewharf
