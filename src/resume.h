// Keeps records of completions, resumes them for callers who reconnect, and
// handles callers who disconnect.
#pragma once

#include "state.h"

namespace endivewharf {

/// Resumes a completion that the caller began earlier: from the running call or
/// a retained record here, else from a peer's record.
void onResumeArrived(State &S, const ResumeArrived &E, Effects &Out);
/// Ends the call of a caller whose connection is closed. The record of a
/// completion is retained; a running service call that may not be repeated
/// continues.
void onCallerDisconnected(State &S, const CallerDisconnected &E, Effects &Out);

/// @return a record from which the completion can be resumed by any process
CallRecord makeCallRecord(const Call &C);

/// Keeps a record for callers who reconnect. Of two records of the same call
/// the newer one is kept.
void retainRecord(State &S, CallRecord Record);

/// Removes records that are older than the retention period or exceed the
/// maximum number, the oldest first.
void expireRetainedRecords(State &S);

/// Resumes a recorded completion for a caller: sends the tokens that the caller
/// lacks and, if the completion is not finished, queues it for an upstream.
/// Refuses the call if the record belongs to another account key.
void resumeFromRecord(State &S, Call &C, const CallRecord &Record,
                      Effects &Out);

} // namespace endivewharf
