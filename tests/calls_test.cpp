// Promises 1, 3, 6 and 7: accepted requests survive, answers are whole and
// one's own, leaving upstreams get no new work, planned stops cut nothing.
#include "calls.h"
#include "fixture.h"
#include "upstreams.h"

namespace endivewharf::fakes {

namespace {

constexpr Millis LeavingPropagationLimit = 3000; // the brief's "few seconds"

using CallsTest = WorldTest;

/// Sends a stream and waits until it runs.
std::size_t startStream(World &W, int Entry, std::int64_t Tokens,
                        const std::string &Text = "lot sheet") {
  const std::size_t Which = W.sendRequest(
      Entry, World::makeCompletionRequest("k0", "m", Text, Tokens));
  W.runUntil([&] { return W.outcome(Which).TokensReceived_ > 2; }, 3000);
  return Which;
}

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
  const auto Which = W.sendRequest(0, makePromptRequest("a", 30));
  W.runFor(3000);
  expectCompleteAnswer(W.outcome(Which), 30);
}

TEST_F(CallsTest, stream_engineDies_goesOnElsewhere) {
  World &W = startProcesses();
  const auto Which = startStream(W, 0, 60);
  W.killEngine(engineServing(W, 0));
  W.runFor(5000);
  expectCompleteAnswer(W.outcome(Which), 60);
}

TEST_F(CallsTest, stream_wholeCentreOfEnginesDies_goesOnElsewhere) {
  World &W = startProcesses();
  const auto Which = startStream(W, 0, 60);
  for (std::size_t I = 0; I < W.Engines_.size(); ++I)
    if (W.Engines_[I].Row_.DataCentre_ == W.dataCentre(0))
      W.killEngine(static_cast<int>(I));
  W.runFor(6000);
  expectCompleteAnswer(W.outcome(Which), 60);
}

TEST_F(CallsTest, stream_entryReclaimed_resumesThroughPeer) {
  World &W = startProcesses();
  const auto Which = startStream(W, 0, 400);
  W.publishReclaimNotice({"entry-0", 1}, 2000);
  ASSERT_TRUE(W.runUntil([&] { return W.outcome(Which).Ended_; }, 3000));
  EXPECT_TRUE(W.outcome(Which).Redirected_);
  const auto Again = W.resumeStream(1, Which);
  W.runFor(10000);
  expectCompleteAnswer(W.outcome(Again), 400);
}

TEST_F(CallsTest, stream_entryReclaimedAndFirstPeerDies_resumesThroughThird) {
  World &W = startProcesses();
  const auto Which = startStream(W, 0, 400);
  W.publishReclaimNotice({"entry-0", 1}, 2000);
  ASSERT_TRUE(W.runUntil([&] { return W.outcome(Which).Redirected_; }, 3000));
  // Kill one of the two processes that hold the record.
  for (int I = 1; I < W.entryCount(); ++I)
    if (W.state(I).Retained_.ById_.count(
            W.outcome(Which).Request_.RequestId_)) {
      W.killEntry(I);
      break;
    }
  int Alive = 1;
  while (!W.entry(Alive).Alive_)
    ++Alive;
  const auto Again = W.resumeStream(Alive, Which);
  W.runFor(10000);
  expectCompleteAnswer(W.outcome(Again), 400);
}

TEST_F(CallsTest, stream_entryDiesWithinItsNotice_resumesFromCopy) {
  World &W = startProcesses();
  const auto Which = startStream(W, 0, 400);
  W.publishReclaimNotice({"entry-0", 1}, 2000);
  W.runFor(400); // the notice is known, the handover has not begun
  W.killEntry(0);
  EXPECT_TRUE(W.outcome(Which).EntryDied_);
  const auto Again = W.resumeStream(2, Which);
  W.runFor(12000);
  expectCompleteAnswer(W.outcome(Again), 400);
}

TEST_F(CallsTest, resume_keyOfAnotherAccount_isNotFound) {
  World &W = startProcesses();
  const auto Which = W.sendRequest(0, makePromptRequest("secret", 10));
  W.runFor(2000);
  W.outcome(Which).Request_.ApiKey_ = "k1";
  const auto Again = W.resumeStream(0, Which);
  W.runFor(1000);
  EXPECT_FALSE(W.outcome(Again).Answered_);
  EXPECT_EQ(W.outcome(Again).Error_.Kind_, ErrorKind::NotFound);
}

TEST_F(CallsTest, callers_crossedAndStaleAnswers_getTheirOwn) {
  World &W = startProcesses();
  std::vector<std::size_t> All;
  for (int I = 0; I < 40; ++I)
    All.push_back(W.sendRequest(
        I % 4, makePromptRequest(fmt::format("question {}", I), 30)));
  W.runFor(150);
  // Late and duplicated events of attempts that have ended or never were.
  for (int I = 0; I < 4; ++I) {
    State &S = W.state(I);
    for (AttemptId Id = 1; Id < S.NextAttemptId_ + 3; ++Id) {
      const auto Live = S.Attempts_.find(Id);
      const bool Running = Live != S.Attempts_.end();
      const bool Begun =
          Running && S.Calls_.at(Live->second.Call_).NextIndex_ > 0;
      if (!Running || Begun)
        reduce(S, {W.now(), W.unixNow(), 1, AttemptToken{Id, 0, "stale"}});
      if (!Running)
        reduce(S, {W.now(), W.unixNow(), 1, AttemptEnded{Id, "stop", 1, 0}});
    }
  }
  W.runFor(8000);
  for (const auto Which : All)
    expectCompleteAnswer(W.outcome(Which), 30);
}

TEST_F(CallsTest, stream_tokenMissing_isNotAnsweredWithAGap) {
  World &W = startProcesses();
  const auto Which = startStream(W, 0, 60);
  State &S = W.state(0);
  const AttemptId Id = S.Attempts_.begin()->first;
  const Call &C = S.Calls_.begin()->second;
  const Effects Out = reduce(
      S, {W.now(), W.unixNow(), 1, AttemptToken{Id, C.NextIndex_ + 3, "gap"}});
  for (const Effect &E : Out)
    EXPECT_FALSE(std::holds_alternative<SendToken>(E));
  EXPECT_EQ(S.Attempts_.count(Id), 0U);
  EXPECT_FALSE(W.outcome(Which).Ended_);
}

// --- A leaving upstream ---

class LeavingTest : public WorldTest {
protected:
  /// Sends requests all the time and returns when the engine got the last one.
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
  W.runFor(4000); // the host list goes on to show it as live
  const Millis Before = W.now();
  lastStartDelay(W, W.now(), 0);
  EXPECT_LT(W.Engines_[0].LastAttemptAt_, Before);
}

// --- A planned stop ---

TEST_F(CallsTest, stop_underLoad_cutsNoRequest) {
  World &W = startProcesses();
  std::vector<std::size_t> All;
  for (int I = 0; I < 30; ++I)
    All.push_back(
        W.sendRequest(0, makePromptRequest(fmt::format("p{}", I), 40)));
  W.runFor(100);
  W.requestStop(0, 0);
  W.runFor(20000);
  EXPECT_TRUE(W.entry(0).Exited_);
  for (const auto Which : All)
    expectCompleteAnswer(W.outcome(Which), 40);
}

TEST_F(CallsTest, stop_streamLongerThanLimit_isHandedOver) {
  World &W = startProcesses();
  const auto Which = startStream(W, 0, 2000);
  W.requestStop(0, 3000);
  W.runFor(4000);
  ASSERT_TRUE(W.outcome(Which).Redirected_);
  const auto Again = W.resumeStream(1, Which);
  W.runFor(30000);
  expectCompleteAnswer(W.outcome(Again), 2000);
}

// --- Replay ---

TEST_F(CallsTest, world_sameSeed_endsInTheSameState) {
  const auto Run = [this](std::uint64_t Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    Options.PeerMessageLossShare_ = 0.05;
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
  EXPECT_EQ(Run(7), Run(7));
  EXPECT_NE(Run(7), Run(8));
}

} // namespace endivewharf::fakes
