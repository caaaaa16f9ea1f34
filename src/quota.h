// Accounts' quotas, shared by all processes in proportion to what is asked of
// each. A share never grows while others are silent.
#pragma once

#include "state.h"

#include <optional>

namespace endivewharf {

/// Charges a routed call to its account's quota.
/// @param C call; what was charged is kept in it
/// @param A the account's configured limits
/// @return the refusal, or nothing if there is room or no limit
std::optional<CallError> takeQuota(State &S, Call &C, const Account &A);

/// Gives back what was charged for a call that did not run.
void returnQuota(State &S, const Call &C);

/// Works out this process's shares from the demand told by all.
void tickQuotas(State &S);

} // namespace endivewharf
