// Moves of a service's requests to hosts of another version, as operators of
// the platform order them. The verdict on a version is release.h's.
#pragma once

#include "state.h"

namespace endivewharf {

/// Begins a move, unless a later one is known.
void orderMove(State &S, LogOffset Offset, const OrderedMove &Order,
               Effects &Out);

/// Takes over a peer's moves that are not known here.
void adoptRollouts(State &S, const std::vector<MoveRow> &Rows, Effects &Out);

/// With the lease, raises shares and writes how moves stand.
void tickRollouts(State &S, Effects &Out);

void onMoveStateWritten(State &S, const MoveStateWritten &E, Effects &Out);

} // namespace endivewharf
