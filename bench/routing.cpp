// Routing: tokens recomputed, latency and cost against four baselines.
#include "benches.h"
#include "router.h"

#include <chrono>
#include <fmt/format.h>

namespace endivewharf::bench {

namespace {

using namespace fakes;

constexpr double FirstTokenTarget = 860; // ms at p95, the letter's
constexpr int TokensPerBlock = 64;
constexpr Millis WarmUp = 8000;
constexpr Millis RunTime = 20000;

/// A workload in the firms' manner: long sheets that many requests share, and
/// short questions.
struct Workload {
  int Sheets_ = 20;
  int SheetBlocks_ = 24;
  double SheetShare_ = 0.6;
  double PerSecond_ = 200;
  int Tokens_ = 24;
  double BatchShare_ = 0;
};

struct Result {
  double TokensComputed_ = 0;
  double TokensAsked_ = 0;
  double TokensIdeal_ = 0; ///< Each distinct prefix once.
  double FirstTokenP95_ = 0;
  double TokensOut_ = 0;
  double Answered_ = 0;
  double Price_ = 0; ///< Per hour, all engines.
};

std::string makeSheet(int Number, int Blocks) {
  std::string Text;
  while (Text.size() < static_cast<std::size_t>(Blocks) * 256)
    Text += fmt::format("lot {} red offcut {} ", Number, Text.size());
  Text.resize(static_cast<std::size_t>(Blocks) * 256);
  return Text;
}

Result runOnce(std::uint64_t Seed, const RoutePolicy &Policy, int Engines,
               const Workload &Load, double BatchPerSecond = 0) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  Options.ReportLag_ = 2000;
  World W(Options);
  Result Sum;
  for (int I = 0; I < Engines; ++I) {
    EngineShape Shape;
    Shape.CacheBlocks_ = 200;
    // Every third one is an on-demand host, dearer and faster.
    const bool OnDemand = I % 3 == 2;
    Shape.TokenMs_ = OnDemand ? 9 : 11;
    const double Price = OnDemand ? 3 : 1;
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}}, Shape,
                Price);
    Sum.Price_ += Price;
  }
  W.publishConfig(exampleConfig({"m"}));
  for (int I = 0; I < W.entries(); ++I)
    W.state(I).Policy_ = Policy;
  W.run(WarmUp);
  std::vector<std::string> Sheets;
  for (int I = 0; I < Load.Sheets_; ++I)
    Sheets.push_back(makeSheet(I, Load.SheetBlocks_));
  std::mt19937_64 Random(Seed * 977);
  std::exponential_distribution<double> Gap((Load.PerSecond_ + BatchPerSecond) /
                                            1000);
  std::uniform_real_distribution<double> Chance(0, 1);
  double At = static_cast<double>(W.now());
  const double End = At + RunTime;
  int Number = 0;
  std::set<int> SheetsSeen;
  while (At < End) {
    At += Gap(Random);
    if (At > static_cast<double>(W.now()))
      W.run(static_cast<Millis>(At) - W.now());
    const bool Batch =
        Chance(Random) < BatchPerSecond / (Load.PerSecond_ + BatchPerSecond);
    const bool Sheet = Batch || Chance(Random) < Load.SheetShare_;
    const int Which = static_cast<int>(Random() % Sheets.size());
    std::string Prompt =
        (Sheet ? Sheets[static_cast<std::size_t>(Which)] : "") +
        fmt::format("question {} about offcuts", Number);
    Prompt.resize(Prompt.size() + 256, '.'); // a block of its own
    if (Sheet && SheetsSeen.insert(Which).second)
      Sum.TokensIdeal_ += Load.SheetBlocks_ * TokensPerBlock;
    Sum.TokensIdeal_ += TokensPerBlock;
    CallRequest Request = World::completion(fmt::format("k{}", Number % 5), "m",
                                            std::move(Prompt), Load.Tokens_);
    if (Batch)
      Request.Priority_ = Priority::Batch;
    W.send(Number++ % 4, std::move(Request));
  }
  W.run(8000);
  std::vector<double> FirstToken;
  for (const Outcome &O : W.outcomes()) {
    Sum.Answered_ += O.Answered_ ? 1 : 0;
    Sum.TokensOut_ += static_cast<double>(O.Tokens_);
    if (O.Request_.Priority_ == Priority::Interactive)
      FirstToken.push_back(
          O.FirstTokenAt_ < 0
              ? 1e6
              : static_cast<double>(O.FirstTokenAt_ - O.SentAt_));
  }
  for (const FakeEngine &E : W.Engines_) {
    Sum.TokensComputed_ +=
        static_cast<double>(E.BlocksComputed_) * TokensPerBlock;
    Sum.TokensAsked_ += static_cast<double>(E.BlocksAsked_) * TokensPerBlock;
  }
  Sum.FirstTokenP95_ = quantile(FirstToken, 0.95);
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
    const Result R = runOnce(Seed, Policy, Engines, Load);
    if (R.FirstTokenP95_ <= FirstTokenTarget)
      return R.Price_ * RunTime / 3600000 / (R.TokensOut_ / 1000);
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
  C.Blocks_ = prefixBlocks(makeSheet(1, 24));
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
      rememberPrefix(S, C.Blocks_, Index);
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
  Quotes.Sheets_ = 12;
  Quotes.SheetBlocks_ = 8;
  Quotes.SheetShare_ = 0.5;
  Quotes.PerSecond_ = 300;
  Quotes.Tokens_ = 16;
  for (const Firm &F :
       {Firm{"kostkovna", 10, {}}, Firm{"chhatri", 12, Quotes}}) {
    std::map<std::string, std::map<std::string, double>> By;
    for (const auto &Row : policies()) {
      const std::string &Name = Row.first;
      const RoutePolicy &Policy = Row.second;
      By[Name] = report(
          fmt::format("routing_{}_{}", F.Name_, Name), Seeds,
          [&](std::uint64_t Seed) {
            const Result R = runOnce(Seed, Policy, F.Engines_, F.Load_);
            Figures Out;
            Out.add("tokens_computed", R.TokensComputed_);
            Out.add("computed_over_ideal", R.TokensComputed_ / R.TokensIdeal_);
            Out.add("first_token_ms_p95", R.FirstTokenP95_);
            Out.add("answered", R.Answered_);
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
    judgeTarget(F.Name_ + "_computed_against_least_in_flight",
                By["cost"]["tokens_computed"] /
                    By["least_in_flight"]["tokens_computed"],
                0.5, true);
    judgeTarget(F.Name_ + "_computed_over_ideal",
                By["cost"]["computed_over_ideal"], 1.2, true);
    judgeTarget(F.Name_ + "_cost_against_best_baseline",
                By["cost"]["cost_per_1000_tokens"] / BestBaselineCost, 0.8,
                true);
    const auto Batch =
        report("routing_" + F.Name_ + "_batch", Seeds, [&](std::uint64_t Seed) {
          Workload Half = F.Load_;
          Half.PerSecond_ /= 2;
          const double Alone =
              runOnce(Seed, CostPolicy{}, F.Engines_, Half).FirstTokenP95_;
          const double With =
              runOnce(Seed, CostPolicy{}, F.Engines_, Half, 200).FirstTokenP95_;
          Figures Out;
          Out.add("interactive_p95_alone", Alone);
          Out.add("interactive_p95_with_batch", With);
          Out.add("ratio", With / Alone);
          return Out;
        });
    judgeTarget(F.Name_ + "_interactive_with_batch", Batch.at("ratio"), 1.2,
                true);
  }
  for (const int Upstreams : {12, 120, 840})
    fmt::print("routing_decision_us_p50_{}={:.3f}\n", Upstreams,
               decisionMicros(Upstreams));
  judgeTarget("decision_us_840", decisionMicros(840), 5, true);
}

} // namespace endivewharf::bench
