// The steps are fixed fractions of the bound.
#include "freshness.h"

#include "membership.h"

#include <algorithm>

namespace endivewharf {

namespace {

constexpr Millis MaxReadPeriod = 1000; // ms
constexpr Millis MaxPassOnTime = 750;  // ms: three messages of a group each

} // namespace

FreshnessBudget freshnessBudget(Millis Bound) {
  FreshnessBudget Budget;
  Budget.ReadPeriod_ = std::min(MaxReadPeriod, Bound / 3);
  Budget.PassOnTime_ = std::min(MaxPassOnTime, Bound / 5);
  Budget.OwnReadAge_ = Bound * 45 / 100;
  Budget.OwnReadSpread_ = Bound * 15 / 100;
  Budget.SecondReadDelay_ = Bound / 10;
  Budget.AnswerTime_ = Bound / 10;
  Budget.RetryPeriod_ = Bound / 4;
  return Budget;
}

Millis ownReadAge(std::string_view Name, Millis Bound) {
  const FreshnessBudget Budget = freshnessBudget(Bound);
  // The processes next in rank read first: they replace silent store readers.
  const double Place = static_cast<double>(storeReaderRank(Name)) * 0x1p-64;
  return Budget.OwnReadAge_ +
         static_cast<Millis>(static_cast<double>(Budget.OwnReadSpread_) *
                             Place);
}

} // namespace endivewharf
