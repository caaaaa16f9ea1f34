// Reclaim waves: 48% of the engines at once, a data centre's worth, with the
// stream's resumption and with restarting from nothing.
#include "benches.h"

#include <fmt/format.h>

namespace endivewharf::bench {

namespace {

using namespace fakes;

constexpr Millis WarmUpTime = 8000;
constexpr Millis RunTime = 20000;
constexpr int EngineCount = 12;
constexpr int TokensPerRequest = 600;
constexpr double RequestsPerSecond = 8;

Figures runOnce(std::uint64_t Seed, bool Restart, bool Centre) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  Options.EnginesIgnoreResume_ = Restart;
  World W(Options);
  for (int I = 0; I < EngineCount; ++I)
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}});
  W.publishConfig(exampleConfig({"m"}));
  W.runFor(WarmUpTime);
  std::mt19937_64 Random(Seed * 17);
  std::vector<int> Wave;
  for (int I = 0; I < EngineCount; ++I)
    if (Centre ? I % 3 == 1 : I % 2 == 0)
      Wave.push_back(I);
  const Millis Begin = W.now();
  const Millis WaveAt = Begin + RunTime / 2;
  W.scheduleAt(WaveAt, [&W, &Wave] {
    for (const int I : Wave)
      W.publishReclaimNotice(W.Engines_[I].Row_.Host_, 2000);
  });
  W.scheduleAt(WaveAt + 2000, [&W, &Wave] {
    for (const int I : Wave)
      W.killEngine(I);
  });
  std::exponential_distribution<double> Gap(RequestsPerSecond / 1000);
  double At = static_cast<double>(Begin);
  for (int I = 0; W.now() < Begin + RunTime; ++I) {
    At += Gap(Random);
    if (At > static_cast<double>(W.now()))
      W.runFor(static_cast<Millis>(At) - W.now());
    CallRequest Request = World::makeCompletionRequest(
        fmt::format("k{}", I % 5), "m", fmt::format("q{} of stock", I),
        TokensPerRequest);
    if (I % 3 == 0)
      Request.Priority_ = Priority::Batch;
    W.sendRequest(I % 4, Request);
  }
  W.runFor(20000);
  std::vector<double> Before;
  std::vector<double> During;
  double Answered = 0;
  double Wrong = 0;
  for (const Outcome &O : W.outcomes()) {
    Answered += O.Answered_ ? 1 : 0;
    Wrong += O.TokenSequenceWrong_ ? 1 : 0;
    if (O.Request_.Priority_ != Priority::Interactive)
      continue;
    const double Wait = O.FirstTokenAt_ < 0
                            ? 1e6
                            : static_cast<double>(O.FirstTokenAt_ - O.SentAt_);
    (O.SentAt_ < WaveAt ? Before : During).push_back(Wait);
  }
  double Again = 0;
  for (const FakeEngine &E : W.Engines_)
    Again += static_cast<double>(E.TokensRegenerated_);
  Figures Out;
  Out.add("answered", Answered / static_cast<double>(W.outcomes().size()));
  Out.add("wrong", Wrong);
  Out.add("tokens_generated_again", Again);
  Out.add("first_token_ms_p95_before", quantile(Before, 0.95));
  Out.add("first_token_ms_p95_after", quantile(During, 0.95));
  return Out;
}

} // namespace

void benchReclaim(int Seeds) {
  for (const bool Centre : {false, true}) {
    const std::string Name = Centre ? "reclaim_centre" : "reclaim_half";
    const auto Resume = runSeeds(
        Name + "_resume", Seeds,
        [&](std::uint64_t Seed) { return runOnce(Seed, false, Centre); },
        {"answered"});
    runSeeds(Name + "_restart", Seeds,
             [&](std::uint64_t Seed) { return runOnce(Seed, true, Centre); },
             {"answered"});
    printTargetResult(Name + "_answered", Resume.at("answered"), 1, false);
    printTargetResult(Name + "_wrong", Resume.at("wrong"), 0, true);
    printTargetResult(Name + "_first_token_ms_p95_after",
                      Resume.at("first_token_ms_p95_after"), 860, true);
  }
}

} // namespace endivewharf::bench
