// Parses the HTTP requests of the native caller interface.
#pragma once

#include "webserver.h"

#include "state.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace endivewharf {

/// Reason why a request is rejected, as told to its sender.
struct InvalidRequest {
  std::string Detail_;
  int Status_ = 400; ///< HTTP status of the answer.
};

/// @return the bearer key of the Authorization header; empty: none
std::string bearerKey(const restinio::request_t &Request);

/// Parses a completion request.
/// @param Chat true: the body has `messages`; false: it has `prompt`
tl::expected<CallRequest, InvalidRequest>
parseCompletionRequest(const restinio::request_t &Request, bool Chat);

/// Parses a call to a plain service.
/// @param Target service name, optionally followed by the path with its slash
tl::expected<CallRequest, InvalidRequest>
parseServiceRequest(const restinio::request_t &Request,
                    std::string_view Target);

} // namespace endivewharf
