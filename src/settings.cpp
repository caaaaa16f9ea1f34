// Reads a settings file with a table of the known keys and checks the result as
// a whole.
#include "settings.h"

#include "quantity.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <span>
#include <sstream>
#include <variant>

namespace endivewharf {

namespace {

/// What became of the value of one key.
/// @{
struct ValueStored {};
struct ValueLeftOut {}; ///< The template had no value; the default stays.
struct ValueReplaced {  ///< Another value is used in its place.
  std::string Expected_;
  std::string Used_;
};
struct ValueRefused {
  std::string Expected_;
};
using ReadResult =
    std::variant<ValueStored, ValueLeftOut, ValueReplaced, ValueRefused>;
/// @}

/// Parses the value of one key and stores it in the settings.
using KeyReader = std::function<ReadResult(Settings &, std::string_view Value)>;

/// One key of the settings file and the function that reads it.
struct KeyRule {
  std::string Section_;
  std::string Key_;
  std::string Meaning_;
  KeyReader Read_;
};

KeyReader textReader(std::string Settings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> ReadResult {
    Target.*Field = std::string(Value);
    return ValueStored{};
  };
}

KeyReader addressReader(SocketAddress Settings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> ReadResult {
    const auto Parsed = parseAddress(Value);
    if (!Parsed)
      return ValueRefused{
          "a numeric IP address and port, such as 127.0.0.1:8080"};
    Target.*Field = *Parsed;
    return ValueStored{};
  };
}

constexpr auto LargestNumber = static_cast<double>(MaxExternalNumber);

/// The numbers that a key takes, in base units of its kind of quantity.
///
/// A number that is no figure of an operator but one of the platform never
/// keeps a process from serving: it may have a fraction, a figure that the
/// template leaves out keeps the default, and one out of range is replaced.
class NumberRule {
public:
  /// @param Units units of the number; the first is the base unit
  /// @param Expected what a value of the key looks like
  NumberRule(std::span<const Unit> Units, std::string Expected)
      : Units_(Units), Expected_(std::move(Expected)) {}

  NumberRule &atLeast(double Least) {
    Least_ = Least;
    return *this;
  }
  NumberRule &atMost(double Largest) {
    Largest_ = Largest;
    return *this;
  }
  /// Rounds to whole base units.
  NumberRule &rounded(double (*Round)(double)) {
    Round_ = Round;
    return *this;
  }
  /// Keeps the number as it is.
  NumberRule &exact() { return rounded(nullptr); }
  /// Refuses numbers with a fraction of the base unit.
  NumberRule &whole() {
    IsWhole_ = true;
    return *this;
  }
  /// The platform fills in the figure.
  NumberRule &fromPlatform() {
    IsFromPlatform_ = true;
    return *this;
  }
  /// A number that is too small says nothing: the default is used and not the
  /// least number.
  NumberRule &defaultIfTooSmall() {
    IsDefaultIfTooSmall_ = true;
    return *this;
  }

  /// Reads a number.
  /// @param Number default of the key; the number in use afterwards
  ReadResult read(std::string_view Text, double &Number) const {
    const auto Quantity = parseQuantity(Text, Units_);
    if (!Quantity) {
      if (IsFromPlatform_ && Quantity.error() == QuantityError::LeftOut)
        return ValueLeftOut{};
      return ValueRefused{Expected_};
    }
    const double Rounded = Round_ != nullptr ? Round_(*Quantity) : *Quantity;
    if (Rounded >= Least_ && Rounded <= Largest_ &&
        (!IsWhole_ || Rounded == *Quantity)) {
      Number = Rounded;
      return ValueStored{};
    }
    if (!IsFromPlatform_)
      return ValueRefused{Expected_};
    if (Rounded >= Least_ || !IsDefaultIfTooSmall_)
      Number = std::clamp(Rounded, Least_, Largest_);
    return ValueReplaced{fmt::format("{} from {} to {}", Expected_,
                                     format(Least_), format(Largest_)),
                         format(Number)};
  }

private:
  std::string format(double Number) const {
    return fmt::format("{}{}", Number, Units_.front().Name_);
  }

  std::span<const Unit> Units_;
  std::string Expected_;
  double Least_ = 1;
  double Largest_ = LargestNumber;
  double (*Round_)(double) = nullptr;
  bool IsWhole_ = false;
  bool IsFromPlatform_ = false;
  bool IsDefaultIfTooSmall_ = false;
};

NumberRule durationRule() {
  return NumberRule(durationUnits(),
                    "a duration above 0, such as 250ms, 7.5s or 2m")
      .rounded(roundDown);
}

NumberRule sizeRule() {
  return NumberRule(sizeUnits(), "a size above 0, such as 512KiB or 32MiB")
      .rounded(roundDown);
}

NumberRule countRule() {
  return NumberRule(noUnits(), "a whole number above 0")
      .rounded(roundDown)
      .whole()
      .atMost(std::numeric_limits<int>::max());
}

/// A number of at least 0 that the platform fills in.
NumberRule amountRule() {
  return NumberRule(noUnits(), "a number of at least 0")
      .atLeast(0)
      .fromPlatform();
}

/// Reads a number into a field of a part of the settings.
template <typename Part, typename Number>
KeyReader numberReader(Part Settings::*Section, Number Part::*Field,
                       NumberRule Rule) {
  return [Section, Field, Rule = std::move(Rule)](
             Settings &Target, std::string_view Value) -> ReadResult {
    Number &Stored = Target.*Section.*Field;
    auto Read = static_cast<double>(Stored);
    ReadResult Result = Rule.read(Value, Read);
    Stored = static_cast<Number>(Read);
    return Result;
  };
}

template <typename Number>
KeyReader limitReader(Number LimitSettings::*Field, NumberRule Rule) {
  return numberReader(&Settings::Limits_, Field, std::move(Rule));
}

template <typename Number>
KeyReader boundReader(Number BoundSettings::*Field, NumberRule Rule) {
  return numberReader(&Settings::Bounds_, Field, std::move(Rule));
}

/// Reads a list that is separated by commas. An item that cannot be read is
/// left out: the platform fills in the lists, and the rest of one is of use.
/// @param Read reads one item; false if it cannot be read
template <typename ItemReader>
ReadResult readList(std::string_view Value, std::string Expected,
                    ItemReader Read) {
  std::string Used;
  bool IsComplete = true;
  while (!Value.empty()) {
    const auto Comma = Value.find(',');
    const std::string_view Item = trimmed(Value.substr(0, Comma));
    if (Read(Item))
      Used += (Used.empty() ? "" : ",") + std::string(Item);
    else
      IsComplete = false;
    Value = Comma == std::string_view::npos ? "" : Value.substr(Comma + 1);
  }
  if (IsComplete)
    return ValueStored{};
  return ValueReplaced{std::move(Expected), Used.empty() ? "none" : Used};
}

/// Reads a list of addresses.
KeyReader addressListReader(std::vector<SocketAddress> Settings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> ReadResult {
    std::vector<SocketAddress> &Addresses = Target.*Field;
    Addresses.clear();
    return readList(Value,
                    "numeric IP addresses with ports, separated by commas",
                    [&](std::string_view Item) {
                      const auto Parsed = parseAddress(Item);
                      if (Parsed)
                        Addresses.push_back(*Parsed);
                      return Parsed.has_value();
                    });
  };
}

/// Reads a list `DATA_CENTRE:REGION`.
KeyReader regionMapReader(RegionMap Settings::*Field) {
  return [Field](Settings &Target, std::string_view Value) -> ReadResult {
    RegionMap &Regions = Target.*Field;
    Regions.clear();
    return readList(Value, "a list DATA_CENTRE:REGION, separated by commas",
                    [&](std::string_view Item) {
                      const auto Colon = Item.rfind(':');
                      if (Colon == std::string_view::npos || Colon == 0 ||
                          Colon + 1 == Item.size())
                        return false;
                      Regions[std::string(Item.substr(0, Colon))] =
                          std::string(Item.substr(Colon + 1));
                      return true;
                    });
  };
}

/// Largest fraction of requests that may get a second attempt: beyond it the
/// second attempts are a load that slows all others down.
constexpr double MaxHedgeShare = 0.1;

// Shortest durations that the tick of a process can keep, in ms: a lease is
// renewed three times, and news is passed on in steps of a tenth of its limit.
constexpr double LeastLease = 300;
constexpr double LeastKnowledgeLimit = 500;
/// Longest lease that counts, in ms.
constexpr double LargestLease = 600000;
/// Shortest usage window, in ms: reports follow one another.
constexpr double LeastUsageWindow = 500;

NumberRule hedgeShareRule() {
  return NumberRule(noUnits(),
                    fmt::format("a number from 0 to {}", MaxHedgeShare))
      .atLeast(0)
      .atMost(MaxHedgeShare);
}

NumberRule descriptorRule() {
  return NumberRule(noUnits(), "a number above 0")
      .rounded(roundDown)
      .atMost(std::numeric_limits<int>::max())
      .fromPlatform()
      .defaultIfTooSmall();
}

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
       limitReader(&L::IdleTimeout_, durationRule())},
      {"limits", "first_token", "longest wait for the first token",
       limitReader(&L::FirstTokenTimeout_, durationRule())},
      {"limits", "service",
       "longest wait for the first byte of a plain service's answer",
       limitReader(&L::ServiceTimeout_, durationRule())},
      {"limits", "time_limit", "time limit of a request that names none",
       limitReader(&L::DefaultTimeLimit_, durationRule())},
      {"limits", "drain", "longest duration of a planned stop",
       limitReader(&L::DrainTimeout_, durationRule().fromPlatform())},
      {"limits", "stop_margin", "part of the drain time kept in reserve",
       limitReader(&L::DrainMargin_, durationRule().rounded(roundUp))},
      {"limits", "unready", "time for the balancer to notice a planned stop",
       limitReader(&L::UnreadyPeriod_, durationRule())},
      {"limits", "lease", "duration of the control lease",
       limitReader(&L::LeaseDuration_, durationRule()
                                           .fromPlatform()
                                           .atLeast(LeastLease)
                                           .atMost(LargestLease)
                                           .rounded(roundUp))},
      {"limits", "key_window", "how long an idempotency key is remembered",
       limitReader(&L::IdempotencyKeyRetention_, durationRule())},
      {"limits", "max_body", "largest request body",
       limitReader(&L::MaxRequestBodyBytes_, sizeRule())},
      {"limits", "max_answer", "largest answer of an upstream",
       limitReader(&L::MaxAnswerBytes_, sizeRule())},
      {"limits", "machine_memory", "memory of the machine for this process",
       limitReader(&L::MachineMemoryBytes_,
                   sizeRule().fromPlatform().defaultIfTooSmall())},
      {"limits", "descriptors", "descriptors that the process may use",
       limitReader(&L::MaxDescriptors_, descriptorRule())},
      {"limits", "queue",
       "largest number of requests that wait for an upstream",
       limitReader(&L::MaxQueueLength_, countRule())},
      {"limits", "upstream_slots",
       "initial concurrency limit of an upstream, in requests",
       limitReader(&L::InitialUpstreamConcurrency_, countRule())},
      {"limits", "hedge_share",
       "second attempts of slow requests that may be repeated, as a fraction "
       "of such requests; 0: none",
       limitReader(&L::HedgeShare_, hedgeShareRule())},
      {"bounds", "retry_share", "allowed retries, as a fraction of requests",
       boundReader(&B::RetryShare_, amountRule())},
      {"bounds", "retry_window", "window over which retries are counted",
       boundReader(&B::RetryWindow_, durationRule().fromPlatform())},
      {"bounds", "retry_slack",
       "retries of all processes together in addition to retry_share",
       boundReader(&B::RetrySlack_, amountRule())},
      {"bounds", "quota_window",
       "window over which an account's units are counted",
       boundReader(&B::QuotaWindow_, durationRule().fromPlatform())},
      {"bounds", "quota_excess",
       "fraction by which all processes together may exceed a quota",
       boundReader(&B::QuotaExcess_, amountRule())},
      {"bounds", "quota_slack",
       "units by which all processes together may exceed a quota",
       boundReader(&B::QuotaSlack_, amountRule())},
      {"bounds", "leaving_limit",
       "time within which all processes stop sending to a host that leaves",
       boundReader(&B::LeavingLimit_,
                   durationRule().fromPlatform().atLeast(LeastKnowledgeLimit))},
      {"bounds", "config_limit",
       "time within which all processes apply a configuration",
       boundReader(&B::ConfigLimit_,
                   durationRule().fromPlatform().atLeast(LeastKnowledgeLimit))},
      {"bounds", "usage_window", "period that one usage report covers",
       boundReader(&B::UsageWindow_, durationRule()
                                         .fromPlatform()
                                         .exact()
                                         .atLeast(LeastUsageWindow)
                                         .defaultIfTooSmall())},
      {"bounds", "usage_limit",
       "time after the end of a usage window within which its report must "
       "arrive",
       boundReader(&B::UsageReportTimeout_, durationRule().fromPlatform())},
      {"bounds", "canary_share",
       "share of requests that a version under evaluation may receive",
       boundReader(&B::CanaryShare_, amountRule())},
      {"bounds", "canary_slack",
       "requests that a version under evaluation may receive in addition to "
       "canary_share",
       boundReader(&B::CanarySlack_, amountRule())},
      {"bounds", "cold_factor",
       "multiple of the rate that a cold host tolerates which all processes "
       "together may send it; 0: no bound",
       boundReader(&B::ColdFactor_, amountRule())},
      {"bounds", "cold_slack",
       "requests per second to a cold host in addition to cold_factor",
       boundReader(&B::ColdSlack_, amountRule())},
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

namespace {

/// Longest part of a value that is quoted, in bytes.
constexpr std::size_t MaxQuotedBytes = 64;

/// Notes what became of the value of one key.
struct ResultNoter {
  const IniSection &Section_;
  const IniSection::Entry &Entry_;
  FileErrorCollector &Errors_;
  FileErrorCollector &Replaced_;
  Settings &Target_;

  void operator()(const ValueStored &) const {}
  void operator()(const ValueLeftOut &) const {
    Target_.KeysLeftOut_.push_back(Section_.Kind_ + "." + Entry_.Key_);
  }
  void operator()(const ValueReplaced &R) const {
    Replaced_.add(
        Section_, Entry_.Line_, Entry_.Key_,
        fmt::format("{}, not {}; {} is used", R.Expected_, quoted(), R.Used_));
  }
  void operator()(const ValueRefused &R) const {
    Errors_.add(Section_, Entry_.Line_, Entry_.Key_,
                fmt::format("{}, not {}", R.Expected_, quoted()));
  }

private:
  std::string quoted() const {
    return fmt::format("\"{}\"", Entry_.Value_.substr(0, MaxQuotedBytes));
  }
};

} // namespace

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
    const auto Rule = std::find_if(
        keyRules().begin(), keyRules().end(), [&](const KeyRule &R) {
          return R.Section_ == Section.Kind_ && R.Key_ == Entry.Key_;
        });
    if (Rule == keyRules().end()) {
      if (Entry.Value_.empty())
        continue;
      Errors_.addUnknownKey(Section, Entry, Known);
      continue;
    }
    // An empty value keeps the default: templates may leave values empty.
    const ReadResult Result = Entry.Value_.empty()
                                  ? ReadResult(ValueLeftOut{})
                                  : Rule->Read_(Result_, Entry.Value_);
    std::visit(ResultNoter{Section, Entry, Errors_, Replaced_, Result_},
               Result);
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
  Result_.ReplacedValues_ = Replaced_.extractErrors();
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
