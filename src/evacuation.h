// Data centres that operators have evacuated: no upstream there gets work until
// the operators take the evacuation back. Each statement stands at a position
// of the operator log, and the later one holds, whichever way it arrives.
#pragma once

#include "messages.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

/// What operators last said about one data centre.
struct Evacuation {
  LogOffset Offset_ = NoOffset; ///< Position of the statement in the log.
  bool Active_ = false;         ///< False: it was taken back.
};

struct EvacuationState {
  std::map<std::string, Evacuation, std::less<>> DataCentres_; ///< By name.
};

/// @return true if no upstream of the data centre may get work
bool isEvacuated(const EvacuationState &State, std::string_view DataCentre);

/// Applies a statement unless a later one is known.
/// @return true if this changes whether the data centre is evacuated
bool applyEvacuation(EvacuationState &State, const EvacuationRow &Row);

/// Finds the evacuations that a read of the newest record of each key shows to
/// have been taken back: they are not among the records. A record of an earlier
/// era may be missing because the store was restored from a copy, so it holds.
/// @param Named data centres that the read names
/// @param End position after the last record of the read
/// @return statements that take the others back
std::vector<EvacuationRow> endedEvacuations(const EvacuationState &State,
                                            std::span<const std::string> Named,
                                            LogOffset End);

/// @return all statements, for other processes
std::vector<EvacuationRow> evacuationRows(const EvacuationState &State);

} // namespace endivewharf
