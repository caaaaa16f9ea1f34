// Tracks the upstreams by the host list, reclaim notices, probes and answers.
// Each of these sources alone can mark a host as leaving, after which only a
// new incarnation of the host gets work.
#pragma once

#include "state.h"

#include <span>

namespace endivewharf {

/// Replaces the host list by a newer one: adds new hosts, updates known ones
/// and stops new work to missing ones.
/// @param Version version of the list, which grows with each change; 0: unknown
void adoptHostList(State &S, std::span<const HostRow> Hosts, LogOffset Version,
                   Effects &Out);

/// Handles a host list read from the store. A list that is older than the one
/// in use is ignored.
void onHostsRead(State &S, const HostsRead &E, Effects &Out);
/// Records since when the host list can't be read.
void onHostsReadFailed(State &S, Effects &Out);
/// Marks the hosts of reclaim notices as leaving. A notice for this process's
/// own host is handled by the reducer.
void onReclaimNoticesRead(State &S, const ReclaimNoticesRead &E, Effects &Out);
/// Updates an upstream's load, slots, loaded versions and backoff from a probe.
void onProbeEnded(State &S, const ProbeEnded &E, Effects &Out);

/// Marks one incarnation of a host as leaving, which is never undone, and
/// gossips the fact. Does nothing if it is known already.
/// @param Reason reason for the log and for `dump`
void markLeaving(State &S, const InstanceId &Host, std::string_view Reason,
                 Effects &Out);

/// @return true if this incarnation of a host is known to be leaving
bool isLeaving(const State &S, const InstanceId &Host);

/// Applies what an answer says about its upstream: that it is leaving, or that
/// it wants no requests for a time. Both apply to this incarnation of the host,
/// whatever other sources say. Does nothing if the attempt is unknown.
void onUpstreamNotice(State &S, const UpstreamNotice &E, Effects &Out);

/// Records a successful attempt: resets the consecutive failures and may raise
/// the concurrency limit.
/// @param Index index of the upstream in `Upstreams_`
void recordAttemptSuccess(State &S, int Index);

/// Records a failed attempt: lowers the concurrency limit or starts a backoff,
/// depending on the kind of failure.
/// @param Index index of the upstream in `Upstreams_`
void recordAttemptFailure(State &S, int Index, AttemptFailure Failure);

/// Reads the host list and the reclaim notices and probes upstreams, as far as
/// each is due.
void tickUpstreams(State &S, Effects &Out);

} // namespace endivewharf
