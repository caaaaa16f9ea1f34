// Claims of idempotency keys, by which a call that may not be repeated runs at
// most once. A process claims the key in the control log before it sends
// anything. The first claim in the log wins and is never taken over by another
// process. Only the claimer can release it, if it has sent nothing for it and
// never will.
#pragma once

#include "state.h"

namespace endivewharf {

/// Claims a call's key. If the key is claimed already, the call is answered
/// with the outcome of the first call or waits for it. The call is refused if
/// the key was used for a different request or the log is unavailable.
void beginClaim(State &S, Call &C, Effects &Out);

/// Applies a claim record of the log. If it is the first one of its key and
/// this process's own, the call is queued; a call whose claim lost joins the
/// winner's.
void applyClaim(State &S, const ClaimRecord &R, Effects &Out);

/// Applies the release of a claim: calls that wait for the key claim it again.
void applyClaimRelease(State &S, const ClaimReleaseRecord &R, Effects &Out);

/// Applies the outcome of a claimed call and answers the calls that wait for
/// it.
void applyClaimDone(State &S, const ClaimDoneRecord &R, Effects &Out);

/// Records the outcome of a call that this process has claimed, in its own
/// table and in the log. The log omits a reply body that is too large, so other
/// processes report that outcome as unknown.
/// @param Outcome outcome with the claim's ID; its key is replaced by the
///                table's
void recordClaimOutcome(State &S, const Call &C,
                        const ClaimDoneRecord &Outcome);

/// Releases a call's claim if nothing was sent for it.
void releaseUnsentClaim(State &S, const Call &C);

/// Whether a call with a key that this process has not sent may have run.
/// @return `NotRun` if this process holds the key, otherwise `Unknown`
RunState keyRunState(const State &S, const Call &C);

/// Refuses claims for the retention time of keys, after log records that may
/// have been claims were deleted before this process read them.
void markClaimsIncomplete(State &S);

/// Removes keys that are older than their retention time.
void tickClaims(State &S);

} // namespace endivewharf
