// Limits, fairness and retries from 0.5 to 4 times capacity.
#include "benches.h"

#include <fmt/format.h>

namespace endivewharf::bench {

namespace {

using namespace fakes;

constexpr Millis WarmUpTime = 8000;
constexpr Millis RunTime = 15000;
constexpr int EngineCount = 9;
constexpr int TokensPerRequest = 30;
constexpr Millis RequestTimeLimit = 5000;

struct OverloadResult {
  double GoodputPerSecond_ = 0; ///< Answers in time per second.
  double RefusalMsP99_ = 0;
  double AttemptsPerRequest_ = 0;
  double AcceptedOnReturnShare_ = 0; ///< Of callers who came back as told.
  double SmallAccountAnsweredShare_ = 0;
  double BatchShare_ = 0;
  double AcceptedButLate_ = 0; ///< Accepted, but not answered in time.
  double LateBatch_ = 0;
  double LateInteractive_ = 0;
};

OverloadResult runOnce(std::uint64_t Seed, double PerSecond, bool Flood,
                       bool LoseHalf) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  World W(Options);
  for (int I = 0; I < EngineCount; ++I)
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}});
  W.publishConfig(exampleConfig({"m"}));
  W.runFor(WarmUpTime);
  std::mt19937_64 Random(Seed * 31);
  std::exponential_distribution<double> Gap(PerSecond / 1000);
  std::map<std::size_t, bool> CameBack;
  const Millis Begin = W.now();
  const Millis End = Begin + RunTime;
  std::int64_t Returned = 0;
  std::int64_t ReturnedTaken = 0;
  W.OnOutcomeEnded_ = [&](std::size_t Which) {
    const Outcome &O = W.outcome(Which);
    const bool Told = O.Error_.RetryAfter_ > 0 && !O.Answered_;
    if (CameBack.count(Which) > 0) {
      ++Returned;
      ReturnedTaken += Told && O.Error_.Kind_ == ErrorKind::Overloaded ? 0 : 1;
      return;
    }
    // One refused caller in ten obeys Retry-After, so that the load stays what
    // the bench says it is.
    if (Told && Which % 10 == 0 && W.now() + O.Error_.RetryAfter_ < End) {
      CallRequest Again = O.Request_;
      Again.RequestId_.clear();
      const int Entry = O.Entry_;
      W.scheduleAt(W.now() + O.Error_.RetryAfter_,
                   [&W, &CameBack, Again, Entry] {
                     const std::size_t Next = W.outcomes().size();
                     CameBack[Next] = true;
                     W.sendRequest(Entry, Again);
                   });
    }
  };
  double At = static_cast<double>(Begin);
  int Number = 0;
  bool Lost = false;
  while (W.now() < End) {
    At += Gap(Random);
    if (At > static_cast<double>(W.now()))
      W.runFor(static_cast<Millis>(At) - W.now());
    if (LoseHalf && !Lost && W.now() > Begin + RunTime / 3) {
      Lost = true;
      for (int I = 0; I < EngineCount; I += 2)
        W.killEngine(I);
    }
    // With a flood, account k0 sends as much as all others could use.
    const auto Among = [&](int Count) {
      return static_cast<int>(Random() % static_cast<std::uint64_t>(Count));
    };
    const bool Flooding = Flood && Among(10) < 8;
    const int Account = Flooding ? 0 : Flood ? 1 + Among(4) : Among(5);
    CallRequest Request = World::makeCompletionRequest(
        fmt::format("k{}", Account), "m", fmt::format("q{}", Number),
        TokensPerRequest);
    Request.TimeLimit_ = RequestTimeLimit;
    if (Random() % 4 == 0)
      Request.Priority_ = Priority::Batch;
    W.sendRequest(Number++ % 4, std::move(Request));
  }
  W.runFor(RequestTimeLimit + 3000);
  OverloadResult R;
  std::vector<double> Refusals;
  double SmallSent = 0;
  double SmallDone = 0;
  double Batch = 0;
  double All = 0;
  for (const Outcome &O : W.outcomes()) {
    const bool Small = O.Request_.ApiKey_ != "k0";
    SmallSent += Small ? 1 : 0;
    SmallDone += Small && O.Answered_ ? 1 : 0;
    All += O.Answered_ ? 1 : 0;
    Batch += O.Answered_ && O.Request_.Priority_ == Priority::Batch ? 1 : 0;
    if (O.Error_.Kind_ == ErrorKind::Overloaded ||
        O.Error_.Kind_ == ErrorKind::OverLimit)
      Refusals.push_back(static_cast<double>(O.EndedAt_ - O.SentAt_));
    if (O.Error_.Kind_ == ErrorKind::TimeLimitExceeded)
      (O.Request_.Priority_ == Priority::Batch ? R.LateBatch_
                                               : R.LateInteractive_) += 1;
    R.AcceptedButLate_ += O.Error_.Kind_ == ErrorKind::TimeLimitExceeded ||
                                  O.Error_.Kind_ == ErrorKind::UpstreamFailed
                              ? 1
                              : 0;
  }
  std::int64_t Attempts = 0;
  std::int64_t Accepted = 0;
  for (int I = 0; I < W.entryCount(); ++I) {
    auto &Values = W.state(I).Counters_.Values_;
    Attempts += Values["attempts"];
    Accepted += Values["requests"] - Values["refused"];
  }
  R.GoodputPerSecond_ = All * 1000 / RunTime;
  R.RefusalMsP99_ = quantile(Refusals, 0.99);
  R.AttemptsPerRequest_ =
      static_cast<double>(Attempts) /
      std::max(1.0, static_cast<double>(Accepted) + R.AcceptedButLate_);
  R.AcceptedOnReturnShare_ =
      Returned == 0
          ? 1
          : static_cast<double>(ReturnedTaken) / static_cast<double>(Returned);
  R.SmallAccountAnsweredShare_ = SmallSent == 0 ? 1 : SmallDone / SmallSent;
  R.BatchShare_ = All == 0 ? 0 : Batch / All;
  R.AcceptedButLate_ /= static_cast<double>(W.outcomes().size());
  return R;
}

} // namespace

void benchOverload(int Seeds) {
  // What the engines can do: slots over the time of one answer at full load.
  const double Capacity = EngineCount * 8 * 1000.0 / (TokensPerRequest * 10.5);
  fmt::print("overload_capacity_per_second={:.1f}\n", Capacity);
  std::map<double, double> Goodput;
  double Peak = 0;
  for (const double Times : {0.5, 1.0, 1.5, 2.0, 3.0, 4.0}) {
    const auto M =
        runSeeds(fmt::format("overload_x{}", Times), Seeds,
                 [&](std::uint64_t Seed) {
                   const OverloadResult R =
                       runOnce(Seed, Capacity * Times, false, false);
                   Figures Out;
                   Out.add("goodput", R.GoodputPerSecond_);
                   Out.add("refusal_ms_p99", R.RefusalMsP99_);
                   Out.add("attempts_per_request", R.AttemptsPerRequest_);
                   Out.add("retry_after_right", R.AcceptedOnReturnShare_);
                   Out.add("batch_share", R.BatchShare_);
                   Out.add("accepted_but_late", R.AcceptedButLate_);
                   Out.add("late_batch", R.LateBatch_);
                   Out.add("late_interactive", R.LateInteractive_);
                   return Out;
                 },
                 {"goodput", "retry_after_right", "batch_share"});
    Goodput[Times] = M.at("goodput");
    Peak = std::max(Peak, Goodput[Times]);
    if (Times >= 2) {
      printTargetResult(fmt::format("x{}_retry_after_right", Times),
                        M.at("retry_after_right"), 0.9, false);
      printTargetResult(fmt::format("x{}_accepted_but_late", Times),
                        M.at("accepted_but_late"), 0, true);
    }
    printTargetResult(fmt::format("x{}_attempts_per_request", Times),
                      M.at("attempts_per_request"), 1.1, true);
    printTargetResult(fmt::format("x{}_refusal_ms_p99", Times),
                      M.at("refusal_ms_p99"), 10, true);
  }
  for (const double Times : {2.0, 3.0, 4.0})
    printTargetResult(fmt::format("x{}_goodput_of_peak", Times),
                      Goodput[Times] / Peak, 0.9, false);
  const auto Flood =
      runSeeds("overload_flood_x3", Seeds,
               [&](std::uint64_t Seed) {
                 const OverloadResult R =
                     runOnce(Seed, Capacity * 3, true, false);
                 Figures Out;
                 Out.add("small_accounts_served", R.SmallAccountAnsweredShare_);
                 return Out;
               },
               {"small_accounts_served"});
  printTargetResult("flood_small_accounts_served",
                    Flood.at("small_accounts_served"), 0.9, false);
  const auto Lost =
      runSeeds("overload_half_lost", Seeds,
               [&](std::uint64_t Seed) {
                 const OverloadResult R = runOnce(Seed, Capacity, false, true);
                 Figures Out;
                 Out.add("goodput", R.GoodputPerSecond_);
                 Out.add("attempts_per_request", R.AttemptsPerRequest_);
                 Out.add("accepted_but_late", R.AcceptedButLate_);
                 return Out;
               },
               {"goodput"});
  printTargetResult("half_lost_attempts_per_request",
                    Lost.at("attempts_per_request"), 1.1, true);
}

} // namespace endivewharf::bench
