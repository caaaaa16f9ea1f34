// Enforces the quotas of accounts over all entry processes together. Missing
// summaries of other processes reduce the fraction of a quota that this process
// uses and never increase it.
#pragma once

#include "state.h"

#include <optional>

namespace endivewharf {

/// Charges a routed call to its account's quota.
/// @param C call; receives the number of units that were charged
/// @param A the account's configured limits
/// @return the refusal, or nothing if the quota allows the call or the account
///         has no quota
std::optional<CallError> chargeQuota(State &S, Call &C, const Account &A);

/// Refunds the units that were charged for a call that did not run.
void refundQuota(State &S, const Call &C);

/// Deducts from the buckets the units that a peer has admitted since its last
/// summary.
/// @param Before the peer's state before the summary was received
/// @param Summary the summary that was received
/// @param Incarnation the sender's incarnation number; the counts of a new
///                    incarnation start at zero
void mergePeerAdmissions(State &S, const PeerState &Before,
                         const SummaryMessage &Summary,
                         std::uint64_t Incarnation);

/// Updates the average demand of each account and the fraction of its quota
/// that this process may use. Logs the state of accounts that were refused
/// units.
void tickQuotas(State &S, Effects &Out);

} // namespace endivewharf
