// Evidence of versions and what it proves. Verdicts come from Wald's sequential
// probability ratio test (A. Wald, Sequential Analysis, 1947) on failures and
// on log latency.
#include "evidence.h"

#include "membership.h"
#include "router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis EvidencePublishPeriod = 250;   // ms between spreads
constexpr std::int64_t EvidenceWindowMs = 2000; // ms of one evidence window
constexpr std::int64_t RecentWindows = 15;      // looked at for "bad"
constexpr std::array TestedWindowCounts = {1, 2, 4, 8,
                                           15}; // windows, the newest ones
constexpr std::int64_t MaxWindowsAhead = 2;     // of another process's clock
constexpr double BadThreshold = 9.2;         // ln(1 / false alarm), 1 in 10,000
constexpr double GoodThreshold = -4.6;       // ln(miss), 1 in 100
constexpr double AcceptedFailureRate = 0.02; // accepted of any version
constexpr double ExtraFailureRate = 0.2;     // what "bad" adds to it
constexpr double SlowLatencyRatio = 1.4;     // what "bad" does to latency
constexpr double MinLogLatencyVariance = 0.02; // of ln(latency)
constexpr std::int64_t MinTimedSamples = 8;    // samples for a latency test

/// Names a row apart from its window.
std::string seriesKey(const EvidenceRow &R) {
  return fmt::format("{}|{}|{}|{}|{}|{}/{}", R.NoteVersion_, R.Model_,
                     R.NewVersion_, R.Route_, R.DataCentre_, R.Observer_.Name_,
                     R.Observer_.Incarnation_);
}

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

/// Evidence of both versions on one route in one data centre, or of all.
struct Stratum {
  SampleSums Old_;
  SampleSums New_;
};

/// Log likelihood ratio of "fails too often" against "fails as the old one".
double failureLogLikelihoodRatio(const Stratum &T) {
  const double OldRate = T.Old_.Count_ == 0
                             ? 0
                             : static_cast<double>(T.Old_.Failed_) /
                                   static_cast<double>(T.Old_.Count_);
  const double Good =
      std::min(0.7, std::max(AcceptedFailureRate, OldRate * 1.2));
  const double Bad = Good + ExtraFailureRate;
  const double Failed = static_cast<double>(T.New_.Failed_);
  const double Fine = static_cast<double>(T.New_.Count_) - Failed;
  return Failed * std::log(Bad / Good) +
         Fine * std::log((1 - Bad) / (1 - Good));
}

/// Log likelihood ratio of "slower by `SlowRatio`" against "as fast", for
/// normally distributed ln(latency).
double latencyLogLikelihoodRatio(const Stratum &T) {
  if (T.Old_.LatencyCount_ < MinTimedSamples || T.New_.LatencyCount_ < 1)
    return 0;
  const double OldCount = static_cast<double>(T.Old_.LatencyCount_);
  const double NewCount = static_cast<double>(T.New_.LatencyCount_);
  const double OldMean = T.Old_.LogLatency_ / OldCount;
  const double Variance =
      std::max(MinLogLatencyVariance,
               T.Old_.LogLatencySquare_ / OldCount - OldMean * OldMean);
  // The old mean is an estimate itself, so its variance counts as well.
  const double Effective = Variance * (1 + NewCount / OldCount);
  const double Shift = std::log(SlowLatencyRatio);
  const double Excess = T.New_.LogLatency_ - NewCount * OldMean;
  return (Shift * Excess - NewCount * Shift * Shift / 2) / Effective;
}

/// Strata of the newest windows, by route and data centre and for all.
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

bool isEvidenceOf(const EvidenceRow &Row, const RolloutState &M) {
  return Row.NoteVersion_ == M.Row_.NoteVersion_ && Row.Model_ == M.Row_.Model_;
}

/// Evidence of a move in its newest windows.
Strata recentStrata(const State &S, const RolloutState &M,
                    std::int64_t Windows) {
  const bool OwnOnly =
      std::holds_alternative<OwnEvidencePolicy>(S.Release_.VerdictPolicy_);
  Strata Result;
  for (const auto &[Key, Row] : S.Release_.Evidence_)
    if (isEvidenceOf(Row, M) &&
        Row.Window_ > S.Release_.LastWindow_ - Windows &&
        (!OwnOnly || Row.Observer_ == S.Self_))
      addEvidenceRow(Result, Row);
  return Result;
}

/// All evidence of a move.
Stratum overallStratum(const State &S, const RolloutState &M) {
  Strata Result = recentStrata(S, M, RecentWindows + 1);
  for (const auto &[Key, Row] : S.Release_.ClosedWindowEvidence_)
    if (isEvidenceOf(Row, M))
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
    const auto [Sum, First] =
        R.ClosedWindowEvidence_.try_emplace(seriesKey(Row), Row);
    if (!First)
      addSums(Sum->second.Sums_, Row.Sums_);
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
  const bool Whole = C.Request_.Kind_ == CallKind::Routed && !C.EventStream_;
  if (!Failed && (C.NextIndex_ > 0 || Whole) && C.AttemptCount_ == 1) {
    const double PerToken = static_cast<double>(S.Now_ - A.StartedAt_) /
                            static_cast<double>(Whole ? 1 : C.NextIndex_);
    const double LogLatency = std::log(std::max(0.1, PerToken));
    ++Sums.LatencyCount_;
    Sums.LogLatency_ += LogLatency;
    Sums.LogLatencySquare_ += LogLatency * LogLatency;
  }
  S.Release_.EvidenceChanged_ = true;
  return A.NewVersion_ && Failed;
}

void mergeEvidence(State &S, const std::vector<EvidenceRow> &Rows) {
  for (const EvidenceRow &Row : Rows) {
    // What is late has been folded already; what is far ahead comes from a
    // wrong clock and would fold everybody else's.
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

/// The baseline: a bound on the error rate, and good as long as it holds.
Verdict evaluateErrorRate(const State &S, const RolloutState &M,
                          const ErrorRatePolicy &Rule) {
  Verdict Result;
  const SampleSums New = overallStratum(S, M).New_;
  const double Rate = static_cast<double>(New.Failed_) /
                      std::max(1.0, static_cast<double>(New.Count_));
  const bool Bad = New.Count_ >= Rule.MinCount_ && Rate > Rule.MaxRate_;
  Result.Kind_ = Bad ? VerdictKind::Bad : VerdictKind::Good;
  Result.Reason_ = "error rate";
  return Result;
}

Verdict evaluateSequentialTest(const State &S, const RolloutState &M) {
  Verdict Result;
  const auto Look = [&](const Stratum &T, std::string_view Where) {
    const double Failure = failureLogLikelihoodRatio(T);
    const double Latency = latencyLogLikelihoodRatio(T);
    Result.MaxLogLikelihoodRatio_ =
        std::max({Result.MaxLogLikelihoodRatio_, Failure, Latency});
    if (Result.Kind_ == VerdictKind::Bad)
      return;
    if (Failure >= BadThreshold) {
      Result.Kind_ = VerdictKind::Bad;
      Result.Reason_ = fmt::format("{} of {} failed, {}", T.New_.Failed_,
                                   T.New_.Count_, Where);
    } else if (Latency >= BadThreshold) {
      Result.Kind_ = VerdictKind::Bad;
      Result.Reason_ = fmt::format(
          "slower by {:.2f} over {} requests, {}",
          std::exp(
              T.New_.LogLatency_ / static_cast<double>(T.New_.LatencyCount_) -
              T.Old_.LogLatency_ / static_cast<double>(T.Old_.LatencyCount_)),
          T.New_.LatencyCount_, Where);
    }
  };
  // A version that turns bad after a long good time shows in the newest
  // windows first: the longest run of evidence for "bad" counts.
  for (const std::int64_t Windows : TestedWindowCounts)
    for (const auto &[Where, T] : recentStrata(S, M, Windows))
      Look(T, Where);
  if (Result.Kind_ == VerdictKind::Bad)
    return Result;
  const Stratum Whole = overallStratum(S, M);
  if (failureLogLikelihoodRatio(Whole) <= GoodThreshold &&
      latencyLogLikelihoodRatio(Whole) <= GoodThreshold)
    Result.Kind_ = VerdictKind::Good;
  return Result;
}

/// One visitor for all ways to judge.
struct EvaluationVisitor {
  const State &S_;
  const RolloutState &M_;

  Verdict operator()(const PooledEvidencePolicy &) const {
    return evaluateSequentialTest(S_, M_);
  }
  Verdict operator()(const OwnEvidencePolicy &) const {
    return evaluateSequentialTest(S_, M_);
  }
  Verdict operator()(const ErrorRatePolicy &Rule) const {
    return evaluateErrorRate(S_, M_, Rule);
  }
};

} // namespace

Verdict evaluateEvidence(const State &S, const RolloutState &M) {
  return std::visit(EvaluationVisitor{S, M}, S.Release_.VerdictPolicy_);
}

} // namespace endivewharf
