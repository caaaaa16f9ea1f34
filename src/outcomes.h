// Handles the results of attempts: tokens, complete answers, failures and
// retries.
#pragma once

#include "state.h"

namespace endivewharf {

/// Handles one token or event of a stream and sends it to the caller.
/// Duplicates are dropped; a gap in the indices fails the attempt.
void onAttemptToken(State &S, const AttemptToken &E, Effects &Out);
/// Handles the end marker of a stream: finishes the call.
void onAttemptEnded(State &S, const AttemptEnded &E, Effects &Out);
/// Handles a failed attempt: retries the call or refuses it.
void onAttemptFailed(State &S, const AttemptFailed &E, Effects &Out);
/// Handles the complete answer of a service.
void onServiceAnswer(State &S, const ServiceAnswer &E, Effects &Out);

/// Fails the attempts of stalled streams, as far as the retry budget allows, so
/// that the streams continue at other upstreams.
void tickStalledStreams(State &S, Effects &Out);

/// Sends the status and headers of a streamed answer unless they have been sent
/// or the caller wants no stream.
void startStreamIfNeeded(State &S, Call &C, Effects &Out);

/// Ends a completion: sends the end of its stream or, without streaming, the
/// complete answer, then retains its record and removes the call.
void finishCompletion(State &S, Call &C, Effects &Out);

} // namespace endivewharf
