// A short run of all faults in pairs, with fixed seeds.
#include "chaos.h"

#include <gtest/gtest.h>

namespace endivewharf::bench {

TEST(ChaosTest, faults_inPairsAtRandom_breakNoPromise) {
  for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
    const ChaosResult R = runChaos(Seed, 1000);
    EXPECT_EQ(R.Unfinished_, 0) << "seed " << Seed;
    EXPECT_EQ(R.WrongTokenSequences_, 0) << "seed " << Seed;
    EXPECT_EQ(R.Truncated_, 0) << "seed " << Seed;
    EXPECT_EQ(R.FalseNotRun_, 0) << "seed " << Seed;
    EXPECT_EQ(R.RepeatedSideEffects_, 0) << "seed " << Seed;
    EXPECT_EQ(R.ConfigReverts_, 0) << "seed " << Seed;
    EXPECT_GE(R.Answered_, 900) << "seed " << Seed;
  }
}

} // namespace endivewharf::bench
