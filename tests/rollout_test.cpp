// Moves of a service to hosts of another version: a small share until the time
// is nearly up, none after a verdict, states written once.
#include "platformfixture.h"

#include "release.h"
#include "rollout.h"

namespace endivewharf {

namespace {

class RolloutTest : public PlatformTest {
protected:
  void requestRollout(LogOffset Offset = 20) {
    auto Rows = makeHosts();
    Rows.push_back(makeHost("n1", "orders", "a", 1));
    Rows.back().Version_ = "v2";
    Rows.push_back(makeHost("n2", "orders", "b", 1));
    Rows.back().Version_ = "v2";
    reduceEvent(HostsRead{Rows});
    reduceEvent(OperatorLogRead{
        Offset + 1, {{Offset, RolloutRequest{"orders", "v2", 12000}}}});
  }

  /// Runs on with requests and a log; answers with a status by version.
  void runFor(Millis Time, int NewStatus) {
    for (Millis Passed = 0; Passed < Time; Passed += 50) {
      advanceTime(50);
      const Effects Now = LastEffects_;
      for (const Effect &E : Now) {
        if (const auto *Append = std::get_if<AppendToLog>(&E))
          completeAppend(*Append);
        if (const auto *Written = std::get_if<WriteRolloutStatus>(&E)) {
          WrittenStatuses_.push_back(Written->Status_);
          reduceEvent(RolloutStatusWritten{
              Written->Service_, Written->ToVersion_, Written->Status_, true});
        }
      }
      for (int I = 0; I < 4; ++I)
        answerBooking(NewStatus);
    }
  }

  void answerBooking(int NewStatus) {
    const StartAttempt Start = dispatchRequest("/booking/1");
    const bool New = Start.Host_.front() == 'n';
    ++(New ? NewAnswers_ : OldAnswers_);
    reduceEvent(
        ServiceAnswer{Start.Attempt_, New ? NewStatus : 200, "", "", {}});
  }

  int OldAnswers_ = 0;
  int NewAnswers_ = 0;
  std::vector<std::string> WrittenStatuses_;
};

} // namespace

TEST_F(RolloutTest, goodVersion_timeNearlyUp_isCompleteBeforeIt) {
  acquireLease();
  requestRollout();
  runFor(12000, 200);
  ASSERT_FALSE(WrittenStatuses_.empty());
  EXPECT_EQ(WrittenStatuses_.back(), "complete");
  EXPECT_LE(NewAnswers_, (OldAnswers_ + NewAnswers_) / 10 + 50 + 100);
  EXPECT_EQ(State_.Release_.Rollouts_.at("orders").Row_.Share_, 1);
}

TEST_F(RolloutTest, badVersion_isTakenBackAfterFewAnswers) {
  acquireLease();
  requestRollout();
  runFor(10000, 500);
  ASSERT_FALSE(WrittenStatuses_.empty());
  EXPECT_EQ(WrittenStatuses_.back(), "rolled_back");
  EXPECT_LT(NewAnswers_, 40);
  NewAnswers_ = 0;
  runFor(1000, 500);
  EXPECT_EQ(NewAnswers_, 0);
}

TEST_F(RolloutTest, verdict_readAfterARestart_holds) {
  startProcess(2);
  reduceEvent(LogRead{
      0, 30, true, {{25, VerdictRecord{{20, "orders", "bad before"}}}}});
  requestRollout(20);
  EXPECT_TRUE(State_.Release_.Rollouts_.at("orders").Row_.RolledBack_);
}

TEST_F(RolloutTest, share_toldByAPeer_isTakenOver) {
  requestRollout();
  receiveDigestFrom("entry-2", 9);
  SummaryMessage M;
  M.Rollouts_.push_back({20, "20", 0, "orders", "", "v2", 1, false, ""});
  receiveSummary("entry-2", 9, M);
  EXPECT_EQ(State_.Release_.Rollouts_.at("orders").Row_.Share_, 1);
}

TEST_F(RolloutTest, order_olderThanTheKnownOne_changesNothing) {
  requestRollout(20);
  reduceEvent(
      OperatorLogRead{30, {{10, RolloutRequest{"orders", "v0", 12000}}}});
  EXPECT_EQ(State_.Release_.Rollouts_.at("orders").Row_.ToVersion_, "v2");
}

} // namespace endivewharf
