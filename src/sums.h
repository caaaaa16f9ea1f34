// Sums that processes tell each other several times a second: what they have
// under way at upstreams, what accounts ask of them, what began to run.
#pragma once

#include "state.h"

namespace endivewharf {

/// Takes a peer's sums in place of those it told before.
void onSums(State &S, const Life &From, const SumsMessage &M, Effects &Out);

/// Sends this process's sums when they are due.
void tickSums(State &S, Effects &Out);

} // namespace endivewharf
