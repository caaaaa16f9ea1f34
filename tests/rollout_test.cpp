// Moves of a service to hosts of another version: a small share until the time
// is nearly up, none after a verdict, states written once.
#include "platformfixture.h"

#include "release.h"
#include "rollout.h"

namespace endivewharf {

namespace {

class RolloutTest : public PlatformTest {
protected:
  void order(LogOffset Offset = 20) {
    auto Rows = hosts();
    Rows.push_back(host("n1", "orders", "a", 1));
    Rows.back().Version_ = "v2";
    Rows.push_back(host("n2", "orders", "b", 1));
    Rows.back().Version_ = "v2";
    feed(HostsRead{Rows});
    feed(OperatorRead{Offset + 1,
                      {{Offset, OrderedMove{"orders", "v2", 12000}}}});
  }

  /// Runs on with requests and a log; answers with a status by version.
  void run(Millis Time, int NewStatus) {
    for (Millis Passed = 0; Passed < Time; Passed += 50) {
      after(50);
      const Effects Now = All_;
      for (const Effect &E : Now) {
        if (const auto *Append = std::get_if<AppendToLog>(&E))
          appended(*Append);
        if (const auto *Written = std::get_if<WriteMoveState>(&E)) {
          States_.push_back(Written->State_);
          feed(MoveStateWritten{Written->Service_, Written->To_,
                                Written->State_, true});
        }
      }
      for (int I = 0; I < 4; ++I)
        ask(NewStatus);
    }
  }

  void ask(int NewStatus) {
    const StartAttempt Start = dispatched("/booking/1");
    const bool New = Start.Host_.front() == 'n';
    ++(New ? New_ : Old_);
    feed(ServiceReply{Start.Attempt_, New ? NewStatus : 200, "", "", {}});
  }

  int Old_ = 0;
  int New_ = 0;
  std::vector<std::string> States_;
};

} // namespace

TEST_F(RolloutTest, goodVersion_timeNearlyUp_isCompleteBeforeIt) {
  takeLease();
  order();
  run(12000, 200);
  ASSERT_FALSE(States_.empty());
  EXPECT_EQ(States_.back(), "complete");
  EXPECT_LE(New_, (Old_ + New_) / 10 + 50 + 100);
  EXPECT_EQ(S_.Release_.Moves_.at("orders").Row_.Share_, 1);
}

TEST_F(RolloutTest, badVersion_isTakenBackAfterFewAnswers) {
  takeLease();
  order();
  run(10000, 500);
  ASSERT_FALSE(States_.empty());
  EXPECT_EQ(States_.back(), "rolled_back");
  EXPECT_LT(New_, 40);
  New_ = 0;
  run(1000, 500);
  EXPECT_EQ(New_, 0);
}

TEST_F(RolloutTest, verdict_readAfterARestart_holds) {
  start(2);
  feed(LogRead{
      0, 30, true, {{25, VerdictRecord{{20, "orders", "bad before"}}}}});
  order(20);
  EXPECT_TRUE(S_.Release_.Moves_.at("orders").Row_.Bad_);
}

TEST_F(RolloutTest, share_toldByAPeer_isTakenOver) {
  order();
  hearOf("entry-2", 9);
  SumsMessage M;
  M.Moves_.push_back({20, "20", 0, "orders", "", "v2", 1, false, ""});
  sums("entry-2", 9, M);
  EXPECT_EQ(S_.Release_.Moves_.at("orders").Row_.Share_, 1);
}

TEST_F(RolloutTest, order_olderThanTheKnownOne_changesNothing) {
  order(20);
  feed(OperatorRead{30, {{10, OrderedMove{"orders", "v0", 12000}}}});
  EXPECT_EQ(S_.Release_.Moves_.at("orders").Row_.To_, "v2");
}

} // namespace endivewharf
