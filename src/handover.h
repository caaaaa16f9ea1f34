// Stops the process gracefully: hands running completions over to peers, and
// locates their records for callers who reconnect through any process.
#pragma once

#include "state.h"

#include <string_view>

namespace endivewharf {

/// Retains a completion's record that a peer hands over, and acknowledges it.
/// @param From name of the peer
void onHandover(State &S, const std::string &From,
                const HandoverMessage &Message, Effects &Out);
/// Redirects the caller of a call whose record a peer has acknowledged, and
/// removes the call.
void onHandoverAck(State &S, const HandoverAckMessage &Message, Effects &Out);
/// Sends a peer the record of a call, if this process has it. A completion that
/// still runs here is stopped first, as its caller has reconnected elsewhere.
/// @param From name of the peer
void onFindCall(State &S, const std::string &From,
                const FindCallMessage &Message, Effects &Out);
/// Resumes a call from a peer's record, or refuses it once all peers have
/// answered that they have none.
void onFoundCall(State &S, const FoundCallMessage &Message, Effects &Out);

/// Begins a graceful stop and sends copies of all completions to peers. During
/// a stop a further call only shortens the time limit.
/// @param TimeLeft ms until the end of the process; 0: the drain timeout of the
///   settings less its margin
/// @param Reason value of the log field `reason`
void beginStop(State &S, Millis TimeLeft, std::string_view Reason,
               Effects &Out);

/// Asks all living peers for the record of a call that this process does not
/// have, and limits the call's deadline to the time for their answers. Refuses
/// the call if there is no such peer.
void locateCallAtPeers(State &S, Call &C, Effects &Out);

/// Advances a graceful stop: closes the listener, hands over the completions
/// that cannot finish in time, refuses the calls that are left at the deadline,
/// and ends the process.
void tickStop(State &S, Effects &Out);

/// Sends peers copies of the records of all running completions, in case the
/// process is killed before its time limit.
void copyCallsToPeers(State &S, Effects &Out);

} // namespace endivewharf
