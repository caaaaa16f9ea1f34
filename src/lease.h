// The control lease: who may raise a share, order an engine or write a
// snapshot. Its fencing number (epoch) is the offset of the record that won.
#pragma once

#include "state.h"

namespace endivewharf {

/// @return true if this process may act as the holder now
bool holdsLease(const State &S);

void applyLeaseAcquire(State &S, LogOffset Offset, const LeaseAcquireRecord &R,
                       Effects &Out);
void applyLeaseRenew(State &S, LogOffset Offset, const LeaseRenewRecord &R,
                     Effects &Out);

/// Renews a lease that this process holds, or asks for one that has ended.
void tickLease(State &S, Effects &Out);

/// Gives the lease up before this process ends.
void releaseLease(State &S);

} // namespace endivewharf
