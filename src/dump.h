// Writes the state of a process as JSON, for operators and for the command
// line.
#pragma once

#include "state.h"

#include <string>

namespace endivewharf {

/// @return indented JSON text without secret keys
std::string dumpState(const State &S);

} // namespace endivewharf
