// The platform's path with real processes: entry processes, servers and the
// platform's calls as stand-ins, and relays between them that can be at fault.
#pragma once

#include "harness.h"

namespace endivewharf::harness {

/// Ports of one entry process.
struct EntryPorts {
  int Callers_ = 0;
  int Operators_ = 0;
  int Peers_ = 0;
};

struct PlatformOptions {
  std::string Name_; ///< Of the folder for settings and logs.
  int Entries_ = 2;
  int Servers_ = 2;
  int TokenMs_ = 10;    ///< Between two events of a stream.
  bool Relays_ = false; ///< Between the processes, the store and the servers.
};

class PlatformCluster {
public:
  /// @return true once each entry process serves
  bool startAll(const PlatformOptions &Given);

  void startEntry(int I);

  /// @param Keys of the one account, as a JSON array
  static Json config(const std::string &Keys = R"(["k1","k2"])",
                     const std::string &CheckService = "orders");

  /// Writes a record as operators and servers do.
  bool put(const std::string &Topic, const std::string &Key,
           const Json &Value) const;

  static HttpAnswer control(int Port, const Json &Body);

  /// Registers all servers, the first of them in a state.
  void beat(const std::string &State = "ready") const;
  void registerServer(std::size_t I, const std::string &State,
                      int Born = 1) const;

  HttpAnswer get(int Entry, const std::string &Path, const std::string &Id,
                 const std::string &Key = "k1") const;
  std::string url(int Entry, const std::string &Path) const;
  static std::vector<std::string> headers(const std::string &Id,
                                          const std::string &Key);

  /// What a server has seen and run.
  Json books(int Server) const;
  int runs(const std::string &Id) const;

  /// Text of a stream that is whole.
  static std::string wholeStream();

  Child &entry(int I) { return *Children_.at("entry-" + std::to_string(I)); }

  PlatformOptions Given_;
  std::string Folder_;
  int Store_ = 0;
  int Cloud_ = 0;
  std::vector<int> Servers_;
  std::vector<EntryPorts> Ports_;
  std::vector<std::unique_ptr<Relay>> StoreRelays_;  ///< By entry process.
  std::vector<std::unique_ptr<Relay>> ServerRelays_; ///< By server.
  std::map<std::string, std::unique_ptr<Child>> Children_;

private:
  void standin(const std::string &Name, const std::string &Kind, int Port,
               std::vector<std::string> More);
};

} // namespace endivewharf::harness
