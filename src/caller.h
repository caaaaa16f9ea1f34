// Reference client for tests and measurements: streams a completion, resumes it
// at another entry process after a redirect or a broken connection, and retries
// service calls with the same idempotency key.
#pragma once

#include "client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endivewharf {

/// One request of a caller: a completion, or a service call if `ServicePath_`
/// is set.
struct CallerRequest {
  std::string ApiKey_;
  std::string RequestId_;
  std::string Model_;
  std::string Prompt_;
  std::string Priority_ = "interactive";
  int MaxTokens_ = 16;
  bool Stream_ = true;
  std::string Method_ = "POST"; ///< Of a service call.
  std::string ServicePath_;     ///< `/svc/NAME/...`; empty: a completion.
  std::string IdempotencyKey_;  ///< Of a service call; empty: none is sent.
  std::string Body_;            ///< Of a service call.
  Millis TimeLimit_ = 20000;    ///< For all exchanges together, ms.
  int MaxExchanges_ = 6;        ///< Retries and resumptions included.
  /// Retry a refused request after the time that the refusal gives.
  bool RetryAfterRefusal_ = false;
};

/// Outcome of a caller's request.
struct CallerResult {
  bool Answered_ = false; ///< Complete answer, or a service's own answer.
  /// A token was duplicated, missing or out of order.
  bool TokenSequenceWrong_ = false;
  int Status_ = 0;        ///< HTTP status of the last exchange; 0: no answer.
  std::string Text_;      ///< Generated text, or the service's body.
  std::string ErrorType_; ///< `type` of the last refusal.
  std::string RunState_;  ///< `run` of the last refusal.
  std::int64_t RetryAfterMs_ = 0; ///< `retry_after_ms` of the last refusal.
  std::vector<std::string> RefusalRunStates_; ///< `run` of each refusal.
  int Exchanges_ = 0;                         ///< HTTP exchanges started.
  int Resumes_ = 0;          ///< Exchanges that resumed a completion.
  std::int64_t Tokens_ = 0;  ///< Tokens received.
  Millis StartedAt_ = 0;     ///< On the monotonic clock.
  double FirstTokenMs_ = -1; ///< From the start; negative: no token came.
  Millis TotalMs_ = 0;       ///< From the start to the outcome.
  std::vector<double> TokenGapsMs_; ///< Times between consecutive tokens.
};

/// Runs one request to its end, with retries and resumptions.
/// @param Client HTTP client on the caller's event loop
/// @param Addresses entry processes, `ip:port`; the exchanges use them in turn,
///        starting with the first
/// @param Done called once with the outcome
void runCallerRequest(asio::io_context &Io, HttpClient &Client,
                      std::vector<std::string> Addresses, CallerRequest Request,
                      std::function<void(const CallerResult &)> Done);

} // namespace endivewharf
