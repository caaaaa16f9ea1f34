// Starts, controls and queries the processes of the end-to-end tests.
#include "harness.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>
#include <xxhash.h>

namespace endivewharf::harness {

namespace {

constexpr Millis PollInterval = 20; // ms
constexpr int FirstPort = 10000;
constexpr int PortsPerTest = 64;
constexpr int PortRangeCount = 300;
constexpr const char *DefaultApiKey = "key-one";

std::string binaryPath(const char *Name) {
  return std::string(BINARY_DIR) + "/" + Name;
}

const std::vector<std::string> &dataCentres() {
  static const std::vector<std::string> Names = {"north", "south", "west"};
  return Names;
}

std::string loopbackAddress(int Port) {
  return fmt::format("127.0.0.1:{}", Port);
}

} // namespace

int freePort() {
  // Each test process takes ports from its own range, which lies below the
  // ephemeral ports that the system assigns to outgoing connections.
  static int NextPort = FirstPort + getpid() % PortRangeCount * PortsPerTest;
  asio::io_context Io;
  for (;; ++NextPort) {
    asio::ip::tcp::acceptor Probe(Io);
    asio::error_code Error;
    Probe.open(asio::ip::tcp::v4());
    Probe.bind({asio::ip::make_address("127.0.0.1"),
                static_cast<std::uint16_t>(NextPort)},
               Error);
    if (!Error)
      return NextPort++;
  }
}

// --- Child processes ---

ChildProcess::ChildProcess(std::vector<std::string> Command,
                           const std::string &LogFile) {
  Pid_ = fork();
  if (Pid_ != 0)
    return;
  const int Log = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Log, 1);
  dup2(Log, 2);
  std::vector<char *> Arguments;
  for (std::string &Argument : Command)
    Arguments.push_back(Argument.data());
  Arguments.push_back(nullptr);
  execv(Arguments[0], Arguments.data());
  _exit(127);
}

ChildProcess::~ChildProcess() {
  if (exitStatus())
    return;
  kill(Pid_, SIGKILL);
  waitpid(Pid_, nullptr, 0);
}

void ChildProcess::sendSignal(int Number) const { kill(Pid_, Number); }

std::optional<int> ChildProcess::exitStatus() {
  int Status = 0;
  if (!ExitStatus_ && waitpid(Pid_, &Status, WNOHANG) == Pid_)
    ExitStatus_ =
        WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  return ExitStatus_;
}

// --- Requests ---

HttpResult KeepAliveClient::sendRequest(
    HttpRequest Request, const std::function<void(std::string_view)> &Body) {
  HttpResult Outcome;
  Client_.startTransfer(
      std::move(Request),
      [&](int, std::string_view Bytes) {
        Body(Bytes);
        return true;
      },
      [&](const HttpResult &Result) {
        Outcome = Result;
        Io_.stop();
      });
  Io_.restart();
  Io_.run();
  return Outcome;
}

HttpAnswer sendHttpRequest(const std::string &Method, const std::string &Url,
                           const std::string &Body,
                           const std::vector<std::string> &Headers) {
  HttpRequest Request;
  Request.Method_ = Method;
  Request.Url_ = Url;
  Request.Body_ = Body;
  Request.Headers_ = Headers;
  Request.TotalTimeout_ = 15000;
  HttpAnswer Answer;
  const HttpResult Result = KeepAliveClient().sendRequest(
      std::move(Request),
      [&](std::string_view Bytes) { Answer.Body_.append(Bytes); });
  if (Result.End_ == TransferEnd::Complete)
    Answer.Status_ = Result.Status_;
  return Answer;
}

bool waitUntil(const std::function<bool()> &Condition, Millis Limit) {
  const Millis Deadline = monotonicNow() + Limit;
  while (monotonicNow() < Deadline) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(PollInterval));
  }
  return Condition();
}

// --- Cluster ---

void ClusterTest::startStandin(const std::string &Name,
                               std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), binaryPath("standin"));
  Children_[Name] =
      std::make_unique<ChildProcess>(Arguments, Folder_ + "/" + Name + ".log");
}

void ClusterTest::startCluster(const ClusterOptions &Options) {
  const auto *Info = ::testing::UnitTest::GetInstance()->current_test_info();
  Folder_ = (std::filesystem::temp_directory_path() /
             fmt::format("endivewharf-{}-{}", Info->name(), getpid()))
                .string();
  std::filesystem::create_directories(Folder_);
  Client_ = std::make_unique<HttpClient>(Io_);
  WorkGuard_ = std::make_unique<
      asio::executor_work_guard<asio::io_context::executor_type>>(
      asio::make_work_guard(Io_));
  Thread_ = std::thread([this] { Io_.run(); });

  LogPort_ = freePort();
  HostsPort_ = freePort();
  CloudPort_ = freePort();
  startStandin("log", {"--kind=log", fmt::format("--port={}", LogPort_)});
  startStandin("hosts", {"--kind=hosts", fmt::format("--port={}", HostsPort_),
                         "--lag_ms=0"});
  startStandin("cloud", {"--kind=cloud", fmt::format("--port={}", CloudPort_)});
  if (Options.RelayLog_ || Options.RelayLogEntry_ >= 0)
    LogRelay_ = std::make_unique<Relay>(LogPort_);
  for (int I = 0; I < Options.EngineCount_; ++I) {
    EnginePorts_.push_back(freePort());
    startStandin(fmt::format("engine-{}", I),
                 {"--kind=engine", fmt::format("--port={}", EnginePorts_[I]),
                  "--models=m@v1",
                  fmt::format("--token_ms={}", Options.TokenIntervalMs_)});
    if (Options.RelayEngines_)
      EngineRelays_.push_back(std::make_unique<Relay>(EnginePorts_[I]));
  }
  for (int I = 0; I < 3; ++I) {
    ServicePorts_.push_back(freePort());
    startStandin(fmt::format("service-{}", I),
                 {"--kind=plain", fmt::format("--port={}", ServicePorts_[I])});
  }
  ASSERT_TRUE(waitUntil([this] {
    return sendHttpRequest("GET",
                           "http://" + loopbackAddress(HostsPort_) + "/hosts")
               .Status_ == 200;
  }));
  publishHosts();
  ASSERT_TRUE(waitUntil([this] {
    return sendHttpRequest("GET",
                           "http://" + loopbackAddress(LogPort_) + "/read")
               .Status_ == 200;
  }));
  const Json Config = {
      {"type", "config"},
      {"base", -1},
      {"text", fmt::format("[account one]\nkey = {}\nrate = 10000\n"
                           "max_in_flight = 10000\n[model m]\nversion = v1\n"
                           "[service desk]\nunrepeatable = POST /bookings\n",
                           DefaultApiKey)}};
  sendHttpRequest("POST", "http://" + loopbackAddress(LogPort_) + "/append",
                  Json{{"records", Json::array({Config.dump()})}}.dump());
  for (int I = 0; I < 4; ++I) {
    CallerPorts_.push_back(freePort());
    OperatorPorts_.push_back(freePort());
    PeerPorts_.push_back(freePort());
    if (Options.RelayPeers_)
      PeerRelays_.push_back(std::make_unique<Relay>(PeerPorts_[I]));
  }
  for (int I = 0; I < 4; ++I) {
    std::ofstream File(fmt::format("{}/entry-{}.ini", Folder_, I));
    File << fmt::format(
        "[entry]\nname = entry-{}\ndata_centre = {}\nzone = z{}\n"
        "listen = {}\noperator_listen = {}\npeer_listen = {}\n"
        "[platform]\nlog = http://{}\nhosts = http://{}\ncloud = http://{}\n"
        "[limits]\n{}\n",
        I, dataCentres()[I % 3], I, loopbackAddress(CallerPorts_[I]),
        loopbackAddress(OperatorPorts_[I]), loopbackAddress(PeerPorts_[I]),
        loopbackAddress(Options.RelayLog_ || Options.RelayLogEntry_ == I
                            ? LogRelay_->port()
                            : LogPort_),
        loopbackAddress(HostsPort_), loopbackAddress(CloudPort_),
        Options.LimitLines_);
    for (int J = 0; J < 4; ++J)
      if (J != I)
        File << fmt::format(
            "[peer entry-{}]\naddress = {}\ndata_centre = {}\nzone = z{}\n", J,
            loopbackAddress(Options.RelayPeers_ ? PeerRelays_[J]->port()
                                                : PeerPorts_[J]),
            dataCentres()[J % 3], J);
  }
  for (int I = 0; I < 4; ++I)
    startEntry(I);
  for (int I = 0; I < 4; ++I)
    waitUntilReady(I);
}

void ClusterTest::TearDown() {
  const bool Failed = HasFailure();
  for (auto &[Name, Child] : Children_)
    if (Child)
      Child->sendSignal(SIGCONT);
  Children_.clear();
  EngineRelays_.clear();
  PeerRelays_.clear();
  LogRelay_.reset();
  if (Thread_.joinable()) {
    WorkGuard_.reset();
    Io_.stop();
    Thread_.join();
  }
  Client_.reset();
  if (!Failed)
    std::filesystem::remove_all(Folder_);
  else
    fmt::print("logs are in {}\n", Folder_);
}

void ClusterTest::startEntry(int Index) {
  const std::string Name = fmt::format("entry-{}", Index);
  Children_[Name].reset();
  Children_[Name] = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          binaryPath("endivewharf"), "serve",
          fmt::format("--settings={}/{}.ini", Folder_, Name)},
      Folder_ + "/" + Name + ".log");
}

void ClusterTest::killEntry(int Index) {
  Children_[fmt::format("entry-{}", Index)].reset();
}

void ClusterTest::waitUntilReady(int Index) {
  ASSERT_TRUE(waitUntil([&] {
    if (sendHttpRequest("GET", "http://" + callerAddress(Index) + "/readyz")
            .Status_ != 200)
      return false;
    const Json Dump = fetchDump(Index);
    // Every started engine must have reported its loaded models.
    std::size_t LoadedEngines = 0;
    for (const Json &U : Dump["upstreams"])
      LoadedEngines += U["loaded"].empty() ? 0 : 1;
    std::size_t StartedEngines = 0;
    for (std::size_t I = 0; I < EnginePorts_.size(); ++I)
      StartedEngines += Children_.count(fmt::format("engine-{}", I));
    return LoadedEngines >= StartedEngines;
  })) << "entry-"
      << Index;
}

void ClusterTest::publishHosts(const std::vector<std::string> &Leaving) {
  Json Hosts = Json::array();
  const auto AddHost = [&](const std::string &Name, int Port, int I,
                           const std::string &Service) {
    Json Row = {{"name", Name},
                {"incarnation", 1},
                {"address", "http://" + loopbackAddress(Port)},
                {"data_centre", dataCentres()[I % 3]},
                {"zone", fmt::format("z{}", I)},
                {"checks_epoch", true}};
    if (!Service.empty())
      Row["service"] = Service;
    Row["leaving"] =
        std::find(Leaving.begin(), Leaving.end(), Name) != Leaving.end();
    Hosts.push_back(Row);
  };
  for (int I = 0; I < static_cast<int>(EnginePorts_.size()); ++I)
    AddHost(fmt::format("engine-{}", I),
            EngineRelays_.empty() ? EnginePorts_[I] : EngineRelays_[I]->port(),
            I, "");
  for (int I = 0; I < static_cast<int>(ServicePorts_.size()); ++I)
    AddHost(fmt::format("service-{}", I), ServicePorts_[I], I, "desk");
  sendControl(HostsPort_, {{"hosts", Hosts}});
}

std::string ClusterTest::callerAddress(int Entry) const {
  return loopbackAddress(CallerPorts_[Entry]);
}

std::vector<std::string> ClusterTest::callerAddressesFrom(int First) const {
  std::vector<std::string> Addresses;
  for (int I = 0; I < 4; ++I)
    Addresses.push_back(callerAddress((First + I) % 4));
  return Addresses;
}

Json ClusterTest::fetchDump(int Entry) const {
  const Json Body =
      sendHttpRequest(
          "GET", "http://" + loopbackAddress(OperatorPorts_[Entry]) + "/dump")
          .parseJson();
  return Body.is_object()
             ? Body
             : Json{{"upstreams", Json::array()}, {"calls", Json::array()}};
}

void ClusterTest::sendControl(int Port, const Json &Body) const {
  sendHttpRequest("POST", "http://" + loopbackAddress(Port) + "/control",
                  Body.dump());
}

void ClusterTest::publishReclaimNotice(const std::string &Host,
                                       Millis TimeLeft) const {
  Json Body = {{"name", Host}, {"incarnation", 1}, {"time_left_ms", TimeLeft}};
  sendControl(CloudPort_, {{"notice", Body}});
}

std::shared_ptr<std::optional<CallerResult>>
ClusterTest::startRequest(int Entry, CallerRequest Request) {
  auto Result = std::make_shared<std::optional<CallerResult>>();
  Request.ApiKey_ = Request.ApiKey_.empty() ? DefaultApiKey : Request.ApiKey_;
  asio::post(Io_, [this, Entry, Request, Result] {
    runCallerRequest(Io_, *Client_, callerAddressesFrom(Entry), Request,
                     [Result](const CallerResult &R) { *Result = R; });
  });
  return Result;
}

CallerResult ClusterTest::awaitResult(
    const std::shared_ptr<std::optional<CallerResult>> &R) {
  const auto HasEnded = [this, &R] {
    std::promise<bool> Ended;
    asio::post(Io_, [&] { Ended.set_value(R->has_value()); });
    return Ended.get_future().get();
  };
  EXPECT_TRUE(waitUntil(HasEnded, 40000))
      << "the request did not end within 40 s";
  return R->value_or(CallerResult{});
}

CallerResult ClusterTest::sendAndAwait(int Entry, CallerRequest Request) {
  return awaitResult(startRequest(Entry, std::move(Request)));
}

CallerRequest ClusterTest::makeCompletionRequest(const std::string &Prompt,
                                                 int Tokens) {
  static int Number = 0;
  CallerRequest Request;
  Request.RequestId_ = fmt::format("test-{}", ++Number);
  Request.Model_ = "m";
  Request.Prompt_ = Prompt;
  Request.MaxTokens_ = Tokens;
  return Request;
}

CallerRequest ClusterTest::makeServiceRequest(const std::string &Key) {
  CallerRequest Request;
  Request.ServicePath_ = "/svc/desk/bookings";
  Request.IdempotencyKey_ = Key;
  Request.Body_ = "{}";
  Request.RetryAfterRefusal_ = true;
  return Request;
}

int ClusterTest::executionCount(const std::string &Key) const {
  int Count = 0;
  for (const int Port : ServicePorts_) {
    const Json Body = sendHttpRequest("GET", "http://" + loopbackAddress(Port) +
                                                 "/executions")
                          .parseJson();
    if (Body.is_object())
      Count += Body.value(Key, 0);
  }
  return Count;
}

int ClusterTest::engineServing(int Entry) const {
  const Json Dump = fetchDump(Entry);
  for (const Json &U : Dump["upstreams"]) {
    const std::string Name = U["name"];
    if (U["in_flight"] > 0 && Name.rfind("engine-", 0) == 0)
      return std::stoi(Name.substr(7));
  }
  return -1;
}

std::int64_t ClusterTest::engineStartCount(int Engine) const {
  const Json Body =
      sendHttpRequest("GET", "http://" + loopbackAddress(EnginePorts_[Engine]) +
                                 "/stats")
          .parseJson();
  return Body.is_object() ? Body.value("started", std::int64_t{0}) : 0;
}

int ClusterTest::runCommand(const std::vector<std::string> &Arguments,
                            std::string *Output) const {
  std::vector<std::string> Command = {binaryPath("endivewharf")};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  const std::string File =
      fmt::format("{}/command-{}.log", Folder_, monotonicNow());
  ChildProcess Child(Command, File);
  waitUntil([&] { return Child.exitStatus().has_value(); }, 30000);
  if (Output != nullptr) {
    std::ifstream Stream(File);
    std::stringstream Text;
    Text << Stream.rdbuf();
    *Output = Text.str();
  }
  return Child.exitStatus().value_or(-1);
}

void ClusterTest::expectCompleteAnswer(const CallerResult &R,
                                       const std::string &Prompt,
                                       int Tokens) const {
  const std::string RenderedPrompt = "user\n" + Prompt + "\n";
  const std::uint64_t Hash =
      XXH3_64bits(RenderedPrompt.data(), RenderedPrompt.size());
  std::string Expected;
  for (int I = 0; I < Tokens; ++I)
    Expected += fmt::format(
        "w{} ", (Hash + static_cast<std::uint64_t>(I) * 7919) % 99991);
  EXPECT_TRUE(R.Answered_) << R.ErrorType_ << " " << R.Status_;
  EXPECT_FALSE(R.TokenSequenceWrong_);
  EXPECT_EQ(R.Text_, Expected);
}

} // namespace endivewharf::harness
