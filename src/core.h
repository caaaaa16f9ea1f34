// The reducer: the only way in which a process's state changes.
#pragma once

#include "state.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivewharf {

/// Applies one event.
/// @param S state to change
/// @param E event with its time and randomness
/// @return what the edges have to do, in order
Effects reduce(State &S, const Event &E);

/// A process's first state.
/// @param From its settings
/// @param Incarnation number of this life
State makeState(const Settings &From, std::uint64_t Incarnation);

/// Begins a graceful stop; a shorter time limit replaces a longer one.
/// @param TimeLeft 0: the drain limit of the settings
void beginStop(State &S, Millis TimeLeft, std::string_view Reason,
               Effects &Out);

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Adds a log line.
void logEvent(Effects &Out, std::string Event, LogFields Fields);
void logWarning(Effects &Out, std::string Event, LogFields Fields);

} // namespace endivewharf
