// Numbers with a unit in settings, configurations and headers: a duration such
// as `7.5s` or a size such as `390MiB`.
#pragma once

#include "types.h"

#include <span>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace endivewharf {

/// Suffix of a number and the factor that it stands for.
struct Unit {
  std::string_view Name_; ///< Empty: the number stands alone.
  double Factor_;
};

/// Units of a duration; its base unit is the millisecond.
std::span<const Unit> durationUnits();
/// Units of a size; its base unit is the byte.
std::span<const Unit> sizeUnits();
/// The unit of a plain number.
std::span<const Unit> noUnits();

/// Why a text is no quantity.
enum class QuantityError {
  /// Nothing stands where the number belongs, or true, false or null: whoever
  /// filled in the text had no figure.
  LeftOut,
  Malformed ///< The text is not a number with one of the units.
};

/// Parses a decimal number, with or without a fraction, an exponent or a sign,
/// that is followed by one of the units.
/// @return the number in base units, not rounded and always finite, or why
///   there is none
tl::expected<double, QuantityError> parseQuantity(std::string_view Text,
                                                  std::span<const Unit> Units);

/// Rounds to a whole number. A decimal fraction that a double holds a little
/// too low or too high counts as what was written: 2.3 s are 2300 ms.
/// @{
double roundDown(double Quantity);
double roundUp(double Quantity);
/// @}

/// Parses a duration such as `250ms`, `7.5s` or `2m`.
/// @return milliseconds, rounded down but not to 0, or nothing if the text is
///   no duration of 0 to `MaxExternalNumber`
tl::expected<Millis, std::monostate> parseDuration(std::string_view Text);

/// Parses a size such as `512KiB` or `32MiB`.
/// @return bytes, rounded down but not to 0, or nothing if the text is no size
///   of 0 to `MaxExternalNumber`
tl::expected<std::int64_t, std::monostate> parseSize(std::string_view Text);

} // namespace endivewharf
