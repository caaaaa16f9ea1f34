// Tests what reaches the upstreams of a request that ends each upstream that
// runs it, and what becomes of sound requests meanwhile: by number of
// processes, by kind of request, and beside kills, cuts and ends of other
// causes.
#include "simulatedengines.h"

#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace endivewharf {

namespace {

constexpr Millis WarmUpTime = 14000;   // ms before the traffic starts
constexpr int MaxLateArrivals = 3;     // of the deadly request
constexpr int EndsBeforeBound = 3;     // ends after which the bound begins
constexpr int ThingCount = 60;         // paths of sound lookups
constexpr double MinServedRatio = 0.9; // of the sound requests, after the bound
constexpr int LargeCluster = 60;       // processes

/// The parameter is the number of processes.
class DeadlyRequestTest : public ::testing::TestWithParam<int> {
protected:
  void SetUp() override {
    const int ProcessCount = GetParam();
    Group_ =
        std::make_unique<PlatformGroup>(ProcessCount, SimulatedEngines::Config);
    const int EngineCount = ProcessCount < 10 ? 3 : ProcessCount / 3;
    Engines_ = std::make_unique<SimulatedEngines>(*Group_, EngineCount);
    RequestsPerSecond_ = 8.0 * EngineCount;
    Contact_ = ProcessCount > LargeCluster ? 5000 : 3000;
    run(WarmUpTime, 0, 0);
    run(4000, 1, 0);
  }

  /// Advances the simulation and sends requests to random processes.
  /// @param Multiple traffic of sound requests against the usual
  /// @param DeadlyPerSecond how often the deadly request comes
  void run(Millis Time, double Multiple, double DeadlyPerSecond) {
    constexpr double Step = PlatformGroup::StepDuration / 1000.0;
    Group_->runFor(Time, [&] {
      Engines_->step();
      Pending_ += RequestsPerSecond_ * Multiple * Step;
      for (; Pending_ >= 1; Pending_ -= 1)
        sendSound();
      PendingDeadly_ += DeadlyPerSecond * Step;
      for (; PendingDeadly_ >= 1; PendingDeadly_ -= 1)
        sendDeadly();
    });
  }

  void runWithDeadly(Millis Time) { run(Time, 1, DeadlyPerSecond_); }

  void sendSound() {
    const int Process = draw(Group_->size());
    if (draw(3) == 0)
      Engines_->sendPlain(Process, "/booking/" + std::to_string(NextOwn_++));
    else
      Engines_->sendPlain(Process,
                          "/check/" + std::to_string(draw(ThingCount)));
  }

  void sendDeadly() {
    const int Process = draw(Group_->size());
    if (DeadlyParts_.empty())
      Engines_->sendPlain(Process, Deadly_);
    else
      Engines_->sendPrompt(Process, DeadlyParts_, Deadly_);
  }

  /// Lets the request for a path end engines from now on.
  void makeDeadly(const std::string &Path,
                  std::vector<std::string> Parts = {}) {
    Deadly_ = Path;
    DeadlyParts_ = std::move(Parts);
    Engines_->DeadlyPaths_.insert(Path);
  }

  int draw(int Count) {
    return static_cast<int>(RandomGenerator_() %
                            static_cast<std::uint32_t>(Count));
  }

  /// Fraction of the sound requests sent since a time that were served.
  double servedFraction(Millis From) const {
    int Asked = 0;
    int Served = 0;
    for (const PromptOutcome &Outcome : Engines_->outcomes()) {
      if (Outcome.SentAt_ < From || Outcome.SentAt_ > Group_->Now_ - 1000 ||
          Engines_->DeadlyPaths_.count(Outcome.Path_) > 0)
        continue;
      ++Asked;
      Served += Outcome.Served_ ? 1 : 0;
    }
    return Asked == 0 ? 1 : static_cast<double>(Served) / Asked;
  }

  void expectBoundKept(const std::string &Path) {
    const Millis Third = Engines_->endAt(Path, EndsBeforeBound);
    ASSERT_GE(Third, 0) << "fewer ends than the bound needs";
    EXPECT_LE(Engines_->arrivalsWith(Path, Third + Contact_), MaxLateArrivals)
        << Engines_->ends().size() << " ends";
  }
  void expectBoundKept() { expectBoundKept(Deadly_); }

  std::unique_ptr<PlatformGroup> Group_;
  std::unique_ptr<SimulatedEngines> Engines_;
  std::mt19937 RandomGenerator_{20261205};
  std::string Deadly_;
  std::vector<std::string> DeadlyParts_; ///< Empty: a plain request.
  double DeadlyPerSecond_ = 1.5;
  double RequestsPerSecond_ = 0;
  double Pending_ = 0;
  double PendingDeadly_ = 0;
  Millis Contact_ = 3000; ///< Time for processes to learn of each other.
  int NextOwn_ = 0;
};

} // namespace

TEST_P(DeadlyRequestTest, lookup_endsUpstreams_reachesFewMoreAfterTheThird) {
  makeDeadly("/check/deadly");
  runWithDeadly(24000);
  expectBoundKept();
  EXPECT_GE(servedFraction(Group_->Now_ - 6000), MinServedRatio);
}

TEST_P(DeadlyRequestTest, lookup_comesSeldom_boundIsKept) {
  makeDeadly("/check/deadly");
  DeadlyPerSecond_ = 0.2;
  runWithDeadly(60000);
  expectBoundKept();
}

TEST_P(DeadlyRequestTest, booking_endsUpstreams_reachesFewMoreAfterTheThird) {
  makeDeadly("/booking/deadly");
  runWithDeadly(24000);
  expectBoundKept();
  EXPECT_GE(servedFraction(Group_->Now_ - 6000), MinServedRatio);
}

TEST_P(DeadlyRequestTest, lookup_endsUpstreamsLate_boundIsKept) {
  makeDeadly("/check/deadly");
  Engines_->EndsLate_ = true;
  runWithDeadly(24000);
  expectBoundKept();
}

TEST_P(DeadlyRequestTest, stream_endsUpstreamsAfterItsFirstEvent_boundIsKept) {
  makeDeadly("/plan/deadly", {"common", "thing", "own"});
  Engines_->EndsLate_ = true;
  runWithDeadly(24000);
  expectBoundKept();
}

TEST_P(DeadlyRequestTest, prompt_deadlyAsAWhole_itsPartsAreServed) {
  makeDeadly("/plan/deadly", {"common", "thing", "own"});
  runWithDeadly(12000);
  const Millis From = Group_->Now_ + 1000;
  for (int I = 0; I < 20; ++I) {
    Engines_->sendPrompt(draw(Group_->size()),
                         {"common", "thing", "other-" + std::to_string(I)});
    run(500, 1, DeadlyPerSecond_);
  }
  run(2000, 1, DeadlyPerSecond_);
  expectBoundKept();
  int Served = 0;
  int Asked = 0;
  for (const PromptOutcome &Outcome : Engines_->outcomes())
    if (Outcome.Parts_.size() == 3 && Outcome.Path_ != Deadly_ &&
        Outcome.SentAt_ >= From) {
      ++Asked;
      Served += Outcome.Served_ ? 1 : 0;
    }
  EXPECT_GE(Served, MinServedRatio * Asked);
}

TEST_P(DeadlyRequestTest, lookup_thirdOfTheProcessesRestart_boundIsKept) {
  makeDeadly("/check/deadly");
  runWithDeadly(2000);
  for (int I = 0; I < Group_->size(); I += 3)
    Group_->killProcess(I, 1000);
  runWithDeadly(6000);
  for (int I = 1; I < Group_->size(); I += 3)
    Group_->killProcess(I, 1000);
  runWithDeadly(14000);
  expectBoundKept();
}

TEST_P(DeadlyRequestTest, lookup_allProcessesRestart_staysKnown) {
  makeDeadly("/check/deadly");
  runWithDeadly(14000);
  for (int I = 0; I < Group_->size(); ++I)
    Group_->killProcess(I, 1000 + 20 * I);
  runWithDeadly(14000);
  expectBoundKept();
}

TEST_P(DeadlyRequestTest, lookup_dataCentreReachesOnlyTheStore_boundIsKept) {
  makeDeadly("/check/deadly");
  Group_->SeparatedDataCentres_ = {1};
  runWithDeadly(30000);
  expectBoundKept();
}

TEST_P(DeadlyRequestTest, lookup_messagesAreLost_boundIsKept) {
  makeDeadly("/check/deadly");
  Group_->PeerMessageLossFraction_ = 0.1;
  runWithDeadly(24000);
  expectBoundKept();
}

TEST_P(DeadlyRequestTest, lookup_aSecondOneAtTheSameTime_boundIsKeptForBoth) {
  makeDeadly("/booking/deadly");
  makeDeadly("/check/deadly");
  for (int I = 0; I < 480; ++I) {
    Deadly_ = I % 2 == 0 ? "/booking/deadly" : "/check/deadly";
    run(PlatformGroup::StepDuration, 1, 2 * DeadlyPerSecond_);
  }
  expectBoundKept("/booking/deadly");
  expectBoundKept("/check/deadly");
}

TEST_P(DeadlyRequestTest, lookup_ofAnotherCaller_isServed) {
  makeDeadly("/check/deadly");
  runWithDeadly(14000);
  Engines_->DeadlyPaths_.clear();
  const Millis From = Group_->Now_;
  int Served = 0;
  std::vector<int> Sent;
  for (int I = 0; I < 10; ++I) {
    Sent.push_back(
        Engines_->sendPlain(draw(Group_->size()), "/check/deadly", "k2"));
    run(500, 1, 0);
  }
  run(2000, 1, 0);
  for (const int Index : Sent)
    Served += Engines_->outcomes()[Index].Served_ ? 1 : 0;
  EXPECT_GE(Served, 9) << "since " << From;
}

TEST_P(DeadlyRequestTest, soundRequests_halfOfTheUpstreamsEnd_areServedAgain) {
  for (int Wave = 0; Wave < 6; ++Wave) {
    for (int I = Wave % 2; I < Engines_->count(); I += 2)
      Engines_->endEngine(I);
    run(1500, 1, 0);
  }
  run(6000, 1, 0);
  const Millis From = Group_->Now_;
  run(6000, 1, 0);
  EXPECT_GE(servedFraction(From), 0.99);
}

TEST_P(DeadlyRequestTest, soundRequests_manyAnswersAreBrokenOff_areServed) {
  Engines_->setResetFraction(0.1);
  run(12000, 1, 0);
  Engines_->setResetFraction(0);
  run(3000, 1, 0);
  const Millis From = Group_->Now_;
  run(6000, 1, 0);
  EXPECT_GE(servedFraction(From), 0.99);
}

INSTANTIATE_TEST_SUITE_P(Sizes, DeadlyRequestTest,
                         ::testing::Values(4, 31, 119), [](const auto &Info) {
                           return std::to_string(Info.param);
                         });

} // namespace endivewharf
