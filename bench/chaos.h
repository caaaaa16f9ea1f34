// Runs entry processes under random pairs of faults and counts the violated
// guarantees; deterministic for a seed.
#pragma once

#include <cstdint>

namespace endivewharf::bench {

/// Counts of one run. All but the first three must be 0.
struct ChaosResult {
  int Requests_ = 0; ///< Requests of all callers; their retries do not count.
  int Answered_ = 0; ///< Requests that were answered, at once or on a retry.
  /// Callers whose last try ended because their entry process was killed.
  int EndedByEntryDeath_ = 0;
  /// Callers who got neither an answer nor an error.
  int CallersWithoutResult_ = 0;
  /// Outcomes with repeated or missing tokens, or with tokens of another call.
  int WrongTokenSequences_ = 0;
  /// Completions that ended as answered with too few or too many tokens.
  int Truncated_ = 0;
  /// Errors that say "not run" although the service had executed the request.
  int FalseNotRunErrors_ = 0;
  /// Idempotency keys whose request was executed more than once.
  int RepeatedSideEffects_ = 0;
  /// Times that a process went back to an older configuration.
  int ConfigReverts_ = 0;
};

/// Runs one seed, and the callers' retries until all of them end.
/// @param Seed determines the requests, the faults and the network
/// @param Requests number of requests to send
ChaosResult runChaos(std::uint64_t Seed, int Requests);

} // namespace endivewharf::bench
