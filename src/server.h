// Runs one entry process: passes events to the reducer and carries out its
// effects.
#pragma once

#include "settings.h"

#include <string>

namespace endivewharf {

/// Serves until a stop has been requested and has completed, or until an
/// address can't be listened on.
/// @param InitialSettings checked settings
/// @param Path file that the settings were read from; it is read again when it
///        changes
/// @return exit code of the process: 0 after a stop, 1 if listening failed
int runEntryProcess(const Settings &InitialSettings, const std::string &Path);

} // namespace endivewharf
