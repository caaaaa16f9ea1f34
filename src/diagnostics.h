// What every module writes down: log lines, decisions for `dump`, randomness.
// Lies below the modules that decide.
#pragma once

#include "state.h"

#include <string>
#include <utility>
#include <vector>

namespace endivewharf {

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Adds a log line.
void logEvent(Effects &Out, std::string Event, LogFields Fields);
void logWarning(Effects &Out, std::string Event, LogFields Fields);

/// Counts the time from a call's arrival until now.
/// @param What was waited for: `queue`, `first_event` or `request`
void recordLatency(State &S, const std::string &What, const Call &C);

} // namespace endivewharf
