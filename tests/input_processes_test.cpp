// End-to-end tests of malformed input and of connections that stop
// forwarding, on real processes.
#include "harness.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <fstream>

namespace endivewharf::harness {

// --- Connections that stop forwarding ---

class SilentTest : public ClusterTest {
protected:
  static constexpr const char *LimitLines = "progress = 500ms\nlease = 1s";
};

TEST_F(SilentTest, streams_engineConnectionsGoSilent_areWhole) {
  startCluster({.LimitLines_ = LimitLines, .RelayEngines_ = true});
  std::vector<std::shared_ptr<std::optional<CallerResult>>> Requests;
  for (int I = 0; I < 8; ++I)
    Requests.push_back(
        startRequest(I % 4, makeCompletionRequest(fmt::format("p{}", I), 200)));
  ASSERT_TRUE(waitUntil([&] { return engineServing(0) >= 0; }));
  for (const auto &R : EngineRelays_)
    R->stopForwarding();
  for (int I = 0; I < 8; ++I)
    expectCompleteAnswer(awaitResult(Requests[I]), fmt::format("p{}", I), 200);
}

TEST_F(SilentTest, config_peerAndLogConnectionsGoSilent_isLearnt) {
  startCluster(
      {.LimitLines_ = LimitLines, .RelayPeers_ = true, .RelayLog_ = true});
  for (const auto &R : PeerRelays_)
    R->stopForwarding();
  LogRelay_->stopForwarding();
  const Json NextConfig = {
      {"type", "config"},
      {"base", 0},
      {"text", "[account one]\nkey = key-one\n[model m]\nversion = v1\n"}};
  sendHttpRequest("POST", fmt::format("http://127.0.0.1:{}/append", LogPort_),
                  Json{{"records", Json::array({NextConfig.dump()})}}.dump());
  for (int I = 0; I < 4; ++I)
    EXPECT_TRUE(waitUntil([&] {
      return fetchDump(I)["config"].value("version", std::int64_t{0}) > 0;
    })) << I;
  EXPECT_TRUE(waitUntil([&] {
    const Json Dump = fetchDump(0);
    for (const Json &Peer : Dump["members"])
      if (!Peer["alive"].get<bool>())
        return false;
    return true;
  }));
}

// --- Bad input ---

class BadInputTest : public ClusterTest {
protected:
  HttpAnswer postWithKey(const std::string &Path, const std::string &Body,
                         std::vector<std::string> Headers = {}) {
    Headers.push_back("Authorization: Bearer key-one");
    return sendHttpRequest("POST", "http://" + callerAddress(0) + Path, Body,
                           Headers);
  }

  void expectError(const HttpAnswer &Answer, int Status,
                   const std::string &Type) {
    EXPECT_EQ(Answer.Status_, Status) << Answer.Body_;
    const Json Body = Answer.parseJson();
    ASSERT_TRUE(Body.is_object()) << Answer.Body_;
    EXPECT_EQ(Body["error"]["type"], Type);
    EXPECT_EQ(Body["error"]["run"], "not_run");
  }
};

TEST_F(BadInputTest, requests_ofEveryBadKind_getTypedErrors) {
  startCluster();
  const std::string Chat = "/v1/chat/completions";
  const std::string ValidBody =
      R"({"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]})";
  expectError(postWithKey(Chat, "{"), 400, "bad_request");
  expectError(postWithKey(Chat, "[1]"), 400, "bad_request");
  expectError(postWithKey(Chat, R"({"model":7})"), 400, "bad_request");
  expectError(postWithKey(Chat, R"({"model":"m","messages":"x"})"), 400,
              "bad_request");
  expectError(
      postWithKey(Chat, R"({"model":"m","messages":[{"role":1,"content":2}]})"),
      400, "bad_request");
  expectError(
      postWithKey(
          Chat,
          R"({"model":"m","stream":"yes","messages":[{"role":"user","content":"x"}]})"),
      400, "bad_request");
  expectError(
      postWithKey(
          Chat,
          R"({"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]})"),
      400, "bad_request");
  expectError(postWithKey("/v1/completions", R"({"model":"m","prompt":5})"),
              400, "bad_request");
  expectError(
      postWithKey(
          Chat,
          R"({"model":"none","messages":[{"role":"user","content":"x"}]})"),
      404, "unknown_model");
  expectError(postWithKey("/svc/none/x", "{}"), 404, "unknown_route");
  expectError(postWithKey("/nowhere", "{}"), 404, "unknown_route");
  expectError(postWithKey(Chat, std::string(5 << 20, 'x')), 413, "bad_request");
  expectError(postWithKey(Chat, ValidBody, {"X-Priority: urgent"}), 400,
              "bad_request");
  expectError(postWithKey(Chat, ValidBody, {"X-Time-Limit: soon"}), 400,
              "bad_request");
  expectError(sendHttpRequest("POST", "http://" + callerAddress(0) + Chat,
                              ValidBody, {"Authorization: Bearer nobody"}),
              401, "bad_key");
  EXPECT_EQ(postWithKey(Chat, ValidBody).Status_, 200);
}

TEST_F(BadInputTest, upstream_sendsRubbish_isLeftForAnother) {
  startCluster();
  for (int I = 0; I < 5; ++I)
    sendControl(EnginePorts_[I], {{"fault", {{"mode", "rubbish"}}}});
  expectCompleteAnswer(sendAndAwait(0, makeCompletionRequest("x", 20)), "x",
                       20);
}

TEST_F(BadInputTest, upstream_duplicatesAndTruncates_answersStayWhole) {
  startCluster();
  sendControl(EnginePorts_[0], {{"fault", {{"mode", "duplicate"}}}});
  sendControl(EnginePorts_[1], {{"fault", {{"mode", "truncate"}}}});
  sendControl(EnginePorts_[2], {{"fault", {{"mode", "duplicate"}}}});
  for (int I = 0; I < 16; ++I)
    expectCompleteAnswer(
        sendAndAwait(I % 4, makeCompletionRequest(fmt::format("x{}", I), 20)),
        fmt::format("x{}", I), 20);
}

TEST_F(BadInputTest, caller_goneInMidStream_upstreamStreamIsCancelled) {
  startCluster();
  asio::io_context Io;
  asio::ip::tcp::socket Caller(Io);
  Caller.connect({asio::ip::make_address("127.0.0.1"),
                  static_cast<std::uint16_t>(CallerPorts_[0])});
  const std::string Body =
      R"({"model":"m","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"x"}]})";
  asio::write(Caller, asio::buffer(fmt::format(
                          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                          "Authorization: Bearer key-one\r\n"
                          "Content-Length: {}\r\n\r\n{}",
                          Body.size(), Body)));
  ASSERT_TRUE(waitUntil([&] { return engineServing(0) >= 0; }));
  Caller.close();
  EXPECT_TRUE(waitUntil([&] { return engineServing(0) < 0; }));
  EXPECT_TRUE(waitUntil([&] {
    std::int64_t Cancelled = 0;
    for (const int Port : EnginePorts_)
      Cancelled +=
          sendHttpRequest("GET", fmt::format("http://127.0.0.1:{}/stats", Port))
              .parseJson()
              .value("cancelled", std::int64_t{0});
    return Cancelled >= 1;
  }));
}

TEST_F(BadInputTest, caller_sendsBodySlowly_holdsUpNobody) {
  startCluster();
  asio::io_context Io;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> SlowCallers;
  for (int I = 0; I < 50; ++I) {
    SlowCallers.push_back(std::make_unique<asio::ip::tcp::socket>(Io));
    SlowCallers.back()->connect({asio::ip::make_address("127.0.0.1"),
                                 static_cast<std::uint16_t>(CallerPorts_[0])});
    asio::write(
        *SlowCallers.back(),
        asio::buffer(std::string("POST /v1/chat/completions HTTP/1.1\r\n"
                                 "Content-Length: 1000\r\n\r\n{")));
  }
  expectCompleteAnswer(sendAndAwait(0, makeCompletionRequest("x", 5)), "x", 5);
}

} // namespace endivewharf::harness
