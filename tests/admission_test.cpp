// Tests of admission: rate limits, fairness between accounts, priorities,
// refusals and retries.
#include "admission.h"
#include "fixture.h"

namespace endivewharf::fakes {

namespace {

class AdmissionTest : public WorldTest {
protected:
  /// Sends requests at a constant rate to the four processes in turn.
  /// @param Duration time for which requests are sent, ms
  /// @param PerSecond requests per second
  /// @param MakeRequest returns the request with a given sequence number
  World &sendOverload(Millis Duration, int PerSecond,
                      const std::function<CallRequest(int)> &MakeRequest) {
    World &W = *World_;
    const Millis End = W.now() + Duration;
    for (int I = 0; W.now() < End; ++I) {
      W.sendRequest(I % 4, MakeRequest(I));
      W.runFor(1000 / PerSecond);
    }
    return W;
  }

  /// @return number of answered requests for which the predicate holds
  int countAnswered(const std::function<bool(const Outcome &)> &Matches) const {
    int Count = 0;
    for (const Outcome &O : World_->outcomes())
      Count += O.Answered_ && Matches(O) ? 1 : 0;
    return Count;
  }
};

} // namespace

TEST_F(AdmissionTest, request_unknownKey_isRefusedNotRun) {
  World &W = startProcesses();
  const auto RequestIndex =
      W.sendRequest(0, World::makeCompletionRequest("nobody", "m", "x", 5));
  EXPECT_EQ(W.outcome(RequestIndex).Error_.Kind_, ErrorKind::InvalidApiKey);
  EXPECT_EQ(W.outcome(RequestIndex).Error_.RunState_, RunState::NotRun);
}

TEST_F(AdmissionTest, request_unknownModelOrService_isRefused) {
  World &W = startProcesses();
  const auto Model =
      W.sendRequest(0, World::makeCompletionRequest("k0", "none", "x", 5));
  EXPECT_EQ(W.outcome(Model).Error_.Kind_, ErrorKind::UnknownModel);
  const auto Service =
      W.sendRequest(0, World::makeServiceRequest("k0", "none", "k"));
  EXPECT_EQ(W.outcome(Service).Error_.Kind_, ErrorKind::UnknownRoute);
}

TEST_F(AdmissionTest, account_overItsRate_isToldWhenToComeBack) {
  World &W = startProcesses();
  W.appendLogRecord(ConfigRecord{0,
                                 "[account a]\nkey = k0\nrate = 2\n[model m]\n"
                                 "version = v1\n"});
  W.runFor(1000);
  std::size_t Last = 0;
  for (int I = 0; I < 10; ++I)
    Last = W.sendRequest(0, makePromptRequest("x", 2));
  EXPECT_EQ(W.outcome(Last).Error_.Kind_, ErrorKind::OverLimit);
  EXPECT_GT(W.outcome(Last).Error_.RetryAfter_, 0);
  W.runFor(W.outcome(Last).Error_.RetryAfter_);
  const auto RetryIndex = W.sendRequest(0, makePromptRequest("x", 2));
  W.runFor(1000);
  EXPECT_TRUE(W.outcome(RetryIndex).Answered_);
}

TEST_F(AdmissionTest, overload_refusals_areGivenAtOnce) {
  World &W = startProcesses();
  sendOverload(6000, 500, [](int I) {
    CallRequest Request = makePromptRequest(fmt::format("q{}", I), 60);
    Request.TimeLimit_ = 3000;
    return Request;
  });
  W.runFor(5000);
  int Refused = 0;
  for (const Outcome &O : W.outcomes())
    if (O.Error_.Kind_ == ErrorKind::Overloaded) {
      ++Refused;
      EXPECT_EQ(O.EndedAt_, O.SentAt_);
      EXPECT_GT(O.Error_.RetryAfter_, 0);
      EXPECT_EQ(O.Error_.RunState_, RunState::NotRun);
    }
  EXPECT_GT(Refused, 100);
}

TEST_F(AdmissionTest, overload_oneAccountFloods_othersKeepTheirShare) {
  World &W = startProcesses();
  sendOverload(8000, 250, [](int I) {
    // k0 sends ten times as much as k1.
    CallRequest Request = World::makeCompletionRequest(
        I % 11 == 0 ? "k1" : "k0", "m", fmt::format("q{}", I), 40);
    Request.TimeLimit_ = 4000;
    return Request;
  });
  W.runFor(6000);
  const auto WithKey = [](const std::string &Key) {
    return [Key](const Outcome &O) { return O.Request_.ApiKey_ == Key; };
  };
  int Sent = 0;
  for (const Outcome &O : W.outcomes())
    Sent += O.Request_.ApiKey_ == "k1" ? 1 : 0;
  EXPECT_GE(countAnswered(WithKey("k1")), 0.9 * Sent);
}

TEST_F(AdmissionTest, overload_batch_isNotStarved) {
  World &W = startProcesses();
  sendOverload(8000, 300, [](int I) {
    CallRequest Request = makePromptRequest(fmt::format("q{}", I), 40);
    Request.TimeLimit_ = 20000;
    // Batch requests arrive at all four processes.
    if (I % 5 == 0)
      Request.Priority_ = Priority::Batch;
    return Request;
  });
  int BatchAnswered = 0;
  int Answered = 0;
  for (const Outcome &O : W.outcomes())
    if (O.Answered_) {
      ++Answered;
      BatchAnswered += O.Request_.Priority_ == Priority::Batch ? 1 : 0;
    }
  EXPECT_GE(BatchAnswered, Answered / 20);
}

TEST_F(AdmissionTest, overload_batchThroughOneProcess_hasItsFloorToo) {
  World &W = startProcesses();
  sendOverload(8000, 300, [](int I) {
    CallRequest Request = makePromptRequest(fmt::format("q{}", I), 40);
    Request.TimeLimit_ = 20000;
    // All batch requests arrive at one process, which gets no others.
    if (I % 4 == 0)
      Request.Priority_ = Priority::Batch;
    return Request;
  });
  int BatchAnswered = 0;
  int Answered = 0;
  for (const Outcome &O : W.outcomes())
    if (O.Answered_) {
      ++Answered;
      BatchAnswered += O.Request_.Priority_ == Priority::Batch ? 1 : 0;
    }
  // The floor is a tenth of the quarter that one process has, so 1/40 of all
  // answers; the bound is lower because of the start of the run.
  EXPECT_GE(BatchAnswered, Answered / 50);
}

TEST_F(AdmissionTest, engines_refuseForAWhile_acceptedCallsAreStillAnswered) {
  World &W = startProcesses();
  for (FakeEngine &E : W.Engines_)
    E.Parameters_.MaxQueueLength_ = 0; // Every attempt is refused.
  std::vector<std::size_t> RequestIndices;
  for (int I = 0; I < 20; ++I)
    RequestIndices.push_back(
        W.sendRequest(I % 4, makePromptRequest(fmt::format("q{}", I), 5)));
  W.runFor(2000);
  for (FakeEngine &E : W.Engines_)
    E.Parameters_.MaxQueueLength_ = 16;
  W.runFor(3000);
  for (const auto RequestIndex : RequestIndices)
    EXPECT_TRUE(W.outcome(RequestIndex).Answered_);
}

TEST_F(AdmissionTest, outage_ofAllEngines_makesNoRetryStorm) {
  World &W = startProcesses();
  for (FakeEngine &E : W.Engines_)
    E.Loaded_.clear(); // Every attempt is refused.
  sendOverload(4000, 100, [](int I) {
    CallRequest Request = makePromptRequest(fmt::format("q{}", I), 10);
    Request.TimeLimit_ = 2000;
    return Request;
  });
  std::int64_t Attempts = 0;
  for (int I = 0; I < 4; ++I)
    Attempts += W.state(I).Counters_.Values_["attempts"];
  EXPECT_LE(Attempts, 1.1 * 400);
}

} // namespace endivewharf::fakes
