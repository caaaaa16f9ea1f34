// One attempt is one HTTP exchange. A completion is always streamed from the
// engine, so that it can be gone on with elsewhere.
#include "attempts.h"

#include "checkedjson.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxLine = 1 << 20;      // bytes of one SSE line
constexpr std::size_t MaxErrorBody = 4 << 10; // bytes kept of an error

TransferEnd endOf(const HttpResult &Result) { return Result.End_; }

std::string_view routePath(std::string_view Route) {
  return Route == "completions" ? "/v1/completions" : "/v1/chat/completions";
}

/// The caller's request with what the engine needs besides.
std::string engineBody(const StartAttempt &E) {
  Json Body = Json::parse(E.Body_, nullptr, false);
  if (!Body.is_object())
    Body = Json::object();
  Body["stream"] = true;
  Body["request_id"] = E.RequestId_;
  Body["version"] = E.Version_;
  Body["priority"] = std::string(name(E.Priority_));
  if (E.NextIndex_ > 0)
    Body["resume"] = {{"from", E.NextIndex_}, {"text", E.Delivered_}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

AttemptFailure failureOf(TransferEnd End) {
  switch (End) {
  case TransferEnd::NotSent:
    return AttemptFailure::NotSent;
  case TransferEnd::Silent:
    return AttemptFailure::Silent;
  case TransferEnd::Stopped:
    return AttemptFailure::Garbage;
  case TransferEnd::Complete:
  case TransferEnd::Broken:
    break;
  }
  return AttemptFailure::Broken;
}

struct AttemptRunner::Running {
  AttemptId Attempt_ = 0;
  std::uint64_t Transfer_ = 0;
  CallKind Kind_ = CallKind::Completion;
  std::string Buffer_; ///< Bytes of an unfinished line, or a whole body.
  std::int64_t Bytes_ = 0;
  std::int64_t LastId_ = -1;
  bool Ended_ = false; ///< The end marker was seen.
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
  auto R = std::make_shared<Running>();
  R->Attempt_ = E.Attempt_;
  Running_[E.Attempt_] = R;
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = fmt::format("{}{}", E.Address_, routePath(E.Route_));
  Request.Headers_ = {"Content-Type: application/json",
                      fmt::format("X-Request-Id: {}", E.RequestId_)};
  Request.Body_ = engineBody(E);
  Request.FirstByteLimit_ = E.FirstByteLimit_;
  Request.ProgressLimit_ = E.ProgressLimit_;
  Request.Fresh_ = E.FreshConnection_;
  R->Transfer_ = Client_.start(
      std::move(Request),
      [this, R](int Status, std::string_view Bytes) {
        return onBytes(*R, Status, Bytes);
      },
      [this, Id = E.Attempt_](const HttpResult &Result) {
        onDone(Id, Result);
      });
}

void AttemptRunner::startService(const StartAttempt &E) {
  auto R = std::make_shared<Running>();
  R->Attempt_ = E.Attempt_;
  R->Kind_ = CallKind::Service;
  Running_[E.Attempt_] = R;
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
  Request.TotalLimit_ = E.FirstByteLimit_;
  Request.Fresh_ = E.FreshConnection_;
  R->Transfer_ = Client_.start(
      std::move(Request),
      [this, R](int, std::string_view Bytes) {
        R->Buffer_.append(Bytes);
        return static_cast<std::int64_t>(R->Buffer_.size()) <= MaxAnswer_;
      },
      [this, Id = E.Attempt_](const HttpResult &Result) {
        onDone(Id, Result);
      });
}

void AttemptRunner::cancel(const CancelAttempt &E) {
  const auto Found = Running_.find(E.Attempt_);
  if (Found == Running_.end())
    return;
  Client_.cancel(Found->second->Transfer_);
  Running_.erase(Found);
}

bool AttemptRunner::onBytes(Running &R, int Status, std::string_view Bytes) {
  if (Status != 200) {
    R.Buffer_.append(Bytes.substr(0, MaxErrorBody));
    return R.Buffer_.size() <= MaxErrorBody;
  }
  R.Bytes_ += static_cast<std::int64_t>(Bytes.size());
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
  return R.Buffer_.size() <= MaxLine;
}

bool AttemptRunner::onLine(Running &R, std::string_view Line) {
  if (R.Ended_ || Line.empty() || Line.front() == ':')
    return true;
  if (Line.substr(0, 3) == "id:") {
    Line.remove_prefix(Line.find_first_not_of(' ', 3) == std::string_view::npos
                           ? Line.size()
                           : Line.find_first_not_of(' ', 3));
    const auto Result =
        std::from_chars(Line.data(), Line.data() + Line.size(), R.LastId_);
    return Result.ec == std::errc();
  }
  if (Line.substr(0, 5) != "data:")
    return true;
  Line.remove_prefix(Line.size() > 5 && Line[5] == ' ' ? 6 : 5);
  if (Line == "[DONE]") {
    R.Ended_ = true;
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
        Sink_(AttemptToken{R.Attempt_, R.LastId_, Text.get<std::string>()});
    }
  } catch (const Json::exception &) {
    return false;
  }
  return true;
}

void AttemptRunner::fail(AttemptId Id, AttemptFailure Failure,
                         std::string Detail, bool Leaving) {
  Sink_(AttemptFailed{Id, Failure, Leaving, std::move(Detail)});
}

void AttemptRunner::onDone(AttemptId Id, const HttpResult &Result) {
  const auto Found = Running_.find(Id);
  if (Found == Running_.end())
    return;
  const std::shared_ptr<Running> R = Found->second;
  Running_.erase(Found);
  const bool Whole = endOf(Result) == TransferEnd::Complete;
  const bool Busy = Result.Status_ == 503 || Result.Status_ == 429;
  if (Whole && Busy && (R->Kind_ == CallKind::Completion || Result.NotRun_)) {
    const bool Leaving = R->Buffer_.find("leaving") != std::string::npos;
    fail(Id, AttemptFailure::Refused, "refused by the upstream", Leaving);
    return;
  }
  if (R->Kind_ == CallKind::Service && Whole) {
    Sink_(
        ServiceReply{Id, Result.Status_, Result.ContentType_, R->Buffer_, {}});
    return;
  }
  // The end marker makes an answer whole, however the connection ended.
  if (R->Ended_ && !R->FinishReason_.empty()) {
    Sink_(
        AttemptEnded{Id, R->FinishReason_, R->PromptTokens_, R->CachedTokens_});
    return;
  }
  if (Whole && Result.Status_ != 200) {
    fail(Id, AttemptFailure::Failed, fmt::format("status {}", Result.Status_));
    return;
  }
  if (Whole) {
    fail(Id, AttemptFailure::Garbage, "the stream ended without end marker");
    return;
  }
  fail(Id, failureOf(endOf(Result)), Result.Detail_);
}

} // namespace endivewharf
