#include "hostversions.h"

#include "evidence.h"

#include <algorithm>

namespace endivewharf {

namespace {

/// Failed answers of a new version up to which it may be the last resort. A bad
/// version may get requests only for a bounded time after its 50th bad answer;
/// the rest is for answers that other processes have not reported yet.
constexpr std::int64_t MaxLastResortFailures = 30;

} // namespace

bool hasOldVersionHosts(const State &S, const RolloutState &Rollout) {
  return std::any_of(
      S.Upstreams_.begin(), S.Upstreams_.end(), [&](const Upstream &U) {
        return U.Row_.Service_ == Rollout.Row_.Model_ && U.Listed_ &&
               !U.Leaving_ && U.Row_.Version_ != Rollout.Row_.ToVersion_;
      });
}

bool isBeyondReturn(const State &S, const RolloutState &Rollout) {
  if (!S.Settings_.servesPlatform() || Rollout.Row_.Share_ < 1)
    return false;
  if (!hasOldVersionHosts(S, Rollout))
    return true;
  const Millis TimeLeft = Rollout.Row_.DeadlineUnixMs_ - S.UnixMs_;
  const bool Settled = S.Now_ - Rollout.ShareChangedAt_ >= MinFullShareTime;
  // A rollout that was rolled back before it was complete leaves the old hosts.
  return !Rollout.Row_.RolledBack_ && Settled && TimeLeft <= CompletionMargin;
}

bool mayUseNewVersionAsLastResort(const State &S, const RolloutState &Rollout) {
  if (isBeyondReturn(S, Rollout))
    return true;
  return !hasOldVersionHosts(S, Rollout) &&
         newVersionFailures(S, Rollout) < MaxLastResortFailures;
}

} // namespace endivewharf
