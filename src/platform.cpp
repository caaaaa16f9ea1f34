// Requests to the log service, the host list and the cloud API, probes and load
// commands, as JSON over HTTP.
#include "platform.h"

#include "checkedjson.h"
#include "codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

/// Longest time that the log service waits for records before it answers.
constexpr Millis LogPollTimeout = 1000;
/// Timeout of one exchange with the log service, including `LogPollTimeout`.
constexpr Millis LogRequestTimeout = 2500;
constexpr Millis ListRequestTimeout = 2000;
constexpr Millis ProbeTimeout = 1000;
constexpr Millis LoadCommandTimeout = 2000;
constexpr int MaxLogPageRecords = 500;
constexpr std::size_t MaxResponseBytes = 16 << 20;

void fetchResponse(
    HttpClient &Client, HttpRequest Request,
    std::function<void(const HttpResult &, const std::string &)> Done) {
  fetchBody(Client, std::move(Request), MaxResponseBytes, std::move(Done));
}

/// A host without a service is a model engine. Throws if a required field is
/// missing or has another type.
HostRow parseHostRow(const Json &Item) {
  HostRow Row;
  Row.Host_.Name_ = Item.at("name").get<std::string>();
  Row.Host_.Incarnation_ = Item.at("incarnation").get<std::uint64_t>();
  Row.Address_ = Item.at("address").get<std::string>();
  Row.DataCentre_ = Item.value("data_centre", "");
  Row.Zone_ = Item.value("zone", "");
  Row.Service_ = Item.value("service", "");
  Row.Kind_ =
      Row.Service_.empty() ? UpstreamKind::Model : UpstreamKind::Service;
  Row.Leaving_ = Item.value("leaving", false);
  Row.ChecksEpoch_ = Item.value("checks_epoch", false);
  Row.Price_ = Item.value("price", 1.0);
  return Row;
}

/// @return the probe's outcome; not reached if the text is not valid
ProbeEnded parseProbeAnswer(const InstanceId &Host, const std::string &Text) {
  ProbeEnded Result;
  Result.Host_ = Host;
  const Json Body = parseJson(Text);
  if (!Body.is_object())
    return Result;
  try {
    Result.Leaving_ = Body.value("leaving", false);
    Result.RunningRequests_ = Body.value("running", 0);
    Result.WaitingRequests_ = Body.value("waiting", 0);
    Result.Slots_ = Body.value("slots", 0);
    for (const Json &Item : Body.value("loaded", Json::array()))
      Result.Loaded_.push_back({Item.at("model").get<std::string>(),
                                Item.at("version").get<std::string>()});
    Result.Reached_ = true;
  } catch (const Json::exception &) {
    Result.Loaded_.clear();
  }
  return Result;
}

} // namespace

std::optional<std::vector<HostRow>> parseHostList(std::string_view Text) {
  const Json Body = parseJson(Text);
  if (!Body.is_object())
    return std::nullopt;
  try {
    std::vector<HostRow> Rows;
    for (const Json &Item : Body.at("hosts"))
      Rows.push_back(parseHostRow(Item));
    return Rows;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::optional<LogRead> parseLogPage(std::string_view Text) {
  const Json Body = parseJson(Text);
  if (!Body.is_object())
    return std::nullopt;
  try {
    LogRead Page;
    Page.EarliestOffset_ = Body.at("earliest").get<LogOffset>();
    Page.NextOffset_ = Body.at("next").get<LogOffset>();
    Page.AtTail_ = Body.value("at_tail", false);
    for (const Json &Item : Body.at("records")) {
      LogEntry Entry;
      Entry.Offset_ = Item.at("offset").get<LogOffset>();
      auto Record = decodeRecord(Item.at("body").get<std::string>());
      if (Record)
        Entry.Record_ = std::move(*Record);
      Page.Entries_.push_back(std::move(Entry));
    }
    return Page;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

void PlatformClient::readLog(const ReadLog &E) {
  HttpRequest Request;
  Request.Url_ =
      fmt::format("{}/read?from={}&max={}&wait_ms={}", Settings_.LogUrl_,
                  E.FromOffset_, MaxLogPageRecords, LogPollTimeout);
  Request.TotalTimeout_ = LogRequestTimeout;
  Request.FreshConnection_ = FreshLogConnection_;
  fetchResponse(Client_, std::move(Request),
                [this](const HttpResult &Result, const std::string &Body) {
                  FreshLogConnection_ = Result.End_ != TransferEnd::Complete;
                  auto Page = isOk(Result) ? parseLogPage(Body) : std::nullopt;
                  if (Page)
                    Sink_(std::move(*Page));
                  else
                    Sink_(LogReadFailed{});
                });
}

void PlatformClient::appendToLog(const AppendToLog &E) {
  Json Records = Json::array();
  for (const LogRecord &Record : E.Records_)
    Records.push_back(encodeRecord(Record));
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = fmt::format("{}/append", Settings_.LogUrl_);
  Request.Headers_ = {"Content-Type: application/json"};
  Request.Body_ = Json{{"records", Records}}.dump();
  Request.TotalTimeout_ = LogRequestTimeout;
  Request.FreshConnection_ = FreshLogConnection_;
  fetchResponse(
      Client_, std::move(Request),
      [this, Id = E.AppendId_](const HttpResult &Result, const std::string &) {
        Sink_(AppendEnded{Id, isOk(Result)});
      });
}

void PlatformClient::readHosts() {
  HttpRequest Request;
  Request.Url_ = fmt::format("{}/hosts", Settings_.HostListUrl_);
  Request.TotalTimeout_ = ListRequestTimeout;
  fetchResponse(Client_, std::move(Request),
                [this](const HttpResult &Result, const std::string &Body) {
                  auto Rows = isOk(Result) ? parseHostList(Body) : std::nullopt;
                  if (Rows)
                    Sink_(HostsRead{std::move(*Rows)});
                });
}

void PlatformClient::readReclaimNotices() {
  HttpRequest Request;
  Request.Url_ =
      fmt::format("{}/notices?after={}", Settings_.CloudUrl_, NoticeCursor_);
  Request.TotalTimeout_ = ListRequestTimeout;
  fetchResponse(Client_, std::move(Request),
                [this](const HttpResult &Result, const std::string &Body) {
                  const Json Page = parseJson(Body);
                  if (!isOk(Result) || !Page.is_object())
                    return;
                  try {
                    ReclaimNoticesRead Read;
                    for (const Json &Item : Page.at("notices"))
                      Read.Notices_.push_back(
                          {{Item.at("name").get<std::string>(),
                            Item.at("incarnation").get<std::uint64_t>()},
                           Item.value("time_left_ms", Millis{2000})});
                    NoticeCursor_ = Page.at("next").get<std::int64_t>();
                    if (!Read.Notices_.empty())
                      Sink_(std::move(Read));
                  } catch (const Json::exception &) {
                    // The cursor has not moved: the next read returns the same
                    // notices.
                    return;
                  }
                });
}

void PlatformClient::probeUpstream(const ProbeUpstream &E) {
  HttpRequest Request;
  Request.Url_ = fmt::format("{}/health", E.Address_);
  Request.TotalTimeout_ = ProbeTimeout;
  fetchResponse(Client_, std::move(Request),
                [this, Host = E.Host_](const HttpResult &Result,
                                       const std::string &Body) {
                  if (isOk(Result))
                    Sink_(parseProbeAnswer(Host, Body));
                  else
                    Sink_(ProbeEnded{Host, false, false, 0, 0, 0, {}});
                });
}

void PlatformClient::sendLoadCommand(const LoadModelVersion &E) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = fmt::format("{}/orders", E.Address_);
  Request.Headers_ = {"Content-Type: application/json"};
  Request.Body_ = Json{
      {"action", "load"},
      {"epoch", E.Epoch_},
      {"model", E.Model_},
      {"version",
       E.Version_}}.dump();
  Request.TotalTimeout_ = LoadCommandTimeout;
  // The answer is not evaluated: the engine's next probe lists what it has
  // loaded.
  fetchResponse(Client_, std::move(Request),
                [](const HttpResult &, const std::string &) {});
}

} // namespace endivewharf
