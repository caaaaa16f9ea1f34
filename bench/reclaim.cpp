// Reclaims half of the engines at once (the users state 48% of the hosts as
// reclaimable) or all engines of one data centre, with streams that resume and
// with streams that restart from the first token.
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

/// @param Seed seed of the run
/// @param IgnoreResume true if engines restart resumed streams from the first
/// token
/// @param WholeDataCentre true to reclaim all engines of one data centre, false
/// for every second engine
Figures runOnce(std::uint64_t Seed, bool IgnoreResume, bool WholeDataCentre) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  Options.EnginesIgnoreResume_ = IgnoreResume;
  World W(Options);
  for (int I = 0; I < EngineCount; ++I)
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}});
  W.publishConfig(exampleConfig({"m"}));
  W.runFor(WarmUpTime);
  std::mt19937_64 Random(Seed * 17);
  std::vector<int> ReclaimedEngines;
  for (int I = 0; I < EngineCount; ++I)
    if (WholeDataCentre ? I % 3 == 1 : I % 2 == 0)
      ReclaimedEngines.push_back(I);
  const Millis StartAt = W.now();
  const Millis ReclaimAt = StartAt + RunTime / 2;
  W.scheduleAt(ReclaimAt, [&W, &ReclaimedEngines] {
    for (const int I : ReclaimedEngines)
      W.publishReclaimNotice(W.Engines_[I].Row_.Host_, 2000);
  });
  W.scheduleAt(ReclaimAt + 2000, [&W, &ReclaimedEngines] {
    for (const int I : ReclaimedEngines)
      W.killEngine(I);
  });
  std::exponential_distribution<double> ArrivalGapMs(RequestsPerSecond / 1000);
  double NextArrivalMs = static_cast<double>(StartAt);
  for (int I = 0; W.now() < StartAt + RunTime; ++I) {
    NextArrivalMs += ArrivalGapMs(Random);
    if (NextArrivalMs > static_cast<double>(W.now()))
      W.runFor(static_cast<Millis>(NextArrivalMs) - W.now());
    CallRequest Request = World::makeCompletionRequest(
        fmt::format("k{}", I % 5), "m", fmt::format("q{} of stock", I),
        TokensPerRequest);
    if (I % 3 == 0)
      Request.Priority_ = Priority::Batch;
    W.sendRequest(I % 4, Request);
  }
  W.runFor(20000);
  std::vector<double> FirstTokenMsBefore;
  std::vector<double> FirstTokenMsAfter;
  double AnsweredCount = 0;
  double WrongSequenceCount = 0;
  for (const Outcome &O : W.outcomes()) {
    AnsweredCount += O.Answered_ ? 1 : 0;
    WrongSequenceCount += O.TokenSequenceWrong_ ? 1 : 0;
    if (O.Request_.Priority_ != Priority::Interactive)
      continue;
    const double FirstTokenMs =
        O.FirstTokenAt_ < 0 ? 1e6
                            : static_cast<double>(O.FirstTokenAt_ - O.SentAt_);
    (O.SentAt_ < ReclaimAt ? FirstTokenMsBefore : FirstTokenMsAfter)
        .push_back(FirstTokenMs);
  }
  double RegeneratedTokens = 0;
  for (const FakeEngine &E : W.Engines_)
    RegeneratedTokens += static_cast<double>(E.TokensRegenerated_);
  Figures Out;
  Out.add("answered", AnsweredCount / static_cast<double>(W.outcomes().size()));
  Out.add("wrong", WrongSequenceCount);
  Out.add("tokens_generated_again", RegeneratedTokens);
  Out.add("first_token_ms_p95_before", quantile(FirstTokenMsBefore, 0.95));
  Out.add("first_token_ms_p95_after", quantile(FirstTokenMsAfter, 0.95));
  return Out;
}

} // namespace

void benchReclaim(int Seeds) {
  for (const bool WholeDataCentre : {false, true}) {
    const std::string Name =
        WholeDataCentre ? "reclaim_centre" : "reclaim_half";
    const auto ResumeMedians =
        runSeeds(Name + "_resume", Seeds,
                 [&](std::uint64_t Seed) {
                   return runOnce(Seed, false, WholeDataCentre);
                 },
                 {"answered"});
    runSeeds(Name + "_restart", Seeds,
             [&](std::uint64_t Seed) {
               return runOnce(Seed, true, WholeDataCentre);
             },
             {"answered"});
    printTargetResult(Name + "_answered", ResumeMedians.at("answered"), 1,
                      false);
    printTargetResult(Name + "_wrong", ResumeMedians.at("wrong"), 0, true);
    printTargetResult(Name + "_first_token_ms_p95_after",
                      ResumeMedians.at("first_token_ms_p95_after"), 860, true);
  }
}

} // namespace endivewharf::bench
