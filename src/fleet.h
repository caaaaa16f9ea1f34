// Number of hosts of each service in each zone: planned from the requested work
// and requested from the platform by the lease holder.
#pragma once

#include "state.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace endivewharf {

/// Hosts of one service in one zone as the planner sees them.
struct ZoneHosts {
  std::string Zone_;
  double OnDemandPrice_ = 1;  ///< Price of an on-demand host.
  int OnDemand_ = 0;          ///< Listed on-demand hosts that are not leaving.
  int Spot_ = 0;              ///< Listed spot hosts that are not leaving.
  int SpotStarting_ = 0;      ///< Requested spot hosts that are not listed yet.
  bool SpotAvailable_ = true; ///< The platform has spot hosts in this zone.
};

/// Wanted numbers of hosts in one zone.
struct ZonePlan {
  std::string Zone_;
  int OnDemand_ = 0;
  int Spot_ = 0;
};

/// Plans a service's hosts. Spot hosts carry the load where they are available,
/// spread over the zones so that the loss of one zone leaves enough capacity.
/// On-demand hosts are the minimum for work that cannot wait, and they replace
/// missing spot hosts.
/// @param Zones hosts by zone
/// @param Limits the service's limits, which apply to each zone
/// @param Needed hosts that the load needs
/// @return wanted numbers of hosts, in the order of `Zones`
std::vector<ZonePlan> planHosts(std::span<const ZoneHosts> Zones,
                                const ScalingLimits &Limits, double Needed);

/// Work requested of a service at all processes, in ms of hosts' time per
/// second. The saved work is a lower bound as long as it may be used.
double requestedWork(const State &S, const std::string &Service);

/// Counts the work of a received request, whatever its outcome.
void countWork(State &S, const Call &C);

/// Updates the averages of the requested work. In the lease holder, also saves
/// the work to the log, plans the hosts and sends scale requests.
void tickFleet(State &S, Effects &Out);

/// Adopts the work that a lease holder has saved to the log.
void applyWorkRecord(State &S, const WorkRecord &R);

/// Handles the platform's answer to a scale request.
void onScaleAnswered(State &S, const ScaleAnswered &E, Effects &Out);

} // namespace endivewharf
