// What accounts used in each window of true time, added up over all processes
// and reported once by the holder of the lease.
#pragma once

#include "state.h"

#include <span>

namespace endivewharf {

/// Takes what a peer has counted in its present life.
void mergePeerUsage(State &S, const InstanceId &From,
                    std::span<const UsageRow> Rows);

/// Takes what was saved in the log of a window.
void applyUsageCounts(State &S, const UsageCountsRecord &R);

/// Counts a call that has begun to run, once, in the window of this moment.
void countStartedCall(State &S, Call &C);

/// Decides the counts of windows that are over, writes them to the log and
/// then reports them; a successor repeats exactly what the log has.
void tickUsage(State &S, Effects &Out);

void applyDecidedUsage(State &S, const UsageRecord &R, Effects &Out);
void onUsageReportAnswered(State &S, const UsageReportAnswered &E,
                           Effects &Out);

/// Takes a peer's time into account.
void recordPeerClock(State &S, const std::string &Peer,
                     std::int64_t PeerUnixMs);

/// Unix time by the monotonic clock: steps of the time of day don't show.
std::int64_t correctedUnixMs(const State &S);

/// Number of the window of this moment.
std::int64_t currentUsageWindow(const State &S);

} // namespace endivewharf
