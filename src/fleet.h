// How many hosts each service has in each zone: ordered by the holder of the
// lease.
#pragma once

#include "state.h"

namespace endivewharf {

/// Orders hosts when the plan differs from what was ordered last.
void tickFleet(State &S, Effects &Out);

void onHostsOrdered(State &S, const HostsOrdered &E, Effects &Out);

} // namespace endivewharf
