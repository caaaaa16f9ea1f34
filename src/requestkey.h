// Identity of a request: which requests are the same, whoever receives them.
#pragma once

#include "event.h"

#include <cstdint>
#include <string_view>

namespace endivewharf {

/// Hash of what makes two requests the same: caller, method, host, path with
/// its query, body, and the model and parts of the prompt. The request's ID,
/// its time limit and its other headers do not count.
/// @param Caller name of the client account; on a public route the API key,
///   which may be empty
/// @return at least 1
std::uint64_t requestKey(const CallRequest &Request, std::string_view Caller);

} // namespace endivewharf
