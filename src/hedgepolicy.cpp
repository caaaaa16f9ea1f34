#include "hedgepolicy.h"

#include <algorithm>

namespace endivewharf {

namespace {

/// Step of the estimated quantile, as a fraction of it.
constexpr double QuantileStep = 0.1;
/// Answers after which the quantile is used: one beyond it is expected.
constexpr int MinSampleCount = 20;
constexpr double MinDelayMs = 10;    // ms, below which no answer counts as slow
constexpr double MaxSavedHedges = 2; // hedges of one process and service

} // namespace

void addHedgeCredit(HedgeState &H, std::string_view Service, double Share) {
  auto Found = H.Credits_.find(Service);
  if (Found == H.Credits_.end())
    Found = H.Credits_.emplace(Service, 0).first;
  Found->second = std::min(MaxSavedHedges, Found->second + Share);
}

void recordAnswerDelay(HedgeState &H, std::string_view Route, double DelayMs) {
  auto Found = H.Delays_.find(Route);
  if (Found == H.Delays_.end())
    Found = H.Delays_.emplace(Route, AnswerDelay{MinDelayMs, 0}).first;
  AnswerDelay &Delay = Found->second;
  // The estimate rises where more than one in 1 / (1 - HedgeQuantile) answers
  // are above it, and falls where fewer are.
  const double Step = QuantileStep * Delay.HighMs_;
  Delay.HighMs_ += DelayMs > Delay.HighMs_ ? Step * HedgeQuantile
                                           : -Step * (1 - HedgeQuantile);
  if (Delay.SampleCount_ < MinSampleCount) {
    // The largest of the first answers is a start that is not too low.
    ++Delay.SampleCount_;
    Delay.HighMs_ = std::max(Delay.HighMs_, DelayMs);
  }
  Delay.HighMs_ = std::max(MinDelayMs, Delay.HighMs_);
}

HedgeDecision decideHedge(const HedgeState &H, const HedgeView &View) {
  const auto Delay = H.Delays_.find(View.Route_);
  if (Delay == H.Delays_.end() || Delay->second.SampleCount_ < MinSampleCount ||
      View.WaitedMs_ <= Delay->second.HighMs_)
    return HedgeDecision::TooEarly;
  if (static_cast<double>(View.TimeLeft_) <= Delay->second.HighMs_)
    return HedgeDecision::NoTimeLeft;
  if (View.WaitingCalls_ > 0)
    return HedgeDecision::ServiceFull;
  const auto Credit = H.Credits_.find(View.Service_);
  if (Credit == H.Credits_.end() || Credit->second < 1 || View.RetryBudget_ < 1)
    return HedgeDecision::NoBudget;
  return HedgeDecision::Start;
}

void chargeHedge(HedgeState &H, std::string_view Service) {
  const auto Found = H.Credits_.find(Service);
  if (Found != H.Credits_.end())
    Found->second -= 1;
}

} // namespace endivewharf
