// Log lines by fmt; the time is UTC.
#include "logger.h"

#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace endivewharf {

namespace {

std::string_view name(LogLevel Level) {
  switch (Level) {
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    break;
  }
  return "error";
}

} // namespace

std::string quoteLogValue(std::string_view Value) {
  const bool Plain = !Value.empty() && Value.find_first_of(" \t\r\n\"=\\") ==
                                           std::string_view::npos;
  if (Plain)
    return std::string(Value);
  std::string Quoted = "\"";
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Quoted += '\\';
    const bool Control = static_cast<unsigned char>(C) < 0x20;
    Quoted += Control ? ' ' : C;
  }
  return Quoted + '"';
}

void writeLogLine(
    LogLevel Level, std::string_view Process, std::string_view Event,
    const std::vector<std::pair<std::string, std::string>> &Fields) {
  const auto Now = std::chrono::system_clock::now();
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      Now.time_since_epoch())
                      .count() %
                  1000;
  std::string Line = fmt::format(
      "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} process={} event={}",
      fmt::gmtime(std::chrono::system_clock::to_time_t(Now)), Ms, name(Level),
      quoteLogValue(Process), Event);
  for (const auto &[Key, Value] : Fields)
    Line += fmt::format(" {}={}", Key, quoteLogValue(Value));
  Line += '\n';
  std::fwrite(Line.data(), 1, Line.size(), stderr);
}

} // namespace endivewharf
