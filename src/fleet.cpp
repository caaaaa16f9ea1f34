// Plans and orders hosts of services.
#include "fleet.h"

namespace endivewharf {

void tickFleet(State &, Effects &) {}

void onHostsOrdered(State &, const HostsOrdered &, Effects &) {}

} // namespace endivewharf
