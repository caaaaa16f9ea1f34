// Sums that processes tell each other several times a second: what they have
// under way at upstreams, what accounts ask of them, what began to run.
#pragma once

#include "state.h"

#include <span>

namespace endivewharf {

/// Takes a peer's sums in place of those it told before.
void onSummary(State &S, const InstanceId &From, const SummaryMessage &M,
               Effects &Out);

/// Takes what a peer has counted as usage.
void onPeerUsage(State &S, const InstanceId &From,
                 std::span<const UsageRow> Rows);

/// Sends this process's sums when they are due.
void tickSummaries(State &S, Effects &Out);

} // namespace endivewharf
