// Forecast of the room for refused callers.
#include "returntime.h"

#include <algorithm>
#include <cmath>

namespace endivewharf {

namespace {

constexpr double MsPerSecond = 1000;
// Callers come back within a third of the time that they have left; the rest is
// the margin for the way there.
constexpr double MaxReturnFraction = 0.3;
constexpr double MinReturnTime = 100;   // ms
constexpr double MinReturnSpread = 200; // ms
// Averaging time of the refused work, ms: about the time until callers return.
constexpr double RefusedWorkTime = 1000;
// Smallest spare fraction of the upstreams' time that a forecast goes by.
constexpr double MinSpareFraction = 0.05;

/// Fraction of the upstreams' time that is left beside what is asked of them.
double spareFraction(const RoomForecast &Forecast) {
  const double CapacityMs =
      static_cast<double>(Forecast.BacklogsMs_.size()) * MsPerSecond;
  return CapacityMs == 0 ? 1 : 1 - Forecast.DemandMsPerSecond_ / CapacityMs;
}

/// Time in ms in which the upstreams can do the returning work besides what is
/// asked of them.
double spreadMs(const RoomForecast &Forecast) {
  const auto Count = static_cast<double>(Forecast.BacklogsMs_.size());
  if (Count == 0)
    return MinReturnSpread;
  const double Spare = std::max(MinSpareFraction, spareFraction(Forecast));
  return std::max(MinReturnSpread, Forecast.ReturningMs_ / (Count * Spare));
}

} // namespace

double timeUntilRoomMs(std::span<const double> BacklogsMs,
                       double MaxBacklogMs) {
  if (BacklogsMs.empty())
    return 0;
  const double Least = *std::min_element(BacklogsMs.begin(), BacklogsMs.end());
  return std::max(0.0, Least - MaxBacklogMs);
}

ReturnWindow fittingWindow(double From, double Spread, Millis TimeLeft) {
  const double Latest = static_cast<double>(TimeLeft) * MaxReturnFraction;
  const double Until = std::max(0.0, std::min(From + Spread, Latest));
  const double LatestStart = Until - std::min(Spread, Until / 2);
  return {static_cast<Millis>(std::min(From, LatestStart)),
          static_cast<Millis>(Until)};
}

ReturnWindow returnWindow(const RoomForecast &Forecast) {
  const double From = MinReturnTime + timeUntilRoomMs(Forecast.BacklogsMs_,
                                                      Forecast.MaxBacklogMs_);
  if (spareFraction(Forecast) >= MinSpareFraction)
    return fittingWindow(From, spreadMs(Forecast), Forecast.TimeLeft_);
  // No room is expected before fewer calls come: callers try as late as they
  // can, and are spread over half of their time.
  const auto TimeLeft = static_cast<double>(Forecast.TimeLeft_);
  return fittingWindow(TimeLeft, TimeLeft, Forecast.TimeLeft_);
}

void recordRefusal(RefusedWork &Refused, double PrefillMs, Millis Now) {
  Refused.PrefillMs_ = recentlyRefusedMs(Refused, Now) + PrefillMs;
  Refused.DecayedAt_ = Now;
}

double recentlyRefusedMs(const RefusedWork &Refused, Millis Now) {
  const auto Elapsed = static_cast<double>(Now - Refused.DecayedAt_);
  return Refused.PrefillMs_ * std::exp(-Elapsed / RefusedWorkTime);
}

} // namespace endivewharf
