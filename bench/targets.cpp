// Checks of the benches' figures against targets, and the record of failures.
#include "benches.h"

#include <fmt/format.h>

namespace endivewharf::bench {

namespace {
bool FailureRecorded = false;
}

void printTargetResult(const std::string &Key, double Value, double Target,
                       bool AtMost) {
  const bool Met = AtMost ? Value <= Target : Value >= Target;
  fmt::print("target {} {} {:.4g}: {:.4g} {}\n", Key,
             AtMost ? "at most" : "at least", Target, Value,
             Met ? "met" : "MISSED");
  std::fflush(stdout);
}

bool hasFailed() { return FailureRecorded; }

void recordFailure(const std::string &BenchName) {
  FailureRecorded = true;
  fmt::print(stderr, "bench: {} failed: a guarantee was violated\n", BenchName);
}

} // namespace endivewharf::bench
