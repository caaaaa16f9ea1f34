// Open-loop load generator with a report of outcomes and latencies.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace endivewharf {

/// Options of one run of the load generator.
struct LoadGeneratorOptions {
  std::vector<std::string> Addresses_; ///< Entry processes, `ip:port`.
  /// API keys of accounts. The first key is used for half of the requests, each
  /// further one for half of the rest, and the last one for all that remain.
  std::vector<std::string> ApiKeys_;
  std::string Model_;
  std::string Service_; ///< Plain service for bookings; empty: no bookings.
  std::string ServicePath_ = "/bookings";
  double RequestsPerSecond_ = 20; ///< Mean arrival rate.
  double DurationSeconds_ = 5;    ///< Period in which requests are sent.
  double BatchShare_ = 0.3; ///< Fraction of completions with batch priority.
  double BookingFraction_ = 0.1; ///< Fraction of requests that are bookings.
  int MaxTokens_ = 30; ///< Maximum number of generated tokens per completion.
  int PromptWords_ = 100;     ///< Words of a prompt's shared prefix.
  int PromptPrefixCount_ = 5; ///< Number of different prompt prefixes.
  std::uint64_t Seed_ = 1;    ///< Seed of the random generator.
  bool ReportAsJson_ = false;
};

/// Sends the load, waits for every outcome and prints a report on standard
/// output.
/// @return exit code of the process: 0 if no answer had a wrong token sequence
/// and no request ended without an answer or an error, otherwise 1
int runLoadGenerator(const LoadGeneratorOptions &Options);

} // namespace endivewharf
