// Records of completions, and callers who come back for them or go away.
#pragma once

#include "state.h"

namespace endivewharf {

void onResumeArrived(State &S, const ResumeArrived &E, Effects &Out);
void onCallerDisconnected(State &S, const CallerDisconnected &E, Effects &Out);

/// A completion's record, to go on elsewhere.
CallRecord makeCallRecord(const Call &C);

/// Keeps a record for callers that come back.
void retainRecord(State &S, CallRecord Record);

/// Forgets records that nobody has asked for.
void expireRetainedRecords(State &S);

/// Goes on with a recorded completion for a caller.
void resumeFromRecord(State &S, Call &C, const CallRecord &Record,
                      Effects &Out);

} // namespace endivewharf
