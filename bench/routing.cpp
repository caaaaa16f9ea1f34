// Compares the cost-based routing policy with four baselines by prompt tokens
// recomputed, latency and cost.
#include "benches.h"
#include "router.h"

#include <chrono>
#include <fmt/format.h>

namespace endivewharf::bench {

namespace {

using namespace fakes;

constexpr double FirstTokenTargetMs = 860; // required by the users at p95
constexpr int TokensPerBlock = 64;
constexpr Millis WarmUpTime = 8000;
constexpr Millis RunTime = 20000;

/// Requests of one operator: part of them begin with a long prefix that many
/// requests share, and all end with a short question.
struct Workload {
  int SharedPrefixCount_ = 20;
  int SharedPrefixBlocks_ = 24;
  double SharedPrefixFraction_ = 0.6; ///< Fraction with a shared prefix.
  double RequestsPerSecond_ = 200;
  int TokensPerRequest_ = 24;
  double BatchFraction_ = 0;
};

struct RoutingResult {
  double PromptTokensComputed_ = 0;
  double PromptTokensRequested_ = 0;
  /// Prompt tokens to compute if each distinct prefix is computed only once.
  double MinPromptTokens_ = 0;
  double FirstTokenP95Ms_ = 0;
  double TokensGenerated_ = 0;
  double AnsweredRequests_ = 0;
  double PricePerHour_ = 0; ///< Price of all engines.
};

/// @return text of a number of blocks of 256 bytes
std::string makeSharedPrefix(int Number, int Blocks) {
  std::string Text;
  while (Text.size() < static_cast<std::size_t>(Blocks) * 256)
    Text += fmt::format("lot {} red offcut {} ", Number, Text.size());
  Text.resize(static_cast<std::size_t>(Blocks) * 256);
  return Text;
}

/// @param Seed seed of the run
/// @param Policy routing policy of all entry processes
/// @param EngineCount number of engines
/// @param OfferedWorkload interactive requests
/// @param BatchRequestsPerSecond batch requests that are sent besides
RoutingResult runOnce(std::uint64_t Seed, const RoutePolicy &Policy,
                      int EngineCount, const Workload &OfferedWorkload,
                      double BatchRequestsPerSecond = 0) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  Options.ProbeAnswerDelay_ = 2000;
  World W(Options);
  RoutingResult Result;
  for (int I = 0; I < EngineCount; ++I) {
    EngineParameters Parameters;
    Parameters.CacheBlocks_ = 200;
    // Every third engine is an on-demand host: three times the price, faster.
    const bool OnDemand = I % 3 == 2;
    Parameters.MsPerToken_ = OnDemand ? 9 : 11;
    const double Price = OnDemand ? 3 : 1;
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}},
                Parameters, Price);
    Result.PricePerHour_ += Price;
  }
  W.publishConfig(exampleConfig({"m"}));
  for (int I = 0; I < W.entryCount(); ++I)
    W.state(I).RoutePolicy_ = Policy;
  W.runFor(WarmUpTime);
  std::vector<std::string> SharedPrefixes;
  for (int I = 0; I < OfferedWorkload.SharedPrefixCount_; ++I)
    SharedPrefixes.push_back(
        makeSharedPrefix(I, OfferedWorkload.SharedPrefixBlocks_));
  std::mt19937_64 Random(Seed * 977);
  std::exponential_distribution<double> ArrivalGapMs(
      (OfferedWorkload.RequestsPerSecond_ + BatchRequestsPerSecond) / 1000);
  std::uniform_real_distribution<double> UniformFraction(0, 1);
  double NextArrivalMs = static_cast<double>(W.now());
  const double EndMs = NextArrivalMs + RunTime;
  int Number = 0;
  std::set<int> SeenPrefixes;
  while (NextArrivalMs < EndMs) {
    NextArrivalMs += ArrivalGapMs(Random);
    if (NextArrivalMs > static_cast<double>(W.now()))
      W.runFor(static_cast<Millis>(NextArrivalMs) - W.now());
    const bool IsBatch =
        UniformFraction(Random) <
        BatchRequestsPerSecond /
            (OfferedWorkload.RequestsPerSecond_ + BatchRequestsPerSecond);
    const bool HasSharedPrefix =
        IsBatch ||
        UniformFraction(Random) < OfferedWorkload.SharedPrefixFraction_;
    const int PrefixIndex = static_cast<int>(Random() % SharedPrefixes.size());
    std::string Prompt =
        (HasSharedPrefix ? SharedPrefixes[static_cast<std::size_t>(PrefixIndex)]
                         : "") +
        fmt::format("question {} about offcuts", Number);
    Prompt.resize(Prompt.size() + 256,
                  '.'); // adds a block that no other prompt shares
    if (HasSharedPrefix && SeenPrefixes.insert(PrefixIndex).second)
      Result.MinPromptTokens_ +=
          OfferedWorkload.SharedPrefixBlocks_ * TokensPerBlock;
    Result.MinPromptTokens_ += TokensPerBlock;
    CallRequest Request = World::makeCompletionRequest(
        fmt::format("k{}", Number % 5), "m", std::move(Prompt),
        OfferedWorkload.TokensPerRequest_);
    if (IsBatch)
      Request.Priority_ = Priority::Batch;
    W.sendRequest(Number++ % 4, std::move(Request));
  }
  W.runFor(8000);
  std::vector<double> FirstTokenMs;
  for (const Outcome &O : W.outcomes()) {
    Result.AnsweredRequests_ += O.Answered_ ? 1 : 0;
    Result.TokensGenerated_ += static_cast<double>(O.TokensReceived_);
    if (O.Request_.Priority_ == Priority::Interactive)
      FirstTokenMs.push_back(
          O.FirstTokenAt_ < 0
              ? 1e6
              : static_cast<double>(O.FirstTokenAt_ - O.SentAt_));
  }
  for (const FakeEngine &E : W.Engines_) {
    Result.PromptTokensComputed_ +=
        static_cast<double>(E.BlocksComputed_) * TokensPerBlock;
    Result.PromptTokensRequested_ +=
        static_cast<double>(E.BlocksRequested_) * TokensPerBlock;
  }
  Result.FirstTokenP95Ms_ = quantile(FirstTokenMs, 0.95);
  return Result;
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

/// @return price of 1,000 tokens with the fewest engines that meet the latency
/// target, or 1e6 if 36 engines do not meet it
double costAtTarget(std::uint64_t Seed, const RoutePolicy &Policy,
                    const Workload &OfferedWorkload) {
  for (int EngineCount = 3; EngineCount <= 36; EngineCount += 1) {
    const RoutingResult Result =
        runOnce(Seed, Policy, EngineCount, OfferedWorkload);
    if (Result.FirstTokenP95Ms_ <= FirstTokenTargetMs)
      return Result.PricePerHour_ * RunTime / 3600000 /
             (Result.TokensGenerated_ / 1000);
  }
  return 1e6;
}

/// @return median time of one routing decision, in microseconds
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
  constexpr int RoundCount = 20000;
  std::vector<double> Durations;
  for (int I = 0; I < RoundCount; ++I) {
    const auto Begin = std::chrono::steady_clock::now();
    const int UpstreamIndex = pickUpstream(S, C, "v1");
    const auto End = std::chrono::steady_clock::now();
    Durations.push_back(
        std::chrono::duration<double, std::micro>(End - Begin).count());
    if (I % 100 == 0)
      recordPrefixHolder(S, C.PrefixHashes_, UpstreamIndex);
  }
  return quantile(Durations, 0.5);
}

} // namespace

void benchRouting(int Seeds) {
  struct WorkloadCase {
    std::string Name_;
    int EngineCount_;
    Workload Workload_;
  };
  Workload ChhatriWorkload;
  ChhatriWorkload.SharedPrefixCount_ = 12;
  ChhatriWorkload.SharedPrefixBlocks_ = 8;
  ChhatriWorkload.SharedPrefixFraction_ = 0.5;
  ChhatriWorkload.RequestsPerSecond_ = 300;
  ChhatriWorkload.TokensPerRequest_ = 16;
  for (const WorkloadCase &Case :
       {WorkloadCase{"kostkovna", 10, {}},
        WorkloadCase{"chhatri", 12, ChhatriWorkload}}) {
    std::map<std::string, std::map<std::string, double>> MediansByPolicy;
    for (const auto &Row : policies()) {
      const std::string &Name = Row.first;
      const RoutePolicy &Policy = Row.second;
      MediansByPolicy[Name] = runSeeds(
          fmt::format("routing_{}_{}", Case.Name_, Name), Seeds,
          [&](std::uint64_t Seed) {
            const RoutingResult Result =
                runOnce(Seed, Policy, Case.EngineCount_, Case.Workload_);
            Figures Out;
            Out.add("tokens_computed", Result.PromptTokensComputed_);
            Out.add("computed_over_ideal",
                    Result.PromptTokensComputed_ / Result.MinPromptTokens_);
            Out.add("first_token_ms_p95", Result.FirstTokenP95Ms_);
            Out.add("answered", Result.AnsweredRequests_);
            Out.add("cost_per_1000_tokens",
                    costAtTarget(Seed, Policy, Case.Workload_));
            return Out;
          });
    }
    double BestBaselineCost = 1e9;
    for (const auto &[Name, Medians] : MediansByPolicy)
      if (Name != "cost")
        BestBaselineCost =
            std::min(BestBaselineCost, Medians.at("cost_per_1000_tokens"));
    printTargetResult(Case.Name_ + "_computed_against_least_in_flight",
                      MediansByPolicy["cost"]["tokens_computed"] /
                          MediansByPolicy["least_in_flight"]["tokens_computed"],
                      0.5, true);
    printTargetResult(Case.Name_ + "_computed_over_ideal",
                      MediansByPolicy["cost"]["computed_over_ideal"], 1.2,
                      true);
    printTargetResult(Case.Name_ + "_cost_against_best_baseline",
                      MediansByPolicy["cost"]["cost_per_1000_tokens"] /
                          BestBaselineCost,
                      0.8, true);
    const auto BatchMedians = runSeeds(
        "routing_" + Case.Name_ + "_batch", Seeds, [&](std::uint64_t Seed) {
          Workload HalfRateWorkload = Case.Workload_;
          HalfRateWorkload.RequestsPerSecond_ /= 2;
          const double P95Alone =
              runOnce(Seed, CostPolicy{}, Case.EngineCount_, HalfRateWorkload)
                  .FirstTokenP95Ms_;
          const double P95WithBatch =
              runOnce(Seed, CostPolicy{}, Case.EngineCount_, HalfRateWorkload,
                      200)
                  .FirstTokenP95Ms_;
          Figures Out;
          Out.add("interactive_p95_alone", P95Alone);
          Out.add("interactive_p95_with_batch", P95WithBatch);
          Out.add("ratio", P95WithBatch / P95Alone);
          return Out;
        });
    printTargetResult(Case.Name_ + "_interactive_with_batch",
                      BatchMedians.at("ratio"), 1.2, true);
  }
  for (const int Upstreams : {12, 120, 840})
    fmt::print("routing_decision_us_p50_{}={:.3f}\n", Upstreams,
               decisionMicros(Upstreams));
  printTargetResult("decision_us_840", decisionMicros(840), 5, true);
}

} // namespace endivewharf::bench
