// Structured logs: one key=value line per event on standard error.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivewharf {

enum class LogLevel { Info, Warning, Error };

/// Writes one line.
/// @param Process name of this process
/// @param Event what happened
/// @param Fields keys and values; values are quoted where needed
void writeLogLine(
    LogLevel Level, std::string_view Process, std::string_view Event,
    const std::vector<std::pair<std::string, std::string>> &Fields);

/// Quotes a value that would break the line's form.
std::string quoteLogValue(std::string_view Value);

} // namespace endivewharf
