// Entry points of the benches, and the checks of their figures against
// targets.
#pragma once

#include "report.h"
#include "world.h"

namespace endivewharf::bench {

// Each bench runs with the seeds 1 to Seeds and prints its figures as key=value
// lines.

/// Compares the routing policies by tokens recomputed, latency and cost.
void benchRouting(int Seeds);
/// Offers 0.5 to 4 times the engines' capacity; measures goodput, refusals,
/// retries and fairness between accounts.
void benchOverload(int Seeds);
/// Rolls out good and bad versions; compares the verdict policies.
void benchRelease(int Seeds);
/// Reclaims many engines at once; compares resuming streams with restarting
/// them.
void benchReclaim(int Seeds);
/// Measures propagation times and control cost at 4, 40 and 400 processes.
void benchMembership(int Seeds);
/// Measures the slopes of the capacity page, writes docs/capacity.json and
/// prints the page's table; the number of seeds is ignored.
void benchCapacity(int Seeds);
/// Injects random faults, two at a time, and counts violated guarantees.
void benchChaos(int Seeds);

/// Runs the chaos bench for the seeds First to Last, both included.
void benchChaosSeeds(int First, int Last);

/// Prints whether a figure meets its target. A missed target does not change
/// the exit code.
/// @param Key name of the figure
/// @param Value measured value
/// @param Target bound required by the users
/// @param AtMost true if the target is an upper bound, false if a lower bound
void printTargetResult(const std::string &Key, double Value, double Target,
                       bool AtMost);

/// @return true if recordFailure() was called; the process then exits with 1
bool hasFailed();

/// Records and prints that a bench found a violated guarantee.
void recordFailure(const std::string &BenchName);

} // namespace endivewharf::bench
