// A store that was restored from a copy: what was written to it since the copy
// is gone. It then begins a new era, in which offsets are given out again.
#pragma once

#include "state.h"

#include <span>

namespace endivewharf {

/// Records the era of a position that was read or told by a peer.
void recordEra(State &S, LogOffset Position, Effects &Out);

/// @return true for a time after a new era began, in which operators and hosts
///   write again what the copy lacks
bool isEraNew(const State &S);

/// Gives up what depended on records of the control log that may be gone: the
/// lease, and what is believed to be written.
void beginLogEra(State &S, Effects &Out);

/// Queues again the records of the control log that this process knows and that
/// the copy lacks. Store readers do so; the others have read too few records.
/// @param Copied all newest records of the new era
void writeMissingRecords(State &S, std::span<const LogEntry> Copied);

} // namespace endivewharf
