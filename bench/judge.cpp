// Verdicts over the benches' own figures.
#include "benches.h"

#include <fmt/format.h>

namespace endivewharf::bench {

namespace {
bool Failed = false;
}

void judgeTarget(const std::string &Key, double Value, double Target,
                 bool AtMost) {
  const bool Met = AtMost ? Value <= Target : Value >= Target;
  fmt::print("target {} {} {:.4g}: {:.4g} {}\n", Key,
             AtMost ? "at most" : "at least", Target, Value,
             Met ? "met" : "MISSED");
  std::fflush(stdout);
}

bool failed() { return Failed; }

void fail(const std::string &Why) {
  Failed = true;
  fmt::print(stderr, "bench: {} failed\n", Why);
}

} // namespace endivewharf::bench
