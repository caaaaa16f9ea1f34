// Promises 4 and 5: at most once, and "not run" is true.
#include "fixture.h"

namespace endivewharf::fakes {

namespace {

class ClaimsTest : public WorldTest {
protected:
  int runs(const std::string &Key) { return World_->Executions_[Key]; }

  /// Every refusal that says "not run" has to be true: the key had not run by
  /// then, and this call never did.
  void expectTruth() {
    for (const Outcome &O : World_->outcomes()) {
      const bool NotRun = O.Ended_ && !O.Answered_ && !O.Cut_ &&
                          O.Request_.Kind_ == CallKind::Service &&
                          O.Error_.Run_ == RunState::NotRun;
      if (!NotRun)
        continue;
      EXPECT_EQ(O.RunsAtRefusal_, 0) << O.Request_.IdempotencyKey_;
      EXPECT_EQ(World_->ExecutionsByRequest_[O.Request_.RequestId_], 0)
          << O.Request_.IdempotencyKey_ << ": " << O.Error_.Detail_;
    }
  }
};

} // namespace

TEST_F(ClaimsTest, booking_sentOnce_runsOnce) {
  World &W = start();
  const auto Which = W.send(0, booking("k"));
  W.run(1000);
  EXPECT_TRUE(W.outcome(Which).Answered_);
  EXPECT_EQ(runs("k"), 1);
}

TEST_F(ClaimsTest, booking_sentAgainElsewhere_getsTheFirstAnswer) {
  World &W = start();
  const auto First = W.send(0, booking("k"));
  W.run(1000);
  const auto Second = W.send(3, booking("k"));
  W.run(1000);
  EXPECT_EQ(W.outcome(Second).Body_, W.outcome(First).Body_);
  EXPECT_TRUE(W.outcome(Second).Replayed_);
  EXPECT_EQ(runs("k"), 1);
}

TEST_F(ClaimsTest, booking_sentThroughAllEntriesAtOnce_runsOnce) {
  World &W = start();
  std::vector<std::size_t> All;
  for (int I = 0; I < 4; ++I)
    All.push_back(W.send(I, booking("k")));
  W.run(2000);
  EXPECT_EQ(runs("k"), 1);
  for (const auto Which : All)
    EXPECT_TRUE(W.outcome(Which).Answered_);
}

TEST_F(ClaimsTest, booking_entryKilledAtEachMoment_runsAtMostOnce) {
  for (Millis Moment = 0; Moment <= 40; Moment += 2) {
    World &W = start();
    W.send(0, booking("k"));
    W.run(Moment);
    W.kill(0);
    const auto Again = W.send(1, booking("k"));
    W.run(3000);
    EXPECT_LE(runs("k"), 1) << Moment;
    const Outcome &O = W.outcome(Again);
    const bool NotRun =
        O.Ended_ && !O.Answered_ && O.Error_.Run_ == RunState::NotRun;
    EXPECT_TRUE(!NotRun || runs("k") == 0) << Moment;
  }
}

TEST_F(ClaimsTest, booking_replyLost_isUnknownAndNeverRunAgain) {
  World &W = start();
  for (FakeService &S : W.Services_)
    S.LoseReplies_ = 1;
  const auto First = W.send(0, booking("k"));
  W.run(7000);
  EXPECT_EQ(W.outcome(First).Error_.Run_, RunState::Unknown);
  const auto Second = W.send(1, booking("k"));
  W.run(3000);
  EXPECT_FALSE(W.outcome(Second).Answered_);
  EXPECT_EQ(W.outcome(Second).Error_.Run_, RunState::Unknown);
  EXPECT_EQ(runs("k"), 1);
}

TEST_F(ClaimsTest, booking_serviceRefuses_isNotRunAndMayBeSentAgain) {
  World &W = start();
  for (FakeService &S : W.Services_)
    S.Refuse_ = true;
  CallRequest Request = booking("k");
  Request.TimeLimit_ = 1500;
  const auto First = W.send(0, Request);
  W.run(3000);
  EXPECT_EQ(W.outcome(First).Error_.Run_, RunState::NotRun);
  for (FakeService &S : W.Services_)
    S.Refuse_ = false;
  W.run(2000);
  const auto Second = W.send(1, booking("k"));
  W.run(2000);
  EXPECT_TRUE(W.outcome(Second).Answered_);
  EXPECT_EQ(runs("k"), 1);
}

TEST_F(ClaimsTest, booking_appendReplyLost_isSettledByReading) {
  World &W = start();
  W.LoseAppendReplies_ = 1;
  const auto Which = W.send(0, booking("k"));
  W.run(2000);
  EXPECT_TRUE(W.outcome(Which).Answered_);
  EXPECT_EQ(runs("k"), 1);
}

TEST_F(ClaimsTest, booking_logDown_isRefusedAtOnceAndNeverRuns) {
  World &W = start();
  W.LogDown_ = true;
  W.run(1500);
  const auto Which = W.send(0, booking("k"));
  EXPECT_TRUE(W.outcome(Which).Ended_);
  EXPECT_EQ(W.outcome(Which).Error_.Kind_, ErrorKind::ControlUnavailable);
  EXPECT_EQ(W.outcome(Which).Error_.Run_, RunState::Unknown);
  EXPECT_GT(W.outcome(Which).Error_.RetryAfter_, 0);
  W.LogDown_ = false;
  W.run(5000);
  EXPECT_EQ(runs("k"), 0);
}

TEST_F(ClaimsTest, booking_logLostWhileClaiming_isReleasedLater) {
  World &W = start();
  CallRequest Request = booking("k");
  Request.TimeLimit_ = 800;
  const auto First = W.send(0, Request);
  W.cutPlatform("dc0", true); // the append is under way, its reading is not
  W.run(3000);
  EXPECT_FALSE(W.outcome(First).Answered_);
  EXPECT_EQ(runs("k"), 0);
  W.cutPlatform("dc0", false);
  W.run(5000);
  const auto Second = W.send(1, booking("k"));
  W.run(3000);
  EXPECT_TRUE(W.outcome(Second).Answered_);
  EXPECT_EQ(runs("k"), 1);
}

TEST_F(ClaimsTest, booking_entryPausedAndWoken_runsAtMostOnce) {
  for (Millis Moment = 0; Moment <= 30; Moment += 3) {
    World &W = start();
    const auto First = W.send(0, booking("k"));
    W.run(Moment);
    W.pause(0);
    W.run(6000); // past every lease
    const auto Second = W.send(1, booking("k"));
    W.run(4000);
    W.wake(0);
    W.run(3000);
    EXPECT_LE(runs("k"), 1) << Moment;
    static_cast<void>(First);
    static_cast<void>(Second);
  }
}

TEST_F(ClaimsTest, booking_keyOfAnotherCall_isRefused) {
  World &W = start();
  W.send(0, booking("k"));
  W.run(1000);
  CallRequest Other = booking("k");
  Other.Body_ = "something else";
  const auto Which = W.send(1, Other);
  W.run(1000);
  EXPECT_EQ(W.outcome(Which).Error_.Kind_, ErrorKind::KeyInUse);
  EXPECT_EQ(runs("k"), 1);
}

TEST_F(ClaimsTest, booking_withoutKey_isNeverSentTwice) {
  World &W = start();
  for (FakeService &S : W.Services_)
    S.LoseReplies_ = 1;
  CallRequest Request = booking("");
  Request.RequestId_ = "plain-1";
  const auto Which = W.send(0, Request);
  W.run(8000);
  EXPECT_EQ(W.outcome(Which).Error_.Run_, RunState::Unknown);
  EXPECT_EQ(runs("plain-1"), 1);
}

TEST_F(ClaimsTest, call_repeatableAndReplyLost_isTriedAgain) {
  World &W = start();
  for (FakeService &S : W.Services_)
    S.LoseReplies_ = 1;
  W.Services_[1].LoseReplies_ = W.Services_[2].LoseReplies_ = 0;
  CallRequest Request = booking("");
  Request.Method_ = "GET";
  const auto Which = W.send(0, Request);
  W.run(8000);
  EXPECT_TRUE(W.outcome(Which).Answered_);
}

TEST_F(ClaimsTest, process_fellBehindRetention_claimsNothing) {
  World &W = start();
  W.pause(1);
  W.run(100);
  for (int I = 0; I < 10; ++I)
    W.publish(VerdictRecord{});
  W.LogEarliest_ += static_cast<LogOffset>(W.LogRecords_.size());
  W.LogRecords_.clear();
  W.wake(1);
  W.run(3000);
  const auto Which = W.send(1, booking("k"));
  W.run(1000);
  EXPECT_EQ(W.outcome(Which).Error_.Kind_, ErrorKind::ControlUnavailable);
  EXPECT_EQ(W.outcome(Which).Error_.Run_, RunState::Unknown);
  EXPECT_EQ(runs("k"), 0);
}

TEST_F(ClaimsTest, bookings_underRandomFaults_tellTheTruth) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    World &W = start(Options);
    W.LoseAppendReplies_ = 0.2;
    W.DropAppends_ = 0.2;
    for (int I = 0; I < 60; ++I) {
      const int Key = I / 3;
      CallRequest Request = booking(fmt::format("k{}", Key));
      Request.TimeLimit_ = 1000;
      W.send(static_cast<int>(W.Random_() % 4), Request);
      FakeService &S = W.Services_[W.Random_() % 3];
      S.Refuse_ = W.Random_() % 4 == 0;
      S.LoseReplies_ = W.Random_() % 8 == 0 ? 1 : 0;
      W.LogDown_ = W.Random_() % 6 == 0;
      W.run(static_cast<Millis>(W.Random_() % 120));
    }
    W.LogDown_ = false;
    W.run(20000);
    for (const auto &[Key, Times] : W.Executions_)
      EXPECT_LE(Times, 1) << Key << " seed " << Seed;
    expectTruth();
  }
}

} // namespace endivewharf::fakes
