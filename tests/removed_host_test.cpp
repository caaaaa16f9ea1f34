// Tests what a host gets after its entry was removed, by number of processes:
// beside cuts, outages of the store and a store that refuses processes.
#include "platformgroup.h"
#include "samples.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <map>
#include <memory>
#include <set>

namespace endivewharf {

namespace {

constexpr Millis WarmUpTime = 14000; // ms before the first fault
constexpr int HostCount = 16;
constexpr int MediumCluster = 8; // processes
constexpr int LargeCluster = 60; // processes
/// Time within which live hosts are listed again after an outage, in ms.
constexpr Millis RelistTime = 1900;

constexpr const char *Config = R"([account sales]
key = k2
rate = none
[service orders]
max_connections = 1000
[route check]
host = shop.example
path = /check/
kind = repeatable
time_limit = 1000ms
objective = 100ms
attempts = 2
service = orders:1
)";

/// The parameter is the number of processes.
class RemovedHostTest : public ::testing::TestWithParam<int> {
protected:
  void SetUp() override {
    const int Size = GetParam();
    DrainTime_ = Size > LargeCluster    ? 4000
                 : Size > MediumCluster ? 3000
                                        : 2000;
    ContactTime_ = DrainTime_ + 1000;
    Group_ = std::make_unique<PlatformGroup>(Size, Config);
    Group_->KnowledgeLimit_ = DrainTime_;
    for (int I = 0; I < HostCount; ++I)
      Hosts_.push_back(sampleHost("o" + std::to_string(I), "orders", "a", 1));
    Group_->setHosts(Hosts_);
    Group_->EffectObserver_ = [this](int I, const Effect &E) {
      if (const auto *Start = std::get_if<StartAttempt>(&E))
        recordAttempt(I, *Start);
    };
    run(WarmUpTime);
  }

  /// Advances the simulation while requests arrive at all processes.
  void run(Millis Time) {
    Group_->runFor(Time, [&] {
      for (int I = 0; I < Group_->size(); ++I)
        if (Group_->size() < MediumCluster || (I + ++Turn_) % 3 == 0)
          Group_->sendRequest(I, "/check/1", "k2", 0);
    });
  }

  /// Removes the entry of the last host on the list.
  void removeHost() {
    RemovedAt_[Hosts_.back().Host_.Name_] = Group_->Now_;
    Hosts_.pop_back();
    Group_->setHosts(Hosts_);
  }

  /// Lets a process not count until `countAgain()`.
  void excuse(int I) { InTouchFrom_[I] = std::numeric_limits<Millis>::max(); }
  /// Lets a process count again once it has been in touch for long enough.
  void countAgain(int I) { InTouchFrom_[I] = Group_->Now_ + ContactTime_; }

  /// Cuts off every third process, or one of a few.
  /// @param Of set of the group to which they are added
  std::vector<int> cutSome(std::set<int> &Of, int Round) {
    std::vector<int> Cut;
    for (int I = Round % 3; I < Group_->size(); I += 3)
      if (Group_->size() > MediumCluster || Cut.empty())
        Cut.push_back(I);
    Of.insert(Cut.begin(), Cut.end());
    return Cut;
  }

  /// Expects that no host got a request of a process in touch later than a
  /// drain time after its removal.
  void expectNoLateRequests() const {
    EXPECT_EQ(LateRequests_, 0)
        << "the latest " << Latest_ << " ms after the removal";
  }

  std::unique_ptr<PlatformGroup> Group_;
  std::vector<HostRow> Hosts_;
  Millis DrainTime_ = 0;
  Millis ContactTime_ = 0;

private:
  void recordAttempt(int I, const StartAttempt &Start) {
    const auto Removed = RemovedAt_.find(Start.Host_);
    if (Removed == RemovedAt_.end())
      return;
    const Millis Age = Group_->Now_ - Removed->second;
    const auto InTouch = InTouchFrom_.find(I);
    if (Age <= DrainTime_ ||
        (InTouch != InTouchFrom_.end() && Group_->Now_ < InTouch->second))
      return;
    ++LateRequests_;
    Latest_ = std::max(Latest_, Age);
  }

  std::map<std::string, Millis> RemovedAt_;
  std::map<int, Millis> InTouchFrom_;
  int Turn_ = 0;
  int LateRequests_ = 0;
  Millis Latest_ = 0;
};

} // namespace

TEST_P(RemovedHostTest,
       host_removedDuringACut_getsNothingFromProcessesInTouch) {
  for (int Round = 0; Round < 8; ++Round) {
    const std::vector<int> Cut = cutSome(Group_->IsolatedProcesses_, Round);
    for (const int I : Cut)
      excuse(I);
    run(100 + 70 * Round);
    removeHost();
    run(5200 + 90 * Round);
    Group_->IsolatedProcesses_.clear();
    for (const int I : Cut)
      countAgain(I);
    run(ContactTime_ + 3000);
  }
  expectNoLateRequests();
}

TEST_P(RemovedHostTest,
       host_removedJustAfterAnOutage_isNotKeptUntilTheNextList) {
  for (int Round = 0; Round < 4; ++Round) {
    for (int I = 0; I < Group_->size(); ++I)
      Group_->ProcessesWithoutStore_.insert(I);
    run(4000);
    Group_->ProcessesWithoutStore_.clear();
    for (int I = 0; I < Group_->size(); ++I)
      countAgain(I);
    run(1200 + 100 * Round);
    removeHost();
    run(ContactTime_ + 6000);
  }
  expectNoLateRequests();
}

TEST_P(RemovedHostTest,
       host_removedWhileTheStoreRefusesSome_getsNothingFromThem) {
  for (int Round = 0; Round < 4; ++Round) {
    cutSome(Group_->ProcessesWithoutStore_, Round);
    run(4000);
    removeHost();
    run(DrainTime_ + 2000);
    Group_->ProcessesWithoutStore_.clear();
    run(4000);
  }
  expectNoLateRequests();
}

TEST_P(RemovedHostTest, entries_lapsedDuringAnOutage_areKeptUntilListedAgain) {
  for (int I = 0; I < Group_->size(); ++I)
    Group_->ProcessesWithoutStore_.insert(I);
  run(4000);
  Group_->setHosts({Hosts_.begin(), Hosts_.begin() + HostCount / 2});
  Group_->ProcessesWithoutStore_.clear();
  for (Millis Elapsed = 0; Elapsed < RelistTime; Elapsed += 50) {
    run(50);
    for (int I = 0; I < Group_->size(); ++I)
      for (const Upstream &U : Group_->processState(I).Upstreams_)
        ASSERT_TRUE(U.Listed_) << I << " " << Elapsed;
  }
  Group_->setHosts(Hosts_);
  run(2000);
  for (const Upstream &U : Group_->processState(0).Upstreams_)
    EXPECT_TRUE(U.InLatestList_);
}

INSTANTIATE_TEST_SUITE_P(Sizes, RemovedHostTest, ::testing::Values(4, 31, 119));

} // namespace endivewharf
