// How old a process's view of the platform's store may get before it reads by
// itself. The steps by which news reaches the last process are parts of the
// operators' bound on the time for it, so that their sum stays within it.
#pragma once

#include "types.h"

#include <string_view>

namespace endivewharf {

/// Steps from the store's acknowledgement of a change to the last process, in
/// ms. docs/design/groups.md adds them up.
struct FreshnessBudget {
  /// Longest time between two reads of a store reader in a large cluster.
  Millis ReadPeriod_ = 0;
  /// Time for a read to be passed on to all processes.
  Millis PassOnTime_ = 0;
  /// Age of the view at which the first process that is no store reader reads.
  Millis OwnReadAge_ = 0;
  /// Time over which the others follow, so that most of them hear of its read.
  Millis OwnReadSpread_ = 0;
  /// Silence of a read after which a second one begins on a new connection.
  Millis SecondReadDelay_ = 0;
  /// Time for the answer to that.
  Millis AnswerTime_ = 0;
  /// Time between two own reads of which the first has failed.
  Millis RetryPeriod_ = 0;
};

/// @param Bound longest time allowed from the acknowledgement of a change to
///   the last process, in ms
FreshnessBudget freshnessBudget(Millis Bound);

/// Age of its view, in ms, at which a process that is no store reader reads.
/// @param Name name of the process, which decides its place in the spread
Millis ownReadAge(std::string_view Name, Millis Bound);

} // namespace endivewharf
