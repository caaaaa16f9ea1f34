// Decides at the door whether a request is taken, and whose turn it is when an
// upstream has room: fair between accounts, interactive before batch, with a
// floor for batch.
#pragma once

#include "state.h"

#include <optional>

namespace endivewharf {

/// Checks an account's limits and whether the request can be answered in time.
/// @param S state; the account's rate bucket is charged
/// @param C call with its account and deadline
/// @param A the account's configured limits
/// @return the refusal, or nothing if the call is taken
std::optional<CallError> checkAdmission(State &S, const Call &C,
                                        const Account &A);

/// The same for a routed call: whether its service can answer it in time.
std::optional<CallError> checkServiceQueue(State &S, const Call &C);

/// Key of a call's queue: its account, apart for each lane.
std::string accountQueueKey(const Call &C);

/// Puts a call at the end (or, for a retry, at the front) of its queue.
void enqueueCall(State &S, const Call &C, bool Front);

/// Takes a call out of its queue, if it is there.
void dequeueCall(State &S, const Call &C);

/// Queues of a lane in the order of their turn.
/// @param S state
/// @param Lane whose queues
/// @param Which priority
/// @return names of queues with waiting calls, least served first
std::vector<std::string>
queuesLeastServedFirst(const State &S, const std::string &Lane, Priority Which);

/// Which priority is served next while both wait.
Priority nextPriority(const State &S, const std::string &Lane);

/// Books a call that leaves the queue for an upstream.
void recordDispatch(State &S, const Call &C);

/// Books a call that has ended in whatever way.
void recordCallEnd(State &S, const Call &C);

/// Books an answered call, for the estimates at the door.
void observeAnswer(State &S, const Call &C);

/// @return true if batch has waited for its floor's turn
bool isBatchDue(const State &S, const std::string &Lane);

/// Works out how often batch is due from the upstreams' capacity.
void tickAdmission(State &S);

/// Time until a refused caller should come back: the queue's expected drain
/// time with jitter, so that refused callers don't return as one wave.
Millis retryAfter(State &S, const Call &C);

/// @return true if the budget has room for one more retry of a call's service
bool hasRetryBudget(const State &S, const Call &C);

/// Takes one retry from the budget of a call's lane.
/// @return false if the budget is spent
bool consumeRetry(State &S, const Call &C);

/// Longest time that a routed call waits here before it is refused.
Millis maxQueueWait(const Call &C);

} // namespace endivewharf
