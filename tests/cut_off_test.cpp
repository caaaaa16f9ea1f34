// Tests of processes that lose their links to all upstreams while callers,
// peers and the store reach them, of upstreams that are silent for a moment,
// and of upstreams that fall over when they have to refuse too many requests.
#include "simulatedengines.h"

#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace endivewharf {

namespace {

constexpr Millis WarmUpTime = 14000; // ms before the traffic starts
constexpr double MinServedAgainstOthers = 2.0 / 3;
constexpr int LargeCluster = 60; // processes

/// The parameter is the number of processes.
class CutOffTest : public ::testing::TestWithParam<int> {
protected:
  void SetUp() override {
    const int ProcessCount = GetParam();
    Group_ =
        std::make_unique<PlatformGroup>(ProcessCount, SimulatedEngines::Config);
    const int EngineCount = ProcessCount < 10 ? 3 : ProcessCount / 3;
    Engines_ = std::make_unique<SimulatedEngines>(*Group_, EngineCount);
    RequestsPerSecond_ = 8.0 * EngineCount;
    Contact_ = ProcessCount > LargeCluster ? 5000 : 3000;
    run(WarmUpTime, 0);
    run(4000);
  }

  /// Advances the simulation and sends lookups, bookings and prompts to random
  /// processes.
  void run(Millis Time, double Multiple = 1) {
    Group_->runFor(Time, [&] {
      Engines_->step();
      Pending_ +=
          RequestsPerSecond_ * Multiple * PlatformGroup::StepDuration / 1000;
      for (; Pending_ >= 1; Pending_ -= 1)
        sendRequest();
    });
  }

  void sendRequest() {
    const int Process = draw(Group_->size());
    const std::string Own = std::to_string(NextOwn_++);
    switch (draw(3)) {
    case 0:
      Engines_->sendPlain(Process, "/booking/" + Own);
      break;
    case 1:
      Engines_->sendPlain(Process, "/check/" + Own);
      break;
    default:
      Engines_->sendPrompt(Process, {"common", "own-" + Own});
      break;
    }
  }

  int draw(int Count) {
    return static_cast<int>(RandomGenerator_() %
                            static_cast<std::uint32_t>(Count));
  }

  /// Fraction of the requests sent in a time span that were served.
  /// @param OfCut at processes that are cut off, or at all others
  double servedFraction(Millis From, bool OfCut) const {
    int Asked = 0;
    int Served = 0;
    for (const PromptOutcome &Outcome : Engines_->outcomes()) {
      if (Outcome.SentAt_ < From || Outcome.SentAt_ > Group_->Now_ - 1500 ||
          (Engines_->CutProcesses_.count(Outcome.Process_) > 0) != OfCut)
        continue;
      ++Asked;
      Served += Outcome.Served_ ? 1 : 0;
    }
    return Asked == 0 ? 1 : static_cast<double>(Served) / Asked;
  }

  /// Cuts processes off for 12 s and checks what their callers get.
  /// @param First index of the first one; every `Step`-th process is cut off
  void expectServedBehindCut(int First, int Step) {
    for (int I = First; I < Group_->size(); I += Step)
      Engines_->CutProcesses_.insert(I);
    run(Contact_);
    const Millis From = Group_->Now_;
    run(9000);
    EXPECT_GE(servedFraction(From, true),
              MinServedAgainstOthers * servedFraction(From, false));
    EXPECT_GE(servedFraction(From, false), 0.9);
  }

  /// @return attempts that reached an engine beyond the first of each booking
  int repeatedBookings() const {
    int Count = 0;
    for (const PromptOutcome &Outcome : Engines_->outcomes())
      if (Outcome.Path_.rfind("/booking/", 0) == 0)
        Count += std::max(0, Outcome.Arrivals_ - 1);
    return Count;
  }

  std::unique_ptr<PlatformGroup> Group_;
  std::unique_ptr<SimulatedEngines> Engines_;
  std::mt19937 RandomGenerator_{20261205};
  double RequestsPerSecond_ = 0;
  double Pending_ = 0;
  Millis Contact_ = 3000; ///< Time for processes to learn of each other.
  int NextOwn_ = 0;
};

} // namespace

TEST_P(CutOffTest, oneProcess_reachesNoUpstream_itsCallersAreServed) {
  expectServedBehindCut(0, Group_->size());
}

TEST_P(CutOffTest, dataCentre_reachesNoUpstream_itsCallersAreServed) {
  expectServedBehindCut(1, PlatformGroup::DataCentreCount);
}

TEST_P(CutOffTest, dataCentre_onlyKeptConnectionsLiveOn_itsCallersAreServed) {
  Engines_->KeptFraction_ = 0.3;
  expectServedBehindCut(1, PlatformGroup::DataCentreCount);
}

TEST_P(CutOffTest, allButOne_reachNoUpstream_bookingsRunOnce) {
  for (int I = 1; I < Group_->size(); ++I)
    Engines_->CutProcesses_.insert(I);
  run(12000);
  Engines_->CutProcesses_.clear();
  run(4000);
  EXPECT_EQ(repeatedBookings(), 0);
}

TEST_P(CutOffTest, cut_ends_itsCallersAreServedSoon) {
  for (int I = 0; I < Group_->size(); I += 2)
    Engines_->CutProcesses_.insert(I);
  run(12000);
  const std::set<int> Cut = Engines_->CutProcesses_;
  Engines_->CutProcesses_.clear();
  run(Contact_);
  const Millis From = Group_->Now_;
  run(5000);
  EXPECT_GE(servedFraction(From, false), 0.95);
}

TEST_P(CutOffTest, upstream_silentForASecond_isNoReasonToRepeatOrEject) {
  const Millis Before = Group_->Now_;
  Engines_->silenceEngine(0, 1200);
  run(1200);
  const Millis After = Group_->Now_;
  run(3000);
  EXPECT_EQ(repeatedBookings(), 0);
  EXPECT_GE(servedFraction(Before, false), 0.99);
  const double Mean = RequestsPerSecond_ * 3 / Engines_->count();
  EXPECT_GE(Engines_->arrivalsAt(0, After), Mean / 2);
}

TEST_P(CutOffTest, brittleUpstreams_overloaded_fallOverSeldom) {
  constexpr int Slots = 4;
  constexpr int MaxRefusals = 6;
  for (int I = 0; I < Engines_->count(); ++I)
    Engines_->setRoom(I, Slots, MaxRefusals);
  run(10000, 1.5);
  EXPECT_LE(Engines_->fallCount(), 2 + Engines_->count() / 10);
}

INSTANTIATE_TEST_SUITE_P(Sizes, CutOffTest, ::testing::Values(4, 31, 119),
                         [](const auto &Info) {
                           return std::to_string(Info.param);
                         });

} // namespace endivewharf
