// Runs one entry process: feeds events to the reducer, carries out its effects.
#pragma once

#include "settings.h"

#include <string>

namespace endivewharf {

/// Serves until a stop has been asked for and everything is answered.
/// @param From checked settings
/// @param Path file that they came from, which may change
/// @return the process's exit code
int runEntryProcess(const Settings &From, const std::string &Path);

} // namespace endivewharf
