// Accepts or refuses callers' requests, enforces their time limits and removes
// finished calls.
#pragma once

#include "state.h"

namespace endivewharf {

/// Accepts a request as a call or sends its caller an error. An accepted call
/// is queued for an upstream; a call that may not be repeated and has an
/// idempotency key is claimed first.
void onRequestArrived(State &S, const RequestArrived &E, Effects &Out);

/// Removes expired retained records, refuses calls whose deadline has passed or
/// whose target was removed from the configuration, and dispatches queued
/// calls.
void tickCalls(State &S, Effects &Out);

/// Creates a call for a request that arrives now. The call is not added to the
/// state.
/// @param Id number of the call
/// @param Request the request; without a request ID it gets a new one, without
///   a time limit the default of the settings
Call makeCall(State &S, CallId Id, const CallRequest &Request);

/// @return the call, or null if it has been removed
Call *findCall(State &S, CallId Id);

/// @return true if the call may run at most once
bool isUnrepeatableCall(const State &S, const Call &C);

/// Ends a call with an error: cancels its attempt, releases its claim if
/// nothing was sent for it, and refunds its quota if it did not run. A routed
/// stream that has started cannot carry an error; its connection is aborted
/// instead.
void refuseCall(State &S, Call &C, CallError Error, Effects &Out);

/// Answers a service call and removes it.
/// @param Outcome the answer to send
/// @param Replayed true if the outcome is that of an earlier call with the same
///   idempotency key
void answerServiceCall(State &S, Call &C, const ClaimDoneRecord &Outcome,
                       bool Replayed, Effects &Out);

/// Removes a call that has been answered, refused or handed over from the state
/// and records its latency. Does nothing if the call is unknown.
void removeCall(State &S, CallId Id);

/// @return what is known about the execution of a call that ends now without an
///   answer
RunState runStateOf(const State &S, const Call &C);

} // namespace endivewharf
