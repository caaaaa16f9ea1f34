// Keeps what upstreams take from all processes together: the limits that they
// name, and the bound of those that are cold. A few processes, chosen by a hash
// of the upstream and the process, send to a limited upstream at equal parts of
// its limit; the others send next to nothing. A cold upstream's bound is
// divided among all processes (coldhosts.h).
#pragma once

#include "state.h"

#include <optional>
#include <span>
#include <string_view>
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

/// Records that an upstream is listed for the first time.
/// @param Index index of the upstream in `Upstreams_`
void recordListedHost(State &S, int Index, Effects &Out);

/// Applies the time for which a listed upstream's entry now says that it stays
/// cold.
/// @param Index index of the upstream in `Upstreams_`
void recordWarmupStatement(State &S, int Index, Effects &Out);

/// Records that operators have taken a data centre back into use: its upstreams
/// may have started meanwhile, and what their entries say may be older.
void recordReturn(State &S, std::string_view DataCentre, Effects &Out);

/// Records a failed connection to an upstream, which may have started again.
/// @param Index index of the upstream in `Upstreams_`
void recordHostUnreached(State &S, int Index);

/// Records that an attempt's upstream has answered.
void recordHostAnswer(State &S, const Attempt &A);

/// Merges what another process knows of upstreams that have become cold.
void mergeColdHosts(State &S, std::span<const ColdRow> Rows, Effects &Out);

/// @return rows of the upstreams that have become cold after they were listed
std::vector<ColdRow> coldRows(const State &S);

/// @return true if the upstream's named limit, if it has one, leaves this
///   process a request to send now. Batch requests leave the last part of it to
///   interactive ones.
bool isWithinNamedLimit(const State &S, const Upstream &U, bool IsBatch);

/// @param Index index of the upstream in `Upstreams_`
/// @return true if this process may send a request to the upstream now, by its
///   named limit and, while it is cold, its bound
bool mayRequest(const State &S, const Upstream &U, int Index, bool IsBatch);

/// @return true if this process has left its part of the upstream's limit
///   unused, so that the upstream should get the next request: it serves what
///   it names, and only its answers tell that the limit has ended
bool isRequestDue(const State &S, const Upstream &U);

/// Charges a request to the upstream's limit and bound, if it has them.
/// @param Index index of the upstream in `Upstreams_`
void chargeRequest(State &S, int Index);

/// Updates this process's part of each limit, and logs which upstreams are no
/// longer cold.
void tickRequestLimits(State &S, Effects &Out);

} // namespace endivewharf
