// The commands of the binary besides `serve` and `load`.
#pragma once

#include "config.h"

#include <string>

namespace endivewharf {

constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

/// Prints every mistake, one per line, on standard error.
void printFileErrors(const FileErrors &Mistakes);

int checkSettings(const std::string &Path);
int serveCommand(const std::string &Path);
int checkConfiguration(const std::string &File);
int publishConfiguration(const std::string &LogUrl, const std::string &Operator,
                         const std::string &File);
int printConfigurationStatus(const std::string &Operators);
int checkReleaseNote(const std::string &File);
int publishReleaseNote(const std::string &LogUrl, const std::string &Operator,
                       const std::string &File);
int printRolloutStatus(const std::string &Operator);
int printProcessDump(const std::string &Operator);

} // namespace endivewharf
