// Formats log lines with UTC times and buffers them until the next flush, a few
// times a second.
#include "logger.h"

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>
#include <utility>

namespace endivewharf {

namespace {

// Buffer size from which new lines are dropped.
constexpr std::size_t MaxBufferedBytes = 512 << 10;
constexpr std::size_t MaxFlushBytes = 64 << 10; // Limit of one write.

/// Lines that are not yet written. No lock is needed: one event loop uses it.
struct LogBuffer {
  std::string Process_; ///< Process name, quoted if necessary.
  std::string BufferedLines_;
  std::size_t DroppedLineCount_ = 0;
};

LogBuffer &logBuffer() {
  static LogBuffer Buffer;
  return Buffer;
}

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

void initLog(std::string_view ProcessName) {
  logBuffer().Process_ = quoteLogValue(ProcessName);
  const int Flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

void writeLogLine(
    LogLevel Level, std::string_view Event,
    const std::vector<std::pair<std::string, std::string>> &Fields) {
  LogBuffer &L = logBuffer();
  if (L.BufferedLines_.size() >= MaxBufferedBytes) {
    ++L.DroppedLineCount_;
    return;
  }
  if (L.DroppedLineCount_ > 0) {
    const std::string Count =
        std::to_string(std::exchange(L.DroppedLineCount_, 0));
    writeLogLine(LogLevel::Warning, "log_lines_dropped", {{"count", Count}});
  }
  const auto Now = std::chrono::system_clock::now();
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      Now.time_since_epoch())
                      .count() %
                  1000;
  L.BufferedLines_ += fmt::format(
      "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} process={} event={}",
      fmt::gmtime(std::chrono::system_clock::to_time_t(Now)), Ms, name(Level),
      L.Process_, Event);
  for (const auto &[Key, Value] : Fields) {
    L.BufferedLines_ += ' ';
    L.BufferedLines_ += Key;
    L.BufferedLines_ += '=';
    L.BufferedLines_ += quoteLogValue(Value);
  }
  L.BufferedLines_ += '\n';
}

void flushLog() {
  std::string &Buffered = logBuffer().BufferedLines_;
  const std::size_t Length = std::min(Buffered.size(), MaxFlushBytes);
  if (Length == 0)
    return;
  const ssize_t Written = ::write(STDOUT_FILENO, Buffered.data(), Length);
  if (Written > 0)
    Buffered.erase(0, static_cast<std::size_t>(Written));
}

} // namespace endivewharf
