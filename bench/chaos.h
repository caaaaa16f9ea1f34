// A seeded run of all faults in pairs.
#pragma once

#include <cstdint>

namespace endivewharf::bench {

struct ChaosResult {
  int Requests_ = 0;
  int Answered_ = 0;
  int EndedByEntryDeath_ = 0;   ///< Gave up after their process was killed.
  int Unfinished_ = 0;          ///< Callers who never got any final answer.
  int WrongTokenSequences_ = 0; ///< Tokens twice, missing or another call's.
  int Truncated_ = 0;
  int FalseNotRun_ = 0;
  int RepeatedSideEffects_ = 0;
  int ConfigReverts_ = 0;
};

ChaosResult runChaos(std::uint64_t Seed, int Requests);

} // namespace endivewharf::bench
