// Routing: tokens recomputed, latency and cost against four baselines.
#include "benches.h"
#include "router.h"

#include <chrono>
#include <fmt/format.h>

namespace endivewharf::bench {

namespace {

using namespace fakes;

constexpr double FirstTokenTargetMs = 860; // ms at p95, the letter's
constexpr int TokensPerBlock = 64;
constexpr Millis WarmUpTime = 8000;
constexpr Millis RunTime = 20000;

/// A workload in the firms' manner: long sheets that many requests share, and
/// short questions.
struct Workload {
  int SharedPrefixCount_ = 20;
  int SharedPrefixBlocks_ = 24;
  double SharedPrefixShare_ = 0.6;
  double RequestsPerSecond_ = 200;
  int TokensPerRequest_ = 24;
  double BatchShare_ = 0;
};

struct RoutingResult {
  double PromptTokensComputed_ = 0;
  double PromptTokensRequested_ = 0;
  double MinPromptTokens_ = 0; ///< Each distinct prefix once.
  double FirstTokenP95Ms_ = 0;
  double TokensGenerated_ = 0;
  double AnsweredRequests_ = 0;
  double PricePerHour_ = 0; ///< Per hour, all engines.
};

std::string makeSharedPrefix(int Number, int Blocks) {
  std::string Text;
  while (Text.size() < static_cast<std::size_t>(Blocks) * 256)
    Text += fmt::format("lot {} red offcut {} ", Number, Text.size());
  Text.resize(static_cast<std::size_t>(Blocks) * 256);
  return Text;
}

RoutingResult runOnce(std::uint64_t Seed, const RoutePolicy &Policy,
                      int Engines, const Workload &Load,
                      double BatchPerSecond = 0) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  Options.ProbeAnswerDelay_ = 2000;
  World W(Options);
  RoutingResult Sum;
  for (int I = 0; I < Engines; ++I) {
    EngineParameters Shape;
    Shape.CacheBlocks_ = 200;
    // Every third one is an on-demand host, dearer and faster.
    const bool OnDemand = I % 3 == 2;
    Shape.MsPerToken_ = OnDemand ? 9 : 11;
    const double Price = OnDemand ? 3 : 1;
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}}, Shape,
                Price);
    Sum.PricePerHour_ += Price;
  }
  W.publishConfig(exampleConfig({"m"}));
  for (int I = 0; I < W.entryCount(); ++I)
    W.state(I).RoutePolicy_ = Policy;
  W.runFor(WarmUpTime);
  std::vector<std::string> Sheets;
  for (int I = 0; I < Load.SharedPrefixCount_; ++I)
    Sheets.push_back(makeSharedPrefix(I, Load.SharedPrefixBlocks_));
  std::mt19937_64 Random(Seed * 977);
  std::exponential_distribution<double> Gap(
      (Load.RequestsPerSecond_ + BatchPerSecond) / 1000);
  std::uniform_real_distribution<double> Chance(0, 1);
  double At = static_cast<double>(W.now());
  const double End = At + RunTime;
  int Number = 0;
  std::set<int> SheetsSeen;
  while (At < End) {
    At += Gap(Random);
    if (At > static_cast<double>(W.now()))
      W.runFor(static_cast<Millis>(At) - W.now());
    const bool Batch =
        Chance(Random) <
        BatchPerSecond / (Load.RequestsPerSecond_ + BatchPerSecond);
    const bool Sheet = Batch || Chance(Random) < Load.SharedPrefixShare_;
    const int Which = static_cast<int>(Random() % Sheets.size());
    std::string Prompt =
        (Sheet ? Sheets[static_cast<std::size_t>(Which)] : "") +
        fmt::format("question {} about offcuts", Number);
    Prompt.resize(Prompt.size() + 256, '.'); // a block of its own
    if (Sheet && SheetsSeen.insert(Which).second)
      Sum.MinPromptTokens_ += Load.SharedPrefixBlocks_ * TokensPerBlock;
    Sum.MinPromptTokens_ += TokensPerBlock;
    CallRequest Request =
        World::makeCompletionRequest(fmt::format("k{}", Number % 5), "m",
                                     std::move(Prompt), Load.TokensPerRequest_);
    if (Batch)
      Request.Priority_ = Priority::Batch;
    W.sendRequest(Number++ % 4, std::move(Request));
  }
  W.runFor(8000);
  std::vector<double> FirstToken;
  for (const Outcome &O : W.outcomes()) {
    Sum.AnsweredRequests_ += O.Answered_ ? 1 : 0;
    Sum.TokensGenerated_ += static_cast<double>(O.TokensReceived_);
    if (O.Request_.Priority_ == Priority::Interactive)
      FirstToken.push_back(
          O.FirstTokenAt_ < 0
              ? 1e6
              : static_cast<double>(O.FirstTokenAt_ - O.SentAt_));
  }
  for (const FakeEngine &E : W.Engines_) {
    Sum.PromptTokensComputed_ +=
        static_cast<double>(E.BlocksComputed_) * TokensPerBlock;
    Sum.PromptTokensRequested_ +=
        static_cast<double>(E.BlocksRequested_) * TokensPerBlock;
  }
  Sum.FirstTokenP95Ms_ = quantile(FirstToken, 0.95);
  return Sum;
}

const std::vector<std::pair<std::string, RoutePolicy>> &policies() {
  static const std::vector<std::pair<std::string, RoutePolicy>> All = {
      {"cost", CostPolicy{}},
      {"round_robin", RoundRobinPolicy{}},
      {"least_in_flight", LeastInFlightPolicy{}},
      {"two_choices", TwoChoicesPolicy{}},
      {"prefix_hash", PrefixHashPolicy{}}};
  return All;
}

/// Price of 1,000 tokens with the fewest engines that meet the latency target.
double costAtTarget(std::uint64_t Seed, const RoutePolicy &Policy,
                    const Workload &Load) {
  for (int Engines = 3; Engines <= 36; Engines += 1) {
    const RoutingResult R = runOnce(Seed, Policy, Engines, Load);
    if (R.FirstTokenP95Ms_ <= FirstTokenTargetMs)
      return R.PricePerHour_ * RunTime / 3600000 / (R.TokensGenerated_ / 1000);
  }
  return 1e6;
}

/// Time of one decision with many upstreams.
double decisionMicros(int Upstreams) {
  State S = makeState({}, 1);
  S.Settings_.DataCentre_ = "dc0";
  for (int I = 0; I < Upstreams; ++I) {
    Upstream U;
    U.Row_.Host_ = {fmt::format("u{}", I), 1};
    U.Row_.DataCentre_ = fmt::format("dc{}", I % 7);
    U.Loaded_ = {{"m", "v1"}};
    S.Upstreams_.push_back(U);
  }
  Call C;
  C.Request_.Model_ = "m";
  C.PrefixHashes_ = prefixHashes(makeSharedPrefix(1, 24));
  pickUpstream(S, C, "v1");
  constexpr int Rounds = 20000;
  std::vector<double> Times;
  for (int I = 0; I < Rounds; ++I) {
    const auto Begin = std::chrono::steady_clock::now();
    const int Index = pickUpstream(S, C, "v1");
    const auto End = std::chrono::steady_clock::now();
    Times.push_back(
        std::chrono::duration<double, std::micro>(End - Begin).count());
    if (I % 100 == 0)
      recordPrefixHolder(S, C.PrefixHashes_, Index);
  }
  return quantile(Times, 0.5);
}

} // namespace

void benchRouting(int Seeds) {
  struct Firm {
    std::string Name_;
    int Engines_;
    Workload Load_;
  };
  Workload Quotes;
  Quotes.SharedPrefixCount_ = 12;
  Quotes.SharedPrefixBlocks_ = 8;
  Quotes.SharedPrefixShare_ = 0.5;
  Quotes.RequestsPerSecond_ = 300;
  Quotes.TokensPerRequest_ = 16;
  for (const Firm &F :
       {Firm{"kostkovna", 10, {}}, Firm{"chhatri", 12, Quotes}}) {
    std::map<std::string, std::map<std::string, double>> By;
    for (const auto &Row : policies()) {
      const std::string &Name = Row.first;
      const RoutePolicy &Policy = Row.second;
      By[Name] =
          runSeeds(fmt::format("routing_{}_{}", F.Name_, Name), Seeds,
                   [&](std::uint64_t Seed) {
                     const RoutingResult R =
                         runOnce(Seed, Policy, F.Engines_, F.Load_);
                     Figures Out;
                     Out.add("tokens_computed", R.PromptTokensComputed_);
                     Out.add("computed_over_ideal",
                             R.PromptTokensComputed_ / R.MinPromptTokens_);
                     Out.add("first_token_ms_p95", R.FirstTokenP95Ms_);
                     Out.add("answered", R.AnsweredRequests_);
                     Out.add("cost_per_1000_tokens",
                             costAtTarget(Seed, Policy, F.Load_));
                     return Out;
                   });
    }
    double BestBaselineCost = 1e9;
    for (const auto &[Name, Medians] : By)
      if (Name != "cost")
        BestBaselineCost =
            std::min(BestBaselineCost, Medians.at("cost_per_1000_tokens"));
    printTargetResult(F.Name_ + "_computed_against_least_in_flight",
                      By["cost"]["tokens_computed"] /
                          By["least_in_flight"]["tokens_computed"],
                      0.5, true);
    printTargetResult(F.Name_ + "_computed_over_ideal",
                      By["cost"]["computed_over_ideal"], 1.2, true);
    printTargetResult(F.Name_ + "_cost_against_best_baseline",
                      By["cost"]["cost_per_1000_tokens"] / BestBaselineCost,
                      0.8, true);
    const auto Batch = runSeeds(
        "routing_" + F.Name_ + "_batch", Seeds, [&](std::uint64_t Seed) {
          Workload Half = F.Load_;
          Half.RequestsPerSecond_ /= 2;
          const double Alone =
              runOnce(Seed, CostPolicy{}, F.Engines_, Half).FirstTokenP95Ms_;
          const double With = runOnce(Seed, CostPolicy{}, F.Engines_, Half, 200)
                                  .FirstTokenP95Ms_;
          Figures Out;
          Out.add("interactive_p95_alone", Alone);
          Out.add("interactive_p95_with_batch", With);
          Out.add("ratio", With / Alone);
          return Out;
        });
    printTargetResult(F.Name_ + "_interactive_with_batch", Batch.at("ratio"),
                      1.2, true);
  }
  for (const int Upstreams : {12, 120, 840})
    fmt::print("routing_decision_us_p50_{}={:.3f}\n", Upstreams,
               decisionMicros(Upstreams));
  printTargetResult("decision_us_840", decisionMicros(840), 5, true);
}

} // namespace endivewharf::bench
