// Turns INI sections into a checked configuration.
#include "config.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace endivewharf {

namespace {

bool fits(double Number) {
  return Number >= 0 && Number <= static_cast<double>(MaxNumber);
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
  explicit ConfigurationReader(std::string_view File) : Mistakes_(File) {}

  void read(const IniSection &Section) {
    if (Section.Kind_ == "account")
      readAccount(Section);
    else if (Section.Kind_ == "model")
      readModel(Section);
    else if (Section.Kind_ == "service")
      readService(Section);
    else if (Section.Kind_ == "route")
      readRoute(Section);
    else
      Mistakes_.add(
          Section, Section.Line_, "",
          fmt::format("a section account, model, service or route; nearest: {}",
                      nearestWord(Section.Kind_,
                                  {"account", "model", "service", "route"})));
  }

  tl::expected<Configuration, FileMistakes> finish() {
    if (!Mistakes_.empty())
      return tl::unexpected(Mistakes_.take());
    for (auto &[Host, Routes] : Result_.Routes_)
      std::stable_sort(Routes.begin(), Routes.end(),
                       [](const RouteEntry &A, const RouteEntry &B) {
                         return A.PathPrefix_.size() > B.PathPrefix_.size();
                       });
    noteFirstRanks();
    return std::move(Result_);
  }

private:
  void noteFirstRanks() {
    std::map<std::string, int> First;
    for (const auto &[Host, Routes] : Result_.Routes_)
      for (const RouteEntry &Route : Routes)
        for (const ServiceShare &Share : Route.Services_) {
          const auto [Found, New] = First.emplace(Share.Service_, Route.Rank_);
          Found->second = std::min(Found->second, Route.Rank_);
        }
    for (auto &[Name, Service] : Result_.Services_) {
      const auto Found = First.find(Name);
      Service.FirstRank_ = Found == First.end() ? 0 : Found->second;
    }
  }

  double positive(const IniSection &Section, const IniSection::Entry &Entry) {
    bool Ok = false;
    const double Number = parseNumber(Entry.Value_, Ok);
    if (Ok && Number > 0 && fits(Number))
      return Number;
    Mistakes_.add(Section, Entry.Line_, Entry.Key_,
                  "a number above 0, at most 1e15");
    return 1;
  }

  double notNegative(const IniSection &Section,
                     const IniSection::Entry &Entry) {
    bool Ok = false;
    const double Number = parseNumber(Entry.Value_, Ok);
    if (Ok && fits(Number))
      return Number;
    Mistakes_.add(Section, Entry.Line_, Entry.Key_, "a number from 0 to 1e15");
    return 0;
  }

  int wholeNumber(const IniSection &Section, const IniSection::Entry &Entry) {
    const double Number = notNegative(Section, Entry);
    if (Number > std::numeric_limits<int>::max()) {
      Mistakes_.add(Section, Entry.Line_, Entry.Key_, "a smaller number");
      return 0;
    }
    return static_cast<int>(Number);
  }

  Millis duration(const IniSection &Section, const IniSection::Entry &Entry) {
    const auto Parsed = parseDuration(Entry.Value_);
    if (!Parsed)
      Mistakes_.add(Section, Entry.Line_, Entry.Key_,
                    "a duration such as 250ms or 3s");
    return Parsed.value_or(0);
  }

  bool yesOrNo(const IniSection &Section, const IniSection::Entry &Entry) {
    if (Entry.Value_ != "yes" && Entry.Value_ != "no")
      Mistakes_.add(Section, Entry.Line_, Entry.Key_, "yes or no");
    return Entry.Value_ == "yes";
  }

  /// Reads `NAME:NUMBER`.
  std::pair<std::string, double> weighted(const IniSection &Section,
                                          const IniSection::Entry &Entry) {
    const auto Colon = Entry.Value_.rfind(':');
    bool Ok = false;
    const double Number =
        Colon == std::string::npos
            ? 0
            : parseNumber(std::string_view(Entry.Value_).substr(Colon + 1), Ok);
    if (!Ok || !fits(Number) || Colon == 0) {
      Mistakes_.add(Section, Entry.Line_, Entry.Key_, "NAME:NUMBER");
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
        Keyless = yesOrNo(Section, Entry);
      else if (Entry.Key_ == "weight")
        New.Weight_ = positive(Section, Entry);
      else if (Entry.Key_ == "rate")
        New.RatePerSecond_ =
            Entry.Value_ == "none" ? 0 : positive(Section, Entry);
      else if (Entry.Key_ == "burst")
        New.Burst_ = notNegative(Section, Entry);
      else if (Entry.Key_ == "unit")
        New.Unit_ = readUnit(Section, Entry);
      else if (Entry.Key_ == "plain_units")
        New.PlainUnits_ = positive(Section, Entry);
      else if (Entry.Key_ == "rank")
        New.Rank_ = wholeNumber(Section, Entry);
      else if (Entry.Key_ == "max_in_flight")
        New.MaxInFlight_ = static_cast<int>(positive(Section, Entry));
      else
        Mistakes_.addUnknownKey(Section, Entry,
                                {"key", "keyless", "weight", "rate", "burst",
                                 "unit", "plain_units", "rank",
                                 "max_in_flight"});
    }
    if (New.Name_.empty())
      Mistakes_.add(Section, Section.Line_, "", "a name: [account NAME]");
    if (Keys.empty() && !Keyless)
      Mistakes_.add(Section, Section.Line_, "key", "a secret key");
    for (const std::string &Key : Keys) {
      New.Key_ = Key;
      if (Key.empty())
        Mistakes_.add(Section, Section.Line_, "key", "a secret key");
      else if (!Result_.AccountsByKey_.emplace(Key, New).second)
        Mistakes_.add(Section, Section.Line_, "key",
                      "a key that no other account has");
    }
    Result_.AccountsByName_[New.Name_] = New;
  }

  RateUnit readUnit(const IniSection &Section, const IniSection::Entry &Entry) {
    if (Entry.Value_ != "tokens" && Entry.Value_ != "requests")
      Mistakes_.add(Section, Entry.Line_, Entry.Key_, "tokens or requests");
    return Entry.Value_ == "tokens" ? RateUnit::Tokens : RateUnit::Requests;
  }

  void readModel(const IniSection &Section) {
    ModelEntry New{.Name_ = Section.Name_, .Version_ = ""};
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "version")
        New.Version_ = Entry.Value_;
      else
        Mistakes_.addUnknownKey(Section, Entry, {"version"});
    }
    if (New.Version_.empty())
      Mistakes_.add(Section, Section.Line_, "version",
                    "the version that serves");
    Result_.Models_[New.Name_] = New;
  }

  void readService(const IniSection &Section) {
    ServiceEntry New;
    New.Name_ = Section.Name_;
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "unrepeatable")
        readUnrepeatable(Section, Entry, New);
      else if (Entry.Key_ == "health")
        New.HealthPath_ = Entry.Value_;
      else if (Entry.Key_ == "max_connections")
        New.MaxConnections_ = wholeNumber(Section, Entry);
      else if (Entry.Key_ == "slots")
        New.Slots_ = wholeNumber(Section, Entry);
      else if (Entry.Key_ == "cache_tokens")
        New.CacheTokens_ =
            static_cast<std::int64_t>(notNegative(Section, Entry));
      else if (Entry.Key_ == "token_bytes")
        New.TokenBytes_ =
            static_cast<std::int64_t>(notNegative(Section, Entry));
      else if (Entry.Key_ == "cache_watchers")
        New.MaxCacheWatchers_ = wholeNumber(Section, Entry);
      else if (!readScaling(Section, Entry, New.Scaling_))
        Mistakes_.addUnknownKey(Section, Entry,
                                {"unrepeatable", "health", "max_connections",
                                 "slots", "cache_tokens", "token_bytes",
                                 "cache_watchers", "min_hosts", "max_hosts",
                                 "start_time", "spot_price", "zone_price"});
    }
    Result_.Services_[New.Name_] = New;
  }

  bool readScaling(const IniSection &Section, const IniSection::Entry &Entry,
                   ScalingLimits &Limits) {
    if (Entry.Key_ == "min_hosts")
      Limits.MinHosts_ = wholeNumber(Section, Entry);
    else if (Entry.Key_ == "max_hosts")
      Limits.MaxHosts_ = wholeNumber(Section, Entry);
    else if (Entry.Key_ == "start_time")
      Limits.StartTime_ = duration(Section, Entry);
    else if (Entry.Key_ == "spot_price")
      Limits.SpotPrice_ = notNegative(Section, Entry);
    else if (Entry.Key_ == "zone_price")
      Limits.ZonePrices_.insert(weighted(Section, Entry));
    else
      return false;
    return true;
  }

  void readRoute(const IniSection &Section) {
    RouteEntry New;
    New.Name_ = Section.Name_;
    for (const auto &Entry : Section.Entries_)
      if (!readRouteKey(Section, Entry, New))
        Mistakes_.addUnknownKey(Section, Entry,
                                {"host", "path", "kind", "resumable", "public",
                                 "time_limit", "objective", "gap", "rank",
                                 "attempts", "service"});
    if (New.Host_.empty())
      Mistakes_.add(Section, Section.Line_, "host", "a host name");
    if (New.PathPrefix_.empty() || New.PathPrefix_.front() != '/' ||
        New.PathPrefix_.back() != '/')
      Mistakes_.add(Section, Section.Line_, "path",
                    "a prefix that begins and ends with a slash");
    if (New.Services_.empty())
      Mistakes_.add(Section, Section.Line_, "service", "NAME:WEIGHT");
    Result_.Routes_[New.Host_].push_back(New);
  }

  bool readRouteKey(const IniSection &Section, const IniSection::Entry &Entry,
                    RouteEntry &Route) {
    if (Entry.Key_ == "host")
      Route.Host_ = lowerCase(Entry.Value_);
    else if (Entry.Key_ == "path")
      Route.PathPrefix_ = Entry.Value_;
    else if (Entry.Key_ == "kind")
      Route.Kind_ = readKind(Section, Entry);
    else if (Entry.Key_ == "resumable")
      Route.Resumable_ = yesOrNo(Section, Entry);
    else if (Entry.Key_ == "public")
      Route.Public_ = yesOrNo(Section, Entry);
    else if (Entry.Key_ == "time_limit")
      Route.TimeLimit_ = duration(Section, Entry);
    else if (Entry.Key_ == "objective")
      Route.Objective_ = duration(Section, Entry);
    else if (Entry.Key_ == "gap")
      Route.GapObjective_ = duration(Section, Entry);
    else if (Entry.Key_ == "rank")
      Route.Rank_ = wholeNumber(Section, Entry);
    else if (Entry.Key_ == "attempts")
      Route.MaxUpstreams_ = std::max(1, wholeNumber(Section, Entry));
    else if (Entry.Key_ == "service") {
      const auto [Name, Weight] = weighted(Section, Entry);
      Route.Services_.push_back({Name, Weight});
    } else
      return false;
    return true;
  }

  RouteKind readKind(const IniSection &Section,
                     const IniSection::Entry &Entry) {
    if (Entry.Value_ == "repeatable")
      return RouteKind::Repeatable;
    if (Entry.Value_ == "stream")
      return RouteKind::Stream;
    if (Entry.Value_ != "unrepeatable")
      Mistakes_.add(Section, Entry.Line_, Entry.Key_,
                    "repeatable, unrepeatable or stream");
    return RouteKind::Unrepeatable;
  }

  void readUnrepeatable(const IniSection &Section,
                        const IniSection::Entry &Entry, ServiceEntry &Service) {
    std::string_view Rest = Entry.Value_;
    while (!Rest.empty()) {
      const auto Comma = Rest.find(',');
      const std::string Item(trimmed(Rest.substr(0, Comma)));
      Rest = Comma == std::string_view::npos ? "" : Rest.substr(Comma + 1);
      const auto Space = Item.find(' ');
      if (Space == std::string::npos || Item.find('/') != Space + 1) {
        Mistakes_.add(Section, Entry.Line_, Entry.Key_,
                      "METHOD /path, METHOD /path");
        continue;
      }
      Service.Unrepeatable_.push_back(
          {Item.substr(0, Space), Item.substr(Space + 1)});
    }
  }

  Configuration Result_;
  MistakeCollector Mistakes_;
};

} // namespace

tl::expected<Configuration, FileMistakes>
parseConfiguration(std::string_view Text, std::string_view File) {
  auto Sections = parseIni(Text, File);
  if (!Sections)
    return tl::unexpected(Sections.error());
  ConfigurationReader Reader(File);
  for (const IniSection &Section : *Sections)
    Reader.read(Section);
  return Reader.finish();
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
  return std::any_of(Service.Unrepeatable_.begin(), Service.Unrepeatable_.end(),
                     [&](const UnrepeatableRoute &Route) {
                       return Route.Method_ == Method &&
                              Path.substr(0, Route.PathPrefix_.size()) ==
                                  Route.PathPrefix_;
                     });
}

} // namespace endivewharf
