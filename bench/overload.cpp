// Admission limits, fairness between accounts and retries at 0.5 to 4 times the
// engines' capacity.
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
  double GoodputPerSecond_ = 0;   ///< Requests answered in time per second.
  double RefusalMsP99_ = 0;       ///< Time from request to refusal.
  double AttemptsPerRequest_ = 0; ///< Attempts per accepted request.
  /// Fraction of the callers who obey Retry-After that are then accepted.
  double AcceptedRetryFraction_ = 0;
  /// Fraction of the requests answered, all accounts but k0.
  double SmallAccountAnsweredFraction_ = 0;
  double BatchFraction_ = 0; ///< Fraction of batch requests among the answers.
  /// Fraction of all requests that were accepted but not answered in time.
  double UnansweredAcceptedFraction_ = 0;
  double LateBatch_ = 0;       ///< Batch requests that ran out of time.
  double LateInteractive_ = 0; ///< Interactive requests that ran out of time.
};

/// @param Seed seed of the run
/// @param RequestsPerSecond offered requests
/// @param FloodFromOneAccount true if account k0 sends 80% of the requests
/// @param KillHalfOfEngines true if every second engine dies after a third of
/// the run
OverloadResult runOnce(std::uint64_t Seed, double RequestsPerSecond,
                       bool FloodFromOneAccount, bool KillHalfOfEngines) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  World W(Options);
  for (int I = 0; I < EngineCount; ++I)
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}});
  W.publishConfig(exampleConfig({"m"}));
  W.runFor(WarmUpTime);
  std::mt19937_64 Random(Seed * 31);
  std::exponential_distribution<double> ArrivalGapMs(RequestsPerSecond / 1000);
  std::map<std::size_t, bool> RetriedOutcomes;
  const Millis StartAt = W.now();
  const Millis EndAt = StartAt + RunTime;
  std::int64_t RetryCount = 0;
  std::int64_t AcceptedRetryCount = 0;
  W.OnOutcomeEnded_ = [&](std::size_t OutcomeIndex) {
    const Outcome &O = W.outcome(OutcomeIndex);
    const bool HasRetryAfter = O.Error_.RetryAfter_ > 0 && !O.Answered_;
    if (RetriedOutcomes.count(OutcomeIndex) > 0) {
      ++RetryCount;
      AcceptedRetryCount +=
          HasRetryAfter && O.Error_.Kind_ == ErrorKind::Overloaded ? 0 : 1;
      return;
    }
    // Only one refused caller in ten obeys Retry-After, so that retries hardly
    // change the offered request rate.
    if (HasRetryAfter && OutcomeIndex % 10 == 0 &&
        W.now() + O.Error_.RetryAfter_ < EndAt) {
      CallRequest RetriedRequest = O.Request_;
      RetriedRequest.RequestId_.clear();
      const int Entry = O.Entry_;
      W.scheduleAt(W.now() + O.Error_.RetryAfter_,
                   [&W, &RetriedOutcomes, RetriedRequest, Entry] {
                     const std::size_t RetryOutcome = W.outcomes().size();
                     RetriedOutcomes[RetryOutcome] = true;
                     W.sendRequest(Entry, RetriedRequest);
                   });
    }
  };
  double NextArrivalMs = static_cast<double>(StartAt);
  int Number = 0;
  bool EnginesKilled = false;
  while (W.now() < EndAt) {
    NextArrivalMs += ArrivalGapMs(Random);
    if (NextArrivalMs > static_cast<double>(W.now()))
      W.runFor(static_cast<Millis>(NextArrivalMs) - W.now());
    if (KillHalfOfEngines && !EnginesKilled &&
        W.now() > StartAt + RunTime / 3) {
      EnginesKilled = true;
      for (int I = 0; I < EngineCount; I += 2)
        W.killEngine(I);
    }
    // In a flood, account k0 sends 80% of the requests, four times as many as
    // all other accounts together.
    const auto RandomBelow = [&](int Count) {
      return static_cast<int>(Random() % static_cast<std::uint64_t>(Count));
    };
    const bool IsFloodRequest = FloodFromOneAccount && RandomBelow(10) < 8;
    const int Account = IsFloodRequest        ? 0
                        : FloodFromOneAccount ? 1 + RandomBelow(4)
                                              : RandomBelow(5);
    CallRequest Request = World::makeCompletionRequest(
        fmt::format("k{}", Account), "m", fmt::format("q{}", Number),
        TokensPerRequest);
    Request.TimeLimit_ = RequestTimeLimit;
    if (Random() % 4 == 0)
      Request.Priority_ = Priority::Batch;
    W.sendRequest(Number++ % 4, std::move(Request));
  }
  W.runFor(RequestTimeLimit + 3000);
  OverloadResult Result;
  std::vector<double> RefusalDelaysMs;
  double SmallAccountRequests = 0;
  double SmallAccountAnswers = 0;
  double AnsweredBatchCount = 0;
  double AnsweredCount = 0;
  for (const Outcome &O : W.outcomes()) {
    const bool IsSmallAccount = O.Request_.ApiKey_ != "k0";
    SmallAccountRequests += IsSmallAccount ? 1 : 0;
    SmallAccountAnswers += IsSmallAccount && O.Answered_ ? 1 : 0;
    AnsweredCount += O.Answered_ ? 1 : 0;
    AnsweredBatchCount +=
        O.Answered_ && O.Request_.Priority_ == Priority::Batch ? 1 : 0;
    if (O.Error_.Kind_ == ErrorKind::Overloaded ||
        O.Error_.Kind_ == ErrorKind::OverLimit)
      RefusalDelaysMs.push_back(static_cast<double>(O.EndedAt_ - O.SentAt_));
    if (O.Error_.Kind_ == ErrorKind::TimeLimitExceeded)
      (O.Request_.Priority_ == Priority::Batch ? Result.LateBatch_
                                               : Result.LateInteractive_) += 1;
    Result.UnansweredAcceptedFraction_ +=
        O.Error_.Kind_ == ErrorKind::TimeLimitExceeded ||
                O.Error_.Kind_ == ErrorKind::UpstreamFailed
            ? 1
            : 0;
  }
  std::int64_t AttemptCount = 0;
  std::int64_t AcceptedCount = 0;
  for (int I = 0; I < W.entryCount(); ++I) {
    auto &Counters = W.state(I).Counters_.Values_;
    AttemptCount += Counters["attempts"];
    AcceptedCount += Counters["requests"] - Counters["refused"];
  }
  Result.GoodputPerSecond_ = AnsweredCount * 1000 / RunTime;
  Result.RefusalMsP99_ = quantile(RefusalDelaysMs, 0.99);
  Result.AttemptsPerRequest_ =
      static_cast<double>(AttemptCount) /
      std::max(1.0, static_cast<double>(AcceptedCount) +
                        Result.UnansweredAcceptedFraction_);
  Result.AcceptedRetryFraction_ =
      RetryCount == 0 ? 1
                      : static_cast<double>(AcceptedRetryCount) /
                            static_cast<double>(RetryCount);
  Result.SmallAccountAnsweredFraction_ =
      SmallAccountRequests == 0 ? 1
                                : SmallAccountAnswers / SmallAccountRequests;
  Result.BatchFraction_ =
      AnsweredCount == 0 ? 0 : AnsweredBatchCount / AnsweredCount;
  Result.UnansweredAcceptedFraction_ /=
      static_cast<double>(W.outcomes().size());
  return Result;
}

} // namespace

void benchOverload(int Seeds) {
  // Capacity of the engines: slots divided by the time of one answer with all
  // slots in use (10.5 ms per token on average).
  const double CapacityPerSecond =
      EngineCount * 8 * 1000.0 / (TokensPerRequest * 10.5);
  fmt::print("overload_capacity_per_second={:.1f}\n", CapacityPerSecond);
  std::map<double, double> GoodputByFactor;
  double PeakGoodput = 0;
  for (const double CapacityFactor : {0.5, 1.0, 1.5, 2.0, 3.0, 4.0}) {
    const auto Medians = runSeeds(
        fmt::format("overload_x{}", CapacityFactor), Seeds,
        [&](std::uint64_t Seed) {
          const OverloadResult Result =
              runOnce(Seed, CapacityPerSecond * CapacityFactor, false, false);
          Figures Out;
          Out.add("goodput", Result.GoodputPerSecond_);
          Out.add("refusal_ms_p99", Result.RefusalMsP99_);
          Out.add("attempts_per_request", Result.AttemptsPerRequest_);
          Out.add("retry_after_right", Result.AcceptedRetryFraction_);
          Out.add("batch_share", Result.BatchFraction_);
          Out.add("accepted_but_late", Result.UnansweredAcceptedFraction_);
          Out.add("late_batch", Result.LateBatch_);
          Out.add("late_interactive", Result.LateInteractive_);
          return Out;
        },
        {"goodput", "retry_after_right", "batch_share"});
    GoodputByFactor[CapacityFactor] = Medians.at("goodput");
    PeakGoodput = std::max(PeakGoodput, GoodputByFactor[CapacityFactor]);
    if (CapacityFactor >= 2) {
      printTargetResult(fmt::format("x{}_retry_after_right", CapacityFactor),
                        Medians.at("retry_after_right"), 0.9, false);
      printTargetResult(fmt::format("x{}_accepted_but_late", CapacityFactor),
                        Medians.at("accepted_but_late"), 0, true);
    }
    printTargetResult(fmt::format("x{}_attempts_per_request", CapacityFactor),
                      Medians.at("attempts_per_request"), 1.1, true);
    printTargetResult(fmt::format("x{}_refusal_ms_p99", CapacityFactor),
                      Medians.at("refusal_ms_p99"), 10, true);
  }
  for (const double CapacityFactor : {2.0, 3.0, 4.0})
    printTargetResult(fmt::format("x{}_goodput_of_peak", CapacityFactor),
                      GoodputByFactor[CapacityFactor] / PeakGoodput, 0.9,
                      false);
  const auto FloodMedians = runSeeds(
      "overload_flood_x3", Seeds,
      [&](std::uint64_t Seed) {
        const OverloadResult Result =
            runOnce(Seed, CapacityPerSecond * 3, true, false);
        Figures Out;
        Out.add("small_accounts_served", Result.SmallAccountAnsweredFraction_);
        return Out;
      },
      {"small_accounts_served"});
  printTargetResult("flood_small_accounts_served",
                    FloodMedians.at("small_accounts_served"), 0.9, false);
  const auto HalfLostMedians = runSeeds(
      "overload_half_lost", Seeds,
      [&](std::uint64_t Seed) {
        const OverloadResult Result =
            runOnce(Seed, CapacityPerSecond, false, true);
        Figures Out;
        Out.add("goodput", Result.GoodputPerSecond_);
        Out.add("attempts_per_request", Result.AttemptsPerRequest_);
        Out.add("accepted_but_late", Result.UnansweredAcceptedFraction_);
        return Out;
      },
      {"goodput"});
  printTargetResult("half_lost_attempts_per_request",
                    HalfLostMedians.at("attempts_per_request"), 1.1, true);
}

} // namespace endivewharf::bench
