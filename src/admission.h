// Admission control: decides whether a request is accepted when it arrives, and
// which queued call is next when an upstream has room. Accounts share the
// capacity by weight, and interactive calls go before batch calls, for which a
// minimum rate is guaranteed.
#pragma once

#include "state.h"

#include <optional>

namespace endivewharf {

/// Checks an account's limits and whether a call can be answered in time. An
/// accepted call is charged to the account's rate limit and adds to the retry
/// budget.
/// @param S state
/// @param C call with its account and deadline
/// @param A the account's configured limits
/// @return the refusal, or nothing if the call is accepted
std::optional<CallError> checkAdmission(State &S, const Call &C,
                                        const Account &A);

/// Checks whether the expected wait in a routed call's service queue is within
/// maxQueueWait(). Adds to the queue's retry budget.
/// @return the refusal, or nothing if the call is accepted
std::optional<CallError> checkQueueWait(State &S, const Call &C);

/// Key of a call's account queue: the account's name, with the service queue in
/// front for routed calls.
std::string accountQueueKey(const Call &C);

/// Adds a call to its account queue.
/// @param Front true for a retry, which goes to the front of the queue
void enqueueCall(State &S, const Call &C, bool Front);

/// Removes a call from its account queue. Does nothing if it is not queued.
void dequeueCall(State &S, const Call &C);

/// Lists the account queues of a service queue in the order in which they are
/// served.
/// @param S state
/// @param QueueName name of the service queue; empty: own interface
/// @param CallPriority priority of the calls to serve
/// @return keys of the account queues with waiting calls of that priority, the
///         one with the least weighted work first
std::vector<std::string> queuesLeastServedFirst(const State &S,
                                                const std::string &QueueName,
                                                Priority CallPriority);

/// @return priority that a service queue serves next: batch if batch calls wait
///         and are due, otherwise interactive
Priority nextPriority(const State &S, const std::string &QueueName);

/// Records that a call leaves its queue for an upstream: adds its work to the
/// account's and updates when batch is due.
void recordDispatch(State &S, const Call &C);

/// Removes an ended call from its account's calls in flight, whatever its
/// outcome.
void recordCallEnd(State &S, const Call &C);

/// Updates the average answer time and the drain rate of a call's service
/// queue, by which waits are estimated, from a call that has been answered.
void recordAnswer(State &S, const Call &C);

/// @return true if the minimum rate of batch calls requires that the next call
///         of a service queue is a batch call
bool isBatchDue(const State &S, const std::string &QueueName);

/// Updates the longest time between two batch calls of each service queue from
/// the capacity of its upstreams.
void tickAdmission(State &S);

/// Time in ms after which a refused caller should retry: when room is expected,
/// for prompts at the upstreams (returntime.h), for others by the drain time of
/// the call's queue. Jitter spreads the retries of callers that are refused
/// together.
/// @param S state; the random sequence advances
Millis retryAfter(State &S, const Call &C);

/// @return number of calls that wait in the queue of a service
int waitingCalls(const State &S, const std::string &Service);

/// @return retries that the call's service queue may still make
double retryBudget(const State &S, const Call &C);

/// @return true if the retry budget of the call's service queue allows a retry
bool hasRetryBudget(const State &S, const Call &C);

/// Consumes one retry from the budget of a call's service queue.
/// @return false if the budget does not allow it
bool consumeRetry(State &S, const Call &C);

/// Longest time in ms that a routed call waits in its queue before it is
/// refused.
Millis maxQueueWait(const Call &C);

} // namespace endivewharf
