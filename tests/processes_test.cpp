// End-to-end proofs of the promises: real processes, real sockets, stand-ins.
#include "harness.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <fstream>

namespace endivewharf::harness {

namespace {

using ProcessTest = ClusterTest;

} // namespace

// --- Accepted requests survive ---

TEST_F(ProcessTest, stream_engineKilled_isWhole) {
  start();
  const auto R = begin(0, completion("lot sheet", 200));
  ASSERT_TRUE(waitFor([&] { return engineOf(0) >= 0; }));
  Children_.erase(fmt::format("engine-{}", engineOf(0)));
  expectWhole(finish(R), "lot sheet", 200);
  EXPECT_GE(dump(0)["counters"]["retries"], 1);
}

TEST_F(ProcessTest, wholeAnswer_engineKilled_isWhole) {
  start();
  CallerRequest Request = completion("stock", 200);
  Request.Stream_ = false;
  const auto R = begin(0, Request);
  ASSERT_TRUE(waitFor([&] { return engineOf(0) >= 0; }));
  Children_.erase(fmt::format("engine-{}", engineOf(0)));
  expectWhole(finish(R), "stock", 200);
}

TEST_F(ProcessTest, streams_centreOfEnginesReclaimed_areWhole) {
  start();
  std::vector<std::shared_ptr<std::optional<CallerResult>>> All;
  for (int I = 0; I < 12; ++I)
    All.push_back(begin(I % 4, completion(fmt::format("p{}", I), 300)));
  ASSERT_TRUE(waitFor([&] { return engineOf(0) >= 0; }));
  for (const char *Name : {"engine-0", "engine-3"})
    notice(Name, 2000);
  Children_.erase("engine-0"); // dies within its notice
  ASSERT_TRUE(waitFor([&] {
    int Leaving = 0;
    const Json Dump = dump(1);
    for (const Json &U : Dump["upstreams"])
      Leaving += U["leaving"] ? 1 : 0;
    return Leaving == 2;
  }));
  Children_.erase("engine-3");
  for (int I = 0; I < 12; ++I)
    expectWhole(finish(All[I]), fmt::format("p{}", I), 300);
}

TEST_F(ProcessTest, stream_entryReclaimed_goesOnThroughAnother) {
  start();
  const auto R = begin(0, completion("long", 1000));
  ASSERT_TRUE(waitFor([&] { return engineOf(0) >= 0; }));
  notice("entry-0", 2000);
  const CallerResult Result = finish(R);
  expectWhole(Result, "long", 1000);
  EXPECT_GE(Result.Resumes_, 1);
}

TEST_F(ProcessTest, wholeAnswer_entryReclaimed_isFetchedThroughAnother) {
  start();
  CallerRequest Request = completion("long whole", 1000);
  Request.Stream_ = false;
  const auto R = begin(0, Request);
  ASSERT_TRUE(waitFor([&] { return engineOf(0) >= 0; }));
  notice("entry-0", 2000);
  const CallerResult Result = finish(R);
  expectWhole(Result, "long whole", 1000);
  EXPECT_GE(Result.Resumes_, 1);
}

TEST_F(ProcessTest, stream_entryKilledWithinItsNotice_goesOnThroughAnother) {
  start();
  const auto R = begin(0, completion("long", 1000));
  ASSERT_TRUE(waitFor([&] { return engineOf(0) >= 0; }));
  notice("entry-0", 2000);
  ASSERT_TRUE(waitFor([&] {
    return dump(1)["held_records"] > 0 || dump(2)["held_records"] > 0 ||
           dump(3)["held_records"] > 0;
  }));
  killEntry(0);
  expectWhole(finish(R), "long", 1000);
}

// --- At most once ---

TEST_F(ProcessTest, booking_throughAllEntriesAtOnce_runsOnce) {
  start();
  std::vector<std::shared_ptr<std::optional<CallerResult>>> All;
  for (int I = 0; I < 4; ++I)
    All.push_back(begin(I, booking("b")));
  for (const auto &R : All)
    EXPECT_TRUE(finish(R).Answered_);
  EXPECT_EQ(executions("b"), 1);
}

TEST_F(ProcessTest, bookings_entryKilledAgainAndAgain_runAtMostOnce) {
  start();
  for (const int Port : ServicePorts_)
    control(Port, {{"delay_ms", 20}});
  std::vector<std::shared_ptr<std::optional<CallerResult>>> All;
  for (int Round = 0; Round < 3; ++Round) {
    for (int I = 0; I < 20; ++I)
      All.push_back(begin(0, booking(fmt::format("k{}-{}", Round, I))));
    std::this_thread::sleep_for(std::chrono::milliseconds(12 * Round));
    killEntry(0);
    startEntry(0);
    waitReady(0);
  }
  for (std::size_t I = 0; I < All.size(); ++I) {
    const CallerResult R = finish(All[I]);
    const std::string Key = fmt::format("k{}-{}", I / 20, I % 20);
    EXPECT_LE(executions(Key), 1) << Key;
    EXPECT_TRUE(!R.Answered_ || executions(Key) == 1) << Key;
  }
}

TEST_F(ProcessTest, booking_replyLost_isUnknownEverywhere) {
  start({.Limits_ = "service = 1s"});
  for (const int Port : ServicePorts_)
    control(Port, {{"lose_replies", 1}});
  CallerRequest Request = booking("b");
  Request.RetryRefused_ = false;
  EXPECT_EQ(ask(0, Request).Run_, "unknown");
  EXPECT_EQ(ask(1, Request).Run_, "unknown");
  EXPECT_EQ(executions("b"), 1);
}

TEST_F(ProcessTest, booking_logDown_isRefusedAndCompletionsGoOn) {
  start();
  control(LogPort_, {{"outage", true}});
  ASSERT_TRUE(
      waitFor([&] { return !dump(0)["log"]["available"].get<bool>(); }));
  CallerRequest Request = booking("b");
  Request.RetryRefused_ = false;
  const CallerResult Refused = ask(0, Request);
  EXPECT_EQ(Refused.ErrorType_, "log_unavailable");
  EXPECT_GT(Refused.RetryAfterMs_, 0);
  expectWhole(ask(0, completion("still", 20)), "still", 20);
  control(LogPort_, {{"outage", false}});
  EXPECT_TRUE(ask(1, booking("b")).Answered_);
  EXPECT_EQ(executions("b"), 1);
}

TEST_F(ProcessTest, bookings_entryPausedPastItsLease_runAtMostOnce) {
  start({.Limits_ = "lease = 1s"});
  for (const int Port : ServicePorts_)
    control(Port, {{"delay_ms", 30}});
  std::vector<std::shared_ptr<std::optional<CallerResult>>> All;
  for (int I = 0; I < 20; ++I)
    All.push_back(begin(0, booking(fmt::format("k{}", I))));
  std::this_thread::sleep_for(std::chrono::milliseconds(15));
  Children_["entry-0"]->signal(SIGSTOP);
  std::vector<std::shared_ptr<std::optional<CallerResult>>> Again;
  for (int I = 0; I < 20; ++I) {
    CallerRequest Request = booking(fmt::format("k{}", I));
    Request.TimeLimit_ = 3000;
    Again.push_back(begin(1, Request));
  }
  for (const auto &R : Again)
    finish(R);
  Children_["entry-0"]->signal(SIGCONT);
  for (const auto &R : All)
    finish(R);
  for (int I = 0; I < 20; ++I)
    EXPECT_LE(executions(fmt::format("k{}", I)), 1) << I;
}

// --- Leaving upstreams ---

class LeavingProcessTest : public ClusterTest {
protected:
  bool isLeavingAt(int Entry, int Engine) const {
    const Json Dump = dump(Entry);
    for (const Json &U : Dump["upstreams"])
      if (U["name"] == fmt::format("engine-{}", Engine))
        return U["leaving"];
    return false;
  }

  /// Keeps requests coming until every process knows, then checks that all
  /// go elsewhere. The bound on the time is LeavingTest's, on its own clock.
  void expectNoNewWork(int Engine) {
    int Sent = 0;
    EXPECT_TRUE(waitFor([&] {
      ask(++Sent % 4, completion(fmt::format("x{}", Sent), 1));
      bool Known = true;
      for (int I = 0; I < 4; ++I)
        Known = Known && isLeavingAt(I, Engine);
      return Known;
    }));
    const std::int64_t Before = engineStarts(Engine);
    for (int I = 0; I < 60; ++I)
      ask(I % 4, completion(fmt::format("y{}", I), 1));
    EXPECT_EQ(engineStarts(Engine), Before);
  }
};

TEST_F(LeavingProcessTest, engine_noticeOnly_getsNoNewWork) {
  start();
  notice("engine-1", 10000);
  expectNoNewWork(1);
}

TEST_F(LeavingProcessTest, engine_hostListOnly_getsNoNewWork) {
  start();
  publishHosts({"engine-1"});
  expectNoNewWork(1);
}

TEST_F(LeavingProcessTest, engine_refusalOnly_getsNoNewWork) {
  start();
  control(EnginePorts_[1], {{"leaving", true}, {"hide_leaving", true}});
  expectNoNewWork(1);
}

// --- Planned stops ---

TEST_F(ProcessTest, rollingRestart_underLoad_failsNoCaller) {
  start();
  std::vector<std::shared_ptr<std::optional<CallerResult>>> All;
  std::atomic<bool> Stop = false;
  std::atomic<int> Unready = -1; // what a balancer would leave out
  std::thread Load([&] {
    for (int I = 0; !Stop; ++I) {
      const int Entry = I % 4 == Unready ? (I + 1) % 4 : I % 4;
      CallerRequest Request =
          I % 5 == 0 ? booking(fmt::format("r{}", I))
                     : completion(fmt::format("p{}", I), 10 + I % 60);
      Request.MaxTries_ = 1; // no second chance
      All.push_back(begin(Entry, Request));
      std::this_thread::sleep_for(std::chrono::milliseconds(15));
    }
  });
  for (int I = 0; I < 4; ++I) {
    Unready = I; // the balancer has seen that it is not ready
    Children_[fmt::format("entry-{}", I)]->signal(SIGTERM);
    ASSERT_TRUE(waitFor([&] {
      return Children_[fmt::format("entry-{}", I)]->ended().has_value();
    }));
    EXPECT_EQ(Children_[fmt::format("entry-{}", I)]->ended(), 0);
    startEntry(I);
    waitReady(I);
    Unready = -1;
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  Stop = true;
  Load.join();
  int Failed = 0;
  for (const auto &R : All) {
    const CallerResult Result = finish(R);
    Failed += Result.Answered_ && !Result.Wrong_ ? 0 : 1;
  }
  EXPECT_EQ(Failed, 0) << "of " << All.size();
  EXPECT_GT(All.size(), 100U);
}

} // namespace endivewharf::harness
