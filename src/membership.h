// Which other entry processes live, and the spreading of facts among them.
#pragma once

#include "state.h"

#include <string_view>

namespace endivewharf {

void onPeerReceived(State &S, const PeerReceived &E, Effects &Out);

/// Hash by which short rows name a life.
std::uint32_t instanceHash(const InstanceId &L);

/// Learns from the log where a process is reached.
void applyJoin(State &S, const JoinRecord &R, Effects &Out);

/// @return processes that there may be, with this one, heard or not
std::size_t estimatedClusterSize(const State &S);

/// In a large group words of a follower come by others: ms until it counts as
/// silent.
constexpr Millis LargeClusterStoreReaderTimeout = 4000;

/// Order in which processes become followers, the lowest first.
std::uint64_t storeReaderRank(std::string_view Name);

/// Few processes follow the platform's store closely and tell the others what
/// they see; in a small group all do. One that can't reach it tells nothing,
/// and the next in order takes its part.
/// @return true if this process is one of them
bool isStoreReader(const State &S);

/// Sends heartbeats and finds out who has fallen silent.
void tickMembership(State &S, Effects &Out);

/// Sends new facts to some peers, who pass on what is new to them.
/// @param Except peer that the facts came from; empty for none
void gossipFacts(State &S, const FactsMessage &Facts, std::string_view Except,
                 Effects &Out);

/// Sends evidence to the few processes that judge.
void sendToEvaluators(State &S, const FactsMessage &Facts, Effects &Out);

/// Living peers, those best suited to take over work first: other zones and
/// data centres before our own.
std::vector<std::string> takeoverCandidates(const State &S);

} // namespace endivewharf
