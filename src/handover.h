// Moves running completions to peers before this process ends, and finds them
// again for callers who come back through any process.
#pragma once

#include "state.h"

#include <string_view>

namespace endivewharf {

void onHandover(State &S, const std::string &From, const HandoverMessage &M,
                Effects &Out);
void onHandoverAck(State &S, const HandoverAckMessage &M, Effects &Out);
void onFindCall(State &S, const std::string &From, const FindCallMessage &M,
                Effects &Out);
void onFoundCall(State &S, const FoundCallMessage &M, Effects &Out);

/// Begins a graceful stop; a shorter time limit replaces a longer one.
/// @param TimeLeft 0: the drain limit of the settings
void beginStop(State &S, Millis TimeLeft, std::string_view Reason,
               Effects &Out);

/// Asks the peers for a call that this process does not know.
void locateCallAtPeers(State &S, Call &C, Effects &Out);

/// Drains, hands over what can't finish, and ends the process.
void tickStop(State &S, Effects &Out);

/// Sends copies of all running completions, in case the rest of the time
/// limit is not ours to use.
void copyCallsToPeers(State &S, Effects &Out);

} // namespace endivewharf
