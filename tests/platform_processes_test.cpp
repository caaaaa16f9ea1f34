// The platform's path with real processes: two entry processes, the store and
// servers as stand-ins, faults from outside.
#include "harness.h"

#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace endivewharf::harness {

namespace {

/// Ports of one entry process.
struct EntryPorts {
  int Callers_ = 0;
  int Operators_ = 0;
  int Peers_ = 0;
};

class PlatformProcessTest : public ::testing::Test {
protected:
  static constexpr int Entries = 2;

  void SetUp() override {
    Folder_ = fmt::format(
        "/tmp/endivewharf-{}-{}",
        ::testing::UnitTest::GetInstance()->current_test_info()->name(),
        getpid());
    std::filesystem::create_directories(Folder_);
    Store_ = freePort();
    Cloud_ = freePort();
    standin("store", "store", Store_, {});
    for (int I = 0; I < 2; ++I) {
      Servers_.push_back(freePort());
      const std::string Name = fmt::format("s{}", I);
      standin(Name, "server", Servers_.back(),
              {"--name=" + Name, "--token_ms=10"});
    }
    for (int I = 0; I < Entries; ++I)
      Ports_.push_back({freePort(), freePort(), freePort()});
    ASSERT_TRUE(waitFor([&] { return put("keyed.op", "config", config()); }));
    beat();
    for (int I = 0; I < Entries; ++I)
      startEntry(I);
    for (int I = 0; I < Entries; ++I)
      ASSERT_TRUE(waitFor([&] {
        return get(I, "/check/1", "probe").Status_ == 200;
      })) << "logs are in "
          << Folder_;
  }

  void standin(const std::string &Name, const std::string &Kind, int Port,
               std::vector<std::string> More) {
    std::vector<std::string> Command = {std::string(BINARY_DIR) + "/standin",
                                        "--kind=" + Kind,
                                        fmt::format("--port={}", Port)};
    Command.insert(Command.end(), More.begin(), More.end());
    Children_[Name] =
        std::make_unique<Child>(Command, Folder_ + "/" + Name + ".log");
  }

  void startEntry(int I) {
    const std::string File = fmt::format("{}/entry-{}.ini", Folder_, I);
    std::ofstream(File) << fmt::format(
        "[entry]\nname = entry-{0}\ndata_centre = z{0}\nzone = z{0}\n"
        "listen = 127.0.0.1:{1}\noperator_listen = 127.0.0.1:{2}\n"
        "peer_listen = 127.0.0.1:{3}\n[platform]\nstore = "
        "http://127.0.0.1:{4}\ncloud = http://127.0.0.1:{5}\n[limits]\n"
        "drain = 5s\nstop_margin = 500ms\nunready = 500ms\nlease = 1500ms\n",
        I, Ports_[I].Callers_, Ports_[I].Operators_, Ports_[I].Peers_, Store_,
        Cloud_);
    Children_[fmt::format("entry-{}", I)] = std::make_unique<Child>(
        std::vector<std::string>{std::string(BINARY_DIR) + "/endivewharf",
                                 "serve", "--settings=" + File},
        fmt::format("{}/entry-{}.log", Folder_, I));
  }

  static Json config(const std::string &Keys = R"(["k1","k2"])",
                     const std::string &CheckService = "orders") {
    const auto Route = [](const char *Name, const char *Path, const char *Kind,
                          const std::string &Service, int Attempts) {
      return Json{
          {"name", Name},      {"host", "shop.example"}, {"pathPrefix", Path},
          {"kind", Kind},      {"timeoutMs", 4000},      {"goalMs", 500},
          {"priority", 0},     {"service", Service},     {"attempts", Attempts},
          {"resumable", true}, {"public", false}};
    };
    return Json{
        {"version", 1},
        {"routes",
         Json::array({Route("check", "/check/", "idempotent", CheckService, 2),
                      Route("book", "/book/", "non_idempotent", "orders", 1),
                      Route("stream", "/stream/", "streaming", "orders", 2)})},
        {"services", Json::array({{{"name", "orders"}, {"maxConns", 50}}})},
        {"tenants", Json::array({{{"name", "sales"},
                                  {"apiKeys", Json::parse(Keys)},
                                  {"ratePerS", 0}}})}};
  }

  bool put(const std::string &Topic, const std::string &Key,
           const Json &Value) const {
    const Json Body = {
        {"put",
         Json::array({{{"topic", Topic}, {"key", Key}, {"value", Value}}})}};
    return control(Store_, Body).Status_ == 200;
  }

  static HttpAnswer control(int Port, const Json &Body) {
    return http("POST", fmt::format("http://127.0.0.1:{}/control", Port),
                Body.dump());
  }

  void beat(const std::string &State = "ready") const {
    for (std::size_t I = 0; I < Servers_.size(); ++I)
      put("keyed.servers", fmt::format("s{}", I),
          {{"service", "orders"},
           {"address", fmt::format("127.0.0.1:{}", Servers_[I])},
           {"zone", "z0"},
           {"version", "v1"},
           {"slots", 6},
           {"state", I == 0 ? State : "ready"},
           {"born", 1}});
  }

  HttpAnswer get(int Entry, const std::string &Path, const std::string &Id,
                 const std::string &Key = "k1") const {
    return http(
        "GET",
        fmt::format("http://127.0.0.1:{}{}", Ports_[Entry].Callers_, Path), "",
        {"Host: shop.example", "Request-Id: " + Id, "Deadline-Ms: 4000",
         "Authorization: Token " + Key});
  }

  Json books(int Server) const {
    return control(Servers_[Server], Json::object()).json();
  }

  int runs(const std::string &Id) const {
    int Sum = 0;
    for (int I = 0; I < 2; ++I)
      Sum += books(I)["runs"].value(Id, 0);
    return Sum;
  }

  std::string Folder_;
  int Store_ = 0;
  int Cloud_ = 0;
  std::vector<int> Servers_;
  std::vector<EntryPorts> Ports_;
  std::map<std::string, std::unique_ptr<Child>> Children_;
};

std::string wholeStream() {
  std::string Text;
  for (int I = 1; I <= 20; ++I)
    Text += fmt::format("id: {0}\ndata: piece {0}\n\n", I);
  return Text;
}

} // namespace

TEST_F(PlatformProcessTest, request_reachesItsServer_withTenantAndWithoutKey) {
  const HttpAnswer Answer = get(0, "/check/7?x=1", "abc");
  EXPECT_EQ(Answer.Body_, "whole answer to abc");
  Json Seen;
  for (int I = 0; I < 2; ++I)
    if (books(I)["seen"].contains("abc"))
      Seen = books(I)["seen"]["abc"];
  EXPECT_EQ(Seen["tenant"], "sales");
  EXPECT_EQ(Seen["key"], "");
  EXPECT_LE(std::stoi(Seen["deadline"].get<std::string>()), 4000);
}

TEST_F(PlatformProcessTest, stream_cutByTheServer_isWholeForItsCaller) {
  for (const int Port : Servers_)
    control(Port, {{"cut_after", 15}});
  const HttpAnswer Answer = get(0, "/stream/1", "st");
  EXPECT_EQ(Answer.Status_, 200);
  EXPECT_EQ(Answer.Body_, wholeStream());
  EXPECT_EQ(runs("st"), 2);
}

TEST_F(PlatformProcessTest, booking_answerLost_runsOnceAndPromisesNothing) {
  for (const int Port : Servers_)
    control(Port, {{"lose_answers", 1}});
  EXPECT_EQ(get(0, "/book/1", "b1").Status_, 502);
  EXPECT_EQ(runs("b1"), 1);
}

TEST_F(PlatformProcessTest, booking_serversFull_isRefusedTruly) {
  for (const int Port : Servers_)
    control(Port, {{"refuse", true}});
  EXPECT_EQ(get(0, "/book/1", "b2").Status_, 503);
  for (const int Port : Servers_)
    control(Port, {{"refuse", false}});
  EXPECT_EQ(runs("b2"), 0);
}

TEST_F(PlatformProcessTest, key_takenAway_isRefusedByAllWithinTwoSeconds) {
  put("keyed.op", "config", config(R"(["k2"])"));
  for (int I = 0; I < Entries; ++I)
    EXPECT_TRUE(
        waitFor([&] { return get(I, "/check/1", "k").Status_ == 401; }, 2000));
}

TEST_F(PlatformProcessTest, server_draining_getsNothingAfterTwoSeconds) {
  beat("draining");
  usleep(2'000'000);
  for (int I = 0; I < 12; ++I)
    EXPECT_EQ(get(I % 2, "/check/1", fmt::format("d{}", I)).Status_, 200);
  for (int I = 0; I < 12; ++I)
    EXPECT_FALSE(books(0)["runs"].contains(fmt::format("d{}", I)));
}

TEST_F(PlatformProcessTest, store_silent_servingGoesOnAndItsReturnIsNoticed) {
  control(Store_, {{"silent", true}});
  usleep(1'500'000);
  EXPECT_EQ(get(0, "/check/1", "s1").Status_, 200);
  control(Store_, {{"silent", false}});
  put("keyed.op", "config", config(R"(["k3"])"));
  EXPECT_TRUE(waitFor(
      [&] { return get(0, "/check/1", "s2", "k3").Status_ == 200; }, 6000));
}

TEST_F(PlatformProcessTest, store_forgetsItsHistory_newestHoldAfterARestart) {
  put("keyed.op", "config", config(R"(["k9"])"));
  control(Store_, {{"forget", true}});
  Children_.erase("entry-0");
  startEntry(0);
  EXPECT_TRUE(waitFor(
      [&] { return get(0, "/check/1", "f1", "k9").Status_ == 200; }, 8000));
  EXPECT_EQ(get(0, "/check/1", "f2", "k1").Status_, 401);
}

TEST_F(PlatformProcessTest, entry_stopped_cutsNoStream) {
  std::vector<HttpAnswer> Answers(4);
  std::vector<std::thread> Callers;
  for (int I = 0; I < 4; ++I)
    Callers.emplace_back(
        [&, I] { Answers[I] = get(0, "/stream/1", fmt::format("t{}", I)); });
  ASSERT_TRUE(waitFor([&] { return runs("t3") > 0; }, 3000));
  Children_.at("entry-0")->signal(SIGTERM);
  for (std::thread &Caller : Callers)
    Caller.join();
  for (const HttpAnswer &Answer : Answers)
    EXPECT_EQ(Answer.Body_, wholeStream());
  EXPECT_TRUE(waitFor(
      [&] { return Children_.at("entry-0")->ended().has_value(); }, 8000));
}

} // namespace endivewharf::harness
