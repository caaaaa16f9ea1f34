// Moves of a service's requests to hosts of another version, as operators of
// the platform order them. The verdict on a version is release.h's.
#pragma once

#include "state.h"

namespace endivewharf {

/// Begins a move, unless a later one is known.
void applyRolloutRequest(State &S, LogOffset Offset,
                         const RolloutRequest &Order, Effects &Out);

/// Takes over a peer's moves that are not known here.
void adoptServiceRollouts(State &S, const std::vector<RolloutRow> &Rows,
                          Effects &Out);

/// With the lease, raises shares and writes how moves stand.
void tickServiceRollouts(State &S, Effects &Out);

void onRolloutStatusWritten(State &S, const RolloutStatusWritten &E,
                            Effects &Out);

} // namespace endivewharf
