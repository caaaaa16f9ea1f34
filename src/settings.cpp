// Reads a settings file with a table of the known keys and checks the result as
// a whole.
#include "settings.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace endivewharf {

namespace {

/// Parses the value of one key and stores it in the settings.
/// @return what was expected if the value is not valid, otherwise empty
using KeyReader =
    std::function<std::string(Settings &, std::string_view Value)>;

/// One key of the settings file and the function that reads it.
struct KeyRule {
  std::string Section_;
  std::string Key_;
  std::string Meaning_;
  KeyReader Read_;
};

KeyReader textReader(std::string Settings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> std::string {
    if (Value.empty())
      return "a text that is not empty";
    Target.*Field = std::string(Value);
    return {};
  };
}

KeyReader addressReader(SocketAddress Settings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> std::string {
    const auto Parsed = parseAddress(Value);
    if (!Parsed)
      return "a numeric IP address and port, such as 127.0.0.1:8080";
    Target.*Field = *Parsed;
    return {};
  };
}

KeyReader durationReader(Millis LimitSettings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> std::string {
    const auto Parsed = parseDuration(Value);
    if (!Parsed || *Parsed == 0)
      return "a duration above 0, such as 250ms, 3s or 2m";
    Target.Limits_.*Field = *Parsed;
    return {};
  };
}

KeyReader sizeReader(std::int64_t LimitSettings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> std::string {
    const auto Parsed = parseSize(Value);
    if (!Parsed || *Parsed == 0)
      return "a size above 0, such as 512KiB or 32MiB";
    Target.Limits_.*Field = *Parsed;
    return {};
  };
}

KeyReader countReader(int LimitSettings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> std::string {
    int Number = 0;
    const auto *End = Value.data() + Value.size();
    const auto Result = std::from_chars(Value.data(), End, Number);
    if (Result.ec != std::errc() || Result.ptr != End || Number <= 0)
      return "a whole number above 0";
    Target.Limits_.*Field = Number;
    return {};
  };
}

/// Reads a fraction of at most `Max`.
KeyReader fractionReader(double LimitSettings::*Field, double Max) {
  return [Field, Max](Settings &Target, std::string_view Value) -> std::string {
    double Number = 0;
    const auto *End = Value.data() + Value.size();
    const auto Result = std::from_chars(Value.data(), End, Number);
    if (Result.ec != std::errc() || Result.ptr != End ||
        !(Number >= 0 && Number <= Max))
      return fmt::format("a number from 0 to {}", Max);
    Target.Limits_.*Field = Number;
    return {};
  };
}

KeyReader boundDurationReader(Millis BoundSettings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> std::string {
    const auto Parsed = parseDuration(Value);
    if (!Parsed || *Parsed == 0)
      return "a duration above 0, such as 250ms, 3s or 2m";
    Target.Bounds_.*Field = *Parsed;
    return {};
  };
}

KeyReader boundNumberReader(double BoundSettings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> std::string {
    double Number = 0;
    const auto *End = Value.data() + Value.size();
    const auto Result = std::from_chars(Value.data(), End, Number);
    if (Result.ec != std::errc() || Result.ptr != End || Number < 0)
      return "a number of at least 0";
    Target.Bounds_.*Field = Number;
    return {};
  };
}

/// Reads a list of addresses that are separated by commas.
KeyReader addressListReader(std::vector<SocketAddress> Settings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> std::string {
    std::vector<SocketAddress> Addresses;
    while (!Value.empty()) {
      const auto Comma = Value.find(',');
      const auto Parsed = parseAddress(Value.substr(0, Comma));
      if (!Parsed)
        return "numeric IP addresses with ports, separated by commas";
      Addresses.push_back(*Parsed);
      Value = Comma == std::string_view::npos ? "" : Value.substr(Comma + 1);
    }
    Target.*Field = std::move(Addresses);
    return {};
  };
}

/// Reads a list `DATA_CENTRE:REGION` that is separated by commas.
KeyReader regionMapReader(RegionMap Settings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> std::string {
    RegionMap Regions;
    while (!Value.empty()) {
      const auto Comma = Value.find(',');
      const std::string_view Item = Value.substr(0, Comma);
      const auto Colon = Item.rfind(':');
      if (Colon == std::string_view::npos || Colon == 0 ||
          Colon + 1 == Item.size())
        return "a list DATA_CENTRE:REGION, separated by commas";
      Regions[std::string(Item.substr(0, Colon))] =
          std::string(Item.substr(Colon + 1));
      Value = Comma == std::string_view::npos ? "" : Value.substr(Comma + 1);
    }
    Target.*Field = std::move(Regions);
    return {};
  };
}

/// Largest fraction of requests that may get a second attempt: beyond it the
/// second attempts are a load that slows all others down.
constexpr double MaxHedgeShare = 0.1;

const std::vector<KeyRule> &keyRules() {
  using L = LimitSettings;
  using B = BoundSettings;
  static const std::vector<KeyRule> Rules = {
      {"entry", "name", "name of this process, unique among its peers",
       textReader(&Settings::Name_)},
      {"entry", "data_centre", "data centre of this host",
       textReader(&Settings::DataCentre_)},
      {"entry", "zone", "zone of this host", textReader(&Settings::Zone_)},
      {"entry", "listen", "address for callers",
       addressReader(&Settings::CallerListen_)},
      {"entry", "operator_listen", "address for /dump and /metrics",
       addressReader(&Settings::OperatorListen_)},
      {"entry", "peer_listen", "address for other entry processes",
       addressReader(&Settings::PeerListen_)},
      {"entry", "relay_listen",
       "address for requests that other entry processes pass on",
       addressReader(&Settings::RelayListen_)},
      {"platform", "log", "URL of the log service",
       textReader(&Settings::LogUrl_)},
      {"platform", "hosts", "URL of the host list",
       textReader(&Settings::HostListUrl_)},
      {"platform", "cloud", "URL of the cloud API",
       textReader(&Settings::CloudUrl_)},
      {"platform", "store",
       "URL of the platform's store, used in place of log and hosts",
       textReader(&Settings::StoreUrl_)},
      {"platform", "seeds",
       "addresses at which other entry processes may be found",
       addressListReader(&Settings::SeedContacts_)},
      {"platform", "regions", "region of each data centre, for requests' homes",
       regionMapReader(&Settings::Regions_)},
      {"limits", "progress", "longest time between two parts of a stream",
       durationReader(&L::IdleTimeout_)},
      {"limits", "first_token", "longest wait for the first token",
       durationReader(&L::FirstTokenTimeout_)},
      {"limits", "service",
       "longest wait for the first byte of a plain service's answer",
       durationReader(&L::ServiceTimeout_)},
      {"limits", "time_limit", "time limit of a request that names none",
       durationReader(&L::DefaultTimeLimit_)},
      {"limits", "drain", "longest duration of a planned stop",
       durationReader(&L::DrainTimeout_)},
      {"limits", "stop_margin", "part of the drain time kept in reserve",
       durationReader(&L::DrainMargin_)},
      {"limits", "unready", "time for the balancer to notice a planned stop",
       durationReader(&L::UnreadyPeriod_)},
      {"limits", "lease", "duration of the control lease",
       durationReader(&L::LeaseDuration_)},
      {"limits", "key_window", "how long an idempotency key is remembered",
       durationReader(&L::IdempotencyKeyRetention_)},
      {"limits", "max_body", "largest request body",
       sizeReader(&L::MaxRequestBodyBytes_)},
      {"limits", "max_answer", "largest answer of an upstream",
       sizeReader(&L::MaxAnswerBytes_)},
      {"limits", "machine_memory", "memory of the machine for this process",
       sizeReader(&L::MachineMemoryBytes_)},
      {"limits", "descriptors", "descriptors that the process may use",
       countReader(&L::MaxDescriptors_)},
      {"limits", "queue",
       "largest number of requests that wait for an upstream",
       countReader(&L::MaxQueueLength_)},
      {"limits", "upstream_slots",
       "initial concurrency limit of an upstream, in requests",
       countReader(&L::InitialUpstreamConcurrency_)},
      {"limits", "hedge_share",
       "second attempts of slow requests that may be repeated, as a fraction "
       "of such requests; 0: none",
       fractionReader(&L::HedgeShare_, MaxHedgeShare)},
      {"bounds", "retry_share", "allowed retries, as a fraction of requests",
       boundNumberReader(&B::RetryShare_)},
      {"bounds", "retry_window", "window over which retries are counted",
       boundDurationReader(&B::RetryWindow_)},
      {"bounds", "retry_slack",
       "retries of all processes together in addition to retry_share",
       boundNumberReader(&B::RetrySlack_)},
      {"bounds", "quota_window",
       "window over which an account's units are counted",
       boundDurationReader(&B::QuotaWindow_)},
      {"bounds", "quota_excess",
       "fraction by which all processes together may exceed a quota",
       boundNumberReader(&B::QuotaExcess_)},
      {"bounds", "quota_slack",
       "units by which all processes together may exceed a quota",
       boundNumberReader(&B::QuotaSlack_)},
      {"bounds", "leaving_limit",
       "time within which all processes stop sending to a host that leaves",
       boundDurationReader(&B::LeavingLimit_)},
      {"bounds", "config_limit",
       "time within which all processes apply a configuration",
       boundDurationReader(&B::ConfigLimit_)},
      {"bounds", "usage_window", "period that one usage report covers",
       boundDurationReader(&B::UsageWindow_)},
      {"bounds", "usage_limit",
       "time after the end of a usage window within which its report must "
       "arrive",
       boundDurationReader(&B::UsageReportTimeout_)},
      {"bounds", "canary_share",
       "share of requests that a version under evaluation may receive",
       boundNumberReader(&B::CanaryShare_)},
      {"bounds", "canary_slack",
       "requests that a version under evaluation may receive in addition to "
       "canary_share",
       boundNumberReader(&B::CanarySlack_)},
      {"bounds", "cold_factor",
       "multiple of the rate that a cold host tolerates which all processes "
       "together may send it; 0: no bound",
       boundNumberReader(&B::ColdFactor_)},
      {"bounds", "cold_slack",
       "requests per second to a cold host in addition to cold_factor",
       boundNumberReader(&B::ColdSlack_)},
  };
  return Rules;
}

const std::vector<std::string> PeerKeys = {"address", "data_centre", "zone"};

std::vector<std::string> sectionKeys(std::string_view Section) {
  std::vector<std::string> Keys;
  for (const KeyRule &Rule : keyRules())
    if (Rule.Section_ == Section)
      Keys.push_back(Rule.Key_);
  return Keys;
}

/// One part of the machine's memory is for connections of callers; the others
/// are for answers of upstreams and for the state.
constexpr std::int64_t CallersMemoryDivisor = 3;
/// The largest body is kept in so many copies while its request is in progress,
/// and as much is left for others.
constexpr std::int64_t LargestBodyCopies = 4;
/// Descriptors for files.
constexpr std::size_t FileDescriptors = 200;
/// One part of the other descriptors is for upstreams, the store and peers.
constexpr std::size_t OwnDescriptorsDivisor = 4;

} // namespace

std::size_t callersMemory(const LimitSettings &Limits) {
  return static_cast<std::size_t>(Limits.MachineMemoryBytes_ /
                                  CallersMemoryDivisor);
}

std::size_t callersConnections(const LimitSettings &Limits,
                               std::size_t Available) {
  const std::size_t Descriptors =
      std::min(static_cast<std::size_t>(Limits.MaxDescriptors_), Available);
  const std::size_t Sockets =
      std::max(Descriptors, FileDescriptors) - FileDescriptors;
  return std::max<std::size_t>(Sockets - Sockets / OwnDescriptorsDivisor, 1);
}

SettingsBuilder &SettingsBuilder::addText(std::string_view Text) {
  auto Sections = parseIni(Text, Errors_.file());
  if (!Sections) {
    Errors_.addAll(Sections.error());
    return *this;
  }
  for (const IniSection &Section : *Sections)
    addSection(Section);
  return *this;
}

void SettingsBuilder::addSection(const IniSection &Section) {
  if (Section.Kind_ == "peer") {
    PeerSettings Peer;
    Peer.Name_ = Section.Name_;
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "data_centre")
        Peer.DataCentre_ = Entry.Value_;
      else if (Entry.Key_ == "zone")
        Peer.Zone_ = Entry.Value_;
      else if (Entry.Key_ != "address")
        Errors_.addUnknownKey(Section, Entry, PeerKeys);
      else if (const auto Parsed = parseAddress(Entry.Value_))
        Peer.Address_ = *Parsed;
      else
        Errors_.add(Section, Entry.Line_, Entry.Key_,
                    "a numeric IP address and port, such as 127.0.0.1:8080");
    }
    Result_.Peers_.push_back(Peer);
    return;
  }
  const std::vector<std::string> Known = sectionKeys(Section.Kind_);
  if (Known.empty()) {
    Errors_.add(
        Section, Section.Line_, "",
        fmt::format("a known section; nearest: {}",
                    nearestWord(Section.Kind_, {"entry", "platform", "limits",
                                                "bounds", "peer"})));
    return;
  }
  for (const auto &Entry : Section.Entries_) {
    // An empty value keeps the default: templates may leave values empty.
    if (Entry.Value_.empty())
      continue;
    const auto Rule = std::find_if(
        keyRules().begin(), keyRules().end(), [&](const KeyRule &R) {
          return R.Section_ == Section.Kind_ && R.Key_ == Entry.Key_;
        });
    if (Rule == keyRules().end()) {
      Errors_.addUnknownKey(Section, Entry, Known);
      continue;
    }
    std::string Expected = Rule->Read_(Result_, Entry.Value_);
    if (!Expected.empty())
      Errors_.add(Section, Entry.Line_, Entry.Key_, std::move(Expected));
  }
}

void SettingsBuilder::checkConsistency() {
  const IniSection EntrySection{"entry", "", 0, {}};
  const std::map<std::string, std::string> Required = {
      {"name", Result_.Name_},
      {"data_centre", Result_.DataCentre_},
      {"zone", Result_.Zone_}};
  for (const auto &[Key, Value] : Required)
    if (Value.empty())
      Errors_.add(EntrySection, 0, Key, "a value; the key is missing");
  std::map<std::string, std::string> UsersByAddress;
  const auto CheckAddress = [&](const SocketAddress &Address,
                                std::string User) {
    if (Address.Port_ == 0)
      Errors_.add(EntrySection, 0, User, "an address; the key is missing");
    else if (!UsersByAddress.emplace(formatAddress(Address), User).second)
      Errors_.add(
          EntrySection, 0, User,
          fmt::format(
              "an address that is not in use; {} is already the address of {}",
              formatAddress(Address), UsersByAddress[formatAddress(Address)]));
  };
  CheckAddress(Result_.CallerListen_, "listen");
  CheckAddress(Result_.OperatorListen_, "operator_listen");
  CheckAddress(Result_.PeerListen_, "peer_listen");
  for (const PeerSettings &Peer : Result_.Peers_) {
    const IniSection PeerSection{"peer", Peer.Name_, 0, {}};
    if (Peer.Name_ == Result_.Name_ || Peer.Name_.empty())
      Errors_.add(
          PeerSection, 0, "",
          "a peer name that is not empty and is not the name of this process");
    if (Peer.DataCentre_.empty())
      Errors_.add(PeerSection, 0, "data_centre", "a value; the key is missing");
    CheckAddress(Peer.Address_, "peer " + Peer.Name_);
  }
  const std::int64_t LeastMemory = Result_.Limits_.MaxRequestBodyBytes_ *
                                   LargestBodyCopies * CallersMemoryDivisor;
  if (Result_.Limits_.MachineMemoryBytes_ < LeastMemory)
    Errors_.add({"limits", "", 0, {}}, 0, "machine_memory",
                fmt::format("at least {} bytes, so that one body of max_body "
                            "can be served",
                            LeastMemory));
  if (static_cast<std::size_t>(Result_.Limits_.MaxDescriptors_) <=
      2 * FileDescriptors)
    Errors_.add({"limits", "", 0, {}}, 0, "descriptors",
                fmt::format("more than {}", 2 * FileDescriptors));
  const std::map<std::string, std::string> Urls = {
      {"log", Result_.LogUrl_}, {"hosts", Result_.HostListUrl_}};
  const IniSection PlatformSection{"platform", "", 0, {}};
  if (Result_.servesPlatform()) {
    if (Result_.StoreUrl_.rfind("http", 0) != 0)
      Errors_.add(PlatformSection, 0, "store", "a URL that starts with http");
    return;
  }
  for (const auto &[Key, Value] : Urls)
    if (Value.rfind("http", 0) != 0)
      Errors_.add(PlatformSection, 0, Key, "a URL that starts with http");
}

tl::expected<Settings, FileErrors> SettingsBuilder::build() {
  checkConsistency();
  if (!Errors_.empty())
    return tl::unexpected(Errors_.extractErrors());
  return std::move(Result_);
}

tl::expected<Settings, FileErrors> readSettings(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    return tl::unexpected(
        FileErrors{{Path, 0, "", "", "a file that can be read"}});
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return SettingsBuilder(Path).addText(Text.str()).build();
}

std::vector<SettingsKey> settingsReference() {
  std::vector<SettingsKey> Reference;
  for (const KeyRule &Rule : keyRules())
    Reference.push_back({Rule.Section_, Rule.Key_, Rule.Meaning_});
  return Reference;
}

tl::expected<SocketAddress, std::monostate>
parseAddress(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return tl::unexpected(std::monostate{});
  const std::string_view Ip = Text.substr(0, Colon);
  if (Ip.find_first_not_of("0123456789.:[]abcdefABCDEF") !=
      std::string_view::npos)
    return tl::unexpected(std::monostate{});
  int Port = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Result.ec != std::errc() || Result.ptr != End || Port < 1 || Port > 65535)
    return tl::unexpected(std::monostate{});
  return SocketAddress{std::string(Ip), Port};
}

std::string formatAddress(const SocketAddress &Address) {
  return fmt::format("{}:{}", Address.Ip_, Address.Port_);
}

} // namespace endivewharf
