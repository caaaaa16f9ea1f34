// Implements the HTTP interface for callers and operators with RESTinio.
#include "http.h"

#include "httpinput.h"
#include "pending.h"
#include "webserver.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endivewharf {

namespace {

using Json = nlohmann::json;
using ChunkedResponse =
    restinio::response_builder_t<restinio::chunked_output_t>;
using HandlingStatus = restinio::request_handling_status_t;

// Limit for reading the head and the body of a request.
constexpr auto RequestReadTimeout = std::chrono::seconds(15);
constexpr auto PingCheckInterval = std::chrono::milliseconds(500);
constexpr Millis StreamIdleTimeBeforePing = 1000; // ms
// A body that exceeds the configured limit by at most this margin is read
// whole, so that its sender gets an answer with status 413.
constexpr std::size_t BodyLimitMarginBytes = 4 << 20;

/// Serializes JSON on one line; invalid UTF-8 is replaced.
std::string dumpJson(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// JSON body of an error answer.
/// @param RequestId left out of the body if empty
std::string errorBody(const std::string &RequestId, const CallError &Error) {
  Json Body;
  Body["error"] = {{"type", std::string(name(Error.Kind_))},
                   {"message", Error.Detail_},
                   {"run", std::string(name(Error.RunState_))}};
  if (!RequestId.empty())
    Body["error"]["request_id"] = RequestId;
  if (Error.RetryAfter_ > 0)
    Body["error"]["retry_after_ms"] = Error.RetryAfter_;
  return dumpJson(Body);
}

/// Text as a quoted JSON string.
std::string jsonString(std::string_view Text) {
  return dumpJson(Json(std::string(Text)));
}

/// One caller's request whose answer is not complete.
struct PendingRequest {
  restinio::request_handle_t Request_;
  bool Chat_ = true; ///< Answer in the chat format, else as a text completion.
  bool Resumed_ = false; ///< The caller resumes an earlier request.
  std::unique_ptr<ChunkedResponse> Stream_; ///< Null before `StartStream`.
  std::string RequestId_;
  std::string Model_;      ///< As a quoted JSON string.
  Millis LastWriteAt_ = 0; ///< Of the stream; 0: nothing written.
};

/// Reads a whole number from a query string.
/// @return 0 if the key is missing or has no number
std::int64_t queryNumber(std::string_view Query, std::string_view Key) {
  std::int64_t Number = 0;
  const std::string Prefix = fmt::format("{}=", Key);
  const auto Found = Query.find(Prefix);
  if (Found != std::string_view::npos)
    std::from_chars(Query.data() + Found + Prefix.size(),
                    Query.data() + Query.size(), Number);
  return Number;
}

/// Adds `Retry-After`, in seconds rounded up, and `X-Run`.
template <typename Builder>
void addErrorHeaders(Builder &Response, const CallError &Error) {
  if (Error.RetryAfter_ > 0) {
    const Millis Seconds = (Error.RetryAfter_ + 999) / 1000;
    Response.append_header("Retry-After", std::to_string(Seconds));
  }
  Response.append_header("X-Run", std::string(name(Error.RunState_)));
}

} // namespace

struct HttpEdge::Impl {
  asio::io_context &Io_;
  const Settings &Settings_;
  EventSink Sink_;
  OperatorViews Views_;
  std::unique_ptr<WebListener> CallerListener_;
  std::unique_ptr<WebListener> OperatorListener_;
  PendingCalls<PendingRequest> PendingCalls_;
  asio::steady_timer PingTimer_;
  bool CloseAfterAnswer_ = false;
  /// Answers whose last bytes are being written.
  int FinalWritesInFlight_ = 0;

  Impl(asio::io_context &Io, const Settings &ProcessSettings, EventSink Sink,
       OperatorViews Views)
      : Io_(Io), Settings_(ProcessSettings), Sink_(std::move(Sink)),
        Views_(std::move(Views)), PingTimer_(Io) {}

  CallId addPendingRequest(const restinio::request_handle_t &Request,
                           bool Chat) {
    PendingRequest Pending;
    Pending.Request_ = Request;
    Pending.Chat_ = Chat;
    return PendingCalls_.add(Request->connection_id(), std::move(Pending));
  }

  /// Counts an answer's last write as in flight.
  /// @param Unsent bytes of the answer, from `countAnswer`
  /// @return callback that ends the count when the write has ended
  restinio::write_status_cb_t
  trackFinalWrite(std::shared_ptr<void> Unsent = nullptr) {
    ++FinalWritesInFlight_;
    return [this, Unsent = std::move(Unsent)](const asio::error_code &) {
      --FinalWritesInFlight_;
    };
  }

  /// Closes the connection after the answer if the process is not ready or has
  /// closed its listener.
  template <typename Builder> void addCommonHeaders(Builder &Response) const {
    if (CloseAfterAnswer_ || !Views_.IsReady_())
      Response.connection_close();
  }

  HandlingStatus sendAnswer(const restinio::request_handle_t &Request,
                            int Status, const std::string &ContentType,
                            std::string Body) {
    auto Response = Request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t(static_cast<std::uint16_t>(Status)),
        Status < 400 ? "OK" : "Error"});
    Response.append_header("Content-Type", ContentType);
    addCommonHeaders(Response);
    auto Unsent = countAnswer(Request, Body.size());
    Response.set_body(std::move(Body));
    return Response.done(trackFinalWrite(std::move(Unsent)));
  }

  HandlingStatus
  sendInvalidRequestError(const restinio::request_handle_t &Request,
                          const InvalidRequest &Invalid) {
    const CallError Error{ErrorKind::BadRequest, RunState::NotRun,
                          Invalid.Detail_, 0};
    return sendAnswer(Request, Invalid.Status_, "application/json",
                      errorBody("", Error));
  }

  HandlingStatus onCallerRequest(const restinio::request_handle_t &Request) {
    const auto PathView = Request->header().path();
    const std::string_view Path(PathView.data(), PathView.size());
    const bool IsPost =
        Request->header().method() == restinio::http_method_post();
    if (Path == "/healthz" || Path == "/readyz")
      return onHealthRequest(Request, Path);
    if (static_cast<std::int64_t>(Request->body().size()) >
        Settings_.Limits_.MaxRequestBodyBytes_)
      return sendInvalidRequestError(Request, {"the body is too long", 413});
    if (IsPost && Path == "/v1/chat/completions")
      return onCallRequest(Request, true,
                           parseCompletionRequest(*Request, true));
    if (IsPost && Path == "/v1/completions")
      return onCallRequest(Request, false,
                           parseCompletionRequest(*Request, false));
    if (Path.substr(0, 5) == "/svc/")
      return onCallRequest(Request, true,
                           parseServiceRequest(*Request, Path.substr(5)));
    if (!IsPost && Path.substr(0, 13) == "/v1/requests/")
      return onResumeRequest(Request, Path.substr(13));
    const CallError Error{ErrorKind::UnknownRoute, RunState::NotRun,
                          "no such path", 0};
    return sendAnswer(Request, 404, "application/json", errorBody("", Error));
  }

  HandlingStatus onHealthRequest(const restinio::request_handle_t &Request,
                                 std::string_view Path) {
    const bool Ok = Path == "/healthz" || Views_.IsReady_();
    return sendAnswer(Request, Ok ? 200 : 503, "text/plain",
                      Ok ? "ok\n" : "not ready\n");
  }

  HandlingStatus onCallRequest(const restinio::request_handle_t &Request,
                               bool Chat,
                               tl::expected<CallRequest, InvalidRequest> Call) {
    if (!Call)
      return sendInvalidRequestError(Request, Call.error());
    const CallId Id = addPendingRequest(Request, Chat);
    Sink_(RequestArrived{Id, std::move(*Call)});
    return restinio::request_accepted();
  }

  HandlingStatus onResumeRequest(const restinio::request_handle_t &Request,
                                 std::string_view RequestId) {
    const auto Query = Request->header().query();
    const CallId Id = addPendingRequest(Request, true);
    PendingCalls_.find(Id)->Resumed_ = true;
    Sink_(ResumeArrived{Id, std::string(RequestId), bearerKey(*Request),
                        queryNumber({Query.data(), Query.size()}, "from")});
    return restinio::request_accepted();
  }

  HandlingStatus onOperatorRequest(const restinio::request_handle_t &Request) {
    const auto PathView = Request->header().path();
    const std::string_view Path(PathView.data(), PathView.size());
    if (Path == "/dump")
      return sendAnswer(Request, 200, "application/json", Views_.RenderDump_());
    if (Path == "/metrics")
      return sendAnswer(Request, 200, "text/plain; version=0.0.4",
                        Views_.RenderMetrics_());
    if (Path == "/healthz" || Path == "/readyz")
      return onHealthRequest(Request, Path);
    return sendAnswer(Request, 404, "text/plain", "no such path\n");
  }

  std::unique_ptr<WebListener> makeWebListener(
      const SocketAddress &Address, WebHandler OnRequest,
      std::function<void(restinio::connection_id_t)> Closed = nullptr) {
    const WebLimits Limits{
        RequestReadTimeout,
        static_cast<std::size_t>(Settings_.Limits_.MaxRequestBodyBytes_) +
            BodyLimitMarginBytes};
    return std::make_unique<WebListener>(
        Io_, Address, Limits, std::move(OnRequest), std::move(Closed));
  }

  /// Drops the requests that are pending on a closed connection.
  void onConnectionClosed(restinio::connection_id_t Connection) {
    for (const CallId Id : PendingCalls_.callsOfConnection(Connection))
      onCallerDisconnected(Id);
  }

  /// Appends bytes to a stream and flushes it; a failed write counts as a
  /// disconnected caller.
  void writeChunk(CallId Id, PendingRequest &P, std::string Bytes) {
    P.LastWriteAt_ = monotonicNow();
    auto Unsent = countAnswer(P.Request_, Bytes.size());
    P.Stream_->append_chunk(std::move(Bytes));
    P.Stream_->flush(
        [this, Id, Unsent = std::move(Unsent)](const asio::error_code &Error) {
          if (Error)
            onCallerDisconnected(Id);
        });
  }

  /// Reports the disconnection unless the request has been answered.
  void onCallerDisconnected(CallId Id) {
    if (PendingCalls_.remove(Id))
      Sink_(CallerDisconnected{Id});
  }

  /// Writes the last bytes of a stream and removes the request.
  void finishStream(CallId Id, PendingRequest &P, std::string Bytes) {
    auto Unsent = countAnswer(P.Request_, Bytes.size());
    P.Stream_->append_chunk(std::move(Bytes));
    P.Stream_->done(trackFinalWrite(std::move(Unsent)));
    PendingCalls_.remove(Id);
  }

  /// Writes a comment line to each idle stream at intervals. This keeps the
  /// connection open and detects callers that have disconnected.
  void schedulePings() {
    PingTimer_.expires_after(PingCheckInterval);
    PingTimer_.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      const Millis Now = monotonicNow();
      const auto IdleStreams =
          PendingCalls_.callsMatching([Now](const PendingRequest &P) {
            return P.Stream_ &&
                   Now - P.LastWriteAt_ >= StreamIdleTimeBeforePing;
          });
      for (const CallId Id : IdleStreams)
        if (PendingRequest *P = PendingCalls_.find(Id))
          writeChunk(Id, *P, ": ping\n\n");
      schedulePings();
    });
  }
};

HttpEdge::HttpEdge(asio::io_context &Io, const Settings &ProcessSettings,
                   EventSink Sink, OperatorViews Views)
    : Impl_(std::make_unique<Impl>(Io, ProcessSettings, std::move(Sink),
                                   std::move(Views))) {}

HttpEdge::~HttpEdge() = default;

void HttpEdge::listen(const std::function<void(std::string)> &Failed) {
  Impl &I = *Impl_;
  I.CallerListener_ = I.makeWebListener(
      I.Settings_.CallerListen_,
      [&I](const auto &Request) { return I.onCallerRequest(Request); },
      [&I](restinio::connection_id_t Id) { I.onConnectionClosed(Id); });
  I.OperatorListener_ =
      I.makeWebListener(I.Settings_.OperatorListen_, [&I](const auto &Request) {
        return I.onOperatorRequest(Request);
      });
  if (!I.Settings_.servesPlatform())
    I.CallerListener_->listen(Failed);
  I.OperatorListener_->listen(Failed);
  I.schedulePings();
}

void HttpEdge::operator()(const StartStream &E) {
  PendingRequest *P = Impl_->PendingCalls_.find(E.Call_);
  if (P == nullptr)
    return;
  P->RequestId_ = E.RequestId_;
  P->Model_ = jsonString(E.Model_);
  P->Stream_ = std::make_unique<ChunkedResponse>(
      P->Request_->create_response<restinio::chunked_output_t>());
  P->Stream_->append_header("Content-Type", "text/event-stream");
  P->Stream_->append_header("Cache-Control", "no-cache");
  P->Stream_->append_header("X-Request-Id", E.RequestId_);
  Impl_->addCommonHeaders(*P->Stream_);
}

void HttpEdge::operator()(const SendToken &E) {
  PendingRequest *P = Impl_->PendingCalls_.find(E.Call_);
  if (P == nullptr || !P->Stream_)
    return;
  const std::string Text = jsonString(E.Text_);
  const std::string Choice =
      P->Chat_ ? fmt::format(R"({{"index":0,"delta":{{"content":{}}},)"
                             R"("finish_reason":null}})",
                             Text)
               : fmt::format(R"({{"index":0,"text":{},"finish_reason":null}})",
                             Text);
  Impl_->writeChunk(
      E.Call_, *P,
      fmt::format("id: {}\ndata: {{\"id\":\"{}\",\"object\":\"{}\","
                  "\"model\":{},\"choices\":[{}]}}\n\n",
                  E.Index_, P->RequestId_,
                  P->Chat_ ? "chat.completion.chunk" : "text_completion",
                  P->Model_, Choice));
}

void HttpEdge::operator()(const FinishStream &E) {
  PendingRequest *P = Impl_->PendingCalls_.find(E.Call_);
  if (P == nullptr || !P->Stream_)
    return;
  const std::string Choice = fmt::format(
      R"({{"index":0,{},"finish_reason":{}}})",
      P->Chat_ ? R"("delta":{})" : R"("text":"")", jsonString(E.FinishReason_));
  Impl_->finishStream(E.Call_, *P,
                      fmt::format("data: {{\"id\":\"{}\",\"model\":{},"
                                  "\"choices\":[{}],\"usage\":"
                                  "{{\"completion_tokens\":{}}}}}\n\n"
                                  "data: [DONE]\n\n",
                                  P->RequestId_, P->Model_, Choice, E.Tokens_));
}

void HttpEdge::operator()(const RedirectStream &E) {
  PendingRequest *P = Impl_->PendingCalls_.find(E.Call_);
  if (P == nullptr)
    return;
  if (!P->Stream_) {
    const CallError Error{ErrorKind::Draining, RunState::Run,
                          "this process ends; ask for the request by its ID",
                          200};
    (*this)(SendError{E.Call_, P->RequestId_, Error});
    return;
  }
  Impl_->finishStream(
      E.Call_, *P,
      fmt::format("event: moved\ndata: {{\"request_id\":\"{0}\","
                  "\"resume\":\"/v1/requests/{0}?from={1}\"}}\n\n",
                  P->RequestId_, E.NextIndex_));
}

void HttpEdge::operator()(const SendCompletion &E) {
  PendingRequest *P = Impl_->PendingCalls_.find(E.Call_);
  if (P == nullptr)
    return;
  Json Choice = {{"index", 0}, {"finish_reason", E.FinishReason_}};
  if (P->Chat_)
    Choice["message"] = {{"role", "assistant"}, {"content", E.Text_}};
  else
    Choice["text"] = E.Text_;
  const Json Body = {
      {"id", E.RequestId_},
      {"object", P->Chat_ ? "chat.completion" : "text_completion"},
      {"model", E.Model_},
      {"choices", Json::array({Choice})},
      {"usage",
       {{"prompt_tokens", E.PromptTokens_},
        {"completion_tokens", E.Tokens_},
        {"total_tokens", E.PromptTokens_ + E.Tokens_}}}};
  auto Response = P->Request_->create_response();
  Response.append_header("Content-Type", "application/json");
  Response.append_header("X-Request-Id", E.RequestId_);
  Impl_->addCommonHeaders(Response);
  std::string Text = dumpJson(Body);
  auto Unsent = countAnswer(P->Request_, Text.size());
  Response.set_body(std::move(Text));
  Response.done(Impl_->trackFinalWrite(std::move(Unsent)));
  Impl_->PendingCalls_.remove(E.Call_);
}

void HttpEdge::operator()(const SendServiceAnswer &E) {
  PendingRequest *P = Impl_->PendingCalls_.find(E.Call_);
  if (P == nullptr)
    return;
  auto Response = P->Request_->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t(static_cast<std::uint16_t>(E.Status_)),
      E.Status_ < 400 ? "OK" : "Error"});
  if (!E.ContentType_.empty())
    Response.append_header("Content-Type", E.ContentType_);
  Response.append_header("X-Request-Id", E.RequestId_);
  if (E.Replayed_)
    Response.append_header("Idempotency-Replayed", "true");
  Impl_->addCommonHeaders(Response);
  Response.set_body(E.Body_);
  Response.done(
      Impl_->trackFinalWrite(countAnswer(P->Request_, E.Body_.size())));
  Impl_->PendingCalls_.remove(E.Call_);
}

void HttpEdge::operator()(const SendError &E) {
  PendingRequest *P = Impl_->PendingCalls_.find(E.Call_);
  if (P == nullptr)
    return;
  if (P->Stream_) {
    Impl_->finishStream(E.Call_, *P,
                        fmt::format("event: error\ndata: {}\n\n",
                                    errorBody(E.RequestId_, E.Error_)));
    return;
  }
  const int Status = httpStatus(E.Error_.Kind_);
  auto Response = P->Request_->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t(static_cast<std::uint16_t>(Status)),
      "Error"});
  Response.append_header("Content-Type", "application/json");
  if (!E.RequestId_.empty())
    Response.append_header("X-Request-Id", E.RequestId_);
  addErrorHeaders(Response, E.Error_);
  Impl_->addCommonHeaders(Response);
  Response.set_body(errorBody(E.RequestId_, E.Error_));
  Response.done(Impl_->trackFinalWrite());
  Impl_->PendingCalls_.remove(E.Call_);
}

void HttpEdge::closeListener() {
  Impl_->CloseAfterAnswer_ = true;
  Impl_->CallerListener_->close();
}

bool HttpEdge::isIdle() const {
  // On the platform this edge has no listener for callers.
  const bool Closed =
      Impl_->CallerListener_ == nullptr || Impl_->CallerListener_->isClosed();
  return Impl_->PendingCalls_.empty() && Impl_->FinalWritesInFlight_ == 0 &&
         Closed;
}

} // namespace endivewharf
