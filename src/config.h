// Configuration that operators publish: client accounts, models, services and
// routes. This module only parses and checks text; controllog.h decides which
// version is in force.
#pragma once

#include "homes.h"
#include "inifile.h"
#include "types.h"

#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace endivewharf {

/// Unit of an account's rate.
enum class RateUnit { Requests, Tokens };

/// One client account and its limits.
struct Account {
  std::string Name_;
  std::string ApiKey_;
  double Weight_ = 1; ///< Relative weight when accounts compete for capacity.
  double RatePerSecond_ = 50; ///< Long-term limit in units per second; 0: no
                              ///< limit.
  int MaxInFlight_ = 200; ///< Maximum number of accepted requests without an
                          ///< answer.
  double Burst_ = 0;      ///< Units that may be used at once beyond the rate.
  RateUnit Unit_ = RateUnit::Requests;
  double DefaultRequestUnits_ = 1; ///< Units of a request that states no size.
  int Rank_ = 0; ///< A higher rank lowers the weight to Weight_ / (1 + Rank_).
  RegionSet Homes_; ///< Regions that its requests must not leave.
};

/// One model and the version that serves it.
struct ModelEntry {
  std::string Name_;
  std::string Version_;
};

/// A method and path prefix whose calls may not be run twice.
struct UnrepeatableEndpoint {
  std::string Method_;
  std::string PathPrefix_;
};

/// Limits of the scale requests for a service's hosts, for each zone.
struct ScalingLimits {
  int MinHosts_ = 0;               ///< Smallest number of hosts in a zone.
  int MaxHosts_ = 0;               ///< Largest number of hosts in a zone; 0: no
                                   ///< hosts may be requested.
  Millis HostStartupDuration_ = 0; ///< Time from a scale request to a new host.
  double SpotPriceRatio_ = 0; ///< Spot price as a fraction of the on-demand
                              ///< price; 0: no spot hosts.
  std::map<std::string, double> ZonePrices_; ///< On-demand price by zone.
};

/// One service, which consists of plain hosts or of model engines.
struct ServiceEntry {
  std::string Name_;
  std::vector<UnrepeatableEndpoint> UnrepeatableEndpoints_;
  std::string HealthPath_;        ///< Path of the health check.
  int MaxConnectionsPerHost_ = 0; ///< Limit at one host for all callers
                                  ///< together; 0: no limit.
  int Slots_ = 0; ///< Requests that an engine runs at once; 0: plain service.
  /// Capacity of an engine's key-value cache in tokens.
  std::int64_t CacheCapacityTokens_ = 0;
  /// Bytes of an engine's key-value cache for one token.
  std::int64_t CacheBytesPerToken_ = 0;
  int MaxCacheWatchers_ = 0; ///< Maximum number of readers that wait for cache
                             ///< events.
  Millis ColdTime_ = 0;      ///< Time for which a host is cold after its start.
  /// Requests per second that a cold host tolerates; 0: any number.
  double ColdRequestsPerSecond_ = 0;
  ScalingLimits Scaling_;
  /// Lowest rank of the routes to this service. Calls of a route with this rank
  /// are interactive, those of a route with a higher rank are batch.
  int LowestRouteRank_ = 0;
};

/// Whether a route's requests may be repeated, or are answered by a stream.
enum class RouteKind { Repeatable, Unrepeatable, Stream };

/// A service and its relative weight among the services of a route.
struct ServiceShare {
  std::string Service_;
  double Weight_ = 1;
};

/// Handling of the requests with one host name and path prefix.
struct RouteEntry {
  std::string Name_;
  std::string HostName_;
  std::string PathPrefix_; ///< Begins and ends with a slash.
  RouteKind Kind_ = RouteKind::Unrepeatable;
  bool Resumable_ = false; ///< Whether a broken stream may be resumed after
                           ///< its last event.
  bool Public_ = false;    ///< Whether callers need no API key.
  Millis TimeLimit_ = 0;   ///< Longest wait for the whole answer; 0: no limit.
  Millis LatencyObjective_ = 0;  ///< Target latency of the answer or of a
                                 ///< stream's first event.
  Millis EventGapObjective_ = 0; ///< Target time between two events of a
                                 ///< stream.
  int Rank_ = 0;                 ///< Routes with a lower rank are served first.
  int MaxUpstreams_ = 1; ///< Maximum number of upstreams for one request.
  std::vector<ServiceShare> Services_;
  RegionSet Homes_; ///< Regions that its requests must not leave.
};

/// Content of one configuration version.
struct Configuration {
  std::map<std::string, Account> AccountsByKey_;
  std::map<std::string, Account> AccountsByName_;
  std::map<std::string, ModelEntry> Models_;
  std::map<std::string, ServiceEntry> Services_;
  /// Routes by host name in lower case, those with the longest path prefix
  /// first.
  std::map<std::string, std::vector<RouteEntry>> Routes_;
};

/// Finds the route of a request.
/// @param Host host name as the caller sent it; a port is ignored
/// @param Path path without query
/// @return the route with the longest path prefix that matches, or null
const RouteEntry *findRoute(const Configuration &Config, std::string_view Host,
                            std::string_view Path);

/// The sections of a configuration that have no error.
struct UsableConfiguration {
  Configuration Configuration_;
  FileErrors Errors_; ///< Every error of the sections that are left out.
};

/// Parses a configuration and leaves out the sections that have an error.
/// @return the rest of it, or the first line that is not valid INI
tl::expected<UsableConfiguration, FileErrors>
parseUsableConfiguration(std::string_view Text, std::string_view File);

/// Parses and checks a configuration.
/// @param Text INI text
/// @param File file name for error messages
/// @return the configuration, or every error found; text that is not valid INI
/// gives its first bad line only
tl::expected<Configuration, FileErrors>
parseConfiguration(std::string_view Text, std::string_view File);

/// @param Path path of the call within the service
/// @return true if the call may not be run twice
bool isUnrepeatable(const ServiceEntry &Service, std::string_view Method,
                    std::string_view Path);

} // namespace endivewharf
