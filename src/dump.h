// The whole state of a process as JSON, for operators and commands.
#pragma once

#include "state.h"

#include <string>

namespace endivewharf {

/// @return JSON text; secret keys are left out
std::string dumpState(const State &S);

} // namespace endivewharf
