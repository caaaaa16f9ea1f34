// Names of the enumerations in logs, JSON and metrics, the HTTP status of each
// error, and the names of headers.
#include "types.h"

#include <algorithm>
#include <array>
#include <strings.h>
#include <utility>

namespace endivewharf {

namespace {

struct ErrorRow {
  ErrorKind Kind_;
  std::string_view Name_;
  int Status_;
};

constexpr std::array ErrorRows = {
    ErrorRow{ErrorKind::BadRequest, "bad_request", 400},
    ErrorRow{ErrorKind::InvalidApiKey, "bad_key", 401},
    ErrorRow{ErrorKind::UnknownModel, "unknown_model", 404},
    ErrorRow{ErrorKind::UnknownRoute, "unknown_route", 404},
    ErrorRow{ErrorKind::OverLimit, "over_limit", 429},
    ErrorRow{ErrorKind::Overloaded, "overloaded", 503},
    ErrorRow{ErrorKind::Draining, "draining", 503},
    ErrorRow{ErrorKind::NoUpstream, "no_upstream", 503},
    ErrorRow{ErrorKind::NotReady, "not_ready", 503},
    ErrorRow{ErrorKind::TimeLimitExceeded, "time_limit", 504},
    ErrorRow{ErrorKind::UpstreamFailed, "upstream_failed", 502},
    ErrorRow{ErrorKind::OutcomeUnknown, "outcome_unknown", 502},
    ErrorRow{ErrorKind::IdempotencyKeyRequired, "idempotency_key_required",
             400},
    ErrorRow{ErrorKind::IdempotencyKeyInUse, "idempotency_key_in_use", 409},
    ErrorRow{ErrorKind::IdempotencyKeyExpired, "idempotency_key_expired", 409},
    ErrorRow{ErrorKind::LogUnavailable, "log_unavailable", 503},
    ErrorRow{ErrorKind::NotFound, "not_found", 404},
    ErrorRow{ErrorKind::PartBlocked, "part_blocked", 503},
    ErrorRow{ErrorKind::PartOnTrial, "part_on_trial", 503},
    ErrorRow{ErrorKind::RequestBlocked, "request_blocked", 503},
    ErrorRow{ErrorKind::RequestOnTrial, "request_on_trial", 503},
};

const ErrorRow &errorRow(ErrorKind Kind) {
  for (const ErrorRow &Row : ErrorRows)
    if (Row.Kind_ == Kind)
      return Row;
  return ErrorRows[0];
}

} // namespace

std::string_view name(Priority Value) {
  return Value == Priority::Interactive ? "interactive" : "batch";
}

std::string_view name(RunState Value) {
  switch (Value) {
  case RunState::NotRun:
    return "not_run";
  case RunState::Run:
    return "run";
  case RunState::Unknown:
    break;
  }
  return "unknown";
}

std::string_view name(ErrorKind Value) { return errorRow(Value).Name_; }

std::string_view name(AttemptFailure Value) {
  switch (Value) {
  case AttemptFailure::NotSent:
    return "not_sent";
  case AttemptFailure::Refused:
    return "refused";
  case AttemptFailure::ConnectionBroken:
    return "broken";
  case AttemptFailure::TimedOut:
    return "silent";
  case AttemptFailure::ProtocolError:
    return "garbage";
  case AttemptFailure::Misdirected:
    return "other_host";
  case AttemptFailure::UpstreamError:
    break;
  }
  return "failed";
}

int httpStatus(ErrorKind Kind) { return errorRow(Kind).Status_; }

bool isHeaderText(std::string_view Text) {
  return !Text.empty() && trimmed(Text).size() == Text.size() &&
         std::none_of(Text.begin(), Text.end(), [](char C) {
           return static_cast<unsigned char>(C) < 0x20 || C == 0x7f;
         });
}

bool equalsIgnoreCase(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

std::optional<std::string_view> headerValue(const Headers &Fields,
                                            std::string_view Name) {
  for (const Header &Field : Fields)
    if (equalsIgnoreCase(Field.Name_, Name))
      return Field.Value_;
  return std::nullopt;
}

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view WhiteSpace = " \t\r\n";
  const auto First = Text.find_first_not_of(WhiteSpace);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(WhiteSpace) - First + 1);
}

} // namespace endivewharf
