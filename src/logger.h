// Structured log on standard output. Writes never block and the buffer is
// bounded: lines that do not fit are dropped and counted.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivewharf {

enum class LogLevel { Info, Warning, Error };

/// Sets standard output to non-blocking mode.
/// @param ProcessName name of this process in each line
void initLog(std::string_view ProcessName);

/// Appends one line of key=value pairs to the buffer, or drops it if the buffer
/// is full. The next line that fits is preceded by a `log_lines_dropped` line.
/// @param Event value of the line's `event` key
/// @param Fields further pairs, in their order in the line
void writeLogLine(
    LogLevel Level, std::string_view Event,
    const std::vector<std::pair<std::string, std::string>> &Fields);

/// Writes buffered bytes to standard output: at most one write, of as much as
/// it accepts without blocking.
void flushLog();

/// Formats a value for a log line: quoted and escaped if it is empty or
/// contains white space, quotes, `=` or backslashes. Control characters become
/// spaces.
std::string quoteLogValue(std::string_view Value);

} // namespace endivewharf
