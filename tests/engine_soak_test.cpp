// Soak in simulated time: random, overlapping faults of processes, data centres
// and engines, with a deadly part and a deadly request in the traffic and
// engines that name, change and drop limits. SOAK_SEEDS sets the number of
// seeds for each number of processes.
#include "simulatedengines.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <tuple>

namespace endivewharf {

namespace {

constexpr Millis WarmUpTime = 14000;  // ms before the traffic starts
constexpr Millis FaultTime = 40000;   // ms with faults
constexpr Millis RecoveryTime = 8000; // ms without faults before the last check
constexpr int MaxLateArrivals = 3;    // prompts with the deadly part
constexpr int EndsBeforeBound = 5;
constexpr int RequestEndsBeforeBound = 3;
constexpr int LateRequestArrivals = 3; // of the deadly request
constexpr const char *DeadlyPath = "/check/deadly";
constexpr double DeadlyFraction = 0.03; // of all prompts
constexpr double MinServedAtEnd = 0.95; // of the sound prompts after recovery
constexpr int LargeCluster = 60;        // processes
constexpr Millis MaxFaultGap = 1500;    // ms

int seedCount() {
  const char *Text = std::getenv("SOAK_SEEDS");
  return Text == nullptr ? 2 : std::max(1, std::atoi(Text));
}

/// The parameters are the number of processes and the seed.
class EngineSoakTest : public ::testing::TestWithParam<std::tuple<int, int>> {
protected:
  void SetUp() override {
    const auto [ProcessCount, Seed] = GetParam();
    RandomGenerator_.seed(static_cast<std::uint32_t>(Seed));
    Group_ =
        std::make_unique<PlatformGroup>(ProcessCount, SimulatedEngines::Config);
    Engines_ = std::make_unique<SimulatedEngines>(*Group_,
                                                  ProcessCount < 10 ? 12 : 24);
    Engines_->DeadlyParts_ = {"deadly"};
    Engines_->DeadlyPaths_ = {DeadlyPath};
    Contact_ = ProcessCount > LargeCluster ? 5000 : 3000;
    run(WarmUpTime, false);
  }

  int draw(int Count) {
    return static_cast<int>(RandomGenerator_() %
                            static_cast<std::uint32_t>(Count));
  }

  void sendLookup() {
    const bool Deadly = draw(30) == 0;
    Engines_->sendPlain(draw(Group_->size()),
                        Deadly ? DeadlyPath
                               : "/check/" + std::to_string(draw(100)));
  }

  void sendPrompt() {
    if (draw(5) == 0)
      sendLookup();
    const int Process = draw(Group_->size());
    std::vector<std::string> Parts{"common",
                                   "thing-" + std::to_string(draw(108))};
    if (draw(1000) < DeadlyFraction * 1000)
      Parts.emplace_back("deadly");
    Parts.push_back("own-" + std::to_string(NextOwn_++));
    Engines_->sendPrompt(Process, std::move(Parts));
  }

  void run(Millis Time, bool Traffic) {
    Group_->runFor(Time, [&] {
      Engines_->step();
      if (Group_->Now_ >= ReunitedAt_)
        Group_->SeparatedDataCentres_.clear();
      Pending_ += Traffic ? PromptsPerStep * Engines_->count() : 0;
      for (; Pending_ >= 1; Pending_ -= 1)
        sendPrompt();
    });
  }

  /// Records that a process has not run for some time; it is in touch again
  /// `Contact_` later.
  void recordStop(int Process, Millis Time) {
    recordFault(StoppedUntil_, Process, Time);
    recordFault(ExcusedUntil_, Process, Time);
  }

  void recordFault(std::map<int, Millis> &Until, int Process, Millis Time) {
    Until[Process] = std::max(Until[Process], Group_->Now_ + Time + Contact_);
  }

  static bool isBefore(const std::map<int, Millis> &Until, int Process,
                       Millis At) {
    const auto Found = Until.find(Process);
    return Found != Until.end() && At < Found->second;
  }

  void injectFault() {
    const int Process = draw(Group_->size());
    const Millis Time = 500 + draw(2500);
    switch (draw(7)) {
    case 0:
      Group_->killProcess(Process, Time);
      recordStop(Process, Time);
      break;
    case 1:
      Group_->freezeProcess(Process, Time);
      recordStop(Process, Time);
      break;
    case 2:
      Engines_->endEngine(draw(Engines_->count()));
      break;
    case 3:
      for (int I = draw(4); I < Engines_->count(); I += 4)
        Engines_->endEngine(I); // A reclaim.
      break;
    case 4:
      separateDataCentre(draw(PlatformGroup::DataCentreCount), Time);
      break;
    case 5:
      Engines_->setLimit(draw(Engines_->count()), 0.5 + draw(12) / 2.0);
      break;
    default:
      Engines_->setLimit(draw(Engines_->count()), std::nullopt);
      break;
    }
  }

  /// Lets a data centre reach only the store; for named limits this excuses
  /// its processes.
  void separateDataCentre(int DataCentre, Millis Time) {
    Group_->SeparatedDataCentres_ = {DataCentre};
    ReunitedAt_ = Group_->Now_ + Time;
    for (int I = DataCentre; I < Group_->size();
         I += PlatformGroup::DataCentreCount)
      recordFault(ExcusedUntil_, I, Time);
  }

  void expectBoundKept(const std::string &Cause, int Ends, int Late) const {
    const Millis From = Engines_->endAt(Cause, Ends);
    if (From < 0)
      return;
    EXPECT_LE(Engines_->arrivalsWith(Cause, From + Contact_,
                                     [&](int Process, Millis At) {
                                       return isBefore(StoppedUntil_, Process,
                                                       At);
                                     }),
              Late)
        << Cause;
  }

  double servedFraction(Millis From) const {
    int Asked = 0;
    int Served = 0;
    for (const PromptOutcome &Outcome : Engines_->outcomes()) {
      const bool Sound = Outcome.Path_ != DeadlyPath &&
                         (Outcome.Parts_.empty() || Outcome.Parts_.size() == 3);
      if (!Sound || Outcome.SentAt_ < From ||
          Outcome.SentAt_ > Group_->Now_ - 1000)
        continue;
      ++Asked;
      Served += Outcome.Served_ ? 1 : 0;
    }
    return Asked == 0 ? 1 : static_cast<double>(Served) / Asked;
  }

  static constexpr double PromptsPerStep = 0.2; // of each engine

  std::unique_ptr<PlatformGroup> Group_;
  std::unique_ptr<SimulatedEngines> Engines_;
  std::mt19937 RandomGenerator_;
  std::map<int, Millis> StoppedUntil_; ///< Out of touch for all bounds.
  std::map<int, Millis> ExcusedUntil_; ///< Out of touch for named limits.
  Millis ReunitedAt_ = 0;
  Millis Contact_ = 3000;
  double Pending_ = 0;
  int NextOwn_ = 0;
};

} // namespace

TEST_P(EngineSoakTest, faultsInSeries_boundsOfPartsAndLimitsHold) {
  const Millis End = Group_->Now_ + FaultTime;
  while (Group_->Now_ < End) {
    injectFault();
    run(PlatformGroup::StepDuration * (1 + draw(MaxFaultGap / 50)), true);
  }
  for (int I = 0; I < Engines_->count(); ++I)
    Engines_->setLimit(I, std::nullopt);
  run(RecoveryTime, true);
  const Millis From = Group_->Now_;
  run(4000, true);
  expectBoundKept("deadly", EndsBeforeBound, MaxLateArrivals);
  expectBoundKept(DeadlyPath, RequestEndsBeforeBound, LateRequestArrivals);
  EXPECT_LE(Engines_->largestExcess(Contact_,
                                    [&](int Process, Millis At) {
                                      return isBefore(ExcusedUntil_, Process,
                                                      At);
                                    }),
            0);
  EXPECT_GE(servedFraction(From), MinServedAtEnd);
}

INSTANTIATE_TEST_SUITE_P(Seeds, EngineSoakTest,
                         ::testing::Combine(::testing::Values(4, 31, 119),
                                            ::testing::Range(1,
                                                             1 + seedCount())),
                         [](const auto &Info) {
                           return std::to_string(std::get<0>(Info.param)) +
                                  "_seed_" +
                                  std::to_string(std::get<1>(Info.param));
                         });

} // namespace endivewharf
