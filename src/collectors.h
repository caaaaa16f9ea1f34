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
bool isLargeGroup(const State &S);

/// @return true if this process tells others sums of its own
inline bool isCollector(const State &S) {
  return S.Membership_.Collector_.empty();
}

/// Chooses the collector again: one that has been silent is passed over for a
/// while, a process that others report to becomes one itself.
void updateCollector(State &S, Effects &Out);

/// Takes part as a collector from now on, as a peer has reported here.
void becomeCollector(State &S, Effects &Out);

/// Peers that report to this process.
std::vector<std::string> groupMembers(const State &S);

/// Peers that this process tells the sums of its group.
std::vector<std::string> otherCollectors(const State &S);

/// Collectors heard from directly, to be told to the others: two that rank the
/// processes differently find each other by it.
std::vector<std::string> heardCollectors(const State &S);
void noteCollectors(State &S, std::span<const std::string> Names);

/// Peers whose sums together stand for all others: each process is in the sums
/// of one of them.
std::vector<const Member *> sumsSources(const State &S);

/// @return true if a peer's sums are recent enough to count
bool isHeard(const State &S, const Member &M);

} // namespace endivewharf
