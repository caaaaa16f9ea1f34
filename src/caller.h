// A well-behaved caller: streams an answer, goes on elsewhere when its entry
// process moves or dies, asks again with the same key for a booking.
#pragma once

#include "client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endivewharf {

struct CallerRequest {
  std::string ApiKey_;
  std::string RequestId_;
  std::string Model_;
  std::string Prompt_;
  std::string Priority_ = "interactive";
  int MaxTokens_ = 16;
  bool Stream_ = true;
  // A plain call in place of a completion, if a path is given.
  std::string Method_ = "POST";
  std::string ServicePath_; ///< `/svc/NAME/...`.
  std::string IdempotencyKey_;
  std::string Body_;
  Millis TimeLimit_ = 20000;
  int MaxExchanges_ = 6;           ///< Exchanges at most, resumptions included.
  bool RetryAfterRefusal_ = false; ///< Obey Retry-After on refusals.
};

struct CallerResult {
  bool Answered_ = false; ///< Whole answer, or a service's own answer.
  bool TokenSequenceWrong_ = false; ///< A token twice, missing or out of order.
  int Status_ = 0;
  std::string Text_; ///< Generated text, or the service's body.
  std::string ErrorType_;
  std::string RunState_;
  std::int64_t RetryAfterMs_ = 0;
  std::vector<std::string>
      RefusalRunStates_; ///< `run` of each refusal on the way.
  int Exchanges_ = 0;
  int Resumes_ = 0;
  std::int64_t Tokens_ = 0;
  Millis StartedAt_ = 0;
  double FirstTokenMs_ = -1;
  Millis TotalMs_ = 0;
  std::vector<double> TokenGapsMs_; ///< Between tokens.
};

/// Runs one request to its end.
/// @param Client HTTP client on the caller's loop
/// @param Addresses entry processes, `ip:port`; the first one is asked first
/// @param Done called once with the outcome
void runCallerRequest(asio::io_context &Io, HttpClient &Client,
                      std::vector<std::string> Addresses, CallerRequest Request,
                      std::function<void(const CallerResult &)> Done);

} // namespace endivewharf
