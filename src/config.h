// Configuration that operators publish: client accounts, models, services and
// routes. Pure parsing and checking; the order of versions is decided in
// controllog.h.
#pragma once

#include "inifile.h"
#include "types.h"

#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace endivewharf {

/// What an account's rate counts.
enum class RateUnit { Requests, Tokens };

/// One client account and its limits.
struct Account {
  std::string Name_;
  std::string ApiKey_;
  double Weight_ = 1;         ///< Share of the capacity against other accounts.
  double RatePerSecond_ = 50; ///< Long-term limit in units per second; 0: none.
  int MaxInFlight_ = 200;     ///< Requests accepted and not yet answered.
  double Burst_ = 0;          ///< Units that may come at once beyond the rate.
  RateUnit Unit_ = RateUnit::Requests;
  double DefaultRequestUnits_ = 1; ///< Of a request that states no size.
  int Rank_ = 0;                   ///< Accounts of a lower rank go first.
};

/// One model and the version that serves it.
struct ModelEntry {
  std::string Name_;
  std::string Version_;
};

/// A method and path prefix whose calls may not be repeated.
struct UnrepeatableEndpoint {
  std::string Method_;
  std::string PathPrefix_;
};

/// Limits within which hosts of a service may be ordered, for each zone.
struct ScalingLimits {
  int MinHosts_ = 0;
  int MaxHosts_ = 0; ///< 0: no hosts may be ordered.
  Millis HostStartupDuration_ = 0;
  double SpotPriceRatio_ = 0; ///< Part of the full price; 0: no such hosts.
  std::map<std::string, double> ZonePrices_;
};

/// One service: plain, or of model engines.
struct ServiceEntry {
  std::string Name_;
  std::vector<UnrepeatableEndpoint> UnrepeatableEndpoints_;
  std::string HealthPath_;
  int MaxConnectionsPerHost_ = 0; ///< At one host, of all callers; 0: no limit.
  int Slots_ = 0; ///< Requests that an engine batches; 0: plain.
  std::int64_t CacheCapacityTokens_ = 0; ///< Memory of an engine.
  std::int64_t CacheBytesPerToken_ =
      0;                     ///< Of an engine's memory for one token.
  int MaxCacheWatchers_ = 0; ///< Waiting readers of cache events.
  ScalingLimits Scaling_;
  int LowestRouteRank_ = 0; ///< Lowest rank of the routes that lead here.
};

/// What a route's requests are.
enum class RouteKind { Repeatable, Unrepeatable, Stream };

/// A service and its part of a route's requests.
struct ServiceShare {
  std::string Service_;
  double Weight_ = 1;
};

/// Requests of one host name and path prefix.
struct RouteEntry {
  std::string Name_;
  std::string HostName_;
  std::string PathPrefix_; ///< Begins and ends with a slash.
  RouteKind Kind_ = RouteKind::Unrepeatable;
  bool Resumable_ = false;      ///< A stream may go on after its last event.
  bool Public_ = false;         ///< Needs no key.
  Millis TimeLimit_ = 0;        ///< Longest wait for the whole answer; 0: none.
  Millis LatencyObjective_ = 0; ///< For the answer or a stream's first event.
  Millis EventGapObjective_ = 0; ///< Between two events of a stream.
  int Rank_ = 0;                 ///< Routes of a lower rank go first.
  int MaxUpstreams_ = 1;         ///< Upstreams that one request may be sent to.
  std::vector<ServiceShare> Services_;
};

/// Everything that one configuration version says.
struct Configuration {
  std::map<std::string, Account> AccountsByKey_;
  std::map<std::string, Account> AccountsByName_;
  std::map<std::string, ModelEntry> Models_;
  std::map<std::string, ServiceEntry> Services_;
  /// By host name in lower case, the longest prefix first.
  std::map<std::string, std::vector<RouteEntry>> Routes_;
};

/// Finds the route of a request.
/// @param Host host name as the caller sent it; a port is ignored
/// @param Path path without query
/// @return the route with the longest prefix that begins the path, or null
const RouteEntry *findRoute(const Configuration &Config, std::string_view Host,
                            std::string_view Path);

/// Parses and checks a configuration.
/// @param Text INI text
/// @param File name used in mistakes
/// @return the configuration, or every mistake found
tl::expected<Configuration, FileErrors>
parseConfiguration(std::string_view Text, std::string_view File);

/// @return true if a call of the service may not be run twice
bool isUnrepeatable(const ServiceEntry &Service, std::string_view Method,
                    std::string_view Path);

} // namespace endivewharf
