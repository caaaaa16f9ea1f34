// Usage of each account per window of Unix time: counted by each process,
// summed over all processes, decided in the log and reported once by the lease
// holder.
#pragma once

#include "state.h"

#include <optional>
#include <span>

namespace endivewharf {

/// Merges what a peer has counted in its present incarnation.
void mergePeerUsage(State &S, const InstanceId &From,
                    std::span<const UsageRow> Rows);

/// Merges the counts of a window that were saved in the log.
void applyUsageCounts(State &S, const UsageCountsRecord &R);

/// Counts a call that has begun to run in the current window. A call is counted
/// at most once, and not at all without an account.
void countStartedCall(State &S, Call &C);

/// In the lease holder, decides the counts of windows that are over, writes
/// them to the log and then reports them. A later lease holder reports exactly
/// the counts in the log. A window that may have been decided before the log
/// was restored from a copy is not decided again. In every process, drops old
/// windows.
void tickUsage(State &S, Effects &Out);

/// Applies the decided counts of a window. Only the first record of a window
/// counts.
void applyDecidedUsage(State &S, const UsageRecord &R, Effects &Out);

/// Applies a statement of which windows may be decided in an era of the log.
void applyUsageFloor(State &S, const UsageFloorRecord &R, Effects &Out);

/// @return true if what was read since makes a statement without effect
bool isUsageFloorSuperseded(const State &S, const UsageFloorRecord &R);

/// Called when the log has begun a new era, before anything of it is applied.
/// @return the first window that may be decided in the new era, if this process
///   knows of all decisions of the era before: only the last lease holder does
std::optional<std::int64_t> usageFloorKnownAcrossEras(const State &S);

/// @return the decided counts of a window; empty if it is not decided
std::vector<UsageRow> decidedRows(const State &S, std::int64_t Window);

/// @return true if the window of a record has been decided with other counts
bool isDecidedOtherwise(const State &S, const UsageRecord &R);

/// Handles the platform's answer to a usage report.
void onUsageReportAnswered(State &S, const UsageReportAnswered &E,
                           Effects &Out);

/// Records the difference of a peer's clock to ours, until the clock has been
/// checked.
/// @param PeerUnixMs Unix time in the peer's message, ms
void recordPeerClock(State &S, const std::string &Peer,
                     std::int64_t PeerUnixMs);

/// Unix time derived from the monotonic clock, so that steps of the system's
/// time of day have no effect.
/// @return Unix time, ms
std::int64_t correctedUnixMs(const State &S);

/// Number of the current usage window: Unix time divided by the window length.
std::int64_t currentUsageWindow(const State &S);

/// Forgets all counts after a change of the length of the windows: it gives
/// each time another window number. The next window is the first to be
/// reported.
/// @param Before length of the windows until now, ms
void restartUsageWindows(State &S, double Before);

/// Number of windows before the current one that may not be decided yet.
std::int64_t undecidedWindows(const State &S);

} // namespace endivewharf
