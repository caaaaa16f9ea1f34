// Divides the bound of a cold upstream by counting, not by saving up: a process
// that has sent its part waits until a second has passed.
#include "coldhosts.h"

#include <algorithm>
#include <cmath>

namespace endivewharf {

namespace {

/// Part of a bound that is given out. The rest is for processes that do not
/// know of each other yet.
constexpr double GivenFraction = 0.8;
constexpr Millis BoundWindow = 1000; // ms over which a bound counts requests
/// Time from the decision to send until the request has left, in ms.
constexpr Millis SendDelay = 150;
/// Time after a failed connection for which an upstream counts as cold, in ms:
/// a process without a part of the bound sends nothing that would be answered.
constexpr Millis UnreachedPeriod = 10000;

} // namespace

int coldPart(const ColdPartView &View) {
  const auto Given =
      static_cast<std::size_t>(std::floor(View.Bound_ * GivenFraction));
  const std::size_t Processes = std::max<std::size_t>(1, View.Processes_);
  if (Given >= Processes)
    return static_cast<int>(Given / Processes);
  return View.Preceding_ < Given ? 1 : 0;
}

bool isCold(const ColdHost &Host, Millis Now) {
  const bool Unreached =
      Host.UnreachedAt_ != 0 && Now - Host.UnreachedAt_ < UnreachedPeriod;
  return Unreached || Now < Host.Until_;
}

void applyColdEntry(ColdHost &Host, Millis Now, Millis TimeLeft) {
  Host.Until_ = Now + std::clamp<Millis>(TimeLeft, 0, MaxColdTime);
  Host.UnreachedAt_ = 0;
}

void recordUnreached(ColdHost &Host, Millis Now) { Host.UnreachedAt_ = Now; }

void recordAnswered(ColdHost &Host, Millis Now, Millis StartedAt,
                    Millis ColdTime) {
  if (Host.UnreachedAt_ == 0 || StartedAt < Host.UnreachedAt_)
    return;
  Host.UnreachedAt_ = 0;
  extendCold(Host, Now, ColdTime);
}

void extendCold(ColdHost &Host, Millis Now, Millis TimeLeft) {
  Host.Until_ =
      std::max(Host.Until_, Now + std::clamp<Millis>(TimeLeft, 0, MaxColdTime));
}

void recordSent(ColdHost &Host, Millis Now) {
  while (!Host.SentAt_.empty() &&
         Host.SentAt_.front() <= Now - BoundWindow - SendDelay)
    Host.SentAt_.pop_front();
  Host.SentAt_.push_back(Now);
}

int recentlySent(const ColdHost &Host, Millis Now) {
  const auto First = std::upper_bound(Host.SentAt_.begin(), Host.SentAt_.end(),
                                      Now - BoundWindow - SendDelay);
  return static_cast<int>(Host.SentAt_.end() - First);
}

} // namespace endivewharf
