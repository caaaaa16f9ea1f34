// Passes requests to a peer when this process is cut off from all upstreams of
// a service that the peer reaches.
#pragma once

#include "state.h"

#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

/// Records that an upstream has answered an attempt, with whatever status.
void recordContact(State &S, const Attempt &A);

/// Records that an attempt got no answer, if its failure says so.
void recordNoContact(State &S, const Attempt &A, AttemptFailure Failure,
                     Effects &Out);

/// @return services of which an upstream has answered this process lately
std::vector<std::string> reachedServices(const State &S);

/// Records which services a peer reaches.
void recordReachedServices(State &S, PeerState &Peer,
                           const std::vector<std::string> &Services);

/// @return true if attempts at a service go unanswered, wherever they are sent
bool isCutOff(const State &S, const std::string &Service);

/// @return true if a call would be passed to a peer now
bool canRelay(State &S, const Call &C);

/// Chooses the peer for a call that this process cannot place itself: it is cut
/// off from the service, or gets no new connection to any of its upstreams.
/// From time to time a call that may be repeated is placed here all the same,
/// to notice the end of the cut.
/// @return index into `Upstreams_` of the entry that stands for the peer; -1:
/// the
///   call is placed here
int pickRelay(State &S, Call &C);

/// @return true if a call whose relay was refused may be passed to another peer
bool mayRelayAgain(const Call &C);

} // namespace endivewharf
