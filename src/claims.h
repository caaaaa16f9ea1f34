// At most once for calls that may not be repeated: the intent to run a key is
// claimed in the log before anything is sent. The first claim wins; nobody
// takes over another's claim; only the claimer can release it, if it has sent
// nothing and never will.
#pragma once

#include "state.h"

namespace endivewharf {

/// Claims the call's key, or answers from what the key's first call got.
void beginClaim(State &S, Call &C, Effects &Out);

/// Applies claim records in the order of the log.
void applyClaim(State &S, const ClaimRecord &R, Effects &Out);
void applyClaimRelease(State &S, const ClaimReleaseRecord &R, Effects &Out);
void applyClaimDone(State &S, const ClaimDoneRecord &R, Effects &Out);

/// Records the outcome of a claimed call, here and in the log.
void recordClaimOutcome(State &S, const Call &C,
                        const ClaimDoneRecord &Outcome);

/// Releases a call's claim if nothing was sent for it.
void releaseUnsentClaim(State &S, const Call &C);

/// What may be said of a keyed call that this process has not sent.
RunState keyRunState(const State &S, const Call &C);

/// Records were lost to retention: no key may be claimed for a whole window.
void markClaimsIncomplete(State &S);

/// Forgets keys older than the window.
void tickClaims(State &S);

} // namespace endivewharf
