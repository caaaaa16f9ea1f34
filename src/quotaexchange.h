// Moves units of quotas between processes. Members of a group send the units
// that they do not need to their aggregator, and aggregators send them to the
// account's home: the one among them that a hash of the account chooses. A
// process that lacks units asks the same way. Which process is the home is only
// a matter of efficiency: if processes disagree, units travel further.
#pragma once

#include "state.h"

#include <string>

namespace endivewharf {

/// Peer that this process sends an account's spare units and asks for units.
/// @return the peer's name; empty if this process is the account's home, or can
///         reach no other
std::string quotaPeer(const State &S, const std::string &Account);

/// Asks the account's quota peer for the units that a call awaits.
void requestCallUnits(State &S, Call &C);

/// Handles deposits, requests and grants of a peer.
void onQuotaMessage(State &S, const InstanceId &From,
                    const QuotaMessage &Message, Effects &Out);

/// Sends spare units away, asks for units that were used in advance, and
/// decides on calls whose requests were not answered in time.
void tickQuotaExchange(State &S, Effects &Out);

/// Sends the rows that have been collected for each peer.
void flushQuotaMessages(State &S, Effects &Out);

} // namespace endivewharf
