// Splits a text into its number and its unit.
#include "quantity.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace endivewharf {

namespace {

constexpr std::array<Unit, 4> DurationUnits = {
    Unit{"ms", 1}, Unit{"s", 1000}, Unit{"m", 60000}, Unit{"h", 3600000}};
constexpr std::array<Unit, 3> SizeUnits = {Unit{"B", 1}, Unit{"KiB", 1 << 10},
                                           Unit{"MiB", 1 << 20}};
constexpr std::array<Unit, 1> NoUnits = {Unit{"", 1}};

/// What templates leave where there is no figure.
constexpr std::array<std::string_view, 4> LeftOutTexts = {"", "true", "false",
                                                          "null"};

/// Relative error of a decimal fraction times a unit's factor.
constexpr double RelativeError = 4 * std::numeric_limits<double>::epsilon();

/// @param Text a number whose magnitude a double cannot hold
/// @return the nearest double: 0 or the largest, with the number's sign
double nearestDouble(std::string_view Text) {
  const bool IsTiny = Text.find("e-") != std::string_view::npos ||
                      Text.find("E-") != std::string_view::npos;
  const double Magnitude = IsTiny ? 0 : std::numeric_limits<double>::max();
  return Text.front() == '-' ? -Magnitude : Magnitude;
}

bool isLeftOut(std::string_view Text) {
  return std::find(LeftOutTexts.begin(), LeftOutTexts.end(), Text) !=
         LeftOutTexts.end();
}

tl::expected<double, QuantityError> parseNumber(std::string_view Text) {
  double Number = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number);
  if (Result.ptr != End)
    return tl::unexpected(QuantityError::Malformed);
  if (Result.ec == std::errc::result_out_of_range)
    return nearestDouble(Text);
  if (Result.ec != std::errc() || !std::isfinite(Number))
    return tl::unexpected(QuantityError::Malformed);
  return Number;
}

/// Rounds a quantity down to a whole number of base units.
tl::expected<std::int64_t, std::monostate>
parseWhole(std::string_view Text, std::span<const Unit> Units) {
  const auto Quantity = parseQuantity(Text, Units);
  if (!Quantity || *Quantity < 0 ||
      *Quantity > static_cast<double>(MaxExternalNumber))
    return tl::unexpected(std::monostate{});
  const auto Whole = static_cast<std::int64_t>(roundDown(*Quantity));
  return Whole == 0 && *Quantity > 0 ? 1 : Whole;
}

} // namespace

std::span<const Unit> durationUnits() { return DurationUnits; }
std::span<const Unit> sizeUnits() { return SizeUnits; }
std::span<const Unit> noUnits() { return NoUnits; }

tl::expected<double, QuantityError> parseQuantity(std::string_view Text,
                                                  std::span<const Unit> Units) {
  constexpr double Max = std::numeric_limits<double>::max();
  if (isLeftOut(Text))
    return tl::unexpected(QuantityError::LeftOut);
  for (const Unit &Candidate : Units) {
    if (!Text.ends_with(Candidate.Name_))
      continue;
    const std::string_view Number =
        Text.substr(0, Text.size() - Candidate.Name_.size());
    if (isLeftOut(Number))
      return tl::unexpected(QuantityError::LeftOut);
    if (const auto Parsed = parseNumber(Number))
      return std::clamp(*Parsed * Candidate.Factor_, -Max, Max);
  }
  return tl::unexpected(QuantityError::Malformed);
}

double roundDown(double Quantity) {
  return std::floor(Quantity + std::abs(Quantity) * RelativeError);
}

double roundUp(double Quantity) {
  return std::ceil(Quantity - std::abs(Quantity) * RelativeError);
}

tl::expected<Millis, std::monostate> parseDuration(std::string_view Text) {
  return parseWhole(Text, durationUnits());
}

tl::expected<std::int64_t, std::monostate> parseSize(std::string_view Text) {
  return parseWhole(Text, sizeUnits());
}

} // namespace endivewharf
