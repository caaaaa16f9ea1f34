// Gives waiting calls to upstreams and keeps the books of attempts.
#pragma once

#include "state.h"

#include <optional>
#include <vector>

namespace endivewharf {

/// Gives waiting calls to upstreams that have room.
void dispatchQueuedCalls(State &S, Effects &Out);

/// Puts a claimed call into the queue for an upstream.
void enqueueClaimedCall(State &S, Call &C, Effects &Out);

/// Streams whose upstream has sent no event for too long and that may go on
/// elsewhere; one that may not is left to its upstream until its time is up.
std::vector<AttemptId> stalledAttempts(const State &S);

/// Stops a call's attempt, if it has one.
void cancelAttempt(State &S, Call &C, Effects &Out);

/// An attempt that has ended, with its call.
struct RemovedAttempt {
  Attempt Attempt_;
  Call *Call_ = nullptr;
};

/// Ends an attempt's bookkeeping. A late answer of an attempt that was given
/// up finds nothing and is dropped.
std::optional<RemovedAttempt> removeAttempt(State &S, AttemptId Id);

} // namespace endivewharf
