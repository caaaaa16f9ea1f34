// The commands of the binary besides `serve` and `load`.
#pragma once

#include "config.h"

#include <string>

namespace endivewharf {

constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

/// Prints every mistake, one per line, on standard error.
void printMistakes(const FileMistakes &Mistakes);

int checkSettings(const std::string &Path);
int serveCommand(const std::string &Path);
int configCheck(const std::string &File);
int configPublish(const std::string &LogUrl, const std::string &Operator,
                  const std::string &File);
int configStatus(const std::string &Operators);
int noteCheck(const std::string &File);
int notePublish(const std::string &LogUrl, const std::string &Operator,
                const std::string &File);
int noteStatus(const std::string &Operator);
int dumpProcess(const std::string &Operator);

} // namespace endivewharf
