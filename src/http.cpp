// RESTinio servers for callers and operators.
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
using Stream = restinio::response_builder_t<restinio::chunked_output_t>;
using Status = restinio::request_handling_status_t;

constexpr auto ReadLimit = std::chrono::seconds(15); // head and body
constexpr auto PingPeriod = std::chrono::milliseconds(500);
constexpr Millis QuietBeforePing = 1000;   // ms
constexpr std::size_t BodySlack = 4 << 20; // read past the limit for a reply

std::string dumpJson(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string errorBody(const std::string &RequestId, const CallError &Error) {
  Json Body;
  Body["error"] = {{"type", std::string(name(Error.Kind_))},
                   {"message", Error.Detail_},
                   {"run", std::string(name(Error.Run_))}};
  if (!RequestId.empty())
    Body["error"]["request_id"] = RequestId;
  if (Error.RetryAfter_ > 0)
    Body["error"]["retry_after_ms"] = Error.RetryAfter_;
  return dumpJson(Body);
}

std::string jsonText(std::string_view Text) {
  return dumpJson(Json(std::string(Text)));
}

/// One caller's request that has no answer yet.
struct Pending {
  restinio::request_handle_t Request_;
  bool Chat_ = true;
  bool Resumed_ = false;
  std::unique_ptr<Stream> Stream_;
  std::string RequestId_;
  std::string Model_;
  Millis LastWrite_ = 0;
};

std::int64_t queryNumber(std::string_view Query, std::string_view Key) {
  std::int64_t Number = 0;
  const std::string Wanted = fmt::format("{}=", Key);
  const auto Found = Query.find(Wanted);
  if (Found != std::string_view::npos)
    std::from_chars(Query.data() + Found + Wanted.size(),
                    Query.data() + Query.size(), Number);
  return Number;
}

template <typename Builder>
void addErrorHeaders(Builder &Response, const CallError &Error) {
  if (Error.RetryAfter_ > 0) {
    const Millis Seconds = (Error.RetryAfter_ + 999) / 1000;
    Response.append_header("Retry-After", std::to_string(Seconds));
  }
  Response.append_header("X-Run", std::string(name(Error.Run_)));
}

} // namespace

struct HttpEdge::Impl {
  asio::io_context &Io_;
  const Settings &Settings_;
  EventSink Sink_;
  OperatorViews Views_;
  std::unique_ptr<WebListener> Callers_;
  std::unique_ptr<WebListener> Operators_;
  PendingCalls<Pending> Calls_;
  asio::steady_timer PingTimer_;
  bool Closing_ = false;
  int Unwritten_ = 0; ///< Last pieces of answers that are being written.

  Impl(asio::io_context &Io, const Settings &From, EventSink Sink,
       OperatorViews Views)
      : Io_(Io), Settings_(From), Sink_(std::move(Sink)),
        Views_(std::move(Views)), PingTimer_(Io) {}

  CallId keep(const restinio::request_handle_t &Request, bool Chat) {
    Pending New;
    New.Request_ = Request;
    New.Chat_ = Chat;
    return Calls_.keep(Request->connection_id(), std::move(New));
  }

  /// Counts a last write until it is done.
  restinio::write_status_cb_t lastWrite() {
    ++Unwritten_;
    return [this](const asio::error_code &) { --Unwritten_; };
  }

  template <typename Builder> void addCommonHeaders(Builder &Response) const {
    if (Closing_ || !Views_.Ready_())
      Response.connection_close();
  }

  Status answer(const restinio::request_handle_t &Request, int Code,
                const std::string &Type, std::string Body) {
    auto Response = Request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t(static_cast<std::uint16_t>(Code)),
        Code < 400 ? "OK" : "Error"});
    Response.append_header("Content-Type", Type);
    addCommonHeaders(Response);
    Response.set_body(std::move(Body));
    return Response.done(lastWrite());
  }

  Status answerBad(const restinio::request_handle_t &Request,
                   const BadInput &Bad) {
    const CallError Error{ErrorKind::BadRequest, RunState::NotRun, Bad.Detail_,
                          0};
    return answer(Request, Bad.Status_, "application/json",
                  errorBody("", Error));
  }

  Status onCaller(const restinio::request_handle_t &Request) {
    const auto PathView = Request->header().path();
    const std::string_view Path(PathView.data(), PathView.size());
    const bool Post =
        Request->header().method() == restinio::http_method_post();
    if (Path == "/healthz" || Path == "/readyz")
      return onHealth(Request, Path);
    if (static_cast<std::int64_t>(Request->body().size()) >
        Settings_.Limits_.MaxBody_)
      return answerBad(Request, {"the body is too long", 413});
    if (Post && Path == "/v1/chat/completions")
      return onCall(Request, true, completionRequest(*Request, true));
    if (Post && Path == "/v1/completions")
      return onCall(Request, false, completionRequest(*Request, false));
    if (Path.substr(0, 5) == "/svc/")
      return onCall(Request, true, serviceRequest(*Request, Path.substr(5)));
    if (!Post && Path.substr(0, 13) == "/v1/requests/")
      return onResume(Request, Path.substr(13));
    const CallError Error{ErrorKind::UnknownRoute, RunState::NotRun,
                          "no such path", 0};
    return answer(Request, 404, "application/json", errorBody("", Error));
  }

  Status onHealth(const restinio::request_handle_t &Request,
                  std::string_view Path) {
    const bool Ok = Path == "/healthz" || Views_.Ready_();
    return answer(Request, Ok ? 200 : 503, "text/plain",
                  Ok ? "ok\n" : "not ready\n");
  }

  Status onCall(const restinio::request_handle_t &Request, bool Chat,
                tl::expected<CallRequest, BadInput> Call) {
    if (!Call)
      return answerBad(Request, Call.error());
    const CallId Id = keep(Request, Chat);
    Sink_(RequestArrived{Id, std::move(*Call)});
    return restinio::request_accepted();
  }

  Status onResume(const restinio::request_handle_t &Request,
                  std::string_view RequestId) {
    const auto Query = Request->header().query();
    const CallId Id = keep(Request, true);
    Calls_.find(Id)->Resumed_ = true;
    Sink_(ResumeArrived{Id, std::string(RequestId), bearerKey(*Request),
                        queryNumber({Query.data(), Query.size()}, "from")});
    return restinio::request_accepted();
  }

  Status onOperator(const restinio::request_handle_t &Request) {
    const auto PathView = Request->header().path();
    const std::string_view Path(PathView.data(), PathView.size());
    if (Path == "/dump")
      return answer(Request, 200, "application/json", Views_.Dump_());
    if (Path == "/metrics")
      return answer(Request, 200, "text/plain; version=0.0.4",
                    Views_.Metrics_());
    if (Path == "/healthz" || Path == "/readyz")
      return onHealth(Request, Path);
    return answer(Request, 404, "text/plain", "no such path\n");
  }

  std::unique_ptr<WebListener>
  makeServer(const SocketAddress &Address, WebHandler OnRequest,
             std::function<void(restinio::connection_id_t)> Closed = nullptr) {
    const WebLimits Limits{
        ReadLimit,
        static_cast<std::size_t>(Settings_.Limits_.MaxBody_) + BodySlack};
    return std::make_unique<WebListener>(
        Io_, Address, Limits, std::move(OnRequest), std::move(Closed));
  }

  /// Callers of requests that are pending on a connection have left.
  void closed(restinio::connection_id_t Connection) {
    for (const CallId Id : Calls_.onConnection(Connection))
      gone(Id);
  }

  void write(CallId Id, Pending &P, std::string Bytes) {
    P.LastWrite_ = monotonicNow();
    P.Stream_->append_chunk(std::move(Bytes));
    P.Stream_->flush([this, Id](const asio::error_code &Error) {
      if (Error)
        gone(Id);
    });
  }

  void gone(CallId Id) {
    if (Calls_.forget(Id))
      Sink_(CallerGone{Id});
  }

  void finish(CallId Id, Pending &P, std::string Bytes) {
    P.Stream_->append_chunk(std::move(Bytes));
    P.Stream_->done(lastWrite());
    Calls_.forget(Id);
  }

  /// Keeps quiet streams open and notices callers that have gone.
  void armPings() {
    PingTimer_.expires_after(PingPeriod);
    PingTimer_.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      const Millis Now = monotonicNow();
      const auto Quiet = Calls_.those([Now](const Pending &P) {
        return P.Stream_ && Now - P.LastWrite_ >= QuietBeforePing;
      });
      for (const CallId Id : Quiet)
        if (Pending *P = Calls_.find(Id))
          write(Id, *P, ": ping\n\n");
      armPings();
    });
  }
};

HttpEdge::HttpEdge(asio::io_context &Io, const Settings &From, EventSink Sink,
                   OperatorViews Views)
    : Impl_(std::make_unique<Impl>(Io, From, std::move(Sink),
                                   std::move(Views))) {}

HttpEdge::~HttpEdge() = default;

void HttpEdge::open(const std::function<void(std::string)> &Failed) {
  Impl &I = *Impl_;
  I.Callers_ = I.makeServer(
      I.Settings_.Listen_,
      [&I](const auto &Request) { return I.onCaller(Request); },
      [&I](restinio::connection_id_t Id) { I.closed(Id); });
  I.Operators_ =
      I.makeServer(I.Settings_.OperatorListen_,
                   [&I](const auto &Request) { return I.onOperator(Request); });
  if (!I.Settings_.onPlatform())
    I.Callers_->open(Failed);
  I.Operators_->open(Failed);
  I.armPings();
}

void HttpEdge::operator()(const StartStream &E) {
  Pending *P = Impl_->Calls_.find(E.Call_);
  if (P == nullptr)
    return;
  P->RequestId_ = E.RequestId_;
  P->Model_ = jsonText(E.Model_);
  P->Stream_ = std::make_unique<Stream>(
      P->Request_->create_response<restinio::chunked_output_t>());
  P->Stream_->append_header("Content-Type", "text/event-stream");
  P->Stream_->append_header("Cache-Control", "no-cache");
  P->Stream_->append_header("X-Request-Id", E.RequestId_);
  Impl_->addCommonHeaders(*P->Stream_);
}

void HttpEdge::operator()(const SendToken &E) {
  Pending *P = Impl_->Calls_.find(E.Call_);
  if (P == nullptr || !P->Stream_)
    return;
  const std::string Text = jsonText(E.Text_);
  const std::string Choice =
      P->Chat_ ? fmt::format(R"({{"index":0,"delta":{{"content":{}}},)"
                             R"("finish_reason":null}})",
                             Text)
               : fmt::format(R"({{"index":0,"text":{},"finish_reason":null}})",
                             Text);
  Impl_->write(
      E.Call_, *P,
      fmt::format("id: {}\ndata: {{\"id\":\"{}\",\"object\":\"{}\","
                  "\"model\":{},\"choices\":[{}]}}\n\n",
                  E.Index_, P->RequestId_,
                  P->Chat_ ? "chat.completion.chunk" : "text_completion",
                  P->Model_, Choice));
}

void HttpEdge::operator()(const FinishStream &E) {
  Pending *P = Impl_->Calls_.find(E.Call_);
  if (P == nullptr || !P->Stream_)
    return;
  const std::string Choice = fmt::format(
      R"({{"index":0,{},"finish_reason":{}}})",
      P->Chat_ ? R"("delta":{})" : R"("text":"")", jsonText(E.FinishReason_));
  Impl_->finish(E.Call_, *P,
                fmt::format("data: {{\"id\":\"{}\",\"model\":{},"
                            "\"choices\":[{}],\"usage\":"
                            "{{\"completion_tokens\":{}}}}}\n\n"
                            "data: [DONE]\n\n",
                            P->RequestId_, P->Model_, Choice, E.Tokens_));
}

void HttpEdge::operator()(const MoveStream &E) {
  Pending *P = Impl_->Calls_.find(E.Call_);
  if (P == nullptr)
    return;
  if (!P->Stream_) {
    const CallError Error{ErrorKind::Draining, RunState::Run,
                          "this process ends; ask for the request by its ID",
                          200};
    (*this)(RefuseCall{E.Call_, P->RequestId_, Error});
    return;
  }
  Impl_->finish(E.Call_, *P,
                fmt::format("event: moved\ndata: {{\"request_id\":\"{0}\","
                            "\"resume\":\"/v1/requests/{0}?from={1}\"}}\n\n",
                            P->RequestId_, E.NextIndex_));
}

void HttpEdge::operator()(const ReplyWhole &E) {
  Pending *P = Impl_->Calls_.find(E.Call_);
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
  Response.set_body(dumpJson(Body));
  Response.done(Impl_->lastWrite());
  Impl_->Calls_.forget(E.Call_);
}

void HttpEdge::operator()(const ReplyService &E) {
  Pending *P = Impl_->Calls_.find(E.Call_);
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
  Response.done(Impl_->lastWrite());
  Impl_->Calls_.forget(E.Call_);
}

void HttpEdge::operator()(const RefuseCall &E) {
  Pending *P = Impl_->Calls_.find(E.Call_);
  if (P == nullptr)
    return;
  if (P->Stream_) {
    Impl_->finish(E.Call_, *P,
                  fmt::format("event: error\ndata: {}\n\n",
                              errorBody(E.RequestId_, E.Error_)));
    return;
  }
  const int Code = httpStatus(E.Error_.Kind_);
  auto Response = P->Request_->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t(static_cast<std::uint16_t>(Code)), "Error"});
  Response.append_header("Content-Type", "application/json");
  if (!E.RequestId_.empty())
    Response.append_header("X-Request-Id", E.RequestId_);
  addErrorHeaders(Response, E.Error_);
  Impl_->addCommonHeaders(Response);
  Response.set_body(errorBody(E.RequestId_, E.Error_));
  Response.done(Impl_->lastWrite());
  Impl_->Calls_.forget(E.Call_);
}

void HttpEdge::closeListener() {
  Impl_->Closing_ = true;
  Impl_->Callers_->close();
}

bool HttpEdge::isIdle() const {
  return Impl_->Calls_.empty() && Impl_->Unwritten_ == 0;
}

} // namespace endivewharf
