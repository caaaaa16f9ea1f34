// JSON and CBOR from outside: bounded depth, and only numbers that the
// project's own types hold.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace endivewharf {

/// @return the value; discarded if the text is no JSON, is too deep or holds a
///         number beyond `MaxNumber` that is not a plain integer
nlohmann::json parseJson(std::string_view Text);

/// The same for CBOR.
nlohmann::json parseCbor(std::string_view Bytes);

} // namespace endivewharf
