// Rollouts of services to hosts of another version, requested by operators of
// the platform. The verdict on a version is evaluated in release.h.
#pragma once

#include "state.h"

namespace endivewharf {

/// Starts a rollout, unless this or a later one of the service is known.
/// @param Offset the request's offset in the operator log, which becomes the
/// rollout's note version
void applyRolloutRequest(State &S, LogOffset Offset,
                         const RolloutRequest &Request, Effects &Out);

/// Adopts a peer's rollouts that are not known here, larger shares of known
/// ones, and roll-backs.
void adoptServiceRollouts(State &S, const std::vector<RolloutRow> &Rows,
                          Effects &Out);

/// In the lease holder, raises shares that are due and writes the status of
/// each rollout.
void tickServiceRollouts(State &S, Effects &Out);

/// Handles the platform's answer to a written rollout status.
void onRolloutStatusWritten(State &S, const RolloutStatusWritten &E,
                            Effects &Out);

} // namespace endivewharf
