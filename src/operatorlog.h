// Reads the operator log: configurations, rollout requests and evacuations in
// one order, on platforms that keep them apart from the control log.
#pragma once

#include "state.h"

#include <span>

namespace endivewharf {

/// Applies the entries of a successful read.
void onOperatorLogRead(State &S, const OperatorLogRead &E, Effects &Out);

/// Applies statements on data centres that another process knows.
void mergeEvacuations(State &S, std::span<const EvacuationRow> Rows,
                      Effects &Out);

/// Marks the operator log as unavailable and schedules a retry.
void onOperatorLogReadFailed(State &S, Effects &Out);

/// Starts the next read, unless one is in progress or a retry is not due yet.
/// In a large cluster only store readers read while their reports are recent.
void startOperatorLogRead(State &S, Effects &Out);

} // namespace endivewharf
