// End-to-end tests of configurations and release notes on real processes.
#include "harness.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <fstream>

namespace endivewharf::harness {

class ConfigProcessTest : public ClusterTest {
protected:
  /// Limit of the wait only; ControlTest checks the required bound on
  /// simulated time.
  static constexpr Millis PropagationTimeout = 20000;

  std::string writeConfig(const std::string &Name,
                          const std::string &MoreLines) {
    const std::string Path = Folder_ + "/" + Name;
    std::ofstream(Path) << "[account one]\nkey = key-one\nrate = 10000\n"
                           "max_in_flight = 10000\n[model m]\nversion = v1\n"
                           "[service desk]\nunrepeatable = POST /bookings\n"
                        << MoreLines;
    return "--file=" + Path;
  }

  std::vector<std::string> publishArguments(const std::string &File) const {
    return {"config", "publish", File,
            fmt::format("--log=http://127.0.0.1:{}", LogPort_),
            fmt::format("--operator=127.0.0.1:{}", OperatorPorts_[0])};
  }

  std::int64_t configVersion(int Entry) const {
    return fetchDump(Entry)["config"].value("version", std::int64_t{-1});
  }

  bool hasVersionEverywhere(std::int64_t Version) const {
    for (int I = 0; I < 4; ++I)
      if (configVersion(I) != Version)
        return false;
    return true;
  }
};

TEST_F(ConfigProcessTest, config_published_isInForceEverywhereAndUsed) {
  startCluster();
  ASSERT_EQ(runCommand(publishArguments(
                writeConfig("c.ini", "[account two]\nkey = key-two\n"))),
            0);
  const std::int64_t Version = configVersion(0);
  EXPECT_TRUE(waitUntil([&] { return hasVersionEverywhere(Version); },
                        PropagationTimeout));
  for (int I = 0; I < 4; ++I) {
    CallerRequest Request = makeCompletionRequest("x", 2);
    Request.ApiKey_ = "key-two";
    EXPECT_TRUE(sendAndAwait(I, Request).Answered_);
  }
}

TEST_F(ConfigProcessTest, config_staleBase_isRejectedWithItsReason) {
  startCluster();
  // Another operator publishes on the basis of the version that this one saw.
  const Json Stale = {
      {"type", "config"},
      {"base", 0},
      {"text", "[account x]\nkey = y\n[model m]\nversion = v1\n"}};
  const std::int64_t Initial = configVersion(0);
  ASSERT_EQ(runCommand(publishArguments(writeConfig("c.ini", ""))), 0);
  const std::int64_t Accepted = configVersion(0);
  sendHttpRequest("POST", fmt::format("http://127.0.0.1:{}/append", LogPort_),
                  Json{{"records", Json::array({Stale.dump()})}}.dump());
  EXPECT_TRUE(
      waitUntil([&] { return !fetchDump(2)["config"]["rejected"].empty(); }));
  EXPECT_TRUE(hasVersionEverywhere(Accepted));
  EXPECT_GT(Accepted, Initial);
}

TEST_F(ConfigProcessTest, config_restartWithLogDown_isKept) {
  startCluster();
  ASSERT_EQ(runCommand(publishArguments(writeConfig("c.ini", ""))), 0);
  const std::int64_t Version = configVersion(0);
  ASSERT_TRUE(waitUntil([&] { return hasVersionEverywhere(Version); },
                        PropagationTimeout));
  sendControl(LogPort_, {{"outage", true}});
  killEntry(2);
  startEntry(2);
  waitUntilReady(2);
  EXPECT_EQ(configVersion(2), Version);
  expectCompleteAnswer(sendAndAwait(2, makeCompletionRequest("x", 5)), "x", 5);
}

TEST_F(ConfigProcessTest, config_oneCentreCutFromLog_learnsFromPeers) {
  ClusterOptions Options;
  Options.RelayLogEntry_ = 1;
  startCluster(Options);
  LogRelay_->stopForwardingAndAccepting();
  ASSERT_TRUE(
      waitUntil([&] { return !fetchDump(1)["log"]["available"].get<bool>(); }));
  ASSERT_EQ(runCommand(publishArguments(writeConfig("c.ini", ""))), 0);
  const std::int64_t Version = configVersion(0);
  EXPECT_TRUE(waitUntil([&] { return hasVersionEverywhere(Version); },
                        PropagationTimeout));
  expectCompleteAnswer(
      sendAndAwait(1, makeCompletionRequest("still serves", 5)), "still serves",
      5);
}

TEST_F(ConfigProcessTest, config_allRestart_isKept) {
  startCluster();
  ASSERT_EQ(runCommand(publishArguments(writeConfig("c.ini", ""))), 0);
  const std::int64_t Version = configVersion(0);
  for (int I = 0; I < 4; ++I)
    killEntry(I);
  for (int I = 0; I < 4; ++I)
    startEntry(I);
  for (int I = 0; I < 4; ++I)
    waitUntilReady(I);
  EXPECT_TRUE(hasVersionEverywhere(Version));
}

// --- Releases ---

class ReleaseProcessTest : public ConfigProcessTest {
protected:
  int runReleaseNotePublish() {
    const std::string Path = Folder_ + "/note.ini";
    std::ofstream(Path)
        << "[note]\nid = n1\nwithin = 20s\n[change m]\nto = v2\n";
    return runCommand(
        {"note", "publish", "--file=" + Path,
         fmt::format("--log=http://127.0.0.1:{}", LogPort_),
         fmt::format("--operator=127.0.0.1:{}", OperatorPorts_[0])});
  }

  /// Sends eight requests at a time until a condition holds, and checks that
  /// all of them are answered.
  /// @return false if the condition did not hold within the limit
  bool sendRequestsUntil(const std::function<bool()> &Condition, Millis Limit) {
    const Millis End = monotonicNow() + Limit;
    for (int I = 0; monotonicNow() < End; ++I) {
      std::vector<std::shared_ptr<std::optional<CallerResult>>> Requests;
      for (int J = 0; J < 8; ++J)
        Requests.push_back(startRequest(
            J % 4, makeCompletionRequest(fmt::format("q{}-{}", I, J), 4)));
      for (int J = 0; J < 8; ++J)
        expectCompleteAnswer(awaitResult(Requests[J]),
                             fmt::format("q{}-{}", I, J), 4);
      if (Condition())
        return true;
    }
    return false;
  }

  /// @return the first rollout in the dump of this process; an empty object if
  /// there is none
  Json rolloutJson(int Entry) const {
    const Json Rollouts = fetchDump(Entry)["release"]["moves"];
    return Rollouts.empty() ? Json::object() : Rollouts[0];
  }
};

TEST_F(ReleaseProcessTest, version_good_isDone) {
  startCluster({.LimitLines_ = "lease = 1s"});
  ASSERT_EQ(runReleaseNotePublish(), 0);
  EXPECT_TRUE(sendRequestsUntil(
      [&] { return rolloutJson(1).value("done", false); }, 40000));
  EXPECT_FALSE(rolloutJson(1).value("taken_back", true));
}

TEST_F(ReleaseProcessTest, version_fails_isTakenBackEverywhere) {
  startCluster({.LimitLines_ = "lease = 1s"});
  for (const int Port : EnginePorts_)
    sendControl(Port, {{"fault", {{"version", "v2"}, {"mode", "fail"}}}});
  ASSERT_EQ(runReleaseNotePublish(), 0);
  EXPECT_TRUE(sendRequestsUntil(
      [&] { return rolloutJson(3).value("taken_back", false); }, 40000));
  for (int I = 0; I < 4; ++I)
    EXPECT_TRUE(waitUntil([&] {
      return rolloutJson(I).value("taken_back", false);
    })) << I;
  std::string Status;
  runCommand({"note", "status",
              fmt::format("--operator=127.0.0.1:{}", OperatorPorts_[2])},
             &Status);
  EXPECT_NE(Status.find("state=taken_back"), std::string::npos) << Status;
}

} // namespace endivewharf::harness
