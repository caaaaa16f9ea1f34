// Reads what operators write where the platform keeps it apart from our own
// records: configurations and moves to other versions, in one order.
#pragma once

#include "state.h"

namespace endivewharf {

void onOperatorRead(State &S, const OperatorRead &E, Effects &Out);
void onOperatorReadFailed(State &S, Effects &Out);

/// Reads on, if nothing is being read.
void driveOperator(State &S, Effects &Out);

} // namespace endivewharf
