// Declares the functions for log lines and latency histograms. They, the
// decision history for `dump` and the random sequence (declared in state.h) are
// used by every module that makes decisions and depend on none of these.
#pragma once

#include "state.h"

#include <string>
#include <utility>
#include <vector>

namespace endivewharf {

/// Names and values of a log line's fields, in the order of output.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Adds a log line to the effects.
/// @param Event name of the event
void logEvent(Effects &Out, std::string Event, LogFields Fields);
/// Adds a log line with the level of a warning.
/// @param Event name of the event
void logWarning(Effects &Out, std::string Event, LogFields Fields);

/// Adds the time from a call's arrival until now to a latency histogram.
/// @param Interval name of the interval: `queue`, `first_event` or `request`
void recordLatency(State &S, const std::string &Interval, const Call &C);

} // namespace endivewharf
