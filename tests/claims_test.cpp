// Tests of claims: an unrepeatable request runs at most once, and an error
// that says "not run" is true.
#include "fixture.h"

namespace endivewharf::fakes {

namespace {

class ClaimsTest : public WorldTest {
protected:
  int executionCount(const std::string &Key) {
    return World_->ExecutionsByKey_[Key];
  }

  /// Checks every error that says "not run": the idempotency key had not run
  /// when the error was sent, and the request itself never runs.
  void expectNotRunErrorsCorrect() {
    for (const Outcome &O : World_->outcomes()) {
      const bool NotRun = O.Ended_ && !O.Answered_ && !O.EntryDied_ &&
                          O.Request_.Kind_ == CallKind::Service &&
                          O.Error_.RunState_ == RunState::NotRun;
      if (!NotRun)
        continue;
      EXPECT_EQ(O.ExecutionsAtRefusal_, 0) << O.Request_.IdempotencyKey_;
      EXPECT_EQ(World_->ExecutionsByRequest_[O.Request_.RequestId_], 0)
          << O.Request_.IdempotencyKey_ << ": " << O.Error_.Detail_;
    }
  }
};

} // namespace

TEST_F(ClaimsTest, booking_sentOnce_runsOnce) {
  World &W = startProcesses();
  const auto RequestIndex = W.sendRequest(0, makeServiceRequest("k"));
  W.runFor(1000);
  EXPECT_TRUE(W.outcome(RequestIndex).Answered_);
  EXPECT_EQ(executionCount("k"), 1);
}

TEST_F(ClaimsTest, booking_sentAgainElsewhere_getsTheFirstAnswer) {
  World &W = startProcesses();
  const auto First = W.sendRequest(0, makeServiceRequest("k"));
  W.runFor(1000);
  const auto Second = W.sendRequest(3, makeServiceRequest("k"));
  W.runFor(1000);
  EXPECT_EQ(W.outcome(Second).Body_, W.outcome(First).Body_);
  EXPECT_TRUE(W.outcome(Second).Replayed_);
  EXPECT_EQ(executionCount("k"), 1);
}

TEST_F(ClaimsTest, booking_sentThroughAllEntriesAtOnce_runsOnce) {
  World &W = startProcesses();
  std::vector<std::size_t> RequestIndices;
  for (int I = 0; I < 4; ++I)
    RequestIndices.push_back(W.sendRequest(I, makeServiceRequest("k")));
  W.runFor(2000);
  EXPECT_EQ(executionCount("k"), 1);
  for (const auto RequestIndex : RequestIndices)
    EXPECT_TRUE(W.outcome(RequestIndex).Answered_);
}

TEST_F(ClaimsTest, booking_entryKilledAtEachMoment_runsAtMostOnce) {
  for (Millis Moment = 0; Moment <= 40; Moment += 2) {
    World &W = startProcesses();
    W.sendRequest(0, makeServiceRequest("k"));
    W.runFor(Moment);
    W.killEntry(0);
    const auto RetryIndex = W.sendRequest(1, makeServiceRequest("k"));
    W.runFor(3000);
    EXPECT_LE(executionCount("k"), 1) << Moment;
    const Outcome &O = W.outcome(RetryIndex);
    const bool NotRun =
        O.Ended_ && !O.Answered_ && O.Error_.RunState_ == RunState::NotRun;
    EXPECT_TRUE(!NotRun || executionCount("k") == 0) << Moment;
  }
}

TEST_F(ClaimsTest, booking_replyLost_isUnknownAndNeverRunAgain) {
  World &W = startProcesses();
  for (FakeService &S : W.Services_)
    S.RepliesToLose_ = 1;
  const auto First = W.sendRequest(0, makeServiceRequest("k"));
  W.runFor(7000);
  EXPECT_EQ(W.outcome(First).Error_.RunState_, RunState::Unknown);
  const auto Second = W.sendRequest(1, makeServiceRequest("k"));
  W.runFor(3000);
  EXPECT_FALSE(W.outcome(Second).Answered_);
  EXPECT_EQ(W.outcome(Second).Error_.RunState_, RunState::Unknown);
  EXPECT_EQ(executionCount("k"), 1);
}

TEST_F(ClaimsTest, booking_serviceRefuses_isNotRunAndMayBeSentAgain) {
  World &W = startProcesses();
  for (FakeService &S : W.Services_)
    S.RefusesRequests_ = true;
  CallRequest Request = makeServiceRequest("k");
  Request.TimeLimit_ = 1500;
  const auto First = W.sendRequest(0, Request);
  W.runFor(3000);
  EXPECT_EQ(W.outcome(First).Error_.RunState_, RunState::NotRun);
  for (FakeService &S : W.Services_)
    S.RefusesRequests_ = false;
  W.runFor(2000);
  const auto Second = W.sendRequest(1, makeServiceRequest("k"));
  W.runFor(2000);
  EXPECT_TRUE(W.outcome(Second).Answered_);
  EXPECT_EQ(executionCount("k"), 1);
}

TEST_F(ClaimsTest, booking_appendReplyLost_isSettledByReading) {
  World &W = startProcesses();
  W.LostAppendReplyFraction_ = 1;
  const auto RequestIndex = W.sendRequest(0, makeServiceRequest("k"));
  W.runFor(2000);
  EXPECT_TRUE(W.outcome(RequestIndex).Answered_);
  EXPECT_EQ(executionCount("k"), 1);
}

TEST_F(ClaimsTest, booking_logDown_isRefusedAtOnceAndNeverRuns) {
  World &W = startProcesses();
  W.LogUnavailable_ = true;
  W.runFor(1500);
  const auto RequestIndex = W.sendRequest(0, makeServiceRequest("k"));
  EXPECT_TRUE(W.outcome(RequestIndex).Ended_);
  EXPECT_EQ(W.outcome(RequestIndex).Error_.Kind_, ErrorKind::LogUnavailable);
  EXPECT_EQ(W.outcome(RequestIndex).Error_.RunState_, RunState::Unknown);
  EXPECT_GT(W.outcome(RequestIndex).Error_.RetryAfter_, 0);
  W.LogUnavailable_ = false;
  W.runFor(5000);
  EXPECT_EQ(executionCount("k"), 0);
}

TEST_F(ClaimsTest, booking_logLostWhileClaiming_isReleasedLater) {
  World &W = startProcesses();
  CallRequest Request = makeServiceRequest("k");
  Request.TimeLimit_ = 800;
  const auto First = W.sendRequest(0, Request);
  // The append has been sent; its record cannot be read back.
  W.setPlatformUnreachable("dc0", true);
  W.runFor(3000);
  EXPECT_FALSE(W.outcome(First).Answered_);
  EXPECT_EQ(executionCount("k"), 0);
  W.setPlatformUnreachable("dc0", false);
  W.runFor(5000);
  const auto Second = W.sendRequest(1, makeServiceRequest("k"));
  W.runFor(3000);
  EXPECT_TRUE(W.outcome(Second).Answered_);
  EXPECT_EQ(executionCount("k"), 1);
}

TEST_F(ClaimsTest, booking_entryPausedAndWoken_runsAtMostOnce) {
  for (Millis Moment = 0; Moment <= 30; Moment += 3) {
    World &W = startProcesses();
    const auto First = W.sendRequest(0, makeServiceRequest("k"));
    W.runFor(Moment);
    W.pauseEntry(0);
    W.runFor(6000); // Longer than every lease.
    const auto Second = W.sendRequest(1, makeServiceRequest("k"));
    W.runFor(4000);
    W.unpauseEntry(0);
    W.runFor(3000);
    EXPECT_LE(executionCount("k"), 1) << Moment;
    static_cast<void>(First);
    static_cast<void>(Second);
  }
}

TEST_F(ClaimsTest, booking_keyOfAnotherCall_isRefused) {
  World &W = startProcesses();
  W.sendRequest(0, makeServiceRequest("k"));
  W.runFor(1000);
  CallRequest Other = makeServiceRequest("k");
  Other.Body_ = "something else";
  const auto RequestIndex = W.sendRequest(1, Other);
  W.runFor(1000);
  EXPECT_EQ(W.outcome(RequestIndex).Error_.Kind_,
            ErrorKind::IdempotencyKeyInUse);
  EXPECT_EQ(executionCount("k"), 1);
}

TEST_F(ClaimsTest, booking_withoutKey_isNeverSentTwice) {
  World &W = startProcesses();
  for (FakeService &S : W.Services_)
    S.RepliesToLose_ = 1;
  CallRequest Request = makeServiceRequest("");
  Request.RequestId_ = "plain-1";
  const auto RequestIndex = W.sendRequest(0, Request);
  W.runFor(8000);
  EXPECT_EQ(W.outcome(RequestIndex).Error_.RunState_, RunState::Unknown);
  EXPECT_EQ(executionCount("plain-1"), 1);
}

TEST_F(ClaimsTest, call_repeatableAndReplyLost_isTriedAgain) {
  World &W = startProcesses();
  for (FakeService &S : W.Services_)
    S.RepliesToLose_ = 1;
  W.Services_[1].RepliesToLose_ = W.Services_[2].RepliesToLose_ = 0;
  CallRequest Request = makeServiceRequest("");
  Request.Method_ = "GET";
  const auto RequestIndex = W.sendRequest(0, Request);
  W.runFor(8000);
  EXPECT_TRUE(W.outcome(RequestIndex).Answered_);
}

TEST_F(ClaimsTest, process_fellBehindRetention_claimsNothing) {
  World &W = startProcesses();
  W.pauseEntry(1);
  W.runFor(100);
  for (int I = 0; I < 10; ++I)
    W.appendLogRecord(VerdictRecord{});
  W.EarliestOffset_ += static_cast<LogOffset>(W.LogRecords_.size());
  W.LogRecords_.clear();
  W.unpauseEntry(1);
  W.runFor(3000);
  const auto RequestIndex = W.sendRequest(1, makeServiceRequest("k"));
  W.runFor(1000);
  EXPECT_EQ(W.outcome(RequestIndex).Error_.Kind_, ErrorKind::LogUnavailable);
  EXPECT_EQ(W.outcome(RequestIndex).Error_.RunState_, RunState::Unknown);
  EXPECT_EQ(executionCount("k"), 0);
}

TEST_F(ClaimsTest, bookings_underRandomFaults_tellTheTruth) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    World &W = startProcesses(Options);
    W.LostAppendReplyFraction_ = 0.2;
    W.FailedAppendFraction_ = 0.2;
    for (int I = 0; I < 60; ++I) {
      const int Key = I / 3;
      CallRequest Request = makeServiceRequest(fmt::format("k{}", Key));
      Request.TimeLimit_ = 1000;
      W.sendRequest(static_cast<int>(W.RandomGenerator_() % 4), Request);
      FakeService &S = W.Services_[W.RandomGenerator_() % 3];
      S.RefusesRequests_ = W.RandomGenerator_() % 4 == 0;
      S.RepliesToLose_ = W.RandomGenerator_() % 8 == 0 ? 1 : 0;
      W.LogUnavailable_ = W.RandomGenerator_() % 6 == 0;
      W.runFor(static_cast<Millis>(W.RandomGenerator_() % 120));
    }
    W.LogUnavailable_ = false;
    W.runFor(20000);
    for (const auto &[Key, Executions] : W.ExecutionsByKey_)
      EXPECT_LE(Executions, 1) << Key << " seed " << Seed;
    expectNotRunErrorsCorrect();
  }
}

} // namespace endivewharf::fakes
