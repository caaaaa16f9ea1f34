// End-to-end tests with real processes, real sockets and stand-ins for the
// upstreams and the platform.
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
  startCluster();
  const auto R = startRequest(0, makeCompletionRequest("lot sheet", 200));
  ASSERT_TRUE(waitUntil([&] { return engineServing(0) >= 0; }));
  Children_.erase(fmt::format("engine-{}", engineServing(0)));
  expectCompleteAnswer(awaitResult(R), "lot sheet", 200);
  EXPECT_GE(fetchDump(0)["counters"]["retries"], 1);
}

TEST_F(ProcessTest, wholeAnswer_engineKilled_isWhole) {
  startCluster();
  CallerRequest Request = makeCompletionRequest("stock", 200);
  Request.Stream_ = false;
  const auto R = startRequest(0, Request);
  ASSERT_TRUE(waitUntil([&] { return engineServing(0) >= 0; }));
  Children_.erase(fmt::format("engine-{}", engineServing(0)));
  expectCompleteAnswer(awaitResult(R), "stock", 200);
}

TEST_F(ProcessTest, streams_centreOfEnginesReclaimed_areWhole) {
  startCluster();
  std::vector<std::shared_ptr<std::optional<CallerResult>>> Requests;
  for (int I = 0; I < 12; ++I)
    Requests.push_back(
        startRequest(I % 4, makeCompletionRequest(fmt::format("p{}", I), 300)));
  ASSERT_TRUE(waitUntil([&] { return engineServing(0) >= 0; }));
  for (const char *Name : {"engine-0", "engine-3"})
    publishReclaimNotice(Name, 2000);
  Children_.erase("engine-0"); // The engine dies before its notice expires.
  ASSERT_TRUE(waitUntil([&] {
    int Leaving = 0;
    const Json Dump = fetchDump(1);
    for (const Json &U : Dump["upstreams"])
      Leaving += U["leaving"] ? 1 : 0;
    return Leaving == 2;
  }));
  Children_.erase("engine-3");
  for (int I = 0; I < 12; ++I)
    expectCompleteAnswer(awaitResult(Requests[I]), fmt::format("p{}", I), 300);
}

TEST_F(ProcessTest, stream_entryReclaimed_goesOnThroughAnother) {
  startCluster();
  const auto R = startRequest(0, makeCompletionRequest("long", 1000));
  ASSERT_TRUE(waitUntil([&] { return engineServing(0) >= 0; }));
  publishReclaimNotice("entry-0", 2000);
  const CallerResult Result = awaitResult(R);
  expectCompleteAnswer(Result, "long", 1000);
  EXPECT_GE(Result.Resumes_, 1);
}

TEST_F(ProcessTest, wholeAnswer_entryReclaimed_isFetchedThroughAnother) {
  startCluster();
  CallerRequest Request = makeCompletionRequest("long whole", 1000);
  Request.Stream_ = false;
  const auto R = startRequest(0, Request);
  ASSERT_TRUE(waitUntil([&] { return engineServing(0) >= 0; }));
  publishReclaimNotice("entry-0", 2000);
  const CallerResult Result = awaitResult(R);
  expectCompleteAnswer(Result, "long whole", 1000);
  EXPECT_GE(Result.Resumes_, 1);
}

TEST_F(ProcessTest, stream_entryKilledWithinItsNotice_goesOnThroughAnother) {
  startCluster();
  const auto R = startRequest(0, makeCompletionRequest("long", 1000));
  ASSERT_TRUE(waitUntil([&] { return engineServing(0) >= 0; }));
  publishReclaimNotice("entry-0", 2000);
  ASSERT_TRUE(waitUntil([&] {
    return fetchDump(1)["held_records"] > 0 ||
           fetchDump(2)["held_records"] > 0 || fetchDump(3)["held_records"] > 0;
  }));
  killEntry(0);
  expectCompleteAnswer(awaitResult(R), "long", 1000);
}

// --- At most once ---

TEST_F(ProcessTest, booking_throughAllEntriesAtOnce_runsOnce) {
  startCluster();
  std::vector<std::shared_ptr<std::optional<CallerResult>>> Requests;
  for (int I = 0; I < 4; ++I)
    Requests.push_back(startRequest(I, makeServiceRequest("b")));
  for (const auto &R : Requests)
    EXPECT_TRUE(awaitResult(R).Answered_);
  EXPECT_EQ(executionCount("b"), 1);
}

TEST_F(ProcessTest, bookings_entryKilledAgainAndAgain_runAtMostOnce) {
  startCluster();
  for (const int Port : ServicePorts_)
    sendControl(Port, {{"delay_ms", 20}});
  std::vector<std::shared_ptr<std::optional<CallerResult>>> Requests;
  for (int Round = 0; Round < 3; ++Round) {
    for (int I = 0; I < 20; ++I)
      Requests.push_back(
          startRequest(0, makeServiceRequest(fmt::format("k{}-{}", Round, I))));
    std::this_thread::sleep_for(std::chrono::milliseconds(12 * Round));
    killEntry(0);
    startEntry(0);
    waitUntilReady(0);
  }
  for (std::size_t I = 0; I < Requests.size(); ++I) {
    const CallerResult R = awaitResult(Requests[I]);
    const std::string Key = fmt::format("k{}-{}", I / 20, I % 20);
    EXPECT_LE(executionCount(Key), 1) << Key;
    EXPECT_TRUE(!R.Answered_ || executionCount(Key) == 1) << Key;
  }
}

TEST_F(ProcessTest, booking_replyLost_isUnknownEverywhere) {
  startCluster({.LimitLines_ = "service = 1s"});
  for (const int Port : ServicePorts_)
    sendControl(Port, {{"lose_replies", 1}});
  CallerRequest Request = makeServiceRequest("b");
  Request.RetryAfterRefusal_ = false;
  EXPECT_EQ(sendAndAwait(0, Request).RunState_, "unknown");
  EXPECT_EQ(sendAndAwait(1, Request).RunState_, "unknown");
  EXPECT_EQ(executionCount("b"), 1);
}

TEST_F(ProcessTest, booking_logDown_isRefusedAndCompletionsGoOn) {
  startCluster();
  sendControl(LogPort_, {{"outage", true}});
  ASSERT_TRUE(
      waitUntil([&] { return !fetchDump(0)["log"]["available"].get<bool>(); }));
  CallerRequest Request = makeServiceRequest("b");
  Request.RetryAfterRefusal_ = false;
  const CallerResult Refused = sendAndAwait(0, Request);
  EXPECT_EQ(Refused.ErrorType_, "log_unavailable");
  EXPECT_GT(Refused.RetryAfterMs_, 0);
  expectCompleteAnswer(sendAndAwait(0, makeCompletionRequest("still", 20)),
                       "still", 20);
  sendControl(LogPort_, {{"outage", false}});
  EXPECT_TRUE(sendAndAwait(1, makeServiceRequest("b")).Answered_);
  EXPECT_EQ(executionCount("b"), 1);
}

TEST_F(ProcessTest, bookings_entryPausedPastItsLease_runAtMostOnce) {
  startCluster({.LimitLines_ = "lease = 1s"});
  for (const int Port : ServicePorts_)
    sendControl(Port, {{"delay_ms", 30}});
  std::vector<std::shared_ptr<std::optional<CallerResult>>> Requests;
  for (int I = 0; I < 20; ++I)
    Requests.push_back(
        startRequest(0, makeServiceRequest(fmt::format("k{}", I))));
  std::this_thread::sleep_for(std::chrono::milliseconds(15));
  Children_["entry-0"]->sendSignal(SIGSTOP);
  std::vector<std::shared_ptr<std::optional<CallerResult>>> Retries;
  for (int I = 0; I < 20; ++I) {
    CallerRequest Request = makeServiceRequest(fmt::format("k{}", I));
    Request.TimeLimit_ = 3000;
    Retries.push_back(startRequest(1, Request));
  }
  for (const auto &R : Retries)
    awaitResult(R);
  Children_["entry-0"]->sendSignal(SIGCONT);
  for (const auto &R : Requests)
    awaitResult(R);
  for (int I = 0; I < 20; ++I)
    EXPECT_LE(executionCount(fmt::format("k{}", I)), 1) << I;
}

// --- Leaving upstreams ---

class LeavingProcessTest : public ClusterTest {
protected:
  bool isLeavingAt(int Entry, int Engine) const {
    const Json Dump = fetchDump(Entry);
    for (const Json &U : Dump["upstreams"])
      if (U["name"] == fmt::format("engine-{}", Engine))
        return U["leaving"];
    return false;
  }

  /// Sends requests until every process knows that the engine leaves, then
  /// checks that no further request reaches it. LeavingTest checks the bound on
  /// the time that this takes, on simulated time.
  void expectNoNewWork(int Engine) {
    int Sent = 0;
    EXPECT_TRUE(waitUntil([&] {
      sendAndAwait(++Sent % 4,
                   makeCompletionRequest(fmt::format("x{}", Sent), 1));
      bool KnownEverywhere = true;
      for (int I = 0; I < 4; ++I)
        KnownEverywhere = KnownEverywhere && isLeavingAt(I, Engine);
      return KnownEverywhere;
    }));
    const std::int64_t Before = engineStartCount(Engine);
    for (int I = 0; I < 60; ++I)
      sendAndAwait(I % 4, makeCompletionRequest(fmt::format("y{}", I), 1));
    EXPECT_EQ(engineStartCount(Engine), Before);
  }
};

TEST_F(LeavingProcessTest, engine_noticeOnly_getsNoNewWork) {
  startCluster();
  publishReclaimNotice("engine-1", 10000);
  expectNoNewWork(1);
}

TEST_F(LeavingProcessTest, engine_hostListOnly_getsNoNewWork) {
  startCluster();
  publishHosts({"engine-1"});
  expectNoNewWork(1);
}

TEST_F(LeavingProcessTest, engine_refusalOnly_getsNoNewWork) {
  startCluster();
  sendControl(EnginePorts_[1], {{"leaving", true}, {"hide_leaving", true}});
  expectNoNewWork(1);
}

// --- Planned stops ---

TEST_F(ProcessTest, rollingRestart_underLoad_failsNoCaller) {
  startCluster();
  std::vector<std::shared_ptr<std::optional<CallerResult>>> Requests;
  std::atomic<bool> Stop = false;
  // Index of the process that a load balancer would leave out; -1 for none.
  std::atomic<int> Unready = -1;
  std::thread Load([&] {
    for (int I = 0; !Stop; ++I) {
      const int Entry = I % 4 == Unready ? (I + 1) % 4 : I % 4;
      CallerRequest Request =
          I % 5 == 0
              ? makeServiceRequest(fmt::format("r{}", I))
              : makeCompletionRequest(fmt::format("p{}", I), 10 + I % 60);
      Request.MaxExchanges_ = 1; // The caller does not retry.
      Requests.push_back(startRequest(Entry, Request));
      std::this_thread::sleep_for(std::chrono::milliseconds(15));
    }
  });
  for (int I = 0; I < 4; ++I) {
    Unready = I; // The load balancer has seen that it is not ready.
    Children_[fmt::format("entry-{}", I)]->sendSignal(SIGTERM);
    ASSERT_TRUE(waitUntil([&] {
      return Children_[fmt::format("entry-{}", I)]->exitStatus().has_value();
    }));
    EXPECT_EQ(Children_[fmt::format("entry-{}", I)]->exitStatus(), 0);
    startEntry(I);
    waitUntilReady(I);
    Unready = -1;
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  Stop = true;
  Load.join();
  int Failed = 0;
  for (const auto &R : Requests) {
    const CallerResult Result = awaitResult(R);
    Failed += Result.Answered_ && !Result.TokenSequenceWrong_ ? 0 : 1;
  }
  EXPECT_EQ(Failed, 0) << "of " << Requests.size();
  EXPECT_GT(Requests.size(), 100U);
}

} // namespace endivewharf::harness
