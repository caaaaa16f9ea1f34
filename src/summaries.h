// Summaries that processes exchange several times a second: requests in flight
// at upstreams, work of services, and requests that began to run.
#pragma once

#include "state.h"

#include <span>

namespace endivewharf {

/// Merges what a summary says of the platform's store, the sender's clock,
/// rollouts and usage. If its scope counts in this process's role, the summary
/// also replaces the sender's last one. Summaries of unknown peers are ignored.
void onSummary(State &S, const InstanceId &From, const SummaryMessage &Message,
               Effects &Out);

/// Merges a peer's usage counts.
/// @param From instance that counted
void onPeerUsage(State &S, const InstanceId &From,
                 std::span<const UsageRow> Rows);

/// Chooses the role, sends the summaries, reports and usage counts that are due
/// and updates the load of other processes at each upstream.
void tickSummaries(State &S, Effects &Out);

} // namespace endivewharf
