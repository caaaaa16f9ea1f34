// Basic types shared by all modules: identifiers, units and typed errors.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

/// Time on this process's monotonic clock, or a duration, in milliseconds.
using Millis = std::int64_t;
/// Number of a caller's request within this process.
using CallId = std::uint64_t;
/// Number of one try of a call at one upstream, unique within this process.
using AttemptId = std::uint64_t;
/// Position in one of the platform's logs; also the version of what the record
/// there publishes. The lower bits are the record's offset, the upper ones the
/// era of the log: a log that is restored from a copy begins a new era, in
/// which offsets are given out again. Positions of a later era are larger.
using LogOffset = std::int64_t;

/// Stands for no position or no version.
constexpr LogOffset NoOffset = -1;

constexpr int EraShift = 40; // bits of a position that are the offset
constexpr std::int64_t MaxOffset = (std::int64_t{1} << EraShift) - 1;
constexpr std::int64_t MaxEra = (std::int64_t{1} << 22) - 1;

/// @param Era 0 to `MaxEra`; a log without eras has only era 0
/// @param Offset at least 0, less than 2^EraShift
constexpr LogOffset makePosition(std::int64_t Era, std::int64_t Offset) {
  return Era << EraShift | Offset;
}
/// @return the era of a position; -1 for `NoOffset`
constexpr std::int64_t eraOf(LogOffset Position) {
  return Position >> EraShift;
}
/// @return the offset of a position within its era
constexpr std::int64_t offsetIn(LogOffset Position) {
  return Position & MaxOffset;
}

/// Largest number, of any unit, that is accepted from outside. Sums of a few
/// such numbers do not overflow, and a double represents each exactly.
constexpr std::int64_t MaxExternalNumber = 1'000'000'000'000'000;

/// One header of a request or an answer.
struct Header {
  std::string Name_;
  std::string Value_;

  bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

enum class Priority { Interactive, Batch };
enum class CallKind {
  Completion, ///< A prompt for a model, through our own interface.
  Service,    ///< A call to a plain service, through our own interface.
  Routed      ///< A request of a configured route; its body is opaque.
};
/// How often a call may run.
enum class RepeatPolicy {
  Always,    ///< As often as needed.
  Resumable, ///< A stream that another upstream may resume.
  Never      ///< At most once.
};
enum class UpstreamKind { Model, Service };

/// What is known about the execution of a request that did not succeed.
enum class RunState {
  NotRun, ///< No upstream has acted on it and none will.
  Run,    ///< An upstream has acted on it.
  Unknown ///< An upstream may have acted on it.
};

/// Reason for which a caller gets an error instead of an answer.
enum class ErrorKind {
  BadRequest,
  InvalidApiKey,
  UnknownModel,
  UnknownRoute,
  OverLimit,
  Overloaded,
  Draining,
  NoUpstream,
  NotReady,
  TimeLimitExceeded,
  UpstreamFailed,
  OutcomeUnknown,
  IdempotencyKeyRequired,
  IdempotencyKeyInUse,
  IdempotencyKeyExpired,
  LogUnavailable,
  NotFound,
  PartBlocked,    ///< The prompt has a part that ends upstreams.
  PartOnTrial,    ///< Another request with a suspect part is tried first.
  RequestBlocked, ///< The request ends upstreams.
  RequestOnTrial, ///< The same request is being tried.
};

/// Reason for which an attempt ended without a complete answer.
enum class AttemptFailure {
  NotSent,          ///< No byte of the request was written.
  Refused,          ///< The upstream stated that it did not run the request.
  ConnectionBroken, ///< The connection broke after bytes were written.
  TimedOut,         ///< No byte or event arrived within its timeout.
  ProtocolError,    ///< The answer was malformed or too long.
  UpstreamError,    ///< The upstream answered with an error.
  Misdirected       ///< Another host has the address; it ran nothing.
};

/// The error that a caller gets as its final answer.
struct CallError {
  ErrorKind Kind_ = ErrorKind::BadRequest;
  RunState RunState_ = RunState::NotRun;
  std::string Detail_;    ///< Explanation for the caller and the log.
  Millis RetryAfter_ = 0; ///< Time until a retry makes sense; 0: not stated.
  std::string Basis_ =
      {}; ///< For the log: how the reason is known, if it says.
};

/// @return the value's name in logs, JSON and metrics
/// @{
std::string_view name(Priority Value);
std::string_view name(RunState Value);
std::string_view name(ErrorKind Value);
std::string_view name(AttemptFailure Value);
/// @}

/// Maps an error to its HTTP status.
/// @param Kind reason for the error
/// @return status code of 400 or more
int httpStatus(ErrorKind Kind);

/// @return true if the text can be the value of an HTTP header as it is: it is
///   not empty, has no control characters, and no blank at either end
bool isHeaderText(std::string_view Text);

/// @return true if the names are equal regardless of letter case
bool equalsIgnoreCase(std::string_view A, std::string_view B);

/// @return the value of the first header with this name, or nothing
std::optional<std::string_view> headerValue(const Headers &Fields,
                                            std::string_view Name);

/// @return the text without leading and trailing white space
std::string_view trimmed(std::string_view Text);

} // namespace endivewharf
