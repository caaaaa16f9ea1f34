// Structured log lines on standard output: bounded, never blocking. What does
// not fit is dropped and counted.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivewharf {

enum class LogLevel { Info, Warning, Error };

/// Prepares standard output.
/// @param Process name that stands in each line
void initLog(std::string_view Process);

/// Adds one line of key=value pairs to what is to be written.
void writeLogLine(
    LogLevel Level, std::string_view Event,
    const std::vector<std::pair<std::string, std::string>> &Fields);

/// Writes as much as standard output takes at once.
void flushLog();

/// A value as it stands in a line: in quotes where it has to be.
std::string quoteLogValue(std::string_view Value);

} // namespace endivewharf
