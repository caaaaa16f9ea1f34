// Records of completions, and callers who come back for them or go away.
#pragma once

#include "state.h"

namespace endivewharf {

void onResumeArrived(State &S, const ResumeArrived &E, Effects &Out);
void onCallerGone(State &S, const CallerGone &E, Effects &Out);

/// A completion's record, to go on elsewhere.
CallRecord recordOf(const Call &C);

/// Keeps a record for callers that come back.
void holdRecord(State &S, CallRecord Record);

/// Forgets records that nobody has asked for.
void expireHeld(State &S);

/// Goes on with a recorded completion for a caller.
void resumeFrom(State &S, Call &C, const CallRecord &Record, Effects &Out);

} // namespace endivewharf
