// Who sums up for whom. In a large group each process reports to a collector in
// its own data centre; collectors tell each other the sums of their groups and
// their members the sums of all. In a small group every process is a collector
// without members.
#pragma once

#include "state.h"

#include <span>
#include <string>
#include <vector>

namespace endivewharf {

/// @return true if there are too many processes for each to tell all others
bool isLargeCluster(const State &S);

/// @return true if this process tells others sums of its own
inline bool isAggregator(const State &S) {
  return S.Membership_.Aggregator_.empty();
}

/// Chooses the collector again: one that has been silent is passed over for a
/// while, a process that others report to becomes one itself.
void updateAggregator(State &S, Effects &Out);

/// Takes part as a collector from now on, as a peer has reported here.
void becomeAggregator(State &S, Effects &Out);

/// Peers that report to this process.
std::vector<std::string> groupMembers(const State &S);

/// Peers that this process tells the sums of its group.
std::vector<std::string> otherAggregators(const State &S);

/// Collectors heard from directly, to be told to the others: two that rank the
/// processes differently find each other by it.
std::vector<std::string> recentAggregators(const State &S);
void mergeAggregators(State &S, std::span<const std::string> Names);

/// Peers whose sums together stand for all others: each process is in the sums
/// of one of them.
std::vector<const PeerState *> summarySources(const State &S);

/// @return true if a peer's sums are recent enough to count
bool hasRecentSummary(const State &S, const PeerState &M);

} // namespace endivewharf
