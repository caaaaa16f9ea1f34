// Tests of calls: accepted requests survive failures, every caller gets the
// complete answer to its own request, a leaving upstream gets no new work,
// and a planned stop aborts no request.
#include "calls.h"
#include "fixture.h"
#include "upstreams.h"

namespace endivewharf::fakes {

namespace {

/// Time in which an upstream that leaves has to get no more new work, ms; the
/// requirement says "a few seconds".
constexpr Millis LeavingPropagationLimit = 3000;

using CallsTest = WorldTest;

/// Sends a stream request and waits until more than two tokens have arrived.
/// @return index of the request for World::outcome()
std::size_t startStream(World &W, int Entry, std::int64_t Tokens,
                        const std::string &Text = "lot sheet") {
  const std::size_t RequestIndex = W.sendRequest(
      Entry, World::makeCompletionRequest("k0", "m", Text, Tokens));
  W.runUntil([&] { return W.outcome(RequestIndex).TokensReceived_ > 2; }, 3000);
  return RequestIndex;
}

/// @return index of the engine that serves an attempt of this process; -1 if
/// there is none
int engineServing(World &W, int Entry) {
  for (const auto &[Id, A] : W.state(Entry).Attempts_)
    for (std::size_t I = 0; I < W.Engines_.size(); ++I)
      if (W.Engines_[I].Row_.Host_ ==
          W.state(Entry).Upstreams_[A.Upstream_].Row_.Host_)
        return static_cast<int>(I);
  return -1;
}

void expectCompleteAnswer(const Outcome &O, std::int64_t Tokens) {
  EXPECT_TRUE(O.Answered_) << name(O.Error_.Kind_) << O.Error_.Detail_;
  EXPECT_FALSE(O.TokenSequenceWrong_);
  EXPECT_EQ(O.TokensReceived_, Tokens);
}

} // namespace

TEST_F(CallsTest, stream_undisturbed_isWhole) {
  World &W = startProcesses();
  const auto RequestIndex = W.sendRequest(0, makePromptRequest("a", 30));
  W.runFor(3000);
  expectCompleteAnswer(W.outcome(RequestIndex), 30);
}

TEST_F(CallsTest, stream_engineDies_goesOnElsewhere) {
  World &W = startProcesses();
  const auto RequestIndex = startStream(W, 0, 60);
  W.killEngine(engineServing(W, 0));
  W.runFor(5000);
  expectCompleteAnswer(W.outcome(RequestIndex), 60);
}

TEST_F(CallsTest, completion_endsItsEngines_reachesFewMoreAfterTheThird) {
  World &W = startProcesses({}, 8);
  int Ended = 0;
  std::size_t Last = 0;
  for (int I = 0; I < 12; ++I) {
    Last = W.sendRequest(I % 4, makePromptRequest("deadly", 200));
    for (int Step = 0; Step < 100; ++Step) {
      W.runFor(20);
      const int Engine = engineServing(W, I % 4);
      if (Engine < 0)
        continue;
      W.killEngine(Engine);
      ++Ended;
    }
  }
  EXPECT_LE(Ended, 6);
  EXPECT_EQ(W.outcome(Last).Error_.Kind_, ErrorKind::RequestBlocked);
}

TEST_F(CallsTest, stream_wholeCentreOfEnginesDies_goesOnElsewhere) {
  World &W = startProcesses();
  const auto RequestIndex = startStream(W, 0, 60);
  for (std::size_t I = 0; I < W.Engines_.size(); ++I)
    if (W.Engines_[I].Row_.DataCentre_ == W.dataCentre(0))
      W.killEngine(static_cast<int>(I));
  W.runFor(6000);
  expectCompleteAnswer(W.outcome(RequestIndex), 60);
}

TEST_F(CallsTest, stream_entryReclaimed_resumesThroughPeer) {
  World &W = startProcesses();
  const auto RequestIndex = startStream(W, 0, 400);
  W.publishReclaimNotice({"entry-0", 1}, 2000);
  ASSERT_TRUE(W.runUntil([&] { return W.outcome(RequestIndex).Ended_; }, 3000));
  EXPECT_TRUE(W.outcome(RequestIndex).Redirected_);
  const auto ResumedIndex = W.resumeStream(1, RequestIndex);
  W.runFor(10000);
  expectCompleteAnswer(W.outcome(ResumedIndex), 400);
}

TEST_F(CallsTest, stream_entryReclaimedAndFirstPeerDies_resumesThroughThird) {
  World &W = startProcesses();
  const auto RequestIndex = startStream(W, 0, 400);
  W.publishReclaimNotice({"entry-0", 1}, 2000);
  ASSERT_TRUE(
      W.runUntil([&] { return W.outcome(RequestIndex).Redirected_; }, 3000));
  // Kill one of the two processes that hold the record.
  for (int I = 1; I < W.entryCount(); ++I)
    if (W.state(I).Retained_.ById_.count(
            W.outcome(RequestIndex).Request_.RequestId_)) {
      W.killEntry(I);
      break;
    }
  int Alive = 1;
  while (!W.entry(Alive).Alive_)
    ++Alive;
  const auto ResumedIndex = W.resumeStream(Alive, RequestIndex);
  W.runFor(10000);
  expectCompleteAnswer(W.outcome(ResumedIndex), 400);
}

TEST_F(CallsTest, stream_entryDiesWithinItsNotice_resumesFromCopy) {
  World &W = startProcesses();
  const auto RequestIndex = startStream(W, 0, 400);
  W.publishReclaimNotice({"entry-0", 1}, 2000);
  W.runFor(400); // The notice is known; the handover has not begun.
  W.killEntry(0);
  EXPECT_TRUE(W.outcome(RequestIndex).EntryDied_);
  const auto ResumedIndex = W.resumeStream(2, RequestIndex);
  W.runFor(12000);
  expectCompleteAnswer(W.outcome(ResumedIndex), 400);
}

TEST_F(CallsTest, resume_keyOfAnotherAccount_isNotFound) {
  World &W = startProcesses();
  const auto RequestIndex = W.sendRequest(0, makePromptRequest("secret", 10));
  W.runFor(2000);
  W.outcome(RequestIndex).Request_.ApiKey_ = "k1";
  const auto ResumedIndex = W.resumeStream(0, RequestIndex);
  W.runFor(1000);
  EXPECT_FALSE(W.outcome(ResumedIndex).Answered_);
  EXPECT_EQ(W.outcome(ResumedIndex).Error_.Kind_, ErrorKind::NotFound);
}

TEST_F(CallsTest, callers_crossedAndStaleAnswers_getTheirOwn) {
  World &W = startProcesses();
  std::vector<std::size_t> RequestIndices;
  for (int I = 0; I < 40; ++I)
    RequestIndices.push_back(W.sendRequest(
        I % 4, makePromptRequest(fmt::format("question {}", I), 30)));
  W.runFor(150);
  // Late and duplicated events of attempts that have ended or never existed.
  for (int I = 0; I < 4; ++I) {
    State &S = W.state(I);
    for (AttemptId Id = 1; Id < S.NextAttemptId_ + 3; ++Id) {
      const auto Found = S.Attempts_.find(Id);
      const bool Running = Found != S.Attempts_.end();
      const bool Begun =
          Running && S.Calls_.at(Found->second.Call_).NextIndex_ > 0;
      if (!Running || Begun)
        reduce(S, {W.now(), W.unixNow(), 1, AttemptToken{Id, 0, "stale"}});
      if (!Running)
        reduce(S, {W.now(), W.unixNow(), 1, AttemptEnded{Id, "stop", 1, 0}});
    }
  }
  W.runFor(8000);
  for (const auto RequestIndex : RequestIndices)
    expectCompleteAnswer(W.outcome(RequestIndex), 30);
}

TEST_F(CallsTest, stream_tokenMissing_isNotAnsweredWithAGap) {
  World &W = startProcesses();
  const auto RequestIndex = startStream(W, 0, 60);
  State &S = W.state(0);
  const AttemptId Id = S.Attempts_.begin()->first;
  const Call &C = S.Calls_.begin()->second;
  const Effects Out = reduce(
      S, {W.now(), W.unixNow(), 1, AttemptToken{Id, C.NextIndex_ + 3, "gap"}});
  for (const Effect &E : Out)
    EXPECT_FALSE(std::holds_alternative<SendToken>(E));
  EXPECT_EQ(S.Attempts_.count(Id), 0U);
  EXPECT_FALSE(W.outcome(RequestIndex).Ended_);
}

// --- A leaving upstream ---

class LeavingTest : public WorldTest {
protected:
  /// Sends requests to all processes for 6 s.
  /// @param Since start of the measurement, ms
  /// @return time from Since to the start of the engine's last attempt, ms
  Millis lastStartDelay(World &W, Millis Since, int Engine) {
    for (int I = 0; I < 120; ++I) {
      W.sendRequest(I % 4, makePromptRequest(fmt::format("p{}", I), 3));
      W.runFor(50);
    }
    return W.Engines_[Engine].LastAttemptAt_ - Since;
  }
};

TEST_F(LeavingTest, engine_noticeOnly_getsNoNewWork) {
  World &W = startProcesses();
  W.publishReclaimNotice(W.Engines_[0].Row_.Host_, 5000);
  EXPECT_LE(lastStartDelay(W, W.now(), 0), LeavingPropagationLimit);
}

TEST_F(LeavingTest, engine_hostListOnly_getsNoNewWork) {
  World &W = startProcesses();
  W.markLeavingInHostList(W.Engines_[0].Row_.Host_);
  EXPECT_LE(lastStartDelay(W, W.now(), 0), LeavingPropagationLimit);
}

TEST_F(LeavingTest, engine_ownRefusalOnly_getsNoNewWork) {
  World &W = startProcesses();
  W.Engines_[0].Leaving_ = true;
  W.Engines_[0].HidesLeavingFromProbes_ = true;
  EXPECT_LE(lastStartDelay(W, W.now(), 0), LeavingPropagationLimit);
  for (int I = 0; I < W.entryCount(); ++I)
    EXPECT_TRUE(isLeaving(W.state(I), W.Engines_[0].Row_.Host_));
}

TEST_F(LeavingTest, engine_noticeReachesOneCentreOnly_isKnownEverywhere) {
  World &W = startProcesses();
  W.setPlatformUnreachable("dc1", true);
  W.setPlatformUnreachable("dc2", true);
  W.publishReclaimNotice(W.Engines_[3].Row_.Host_, 5000);
  W.runFor(2000);
  for (int I = 0; I < W.entryCount(); ++I)
    EXPECT_TRUE(isLeaving(W.state(I), W.Engines_[3].Row_.Host_)) << I;
}

TEST_F(LeavingTest, engine_returnsAsNewLife_isUsedAgain) {
  World &W = startProcesses();
  W.publishReclaimNotice(W.Engines_[0].Row_.Host_, 1000);
  W.runFor(1500);
  W.Engines_[0].Row_.Host_.Incarnation_ = 2;
  const Millis Before = W.now();
  W.runFor(2000);
  lastStartDelay(W, W.now(), 0);
  EXPECT_GT(W.Engines_[0].LastAttemptAt_, Before);
}

TEST_F(LeavingTest, engine_staleListAfterNotice_staysOut) {
  World &W = startProcesses();
  W.publishReclaimNotice(W.Engines_[0].Row_.Host_, 1000);
  W.runFor(4000); // The host list still shows the host as live.
  const Millis Before = W.now();
  lastStartDelay(W, W.now(), 0);
  EXPECT_LT(W.Engines_[0].LastAttemptAt_, Before);
}

// --- A planned stop ---

TEST_F(CallsTest, stop_underLoad_cutsNoRequest) {
  World &W = startProcesses();
  std::vector<std::size_t> RequestIndices;
  for (int I = 0; I < 30; ++I)
    RequestIndices.push_back(
        W.sendRequest(0, makePromptRequest(fmt::format("p{}", I), 40)));
  W.runFor(100);
  W.requestStop(0, 0);
  W.runFor(20000);
  EXPECT_TRUE(W.entry(0).Exited_);
  for (const auto RequestIndex : RequestIndices)
    expectCompleteAnswer(W.outcome(RequestIndex), 40);
}

TEST_F(CallsTest, stop_streamLongerThanLimit_isHandedOver) {
  World &W = startProcesses();
  const auto RequestIndex = startStream(W, 0, 2000);
  W.requestStop(0, 3000);
  W.runFor(4000);
  ASSERT_TRUE(W.outcome(RequestIndex).Redirected_);
  const auto ResumedIndex = W.resumeStream(1, RequestIndex);
  W.runFor(30000);
  expectCompleteAnswer(W.outcome(ResumedIndex), 2000);
}

// --- Replay ---

TEST_F(CallsTest, world_sameSeed_endsInTheSameState) {
  const auto RunAndTrace = [this](std::uint64_t Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    Options.PeerMessageLossFraction_ = 0.05;
    World &W = startProcesses(Options);
    for (int I = 0; I < 50; ++I) {
      W.sendRequest(I % 4, makePromptRequest(fmt::format("p{}", I), 10));
      W.sendRequest(I % 4, makeServiceRequest(fmt::format("b{}", I / 2)));
      W.runFor(20);
    }
    W.runFor(3000);
    std::string Trace;
    for (const Outcome &O : W.outcomes())
      Trace += fmt::format("{}:{}:{};", O.EndedAt_, O.TokensReceived_, O.Body_);
    return Trace;
  };
  EXPECT_EQ(RunAndTrace(7), RunAndTrace(7));
  EXPECT_NE(RunAndTrace(7), RunAndTrace(8));
}

} // namespace endivewharf::fakes
