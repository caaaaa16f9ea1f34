// Parses INI sections into a configuration and checks it.
#include "config.h"

#include "quantity.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace endivewharf {

namespace {

/// @return true if the number is neither negative nor above MaxExternalNumber;
/// false for NaN
bool isWithinNumberRange(double Number) {
  return Number >= 0 && Number <= static_cast<double>(MaxExternalNumber);
}

/// Converts ASCII letters to lower case, independent of the locale.
std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Result;
}

/// Parses a decimal number.
/// @param Ok set to whether the whole text is a number
double parseNumber(std::string_view Text, bool &Ok) {
  double Number = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number);
  Ok = Result.ec == std::errc() && Result.ptr == End && !Text.empty();
  return Number;
}

/// Builds a configuration from its sections and collects every error.
class ConfigurationReader {
public:
  explicit ConfigurationReader(std::string_view File) : Errors_(File) {}

  /// Adds one section to the configuration, unless it has an error.
  void readSection(const IniSection &Section) {
    ErrorsBefore_ = Errors_.size();
    if (Section.Kind_ == "account")
      readAccount(Section);
    else if (Section.Kind_ == "model")
      readModel(Section);
    else if (Section.Kind_ == "service")
      readService(Section);
    else if (Section.Kind_ == "route")
      readRoute(Section);
    else
      Errors_.add(
          Section, Section.Line_, "",
          fmt::format("a section account, model, service or route; nearest: {}",
                      nearestWord(Section.Kind_,
                                  {"account", "model", "service", "route"})));
  }

  /// Sorts the routes and completes the configuration. May be called once.
  /// @return the sections without an error, and every error found
  UsableConfiguration buildConfiguration() {
    for (auto &[Host, Routes] : Result_.Routes_)
      std::stable_sort(Routes.begin(), Routes.end(),
                       [](const RouteEntry &A, const RouteEntry &B) {
                         return A.PathPrefix_.size() > B.PathPrefix_.size();
                       });
    computeLowestRouteRanks();
    return {std::move(Result_), Errors_.extractErrors()};
  }

private:
  bool hasSectionErrors() const { return Errors_.size() > ErrorsBefore_; }

  /// Sets LowestRouteRank_ of every service; 0 if no route leads to it.
  void computeLowestRouteRanks() {
    std::map<std::string, int> LowestRanks;
    for (const auto &[Host, Routes] : Result_.Routes_)
      for (const RouteEntry &Route : Routes)
        for (const ServiceShare &Share : Route.Services_) {
          const auto [Found, Inserted] =
              LowestRanks.emplace(Share.Service_, Route.Rank_);
          Found->second = std::min(Found->second, Route.Rank_);
        }
    for (auto &[Name, Service] : Result_.Services_) {
      const auto Found = LowestRanks.find(Name);
      Service.LowestRouteRank_ = Found == LowestRanks.end() ? 0 : Found->second;
    }
  }

  double readPositiveNumber(const IniSection &Section,
                            const IniSection::Entry &Entry) {
    bool Ok = false;
    const double Number = parseNumber(Entry.Value_, Ok);
    if (Ok && Number > 0 && isWithinNumberRange(Number))
      return Number;
    Errors_.add(Section, Entry.Line_, Entry.Key_,
                "a number above 0, at most 1e15");
    return 1;
  }

  double readNonNegativeNumber(const IniSection &Section,
                               const IniSection::Entry &Entry) {
    bool Ok = false;
    const double Number = parseNumber(Entry.Value_, Ok);
    if (Ok && isWithinNumberRange(Number))
      return Number;
    Errors_.add(Section, Entry.Line_, Entry.Key_, "a number from 0 to 1e15");
    return 0;
  }

  int readWholeNumber(const IniSection &Section,
                      const IniSection::Entry &Entry) {
    const double Number = readNonNegativeNumber(Section, Entry);
    if (Number > std::numeric_limits<int>::max()) {
      Errors_.add(Section, Entry.Line_, Entry.Key_,
                  "a number of at most 2147483647");
      return 0;
    }
    return static_cast<int>(Number);
  }

  Millis readDuration(const IniSection &Section,
                      const IniSection::Entry &Entry) {
    const auto Parsed = parseDuration(Entry.Value_);
    if (!Parsed)
      Errors_.add(Section, Entry.Line_, Entry.Key_,
                  "a duration such as 250ms or 3s");
    return Parsed.value_or(0);
  }

  bool readYesOrNo(const IniSection &Section, const IniSection::Entry &Entry) {
    if (Entry.Value_ != "yes" && Entry.Value_ != "no")
      Errors_.add(Section, Entry.Line_, Entry.Key_, "yes or no");
    return Entry.Value_ == "yes";
  }

  /// Parses `NAME:NUMBER`; the last colon separates the two.
  /// @return name and number, or an empty name after an error
  std::pair<std::string, double>
  readNameAndNumber(const IniSection &Section, const IniSection::Entry &Entry) {
    const auto Colon = Entry.Value_.rfind(':');
    bool Ok = false;
    const double Number =
        Colon == std::string::npos
            ? 0
            : parseNumber(std::string_view(Entry.Value_).substr(Colon + 1), Ok);
    if (!Ok || !isWithinNumberRange(Number) || Colon == 0) {
      Errors_.add(Section, Entry.Line_, Entry.Key_, "NAME:NUMBER");
      return {};
    }
    return {Entry.Value_.substr(0, Colon), Number};
  }

  void readAccount(const IniSection &Section) {
    Account NewAccount;
    NewAccount.Name_ = Section.Name_;
    std::vector<std::string> Keys;
    // An account may be left without a key, for example when all its keys have
    // been withdrawn.
    bool Keyless = false;
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "key")
        Keys.push_back(Entry.Value_);
      else if (Entry.Key_ == "keyless")
        Keyless = readYesOrNo(Section, Entry);
      else if (Entry.Key_ == "weight")
        NewAccount.Weight_ = readPositiveNumber(Section, Entry);
      else if (Entry.Key_ == "rate")
        NewAccount.RatePerSecond_ =
            Entry.Value_ == "none" ? 0 : readPositiveNumber(Section, Entry);
      else if (Entry.Key_ == "burst")
        NewAccount.Burst_ = readNonNegativeNumber(Section, Entry);
      else if (Entry.Key_ == "unit")
        NewAccount.Unit_ = readRateUnit(Section, Entry);
      else if (Entry.Key_ == "plain_units")
        NewAccount.DefaultRequestUnits_ = readPositiveNumber(Section, Entry);
      else if (Entry.Key_ == "rank")
        NewAccount.Rank_ = readWholeNumber(Section, Entry);
      else if (Entry.Key_ == "home")
        readHome(Section, Entry, NewAccount.Homes_);
      else if (Entry.Key_ == "max_in_flight")
        NewAccount.MaxInFlight_ =
            static_cast<int>(readPositiveNumber(Section, Entry));
      else
        Errors_.addUnknownKey(Section, Entry,
                              {"key", "keyless", "weight", "rate", "burst",
                               "unit", "plain_units", "rank", "home",
                               "max_in_flight"});
    }
    if (NewAccount.Name_.empty())
      Errors_.add(Section, Section.Line_, "",
                  "a header with the account's name: [account NAME]");
    else if (!isHeaderText(NewAccount.Name_))
      Errors_.add(Section, Section.Line_, "",
                  "a name that can stand in a header: no control characters, "
                  "no blank at either end");
    if (Keys.empty() && !Keyless)
      Errors_.add(Section, Section.Line_, "key",
                  "at least one API key, or keyless = yes");
    for (const std::string &Key : Keys)
      if (Key.empty())
        Errors_.add(Section, Section.Line_, "key",
                    "an API key that is not empty");
      else if (!KnownKeys_.insert(Key).second)
        Errors_.add(Section, Section.Line_, "key",
                    "an API key that no other account has");
    if (hasSectionErrors())
      return;
    for (const std::string &Key : Keys) {
      NewAccount.ApiKey_ = Key;
      Result_.AccountsByKey_.emplace(Key, NewAccount);
    }
    Result_.AccountsByName_[NewAccount.Name_] = NewAccount;
  }

  void readHome(const IniSection &Section, const IniSection::Entry &Entry,
                RegionSet &Homes) {
    if (Entry.Value_.empty())
      Errors_.add(Section, Entry.Line_, Entry.Key_, "the name of a region");
    else
      Homes.insert(Entry.Value_);
  }

  RateUnit readRateUnit(const IniSection &Section,
                        const IniSection::Entry &Entry) {
    if (Entry.Value_ != "tokens" && Entry.Value_ != "requests")
      Errors_.add(Section, Entry.Line_, Entry.Key_, "tokens or requests");
    return Entry.Value_ == "tokens" ? RateUnit::Tokens : RateUnit::Requests;
  }

  void readModel(const IniSection &Section) {
    ModelEntry NewModel{.Name_ = Section.Name_, .Version_ = ""};
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "version")
        NewModel.Version_ = Entry.Value_;
      else
        Errors_.addUnknownKey(Section, Entry, {"version"});
    }
    if (NewModel.Version_.empty())
      Errors_.add(Section, Section.Line_, "version",
                  "the version that serves the model");
    if (!hasSectionErrors())
      Result_.Models_[NewModel.Name_] = NewModel;
  }

  void readService(const IniSection &Section) {
    ServiceEntry NewService;
    NewService.Name_ = Section.Name_;
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "unrepeatable")
        readUnrepeatableEndpoints(Section, Entry, NewService);
      else if (Entry.Key_ == "health")
        NewService.HealthPath_ = Entry.Value_;
      else if (Entry.Key_ == "max_connections")
        NewService.MaxConnectionsPerHost_ = readWholeNumber(Section, Entry);
      else if (Entry.Key_ == "slots")
        NewService.Slots_ = readWholeNumber(Section, Entry);
      else if (Entry.Key_ == "cache_tokens")
        NewService.CacheCapacityTokens_ =
            static_cast<std::int64_t>(readNonNegativeNumber(Section, Entry));
      else if (Entry.Key_ == "token_bytes")
        NewService.CacheBytesPerToken_ =
            static_cast<std::int64_t>(readNonNegativeNumber(Section, Entry));
      else if (Entry.Key_ == "cache_watchers")
        NewService.MaxCacheWatchers_ = readWholeNumber(Section, Entry);
      else if (Entry.Key_ == "cold_time")
        NewService.ColdTime_ = readDuration(Section, Entry);
      else if (Entry.Key_ == "cold_rate")
        NewService.ColdRequestsPerSecond_ =
            readNonNegativeNumber(Section, Entry);
      else if (!readScalingKey(Section, Entry, NewService.Scaling_))
        Errors_.addUnknownKey(Section, Entry,
                              {"unrepeatable", "health", "max_connections",
                               "slots", "cache_tokens", "token_bytes",
                               "cache_watchers", "cold_time", "cold_rate",
                               "min_hosts", "max_hosts", "start_time",
                               "spot_price", "zone_price"});
    }
    if (!hasSectionErrors())
      Result_.Services_[NewService.Name_] = NewService;
  }

  /// Reads one key of the scaling limits.
  /// @return false if the key is not one of them
  bool readScalingKey(const IniSection &Section, const IniSection::Entry &Entry,
                      ScalingLimits &Limits) {
    if (Entry.Key_ == "min_hosts")
      Limits.MinHosts_ = readWholeNumber(Section, Entry);
    else if (Entry.Key_ == "max_hosts")
      Limits.MaxHosts_ = readWholeNumber(Section, Entry);
    else if (Entry.Key_ == "start_time")
      Limits.HostStartupDuration_ = readDuration(Section, Entry);
    else if (Entry.Key_ == "spot_price")
      Limits.SpotPriceRatio_ = readNonNegativeNumber(Section, Entry);
    else if (Entry.Key_ == "zone_price")
      Limits.ZonePrices_.insert(readNameAndNumber(Section, Entry));
    else
      return false;
    return true;
  }

  void readRoute(const IniSection &Section) {
    RouteEntry NewRoute;
    NewRoute.Name_ = Section.Name_;
    for (const auto &Entry : Section.Entries_)
      if (!readRouteKey(Section, Entry, NewRoute))
        Errors_.addUnknownKey(Section, Entry,
                              {"host", "path", "kind", "resumable", "public",
                               "time_limit", "objective", "gap", "rank",
                               "attempts", "home", "service"});
    if (NewRoute.HostName_.empty())
      Errors_.add(Section, Section.Line_, "host", "a host name");
    if (NewRoute.PathPrefix_.empty() || NewRoute.PathPrefix_.front() != '/' ||
        NewRoute.PathPrefix_.back() != '/')
      Errors_.add(Section, Section.Line_, "path",
                  "a path prefix that begins and ends with a slash");
    if (NewRoute.Services_.empty())
      Errors_.add(Section, Section.Line_, "service", "NAME:WEIGHT");
    if (!hasSectionErrors())
      Result_.Routes_[NewRoute.HostName_].push_back(NewRoute);
  }

  /// Reads one key of a route.
  /// @return false if the key is unknown
  bool readRouteKey(const IniSection &Section, const IniSection::Entry &Entry,
                    RouteEntry &Route) {
    if (Entry.Key_ == "host")
      Route.HostName_ = lowerCase(Entry.Value_);
    else if (Entry.Key_ == "path")
      Route.PathPrefix_ = Entry.Value_;
    else if (Entry.Key_ == "kind")
      Route.Kind_ = readRouteKind(Section, Entry);
    else if (Entry.Key_ == "resumable")
      Route.Resumable_ = readYesOrNo(Section, Entry);
    else if (Entry.Key_ == "public")
      Route.Public_ = readYesOrNo(Section, Entry);
    else if (Entry.Key_ == "time_limit")
      Route.TimeLimit_ = readDuration(Section, Entry);
    else if (Entry.Key_ == "objective")
      Route.LatencyObjective_ = readDuration(Section, Entry);
    else if (Entry.Key_ == "gap")
      Route.EventGapObjective_ = readDuration(Section, Entry);
    else if (Entry.Key_ == "rank")
      Route.Rank_ = readWholeNumber(Section, Entry);
    else if (Entry.Key_ == "attempts")
      Route.MaxUpstreams_ = std::max(1, readWholeNumber(Section, Entry));
    else if (Entry.Key_ == "home")
      readHome(Section, Entry, Route.Homes_);
    else if (Entry.Key_ == "service") {
      const auto [Name, Weight] = readNameAndNumber(Section, Entry);
      Route.Services_.push_back({Name, Weight});
    } else
      return false;
    return true;
  }

  RouteKind readRouteKind(const IniSection &Section,
                          const IniSection::Entry &Entry) {
    if (Entry.Value_ == "repeatable")
      return RouteKind::Repeatable;
    if (Entry.Value_ == "stream")
      return RouteKind::Stream;
    if (Entry.Value_ != "unrepeatable")
      Errors_.add(Section, Entry.Line_, Entry.Key_,
                  "repeatable, unrepeatable or stream");
    return RouteKind::Unrepeatable;
  }

  /// Parses a list `METHOD /path, METHOD /path`.
  void readUnrepeatableEndpoints(const IniSection &Section,
                                 const IniSection::Entry &Entry,
                                 ServiceEntry &Service) {
    std::string_view Rest = Entry.Value_;
    while (!Rest.empty()) {
      const auto Comma = Rest.find(',');
      const std::string Item(trimmed(Rest.substr(0, Comma)));
      Rest = Comma == std::string_view::npos ? "" : Rest.substr(Comma + 1);
      const auto Space = Item.find(' ');
      if (Space == std::string::npos || Item.find('/') != Space + 1) {
        Errors_.add(Section, Entry.Line_, Entry.Key_,
                    "a list METHOD /path, METHOD /path");
        continue;
      }
      Service.UnrepeatableEndpoints_.push_back(
          {Item.substr(0, Space), Item.substr(Space + 1)});
    }
  }

  Configuration Result_;
  FileErrorCollector Errors_;
  std::set<std::string> KnownKeys_; ///< Of sections with errors as well.
  std::size_t ErrorsBefore_ = 0;    ///< Before the section that is being read.
};

} // namespace

tl::expected<UsableConfiguration, FileErrors>
parseUsableConfiguration(std::string_view Text, std::string_view File) {
  auto Sections = parseIni(Text, File);
  if (!Sections)
    return tl::unexpected(Sections.error());
  ConfigurationReader Reader(File);
  for (const IniSection &Section : *Sections)
    Reader.readSection(Section);
  return Reader.buildConfiguration();
}

tl::expected<Configuration, FileErrors>
parseConfiguration(std::string_view Text, std::string_view File) {
  auto Parsed = parseUsableConfiguration(Text, File);
  if (!Parsed)
    return tl::unexpected(Parsed.error());
  if (!Parsed->Errors_.empty())
    return tl::unexpected(std::move(Parsed->Errors_));
  return std::move(Parsed->Configuration_);
}

const RouteEntry *findRoute(const Configuration &Config, std::string_view Host,
                            std::string_view Path) {
  const auto Found =
      Config.Routes_.find(lowerCase(Host.substr(0, Host.find(':'))));
  if (Found == Config.Routes_.end())
    return nullptr;
  for (const RouteEntry &Route : Found->second)
    if (Path.substr(0, Route.PathPrefix_.size()) == Route.PathPrefix_)
      return &Route;
  return nullptr;
}

bool isUnrepeatable(const ServiceEntry &Service, std::string_view Method,
                    std::string_view Path) {
  return std::any_of(Service.UnrepeatableEndpoints_.begin(),
                     Service.UnrepeatableEndpoints_.end(),
                     [&](const UnrepeatableEndpoint &Endpoint) {
                       return Endpoint.Method_ == Method &&
                              Path.substr(0, Endpoint.PathPrefix_.size()) ==
                                  Endpoint.PathPrefix_;
                     });
}

} // namespace endivewharf
