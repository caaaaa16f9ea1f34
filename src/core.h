// The reducer, through which every change of a process's state is made.
#pragma once

#include "state.h"

namespace endivewharf {

/// Applies one event to the state of the process.
/// @param S state to change
/// @param E event with its time and randomness
/// @return effects that the edges have to carry out, in order
Effects reduce(State &S, const Event &E);

/// Makes the state of a process that starts.
/// @param From settings of the process
/// @param Incarnation incarnation number of this run of the process
State makeState(const Settings &From, std::uint64_t Incarnation);

} // namespace endivewharf
