// Runs one bench of the reducer in the simulated deployment. Policies and their
// baselines are compared in the same run and with the same seeds.
#include "benches.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <map>

DEFINE_int32(seeds, 5, "number of runs; their seeds are 1 to this number");
DEFINE_int32(seed, 0,
             "chaos: run only this seed; 0 runs the seeds 1 to --seeds");
DEFINE_string(json_file, "", "file that also gets the figures as JSON");

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  using namespace endivewharf::bench;
  const std::map<std::string, void (*)(int)> Benches = {
      {"routing", benchRouting},
      {"overload", benchOverload},
      {"release", benchRelease},
      {"reclaim", benchReclaim},
      {"membership", benchMembership},
      {"capacity", benchCapacity},
      {"chaos", benchChaos}};
  const auto Found = Benches.find(Argc > 1 ? Argv[1] : "");
  if (Found == Benches.end()) {
    for (const auto &[Name, Run] : Benches)
      fmt::print("bench {}\n", Name);
    return 2;
  }
  if (FLAGS_seed > 0 && Found->first != "chaos") {
    fmt::print(stderr,
               "bench: --seed applies only to chaos; use --seeds=N instead\n");
    return 2;
  }
  if (FLAGS_seed > 0)
    benchChaosSeeds(FLAGS_seed, FLAGS_seed);
  else
    Found->second(FLAGS_seeds);
  writeFiguresJson(FLAGS_json_file);
  return hasFailed() ? 1 : 0;
}
