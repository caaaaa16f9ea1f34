// Enforces the quotas of accounts over all entry processes together. Each
// process has an equal part of every account's rate. Units that are not needed
// where they arise move to the process that needs them (quotaexchange.h); they
// are deducted before they are sent, so all processes together never admit more
// than the quota and a bounded advance, whatever they hear of each other.
#pragma once

#include "state.h"

#include <optional>

namespace endivewharf {

/// Charges a routed call to its account's quota. If the units here do not
/// suffice and a peer may have more, the call's phase becomes
/// CallPhase::AwaitingQuota, and it is not charged yet.
/// @param C call; receives the units that its quota counts and those charged
/// @param A the account's configured limits
/// @return the refusal, or nothing if the quota allows the call, it awaits its
///         units, or the account has no quota
std::optional<CallError> chargeQuota(State &S, Call &C, const Account &A);

/// Charges a call that has waited for units.
/// @param Granted units that a peer has granted for it; they are among those
///        available here
/// @return false if the units do not suffice
bool chargeWaitingCall(State &S, Call &C, const Account &A, double Granted);

/// Refunds the units that were charged for a call that did not run.
void refundQuota(State &S, const Call &C);

/// Refusal of a call that exceeds its account's quota.
/// @param RetryAfter time in ms after which the units may be there; 0: computed
///        from the account's rate
CallError quotaError(State &S, const Call &C, const Account &A,
                     Millis RetryAfter);

/// Refills an account's units up to now, by this process's part of its rate.
/// @return the account's state, created if it is new
QuotaState &refilledQuota(State &S, const Account &A);

/// Adds units that arrive from elsewhere or are returned, up to the account's
/// capacity here.
void addQuotaUnits(State &S, QuotaState &Q, const Account &A, double Units);

/// Answers a request for units if no further peer is to be asked: grants them
/// out of the units here, or refuses.
/// @param Divisible true if a part of the units is of use
/// @return units granted; they have been deducted
double takeQuotaUnits(State &S, QuotaState &Q, const Account &A, double Units,
                      bool Divisible);

/// @return the account's limits in force, or null if it has no quota
const Account *limitedAccount(const State &S, const std::string &Name);

/// Refills all accounts and updates their averages. Logs the state of accounts
/// that were refused units.
void tickQuotas(State &S, Effects &Out);

} // namespace endivewharf
