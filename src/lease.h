// The control lease: only its holder may raise a rollout's share, send load
// commands, scale requests and usage reports, or write a snapshot. The lease's
// epoch (fencing token) is the log offset of the acquire record that won.
#pragma once

#include "state.h"

namespace endivewharf {

/// @return true if this process may act as the lease holder now
bool holdsLease(const State &S);

/// @return true if this process was the last holder of the lease and no other
///   process can have acquired it until now
bool isLastHolder(const State &S);

/// Applies an acquire record. It is ignored if it does not name the last lease
/// record before it; on the platform the conditional append has checked that.
/// @param Offset the record's offset, which becomes the lease's epoch
void applyLeaseAcquire(State &S, LogOffset Offset, const LeaseAcquireRecord &R,
                       Effects &Out);

/// Applies a renewal or a release. Records of an older epoch are ignored.
void applyLeaseRenew(State &S, LogOffset Offset, const LeaseRenewRecord &R,
                     Effects &Out);

/// Queues a renewal of a lease that this process holds, or an acquire record
/// if the lease has ended.
void tickLease(State &S, Effects &Out);

/// Regards no lease as valid, and lets all challengers wait as if one had just
/// been renewed. Called when the log was restored from a copy: a record that
/// the copy lacks may have given the lease to anybody.
void endLeasesOfEarlierEras(State &S);

/// Queues a record that releases the lease, if this process is its holder.
/// Called before the process ends.
void releaseLease(State &S);

} // namespace endivewharf
