// Limits, fairness, priorities and retries.
#include "admission.h"
#include "fixture.h"

namespace endivewharf::fakes {

namespace {

class AdmissionTest : public WorldTest {
protected:
  World &sendOverload(Millis For, int PerSecond,
                      const std::function<CallRequest(int)> &Make) {
    World &W = *World_;
    const Millis End = W.now() + For;
    for (int I = 0; W.now() < End; ++I) {
      W.sendRequest(I % 4, Make(I));
      W.runFor(1000 / PerSecond);
    }
    return W;
  }

  int countAnswered(const std::function<bool(const Outcome &)> &Which) const {
    int Count = 0;
    for (const Outcome &O : World_->outcomes())
      Count += O.Answered_ && Which(O) ? 1 : 0;
    return Count;
  }
};

} // namespace

TEST_F(AdmissionTest, request_unknownKey_isRefusedNotRun) {
  World &W = startProcesses();
  const auto Which =
      W.sendRequest(0, World::makeCompletionRequest("nobody", "m", "x", 5));
  EXPECT_EQ(W.outcome(Which).Error_.Kind_, ErrorKind::InvalidApiKey);
  EXPECT_EQ(W.outcome(Which).Error_.RunState_, RunState::NotRun);
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
  const auto Again = W.sendRequest(0, makePromptRequest("x", 2));
  W.runFor(1000);
  EXPECT_TRUE(W.outcome(Again).Answered_);
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
  const auto Of = [](const std::string &Key) {
    return [Key](const Outcome &O) { return O.Request_.ApiKey_ == Key; };
  };
  int Sent = 0;
  for (const Outcome &O : W.outcomes())
    Sent += O.Request_.ApiKey_ == "k1" ? 1 : 0;
  EXPECT_GE(countAnswered(Of("k1")), 0.9 * Sent);
}

TEST_F(AdmissionTest, overload_batch_isNotStarved) {
  World &W = startProcesses();
  sendOverload(8000, 300, [](int I) {
    CallRequest Request = makePromptRequest(fmt::format("q{}", I), 40);
    Request.TimeLimit_ = 20000;
    if (I % 5 == 0) // through all processes
      Request.Priority_ = Priority::Batch;
    return Request;
  });
  int Batch = 0;
  int All = 0;
  for (const Outcome &O : W.outcomes())
    if (O.Answered_) {
      ++All;
      Batch += O.Request_.Priority_ == Priority::Batch ? 1 : 0;
    }
  EXPECT_GE(Batch, All / 20);
}

TEST_F(AdmissionTest, overload_batchThroughOneProcess_hasItsFloorToo) {
  World &W = startProcesses();
  sendOverload(8000, 300, [](int I) {
    CallRequest Request = makePromptRequest(fmt::format("q{}", I), 40);
    Request.TimeLimit_ = 20000;
    if (I % 4 == 0) // through one process, which gets nothing else
      Request.Priority_ = Priority::Batch;
    return Request;
  });
  int Batch = 0;
  int All = 0;
  for (const Outcome &O : W.outcomes())
    if (O.Answered_) {
      ++All;
      Batch += O.Request_.Priority_ == Priority::Batch ? 1 : 0;
    }
  EXPECT_GE(Batch,
            All / 50); // a tenth of one process's quarter, less its start
}

TEST_F(AdmissionTest, engines_refuseForAWhile_acceptedCallsAreStillAnswered) {
  World &W = startProcesses();
  for (FakeEngine &E : W.Engines_)
    E.Parameters_.MaxQueueLength_ = 0; // every attempt is refused
  std::vector<std::size_t> All;
  for (int I = 0; I < 20; ++I)
    All.push_back(
        W.sendRequest(I % 4, makePromptRequest(fmt::format("q{}", I), 5)));
  W.runFor(2000);
  for (FakeEngine &E : W.Engines_)
    E.Parameters_.MaxQueueLength_ = 16;
  W.runFor(3000);
  for (const auto Which : All)
    EXPECT_TRUE(W.outcome(Which).Answered_);
}

TEST_F(AdmissionTest, outage_ofAllEngines_makesNoRetryStorm) {
  World &W = startProcesses();
  for (FakeEngine &E : W.Engines_)
    E.Loaded_.clear(); // every attempt is refused
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
