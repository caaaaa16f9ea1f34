// Evidence about versions and its evaluation. Verdicts come from Wald's
// sequential probability ratio test (A. Wald, Sequential Analysis, 1947) on
// failures and on log latency.
#include "evidence.h"

#include "membership.h"
#include "router.h"
#include "strain.h"

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
// The same for hosts of a service: a bad version is several times slower, and
// hosts differ by what they have cached.
constexpr double SlowHostRatio = 2;
// Latency of a "bad" version relative to earlier answers of the old version, if
// there are none of the same window.
constexpr double SeveralTimesSlower = 3;
// Lower bound of the variance of ln(latency).
constexpr double MinLogLatencyVariance = 0.02;
// Answers of the new version without which it is not called slow: answers of
// one host at one moment are late together.
constexpr std::int64_t MinSlowSamples = 8;
// Samples of the old version that a comparison with it needs.
constexpr std::int64_t MinControlSamples = 8;

/// Key of all rows that differ only in their window.
std::string seriesKey(const EvidenceRow &R) {
  return fmt::format("{}|{}|{}|{}|{}|{}/{}|{}", R.NoteVersion_, R.Model_,
                     R.NewVersion_, R.Route_, R.DataCentre_, R.Observer_.Name_,
                     R.Observer_.Incarnation_, R.Strained_);
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
  To.Broken_ += From.Broken_;
}

SampleSums sumOf(const SampleSums &A, const SampleSums &B) {
  SampleSums Result = A;
  addSums(Result, B);
  return Result;
}

/// Evidence of one version, by the circumstances of the attempts.
struct VersionSums {
  SampleSums Calm_;
  SampleSums Strained_;

  SampleSums all() const { return sumOf(Calm_, Strained_); }
};

/// Evidence of both versions under like circumstances: on one route in one
/// window, in one data centre or in all.
struct Cell {
  VersionSums Old_;
  VersionSums New_;
};

using CellKey = std::pair<std::string, std::int64_t>; // route and window

/// Evidence on one route in one data centre, or on all routes everywhere.
using Stratum = std::map<CellKey, Cell>;

/// Evidence on a rollout in the windows that are kept apart.
struct RecentEvidence {
  std::map<std::string, Stratum> Strata_;     ///< By name.
  std::map<std::string, SampleSums> OldSums_; ///< Of all windows, by route.
};

constexpr const char *OverallStratumName = "everywhere";

double failureRate(std::int64_t Failed, std::int64_t Count) {
  return Count == 0 ? 0
                    : static_cast<double>(Failed) / static_cast<double>(Count);
}

/// Log likelihood ratio of "fails too often" against "fails like the old
/// version", for independent attempts. A good version's failure rate is 1.2
/// times the old version's, at least the accepted rate and at most 0.7, so that
/// the rate of a bad version stays below 1.
double failureLogLikelihoodRatio(std::int64_t NewFailed, std::int64_t NewCount,
                                 double OldRate) {
  const double GoodRate =
      std::min(0.7, std::max(AcceptedFailureRate, OldRate * 1.2));
  const double BadRate = GoodRate + ExtraFailureRate;
  const auto Failed = static_cast<double>(NewFailed);
  const double Succeeded = static_cast<double>(NewCount) - Failed;
  return Failed * std::log(BadRate / GoodRate) +
         Succeeded * std::log((1 - BadRate) / (1 - GoodRate));
}

double meanLogLatency(const SampleSums &Sums) {
  return Sums.LogLatency_ / static_cast<double>(Sums.LatencyCount_);
}

/// Variance of ln(latency), at least `MinLogLatencyVariance`.
double logLatencyVariance(const SampleSums &Sums) {
  if (Sums.LatencyCount_ == 0)
    return MinLogLatencyVariance;
  const double Mean = meanLogLatency(Sums);
  return std::max(MinLogLatencyVariance,
                  Sums.LogLatencySquare_ /
                          static_cast<double>(Sums.LatencyCount_) -
                      Mean * Mean);
}

/// Log likelihood ratio of "slower by a factor" against "as fast as the old
/// version", for normally distributed ln(latency).
/// @param Variance of ln(latency) of one answer
/// @param Factor by which a bad version is slower
/// @return 0 if there are too few samples
double latencyLogLikelihoodRatio(const SampleSums &Old, const SampleSums &New,
                                 double Variance, double Factor) {
  if (Old.LatencyCount_ < MinControlSamples || New.LatencyCount_ < 1)
    return 0;
  const auto OldCount = static_cast<double>(Old.LatencyCount_);
  const auto NewCount = static_cast<double>(New.LatencyCount_);
  // The old version's mean is an estimate, so its variance is added.
  const double EffectiveVariance = Variance * (1 + NewCount / OldCount);
  const double Shift = std::log(Factor);
  const double Excess = New.LogLatency_ - NewCount * meanLogLatency(Old);
  return (Shift * Excess - NewCount * Shift * Shift / 2) / EffectiveVariance;
}

/// What a set of cells shows. Cells are independent, so their log likelihood
/// ratios are added.
struct TestResult {
  double Failure_ = 0; ///< Log likelihood ratio of "fails too often".
  double Latency_ = 0; ///< Log likelihood ratio of "slower".
  std::int64_t Failed_ = 0;
  std::int64_t Count_ = 0;
  std::int64_t TimedCount_ = 0; ///< Answers whose latency was compared.
  double LogExcess_ = 0; ///< Sum of ln(latency / mean of the old version).
};

void addResult(TestResult &To, const TestResult &From) {
  To.Failure_ += From.Failure_;
  To.Latency_ += From.Latency_;
  To.Failed_ += From.Failed_;
  To.Count_ += From.Count_;
  To.TimedCount_ += From.TimedCount_;
  To.LogExcess_ += From.LogExcess_;
}

/// Compares the latencies of two sets of answers and adds the result.
/// @param Baseline the old version's answers on the route in all recent
/// windows, because the variance of a few is uncertain
void testLatency(const SampleSums &Old, const SampleSums &New,
                 const SampleSums &Baseline, double Factor, TestResult &Out) {
  if (Old.LatencyCount_ < MinControlSamples || New.LatencyCount_ < 1)
    return;
  const double Variance =
      std::max(logLatencyVariance(Old), logLatencyVariance(Baseline));
  Out.Latency_ += latencyLogLikelihoodRatio(Old, New, Variance, Factor);
  Out.TimedCount_ += New.LatencyCount_;
  Out.LogExcess_ += New.LogLatency_ - static_cast<double>(New.LatencyCount_) *
                                          meanLogLatency(Old);
}

/// Tests a cell in which the old version has enough samples of its own.
TestResult testAgainstControl(const Cell &C, const SampleSums &Baseline,
                              double SlowFactor) {
  TestResult Result;
  const SampleSums Old = C.Old_.all();
  const SampleSums New = C.New_.all();
  const double OldRate =
      std::max(failureRate(Old.Failed_, Old.Count_),
               failureRate(Baseline.Failed_, Baseline.Count_));
  Result.Failed_ = New.Failed_;
  Result.Count_ = New.Count_;
  Result.Failure_ = failureLogLikelihoodRatio(New.Failed_, New.Count_, OldRate);
  // The old version may be under more strain than the new one, never under
  // less.
  testLatency(Old, C.New_.Calm_, Baseline, SlowFactor, Result);
  testLatency(C.Old_.Strained_, C.New_.Strained_, Baseline, SlowFactor, Result);
  return Result;
}

/// Tests a cell in which the old version has too few samples. What breaks
/// attempts or makes answers late may then have begun after the old version's
/// last samples, so broken attempts and answers under strain do not count.
TestResult testAgainstBaseline(const Cell &C, const SampleSums &Baseline) {
  TestResult Result;
  const SampleSums New = C.New_.all();
  Result.Failed_ = New.Failed_ - New.Broken_;
  Result.Count_ = New.Count_ - New.Broken_;
  Result.Failure_ =
      failureLogLikelihoodRatio(Result.Failed_, Result.Count_,
                                failureRate(Baseline.Failed_, Baseline.Count_));
  testLatency(Baseline, C.New_.Calm_, Baseline, SeveralTimesSlower, Result);
  return Result;
}

/// Tests the cells of a stratum.
/// @return results by window, of windows with evidence of the new version
std::map<std::int64_t, TestResult>
testCells(const Stratum &T, const RecentEvidence &Recent, double SlowFactor) {
  std::map<std::int64_t, TestResult> Results;
  for (const auto &[Key, C] : T) {
    const auto &[Route, Window] = Key;
    const auto Found = Recent.OldSums_.find(Route);
    const SampleSums Baseline =
        Found == Recent.OldSums_.end() ? SampleSums{} : Found->second;
    const bool HasControl = C.Old_.all().Count_ >= MinControlSamples;
    addResult(Results[Window], HasControl
                                   ? testAgainstControl(C, Baseline, SlowFactor)
                                   : testAgainstBaseline(C, Baseline));
  }
  return Results;
}

void addEvidenceRow(Stratum &To, const EvidenceRow &Row) {
  Cell &C = To[{Row.Route_, Row.Window_}];
  VersionSums &Sums = Row.NewVersion_ ? C.New_ : C.Old_;
  addSums(Row.Strained_ ? Sums.Strained_ : Sums.Calm_, Row.Sums_);
}

bool isEvidenceOf(const EvidenceRow &Row, const RolloutState &Rollout) {
  return Row.NoteVersion_ == Rollout.Row_.NoteVersion_ &&
         Row.Model_ == Rollout.Row_.Model_;
}

/// @return evidence on a rollout in the windows that are kept apart
RecentEvidence recentEvidence(const State &S, const RolloutState &Rollout) {
  const bool OwnOnly =
      std::holds_alternative<OwnEvidencePolicy>(S.Release_.VerdictPolicy_);
  RecentEvidence Result;
  for (const auto &[Key, Row] : S.Release_.Evidence_) {
    if (!isEvidenceOf(Row, Rollout) ||
        Row.Window_ <= S.Release_.LastWindow_ - RecentWindows ||
        (OwnOnly && Row.Observer_ != S.Self_))
      continue;
    addEvidenceRow(Result.Strata_[OverallStratumName], Row);
    addEvidenceRow(
        Result.Strata_[fmt::format("{} in {}", Row.Route_, Row.DataCentre_)],
        Row);
    if (!Row.NewVersion_)
      addSums(Result.OldSums_[Row.Route_], Row.Sums_);
  }
  return Result;
}

/// Totals of both versions over all windows, routes and data centres.
struct Totals {
  SampleSums Old_;
  SampleSums New_;
};

Totals totalsOf(const State &S, const RolloutState &Rollout) {
  const bool OwnOnly =
      std::holds_alternative<OwnEvidencePolicy>(S.Release_.VerdictPolicy_);
  Totals Result;
  const auto Add = [&](const EvidenceRow &Row) {
    if (isEvidenceOf(Row, Rollout))
      addSums(Row.NewVersion_ ? Result.New_ : Result.Old_, Row.Sums_);
  };
  for (const auto &[Key, Row] : S.Release_.Evidence_)
    if (!OwnOnly || Row.Observer_ == S.Self_)
      Add(Row);
  for (const auto &[Key, Row] : S.Release_.ClosedWindowEvidence_)
    Add(Row);
  return Result;
}

} // namespace

std::int64_t newVersionFailures(const State &S, const RolloutState &Rollout) {
  const SampleSums New = totalsOf(S, Rollout).New_;
  return New.Failed_ - New.Broken_;
}

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
                          SampleKind Kind) {
  if (A.NoteVersion_ == NoOffset)
    return false;
  const bool Failed = Kind != SampleKind::Answered;
  EvidenceRow Row;
  Row.NoteVersion_ = A.NoteVersion_;
  Row.Model_ = rolloutKey(C);
  Row.NewVersion_ = A.NewVersion_;
  Row.Route_ = C.Request_.Route_;
  Row.DataCentre_ = S.Settings_.DataCentre_;
  Row.Observer_ = S.Self_;
  Row.Window_ = S.UnixMs_ / EvidenceWindowMs;
  Row.Strained_ = ranUnderStrain(S, A);
  S.Release_.LastWindow_ = std::max(S.Release_.LastWindow_, Row.Window_);
  auto [Found, New] = S.Release_.Evidence_.try_emplace(rowKey(Row), Row);
  SampleSums &Sums = Found->second.Sums_;
  ++Sums.Count_;
  Sums.Failed_ += Failed ? 1 : 0;
  Sums.Broken_ += Kind == SampleKind::Broken ? 1 : 0;
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
  const SampleSums NewSums = totalsOf(S, Rollout).New_;
  const double Rate = static_cast<double>(NewSums.Failed_) /
                      std::max(1.0, static_cast<double>(NewSums.Count_));
  const bool Bad = NewSums.Count_ >= Policy.MinCount_ && Rate > Policy.MaxRate_;
  Result.Kind_ = Bad ? VerdictKind::Bad : VerdictKind::Good;
  Result.Reason_ = "error rate";
  return Result;
}

/// Takes over a test's result: "bad" with its reason, if it is.
void applyTest(const TestResult &Test, std::string_view StratumName,
               Verdict &Out) {
  Out.MaxLogLikelihoodRatio_ =
      std::max({Out.MaxLogLikelihoodRatio_, Test.Failure_, Test.Latency_});
  if (Out.Kind_ == VerdictKind::Bad)
    return;
  if (Test.Failure_ >= BadThreshold) {
    Out.Kind_ = VerdictKind::Bad;
    Out.Reason_ = fmt::format("{} of {} failed, {}", Test.Failed_, Test.Count_,
                              StratumName);
  } else if (Test.Latency_ >= BadThreshold &&
             Test.TimedCount_ >= MinSlowSamples) {
    Out.Kind_ = VerdictKind::Bad;
    Out.Reason_ = fmt::format(
        "slower by {:.2f} over {} requests, {}",
        std::exp(Test.LogExcess_ / static_cast<double>(Test.TimedCount_)),
        Test.TimedCount_, StratumName);
  }
}

/// @return true if the totals of all windows show a good version
bool isShownGood(const Totals &T) {
  const double OldRate = failureRate(T.Old_.Failed_, T.Old_.Count_);
  return failureLogLikelihoodRatio(T.New_.Failed_, T.New_.Count_, OldRate) <=
             GoodThreshold &&
         latencyLogLikelihoodRatio(T.Old_, T.New_, logLatencyVariance(T.Old_),
                                   SlowLatencyRatio) <= GoodThreshold;
}

/// Sequential test of a rollout: "bad" if any stratum shows it over any tested
/// number of newest windows, "good" if the totals of all windows do.
Verdict evaluateSequentialTest(const State &S, const RolloutState &Rollout) {
  Verdict Result;
  const RecentEvidence Recent = recentEvidence(S, Rollout);
  const double SlowFactor =
      S.Settings_.servesPlatform() ? SlowHostRatio : SlowLatencyRatio;
  for (const auto &[Name, Cells] : Recent.Strata_) {
    const std::map<std::int64_t, TestResult> ByWindow =
        testCells(Cells, Recent, SlowFactor);
    // A version that turns bad after a long good period shows it in the newest
    // windows first, so several numbers of newest windows are tested and the
    // largest ratio for "bad" counts.
    for (const std::int64_t WindowCount : TestedWindowCounts) {
      TestResult Sum;
      for (const auto &[Window, Test] : ByWindow)
        if (Window > S.Release_.LastWindow_ - WindowCount)
          addResult(Sum, Test);
      applyTest(Sum, Name, Result);
    }
  }
  if (Result.Kind_ != VerdictKind::Bad && isShownGood(totalsOf(S, Rollout)))
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
