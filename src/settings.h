// Settings of one process: its name, addresses, peers, platform services and
// limits. Read once at the start from an INI file.
#pragma once

#include "config.h"

#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

/// A TCP address by IP number.
struct SocketAddress {
  std::string Ip_;
  int Port_ = 0;
};

/// Another entry process.
struct PeerSettings {
  std::string Name_;
  SocketAddress Address_;
  std::string DataCentre_;
  std::string Zone_;
};

/// Time and space limits; all have defaults.
struct LimitSettings {
  Millis IdleTimeout_ = 2000;        ///< Longest silence within a stream.
  Millis FirstTokenTimeout_ = 10000; ///< Longest wait for a first token.
  Millis ServiceTimeout_ = 5000;     ///< Longest wait for a plain service.
  Millis DefaultTimeLimit_ = 60000;
  Millis DrainTimeout_ = 30000; ///< Longest planned stop.
  Millis DrainMargin_ = 0;      ///< Of it that is kept in reserve.
  Millis UnreadyPeriod_ = 500;  ///< For the balancer to notice a stop.
  Millis LeaseDuration_ = 3000;
  Millis IdempotencyKeyRetention_ =
      3600000; ///< How long an idempotency key is remembered.
  std::int64_t MaxRequestBodyBytes_ = 4 << 20;
  std::int64_t MaxAnswerBytes_ = 4 << 20;
  int MaxQueueLength_ = 2000; ///< Requests waiting for an upstream.
  int InitialUpstreamConcurrency_ =
      16; ///< First guess of an upstream's concurrency.
};

/// What the operators' platform allows and asks for; see platform/.
struct BoundSettings {
  double RetryShare_ = 0.1;    ///< Further attempts, as a share of requests.
  Millis RetryWindow_ = 10000; ///< In which they are counted.
  double RetrySlack_ = 20;     ///< Further attempts of all processes besides.
  Millis QuotaWindow_ = 8000;  ///< In which an account's units are counted.
  double QuotaSlack_ = 0;      ///< Units of all processes beyond a quota.
  Millis UsageWindow_ = 5000;  ///< Of one usage report.
  Millis UsageReportTimeout_ =
      10000;                 ///< After the window, until it has to be there.
  double CanaryShare_ = 0.1; ///< Of requests to a version not yet proved.
  double CanarySlack_ = 50;  ///< Requests to it besides.
};

struct Settings {
  std::string Name_;
  std::string DataCentre_;
  std::string Zone_;
  SocketAddress CallerListen_;
  SocketAddress OperatorListen_;
  SocketAddress PeerListen_;
  std::vector<PeerSettings> Peers_;
  std::string LogUrl_;
  std::string HostListUrl_;
  std::string CloudUrl_;
  std::string StoreUrl_; ///< Store of the operators' platform; empty: none.
  std::vector<SocketAddress> SeedContacts_; ///< Where other processes may be.
  LimitSettings Limits_;
  BoundSettings Bounds_;

  /// @return true if the operators' platform is served, not our own interface
  bool servesPlatform() const { return !StoreUrl_.empty(); }
};

/// Builds settings section by section and collects every mistake.
class SettingsBuilder {
public:
  explicit SettingsBuilder(std::string_view File) : Errors_(File) {}

  /// Adds all sections of an INI text.
  SettingsBuilder &addText(std::string_view Text);

  /// Checks what sections must hold together.
  /// @return the settings, or every mistake found
  tl::expected<Settings, FileErrors> build();

private:
  void addSection(const IniSection &Section);
  void checkConsistency();

  Settings Result_;
  FileErrorCollector Errors_;
};

/// Reads and checks a settings file.
/// @param Path file to read
/// @return the settings, or every mistake found
tl::expected<Settings, FileErrors> readSettings(const std::string &Path);

/// One row of the settings reference.
struct SettingsKey {
  std::string Section_;
  std::string Key_;
  std::string Meaning_;
};

/// All keys that a settings file may hold, for help and docs.
std::vector<SettingsKey> settingsReference();

/// Reads `127.0.0.1:8080`.
tl::expected<SocketAddress, std::monostate> parseAddress(std::string_view Text);

std::string formatAddress(const SocketAddress &Address);

} // namespace endivewharf
