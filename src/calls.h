// Acceptance of requests, refusals and time limits.
#pragma once

#include "state.h"

namespace endivewharf {

void onRequestArrived(State &S, const RequestArrived &E, Effects &Out);

/// Ends calls whose time is up.
void tickCalls(State &S, Effects &Out);

/// A call as it is when its request arrives.
Call makeCall(State &S, CallId Id, const CallRequest &Request);

/// @return the call, or null if it has ended
Call *findCall(State &S, CallId Id);

/// @return true if the call may not be run twice
bool isUnrepeatableCall(const State &S, const Call &C);

/// Ends a call with an error, at once.
void refuseCall(State &S, Call &C, CallError Error, Effects &Out);

/// Answers a service call and forgets it.
void answerServiceCall(State &S, Call &C, const ClaimDoneRecord &Outcome,
                       bool Replayed, Effects &Out);

/// Forgets a call that has been answered or moved.
void removeCall(State &S, CallId Id);

/// What may be said of a call that ends now without an answer.
RunState runStateOf(const State &S, const Call &C);

} // namespace endivewharf
