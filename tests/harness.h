// Test harness for end-to-end tests with real processes. It starts stand-ins
// and entry processes on free ports, sends requests, injects faults and waits
// for conditions.
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

/// @return a port of 127.0.0.1 that is free now and that no later call in this
/// process returns again
int freePort();

/// One child process, killed with SIGKILL by the destructor.
class ChildProcess {
public:
  /// @param Command path of the program and its arguments
  /// @param LogFile file to which the standard output and the standard error
  /// stream are appended
  ChildProcess(std::vector<std::string> Command, const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void sendSignal(int Number) const;
  pid_t id() const { return Pid_; }
  /// @return exit status if the process has ended, 128 plus the signal number
  /// if a signal ended it
  std::optional<int> exitStatus();

private:
  pid_t Pid_ = -1;
  std::optional<int> ExitStatus_;
};

/// Answer to one HTTP request.
struct HttpAnswer {
  int Status_ = 0; ///< Status code, or 0 if no complete answer arrived.
  std::string Body_;
  /// @return the parsed body, or a discarded value if it is not valid JSON
  Json parseJson() const { return Json::parse(Body_, nullptr, false); }
};

/// Sends requests one at a time on connections that are kept open.
class KeepAliveClient {
public:
  /// Sends a request and blocks until the transfer has ended.
  /// @param Body called with the bytes of the body as they arrive
  HttpResult sendRequest(HttpRequest Request,
                         const std::function<void(std::string_view)> &Body);

private:
  asio::io_context Io_;
  HttpClient Client_{Io_};
};

/// Sends a request on a new connection and waits up to 15 s for the complete
/// answer.
HttpAnswer sendHttpRequest(const std::string &Method, const std::string &Url,
                           const std::string &Body = "",
                           const std::vector<std::string> &Headers = {});

/// Polls a condition until it holds.
/// @param Limit longest wait, in ms
/// @return false if the condition did not hold within the limit
bool waitUntil(const std::function<bool()> &Condition, Millis Limit = 20000);

/// Four entry processes in three data centres, together with stand-ins for the
/// log, the host list, the cloud interface, the engines and the services.
class ClusterTest : public ::testing::Test {
protected:
  struct ClusterOptions {
    int EngineCount_ = 6;
    double TokenIntervalMs_ = 5; ///< Time between two tokens of an engine.
    std::string LimitLines_;     ///< Lines of the [limits] section.
    bool RelayEngines_ = false;  ///< Puts a relay in front of each engine.
    bool RelayPeers_ = false;    ///< Puts a relay in front of each peer port.
    bool RelayLog_ = false;      ///< All processes reach the log by a relay.
    /// Index of the one process that reaches the log by a relay, or -1.
    int RelayLogEntry_ = -1;
  };

  void startCluster() { startCluster({}); }
  /// Starts all processes and returns when each entry process is ready. A step
  /// that does not complete within 20 s is a test failure.
  void startCluster(const ClusterOptions &Options);
  /// Ends all processes and, if the test passed, removes their files.
  void TearDown() override;

  /// Starts an entry process; a running one is killed first.
  void startEntry(int Index);
  void killEntry(int Index);
  /// Waits until the process answers /readyz with 200 and knows the loaded
  /// models of every engine that has been started.
  void waitUntilReady(int Index);
  /// Publishes the list of all engines and services.
  /// @param Leaving names of the hosts that are marked as leaving
  void publishHosts(const std::vector<std::string> &Leaving = {});

  std::string callerAddress(int Entry) const;
  /// @return caller addresses of all four processes, beginning with the process
  /// `First`
  std::vector<std::string> callerAddressesFrom(int First) const;
  /// @return content of /dump, with empty lists if the process does not answer
  Json fetchDump(int Entry) const;
  /// Sends a control request to the stand-in at a port.
  void sendControl(int Port, const Json &Body) const;
  /// Announces that a host will be reclaimed.
  /// @param TimeLeft time until it is reclaimed, in ms
  void publishReclaimNotice(const std::string &Host, Millis TimeLeft) const;

  /// Starts a request without waiting for it; `awaitResult` waits for its
  /// result. The caller tries the processes in turn, beginning with `Entry`.
  /// @return place of the result, empty until the request has ended
  std::shared_ptr<std::optional<CallerResult>>
  startRequest(int Entry, CallerRequest Request);
  /// Waits up to 40 s for the result of a started request; a timeout is a test
  /// failure.
  CallerResult
  awaitResult(const std::shared_ptr<std::optional<CallerResult>> &R);
  CallerResult sendAndAwait(int Entry, CallerRequest Request);
  static CallerRequest makeCompletionRequest(const std::string &Prompt,
                                             int Tokens);
  static CallerRequest makeServiceRequest(const std::string &Key);
  /// @param Key idempotency key
  /// @return number of times that the services executed the request
  int executionCount(const std::string &Key) const;
  /// @return index of an engine with a request of the process in flight, or -1
  int engineServing(int Entry) const;
  /// @return number of completions that an engine has started
  std::int64_t engineStartCount(int Engine) const;
  /// Runs the program with arguments and waits up to 30 s for its end.
  /// @param Output receives what it printed, unless it is null
  /// @return exit status, or -1 if it did not end in time
  int runCommand(const std::vector<std::string> &Arguments,
                 std::string *Output = nullptr) const;
  /// Expects the text that a stand-in engine generates for a prompt, complete
  /// and in order.
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
