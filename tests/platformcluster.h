// The platform's path with real processes: entry processes, servers and the
// platform's calls as stand-ins, and relays between them that can be at fault.
#pragma once

#include "harness.h"

namespace endivewharf::harness {

/// Ports of one entry process.
struct EntryPorts {
  int CallerPort_ = 0;
  int OperatorPort_ = 0;
  int PeerPort_ = 0;
};

struct PlatformOptions {
  std::string FolderName_; ///< Of the folder for settings and logs.
  int EntryCount_ = 2;
  int ServerCount_ = 2;
  int EventIntervalMs_ = 10; ///< Between two events of a stream.
  bool UseRelays_ =
      false; ///< Between the processes, the store and the servers.
};

class PlatformCluster {
public:
  /// @return true once each entry process serves
  bool startAll(const PlatformOptions &Given);

  void startEntry(int I);

  /// @param Keys of the one account, as a JSON array
  static Json configJson(const std::string &Keys = R"(["k1","k2"])",
                         const std::string &CheckService = "orders");

  /// Writes a record as operators and servers do.
  bool putRecord(const std::string &Topic, const std::string &Key,
                 const Json &Value) const;

  static HttpAnswer sendControl(int Port, const Json &Body);

  /// Registers all servers, the first of them in a state.
  void registerServers(const std::string &State = "ready") const;
  void registerServer(std::size_t I, const std::string &State,
                      int Born = 1) const;

  HttpAnswer sendGet(int Entry, const std::string &Path, const std::string &Id,
                     const std::string &Key = "k1") const;
  std::string callerUrl(int Entry, const std::string &Path) const;
  static std::vector<std::string> requestHeaders(const std::string &Id,
                                                 const std::string &Key);

  /// What a server has seen and run.
  Json fetchServerState(int Server) const;
  int executionCount(const std::string &Id) const;

  /// Text of a stream that is whole.
  static std::string completeStream();

  ChildProcess &entryProcess(int I) {
    return *Children_.at("entry-" + std::to_string(I));
  }

  PlatformOptions Options_;
  std::string Folder_;
  int StorePort_ = 0;
  int CloudPort_ = 0;
  std::vector<int> ServerPorts_;
  std::vector<EntryPorts> EntryPorts_;
  std::vector<std::unique_ptr<Relay>> StoreRelays_;  ///< By entry process.
  std::vector<std::unique_ptr<Relay>> ServerRelays_; ///< By server.
  std::map<std::string, std::unique_ptr<ChildProcess>> Children_;

private:
  void startStandin(const std::string &Name, const std::string &Kind, int Port,
                    std::vector<std::string> More);
};

} // namespace endivewharf::harness
