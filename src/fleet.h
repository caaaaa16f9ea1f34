// How many hosts each service has in each zone: planned from the work that is
// asked for, ordered by the holder of the lease.
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
  double OnDemandPrice_ = 1; ///< Of a host on demand.
  int OnDemand_ = 0;         ///< Serving, not leaving.
  int Spot_ = 0;             ///< Serving, not leaving.
  int SpotStarting_ = 0;     ///< Ordered and not yet there.
  bool SpotAvailable_ = true;
};

/// Wanted numbers for one zone.
struct ZonePlan {
  std::string Zone_;
  int OnDemand_ = 0;
  int Spot_ = 0;
};

/// Plans a service's hosts. Spot hosts carry the load where they can be had,
/// spread so that one zone's loss leaves enough; hosts on demand are the floor
/// for what can't wait, and stand in for spot hosts that are missing.
/// @param Zones hosts by zone
/// @param Limits of the service, for each zone
/// @param Needed hosts that the load needs
/// @return wanted numbers, in the order of `Zones`
std::vector<ZonePlan> planHosts(std::span<const ZoneHosts> Zones,
                                const ScalingLimits &Limits, double Needed);

/// Counts the work of a request that has come, whatever becomes of it.
void countWork(State &S, const Call &C);

/// Works out averages and, with the lease, orders what the plan wants.
void tickFleet(State &S, Effects &Out);

/// Takes the work that a holder of the lease has saved.
void applyWorkRecord(State &S, const WorkRecord &R);

void onScaleAnswered(State &S, const ScaleAnswered &E, Effects &Out);

} // namespace endivewharf
