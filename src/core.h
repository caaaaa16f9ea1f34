// The reducer: the only way in which a process's state changes.
#pragma once

#include "state.h"

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

} // namespace endivewharf
