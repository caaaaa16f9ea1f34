// What comes of attempts: tokens, whole answers, failures, retries.
#pragma once

#include "state.h"

namespace endivewharf {

void onAttemptToken(State &S, const AttemptToken &E, Effects &Out);
void onAttemptEnded(State &S, const AttemptEnded &E, Effects &Out);
void onAttemptFailed(State &S, const AttemptFailed &E, Effects &Out);
void onServiceAnswer(State &S, const ServiceAnswer &E, Effects &Out);

/// Takes streams from upstreams that have stalled.
void tickAttempts(State &S, Effects &Out);

/// Sends the head of a streamed answer, once.
void startStreamIfNeeded(State &S, Call &C, Effects &Out);

/// Sends a finished completion's end, or the whole of it.
void finishCompletion(State &S, Call &C, Effects &Out);

} // namespace endivewharf
