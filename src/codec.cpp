// One description of the fields of each type serves both forms: arrays in CBOR
// between processes, named fields in JSON in the log.
#include "codec.h"

#include "checkedjson.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

template <typename T, typename U>
concept Is = std::same_as<std::remove_const_t<T>, U>;

// --- Fields of each type, in the order of the compact form ---

template <Is<Life> T, typename V> void fields(T &R, V &&F) {
  F("name", R.Name_);
  F("incarnation", R.Incarnation_);
}
template <Is<LeavingFact> T, typename V> void fields(T &R, V &&F) {
  F("host", R.Host_);
  F("reason", R.Reason_);
}
template <Is<BadVersionFact> T, typename V> void fields(T &R, V &&F) {
  F("note", R.Note_);
  F("model", R.Model_);
  F("reason", R.Reason_);
}
template <Is<SampleSums> T, typename V> void fields(T &R, V &&F) {
  F("count", R.Count_);
  F("failed", R.Failed_);
  F("timed", R.Timed_);
  F("log_latency", R.LogLatency_);
  F("log_latency_square", R.LogLatencySquare_);
}
template <Is<EvidenceRow> T, typename V> void fields(T &R, V &&F) {
  F("note", R.Note_);
  F("model", R.Model_);
  F("new", R.New_);
  F("route", R.Route_);
  F("data_centre", R.DataCentre_);
  F("observer", R.Observer_);
  F("window", R.Window_);
  F("sums", R.Sums_);
}
template <Is<MemberRow> T, typename V> void fields(T &R, V &&F) {
  F("life", R.Life_);
  F("data_centre", R.DataCentre_);
  F("zone", R.Zone_);
  F("heartbeat", R.Heartbeat_);
  F("config_version", R.ConfigVersion_);
  F("draining", R.Draining_);
  F("address", R.Address_);
}
template <Is<Beat> T, typename V> void fields(T &R, V &&F) {
  F("life", R.LifeHash_);
  F("heartbeat", R.Heartbeat_);
}
template <Is<MoveRow> T, typename V> void fields(T &R, V &&F) {
  F("note", R.Note_);
  F("note_id", R.NoteId_);
  F("deadline_unix_ms", R.DeadlineUnixMs_);
  F("model", R.Model_);
  F("from", R.From_);
  F("to", R.To_);
  F("share", R.Share_);
  F("bad", R.Bad_);
  F("reason", R.Reason_);
}
template <Is<ControlSnapshot> T, typename V> void fields(T &R, V &&F) {
  F("version", R.Version_);
  F("config_version", R.ConfigVersion_);
  F("config", R.ConfigText_);
  F("note_version", R.NoteVersion_);
  F("moves", R.Moves_);
}
template <Is<DigestMessage> T, typename V> void fields(T &R, V &&F) {
  F("members", R.Members_);
  F("beats", R.Beats_);
  F("control_version", R.ControlVersion_);
  F("facts_hash", R.FactsHash_);
  F("sequence", R.Sequence_);
  F("acknowledged", R.Acknowledged_);
  F("unix_ms", R.UnixMs_);
}
template <Is<LoadRow> T, typename V> void fields(T &R, V &&F) {
  F("upstream", R.Upstream_);
  F("in_flight", R.InFlight_);
  F("prefill_ms", R.PrefillMs_);
}
template <Is<DemandRow> T, typename V> void fields(T &R, V &&F) {
  F("account", R.Account_);
  F("per_second", R.PerSecond_);
  F("admitted", R.Admitted_);
  F("silent", R.Silent_);
}
template <Is<FollowerRow> T, typename V> void fields(T &R, V &&F) {
  F("name", R.Name_);
  F("hosts_hash", R.HostsHash_);
  F("hosts_version", R.HostsVersion_);
  F("hosts_age", R.HostsAge_);
  F("hosts_read_at", R.HostsReadAt_);
  F("config_version", R.ConfigVersion_);
  F("config_age", R.ConfigAge_);
}
template <Is<IncludedRow> T, typename V> void fields(T &R, V &&F) {
  F("life", R.LifeHash_);
  F("sequence", R.Sequence_);
}
template <Is<HostRow> T, typename V> void fields(T &R, V &&F) {
  F("host", R.Host_);
  F("address", R.Address_);
  F("data_centre", R.DataCentre_);
  F("zone", R.Zone_);
  F("kind", R.Kind_);
  F("service", R.Service_);
  F("leaving", R.Leaving_);
  F("checks_epoch", R.ChecksEpoch_);
  F("price", R.Price_);
  F("version", R.Version_);
  F("slots", R.Slots_);
  F("spot", R.Spot_);
  F("cold_left", R.ColdLeft_);
}
template <Is<UsageRow> T, typename V> void fields(T &R, V &&F) {
  F("window", R.Window_);
  F("account", R.Account_);
  F("count", R.Count_);
}
template <Is<WorkRow> T, typename V> void fields(T &R, V &&F) {
  F("service", R.Service_);
  F("ms_per_second", R.MsPerSecond_);
}
template <Is<SumsMessage> T, typename V> void fields(T &R, V &&F) {
  F("loads", R.Loads_);
  F("demands", R.Demands_);
  F("usage", R.Usage_);
  F("work", R.Work_);
  F("moves", R.Moves_);
  F("config_version", R.ConfigVersion_);
  F("hosts_hash", R.HostsHash_);
  F("hosts_version", R.HostsVersion_);
  F("unix_ms", R.UnixMs_);
  F("scope", R.Scope_);
  F("processes", R.Processes_);
  F("sequence", R.Sequence_);
  F("included", R.Included_);
  F("followers", R.Followers_);
  F("collectors", R.Collectors_);
  F("list_hash", R.ListHash_);
  F("list_version", R.ListVersion_);
}
template <Is<UsageMessage> T, typename V> void fields(T &R, V &&F) {
  F("rows", R.Rows_);
}
template <Is<HostsRequestMessage> T, typename V> void fields(T &, V &&) {}
template <Is<HostsMessage> T, typename V> void fields(T &R, V &&F) {
  F("version", R.Version_);
  F("hosts", R.Hosts_);
  F("back_for", R.BackFor_);
}
template <Is<FactsMessage> T, typename V> void fields(T &R, V &&F) {
  F("leaving", R.Leaving_);
  F("bad", R.Bad_);
  F("evidence", R.Evidence_);
}
template <Is<ControlMessage> T, typename V> void fields(T &R, V &&F) {
  F("control", R.Control_);
}
template <Is<ControlRequestMessage> T, typename V> void fields(T &, V &&) {}
template <Is<CallRecord> T, typename V> void fields(T &R, V &&F) {
  F("request_id", R.RequestId_);
  F("account_key", R.AccountKey_);
  F("model", R.Model_);
  F("route", R.Route_);
  F("body", R.Body_);
  F("delivered", R.Delivered_);
  F("token_ends", R.TokenEnds_);
  F("next_index", R.NextIndex_);
  F("max_tokens", R.MaxTokens_);
  F("stream", R.Stream_);
  F("finished", R.Finished_);
  F("finish_reason", R.FinishReason_);
  F("priority", R.Priority_);
  F("blocks", R.Blocks_);
}
template <Is<HandoverMessage> T, typename V> void fields(T &R, V &&F) {
  F("record", R.Record_);
}
template <Is<HandoverAckMessage> T, typename V> void fields(T &R, V &&F) {
  F("request_id", R.RequestId_);
}
template <Is<FindCallMessage> T, typename V> void fields(T &R, V &&F) {
  F("request_id", R.RequestId_);
}
template <Is<FoundCallMessage> T, typename V> void fields(T &R, V &&F) {
  F("request_id", R.RequestId_);
  F("held", R.Held_);
  F("record", R.Record_);
}
template <Is<ConfigRecord> T, typename V> void fields(T &R, V &&F) {
  F("base", R.Base_);
  F("text", R.Text_);
}
template <Is<VersionChange> T, typename V> void fields(T &R, V &&F) {
  F("model", R.Model_);
  F("to", R.To_);
}
template <Is<NoteRecord> T, typename V> void fields(T &R, V &&F) {
  F("base", R.Base_);
  F("id", R.Id_);
  F("deadline_unix_ms", R.DeadlineUnixMs_);
  F("changes", R.Changes_);
}
template <Is<LeaseAcquireRecord> T, typename V> void fields(T &R, V &&F) {
  F("holder", R.Holder_);
  F("previous", R.Previous_);
  F("length_ms", R.Length_);
  F("nonce", R.Nonce_);
}
template <Is<LeaseRenewRecord> T, typename V> void fields(T &R, V &&F) {
  F("holder", R.Holder_);
  F("epoch", R.Epoch_);
  F("length_ms", R.Length_);
  F("nonce", R.Nonce_);
  F("released", R.Released_);
}
template <Is<ShareRecord> T, typename V> void fields(T &R, V &&F) {
  F("epoch", R.Epoch_);
  F("note", R.Note_);
  F("model", R.Model_);
  F("share", R.Share_);
  F("reason", R.Reason_);
}
template <Is<VerdictRecord> T, typename V> void fields(T &R, V &&F) {
  F("fact", R.Fact_);
}
template <Is<ClaimRecord> T, typename V> void fields(T &R, V &&F) {
  F("key", R.Key_);
  F("claim_id", R.ClaimId_);
  F("claimer", R.Claimer_);
  F("fingerprint", R.Fingerprint_);
}
template <Is<ClaimReleaseRecord> T, typename V> void fields(T &R, V &&F) {
  F("key", R.Key_);
  F("claim_id", R.ClaimId_);
}
template <Is<ClaimDoneRecord> T, typename V> void fields(T &R, V &&F) {
  F("key", R.Key_);
  F("claim_id", R.ClaimId_);
  F("known", R.Known_);
  F("status", R.Status_);
  F("content_type", R.ContentType_);
  F("body", R.Body_);
}
template <Is<SnapshotRecord> T, typename V> void fields(T &R, V &&F) {
  F("epoch", R.Epoch_);
  F("through", R.Through_);
  F("control", R.Control_);
}

template <Is<JoinRecord> T, typename V> void fields(T &R, V &&F) {
  F("row", R.Row_);
}
template <Is<UsageRecord> T, typename V> void fields(T &R, V &&F) {
  F("epoch", R.Epoch_);
  F("window", R.Window_);
  F("rows", R.Rows_);
}

template <Is<LifeUsageRow> T, typename V> void fields(T &R, V &&F) {
  F("life", R.Life_);
  F("counts", R.Counts_);
}
template <Is<UsageCountsRecord> T, typename V> void fields(T &R, V &&F) {
  F("window", R.Window_);
  F("rows", R.Rows_);
}

template <Is<WorkRecord> T, typename V> void fields(T &R, V &&F) {
  F("unix_ms", R.UnixMs_);
  F("rows", R.Rows_);
}

template <typename T>
concept HasFields = requires(T &R) {
  fields(R, [](auto &&...) {});
};

// --- Writing ---

template <typename T> Json toArray(const T &Value);
template <typename T> Json toObject(const T &Value);

template <typename T> Json toArray(const std::vector<T> &Values) {
  Json Result = Json::array();
  for (const T &Value : Values)
    Result.push_back(toArray(Value));
  return Result;
}
template <typename T> Json toObject(const std::vector<T> &Values) {
  Json Result = Json::array();
  for (const T &Value : Values)
    Result.push_back(toObject(Value));
  return Result;
}

template <typename T> Json toArray(const T &Value) {
  if constexpr (HasFields<const T>) {
    Json Result = Json::array();
    fields(Value, [&](const char *, const auto &Field) {
      Result.push_back(toArray(Field));
    });
    return Result;
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<int>(Value);
  } else {
    return Value;
  }
}

template <typename T> Json toObject(const T &Value) {
  if constexpr (HasFields<const T>) {
    Json Result = Json::object();
    fields(Value, [&](const char *Name, const auto &Field) {
      Result[Name] = toObject(Field);
    });
    return Result;
  } else {
    return toArray(Value);
  }
}

// --- Reading; Json exceptions mean a wrong shape ---

template <typename T> void readArray(const Json &From, T &To);
template <typename T> void readObject(const Json &From, T &To);

template <typename T> void readArray(const Json &From, std::vector<T> &To) {
  if (!From.is_array())
    throw Json::type_error::create(302, "array expected", &From);
  for (const Json &Item : From)
    readArray(Item, To.emplace_back());
}
template <typename T> void readObject(const Json &From, std::vector<T> &To) {
  if (!From.is_array())
    throw Json::type_error::create(302, "array expected", &From);
  for (const Json &Item : From)
    readObject(Item, To.emplace_back());
}

SumsScope readScope(int Number) {
  if (Number == static_cast<int>(SumsScope::Process))
    return SumsScope::Process;
  return Number == static_cast<int>(SumsScope::All) ? SumsScope::All
                                                    : SumsScope::Group;
}

template <typename T> void readPlain(const Json &From, T &To) {
  if constexpr (std::same_as<T, SumsScope>)
    To = readScope(From.get<int>());
  else if constexpr (std::is_enum_v<T>)
    To = From.get<int>() == 0 ? T{} : static_cast<T>(1);
  else
    To = From.get<T>();
}

template <typename T> void readArray(const Json &From, T &To) {
  if constexpr (HasFields<T>) {
    if (!From.is_array())
      throw Json::type_error::create(302, "array expected", &From);
    std::size_t Next = 0;
    fields(To, [&](const char *, auto &Field) {
      if (Next < From.size())
        readArray(From[Next], Field);
      ++Next;
    });
  } else {
    readPlain(From, To);
  }
}

template <typename T> void readObject(const Json &From, T &To) {
  if constexpr (HasFields<T>) {
    fields(To, [&](const char *Name, auto &Field) {
      const auto Found = From.find(Name);
      if (Found != From.end())
        readObject(*Found, Field);
    });
  } else {
    readPlain(From, To);
  }
}

// --- Types by number and name ---

constexpr std::array MessageNames = {
    "digest",   "facts",        "control",       "control_request",
    "handover", "handover_ack", "find_call",     "found_call",
    "sums",     "usage",        "hosts_request", "hosts"};
constexpr std::array RecordNames = {
    "config",  "note",  "lease_acquire", "lease_renew", "share",
    "verdict", "claim", "claim_release", "claim_done",  "snapshot",
    "join",    "usage", "usage_counts",  "work"};
static_assert(MessageNames.size() == std::variant_size_v<PeerMessage>);
static_assert(RecordNames.size() == std::variant_size_v<LogRecord>);

/// Default-constructs the alternative with a number.
template <typename Variant, std::size_t... I>
std::optional<Variant> makeAlternative(std::size_t Which,
                                       std::index_sequence<I...>) {
  std::optional<Variant> Result;
  ((Which == I ? static_cast<void>(Result.emplace(std::in_place_index<I>))
               : static_cast<void>(0)),
   ...);
  return Result;
}

template <typename Variant>
std::optional<Variant> makeAlternative(std::size_t Which) {
  return makeAlternative<Variant>(
      Which, std::make_index_sequence<std::variant_size_v<Variant>>());
}

} // namespace

std::string_view name(CodecError Value) {
  constexpr std::array Names = {"not_cbor", "not_json", "unknown_type",
                                "wrong_shape"};
  return Names[static_cast<std::size_t>(Value)];
}

std::string_view messageName(const PeerMessage &Message) {
  return MessageNames[Message.index()];
}

std::string encodeMessage(const PeerEnvelope &Envelope) {
  const Json Body = std::visit(
      [](const auto &Message) { return toArray(Message); }, Envelope.Message_);
  const Json Whole = {toArray(Envelope.From_), Envelope.Message_.index(), Body};
  std::string Bytes;
  Json::to_cbor(Whole, Bytes);
  return Bytes;
}

tl::expected<PeerEnvelope, CodecError> decodeMessage(std::string_view Bytes) {
  try {
    const Json Whole = parseCbor(Bytes);
    if (Whole.is_discarded())
      return tl::unexpected(CodecError::NotCbor);
    PeerEnvelope Envelope;
    readArray(Whole.at(0), Envelope.From_);
    auto Message = makeAlternative<PeerMessage>(Whole.at(1).get<std::size_t>());
    if (!Message)
      return tl::unexpected(CodecError::UnknownType);
    std::visit([&](auto &M) { readArray(Whole.at(2), M); }, *Message);
    Envelope.Message_ = std::move(*Message);
    return Envelope;
  } catch (const Json::exception &) {
    return tl::unexpected(CodecError::WrongShape);
  }
}

std::string encodeRecord(const LogRecord &Record) {
  Json Body = std::visit([](const auto &R) { return toObject(R); }, Record);
  Body["type"] = RecordNames[Record.index()];
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

tl::expected<LogRecord, CodecError> decodeRecord(std::string_view Text) {
  const Json Body = parseJson(Text);
  if (Body.is_discarded())
    return tl::unexpected(CodecError::NotJson);
  try {
    const auto Type = Body.at("type").get<std::string>();
    std::size_t Which = 0;
    while (Which < RecordNames.size() && RecordNames[Which] != Type)
      ++Which;
    auto Record = makeAlternative<LogRecord>(Which);
    if (!Record)
      return tl::unexpected(CodecError::UnknownType);
    std::visit([&](auto &R) { readObject(Body, R); }, *Record);
    return std::move(*Record);
  } catch (const Json::exception &) {
    return tl::unexpected(CodecError::WrongShape);
  }
}

} // namespace endivewharf
