// Implements the caller as a state machine over HTTP exchanges.
#include "caller.h"

#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

// Time without a byte from an entry process after which an exchange is given
// up.
constexpr Millis StallTimeout = 5000; // ms
// Delay before the next exchange after a broken connection or a refused resume.
constexpr Millis RetryDelay = 150; // ms
// Shortest delay before a refused call is repeated with its idempotency key.
constexpr Millis MinKeyRetryDelay = 300; // ms

/// Milliseconds on the monotonic clock, with fractions.
double preciseNowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// One caller's request over all its exchanges; kept alive by the callbacks of
/// the exchange or timer that is pending.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(asio::io_context &Io, HttpClient &Client,
                std::vector<std::string> Addresses, CallerRequest Request,
                std::function<void(const CallerResult &)> Done)
      : Io_(Io), Client_(Client), Addresses_(std::move(Addresses)),
        Request_(std::move(Request)), OnDone_(std::move(Done)),
        RetryTimer_(Io) {}

  void start() {
    Result_.StartedAt_ = monotonicNow();
    StartedAtMs_ = preciseNowMs();
    Deadline_ = Result_.StartedAt_ + Request_.TimeLimit_;
    startExchange();
  }

private:
  bool isService() const { return !Request_.ServicePath_.empty(); }

  /// Sends the request to the next address; resumes a completion that an entry
  /// process has begun to answer.
  void startExchange() {
    Buffer_.clear();
    Body_.clear();
    EndMarkerSeen_ = ErrorEventSeen_ = RedirectSeen_ = false;
    ++Result_.Exchanges_;
    const std::string &Address = Addresses_[NextAddress_++ % Addresses_.size()];
    const bool IsResume = !isService() && AnswerStarted_;
    HttpRequest Http = isService() ? makeServiceRequest(Address)
                       : IsResume  ? makeResumeRequest(Address)
                                   : makeCompletionRequest(Address);
    if (IsResume)
      ++Result_.Resumes_;
    Http.Headers_.push_back("Authorization: Bearer " + Request_.ApiKey_);
    const auto Self = shared_from_this();
    Client_.startTransfer(
        std::move(Http),
        [Self](int Status, std::string_view Bytes) {
          return Self->onBytes(Status, Bytes);
        },
        [Self](const HttpResult &R) { Self->onTransferEnded(R); });
  }

  HttpRequest makeServiceRequest(const std::string &Address) const {
    HttpRequest Http;
    Http.Method_ = Request_.Method_;
    Http.Url_ = fmt::format("http://{}{}", Address, Request_.ServicePath_);
    Http.Body_ = Request_.Body_;
    if (!Request_.IdempotencyKey_.empty())
      Http.Headers_.push_back("Idempotency-Key: " + Request_.IdempotencyKey_);
    addCommonFields(Http);
    return Http;
  }

  HttpRequest makeResumeRequest(const std::string &Address) const {
    HttpRequest Http;
    Http.Url_ = fmt::format("http://{}/v1/requests/{}?from={}", Address,
                            Request_.RequestId_, Result_.Tokens_);
    Http.FirstByteTimeout_ = StallTimeout;
    Http.IdleTimeout_ = StallTimeout;
    Http.FreshConnection_ = true;
    return Http;
  }

  HttpRequest makeCompletionRequest(const std::string &Address) const {
    HttpRequest Http;
    Http.Method_ = "POST";
    Http.Url_ = fmt::format("http://{}/v1/chat/completions", Address);
    Http.Body_ =
        Json{{"model", Request_.Model_},
             {"stream", Request_.Stream_},
             {"max_tokens", Request_.MaxTokens_},
             {"messages",
              Json::array({{{"role", "user"}, {"content", Request_.Prompt_}}})}}
            .dump();
    Http.IdleTimeout_ = StallTimeout;
    addCommonFields(Http);
    return Http;
  }

  void addCommonFields(HttpRequest &Http) const {
    Http.Headers_.push_back("Content-Type: application/json");
    Http.Headers_.push_back("X-Priority: " + Request_.Priority_);
    Http.Headers_.push_back(
        fmt::format("X-Time-Limit: {}ms", Deadline_ - monotonicNow()));
    if (!Request_.RequestId_.empty() && !isService())
      Http.Headers_.push_back("X-Request-Id: " + Request_.RequestId_);
    Http.TotalTimeout_ = Deadline_ - monotonicNow() + StallTimeout;
  }

  bool onBytes(int Status, std::string_view Bytes) {
    if (Status != 200 || isService() || !Request_.Stream_) {
      Body_.append(Bytes);
      return true;
    }
    AnswerStarted_ = true;
    Buffer_.append(Bytes);
    std::size_t Begin = 0;
    for (auto End = Buffer_.find('\n'); End != std::string::npos;
         End = Buffer_.find('\n', Begin)) {
      onEventLine(std::string_view(Buffer_).substr(Begin, End - Begin));
      Begin = End + 1;
    }
    Buffer_.erase(0, Begin);
    return true;
  }

  /// Handles one line of the event stream.
  void onEventLine(std::string_view Line) {
    if (Line.rfind("id: ", 0) == 0) {
      std::from_chars(Line.data() + 4, Line.data() + Line.size(), EventIndex_);
    } else if (Line == "event: moved") {
      RedirectSeen_ = true;
    } else if (Line == "event: error") {
      ErrorEventSeen_ = true;
    } else if (Line == "data: [DONE]") {
      EndMarkerSeen_ = true;
    } else if (Line.rfind("data: ", 0) == 0) {
      onEventData(Line.substr(6));
    }
  }

  /// Handles the data of an event: a token, the body of an error or of a
  /// redirect.
  void onEventData(std::string_view Data) {
    if (ErrorEventSeen_) {
      Body_ = std::string(Data);
      return;
    }
    const Json Chunk = Json::parse(Data, nullptr, false);
    if (RedirectSeen_ || !Chunk.is_object() || !Chunk.contains("choices"))
      return;
    const Json &Delta = Chunk["choices"][0].value("delta", Json::object());
    if (!Delta.contains("content"))
      return;
    if (EventIndex_ != Result_.Tokens_)
      Result_.TokenSequenceWrong_ = true;
    ++Result_.Tokens_;
    Result_.Text_ += Delta["content"].get<std::string>();
    const double Now = preciseNowMs();
    if (Result_.FirstTokenMs_ < 0)
      Result_.FirstTokenMs_ = Now - StartedAtMs_;
    else
      Result_.TokenGapsMs_.push_back(Now - LastTokenAtMs_);
    LastTokenAtMs_ = Now;
  }

  void onTransferEnded(const HttpResult &R) {
    Result_.Status_ = R.Status_;
    const bool IsComplete = R.End_ == TransferEnd::Complete;
    if (EndMarkerSeen_) {
      finishRequest(true);
    } else if (IsComplete && R.Status_ == 200 && !isService() &&
               !Request_.Stream_) {
      const Json Body = Json::parse(Body_, nullptr, false);
      Result_.Text_ = Body["choices"][0]["message"]["content"];
      finishRequest(true);
    } else if (IsComplete && isService() && isServiceAnswer(R)) {
      Result_.Text_ = Body_;
      finishRequest(true);
    } else if (IsComplete && !Body_.empty()) {
      onRefused();
    } else {
      // The stream was redirected, or the connection broke or was refused:
      // continue at the next address.
      scheduleRetry(RedirectSeen_ ? 0 : RetryDelay);
    }
  }

  /// @return true if the answer is the service's own; a refusal by the entry
  ///         process has an error status and a `run` field
  bool isServiceAnswer(const HttpResult &R) const {
    return R.Status_ < 400 || Body_.find("\"run\"") == std::string::npos;
  }

  /// Records the refusal, then resumes, retries or finishes the request.
  void onRefused() {
    const Json Body = Json::parse(Body_, nullptr, false);
    if (Body.is_object() && Body.contains("error") &&
        Body["error"].is_object()) {
      const Json &Error = Body["error"];
      Result_.ErrorType_ = Error.value("type", "");
      Result_.RunState_ = Error.value("run", "");
      Result_.RetryAfterMs_ = Error.value("retry_after_ms", std::int64_t{0});
      Result_.RefusalRunStates_.push_back(Result_.RunState_);
    }
    const bool MayResume =
        !isService() && (AnswerStarted_ || Result_.RunState_ == "run");
    AnswerStarted_ = AnswerStarted_ || MayResume;
    const bool HasIdempotencyKey =
        isService() && !Request_.IdempotencyKey_.empty();
    if (MayResume)
      scheduleRetry(RetryDelay);
    else if (HasIdempotencyKey && Request_.RetryAfterRefusal_)
      scheduleRetry(std::max<Millis>(MinKeyRetryDelay, Result_.RetryAfterMs_));
    else if (Request_.RetryAfterRefusal_ && Result_.RunState_ == "not_run" &&
             Result_.RetryAfterMs_ > 0)
      scheduleRetry(Result_.RetryAfterMs_);
    else
      finishRequest(false);
  }

  /// Starts the next exchange after a delay. Finishes the request as unanswered
  /// if it cannot be repeated safely, its time limit would pass before, or it
  /// has used up its exchanges.
  void scheduleRetry(Millis Delay) {
    const bool IsUnrepeatable = isService() &&
                                Request_.IdempotencyKey_.empty() &&
                                Request_.Method_ != "GET";
    const bool IsPastDeadline = monotonicNow() + Delay >= Deadline_;
    if (IsUnrepeatable || IsPastDeadline ||
        Result_.Exchanges_ >= Request_.MaxExchanges_) {
      finishRequest(false);
      return;
    }
    RetryTimer_.expires_after(std::chrono::milliseconds(Delay));
    RetryTimer_.async_wait(
        [Self = shared_from_this()](const asio::error_code &E) {
          if (!E)
            Self->startExchange();
        });
  }

  void finishRequest(bool Answered) {
    Result_.Answered_ = Answered;
    Result_.TotalMs_ = monotonicNow() - Result_.StartedAt_;
    OnDone_(Result_);
  }

  asio::io_context &Io_;
  HttpClient &Client_;
  std::vector<std::string> Addresses_;
  CallerRequest Request_;
  std::function<void(const CallerResult &)> OnDone_;
  asio::steady_timer RetryTimer_;
  CallerResult Result_;
  Millis Deadline_ = 0;
  std::size_t NextAddress_ = 0;
  /// An entry process has begun to answer, so the completion can be resumed.
  bool AnswerStarted_ = false;
  bool EndMarkerSeen_ = false;
  bool ErrorEventSeen_ = false;
  bool RedirectSeen_ = false;
  std::int64_t EventIndex_ = -1; ///< `id` of the last event.
  double StartedAtMs_ = 0;
  double LastTokenAtMs_ = 0;
  std::string Buffer_; ///< Incomplete line of the event stream.
  std::string Body_;   ///< Body outside a stream, or data of an error event.
};

} // namespace

void runCallerRequest(asio::io_context &Io, HttpClient &Client,
                      std::vector<std::string> Addresses, CallerRequest Request,
                      std::function<void(const CallerResult &)> Done) {
  std::make_shared<CallerSession>(Io, Client, std::move(Addresses),
                                  std::move(Request), std::move(Done))
      ->start();
}

} // namespace endivewharf
