// Runs attempts of completions and service calls, each as one HTTP transfer. A
// completion is always streamed from the engine, even if its caller wants no
// stream, so that another engine can resume it after a failure.
#include "attempts.h"

#include "checkedjson.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxLineBytes = 1 << 20;      // bytes; server-sent events
constexpr std::size_t MaxErrorBodyBytes = 4 << 10; // bytes; status is not 200

TransferEnd transferEnd(const HttpResult &Result) { return Result.End_; }

std::string_view completionPath(std::string_view Route) {
  return Route == "completions" ? "/v1/completions" : "/v1/chat/completions";
}

/// @return the caller's request body with the fields that the engine needs in
///   addition, among them the text to resume from
std::string engineRequestBody(const StartAttempt &E) {
  Json Body = Json::parse(E.Body_, nullptr, false);
  if (!Body.is_object())
    Body = Json::object();
  Body["stream"] = true;
  Body["request_id"] = E.RequestId_;
  Body["version"] = E.Version_;
  Body["priority"] = std::string(name(E.Priority_));
  if (E.NextIndex_ > 0)
    Body["resume"] = {{"from", E.NextIndex_}, {"text", E.GeneratedText_}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

AttemptFailure attemptFailureOf(TransferEnd End) {
  switch (End) {
  case TransferEnd::NotSent:
    return AttemptFailure::NotSent;
  case TransferEnd::TimedOut:
    return AttemptFailure::TimedOut;
  case TransferEnd::Malformed:
  case TransferEnd::Stopped:
    return AttemptFailure::ProtocolError;
  case TransferEnd::Complete:
  case TransferEnd::ConnectionBroken:
    break;
  }
  return AttemptFailure::ConnectionBroken;
}

struct AttemptRunner::RunningAttempt {
  AttemptId Attempt_ = 0;
  std::uint64_t Transfer_ = 0;
  CallKind Kind_ = CallKind::Completion;
  std::string Buffer_; ///< Bytes of an incomplete line, or the body so far.
  std::int64_t BytesReceived_ = 0;
  std::int64_t LastEventId_ = -1;
  bool GivenUp_ = false;       ///< All answers together had become too large.
  bool EndMarkerSeen_ = false; ///< The `[DONE]` line has arrived.
  std::string FinishReason_;
  std::int64_t PromptTokens_ = 0;
  std::int64_t CachedTokens_ = 0;
};

void AttemptRunner::start(const StartAttempt &E) {
  if (E.Kind_ == CallKind::Completion)
    startCompletion(E);
  else
    startService(E);
}

void AttemptRunner::startCompletion(const StartAttempt &E) {
  auto R = std::make_shared<RunningAttempt>();
  R->Attempt_ = E.Attempt_;
  RunningAttempts_[E.Attempt_] = R;
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = fmt::format("{}{}", E.Address_, completionPath(E.Route_));
  Request.Headers_ = {"Content-Type: application/json",
                      fmt::format("X-Request-Id: {}", E.RequestId_)};
  Request.Body_ = engineRequestBody(E);
  Request.FirstByteTimeout_ = E.FirstByteTimeout_;
  Request.IdleTimeout_ = E.IdleTimeout_;
  Request.FreshConnection_ = E.FreshConnection_;
  R->Transfer_ = Client_.startTransfer(
      std::move(Request),
      [this, R](int Status, std::string_view Bytes) {
        return onBytes(*R, Status, Bytes);
      },
      [this, Id = E.Attempt_](const HttpResult &Result) {
        onTransferEnded(Id, Result);
      });
}

void AttemptRunner::startService(const StartAttempt &E) {
  auto R = std::make_shared<RunningAttempt>();
  R->Attempt_ = E.Attempt_;
  R->Kind_ = CallKind::Service;
  RunningAttempts_[E.Attempt_] = R;
  HttpRequest Request;
  Request.Method_ = E.Method_;
  Request.Url_ = fmt::format("{}{}", E.Address_, E.Path_);
  Request.Headers_ = {fmt::format("X-Request-Id: {}", E.RequestId_)};
  if (!E.ContentType_.empty())
    Request.Headers_.push_back(fmt::format("Content-Type: {}", E.ContentType_));
  if (!E.IdempotencyKey_.empty())
    Request.Headers_.push_back(
        fmt::format("Idempotency-Key: {}", E.IdempotencyKey_));
  Request.Body_ = E.Body_;
  Request.TotalTimeout_ = E.FirstByteTimeout_;
  Request.FreshConnection_ = E.FreshConnection_;
  R->Transfer_ = Client_.startTransfer(
      std::move(Request),
      [this, R](int, std::string_view Bytes) {
        R->Buffer_.append(Bytes);
        return isWithinBudget(*R) &&
               static_cast<std::int64_t>(R->Buffer_.size()) <= MaxAnswerBytes_;
      },
      [this, Id = E.Attempt_](const HttpResult &Result) {
        onTransferEnded(Id, Result);
      });
}

void AttemptRunner::cancel(const CancelAttempt &E) {
  const auto Found = RunningAttempts_.find(E.Attempt_);
  if (Found == RunningAttempts_.end())
    return;
  Client_.cancelTransfer(Found->second->Transfer_);
  Budget_.remove(E.Attempt_);
  RunningAttempts_.erase(Found);
}

bool AttemptRunner::onBytes(RunningAttempt &R, int Status,
                            std::string_view Bytes) {
  if (Status != 200) {
    R.Buffer_.append(Bytes.substr(0, MaxErrorBodyBytes));
    return R.Buffer_.size() <= MaxErrorBodyBytes;
  }
  R.BytesReceived_ += static_cast<std::int64_t>(Bytes.size());
  R.Buffer_.append(Bytes);
  std::size_t Begin = 0;
  for (auto End = R.Buffer_.find('\n'); End != std::string::npos;
       End = R.Buffer_.find('\n', Begin)) {
    std::string_view Line(R.Buffer_.data() + Begin, End - Begin);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (!onLine(R, Line))
      return false;
    Begin = End + 1;
  }
  R.Buffer_.erase(0, Begin);
  return isWithinBudget(R) && R.Buffer_.size() <= MaxLineBytes;
}

bool AttemptRunner::isWithinBudget(RunningAttempt &R) {
  if (const auto Largest = Budget_.set(R.Attempt_, R.Buffer_.size())) {
    RunningAttempt &Victim = *RunningAttempts_.at(*Largest);
    Victim.GivenUp_ = true;
    Victim.Buffer_.clear();
    Victim.Buffer_.shrink_to_fit();
    Budget_.remove(*Largest);
  }
  return !R.GivenUp_;
}

bool AttemptRunner::onLine(RunningAttempt &R, std::string_view Line) {
  if (R.EndMarkerSeen_ || Line.empty() || Line.front() == ':')
    return true;
  if (Line.substr(0, 3) == "id:") {
    Line.remove_prefix(Line.find_first_not_of(' ', 3) == std::string_view::npos
                           ? Line.size()
                           : Line.find_first_not_of(' ', 3));
    const auto Result =
        std::from_chars(Line.data(), Line.data() + Line.size(), R.LastEventId_);
    return Result.ec == std::errc();
  }
  if (Line.substr(0, 5) != "data:")
    return true;
  Line.remove_prefix(Line.size() > 5 && Line[5] == ' ' ? 6 : 5);
  if (Line == "[DONE]") {
    R.EndMarkerSeen_ = true;
    return true;
  }
  const Json Chunk = parseJson(Line);
  if (!Chunk.is_object())
    return false;
  try {
    if (Chunk.contains("usage") && Chunk["usage"].is_object()) {
      R.PromptTokens_ = Chunk["usage"].value("prompt_tokens", 0);
      R.CachedTokens_ = Chunk["usage"].value("cached_tokens", 0);
    }
    for (const Json &Choice : Chunk.at("choices")) {
      const auto Reason = Choice.find("finish_reason");
      if (Reason != Choice.end() && Reason->is_string())
        R.FinishReason_ = Reason->get<std::string>();
      const Json &Text = Choice.contains("delta")
                             ? Choice["delta"].value("content", Json())
                             : Choice.value("text", Json());
      if (Text.is_string() && !Text.get_ref<const std::string &>().empty())
        Sink_(
            AttemptToken{R.Attempt_, R.LastEventId_, Text.get<std::string>()});
    }
  } catch (const Json::exception &) {
    return false;
  }
  return true;
}

void AttemptRunner::reportFailure(AttemptId Id, AttemptFailure Failure,
                                  std::string Detail, bool Leaving) {
  Sink_(AttemptFailed{Id, Failure, Leaving, std::move(Detail)});
}

void AttemptRunner::onTransferEnded(AttemptId Id, const HttpResult &Result) {
  const auto Found = RunningAttempts_.find(Id);
  if (Found == RunningAttempts_.end())
    return;
  const std::shared_ptr<RunningAttempt> R = Found->second;
  RunningAttempts_.erase(Found);
  Budget_.remove(Id);
  if (R->GivenUp_) {
    reportFailure(Id, AttemptFailure::ProtocolError,
                  "the answers of all upstreams together were too large");
    return;
  }
  const bool IsComplete = transferEnd(Result) == TransferEnd::Complete;
  const bool IsBusyStatus = Result.Status_ == 503 || Result.Status_ == 429;
  if (IsComplete && IsBusyStatus &&
      (R->Kind_ == CallKind::Completion || Result.NotRun_)) {
    const bool Leaving = R->Buffer_.find("leaving") != std::string::npos;
    reportFailure(Id, AttemptFailure::Refused, "refused by the upstream",
                  Leaving);
    return;
  }
  if (R->Kind_ == CallKind::Service && IsComplete) {
    Sink_(
        ServiceAnswer{Id, Result.Status_, Result.ContentType_, R->Buffer_, {}});
    return;
  }
  // An answer with end marker and finish reason is complete, even if the
  // connection broke afterwards.
  if (R->EndMarkerSeen_ && !R->FinishReason_.empty()) {
    Sink_(
        AttemptEnded{Id, R->FinishReason_, R->PromptTokens_, R->CachedTokens_});
    return;
  }
  if (IsComplete && Result.Status_ != 200) {
    reportFailure(Id, AttemptFailure::UpstreamError,
                  fmt::format("status {}", Result.Status_));
    return;
  }
  if (IsComplete) {
    reportFailure(Id, AttemptFailure::ProtocolError,
                  "the stream ended without end marker");
    return;
  }
  reportFailure(Id, attemptFailureOf(transferEnd(Result)), Result.Detail_);
}

} // namespace endivewharf
