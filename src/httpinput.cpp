// Validates callers' HTTP requests and converts them to `CallRequest`.
#include "httpinput.h"

#include "quantity.h"

#include <nlohmann/json.hpp>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

/// Text of a message's content, which is a string or an array of parts.
std::string contentText(const Json &Content) {
  if (Content.is_string())
    return Content.get<std::string>();
  std::string Text;
  if (Content.is_array())
    for (const Json &Part : Content)
      if (Part.is_object())
        Text += Part.value("text", "");
  return Text;
}

/// Reads the prompt; chat messages are joined to one text.
tl::expected<std::string, InvalidRequest> parsePrompt(const Json &Body,
                                                      bool Chat) {
  if (!Chat) {
    const auto Prompt = Body.find("prompt");
    if (Prompt == Body.end() || !Prompt->is_string())
      return tl::unexpected(InvalidRequest{"prompt must be a string"});
    return Prompt->get<std::string>();
  }
  const auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty())
    return tl::unexpected(
        InvalidRequest{"messages must be an array, not empty"});
  std::string Prompt;
  for (const Json &Message : *Messages) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message.contains("content"))
      return tl::unexpected(
          InvalidRequest{"each message must have a role and a content"});
    if (!Message["role"].is_string())
      return tl::unexpected(InvalidRequest{"role must be a string"});
    Prompt += Message["role"].get<std::string>() + "\n" +
              contentText(Message["content"]) + "\n";
  }
  return Prompt;
}

/// Parses the headers that completions and service calls have in common.
tl::expected<CallRequest, InvalidRequest>
parseCommonHeaders(const restinio::request_t &Request) {
  const auto &Header = Request.header();
  CallRequest Call;
  Call.ApiKey_ = bearerKey(Request);
  Call.RequestId_ = Header.get_field_or("X-Request-Id", "");
  if (Call.RequestId_.size() > 128 ||
      Call.RequestId_.find_first_of("/?& \r\n") != std::string::npos)
    return tl::unexpected(
        InvalidRequest{"X-Request-Id must be at most 128 plain characters"});
  const std::string PriorityName =
      Header.get_field_or("X-Priority", "interactive");
  if (PriorityName != "interactive" && PriorityName != "batch")
    return tl::unexpected(
        InvalidRequest{"X-Priority must be interactive or batch"});
  Call.Priority_ =
      PriorityName == "batch" ? Priority::Batch : Priority::Interactive;
  const std::string TimeLimit = Header.get_field_or("X-Time-Limit", "");
  if (!TimeLimit.empty()) {
    const auto Parsed = parseDuration(TimeLimit);
    if (!Parsed || *Parsed == 0)
      return tl::unexpected(InvalidRequest{
          "X-Time-Limit must be a duration such as 800ms or 30s"});
    Call.TimeLimit_ = *Parsed;
  }
  return Call;
}

} // namespace

std::string bearerKey(const restinio::request_t &Request) {
  const std::string Value = Request.header().get_field_or("Authorization", "");
  constexpr std::string_view Prefix = "Bearer ";
  return Value.rfind(Prefix, 0) == 0 ? Value.substr(Prefix.size()) : "";
}

tl::expected<CallRequest, InvalidRequest>
parseCompletionRequest(const restinio::request_t &Request, bool Chat) {
  auto Call = parseCommonHeaders(Request);
  if (!Call)
    return Call;
  const Json Body = Json::parse(Request.body(), nullptr, false);
  if (!Body.is_object())
    return tl::unexpected(InvalidRequest{"the body must be a JSON object"});
  const auto Model = Body.find("model");
  if (Model == Body.end() || !Model->is_string())
    return tl::unexpected(InvalidRequest{"model must be a string"});
  auto Prompt = parsePrompt(Body, Chat);
  if (!Prompt)
    return tl::unexpected(Prompt.error());
  const Json Stream = Body.value("stream", Json(false));
  if (!Stream.is_boolean())
    return tl::unexpected(InvalidRequest{"stream must be true or false"});
  const Json MaxTokens = Body.value("max_tokens", Json(256));
  if (!MaxTokens.is_number_integer() || MaxTokens.get<std::int64_t>() < 1)
    return tl::unexpected(
        InvalidRequest{"max_tokens must be a whole number above 0"});
  Call->Kind_ = CallKind::Completion;
  Call->Model_ = Model->get<std::string>();
  Call->Route_ = Chat ? "chat" : "completions";
  Call->Prompt_ = std::move(*Prompt);
  Call->Body_ = Request.body();
  Call->Stream_ = Stream.get<bool>();
  Call->MaxTokens_ = MaxTokens.get<std::int64_t>();
  return Call;
}

tl::expected<CallRequest, InvalidRequest>
parseServiceRequest(const restinio::request_t &Request,
                    std::string_view Target) {
  auto Call = parseCommonHeaders(Request);
  if (!Call)
    return Call;
  const auto Slash = Target.find('/');
  Call->Kind_ = CallKind::Service;
  Call->Route_ = std::string(Target.substr(0, Slash));
  Call->Path_ =
      Slash == std::string_view::npos ? "/" : std::string(Target.substr(Slash));
  const auto Query = Request.header().query();
  if (!Query.empty())
    Call->Path_ += "?" + std::string(Query.data(), Query.size());
  Call->Method_ = Request.header().method().c_str();
  Call->Body_ = Request.body();
  Call->ContentType_ = Request.header().get_field_or("Content-Type", "");
  Call->IdempotencyKey_ = Request.header().get_field_or("Idempotency-Key", "");
  if (Call->IdempotencyKey_.size() > 256)
    return tl::unexpected(
        InvalidRequest{"Idempotency-Key must be at most 256 characters"});
  return Call;
}

} // namespace endivewharf
