// Decides which process aggregates for which. In a large cluster each process
// reports to an aggregator in its own data centre; aggregators send each other
// the summaries of their groups and send their group the summary of all
// processes. In a small cluster every process is an aggregator without a group.
#pragma once

#include "state.h"

#include <span>
#include <string>
#include <vector>

namespace endivewharf {

/// @return true if there are too many processes for each to send its summary to
/// all others
bool isLargeCluster(const State &S);

/// @return true if this process sends summaries and does not report to another
inline bool isAggregator(const State &S) {
  return S.Membership_.Aggregator_.empty();
}

/// Chooses the aggregator again. One whose summaries have stopped is not
/// eligible for a while; a process that others report to is an aggregator.
void updateAggregator(State &S, Effects &Out);

/// Makes this process an aggregator, because a peer has reported to it.
void becomeAggregator(State &S, Effects &Out);

/// Names of the peers that report to this process.
std::vector<std::string> groupReporters(const State &S);

/// Names of the peers that this process sends its group's summary: in a large
/// cluster the other aggregators, in a small one all live peers.
std::vector<std::string> otherAggregators(const State &S);

/// Names of the aggregators whose summaries arrive here directly. They are
/// published to the other aggregators, so that two aggregators that rank the
/// processes differently learn of each other.
std::vector<std::string> recentAggregators(const State &S);

/// Merges the aggregators that a peer has published; removes old entries.
void mergeAggregators(State &S, std::span<const std::string> Names);

/// Peers whose summaries together cover all other processes, each of them once.
std::vector<const PeerState *> summarySources(const State &S);

/// @return true if a peer's last summary is recent enough to count
bool hasRecentSummary(const State &S, const PeerState &Peer);

} // namespace endivewharf
