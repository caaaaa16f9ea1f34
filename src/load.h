// Open-loop load generator and its report.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace endivewharf {

struct LoadGeneratorOptions {
  std::vector<std::string> Addresses_; ///< Entry processes, `ip:port`.
  std::vector<std::string> ApiKeys_;   ///< Accounts; the first ones get more.
  std::string Model_;
  std::string Service_; ///< Empty: no bookings.
  std::string ServicePath_ = "/bookings";
  double RequestsPerSecond_ = 20; ///< Requests per second.
  double DurationSeconds_ = 5;
  double BatchShare_ = 0.3;
  double BookingShare_ = 0.1;
  int MaxTokens_ = 30;
  int PromptWords_ = 100;
  int PromptPrefixCount_ = 5; ///< Shared prompt beginnings.
  std::uint64_t Seed_ = 1;
  bool ReportAsJson_ = false;
};

/// Runs the load and prints its report on standard output.
/// @return the process's exit code: 0 if no answer was wrong
int runLoadGenerator(const LoadGeneratorOptions &Options);

} // namespace endivewharf
