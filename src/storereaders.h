// State of the platform's store as the store readers have read it. It is passed
// on between processes, so that the others need not read the store.
#pragma once

#include "state.h"

#include <vector>

namespace endivewharf {

/// Records that the host list in use was complete at a time. Logs the end of a
/// long silence.
/// @param At that time, in ms on this process's clock
/// @param By process that has read or sent the list
void confirmHostList(State &S, Millis At, const std::string &By, Effects &Out);

/// Hash of the host list in use; equal lists have equal hashes.
std::uint64_t hostsHash(const State &S);

/// Writes the host list version in use and the rows of store readers, with this
/// process if it is one, to a message.
void writeStoreState(const State &S, SummaryMessage &To);

/// Merges a peer's state of the store; requests its host list if that is newer.
/// @param From sender of the message
void mergeStoreState(State &S, const InstanceId &From,
                     const SummaryMessage &Message, Effects &Out);

/// Records that the reads of one store reader, or of this process, did not fail
/// for a time. The store had an outage only if no reader could read.
/// @param From start of that time, in ms on this process's clock
/// @param To last read
/// @param Recovered the time began after a failed read
void recordStoreService(State &S, Millis From, Millis To, bool Recovered,
                        Effects &Out);

/// @return true if a store reader or this process has read the operator log
/// recently, so that this process need not read it
bool hasRecentOperatorRead(const State &S);

/// The host list in use, for a peer whose list is older.
HostsMessage hostsMessage(const State &S);

/// Adopts a peer's host list if it is newer.
/// @param From name of the peer
void onHostsMessage(State &S, const std::string &From,
                    const HostsMessage &Message, Effects &Out);

} // namespace endivewharf
