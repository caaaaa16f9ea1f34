// Tests what reaches the engines of prompts with a part that ends each engine
// that begins to answer it, and what becomes of sound prompts meanwhile: by
// number of processes, and beside kills, cuts and ends of other causes.
#include "simulatedengines.h"

#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace endivewharf {

namespace {

constexpr Millis WarmUpTime = 14000;    // ms before the traffic starts
constexpr int MaxLateArrivals = 3;      // prompts with a deadly part
constexpr int EndsBeforeBound = 5;      // ends after which the bound begins
constexpr int ThingCount = 108;         // second parts of sound prompts
constexpr double DeadlyFraction = 0.05; // of all prompts
/// Least fraction of the sound prompts served at the first attempt, against
/// the fraction before the first end.
constexpr double MinServedRatio = 0.5;
constexpr int LargeCluster = 60; // processes

class DeadlyPartTest : public ::testing::Test {
protected:
  void startGroup(int ProcessCount) {
    Group_ =
        std::make_unique<PlatformGroup>(ProcessCount, SimulatedEngines::Config);
    const int EngineCount = ProcessCount < 10 ? 12 : ProcessCount;
    Engines_ = std::make_unique<SimulatedEngines>(*Group_, EngineCount);
    PromptsPerSecond_ = ProcessCount < 10 ? 20 : 2.0 * ProcessCount;
    Contact_ = ProcessCount > LargeCluster ? 5000 : 3000;
    run(WarmUpTime, 0);
  }

  /// Advances the simulation and sends prompts to random processes.
  /// @param Fraction fraction of the prompts with the deadly part
  void run(Millis Time, double Fraction, double Multiple = 1) {
    const bool Traffic = Fraction >= 0;
    Group_->runFor(Time, [&] {
      Engines_->step();
      if (!Traffic || Group_->Now_ < 100000 + WarmUpTime)
        return;
      Pending_ +=
          PromptsPerSecond_ * Multiple * PlatformGroup::StepDuration / 1000;
      for (; Pending_ > 0; Pending_ -= 1)
        sendPrompt(Fraction);
    });
  }

  void sendPrompt(double Fraction) {
    const int Process = static_cast<int>(draw() % Group_->size());
    const bool Deadly = static_cast<double>(draw() % 10000) < Fraction * 10000;
    std::vector<std::string> Parts{"common"};
    const std::string Own = "own-" + std::to_string(NextOwn_++);
    if (Deadly)
      Parts.insert(Parts.end(), {RareFirst_, DeadlyPart_});
    else
      Parts.push_back("thing-" + std::to_string(draw() % ThingCount));
    Parts.push_back(Own);
    Engines_->sendPrompt(Process, std::move(Parts));
  }

  std::uint32_t draw() { return RandomGenerator_(); }

  /// @return time of the fifth end by a deadly part; -1: there were fewer
  Millis fifthEnd() const {
    const auto &Ends = Engines_->ends();
    return Ends.size() < EndsBeforeBound ? -1 : Ends[EndsBeforeBound - 1];
  }

  int lateArrivals() const {
    return fifthEnd() < 0
               ? 0
               : Engines_->arrivalsWith(DeadlyPart_, fifthEnd() + Contact_);
  }

  /// Fraction of the sound prompts of a time span that were served at the
  /// first attempt.
  /// @param Part counts only prompts with this part; empty: all
  double servedFraction(Millis From, Millis To,
                        const std::string &Part = "") const {
    int Asked = 0;
    int Served = 0;
    for (const PromptOutcome &Outcome : Engines_->outcomes()) {
      const auto Has = [&](const std::string &Name) {
        return std::find(Outcome.Parts_.begin(), Outcome.Parts_.end(), Name) !=
               Outcome.Parts_.end();
      };
      if (Outcome.SentAt_ < From || Outcome.SentAt_ >= To || Has(DeadlyPart_) ||
          (!Part.empty() && !Has(Part)))
        continue;
      ++Asked;
      Served += Outcome.ServedAtFirst_ ? 1 : 0;
    }
    return Asked == 0 ? 1 : static_cast<double>(Served) / Asked;
  }

  void expectBoundKept() {
    EXPECT_LE(lateArrivals(), MaxLateArrivals)
        << Engines_->ends().size() << " ends";
  }

  std::unique_ptr<PlatformGroup> Group_;
  std::unique_ptr<SimulatedEngines> Engines_;
  std::mt19937 RandomGenerator_{20261204};
  std::string DeadlyPart_ = "deadly";
  std::string RareFirst_ = "thing-7"; ///< Shared with sound prompts.
  double PromptsPerSecond_ = 0;
  double Pending_ = 0;
  Millis Contact_ = 3000; ///< Time for processes to learn of each other.
  int NextOwn_ = 0;
};

/// The parameter is the number of processes.
class DeadlyPartSizeTest : public DeadlyPartTest,
                           public ::testing::WithParamInterface<int> {};

} // namespace

TEST_P(DeadlyPartSizeTest, part_endsEngines_reachesFewMoreAfterTheFifth) {
  startGroup(GetParam());
  Engines_->DeadlyParts_ = {DeadlyPart_};
  run(4000, 0);
  const Millis Before = Group_->Now_;
  run(22000, DeadlyFraction);
  const Millis From = (fifthEnd() < 0 ? Before : fifthEnd()) + 2 * Contact_;
  expectBoundKept();
  EXPECT_GE(servedFraction(From, Group_->Now_ - 1000),
            MinServedRatio * servedFraction(Before - 4000, Before));
  EXPECT_GE(servedFraction(From, Group_->Now_ - 1000, RareFirst_),
            MinServedRatio);
}

TEST_P(DeadlyPartSizeTest, part_onlyBehindANewFirstPart_boundIsKept) {
  startGroup(GetParam());
  Engines_->DeadlyParts_ = {DeadlyPart_};
  RareFirst_ = "seen-nowhere-else";
  run(2000, 0);
  run(22000, DeadlyFraction);
  expectBoundKept();
}

TEST_P(DeadlyPartSizeTest, part_thirdOfTheProcessesRestart_boundIsKept) {
  startGroup(GetParam());
  Engines_->DeadlyParts_ = {DeadlyPart_};
  run(2000, DeadlyFraction);
  for (int I = 0; I < Group_->size(); I += 3)
    Group_->killProcess(I, 1000);
  run(6000, DeadlyFraction);
  for (int I = 1; I < Group_->size(); I += 3)
    Group_->killProcess(I, 1000);
  run(14000, DeadlyFraction);
  expectBoundKept();
}

TEST_P(DeadlyPartSizeTest, part_allProcessesRestart_staysKnown) {
  startGroup(GetParam());
  Engines_->DeadlyParts_ = {DeadlyPart_};
  run(9000, DeadlyFraction);
  for (int I = 0; I < Group_->size(); ++I)
    Group_->killProcess(I, 1000 + 20 * I);
  run(14000, DeadlyFraction);
  expectBoundKept();
}

TEST_P(DeadlyPartSizeTest, part_dataCentreReachesOnlyTheStore_boundIsKept) {
  startGroup(GetParam());
  Engines_->DeadlyParts_ = {DeadlyPart_};
  run(1000, 0);
  Group_->SeparatedDataCentres_ = {1};
  run(22000, DeadlyFraction);
  expectBoundKept();
}

TEST_P(DeadlyPartSizeTest, part_aSecondOneAtTheSameTime_boundIsKeptForBoth) {
  startGroup(GetParam());
  Engines_->DeadlyParts_ = {"deadly-0", "deadly-1"};
  for (int I = 0; I < 440; ++I) {
    DeadlyPart_ = "deadly-" + std::to_string(I % 2);
    run(PlatformGroup::StepDuration, 2 * DeadlyFraction);
  }
  for (const char *Part : {"deadly-0", "deadly-1"}) {
    const Millis Fifth = Engines_->endAt(Part, EndsBeforeBound);
    if (Fifth >= 0)
      EXPECT_LE(Engines_->arrivalsWith(Part, Fifth + Contact_),
                MaxLateArrivals);
  }
}

TEST_P(DeadlyPartSizeTest, part_messagesAreLost_boundIsKept) {
  startGroup(GetParam());
  Engines_->DeadlyParts_ = {DeadlyPart_};
  Group_->PeerMessageLossFraction_ = 0.1;
  run(22000, DeadlyFraction);
  expectBoundKept();
}

TEST_P(DeadlyPartSizeTest, soundPrompts_halfOfTheEnginesEnd_areServedAgain) {
  startGroup(GetParam());
  run(3000, 0);
  for (int Wave = 0; Wave < 4; ++Wave) {
    for (int I = Wave % 2; I < Engines_->count(); I += 2)
      Engines_->endEngine(I);
    run(1500, 0);
  }
  run(6000, 0);
  const Millis From = Group_->Now_;
  run(6000, 0);
  EXPECT_GE(servedFraction(From, Group_->Now_ - 1000), 0.99);
}

TEST_P(DeadlyPartSizeTest,
       soundPrompts_manyAnswersAreBrokenOff_areServedAgain) {
  startGroup(GetParam());
  Engines_->setResetFraction(0.1);
  run(12000, 0);
  Engines_->setResetFraction(0);
  run(3000, 0);
  const Millis From = Group_->Now_;
  run(6000, 0);
  EXPECT_GE(servedFraction(From, Group_->Now_ - 1000), 0.99);
}

INSTANTIATE_TEST_SUITE_P(Sizes, DeadlyPartSizeTest,
                         ::testing::Values(4, 31, 119), [](const auto &Info) {
                           return std::to_string(Info.param);
                         });

} // namespace endivewharf
