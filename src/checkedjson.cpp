// Extends the JSON library's value builder by checks of depth and numbers.
#include "checkedjson.h"

#include "types.h"

#include <cmath>

namespace endivewharf {

namespace {

using Json = nlohmann::json;
using Builder = nlohmann::detail::json_sax_dom_parser<Json>;

// Nesting levels; the library's CBOR reader recurses once for each level.
constexpr int MaxDepth = 64;

/// Builds a JSON value from parser events; returning false stops the parser.
class CheckedBuilder : public Builder {
public:
  using Builder::Builder;

  bool number_float(double Value, const std::string &Text) {
    if (!std::isfinite(Value) ||
        std::abs(Value) > static_cast<double>(MaxExternalNumber))
      return false;
    // Whole numbers are stored as integers even if written with a decimal
    // point, so that integer fields can be read from them; as unsigned ones
    // where they would be if written without it.
    if (std::trunc(Value) == Value && Value >= 0)
      return number_unsigned(static_cast<std::uint64_t>(Value));
    if (std::trunc(Value) == Value)
      return number_integer(static_cast<std::int64_t>(Value));
    return Builder::number_float(Value, Text);
  }
  bool start_object(std::size_t Size) {
    return ++Depth_ <= MaxDepth && Builder::start_object(Size);
  }
  bool end_object() {
    --Depth_;
    return Builder::end_object();
  }
  bool start_array(std::size_t Size) {
    return ++Depth_ <= MaxDepth && Builder::start_array(Size);
  }
  bool end_array() {
    --Depth_;
    return Builder::end_array();
  }

private:
  int Depth_ = 0;
};

Json parseChecked(std::string_view Bytes,
                  nlohmann::detail::input_format_t Format) {
  Json Value;
  CheckedBuilder ValueBuilder(Value, false);
  try {
    if (Json::sax_parse(Bytes.begin(), Bytes.end(), &ValueBuilder, Format))
      return Value;
  } catch (const Json::exception &) {
    // The builder throws for an excessive array or object size, although
    // exceptions are turned off.
  }
  return Json(Json::value_t::discarded);
}

} // namespace

Json parseJson(std::string_view Text) {
  return parseChecked(Text, nlohmann::detail::input_format_t::json);
}

Json parseCbor(std::string_view Bytes) {
  return parseChecked(Bytes, nlohmann::detail::input_format_t::cbor);
}

} // namespace endivewharf
