// Short simulated runs with random pairs of faults and fixed seeds.
#include "chaos.h"

#include <gtest/gtest.h>

namespace endivewharf::bench {

TEST(ChaosTest, faults_inPairsAtRandom_breakNoPromise) {
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
    const ChaosResult Result = runChaos(Seed, 1000);
    EXPECT_EQ(Result.CallersWithoutResult_, 0) << "seed " << Seed;
    EXPECT_EQ(Result.WrongTokenSequences_, 0) << "seed " << Seed;
    EXPECT_EQ(Result.Truncated_, 0) << "seed " << Seed;
    EXPECT_EQ(Result.FalseNotRunErrors_, 0) << "seed " << Seed;
    EXPECT_EQ(Result.RepeatedSideEffects_, 0) << "seed " << Seed;
    EXPECT_EQ(Result.ConfigReverts_, 0) << "seed " << Seed;
    EXPECT_GE(Result.Answered_, 900) << "seed " << Seed;
  }
}

} // namespace endivewharf::bench
