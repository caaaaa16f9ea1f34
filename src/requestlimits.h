// Keeps the limits that upstreams name: how many requests a second they take
// from all processes together. A few processes, chosen by a hash of the
// upstream and the process, send to a limited upstream at equal parts of its
// limit; the others send next to nothing.
#pragma once

#include "state.h"

#include <optional>
#include <span>
#include <vector>

namespace endivewharf {

/// Records what an answer says of its upstream's limit. An answer without one
/// ends the limit, if its request was sent after the limit was last named.
void recordNamedLimit(State &S, const Attempt &A, std::optional<double> Limit,
                      Effects &Out);

/// Merges a statement on a limit that another process has learnt.
void mergeLimits(State &S, std::span<const LimitRow> Rows, Effects &Out);

/// @return rows of all limits in force and of those that ended lately
std::vector<LimitRow> limitRows(const State &S);

/// @return true if this process may send a request to the upstream now. Batch
///   requests leave the last part of it to interactive ones.
bool mayRequest(const State &S, const Upstream &U, bool IsBatch);

/// @return true if this process has left its part of the upstream's limit
///   unused, so that the upstream should get the next request: it serves what
///   it names, and only its answers tell that the limit has ended
bool isRequestDue(const State &S, const Upstream &U);

/// Charges a request to the upstream's limit, if it has one.
void chargeRequest(State &S, Upstream &U);

/// Updates this process's part of each limit.
void tickRequestLimits(State &S);

} // namespace endivewharf
