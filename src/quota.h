// Accounts' quotas over all processes together. What a process goes by shrinks
// while others are silent and never grows.
#pragma once

#include "state.h"

#include <optional>

namespace endivewharf {

/// Charges a routed call to its account's quota.
/// @param C call; what was charged is kept in it
/// @param A the account's configured limits
/// @return the refusal, or nothing if there is room or no limit
std::optional<CallError> chargeQuota(State &S, Call &C, const Account &A);

/// Gives back what was charged for a call that did not run.
void refundQuota(State &S, const Call &C);

/// Takes what a peer has admitted since its last message from the buckets.
/// @param Before the peer as it was before the message
/// @param Life the peer's incarnation; a new one counts from nothing
void mergePeerAdmissions(State &S, const PeerState &Before,
                         const SummaryMessage &Now, std::uint64_t Life);

/// Works out demand and how much of each rate may be gone by.
void tickQuotas(State &S);

} // namespace endivewharf
