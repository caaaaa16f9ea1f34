// Reads what operators write where the platform keeps it apart from our own
// records: configurations and moves to other versions, in one order.
#pragma once

#include "state.h"

namespace endivewharf {

void onOperatorLogRead(State &S, const OperatorLogRead &E, Effects &Out);
void onOperatorLogReadFailed(State &S, Effects &Out);

/// Reads on, if nothing is being read.
void startOperatorLogRead(State &S, Effects &Out);

} // namespace endivewharf
