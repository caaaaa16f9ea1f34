// The library's own builder of values, with checks before it.
#include "checkedjson.h"

#include "types.h"

#include <cmath>

namespace endivewharf {

namespace {

using Json = nlohmann::json;
using Builder = nlohmann::detail::json_sax_dom_parser<Json>;

// The library's CBOR reader calls itself for each level.
constexpr int MaxDepth = 64;

class CheckedBuilder : public Builder {
public:
  using Builder::Builder;

  bool number_float(double Value, const std::string &Text) {
    if (!std::isfinite(Value) ||
        std::abs(Value) > static_cast<double>(MaxExternalNumber))
      return false;
    // An integer type is read from it, be it written with a point or not.
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
  CheckedBuilder Build(Value, false);
  try {
    if (Json::sax_parse(Bytes.begin(), Bytes.end(), &Build, Format))
      return Value;
  } catch (const Json::exception &) {
    // A size that is too large throws all the same.
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
