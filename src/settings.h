// Settings of one process: its name, addresses, peers, platform services and
// limits. They are read from an INI file at the start and when the process
// reloads its settings.
#pragma once

#include "config.h"

#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

/// A TCP address with a numeric IP.
struct SocketAddress {
  std::string Ip_;
  int Port_ = 0;
};

/// Name, address and location of another entry process.
struct PeerSettings {
  std::string Name_;
  SocketAddress Address_;
  std::string DataCentre_;
  std::string Zone_;
};

/// Timeouts and size limits; each has a default.
struct LimitSettings {
  Millis IdleTimeout_ = 2000;        ///< Longest time between two parts of a
                                     ///< stream.
  Millis FirstTokenTimeout_ = 10000; ///< Longest wait for the first token.
  Millis ServiceTimeout_ = 5000;     ///< Longest wait for the first byte of a
                                     ///< plain service's answer.
  Millis DefaultTimeLimit_ = 60000;  ///< For requests that state no time limit.
  Millis DrainTimeout_ = 30000;      ///< Longest duration of a planned stop.
  Millis DrainMargin_ = 0;           ///< Part of DrainTimeout_ that is kept in
                                     ///< reserve.
  Millis UnreadyPeriod_ = 500;  ///< Time before the listener closes, so that
                                ///< the load balancer notices a planned stop.
  Millis LeaseDuration_ = 3000; ///< Duration of the control lease.
  /// Time for which an idempotency key is remembered.
  Millis IdempotencyKeyRetention_ = 3600000;
  std::int64_t MaxRequestBodyBytes_ = 4 << 20; ///< Largest request body.
  std::int64_t MaxAnswerBytes_ = 4 << 20; ///< Largest answer of an upstream.
  /// Memory of the machine for this process.
  std::int64_t MachineMemoryBytes_ = std::int64_t{1} << 30;
  int MaxDescriptors_ = 65536; ///< Descriptors that the process may use.
  int MaxQueueLength_ = 2000;  ///< Maximum number of requests that wait for an
                               ///< upstream.
  /// Initial concurrency limit of an upstream, in requests.
  int InitialUpstreamConcurrency_ = 16;
  /// Second attempts of requests that are slow to be answered, as a fraction of
  /// the requests that may be repeated; 0: none.
  double HedgeShare_ = 0;
};

/// Memory that connections of callers may use together, in bytes.
std::size_t callersMemory(const LimitSettings &Limits);

/// Connections of callers that may be open at a time; the other descriptors are
/// kept for files, upstreams, the store and peers.
/// @param Available descriptors that the system grants the process
std::size_t callersConnections(const LimitSettings &Limits,
                               std::size_t Available);

/// Bounds that the operators' platform sets for all processes together; see
/// platform/.
struct BoundSettings {
  double RetryShare_ = 0.1;    ///< Allowed retries as a fraction of requests.
  Millis RetryWindow_ = 10000; ///< Window over which retries are counted.
  double RetrySlack_ = 20;     ///< Retries of all processes together that are
                               ///< allowed in addition to RetryShare_.
  Millis QuotaWindow_ = 8000;  ///< Window over which an account's units are
                               ///< counted.
  /// Fraction of the units of a window by which all processes together may
  /// exceed a quota.
  double QuotaExcess_ = 0;
  double QuotaSlack_ = 0; ///< Further units by which all processes together may
                          ///< exceed a quota.
  /// Time from the acknowledgement of a host's leaving within which all
  /// processes must stop sending to it.
  Millis LeavingLimit_ = 4000;
  /// Time from the acknowledgement of a configuration within which all
  /// processes must apply it.
  Millis ConfigLimit_ = 4000;
  /// Period that one usage report covers, in ms. Not rounded: windows are
  /// counted from 1970, so that the smallest error shifts them all.
  double UsageWindow_ = 5000;
  /// Time after the end of a usage window within which its report must arrive.
  Millis UsageReportTimeout_ = 10000;
  double CanaryShare_ = 0.1; ///< Share of requests that a version under
                             ///< evaluation may receive.
  /// Requests that a version under evaluation may receive in addition to
  /// CanaryShare_.
  double CanarySlack_ = 50;
  /// Multiple of the rate that a cold host tolerates which all processes
  /// together may send it; 0: cold hosts have no bound.
  double ColdFactor_ = 0;
  double ColdSlack_ = 0; ///< Requests per second in addition to ColdFactor_.
};

/// All settings of one process.
struct Settings {
  std::string Name_;
  std::string DataCentre_;
  std::string Zone_;
  SocketAddress CallerListen_;
  SocketAddress OperatorListen_;
  SocketAddress PeerListen_;
  /// Address for requests that peers pass on; port 0: none is taken or passed
  /// on.
  SocketAddress RelayListen_;
  std::vector<PeerSettings> Peers_;
  std::string LogUrl_;
  std::string HostListUrl_;
  std::string CloudUrl_;
  std::string StoreUrl_; ///< Store of the operators' platform; if empty, the
                         ///< process serves without the platform.
  /// Addresses at which other entry processes may be found.
  std::vector<SocketAddress> SeedContacts_;
  /// Region of each data centre; needed only for requests that have homes.
  RegionMap Regions_;
  LimitSettings Limits_;
  BoundSettings Bounds_;
  /// Values that cannot be used, each with the one that is used in its place.
  FileErrors ReplacedValues_;
  /// Keys, as `section.key`, that have no value and so their default.
  std::vector<std::string> KeysLeftOut_;

  /// @return true if the process serves the interface of the operators'
  /// platform instead of the project's own
  bool servesPlatform() const { return !StoreUrl_.empty(); }
};

/// Builds settings from INI text and collects every error.
class SettingsBuilder {
public:
  explicit SettingsBuilder(std::string_view File)
      : Errors_(File), Replaced_(File) {}

  /// Adds all sections of an INI text. A value that is left empty keeps its
  /// default.
  /// @param Text INI text; its errors are collected for build()
  /// @return this builder
  SettingsBuilder &addText(std::string_view Text);

  /// Checks the settings as a whole: required keys, distinct addresses, URLs.
  /// May be called once.
  /// @return the settings, or every error found
  tl::expected<Settings, FileErrors> build();

private:
  void addSection(const IniSection &Section);
  void checkConsistency();

  Settings Result_;
  FileErrorCollector Errors_;
  FileErrorCollector Replaced_;
};

/// Reads and checks a settings file.
/// @param Path file to read
/// @return the settings, or every error found
tl::expected<Settings, FileErrors> readSettings(const std::string &Path);

/// One row of the settings reference.
struct SettingsKey {
  std::string Section_;
  std::string Key_;
  std::string Meaning_; ///< One-line description of the key.
};

/// @return all keys that a settings file may hold outside its [peer NAME]
/// sections, in the order of the reference in docs/OPERATIONS.md
std::vector<SettingsKey> settingsReference();

/// Parses an address such as `127.0.0.1:8080`.
/// @return the address, or nothing if the text is no numeric IP and port
tl::expected<SocketAddress, std::monostate> parseAddress(std::string_view Text);

/// @return the address as `IP:PORT`
std::string formatAddress(const SocketAddress &Address);

} // namespace endivewharf
