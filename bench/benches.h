// One function for each bench; the argument is the number of seeds.
#pragma once

#include "report.h"
#include "world.h"

namespace endivewharf::bench {

void benchRouting(int Seeds);
void benchOverload(int Seeds);
void benchRelease(int Seeds);
void benchReclaim(int Seeds);
void benchMembership(int Seeds);
void benchCapacity(int Seeds);
void benchChaos(int Seeds);

/// Plays chaos for some seeds only.
void benchChaosSeeds(int First, int Last);

/// Prints whether a figure meets its target.
/// @param Key name of the figure
/// @param Value measured
/// @param Target bound from the brief or the letter
/// @param AtMost true if the target is an upper bound
void printTargetResult(const std::string &Key, double Value, double Target,
                       bool AtMost);

/// @return true if a bench found something that must never happen
bool hasFailed();
void recordFailure(const std::string &Why);

} // namespace endivewharf::bench
