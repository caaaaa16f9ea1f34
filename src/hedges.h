// Starts second attempts of requests whose first one is slow to answer. The
// attempt that answers first serves the caller; the other one is cancelled.
#pragma once

#include "state.h"

namespace endivewharf {

/// Starts a second attempt for each call that hedgepolicy.h decides for.
void tickHedges(State &S, Effects &Out);

/// Counts a call's first attempt towards the hedges of its service.
void countHedgeableAttempt(State &S, const Call &C);

/// Settles a call one of whose attempts has begun to answer: learns from its
/// delay and cancels the other attempt, if there is one.
/// @param Answering attempt that has begun to answer, or has ended
void settleHedge(State &S, Call &C, const Attempt &Answering, Effects &Out);

} // namespace endivewharf
