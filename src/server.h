// Runs one entry process: feeds events to the reducer, carries out its effects.
#pragma once

#include "settings.h"

namespace endivewharf {

/// Serves until a stop has been asked for and everything is answered.
/// @param From checked settings
/// @return the process's exit code
int serve(const Settings &From);

} // namespace endivewharf
