// Real processes for end-to-end tests: starts stand-ins and entry processes on
// free ports, sends requests, makes faults, waits for conditions.
#pragma once

#include "caller.h"
#include "relay.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace endivewharf::harness {

using Json = nlohmann::json;

int freePort();

/// One child process; killed when it goes out of scope.
class ChildProcess {
public:
  ChildProcess(std::vector<std::string> Command, const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void sendSignal(int Number) const;
  /// @return exit status, if the process has ended
  std::optional<int> exitStatus();

private:
  pid_t Pid_ = -1;
  std::optional<int> ExitStatus_;
};

struct HttpAnswer {
  int Status_ = 0; ///< 0: no answer.
  std::string Body_;
  Json parseJson() const { return Json::parse(Body_, nullptr, false); }
};

/// Requests one after the other on connections that stay open.
class KeepAliveClient {
public:
  /// @param Body gets body bytes as they come
  HttpResult sendRequest(HttpRequest Request,
                         const std::function<void(std::string_view)> &Body);

private:
  asio::io_context Io_;
  HttpClient Client_{Io_};
};

HttpAnswer sendHttpRequest(const std::string &Method, const std::string &Url,
                           const std::string &Body = "",
                           const std::vector<std::string> &Headers = {});

/// Waits until a condition holds.
/// @return false if it did not within the limit
bool waitUntil(const std::function<bool()> &Condition, Millis Limit = 20000);

/// Four entry processes in three data centres with all they need.
class ClusterTest : public ::testing::Test {
protected:
  struct ClusterOptions {
    int EngineCount_ = 6;
    double TokenIntervalMs_ = 5;
    std::string LimitLines_; ///< Lines of the [limits] section.
    bool RelayEngines_ = false;
    bool RelayPeers_ = false;
    bool RelayLog_ = false;
    int RelayLogEntry_ = -1; ///< Only this process reads the log by the relay.
  };

  void startCluster() { startCluster({}); }
  void startCluster(const ClusterOptions &Options);
  void TearDown() override;

  void startEntry(int Index);
  void killEntry(int Index);
  void waitUntilReady(int Index);
  void publishHosts(const std::vector<std::string> &Leaving = {});

  std::string callerAddress(int Entry) const;
  std::vector<std::string> callerAddressesFrom(int First) const;
  Json fetchDump(int Entry) const;
  void sendControl(int Port, const Json &Body) const;
  void publishReclaimNotice(const std::string &Host, Millis TimeLeft) const;

  /// Begins a request; `finish` waits for its outcome.
  std::shared_ptr<std::optional<CallerResult>>
  startRequest(int Entry, CallerRequest Request);
  CallerResult
  awaitResult(const std::shared_ptr<std::optional<CallerResult>> &R);
  CallerResult sendAndAwait(int Entry, CallerRequest Request);
  static CallerRequest makeCompletionRequest(const std::string &Prompt,
                                             int Tokens);
  static CallerRequest makeServiceRequest(const std::string &Key);
  int executionCount(const std::string &Key) const;
  int engineServing(int Entry) const; ///< Engine with a stream of the process.
  std::int64_t engineStartCount(int Engine) const;
  int runCommand(const std::vector<std::string> &Arguments,
                 std::string *Output = nullptr) const;
  void expectCompleteAnswer(const CallerResult &R, const std::string &Prompt,
                            int Tokens) const;

  std::string Folder_;
  int LogPort_ = 0;
  int HostsPort_ = 0;
  int CloudPort_ = 0;
  std::vector<int> EnginePorts_;
  std::vector<int> ServicePorts_;
  std::vector<int> CallerPorts_;
  std::vector<int> OperatorPorts_;
  std::vector<int> PeerPorts_;
  std::vector<std::unique_ptr<Relay>> EngineRelays_;
  std::vector<std::unique_ptr<Relay>> PeerRelays_;
  std::unique_ptr<Relay> LogRelay_;
  std::map<std::string, std::unique_ptr<ChildProcess>> Children_;

private:
  void startStandin(const std::string &Name,
                    std::vector<std::string> Arguments);

  asio::io_context Io_;
  std::unique_ptr<HttpClient> Client_;
  std::unique_ptr<asio::executor_work_guard<asio::io_context::executor_type>>
      WorkGuard_;
  std::thread Thread_;
};

} // namespace endivewharf::harness
