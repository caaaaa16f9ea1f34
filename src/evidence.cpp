// Evidence about versions and its evaluation. Verdicts come from Wald's
// sequential probability ratio test (A. Wald, Sequential Analysis, 1947) on
// failures and on log latency.
#include "evidence.h"

#include "membership.h"
#include "router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis EvidencePublishPeriod = 250;   // ms
constexpr std::int64_t EvidenceWindowMs = 2000; // length of one window
// Number of newest windows whose rows are kept apart and tested for "bad".
constexpr std::int64_t RecentWindows = 15;
// Numbers of newest windows that are tested for "bad" together.
constexpr std::array TestedWindowCounts = {1, 2, 4, 8, 15};
// Rows further ahead of this process's clock come from a wrong clock.
constexpr std::int64_t MaxWindowsAhead = 2;
constexpr double BadThreshold = 9.2;   // ln(1 / P(false alarm)), P = 1e-4
constexpr double GoodThreshold = -4.6; // ln(P(miss)), P = 1e-2
// Failure rate that is accepted of every version.
constexpr double AcceptedFailureRate = 0.02;
// Failure rate of a "bad" version in excess of the accepted one.
constexpr double ExtraFailureRate = 0.2;
// Latency of a "bad" version relative to the old version.
constexpr double SlowLatencyRatio = 1.4;
// Lower bound of the variance of ln(latency).
constexpr double MinLogLatencyVariance = 0.02;
// Latency samples of the old version that the latency test needs.
constexpr std::int64_t MinTimedSamples = 8;

/// Key of all rows that differ only in their window.
std::string seriesKey(const EvidenceRow &R) {
  return fmt::format("{}|{}|{}|{}|{}|{}/{}", R.NoteVersion_, R.Model_,
                     R.NewVersion_, R.Route_, R.DataCentre_, R.Observer_.Name_,
                     R.Observer_.Incarnation_);
}

/// Key of one row, with its window.
std::string rowKey(const EvidenceRow &R) {
  return fmt::format("{}|{}", seriesKey(R), R.Window_);
}

void addSums(SampleSums &To, const SampleSums &From) {
  To.Count_ += From.Count_;
  To.Failed_ += From.Failed_;
  To.LatencyCount_ += From.LatencyCount_;
  To.LogLatency_ += From.LogLatency_;
  To.LogLatencySquare_ += From.LogLatencySquare_;
}

/// Evidence of both versions on one route in one data centre, or on all routes
/// in all data centres.
struct Stratum {
  SampleSums Old_;
  SampleSums New_;
};

/// Log likelihood ratio of "fails too often" against "fails like the old
/// version", for independent attempts. A good version's failure rate is 1.2
/// times the old version's, at least the accepted rate and at most 0.7, so that
/// the rate of a bad version stays below 1.
double failureLogLikelihoodRatio(const Stratum &T) {
  const double OldRate = T.Old_.Count_ == 0
                             ? 0
                             : static_cast<double>(T.Old_.Failed_) /
                                   static_cast<double>(T.Old_.Count_);
  const double GoodRate =
      std::min(0.7, std::max(AcceptedFailureRate, OldRate * 1.2));
  const double BadRate = GoodRate + ExtraFailureRate;
  const double Failed = static_cast<double>(T.New_.Failed_);
  const double Succeeded = static_cast<double>(T.New_.Count_) - Failed;
  return Failed * std::log(BadRate / GoodRate) +
         Succeeded * std::log((1 - BadRate) / (1 - GoodRate));
}

/// Log likelihood ratio of "slower by a factor of `SlowLatencyRatio`" against
/// "as fast as the old version", for normally distributed ln(latency).
/// @return 0 if there are too few samples
double latencyLogLikelihoodRatio(const Stratum &T) {
  if (T.Old_.LatencyCount_ < MinTimedSamples || T.New_.LatencyCount_ < 1)
    return 0;
  const double OldCount = static_cast<double>(T.Old_.LatencyCount_);
  const double NewCount = static_cast<double>(T.New_.LatencyCount_);
  const double OldMean = T.Old_.LogLatency_ / OldCount;
  const double Variance =
      std::max(MinLogLatencyVariance,
               T.Old_.LogLatencySquare_ / OldCount - OldMean * OldMean);
  // The old version's mean is an estimate, so its variance is added.
  const double EffectiveVariance = Variance * (1 + NewCount / OldCount);
  const double Shift = std::log(SlowLatencyRatio);
  const double Excess = T.New_.LogLatency_ - NewCount * OldMean;
  return (Shift * Excess - NewCount * Shift * Shift / 2) / EffectiveVariance;
}

/// Strata by name: one for each route and data centre, and the overall one.
using Strata = std::map<std::string, Stratum>;

constexpr const char *OverallStratumName = "everywhere";

void addEvidenceRow(Strata &To, const EvidenceRow &Row) {
  const auto Add = [&](const std::string &Name) {
    Stratum &T = To[Name];
    addSums(Row.NewVersion_ ? T.New_ : T.Old_, Row.Sums_);
  };
  Add(OverallStratumName);
  Add(fmt::format("{} in {}", Row.Route_, Row.DataCentre_));
}

bool isEvidenceOf(const EvidenceRow &Row, const RolloutState &Rollout) {
  return Row.NoteVersion_ == Rollout.Row_.NoteVersion_ &&
         Row.Model_ == Rollout.Row_.Model_;
}

/// Evidence on a rollout in the newest windows.
Strata recentStrata(const State &S, const RolloutState &Rollout,
                    std::int64_t WindowCount) {
  const bool OwnOnly =
      std::holds_alternative<OwnEvidencePolicy>(S.Release_.VerdictPolicy_);
  Strata Result;
  for (const auto &[Key, Row] : S.Release_.Evidence_)
    if (isEvidenceOf(Row, Rollout) &&
        Row.Window_ > S.Release_.LastWindow_ - WindowCount &&
        (!OwnOnly || Row.Observer_ == S.Self_))
      addEvidenceRow(Result, Row);
  return Result;
}

/// All evidence on a rollout, in all windows, routes and data centres.
Stratum overallStratum(const State &S, const RolloutState &Rollout) {
  Strata Result = recentStrata(S, Rollout, RecentWindows + 1);
  for (const auto &[Key, Row] : S.Release_.ClosedWindowEvidence_)
    if (isEvidenceOf(Row, Rollout))
      addEvidenceRow(Result, Row);
  return Result[OverallStratumName];
}

} // namespace

void compactEvidence(State &S) {
  ReleaseState &R = S.Release_;
  std::erase_if(R.Evidence_, [&](const auto &Entry) {
    const EvidenceRow &Row = Entry.second;
    if (Row.Window_ > R.LastWindow_ - RecentWindows)
      return false;
    const auto [Found, New] =
        R.ClosedWindowEvidence_.try_emplace(seriesKey(Row), Row);
    if (!New)
      addSums(Found->second.Sums_, Row.Sums_);
    return true;
  });
}

void publishEvidence(State &S, Effects &Out) {
  if (!S.Release_.EvidenceChanged_ ||
      S.Now_ - S.Release_.EvidenceSentAt_ < EvidencePublishPeriod)
    return;
  S.Release_.EvidenceSentAt_ = S.Now_;
  S.Release_.EvidenceChanged_ = false;
  FactsMessage Message;
  const std::int64_t Window = S.UnixMs_ / EvidenceWindowMs;
  for (const auto &[Key, Row] : S.Release_.Evidence_)
    if (Row.Observer_ == S.Self_ && Row.Window_ >= Window - 1)
      Message.Evidence_.push_back(Row);
  sendToEvaluators(S, Message, Out);
}

bool recordEvidenceSample(State &S, const Attempt &A, const Call &C,
                          bool Failed) {
  if (A.NoteVersion_ == NoOffset)
    return false;
  EvidenceRow Row;
  Row.NoteVersion_ = A.NoteVersion_;
  Row.Model_ = rolloutKey(C);
  Row.NewVersion_ = A.NewVersion_;
  Row.Route_ = C.Request_.Route_;
  Row.DataCentre_ = S.Settings_.DataCentre_;
  Row.Observer_ = S.Self_;
  Row.Window_ = S.UnixMs_ / EvidenceWindowMs;
  S.Release_.LastWindow_ = std::max(S.Release_.LastWindow_, Row.Window_);
  auto [Found, New] = S.Release_.Evidence_.try_emplace(rowKey(Row), Row);
  SampleSums &Sums = Found->second.Sums_;
  ++Sums.Count_;
  Sums.Failed_ += Failed ? 1 : 0;
  const bool SingleAnswer =
      C.Request_.Kind_ == CallKind::Routed && !C.EventStream_;
  if (!Failed && (C.NextIndex_ > 0 || SingleAnswer) && C.AttemptCount_ == 1) {
    const double LatencyPerToken =
        static_cast<double>(S.Now_ - A.StartedAt_) /
        static_cast<double>(SingleAnswer ? 1 : C.NextIndex_);
    const double LogLatency = std::log(std::max(0.1, LatencyPerToken));
    ++Sums.LatencyCount_;
    Sums.LogLatency_ += LogLatency;
    Sums.LogLatencySquare_ += LogLatency * LogLatency;
  }
  S.Release_.EvidenceChanged_ = true;
  return A.NewVersion_ && Failed;
}

void mergeEvidence(State &S, const std::vector<EvidenceRow> &Rows) {
  for (const EvidenceRow &Row : Rows) {
    // Rows of old windows have been compacted already. Rows far ahead come from
    // a wrong clock and would cause all other rows to be compacted.
    if (Row.Observer_ == S.Self_ ||
        Row.Window_ > S.UnixMs_ / EvidenceWindowMs + MaxWindowsAhead ||
        Row.Window_ <= S.Release_.LastWindow_ - RecentWindows)
      continue;
    S.Release_.LastWindow_ = std::max(S.Release_.LastWindow_, Row.Window_);
    auto [Found, New] = S.Release_.Evidence_.try_emplace(rowKey(Row), Row);
    if (Row.Sums_.Count_ > Found->second.Sums_.Count_)
      Found->second.Sums_ = Row.Sums_;
  }
}

namespace {

/// Baseline policy: "bad" above an error rate, otherwise "good".
Verdict evaluateErrorRate(const State &S, const RolloutState &Rollout,
                          const ErrorRatePolicy &Policy) {
  Verdict Result;
  const SampleSums NewSums = overallStratum(S, Rollout).New_;
  const double Rate = static_cast<double>(NewSums.Failed_) /
                      std::max(1.0, static_cast<double>(NewSums.Count_));
  const bool Bad = NewSums.Count_ >= Policy.MinCount_ && Rate > Policy.MaxRate_;
  Result.Kind_ = Bad ? VerdictKind::Bad : VerdictKind::Good;
  Result.Reason_ = "error rate";
  return Result;
}

/// Sequential test of a rollout: "bad" if any stratum shows it over any tested
/// number of newest windows, "good" if the overall stratum of all windows does.
Verdict evaluateSequentialTest(const State &S, const RolloutState &Rollout) {
  Verdict Result;
  const auto TestStratum = [&](const Stratum &T, std::string_view StratumName) {
    const double Failure = failureLogLikelihoodRatio(T);
    const double Latency = latencyLogLikelihoodRatio(T);
    Result.MaxLogLikelihoodRatio_ =
        std::max({Result.MaxLogLikelihoodRatio_, Failure, Latency});
    if (Result.Kind_ == VerdictKind::Bad)
      return;
    if (Failure >= BadThreshold) {
      Result.Kind_ = VerdictKind::Bad;
      Result.Reason_ = fmt::format("{} of {} failed, {}", T.New_.Failed_,
                                   T.New_.Count_, StratumName);
    } else if (Latency >= BadThreshold) {
      Result.Kind_ = VerdictKind::Bad;
      Result.Reason_ = fmt::format(
          "slower by {:.2f} over {} requests, {}",
          std::exp(
              T.New_.LogLatency_ / static_cast<double>(T.New_.LatencyCount_) -
              T.Old_.LogLatency_ / static_cast<double>(T.Old_.LatencyCount_)),
          T.New_.LatencyCount_, StratumName);
    }
  };
  // A version that turns bad after a long good period shows it in the newest
  // windows first, so several numbers of newest windows are tested and the
  // largest ratio for "bad" counts.
  for (const std::int64_t WindowCount : TestedWindowCounts)
    for (const auto &[StratumName, T] : recentStrata(S, Rollout, WindowCount))
      TestStratum(T, StratumName);
  if (Result.Kind_ == VerdictKind::Bad)
    return Result;
  const Stratum Overall = overallStratum(S, Rollout);
  if (failureLogLikelihoodRatio(Overall) <= GoodThreshold &&
      latencyLogLikelihoodRatio(Overall) <= GoodThreshold)
    Result.Kind_ = VerdictKind::Good;
  return Result;
}

/// Evaluates a rollout by the verdict policy.
struct EvaluationVisitor {
  const State &S_;
  const RolloutState &Rollout_;

  Verdict operator()(const PooledEvidencePolicy &) const {
    return evaluateSequentialTest(S_, Rollout_);
  }
  Verdict operator()(const OwnEvidencePolicy &) const {
    return evaluateSequentialTest(S_, Rollout_);
  }
  Verdict operator()(const ErrorRatePolicy &Policy) const {
    return evaluateErrorRate(S_, Rollout_, Policy);
  }
};

} // namespace

Verdict evaluateEvidence(const State &S, const RolloutState &Rollout) {
  return std::visit(EvaluationVisitor{S, Rollout}, S.Release_.VerdictPolicy_);
}

} // namespace endivewharf
