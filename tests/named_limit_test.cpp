// Tests what engines get that name how many requests a second they take from
// all processes together: by number of processes, beside restarts, cuts, ends
// and changes of the limit, and that a limit that ends is forgotten.
#include "simulatedengines.h"

#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace endivewharf {

namespace {

constexpr Millis WarmUpTime = 14000; // ms before the traffic starts
constexpr int LargeCluster = 60;     // processes
/// Least part of what the limits allow that is used when all engines name one.
constexpr double MinUsedFraction = 0.5;

/// The parameter is the number of processes.
class NamedLimitTest : public ::testing::TestWithParam<int> {
protected:
  void SetUp() override {
    const int ProcessCount = GetParam();
    Group_ =
        std::make_unique<PlatformGroup>(ProcessCount, SimulatedEngines::Config);
    const int EngineCount = ProcessCount < 10 ? 12 : 20;
    Engines_ = std::make_unique<SimulatedEngines>(*Group_, EngineCount);
    PromptsPerSecond_ = 8.0 * EngineCount;
    Contact_ = ProcessCount > LargeCluster ? 5000 : 3000;
    run(WarmUpTime, 0);
    run(3000);
  }

  /// Advances the simulation and sends prompts to random processes.
  void run(Millis Time, double Multiple = 1) {
    Group_->runFor(Time, [&] {
      Engines_->step();
      Pending_ +=
          PromptsPerSecond_ * Multiple * PlatformGroup::StepDuration / 1000;
      for (; Pending_ > 0; Pending_ -= 1)
        Engines_->sendPrompt(
            static_cast<int>(RandomGenerator_() % Group_->size()),
            {"common", "thing-" + std::to_string(RandomGenerator_() % 108),
             "own-" + std::to_string(NextOwn_++)});
    });
  }

  /// Kills a process; it counts again `Contact_` after its restart.
  void killProcess(int I, Millis RestartAfter) {
    Group_->killProcess(I, RestartAfter);
    ExcusedUntil_[I] = Group_->Now_ + RestartAfter + Contact_;
  }

  void expectLimitsKept() {
    EXPECT_LE(Engines_->largestExcess(Contact_,
                                      [&](int Process, Millis At) {
                                        const auto Found =
                                            ExcusedUntil_.find(Process);
                                        return Found != ExcusedUntil_.end() &&
                                               At < Found->second;
                                      }),
              0);
  }

  double servedFraction(Millis From) const {
    int Asked = 0;
    int Served = 0;
    for (const PromptOutcome &Outcome : Engines_->outcomes())
      if (Outcome.SentAt_ >= From && Outcome.SentAt_ < Group_->Now_ - 1000) {
        ++Asked;
        Served += Outcome.Served_ ? 1 : 0;
      }
    return static_cast<double>(Served) / Asked;
  }

  std::unique_ptr<PlatformGroup> Group_;
  std::unique_ptr<SimulatedEngines> Engines_;
  std::mt19937 RandomGenerator_{20261204};
  std::map<int, Millis> ExcusedUntil_;
  double PromptsPerSecond_ = 0;
  double Pending_ = 0;
  Millis Contact_ = 3000;
  int NextOwn_ = 0;
};

} // namespace

TEST_P(NamedLimitTest, engines_nameLimits_getNoMoreAndOthersServe) {
  const double Limits[] = {1, 2.6, 0.5};
  for (int I = 0; I < 3; ++I)
    Engines_->setLimit(I, Limits[I]);
  const Millis From = Group_->Now_;
  run(15000);
  expectLimitsKept();
  EXPECT_GE(servedFraction(From), 0.95);
  EXPECT_GE(Engines_->arrivalsAt(1, Group_->Now_ - 8000), 8);
}

TEST_P(NamedLimitTest, engine_limitFalls_getsNoMoreThanTheNewOne) {
  Engines_->setLimit(0, 6);
  run(8000);
  Engines_->setLimit(0, 1);
  run(12000);
  expectLimitsKept();
}

TEST_P(NamedLimitTest, engine_limitEnds_getsItsShareAgain) {
  for (int I = 0; I < 3; ++I)
    Engines_->setLimit(I, 1);
  run(8000);
  for (int I = 0; I < 3; ++I)
    Engines_->setLimit(I, std::nullopt);
  run(8000);
  const Millis From = Group_->Now_;
  run(6000);
  const double Share = 6 * PromptsPerSecond_ / Engines_->count();
  for (int I = 0; I < 3; ++I)
    EXPECT_GE(Engines_->arrivalsAt(I, From), Share / 3) << I;
}

TEST_P(NamedLimitTest, allEngines_nameLimits_restIsRefusedAtOnce) {
  for (int I = 0; I < Engines_->count(); ++I)
    Engines_->setLimit(I, 3);
  run(6000);
  const Millis From = Group_->Now_;
  run(10000);
  expectLimitsKept();
  const double Allowed = 10 * 3.0 * Engines_->count();
  int Arrivals = 0;
  for (int I = 0; I < Engines_->count(); ++I)
    Arrivals += Engines_->arrivalsAt(I, From);
  EXPECT_GE(Arrivals, Allowed * MinUsedFraction);
  EXPECT_LE(Engines_->longestRefusal(From), 500);
}

TEST_P(NamedLimitTest, processes_restartInTurn_limitsAreKept) {
  for (int I = 0; I < 3; ++I)
    Engines_->setLimit(I, 2);
  run(6000);
  for (int I = 0; I < Group_->size(); ++I) {
    killProcess(I, 1000);
    run(GetParam() < 10 ? 2000 : 200);
  }
  run(4000);
  expectLimitsKept();
}

TEST_P(NamedLimitTest, dataCentre_reachesOnlyTheStore_othersKeepTheLimits) {
  for (int I = 0; I < 3; ++I)
    Engines_->setLimit(I, 2);
  run(6000);
  Group_->SeparatedDataCentres_ = {1};
  for (int I = 1; I < Group_->size(); I += PlatformGroup::DataCentreCount)
    ExcusedUntil_[I] = Group_->Now_ + 100000;
  run(14000);
  expectLimitsKept();
}

TEST_P(NamedLimitTest, demand_risesWhileMessagesAreLost_limitsAreKept) {
  Group_->PeerMessageLossFraction_ = 0.1;
  for (int I = 0; I < 3; ++I)
    Engines_->setLimit(I, 1.5);
  run(5000);
  run(6000, 2);
  expectLimitsKept();
}

TEST_P(NamedLimitTest, engine_endsAndStartsAgain_isNotLimited) {
  Engines_->setLimit(0, 1);
  run(6000);
  Engines_->endEngine(0);
  run(6000);
  const Millis From = Group_->Now_;
  run(6000);
  expectLimitsKept();
  EXPECT_GE(Engines_->arrivalsAt(0, From),
            6 * PromptsPerSecond_ / Engines_->count() / 3);
}

INSTANTIATE_TEST_SUITE_P(Sizes, NamedLimitTest, ::testing::Values(4, 31, 119),
                         [](const auto &Info) {
                           return std::to_string(Info.param);
                         });

} // namespace endivewharf
