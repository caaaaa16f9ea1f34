// Parses JSON and CBOR from outside, with a bound on the nesting depth and on
// the size of numbers.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace endivewharf {

/// Parses JSON text.
/// @param Text untrusted input; any text is safe
/// @return the value, or a discarded value if the text is not JSON, is nested
///         too deeply, or contains a floating-point number that is not finite
///         or exceeds `MaxExternalNumber` in magnitude
nlohmann::json parseJson(std::string_view Text);

/// Parses CBOR bytes, with the same checks as parseJson().
/// @param Bytes untrusted input; any bytes are safe
/// @return the value, or a discarded value if the bytes are not acceptable CBOR
nlohmann::json parseCbor(std::string_view Bytes);

} // namespace endivewharf
