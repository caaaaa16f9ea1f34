// Routed calls: requests by a route of the configuration, whose bodies and
// events are opaque. What a route says of repetition decides what becomes of a
// failed attempt.
#pragma once

#include "state.h"

#include <optional>

namespace endivewharf {

/// Checks a routed request at the door and fills in what its route says.
/// @return the refusal, or nothing if the call is taken
std::optional<CallError> checkRoutedCall(State &S, Call &C);

/// Keeps the head of a streamed answer until its first event.
void onAttemptHead(State &S, const AttemptHead &E);

/// Passes one event on.
void sendRoutedEvent(State &S, Call &C, const AttemptToken &E, Effects &Out);

/// Ends a stream that is complete.
void finishRoutedStream(State &S, Call &C, Effects &Out);

/// Passes a whole answer on, or tries again where that may help.
void onRoutedAnswer(State &S, Call &C, const Attempt &A, const ServiceAnswer &E,
                    Effects &Out);

/// Tries again elsewhere, or tells the caller what is known.
void retryRoutedCall(State &S, Call &C, const Attempt &A,
                     const AttemptFailed &E, Effects &Out);

/// Refuses calls that have waited for as long as they may.
void tickRoutedCalls(State &S, Effects &Out);

} // namespace endivewharf
