// One caller's state machine over HTTP exchanges.
#include "caller.h"

#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

constexpr Millis SilenceLimit = 5000; // ms without a byte from an entry
constexpr Millis RetryPause = 150;    // ms after a broken connection
constexpr Millis UnknownPause = 300;  // ms before asking for a key again

double preciseNowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

class CallerRun : public std::enable_shared_from_this<CallerRun> {
public:
  CallerRun(asio::io_context &Io, HttpClient &Client,
            std::vector<std::string> Addresses, CallerRequest Request,
            std::function<void(const CallerResult &)> Done)
      : Io_(Io), Client_(Client), Addresses_(std::move(Addresses)),
        Request_(std::move(Request)), Done_(std::move(Done)), Pause_(Io) {}

  void start() {
    Result_.StartedAt_ = monotonicNow();
    Started_ = preciseNowMs();
    Deadline_ = Result_.StartedAt_ + Request_.TimeLimit_;
    exchange();
  }

private:
  bool isService() const { return !Request_.ServicePath_.empty(); }

  void exchange() {
    Buffer_.clear();
    Body_.clear();
    Ended_ = Failed_ = Moved_ = false;
    ++Result_.Tries_;
    const std::string &Address = Addresses_[Next_++ % Addresses_.size()];
    const bool Resume = !isService() && Begun_;
    HttpRequest Http = isService() ? serviceRequest(Address)
                       : Resume    ? resumeRequest(Address)
                                   : completionRequest(Address);
    if (Resume)
      ++Result_.Resumes_;
    Http.Headers_.push_back("Authorization: Bearer " + Request_.ApiKey_);
    const auto Self = shared_from_this();
    Client_.start(
        std::move(Http),
        [Self](int Status, std::string_view Bytes) {
          return Self->onBytes(Status, Bytes);
        },
        [Self](const HttpResult &R) { Self->onDone(R); });
  }

  HttpRequest serviceRequest(const std::string &Address) const {
    HttpRequest Http;
    Http.Method_ = Request_.Method_;
    Http.Url_ = fmt::format("http://{}{}", Address, Request_.ServicePath_);
    Http.Body_ = Request_.Body_;
    if (!Request_.IdempotencyKey_.empty())
      Http.Headers_.push_back("Idempotency-Key: " + Request_.IdempotencyKey_);
    addCommon(Http);
    return Http;
  }

  HttpRequest resumeRequest(const std::string &Address) const {
    HttpRequest Http;
    Http.Url_ = fmt::format("http://{}/v1/requests/{}?from={}", Address,
                            Request_.RequestId_, Result_.Tokens_);
    Http.FirstByteLimit_ = SilenceLimit;
    Http.ProgressLimit_ = SilenceLimit;
    Http.Fresh_ = true;
    return Http;
  }

  HttpRequest completionRequest(const std::string &Address) const {
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
    Http.ProgressLimit_ = SilenceLimit;
    addCommon(Http);
    return Http;
  }

  void addCommon(HttpRequest &Http) const {
    Http.Headers_.push_back("Content-Type: application/json");
    Http.Headers_.push_back("X-Priority: " + Request_.Priority_);
    Http.Headers_.push_back(
        fmt::format("X-Time-Limit: {}ms", Deadline_ - monotonicNow()));
    if (!Request_.RequestId_.empty() && !isService())
      Http.Headers_.push_back("X-Request-Id: " + Request_.RequestId_);
    Http.TotalLimit_ = Deadline_ - monotonicNow() + SilenceLimit;
  }

  bool onBytes(int Status, std::string_view Bytes) {
    if (Status != 200 || isService() || !Request_.Stream_) {
      Body_.append(Bytes);
      return true;
    }
    Begun_ = true;
    Buffer_.append(Bytes);
    std::size_t Begin = 0;
    for (auto End = Buffer_.find('\n'); End != std::string::npos;
         End = Buffer_.find('\n', Begin)) {
      onLine(std::string_view(Buffer_).substr(Begin, End - Begin));
      Begin = End + 1;
    }
    Buffer_.erase(0, Begin);
    return true;
  }

  void onLine(std::string_view Line) {
    if (Line.rfind("id: ", 0) == 0) {
      std::from_chars(Line.data() + 4, Line.data() + Line.size(), Index_);
    } else if (Line == "event: moved") {
      Moved_ = true;
    } else if (Line == "event: error") {
      Failed_ = true;
    } else if (Line == "data: [DONE]") {
      Ended_ = true;
    } else if (Line.rfind("data: ", 0) == 0) {
      onData(Line.substr(6));
    }
  }

  void onData(std::string_view Data) {
    if (Failed_) {
      Body_ = std::string(Data);
      return;
    }
    const Json Chunk = Json::parse(Data, nullptr, false);
    if (Moved_ || !Chunk.is_object() || !Chunk.contains("choices"))
      return;
    const Json &Delta = Chunk["choices"][0].value("delta", Json::object());
    if (!Delta.contains("content"))
      return;
    if (Index_ != Result_.Tokens_)
      Result_.Wrong_ = true;
    ++Result_.Tokens_;
    Result_.Text_ += Delta["content"].get<std::string>();
    const double Now = preciseNowMs();
    if (Result_.FirstTokenMs_ < 0)
      Result_.FirstTokenMs_ = Now - Started_;
    else
      Result_.GapsMs_.push_back(Now - LastToken_);
    LastToken_ = Now;
  }

  void onDone(const HttpResult &R) {
    Result_.Status_ = R.Status_;
    const bool Whole = R.End_ == TransferEnd::Complete;
    if (Ended_) {
      finish(true);
    } else if (Whole && R.Status_ == 200 && !isService() && !Request_.Stream_) {
      const Json Body = Json::parse(Body_, nullptr, false);
      Result_.Text_ = Body["choices"][0]["message"]["content"];
      finish(true);
    } else if (Whole && isService() && isOwnAnswer(R)) {
      Result_.Text_ = Body_;
      finish(true);
    } else if (Whole && !Body_.empty()) {
      onRefused();
    } else {
      // Moved, broken or refused connection: go on elsewhere.
      again(Moved_ ? 0 : RetryPause);
    }
  }

  /// The service's answer rather than a refusal of the entry process.
  bool isOwnAnswer(const HttpResult &R) const {
    return R.Status_ < 400 || Body_.find("\"run\"") == std::string::npos;
  }

  void onRefused() {
    const Json Body = Json::parse(Body_, nullptr, false);
    if (Body.is_object() && Body.contains("error") &&
        Body["error"].is_object()) {
      const Json &Error = Body["error"];
      Result_.ErrorType_ = Error.value("type", "");
      Result_.Run_ = Error.value("run", "");
      Result_.RetryAfterMs_ = Error.value("retry_after_ms", std::int64_t{0});
      Result_.Runs_.push_back(Result_.Run_);
    }
    const bool Resuming = !isService() && (Begun_ || Result_.Run_ == "run");
    Begun_ = Begun_ || Resuming;
    const bool KeyAgain = isService() && !Request_.IdempotencyKey_.empty();
    if (Resuming)
      again(RetryPause);
    else if (KeyAgain && Request_.RetryRefused_)
      again(std::max<Millis>(UnknownPause, Result_.RetryAfterMs_));
    else if (Request_.RetryRefused_ && Result_.Run_ == "not_run" &&
             Result_.RetryAfterMs_ > 0)
      again(Result_.RetryAfterMs_);
    else
      finish(false);
  }

  void again(Millis Pause) {
    const bool Keyless = isService() && Request_.IdempotencyKey_.empty() &&
                         Request_.Method_ != "GET";
    const bool Late = monotonicNow() + Pause >= Deadline_;
    if (Keyless || Late || Result_.Tries_ >= Request_.MaxTries_) {
      finish(false);
      return;
    }
    Pause_.expires_after(std::chrono::milliseconds(Pause));
    Pause_.async_wait([Self = shared_from_this()](const asio::error_code &E) {
      if (!E)
        Self->exchange();
    });
  }

  void finish(bool Answered) {
    Result_.Answered_ = Answered;
    Result_.TotalMs_ = monotonicNow() - Result_.StartedAt_;
    Done_(Result_);
  }

  asio::io_context &Io_;
  HttpClient &Client_;
  std::vector<std::string> Addresses_;
  CallerRequest Request_;
  std::function<void(const CallerResult &)> Done_;
  asio::steady_timer Pause_;
  CallerResult Result_;
  Millis Deadline_ = 0;
  std::size_t Next_ = 0;
  bool Begun_ = false; ///< An entry has begun to answer.
  bool Ended_ = false;
  bool Failed_ = false;
  bool Moved_ = false;
  std::int64_t Index_ = -1;
  double Started_ = 0;
  double LastToken_ = 0;
  std::string Buffer_;
  std::string Body_;
};

} // namespace

void runCaller(asio::io_context &Io, HttpClient &Client,
               std::vector<std::string> Addresses, CallerRequest Request,
               std::function<void(const CallerResult &)> Done) {
  std::make_shared<CallerRun>(Io, Client, std::move(Addresses),
                              std::move(Request), std::move(Done))
      ->start();
}

} // namespace endivewharf
