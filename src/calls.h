// Life cycle of callers' requests: acceptance, attempts, whole answers,
// refusals, resumption.
#pragma once

#include "state.h"

namespace endivewharf {

void onRequestArrived(State &S, const RequestArrived &E, Effects &Out);
void onResumeArrived(State &S, const ResumeArrived &E, Effects &Out);
void onCallerGone(State &S, const CallerGone &E, Effects &Out);
void onAttemptToken(State &S, const AttemptToken &E, Effects &Out);
void onAttemptEnded(State &S, const AttemptEnded &E, Effects &Out);
void onAttemptFailed(State &S, const AttemptFailed &E, Effects &Out);
void onServiceReply(State &S, const ServiceReply &E, Effects &Out);

/// Gives waiting calls to upstreams that have room.
void dispatchWaiting(State &S, Effects &Out);

/// Ends calls whose time is up.
void tickCalls(State &S, Effects &Out);

/// Ends a call with an error, at once.
void refuse(State &S, Call &C, CallError Error, Effects &Out);

/// Answers a service call and forgets it.
void answerService(State &S, Call &C, const ClaimDoneRecord &Outcome,
                   bool Replayed, Effects &Out);

/// Puts a claimed call into the queue for an upstream.
void releaseToQueue(State &S, Call &C, Effects &Out);

/// Stops a call's attempt, if it has one.
void cancelAttempt(State &S, Call &C, Effects &Out);

/// Forgets a call that has been answered or moved.
void forgetCall(State &S, CallId Id);

/// A completion's record, to go on elsewhere.
CallRecord recordOf(const Call &C);

/// Goes on with a recorded completion for a caller.
void resumeFrom(State &S, Call &C, const CallRecord &Record, Effects &Out);

/// Keeps a record for callers that come back.
void holdRecord(State &S, CallRecord Record);

/// What may be said of a call that ends now without an answer.
RunState runStateOf(const State &S, const Call &C);

} // namespace endivewharf
