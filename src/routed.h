// Handles routed calls: requests that match a route of the configuration and
// whose bodies and events are opaque. The route's repeat policy decides whether
// a failed attempt is retried.
#pragma once

#include "state.h"

#include <optional>

namespace endivewharf {

/// Checks a routed request, sets the call's account and the fields that its
/// route determines, and charges the account's quota.
/// @return the refusal, or nothing if the call is accepted
std::optional<CallError> checkRoutedCall(State &S, Call &C);

/// Keeps the status and headers of a streamed answer until its first event.
void onAttemptHead(State &S, const AttemptHead &E);

/// Takes the status and headers of the attempt that answers a call, unless the
/// caller has been sent those of an earlier one.
void adoptAnswerHead(Call &C, const Attempt &A);

/// Sends one event to the caller, before the first one the answer's status and
/// headers.
void sendRoutedEvent(State &S, Call &C, const AttemptToken &E, Effects &Out);

/// Sends the end of a complete stream and removes the call.
void finishRoutedStream(State &S, Call &C, Effects &Out);

/// Sends a complete answer to the caller. After a server error (status 500 or
/// above) the call is retried if its repeat policy and the retry budget allow
/// it. A stream that has started is aborted, as the answer cannot continue it.
void onRoutedAnswer(State &S, Call &C, const Attempt &A, const ServiceAnswer &E,
                    Effects &Out);

/// Retries a call whose attempt failed at another upstream, or refuses it with
/// the run state that is known.
void retryRoutedCall(State &S, Call &C, const Attempt &A,
                     const AttemptFailed &E, Effects &Out);

/// Refuses routed calls that have waited in the queue for maxQueueWait().
void tickRoutedCalls(State &S, Effects &Out);

} // namespace endivewharf
