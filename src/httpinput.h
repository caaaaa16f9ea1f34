// Requests of our own interface, read from HTTP.
#pragma once

#include "webserver.h"

#include "state.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace endivewharf {

/// What is wrong with a request, for its sender.
struct InvalidRequest {
  std::string Detail_;
  int Status_ = 400;
};

/// @return the key in the Authorization header; empty: none
std::string bearerKey(const restinio::request_t &Request);

/// Reads a request for generated text.
/// @param Chat true: messages; false: one prompt
tl::expected<CallRequest, InvalidRequest>
parseCompletionRequest(const restinio::request_t &Request, bool Chat);

/// Reads a call to a plain service.
/// @param Target service name, and the path from its slash on
tl::expected<CallRequest, InvalidRequest>
parseServiceRequest(const restinio::request_t &Request,
                    std::string_view Target);

} // namespace endivewharf
