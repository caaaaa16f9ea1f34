// Turns INI sections into a checked configuration.
#include "config.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace endivewharf {

namespace {

bool isWithinNumberRange(double Number) {
  return Number >= 0 && Number <= static_cast<double>(MaxExternalNumber);
}

std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Result;
}

double parseNumber(std::string_view Text, bool &Ok) {
  double Number = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number);
  Ok = Result.ec == std::errc() && Result.ptr == End && !Text.empty();
  return Number;
}

/// Collects mistakes while one configuration is read.
class ConfigurationReader {
public:
  explicit ConfigurationReader(std::string_view File) : Errors_(File) {}

  void readSection(const IniSection &Section) {
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

  tl::expected<Configuration, FileErrors> buildConfiguration() {
    if (!Errors_.empty())
      return tl::unexpected(Errors_.extractErrors());
    for (auto &[Host, Routes] : Result_.Routes_)
      std::stable_sort(Routes.begin(), Routes.end(),
                       [](const RouteEntry &A, const RouteEntry &B) {
                         return A.PathPrefix_.size() > B.PathPrefix_.size();
                       });
    computeLowestRouteRanks();
    return std::move(Result_);
  }

private:
  void computeLowestRouteRanks() {
    std::map<std::string, int> First;
    for (const auto &[Host, Routes] : Result_.Routes_)
      for (const RouteEntry &Route : Routes)
        for (const ServiceShare &Share : Route.Services_) {
          const auto [Found, New] = First.emplace(Share.Service_, Route.Rank_);
          Found->second = std::min(Found->second, Route.Rank_);
        }
    for (auto &[Name, Service] : Result_.Services_) {
      const auto Found = First.find(Name);
      Service.LowestRouteRank_ = Found == First.end() ? 0 : Found->second;
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
      Errors_.add(Section, Entry.Line_, Entry.Key_, "a smaller number");
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

  /// Reads `NAME:NUMBER`.
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
    Account New;
    New.Name_ = Section.Name_;
    std::vector<std::string> Keys;
    bool Keyless = false; // an account may have lost all its keys
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "key")
        Keys.push_back(Entry.Value_);
      else if (Entry.Key_ == "keyless")
        Keyless = readYesOrNo(Section, Entry);
      else if (Entry.Key_ == "weight")
        New.Weight_ = readPositiveNumber(Section, Entry);
      else if (Entry.Key_ == "rate")
        New.RatePerSecond_ =
            Entry.Value_ == "none" ? 0 : readPositiveNumber(Section, Entry);
      else if (Entry.Key_ == "burst")
        New.Burst_ = readNonNegativeNumber(Section, Entry);
      else if (Entry.Key_ == "unit")
        New.Unit_ = readRateUnit(Section, Entry);
      else if (Entry.Key_ == "plain_units")
        New.DefaultRequestUnits_ = readPositiveNumber(Section, Entry);
      else if (Entry.Key_ == "rank")
        New.Rank_ = readWholeNumber(Section, Entry);
      else if (Entry.Key_ == "max_in_flight")
        New.MaxInFlight_ = static_cast<int>(readPositiveNumber(Section, Entry));
      else
        Errors_.addUnknownKey(Section, Entry,
                              {"key", "keyless", "weight", "rate", "burst",
                               "unit", "plain_units", "rank", "max_in_flight"});
    }
    if (New.Name_.empty())
      Errors_.add(Section, Section.Line_, "", "a name: [account NAME]");
    if (Keys.empty() && !Keyless)
      Errors_.add(Section, Section.Line_, "key", "a secret key");
    for (const std::string &Key : Keys) {
      New.ApiKey_ = Key;
      if (Key.empty())
        Errors_.add(Section, Section.Line_, "key", "a secret key");
      else if (!Result_.AccountsByKey_.emplace(Key, New).second)
        Errors_.add(Section, Section.Line_, "key",
                    "a key that no other account has");
    }
    Result_.AccountsByName_[New.Name_] = New;
  }

  RateUnit readRateUnit(const IniSection &Section,
                        const IniSection::Entry &Entry) {
    if (Entry.Value_ != "tokens" && Entry.Value_ != "requests")
      Errors_.add(Section, Entry.Line_, Entry.Key_, "tokens or requests");
    return Entry.Value_ == "tokens" ? RateUnit::Tokens : RateUnit::Requests;
  }

  void readModel(const IniSection &Section) {
    ModelEntry New{.Name_ = Section.Name_, .Version_ = ""};
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "version")
        New.Version_ = Entry.Value_;
      else
        Errors_.addUnknownKey(Section, Entry, {"version"});
    }
    if (New.Version_.empty())
      Errors_.add(Section, Section.Line_, "version", "the version that serves");
    Result_.Models_[New.Name_] = New;
  }

  void readService(const IniSection &Section) {
    ServiceEntry New;
    New.Name_ = Section.Name_;
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "unrepeatable")
        readUnrepeatableEndpoints(Section, Entry, New);
      else if (Entry.Key_ == "health")
        New.HealthPath_ = Entry.Value_;
      else if (Entry.Key_ == "max_connections")
        New.MaxConnectionsPerHost_ = readWholeNumber(Section, Entry);
      else if (Entry.Key_ == "slots")
        New.Slots_ = readWholeNumber(Section, Entry);
      else if (Entry.Key_ == "cache_tokens")
        New.CacheCapacityTokens_ =
            static_cast<std::int64_t>(readNonNegativeNumber(Section, Entry));
      else if (Entry.Key_ == "token_bytes")
        New.CacheBytesPerToken_ =
            static_cast<std::int64_t>(readNonNegativeNumber(Section, Entry));
      else if (Entry.Key_ == "cache_watchers")
        New.MaxCacheWatchers_ = readWholeNumber(Section, Entry);
      else if (!readScalingKey(Section, Entry, New.Scaling_))
        Errors_.addUnknownKey(Section, Entry,
                              {"unrepeatable", "health", "max_connections",
                               "slots", "cache_tokens", "token_bytes",
                               "cache_watchers", "min_hosts", "max_hosts",
                               "start_time", "spot_price", "zone_price"});
    }
    Result_.Services_[New.Name_] = New;
  }

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
    RouteEntry New;
    New.Name_ = Section.Name_;
    for (const auto &Entry : Section.Entries_)
      if (!readRouteKey(Section, Entry, New))
        Errors_.addUnknownKey(Section, Entry,
                              {"host", "path", "kind", "resumable", "public",
                               "time_limit", "objective", "gap", "rank",
                               "attempts", "service"});
    if (New.HostName_.empty())
      Errors_.add(Section, Section.Line_, "host", "a host name");
    if (New.PathPrefix_.empty() || New.PathPrefix_.front() != '/' ||
        New.PathPrefix_.back() != '/')
      Errors_.add(Section, Section.Line_, "path",
                  "a prefix that begins and ends with a slash");
    if (New.Services_.empty())
      Errors_.add(Section, Section.Line_, "service", "NAME:WEIGHT");
    Result_.Routes_[New.HostName_].push_back(New);
  }

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
                    "METHOD /path, METHOD /path");
        continue;
      }
      Service.UnrepeatableEndpoints_.push_back(
          {Item.substr(0, Space), Item.substr(Space + 1)});
    }
  }

  Configuration Result_;
  FileErrorCollector Errors_;
};

} // namespace

tl::expected<Configuration, FileErrors>
parseConfiguration(std::string_view Text, std::string_view File) {
  auto Sections = parseIni(Text, File);
  if (!Sections)
    return tl::unexpected(Sections.error());
  ConfigurationReader Reader(File);
  for (const IniSection &Section : *Sections)
    Reader.readSection(Section);
  return Reader.buildConfiguration();
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
                     [&](const UnrepeatableEndpoint &Route) {
                       return Route.Method_ == Method &&
                              Path.substr(0, Route.PathPrefix_.size()) ==
                                  Route.PathPrefix_;
                     });
}

} // namespace endivewharf
