// Bad input and silent connections with real processes.
#include "harness.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <fstream>

namespace endivewharf::harness {

// --- Silent connections ---

class SilentTest : public ClusterTest {
protected:
  static constexpr const char *Limits = "progress = 500ms\nlease = 1s";
};

TEST_F(SilentTest, streams_engineConnectionsGoSilent_areWhole) {
  start({.Limits_ = Limits, .RelayEngines_ = true});
  std::vector<std::shared_ptr<std::optional<CallerResult>>> All;
  for (int I = 0; I < 8; ++I)
    All.push_back(begin(I % 4, completion(fmt::format("p{}", I), 200)));
  ASSERT_TRUE(waitFor([&] { return engineOf(0) >= 0; }));
  for (const auto &R : EngineRelays_)
    R->silence();
  for (int I = 0; I < 8; ++I)
    expectWhole(finish(All[I]), fmt::format("p{}", I), 200);
}

TEST_F(SilentTest, config_peerAndLogConnectionsGoSilent_isLearnt) {
  start({.Limits_ = Limits, .RelayPeers_ = true, .RelayLog_ = true});
  for (const auto &R : PeerRelays_)
    R->silence();
  LogRelay_->silence();
  const Json Next = {
      {"type", "config"},
      {"base", 0},
      {"text", "[account one]\nkey = key-one\n[model m]\nversion = v1\n"}};
  http("POST", fmt::format("http://127.0.0.1:{}/append", LogPort_),
       Json{{"records", Json::array({Next.dump()})}}.dump());
  for (int I = 0; I < 4; ++I)
    EXPECT_TRUE(waitFor([&] {
      return dump(I)["config"].value("version", std::int64_t{0}) > 0;
    })) << I;
  EXPECT_TRUE(waitFor([&] {
    const Json Dump = dump(0);
    for (const Json &M : Dump["members"])
      if (!M["alive"].get<bool>())
        return false;
    return true;
  }));
}

// --- Bad input ---

class BadInputTest : public ClusterTest {
protected:
  HttpAnswer post(const std::string &Path, const std::string &Body,
                  std::vector<std::string> Headers = {}) {
    Headers.push_back("Authorization: Bearer key-one");
    return http("POST", "http://" + address(0) + Path, Body, Headers);
  }

  void expectError(const HttpAnswer &Answer, int Status,
                   const std::string &Type) {
    EXPECT_EQ(Answer.Status_, Status) << Answer.Body_;
    const Json Body = Answer.json();
    ASSERT_TRUE(Body.is_object()) << Answer.Body_;
    EXPECT_EQ(Body["error"]["type"], Type);
    EXPECT_EQ(Body["error"]["run"], "not_run");
  }
};

TEST_F(BadInputTest, requests_ofEveryBadKind_getTypedErrors) {
  start();
  const std::string Chat = "/v1/chat/completions";
  const std::string Good =
      R"({"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]})";
  expectError(post(Chat, "{"), 400, "bad_request");
  expectError(post(Chat, "[1]"), 400, "bad_request");
  expectError(post(Chat, R"({"model":7})"), 400, "bad_request");
  expectError(post(Chat, R"({"model":"m","messages":"x"})"), 400,
              "bad_request");
  expectError(
      post(Chat, R"({"model":"m","messages":[{"role":1,"content":2}]})"), 400,
      "bad_request");
  expectError(
      post(
          Chat,
          R"({"model":"m","stream":"yes","messages":[{"role":"user","content":"x"}]})"),
      400, "bad_request");
  expectError(
      post(
          Chat,
          R"({"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]})"),
      400, "bad_request");
  expectError(post("/v1/completions", R"({"model":"m","prompt":5})"), 400,
              "bad_request");
  expectError(
      post(Chat,
           R"({"model":"none","messages":[{"role":"user","content":"x"}]})"),
      404, "unknown_model");
  expectError(post("/svc/none/x", "{}"), 404, "unknown_route");
  expectError(post("/nowhere", "{}"), 404, "unknown_route");
  expectError(post(Chat, std::string(5 << 20, 'x')), 413, "bad_request");
  expectError(post(Chat, Good, {"X-Priority: urgent"}), 400, "bad_request");
  expectError(post(Chat, Good, {"X-Time-Limit: soon"}), 400, "bad_request");
  expectError(http("POST", "http://" + address(0) + Chat, Good,
                   {"Authorization: Bearer nobody"}),
              401, "bad_key");
  EXPECT_EQ(post(Chat, Good).Status_, 200);
}

TEST_F(BadInputTest, upstream_sendsRubbish_isLeftForAnother) {
  start();
  for (int I = 0; I < 5; ++I)
    control(EnginePorts_[I], {{"fault", {{"mode", "rubbish"}}}});
  expectWhole(ask(0, completion("x", 20)), "x", 20);
}

TEST_F(BadInputTest, upstream_duplicatesAndTruncates_answersStayWhole) {
  start();
  control(EnginePorts_[0], {{"fault", {{"mode", "duplicate"}}}});
  control(EnginePorts_[1], {{"fault", {{"mode", "truncate"}}}});
  control(EnginePorts_[2], {{"fault", {{"mode", "duplicate"}}}});
  for (int I = 0; I < 16; ++I)
    expectWhole(ask(I % 4, completion(fmt::format("x{}", I), 20)),
                fmt::format("x{}", I), 20);
}

TEST_F(BadInputTest, caller_goneInMidStream_upstreamStreamIsCancelled) {
  start();
  asio::io_context Io;
  asio::ip::tcp::socket Caller(Io);
  Caller.connect({asio::ip::make_address("127.0.0.1"),
                  static_cast<std::uint16_t>(EntryPorts_[0])});
  const std::string Body =
      R"({"model":"m","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"x"}]})";
  asio::write(Caller, asio::buffer(fmt::format(
                          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                          "Authorization: Bearer key-one\r\n"
                          "Content-Length: {}\r\n\r\n{}",
                          Body.size(), Body)));
  ASSERT_TRUE(waitFor([&] { return engineOf(0) >= 0; }));
  Caller.close();
  EXPECT_TRUE(waitFor([&] { return engineOf(0) < 0; }));
  EXPECT_TRUE(waitFor([&] {
    std::int64_t Cancelled = 0;
    for (const int Port : EnginePorts_)
      Cancelled += http("GET", fmt::format("http://127.0.0.1:{}/stats", Port))
                       .json()
                       .value("cancelled", std::int64_t{0});
    return Cancelled >= 1;
  }));
}

TEST_F(BadInputTest, caller_sendsBodySlowly_holdsUpNobody) {
  start();
  asio::io_context Io;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> Slow;
  for (int I = 0; I < 50; ++I) {
    Slow.push_back(std::make_unique<asio::ip::tcp::socket>(Io));
    Slow.back()->connect({asio::ip::make_address("127.0.0.1"),
                          static_cast<std::uint16_t>(EntryPorts_[0])});
    asio::write(*Slow.back(), asio::buffer(std::string(
                                  "POST /v1/chat/completions HTTP/1.1\r\n"
                                  "Content-Length: 1000\r\n\r\n{")));
  }
  expectWhole(ask(0, completion("x", 5)), "x", 5);
}

} // namespace endivewharf::harness
