// The commands of the binary except `load`. Each returns the exit code of the
// process.
#pragma once

#include "config.h"

#include <string>

namespace endivewharf {

constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2; ///< Wrong usage, or a file with errors.

/// Prints every error, one per line, on standard error.
void printFileErrors(const FileErrors &Errors);

/// Checks a settings file and prints its errors or a summary.
/// @return ExitSuccess or ExitUsage
int checkSettings(const std::string &Path);

/// Runs an entry process until it is stopped.
/// @param Path settings file
/// @return exit code of the entry process; ExitUsage if the file has errors
int serveCommand(const std::string &Path);

/// Checks a configuration file and prints its errors or a summary.
/// @return ExitSuccess, ExitFailure if the file can't be read, or ExitUsage if
/// it has errors
int checkConfiguration(const std::string &File);

/// Checks a configuration file, appends it to the log as the successor of the
/// version that a process has in force, and waits until that process applies or
/// rejects it.
/// @param LogUrl URL of the log service
/// @param OperatorAddress `IP:PORT` of the process's operator interface
/// @param File configuration file
/// @return ExitSuccess if the configuration is in force, ExitUsage if the file
/// has errors, ExitFailure otherwise
int publishConfiguration(const std::string &LogUrl,
                         const std::string &OperatorAddress,
                         const std::string &File);

/// Prints the version that a process has in force and whether each peer has it.
/// @param OperatorAddress `IP:PORT` of the process's operator interface
/// @return ExitSuccess, or ExitFailure if the process doesn't answer
int printConfigurationStatus(const std::string &OperatorAddress);

/// Checks a release note and prints its errors or a summary.
/// @return ExitSuccess, ExitFailure if the file can't be read, or ExitUsage if
/// it has errors
int checkReleaseNote(const std::string &File);

/// Checks a release note, appends it to the log as the successor of the note
/// that a process knows, and waits until that process applies or rejects it.
/// Parameters and result are those of publishConfiguration().
int publishReleaseNote(const std::string &LogUrl,
                       const std::string &OperatorAddress,
                       const std::string &File);

/// Prints the state of every rollout that a process knows.
/// @param OperatorAddress `IP:PORT` of the process's operator interface
/// @return ExitSuccess, or ExitFailure if the process doesn't answer
int printRolloutStatus(const std::string &OperatorAddress);

/// Prints the whole state of a process as JSON.
/// @param OperatorAddress `IP:PORT` of the process's operator interface
/// @return ExitSuccess, or ExitFailure if the process doesn't answer
int printProcessDump(const std::string &OperatorAddress);

} // namespace endivewharf
