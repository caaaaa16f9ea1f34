// Promises 1, 3, 6 and 7: accepted requests survive, answers are whole and
// one's own, leaving upstreams get no new work, planned stops cut nothing.
#include "calls.h"
#include "fixture.h"
#include "upstreams.h"

namespace endivewharf::fakes {

namespace {

constexpr Millis NoNewWorkLimit = 3000; // the brief's "few seconds"

using CallsTest = WorldTest;

/// Sends a stream and waits until it runs.
std::size_t beginStream(World &W, int Entry, std::int64_t Tokens,
                        const std::string &Text = "lot sheet") {
  const std::size_t Which =
      W.send(Entry, World::completion("k0", "m", Text, Tokens));
  W.runUntil([&] { return W.outcome(Which).Tokens_ > 2; }, 3000);
  return Which;
}

int engineOf(World &W, int Entry) {
  for (const auto &[Id, A] : W.state(Entry).Attempts_)
    for (std::size_t I = 0; I < W.Engines_.size(); ++I)
      if (W.Engines_[I].Row_.Host_ ==
          W.state(Entry).Upstreams_[A.Upstream_].Row_.Host_)
        return static_cast<int>(I);
  return -1;
}

void expectWhole(const Outcome &O, std::int64_t Tokens) {
  EXPECT_TRUE(O.Answered_) << name(O.Error_.Kind_) << O.Error_.Detail_;
  EXPECT_FALSE(O.Wrong_);
  EXPECT_EQ(O.Tokens_, Tokens);
}

} // namespace

TEST_F(CallsTest, stream_undisturbed_isWhole) {
  World &W = start();
  const auto Which = W.send(0, prompt("a", 30));
  W.run(3000);
  expectWhole(W.outcome(Which), 30);
}

TEST_F(CallsTest, stream_engineDies_goesOnElsewhere) {
  World &W = start();
  const auto Which = beginStream(W, 0, 60);
  W.killEngine(engineOf(W, 0));
  W.run(5000);
  expectWhole(W.outcome(Which), 60);
}

TEST_F(CallsTest, stream_wholeCentreOfEnginesDies_goesOnElsewhere) {
  World &W = start();
  const auto Which = beginStream(W, 0, 60);
  for (std::size_t I = 0; I < W.Engines_.size(); ++I)
    if (W.Engines_[I].Row_.DataCentre_ == W.dataCentre(0))
      W.killEngine(static_cast<int>(I));
  W.run(6000);
  expectWhole(W.outcome(Which), 60);
}

TEST_F(CallsTest, stream_entryReclaimed_resumesThroughPeer) {
  World &W = start();
  const auto Which = beginStream(W, 0, 400);
  W.notice({"entry-0", 1}, 2000);
  ASSERT_TRUE(W.runUntil([&] { return W.outcome(Which).Ended_; }, 3000));
  EXPECT_TRUE(W.outcome(Which).Moved_);
  const auto Again = W.resume(1, Which);
  W.run(10000);
  expectWhole(W.outcome(Again), 400);
}

TEST_F(CallsTest, stream_entryReclaimedAndFirstPeerDies_resumesThroughThird) {
  World &W = start();
  const auto Which = beginStream(W, 0, 400);
  W.notice({"entry-0", 1}, 2000);
  ASSERT_TRUE(W.runUntil([&] { return W.outcome(Which).Moved_; }, 3000));
  // Kill one of the two processes that hold the record.
  for (int I = 1; I < W.entries(); ++I)
    if (W.state(I).Held_.ById_.count(W.outcome(Which).Request_.RequestId_)) {
      W.kill(I);
      break;
    }
  int Alive = 1;
  while (!W.entry(Alive).Alive_)
    ++Alive;
  const auto Again = W.resume(Alive, Which);
  W.run(10000);
  expectWhole(W.outcome(Again), 400);
}

TEST_F(CallsTest, stream_entryDiesWithinItsNotice_resumesFromCopy) {
  World &W = start();
  const auto Which = beginStream(W, 0, 400);
  W.notice({"entry-0", 1}, 2000);
  W.run(400); // the notice is known, the handover has not begun
  W.kill(0);
  EXPECT_TRUE(W.outcome(Which).Cut_);
  const auto Again = W.resume(2, Which);
  W.run(12000);
  expectWhole(W.outcome(Again), 400);
}

TEST_F(CallsTest, resume_keyOfAnotherAccount_isNotFound) {
  World &W = start();
  const auto Which = W.send(0, prompt("secret", 10));
  W.run(2000);
  W.outcome(Which).Request_.ApiKey_ = "k1";
  const auto Again = W.resume(0, Which);
  W.run(1000);
  EXPECT_FALSE(W.outcome(Again).Answered_);
  EXPECT_EQ(W.outcome(Again).Error_.Kind_, ErrorKind::NotFound);
}

TEST_F(CallsTest, callers_crossedAndStaleAnswers_getTheirOwn) {
  World &W = start();
  std::vector<std::size_t> All;
  for (int I = 0; I < 40; ++I)
    All.push_back(W.send(I % 4, prompt(fmt::format("question {}", I), 30)));
  W.run(150);
  // Late and duplicated events of attempts that have ended or never were.
  for (int I = 0; I < 4; ++I) {
    State &S = W.state(I);
    for (AttemptId Id = 1; Id < S.NextAttempt_ + 3; ++Id) {
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
  W.run(8000);
  for (const auto Which : All)
    expectWhole(W.outcome(Which), 30);
}

TEST_F(CallsTest, stream_tokenMissing_isNotAnsweredWithAGap) {
  World &W = start();
  const auto Which = beginStream(W, 0, 60);
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
  Millis lastStartAfter(World &W, Millis Since, int Engine) {
    for (int I = 0; I < 120; ++I) {
      W.send(I % 4, prompt(fmt::format("p{}", I), 3));
      W.run(50);
    }
    return W.Engines_[Engine].LastStart_ - Since;
  }
};

TEST_F(LeavingTest, engine_noticeOnly_getsNoNewWork) {
  World &W = start();
  W.notice(W.Engines_[0].Row_.Host_, 5000);
  EXPECT_LE(lastStartAfter(W, W.now(), 0), NoNewWorkLimit);
}

TEST_F(LeavingTest, engine_hostListOnly_getsNoNewWork) {
  World &W = start();
  W.listLeaving(W.Engines_[0].Row_.Host_);
  EXPECT_LE(lastStartAfter(W, W.now(), 0), NoNewWorkLimit);
}

TEST_F(LeavingTest, engine_ownRefusalOnly_getsNoNewWork) {
  World &W = start();
  W.Engines_[0].Leaving_ = true;
  W.Engines_[0].SilentAbout_ = true;
  EXPECT_LE(lastStartAfter(W, W.now(), 0), NoNewWorkLimit);
  for (int I = 0; I < W.entries(); ++I)
    EXPECT_TRUE(isLeaving(W.state(I), W.Engines_[0].Row_.Host_));
}

TEST_F(LeavingTest, engine_noticeReachesOneCentreOnly_isKnownEverywhere) {
  World &W = start();
  W.cutPlatform("dc1", true);
  W.cutPlatform("dc2", true);
  W.notice(W.Engines_[3].Row_.Host_, 5000);
  W.run(2000);
  for (int I = 0; I < W.entries(); ++I)
    EXPECT_TRUE(isLeaving(W.state(I), W.Engines_[3].Row_.Host_)) << I;
}

TEST_F(LeavingTest, engine_returnsAsNewLife_isUsedAgain) {
  World &W = start();
  W.notice(W.Engines_[0].Row_.Host_, 1000);
  W.run(1500);
  W.Engines_[0].Row_.Host_.Incarnation_ = 2;
  const Millis Before = W.now();
  W.run(2000);
  lastStartAfter(W, W.now(), 0);
  EXPECT_GT(W.Engines_[0].LastStart_, Before);
}

TEST_F(LeavingTest, engine_staleListAfterNotice_staysOut) {
  World &W = start();
  W.notice(W.Engines_[0].Row_.Host_, 1000);
  W.run(4000); // the host list goes on to show it as live
  const Millis Before = W.now();
  lastStartAfter(W, W.now(), 0);
  EXPECT_LT(W.Engines_[0].LastStart_, Before);
}

// --- A planned stop ---

TEST_F(CallsTest, stop_underLoad_cutsNoRequest) {
  World &W = start();
  std::vector<std::size_t> All;
  for (int I = 0; I < 30; ++I)
    All.push_back(W.send(0, prompt(fmt::format("p{}", I), 40)));
  W.run(100);
  W.stop(0, 0);
  W.run(20000);
  EXPECT_TRUE(W.entry(0).Exited_);
  for (const auto Which : All)
    expectWhole(W.outcome(Which), 40);
}

TEST_F(CallsTest, stop_streamLongerThanLimit_isHandedOver) {
  World &W = start();
  const auto Which = beginStream(W, 0, 2000);
  W.stop(0, 3000);
  W.run(4000);
  ASSERT_TRUE(W.outcome(Which).Moved_);
  const auto Again = W.resume(1, Which);
  W.run(30000);
  expectWhole(W.outcome(Again), 2000);
}

// --- Replay ---

TEST_F(CallsTest, world_sameSeed_endsInTheSameState) {
  const auto Run = [this](std::uint64_t Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    Options.Loss_ = 0.05;
    World &W = start(Options);
    for (int I = 0; I < 50; ++I) {
      W.send(I % 4, prompt(fmt::format("p{}", I), 10));
      W.send(I % 4, booking(fmt::format("b{}", I / 2)));
      W.run(20);
    }
    W.run(3000);
    std::string Trace;
    for (const Outcome &O : W.outcomes())
      Trace += fmt::format("{}:{}:{};", O.EndedAt_, O.Tokens_, O.Body_);
    return Trace;
  };
  EXPECT_EQ(Run(7), Run(7));
  EXPECT_NE(Run(7), Run(8));
}

} // namespace endivewharf::fakes
