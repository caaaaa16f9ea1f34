// Strain on a service: fewer hosts or more requests than it can take, so that
// its answers are late whatever version gives them. Samples taken under strain
// are compared only with others that were.
#pragma once

#include "state.h"

#include <string>

namespace endivewharf {

/// Notes which services with a rollout are under strain at this moment: calls
/// wait for room, or many hosts can't be used.
void tickStrain(State &S, Effects &Out);

/// @param Service name of a service
/// @return true if the service was under strain at a time or later, or shortly
///   before
bool wasStrainedSince(const State &S, const std::string &Service, Millis Since);

/// @param A an attempt that has just ended
/// @return true if the attempt ran under strain: its service was, or its host
///   had as many requests as it runs at once
bool ranUnderStrain(const State &S, const Attempt &A);

} // namespace endivewharf
