// State of strain.h.
#pragma once

#include "config.h"

#include <map>
#include <string>

namespace endivewharf {

/// When services were last seen in trouble as a whole.
struct StrainState {
  std::map<std::string, Millis> SeenAt_; ///< By service; none: never.
};

} // namespace endivewharf
