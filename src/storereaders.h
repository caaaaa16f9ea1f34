// What the few processes that follow the platform's store have read there, as
// it is told on from process to process, so that the others need not ask.
#pragma once

#include "state.h"

#include <vector>

namespace endivewharf {

/// Hash of the host list in use; equal for equal lists.
std::uint64_t hostsHash(const State &S);

/// Writes what this process knows of the store, and of followers, to a message.
void writeStoreState(const State &S, SummaryMessage &To);

/// Takes what a peer knows of the store; asks it for what is newer there.
void mergeStoreState(State &S, const InstanceId &From, const SummaryMessage &M,
                     Effects &Out);

/// @return true if a follower's reading of operators' words is recent here
bool hasRecentOperatorRead(const State &S);

/// The host list in use, for a peer whose list is older.
HostsMessage hostsMessage(const State &S);

/// Takes a peer's host list if it is newer.
void onHostsMessage(State &S, const HostsMessage &M, Effects &Out);

} // namespace endivewharf
