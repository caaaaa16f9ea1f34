// Membership: which peers are alive, and the gossip of facts among them.
#pragma once

#include "state.h"

#include <string_view>

namespace endivewharf {

/// Handles a message from a peer.
void onPeerReceived(State &S, const PeerReceived &E, Effects &Out);

/// Hash that stands for an instance in the short rows of messages.
std::uint32_t instanceHash(const InstanceId &Instance);

/// Applies a join record of the control log: the address and incarnation at
/// which a process is reached.
void applyJoin(State &S, const JoinRecord &R, Effects &Out);

/// @return estimated number of entry processes in the cluster, including this
/// one and processes that have not been heard from
std::size_t estimatedClusterSize(const State &S);

/// Age of a store reader's last read, in ms, after which it no longer counts as
/// one in a large cluster, where its rows arrive through other processes.
constexpr Millis LargeClusterStoreReaderTimeout = 4000;

/// Rank by which processes become store readers, the lowest first.
std::uint64_t storeReaderRank(std::string_view Name);

/// A few processes read the platform's store often and publish what they read
/// to their peers; in a small cluster all processes do. One that cannot reach
/// the store publishes nothing, and the next by rank takes its place.
/// @return true if this process is a store reader
bool isStoreReader(const State &S);

/// Sends digests with heartbeats and marks peers whose heartbeat has not
/// advanced within the timeout as not alive.
void tickMembership(State &S, Effects &Out);

/// Sends new facts to a few random peers, which pass on what is new to them.
/// @param Except name of the peer that the facts came from; empty for none
void gossipFacts(State &S, const FactsMessage &Facts, std::string_view Except,
                 Effects &Out);

/// Sends evidence to the few processes that evaluate it; in a small cluster to
/// all live peers.
void sendToEvaluators(State &S, const FactsMessage &Facts, Effects &Out);

/// Live peers that are not draining, the best suited to take over work first:
/// other zones of this data centre, then other data centres, then this zone.
std::vector<std::string> takeoverCandidates(const State &S);

} // namespace endivewharf
