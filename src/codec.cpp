// Each type lists its fields once, in visitFields(). Messages in CBOR are
// arrays of these fields in order; records in JSON are objects with their
// names.
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
concept SameIgnoringConst = std::same_as<std::remove_const_t<T>, U>;

// --- Fields of each type, in the order of the CBOR array ---

template <SameIgnoringConst<InstanceId> T, typename V>
void visitFields(T &R, V &&F) {
  F("name", R.Name_);
  F("incarnation", R.Incarnation_);
}
template <SameIgnoringConst<LeavingFact> T, typename V>
void visitFields(T &R, V &&F) {
  F("host", R.Host_);
  F("reason", R.Reason_);
}
template <SameIgnoringConst<BadVersionFact> T, typename V>
void visitFields(T &R, V &&F) {
  F("note", R.NoteVersion_);
  F("model", R.Model_);
  F("reason", R.Reason_);
}
template <SameIgnoringConst<SampleSums> T, typename V>
void visitFields(T &R, V &&F) {
  F("count", R.Count_);
  F("failed", R.Failed_);
  F("timed", R.LatencyCount_);
  F("log_latency", R.LogLatency_);
  F("log_latency_square", R.LogLatencySquare_);
  F("broken", R.Broken_);
}
template <SameIgnoringConst<EvidenceRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("note", R.NoteVersion_);
  F("model", R.Model_);
  F("new", R.NewVersion_);
  F("route", R.Route_);
  F("data_centre", R.DataCentre_);
  F("observer", R.Observer_);
  F("window", R.Window_);
  F("sums", R.Sums_);
  F("strained", R.Strained_);
}
template <SameIgnoringConst<PeerRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("life", R.Instance_);
  F("data_centre", R.DataCentre_);
  F("zone", R.Zone_);
  F("heartbeat", R.Heartbeat_);
  F("config_version", R.ConfigVersion_);
  F("draining", R.Draining_);
  F("address", R.Address_);
}
template <SameIgnoringConst<HeartbeatRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("life", R.InstanceHash_);
  F("heartbeat", R.Heartbeat_);
}
template <SameIgnoringConst<RolloutRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("note", R.NoteVersion_);
  F("note_id", R.NoteId_);
  F("deadline_unix_ms", R.DeadlineUnixMs_);
  F("model", R.Model_);
  F("from", R.FromVersion_);
  F("to", R.ToVersion_);
  F("share", R.Share_);
  F("bad", R.RolledBack_);
  F("reason", R.Reason_);
}
/// Encoded form of a SuspectName. Processes that know no whole requests read
/// one as a part that no prompt has.
struct SuspectRow {
  std::uint64_t Key_ = 0;
  std::string Model_; ///< Model of a part, route of a request.
  std::string Id_;    ///< ID of a part, account of a request.
  bool IsRequest_ = false;
  std::vector<std::uint64_t> PartKeys_;
};
template <SameIgnoringConst<SuspectRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("key", R.Key_);
  F("model", R.Model_);
  F("id", R.Id_);
  F("whole_request", R.IsRequest_);
  F("parts", R.PartKeys_);
}

struct SuspectRowMaker {
  SuspectRow operator()(const PartName &Name) const {
    return {Name.Key_, Name.Model_, Name.Id_, false, {}};
  }
  SuspectRow operator()(const RequestName &Name) const {
    return {Name.Key_, Name.Route_, Name.Account_, true, Name.PartKeys_};
  }
};

SuspectName suspectName(SuspectRow Row) {
  if (Row.IsRequest_)
    return RequestName{Row.Key_, std::move(Row.Model_), std::move(Row.Id_),
                       std::move(Row.PartKeys_)};
  return PartName{Row.Key_, std::move(Row.Model_), std::move(Row.Id_)};
}

template <SameIgnoringConst<BreakRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("part", R.Name_);
  F("upstream", R.UpstreamHash_);
  F("trial", R.TrialId_);
  F("request", R.RequestKey_);
}
template <SameIgnoringConst<ClearedRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("key", R.Key_);
}
template <SameIgnoringConst<BlockFact> T, typename V>
void visitFields(T &R, V &&F) {
  F("parts", R.Names_);
  F("upstreams", R.UpstreamHashes_);
  F("lifted", R.Lifted_);
}
template <SameIgnoringConst<ControlSnapshot> T, typename V>
void visitFields(T &R, V &&F) {
  F("version", R.Version_);
  F("config_version", R.ConfigVersion_);
  F("config", R.ConfigText_);
  F("note_version", R.NoteVersion_);
  F("moves", R.Rollouts_);
  F("blocked_parts", R.Blocks_);
}
template <SameIgnoringConst<DigestMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("members", R.Peers_);
  F("beats", R.Heartbeats_);
  F("control_version", R.ControlVersion_);
  F("facts_hash", R.FactsHash_);
  F("sequence", R.Sequence_);
  F("acknowledged", R.Acknowledged_);
  F("unix_ms", R.UnixMs_);
  F("cluster_size", R.ClusterSize_);
  F("reached", R.ReachedServices_);
}
template <SameIgnoringConst<LoadRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("upstream", R.UpstreamHash_);
  F("in_flight", R.InFlight_);
  F("prefill_ms", R.PrefillMs_);
}
template <SameIgnoringConst<QuotaRequestRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("account", R.Account_);
  F("units", R.Units_);
  F("call", R.Call_);
  F("origin", R.OriginHash_);
  F("hops", R.Hops_);
}
template <SameIgnoringConst<QuotaGrantRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("account", R.Account_);
  F("units", R.Units_);
  F("call", R.Call_);
  F("origin", R.OriginHash_);
  F("retry_after_ms", R.RetryAfter_);
}
template <SameIgnoringConst<QuotaDepositRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("account", R.Account_);
  F("units", R.Units_);
}
template <SameIgnoringConst<QuotaMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("deposits", R.Deposits_);
  F("requests", R.Requests_);
  F("grants", R.Grants_);
}
template <SameIgnoringConst<ReservedField> T, typename V>
void visitFields(T &, V &&) {}
template <SameIgnoringConst<StoreReaderRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("name", R.Name_);
  F("hosts_hash", R.HostsHash_);
  F("hosts_version", R.HostsVersion_);
  F("hosts_age", R.HostsAge_);
  F("hosts_read_at", R.HostsReadAt_);
  F("config_version", R.ConfigVersion_);
  F("config_age", R.ConfigAge_);
  F("hosts_readable_for", R.HostsReadableFor_);
  F("hosts_recovered", R.HostsRecovered_);
}
template <SameIgnoringConst<IncludedReportRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("life", R.InstanceHash_);
  F("sequence", R.Sequence_);
}
template <SameIgnoringConst<HostRow> T, typename V>
void visitFields(T &R, V &&F) {
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
  F("cold_left", R.WarmupTimeLeft_);
}
template <SameIgnoringConst<UsageRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("window", R.Window_);
  F("account", R.Account_);
  F("count", R.Count_);
}
template <SameIgnoringConst<WorkRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("service", R.Service_);
  F("ms_per_second", R.MsPerSecond_);
}
template <SameIgnoringConst<LimitRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("upstream", R.UpstreamHash_);
  F("per_second", R.PerSecond_);
  F("number", R.Number_);
}
template <SameIgnoringConst<ColdRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("upstream", R.UpstreamHash_);
  F("time_left", R.TimeLeft_);
  F("number", R.Number_);
}
template <SameIgnoringConst<EvacuationRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("data_centre", R.DataCentre_);
  F("offset", R.Offset_);
  F("active", R.Active_);
}
template <SameIgnoringConst<SpeedRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("upstream", R.UpstreamHash_);
  F("counts", R.Counts_);
}
template <SameIgnoringConst<TypicalTimeRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("service", R.Service_);
  F("kind", R.Kind_);
  F("base_ms", R.BaseMs_);
  F("per_unit_ms", R.PerUnitMs_);
  F("samples", R.Samples_);
}
template <SameIgnoringConst<SpeedReport> T, typename V>
void visitFields(T &R, V &&F) {
  F("upstreams", R.Upstreams_);
  F("services", R.Services_);
}
template <SameIgnoringConst<SummaryMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("loads", R.Loads_);
  F("reserved", R.Reserved_);
  F("usage", R.Usage_);
  F("work", R.Work_);
  F("moves", R.Rollouts_);
  F("config_version", R.ConfigVersion_);
  F("hosts_hash", R.HostsHash_);
  F("hosts_version", R.HostsVersion_);
  F("unix_ms", R.UnixMs_);
  F("scope", R.Scope_);
  F("processes", R.ProcessCount_);
  F("sequence", R.Sequence_);
  F("included", R.IncludedReports_);
  F("followers", R.StoreReaders_);
  F("collectors", R.Aggregators_);
  F("list_hash", R.UsedHostsHash_);
  F("list_version", R.UsedHostsVersion_);
  F("limits", R.Limits_);
  F("cold_hosts", R.ColdHosts_);
  F("evacuations", R.Evacuations_);
  F("speeds", R.Speeds_);
}
template <SameIgnoringConst<UsageMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("rows", R.Rows_);
}
template <SameIgnoringConst<HostsRequestMessage> T, typename V>
void visitFields(T &, V &&) {}
template <SameIgnoringConst<HostsMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("version", R.Version_);
  F("hosts", R.Hosts_);
  F("reserved", R.Reserved_);
  F("age", R.Age_);
}
template <SameIgnoringConst<FactsMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("leaving", R.LeavingFacts_);
  F("bad", R.BadVersionFacts_);
  F("evidence", R.Evidence_);
  F("part_breaks", R.Breaks_);
  F("cleared_parts", R.Cleared_);
  F("blocked_parts", R.Blocks_);
}
template <SameIgnoringConst<TrialRequestRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("key", R.Key_);
  F("call", R.Call_);
}
template <SameIgnoringConst<TrialAnswerRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("key", R.Key_);
  F("call", R.Call_);
  F("granted", R.Granted_);
}
template <SameIgnoringConst<TrialEndRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("part", R.Name_);
  F("broken", R.Broken_);
  F("upstream", R.UpstreamHash_);
  F("trial", R.TrialId_);
  F("request", R.RequestKey_);
}
template <SameIgnoringConst<TrialMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("requests", R.Requests_);
  F("answers", R.Answers_);
  F("ends", R.Ends_);
}
template <SameIgnoringConst<ControlMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("control", R.Control_);
}
template <SameIgnoringConst<ControlRequestMessage> T, typename V>
void visitFields(T &, V &&) {}
template <SameIgnoringConst<CallRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("request_id", R.RequestId_);
  F("account_key", R.ApiKey_);
  F("model", R.Model_);
  F("route", R.Route_);
  F("body", R.Body_);
  F("delivered", R.GeneratedText_);
  F("token_ends", R.TokenEnds_);
  F("next_index", R.NextIndex_);
  F("max_tokens", R.MaxTokens_);
  F("stream", R.Stream_);
  F("finished", R.Finished_);
  F("finish_reason", R.FinishReason_);
  F("priority", R.Priority_);
  F("blocks", R.PrefixHashes_);
}
template <SameIgnoringConst<HandoverMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("record", R.Record_);
}
template <SameIgnoringConst<HandoverAckMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("request_id", R.RequestId_);
}
template <SameIgnoringConst<FindCallMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("request_id", R.RequestId_);
}
template <SameIgnoringConst<FoundCallMessage> T, typename V>
void visitFields(T &R, V &&F) {
  F("request_id", R.RequestId_);
  F("held", R.Retained_);
  F("record", R.Record_);
}
template <SameIgnoringConst<ConfigRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("base", R.BaseVersion_);
  F("text", R.Text_);
}
template <SameIgnoringConst<VersionChange> T, typename V>
void visitFields(T &R, V &&F) {
  F("model", R.Model_);
  F("to", R.ToVersion_);
}
template <SameIgnoringConst<ReleaseNoteRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("base", R.BaseVersion_);
  F("id", R.Id_);
  F("deadline_unix_ms", R.DeadlineUnixMs_);
  F("changes", R.Changes_);
}
template <SameIgnoringConst<LeaseAcquireRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("holder", R.Holder_);
  F("previous", R.PreviousOffset_);
  F("length_ms", R.Duration_);
  F("nonce", R.Nonce_);
  F("era", R.Era_);
}
template <SameIgnoringConst<LeaseRenewRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("holder", R.Holder_);
  F("epoch", R.Epoch_);
  F("length_ms", R.Duration_);
  F("nonce", R.Nonce_);
  F("released", R.Released_);
}
template <SameIgnoringConst<ShareRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("epoch", R.Epoch_);
  F("note", R.NoteVersion_);
  F("model", R.Model_);
  F("share", R.Share_);
  F("reason", R.Reason_);
}
template <SameIgnoringConst<VerdictRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("fact", R.Fact_);
}
template <SameIgnoringConst<ClaimRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("key", R.Key_);
  F("claim_id", R.ClaimId_);
  F("claimer", R.Claimer_);
  F("fingerprint", R.Fingerprint_);
}
template <SameIgnoringConst<ClaimReleaseRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("key", R.Key_);
  F("claim_id", R.ClaimId_);
}
template <SameIgnoringConst<ClaimDoneRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("key", R.Key_);
  F("claim_id", R.ClaimId_);
  F("known", R.OutcomeKnown_);
  F("status", R.Status_);
  F("content_type", R.ContentType_);
  F("body", R.Body_);
}
template <SameIgnoringConst<BlockRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("fact", R.Fact_);
}
template <SameIgnoringConst<SnapshotRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("epoch", R.Epoch_);
  F("through", R.LastReadOffset_);
  F("control", R.Control_);
}

template <SameIgnoringConst<JoinRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("row", R.Row_);
}
template <SameIgnoringConst<UsageRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("epoch", R.Epoch_);
  F("window", R.Window_);
  F("rows", R.Rows_);
}

template <SameIgnoringConst<InstanceUsageRow> T, typename V>
void visitFields(T &R, V &&F) {
  F("life", R.Instance_);
  F("counts", R.Counts_);
}
template <SameIgnoringConst<UsageCountsRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("window", R.Window_);
  F("rows", R.Rows_);
}

template <SameIgnoringConst<UsageFloorRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("era", R.Era_);
  F("window", R.Window_);
}

template <SameIgnoringConst<WorkRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("unix_ms", R.UnixMs_);
  F("rows", R.Rows_);
}

template <SameIgnoringConst<BreaksRecord> T, typename V>
void visitFields(T &R, V &&F) {
  F("writer", R.Writer_);
  F("unix_ms", R.UnixMs_);
  F("rows", R.Rows_);
}

template <typename T>
concept HasFields = requires(T &R) {
  visitFields(R, [](auto &&...) {});
};

// --- Encoding ---

template <typename T> Json toArray(const T &Value);
template <typename T> Json toObject(const T &Value);
Json toArray(const SuspectName &Name);
Json toObject(const SuspectName &Name);

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
    visitFields(Value, [&](const char *, const auto &Field) {
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
    visitFields(Value, [&](const char *Name, const auto &Field) {
      Result[Name] = toObject(Field);
    });
    return Result;
  } else {
    return toArray(Value);
  }
}

Json toArray(const SuspectName &Name) {
  return toArray(std::visit(SuspectRowMaker{}, Name));
}
Json toObject(const SuspectName &Name) {
  return toObject(std::visit(SuspectRowMaker{}, Name));
}

// --- Decoding; a Json exception means CodecError::WrongShape ---

template <typename T> void readArray(const Json &From, T &To);
template <typename T> void readObject(const Json &From, T &To);
void readArray(const Json &From, SuspectName &To);
void readObject(const Json &From, SuspectName &To);

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

/// @return the scope of a number; SummaryScope::Group for an unknown one
SummaryScope readSummaryScope(int Number) {
  if (Number == static_cast<int>(SummaryScope::Process))
    return SummaryScope::Process;
  return Number == static_cast<int>(SummaryScope::All) ? SummaryScope::All
                                                       : SummaryScope::Group;
}

/// Reads a value that has no fields of its own. The enumerations on the wire
/// have two values, except SummaryScope; an unknown value reads as the second.
template <typename T> void readScalar(const Json &From, T &To) {
  if constexpr (std::same_as<T, SummaryScope>)
    To = readSummaryScope(From.get<int>());
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
    visitFields(To, [&](const char *, auto &Field) {
      if (Next < From.size())
        readArray(From[Next], Field);
      ++Next;
    });
  } else {
    readScalar(From, To);
  }
}

template <typename T> void readObject(const Json &From, T &To) {
  if constexpr (HasFields<T>) {
    visitFields(To, [&](const char *Name, auto &Field) {
      const auto Found = From.find(Name);
      if (Found != From.end())
        readObject(*Found, Field);
    });
  } else {
    readScalar(From, To);
  }
}

void readArray(const Json &From, SuspectName &To) {
  SuspectRow Row;
  readArray(From, Row);
  To = suspectName(std::move(Row));
}
void readObject(const Json &From, SuspectName &To) {
  SuspectRow Row;
  readObject(From, Row);
  To = suspectName(std::move(Row));
}

// --- Names of types, by number ---

constexpr std::array MessageNames = {
    "digest",   "facts",        "control",       "control_request",
    "handover", "handover_ack", "find_call",     "found_call",
    "sums",     "usage",        "hosts_request", "hosts",
    "quota",    "part_trial"};
constexpr std::array RecordNames = {
    "config",  "note",       "lease_acquire", "lease_renew", "share",
    "verdict", "claim",      "claim_release", "claim_done",  "snapshot",
    "join",    "usage",      "usage_counts",  "work",        "blocked_parts",
    "breaks",  "usage_floor"};
static_assert(MessageNames.size() == std::variant_size_v<PeerMessage>);
static_assert(RecordNames.size() == std::variant_size_v<LogRecord>);

/// Default-constructs a variant's alternative.
/// @param Index number of the alternative
/// @return the variant, or nothing if it has no such alternative
template <typename Variant, std::size_t... I>
std::optional<Variant> makeAlternative(std::size_t Index,
                                       std::index_sequence<I...>) {
  std::optional<Variant> Result;
  ((Index == I ? static_cast<void>(Result.emplace(std::in_place_index<I>))
               : static_cast<void>(0)),
   ...);
  return Result;
}

template <typename Variant>
std::optional<Variant> makeAlternative(std::size_t Index) {
  return makeAlternative<Variant>(
      Index, std::make_index_sequence<std::variant_size_v<Variant>>());
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
  const Json Encoded = {toArray(Envelope.Sender_), Envelope.Message_.index(),
                        Body};
  std::string Bytes;
  Json::to_cbor(Encoded, Bytes);
  return Bytes;
}

tl::expected<PeerEnvelope, CodecError> decodeMessage(std::string_view Bytes) {
  try {
    const Json Parsed = parseCbor(Bytes);
    if (Parsed.is_discarded())
      return tl::unexpected(CodecError::NotCbor);
    PeerEnvelope Envelope;
    readArray(Parsed.at(0), Envelope.Sender_);
    auto Message =
        makeAlternative<PeerMessage>(Parsed.at(1).get<std::size_t>());
    if (!Message)
      return tl::unexpected(CodecError::UnknownType);
    std::visit([&](auto &M) { readArray(Parsed.at(2), M); }, *Message);
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
    std::size_t Index = 0;
    while (Index < RecordNames.size() && RecordNames[Index] != Type)
      ++Index;
    auto Record = makeAlternative<LogRecord>(Index);
    if (!Record)
      return tl::unexpected(CodecError::UnknownType);
    std::visit([&](auto &R) { readObject(Body, R); }, *Record);
    return std::move(*Record);
  } catch (const Json::exception &) {
    return tl::unexpected(CodecError::WrongShape);
  }
}

} // namespace endivewharf
