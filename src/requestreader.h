// Reads requests for RESTinio with bounded memory: chunks leave no record, an
// announced length allocates nothing, and each request states what it holds.
#pragma once

#include <restinio/all.hpp>

namespace endivewharf {

/// Methods of requests that the bounded reader reads. The type selects the
/// reader's callbacks, since RESTinio takes them by this trait only.
struct BoundedMethods : restinio::default_http_methods_t {};

/// @return callbacks of the bounded reader
http_parser_settings boundedParserSettings() noexcept;

} // namespace endivewharf

namespace restinio::impl {

template <>
inline http_parser_settings
create_parser_settings<endivewharf::BoundedMethods>() noexcept {
  return endivewharf::boundedParserSettings();
}

} // namespace restinio::impl
