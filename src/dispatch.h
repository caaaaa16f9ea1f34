// Assigns queued calls to upstreams and keeps track of running attempts.
#pragma once

#include "state.h"

#include <optional>
#include <vector>

namespace endivewharf {

/// Starts attempts for queued calls at upstreams that have capacity, for each
/// service queue up to a fixed number of calls.
void dispatchQueuedCalls(State &S, Effects &Out);

/// Queues a call whose claim or quota has been granted, then dispatches queued
/// calls.
void enqueueAcceptedCall(State &S, Call &C, Effects &Out);

/// Finds streams whose upstream has sent no event within the time limit and
/// that may continue at another upstream. A stalled stream that may not
/// continue elsewhere stays at its upstream until the call's deadline.
/// @return numbers of the attempts, in ascending order
std::vector<AttemptId> stalledAttempts(const State &S);

/// Starts a second attempt of a call, beside the one under way, at another
/// upstream with room that serves the same version and names no limit.
/// @return index of the upstream; -1: none has room
int startSecondAttempt(State &S, Call &C, Effects &Out);

/// Cancels and removes the attempt of a call that runs beside another one.
/// @param Kept the other one, which may have ended
/// @return index of its upstream; nothing if there was no such attempt
std::optional<int> cancelOtherAttempt(State &S, Call &C, const Attempt &Kept,
                                      Effects &Out);

/// Cancels and removes a call's attempts.
void cancelAttempts(State &S, Call &C, Effects &Out);

/// An attempt that has ended.
struct RemovedAttempt {
  Attempt Attempt_;
  Call *Call_ = nullptr; ///< Null if the call has been removed.
};

/// Removes an attempt and subtracts it from its upstream's load.
/// @return the attempt and its call; nothing if the attempt is unknown, for
///   example because a cancelled attempt's answer arrives late. The caller
///   drops such an answer, and the counter `stale_answers` is incremented.
std::optional<RemovedAttempt> removeAttempt(State &S, AttemptId Id);

} // namespace endivewharf
