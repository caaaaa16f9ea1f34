// Basic vocabulary shared by all modules: identifiers, units and typed errors.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

/// Milliseconds on this process's monotonic clock (durations use it as well).
using Millis = std::int64_t;
/// Number of a caller's request within this process.
using CallId = std::uint64_t;
/// Number of one try of a call at one upstream, unique within this process.
using AttemptId = std::uint64_t;
/// Position in the platform's log; -1 means "none".
using LogOffset = std::int64_t;

constexpr LogOffset NoOffset = -1;

/// Largest number, of any unit, that is taken from outside: sums of a few such
/// numbers are far from an overflow, and a double holds each exactly.
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
  Completion, ///< Of our own interface: a prompt for a model.
  Service,    ///< Of our own interface: a call to a plain service.
  Routed      ///< By a route of the configuration; its body is opaque.
};
/// How often a call may run.
enum class RepeatPolicy {
  Always,    ///< As often as needed.
  Resumable, ///< A stream that may go on elsewhere after its last event.
  Never      ///< Once at the most.
};
enum class UpstreamKind { Model, Service };

/// What is known of a request that did not succeed.
enum class RunState {
  NotRun, ///< No upstream has acted on it and none will.
  Run,    ///< An upstream has acted on it.
  Unknown ///< An upstream may have acted on it.
};

/// Every reason for which a caller gets something else than an answer.
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
};

/// Why one attempt ended without a whole answer.
enum class AttemptFailure {
  NotSent, ///< The connection was refused: no byte of the request was written.
  Refused, ///< The upstream said that it did not take the request.
  ConnectionBroken, ///< The connection broke after bytes were written.
  TimedOut,         ///< No byte within the progress limit.
  ProtocolError,    ///< The answer broke the protocol or was too long.
  UpstreamError,    ///< The upstream answered with an error of its own.
  Misdirected       ///< Another upstream has the address now; it ran nothing.
};

/// One final answer that is not a success.
struct CallError {
  ErrorKind Kind_ = ErrorKind::BadRequest;
  RunState RunState_ = RunState::NotRun;
  std::string Detail_;
  Millis RetryAfter_ = 0; ///< 0: no advice.
};

std::string_view name(Priority Value);
std::string_view name(RunState Value);
std::string_view name(ErrorKind Value);
std::string_view name(AttemptFailure Value);

/// HTTP status for an error.
/// @param Kind reason of the failure
/// @return status code of 400 or more
int httpStatus(ErrorKind Kind);

/// @return the text without blanks and line ends around it
std::string_view trimmed(std::string_view Text);

} // namespace endivewharf
