// Tests of rollouts of a service to hosts of another version: a small share
// of the traffic until the time is nearly over, no requests after a bad
// verdict, and every status written once.
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

  /// Advances the time with a log that accepts all appends, and sends and
  /// answers four requests in every 50 ms.
  /// @param NewStatus HTTP status that hosts of the new version answer; hosts
  /// of the old one answer 200
  void runFor(Millis Time, int NewStatus) {
    for (Millis Passed = 0; Passed < Time; Passed += 50) {
      advanceTime(50);
      const Effects Pending = LastEffects_;
      for (const Effect &E : Pending) {
        if (const auto *Append = std::get_if<AppendToLog>(&E))
          completeAppend(*Append);
        if (const auto *Status = std::get_if<WriteRolloutStatus>(&E)) {
          WrittenStatuses_.push_back(Status->Status_);
          reduceEvent(RolloutStatusWritten{Status->Service_, Status->ToVersion_,
                                           Status->Status_, true});
        }
      }
      for (int I = 0; I < 4; ++I)
        answerBooking(NewStatus);
    }
  }

  void answerBooking(int NewStatus) {
    const StartAttempt Start = dispatchRequest("/booking/1");
    const bool IsNewVersion = Start.Host_.front() == 'n';
    ++(IsNewVersion ? NewAnswers_ : OldAnswers_);
    reduceEvent(ServiceAnswer{
        Start.Attempt_, IsNewVersion ? NewStatus : 200, "", "", {}});
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
  SummaryMessage Summary;
  Summary.Rollouts_.push_back({20, "20", 0, "orders", "", "v2", 1, false, ""});
  receiveSummary("entry-2", 9, Summary);
  EXPECT_EQ(State_.Release_.Rollouts_.at("orders").Row_.Share_, 1);
}

TEST_F(RolloutTest, order_olderThanTheKnownOne_changesNothing) {
  requestRollout(20);
  reduceEvent(
      OperatorLogRead{30, {{10, RolloutRequest{"orders", "v0", 12000}}}});
  EXPECT_EQ(State_.Release_.Rollouts_.at("orders").Row_.ToVersion_, "v2");
}

} // namespace endivewharf
