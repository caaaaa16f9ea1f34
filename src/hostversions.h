// Which hosts of a service may be used while a rollout of it is under way or
// over, and whether there is a way back to the old version. When a rollout is
// reported complete, the platform stops the hosts of the old version, so a
// verdict on the new one can bring nothing back after that.
#pragma once

#include "state.h"

namespace endivewharf {

/// Time before the deadline from which a rollout may be reported complete, ms.
constexpr Millis CompletionMargin = 700;
/// Time at the full share before a rollout is reported complete, ms.
constexpr Millis MinFullShareTime = 1000;

/// @return true if hosts of a rollout's old version are listed and stay
bool hasOldVersionHosts(const State &S, const RolloutState &Rollout);

/// @return true if a rollout of a service has the full share and no way back:
///   no host of the old version is listed, or the rollout may have been
///   reported complete, so that they stop
bool isBeyondReturn(const State &S, const RolloutState &Rollout);

/// Decides on hosts of the new version as the last resort, for when no host of
/// the old one can be used, whatever the share and the verdict are. Where hosts
/// of the old version are listed, requests wait for these instead.
/// @return true if the hosts of the new version may serve: the rollout is
///   beyond return, or there are no others and few of their answers have failed
bool mayUseNewVersionAsLastResort(const State &S, const RolloutState &Rollout);

} // namespace endivewharf
