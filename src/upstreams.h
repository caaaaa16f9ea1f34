// Knows the upstreams: from the host list, notices, probes and answers. Each of
// these alone can take a host out of service; only a new life brings it back.
#pragma once

#include "state.h"

#include <span>

namespace endivewharf {

/// Takes a host list in place of the one in use.
/// @param Version grows with each change of the list; 0: not known
void adoptHostList(State &S, std::span<const HostRow> Hosts, LogOffset Version,
                   Effects &Out);

void onHostsRead(State &S, const HostsRead &E, Effects &Out);
void onHostsReadFailed(State &S, Effects &Out);
void onReclaimNoticesRead(State &S, const ReclaimNoticesRead &E, Effects &Out);
void onProbeEnded(State &S, const ProbeEnded &E, Effects &Out);

/// Takes one life of a host out of service for good.
/// @param Reason for the log and for `dump`
void markLeaving(State &S, const InstanceId &Host, std::string_view Reason,
                 Effects &Out);

/// @return true if this life of a host is known to be leaving
bool isLeaving(const State &S, const InstanceId &Host);

/// Takes what an answer says of its upstream: that it leaves, or that it wants
/// nothing for a time. Both hold for this life of it, whatever else is known.
void onUpstreamNotice(State &S, const UpstreamNotice &E, Effects &Out);

/// Books how an attempt ended: adaptive limit, failures in a row.
void recordAttemptSuccess(State &S, int Index);
void recordAttemptFailure(State &S, int Index, AttemptFailure Failure);

/// Reads the host list and notices again, probes what is due.
void tickUpstreams(State &S, Effects &Out);

} // namespace endivewharf
