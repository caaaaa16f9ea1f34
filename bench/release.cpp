// Rollouts of good versions and of versions with each kind of fault, half of
// them under faults of log and hosts. Compares the verdict from pooled evidence
// with two baselines.
#include "benches.h"

#include <fmt/format.h>
#include <future>

namespace endivewharf::bench {

namespace {

using namespace fakes;

constexpr Millis WarmUpTime = 8000;
constexpr Millis RolloutDeadline = 90000; // from the release note
constexpr Millis RunTime = 100000;
// Time after a verdict in which all processes have to stop using the version.
constexpr Millis VerdictPropagationTime = 2000;
constexpr int WorkerCount = 5; // threads that run releases in parallel

/// How the new version behaves.
enum class ReleaseKind {
  Good,
  FailsAll,
  FailsThird,
  FailsLater,
  SlowOneAndHalf,
  SlowDouble,
  SlowUnderLoad,
  FailsOneRoute,
  FailsOneDataCentre,
};

constexpr std::array BadKinds = {
    ReleaseKind::FailsAll,      ReleaseKind::FailsThird,
    ReleaseKind::FailsLater,    ReleaseKind::SlowOneAndHalf,
    ReleaseKind::SlowDouble,    ReleaseKind::SlowUnderLoad,
    ReleaseKind::FailsOneRoute, ReleaseKind::FailsOneDataCentre};

/// @return name of the kind in the printed keys
std::string_view releaseKindName(ReleaseKind Value) {
  constexpr std::array Names = {
      "good",   "fails_all",       "fails_third", "fails_later", "slow_1.5",
      "slow_2", "slow_under_load", "one_route",   "one_centre"};
  return Names[static_cast<std::size_t>(Value)];
}

VersionFault faultFor(ReleaseKind Kind, Millis Now) {
  VersionFault Fault;
  switch (Kind) {
  case ReleaseKind::Good:
    break;
  case ReleaseKind::FailsAll:
    Fault.FailureFraction_ = 1;
    break;
  case ReleaseKind::FailsThird:
    Fault.FailureFraction_ = 0.33;
    break;
  case ReleaseKind::FailsLater:
    Fault.FailureFraction_ = 0.5;
    Fault.ActiveFrom_ = Now + 50000;
    break;
  case ReleaseKind::SlowOneAndHalf:
    Fault.SlowdownFactor_ = 1.5;
    break;
  case ReleaseKind::SlowDouble:
    Fault.SlowdownFactor_ = 2;
    break;
  case ReleaseKind::SlowUnderLoad:
    Fault.SlowdownFactor_ = 2.5;
    Fault.MinRunningRequests_ = 2;
    break;
  case ReleaseKind::FailsOneRoute:
    Fault.FailureFraction_ = 0.6;
    Fault.Route_ = "completions";
    break;
  case ReleaseKind::FailsOneDataCentre:
    Fault.FailureFraction_ = 0.6;
    Fault.DataCentre_ = "dc1";
    break;
  }
  return Fault;
}

struct ReleaseResult {
  ReleaseKind Kind_ = ReleaseKind::Good;
  bool Completed_ = false;
  bool CompletedInTime_ = false;
  bool RolledBack_ = false;
  /// Largest fraction of the attempts that went to the new version while its
  /// share was at the first step (5%).
  double MaxFirstStepShare_ = 0;
  std::int64_t NewVersionRequests_ = 0; ///< Attempts at the new version.
  /// Attempts at the new version later than VerdictPropagationTime after the
  /// verdict.
  std::int64_t NewVersionRequestsAfterPropagation_ = 0;
  /// Time from the first attempt at the new version to the verdict.
  double SecondsToVerdict_ = 0;
  int UnansweredRequests_ = 0;
};

/// Runs one rollout.
/// @param Seed seed of the run
/// @param Kind behaviour of the new version
/// @param Policy verdict policy of all entry processes
/// @param InjectFaults true for a log outage, two reclaimed engines and slow
/// loading of models
ReleaseResult runRelease(std::uint64_t Seed, ReleaseKind Kind,
                         const VerdictPolicy &Policy, bool InjectFaults) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  World W(Options);
  for (int I = 0; I < 12; ++I) {
    EngineParameters Parameters;
    // With faults the weight store is slow.
    Parameters.ModelLoadMs_ = InjectFaults ? 2000 : 800;
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}},
                Parameters);
  }
  W.publishConfig(exampleConfig({"m"}));
  for (int I = 0; I < W.entryCount(); ++I)
    W.state(I).Release_.VerdictPolicy_ = Policy;
  W.runFor(WarmUpTime);
  const Millis StartAt = W.now();
  W.setVersionFault("v2", faultFor(Kind, StartAt));
  W.appendLogRecord(ReleaseNoteRecord{
      NoOffset, "n", W.unixNow() + RolloutDeadline, {{"m", "v2"}}});
  if (InjectFaults) {
    W.scheduleAt(StartAt + 12000 + static_cast<Millis>(Seed * 37 % 20000),
                 [&W] { W.LogUnavailable_ = true; });
    W.scheduleAt(StartAt + 24000 + static_cast<Millis>(Seed * 37 % 20000),
                 [&W] { W.LogUnavailable_ = false; });
    W.scheduleAt(StartAt + 20000, [&W] {
      W.publishReclaimNotice(W.Engines_[0].Row_.Host_, 2000);
      W.publishReclaimNotice(W.Engines_[3].Row_.Host_, 2000);
    });
    W.scheduleAt(StartAt + 22000, [&W] {
      W.killEngine(0);
      W.killEngine(3);
    });
  }
  ReleaseResult Result;
  Result.Kind_ = Kind;
  Millis FirstNewVersionRequestAt = -1;
  Millis VerdictAt = -1;
  std::int64_t NewVersionRequestsAtPropagation = 0;
  for (int I = 0; W.now() < StartAt + RunTime; ++I) {
    CallRequest Request = World::makeCompletionRequest(
        fmt::format("k{}", I % 5), "m", fmt::format("q{} about canvas", I), 6);
    if (I % 3 == 0)
      Request.Route_ = "completions";
    W.sendRequest(I % 4, Request);
    W.runFor(25);
    std::int64_t NewVersionCount = 0;
    std::int64_t AttemptCount = 0;
    for (const FakeEngine &E : W.Engines_)
      for (const auto &[Version, Count] : E.AttemptsByVersion_) {
        AttemptCount += Count;
        NewVersionCount += Version == "v2" ? Count : 0;
      }
    double RolloutShare = 0;
    bool IsRolledBack = false;
    for (int J = 0; J < W.entryCount(); ++J) {
      const auto &Rollouts = W.state(J).Release_.Rollouts_;
      const auto Found = Rollouts.find("m");
      if (Found == Rollouts.end())
        continue;
      RolloutShare = std::max(RolloutShare, Found->second.Row_.Share_);
      IsRolledBack = IsRolledBack || Found->second.Row_.RolledBack_;
    }
    if (NewVersionCount > 0 && FirstNewVersionRequestAt < 0)
      FirstNewVersionRequestAt = W.now();
    if (RolloutShare <= 0.05 && AttemptCount > 100)
      Result.MaxFirstStepShare_ = std::max(
          Result.MaxFirstStepShare_, static_cast<double>(NewVersionCount) /
                                         static_cast<double>(AttemptCount));
    if (IsRolledBack && VerdictAt < 0)
      VerdictAt = W.now();
    if (VerdictAt < 0 || W.now() <= VerdictAt + VerdictPropagationTime)
      NewVersionRequestsAtPropagation = NewVersionCount;
    Result.NewVersionRequests_ = NewVersionCount;
    if (RolloutShare >= 1 && !IsRolledBack && !Result.Completed_) {
      Result.Completed_ = true;
      Result.CompletedInTime_ = W.now() <= StartAt + RolloutDeadline;
    }
  }
  W.runFor(3000);
  Result.RolledBack_ = VerdictAt >= 0;
  Result.NewVersionRequestsAfterPropagation_ =
      Result.RolledBack_
          ? Result.NewVersionRequests_ - NewVersionRequestsAtPropagation
          : 0;
  if (Result.RolledBack_ && FirstNewVersionRequestAt >= 0)
    Result.SecondsToVerdict_ =
        static_cast<double>(VerdictAt - FirstNewVersionRequestAt) / 1000;
  for (const Outcome &O : W.outcomes())
    Result.UnansweredRequests_ += O.Ended_ && !O.Answered_ ? 1 : 0;
  return Result;
}

/// Runs each bad kind once per seed and as many good releases, every second one
/// with faults.
std::vector<ReleaseResult> runReleases(int Seeds, const VerdictPolicy &Policy) {
  std::vector<std::pair<std::uint64_t, ReleaseKind>> Jobs;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    for (const ReleaseKind Kind : BadKinds)
      Jobs.emplace_back(Seed, Kind);
    for (std::size_t I = 0; I < BadKinds.size(); ++I)
      Jobs.emplace_back(1000 + Seed * 10 + I, ReleaseKind::Good);
  }
  std::vector<ReleaseResult> Results(Jobs.size());
  std::vector<std::future<void>> Workers;
  for (int Worker = 0; Worker < WorkerCount; ++Worker)
    Workers.push_back(std::async(std::launch::async, [&, Worker] {
      for (std::size_t I = static_cast<std::size_t>(Worker); I < Jobs.size();
           I += WorkerCount)
        Results[I] =
            runRelease(Jobs[I].first, Jobs[I].second, Policy, I % 2 == 1);
    }));
  for (auto &Worker : Workers)
    Worker.get();
  return Results;
}

/// @param Name prefix of the printed keys
/// @param Results results of all runs
/// @param CheckTargets true to also compare the figures with the targets
void printReleaseFigures(const std::string &Name,
                         const std::vector<ReleaseResult> &Results,
                         bool CheckTargets) {
  double GoodCount = 0;
  double GoodInTimeCount = 0;
  double GoodRolledBackCount = 0;
  double BadCount = 0;
  double BadRolledBackCount = 0;
  double MaxFirstStepShare = 0;
  double MaxRequestsAfterPropagation = 0;
  double UnansweredCount = 0;
  std::vector<double> BadVersionRequests;
  std::vector<double> SecondsToVerdict;
  std::map<std::string, std::pair<int, int>> ByKind;
  for (const ReleaseResult &R : Results) {
    UnansweredCount += R.UnansweredRequests_;
    MaxFirstStepShare = std::max(MaxFirstStepShare, R.MaxFirstStepShare_);
    if (R.Kind_ == ReleaseKind::Good) {
      ++GoodCount;
      GoodInTimeCount += R.CompletedInTime_ && !R.RolledBack_ ? 1 : 0;
      GoodRolledBackCount += R.RolledBack_ ? 1 : 0;
      continue;
    }
    ++BadCount;
    BadRolledBackCount += R.RolledBack_ ? 1 : 0;
    auto &[RolledBackCount, RunCount] =
        ByKind[std::string(releaseKindName(R.Kind_))];
    ++RunCount;
    RolledBackCount += R.RolledBack_ ? 1 : 0;
    MaxRequestsAfterPropagation =
        std::max(MaxRequestsAfterPropagation,
                 static_cast<double>(R.NewVersionRequestsAfterPropagation_));
    BadVersionRequests.push_back(static_cast<double>(R.NewVersionRequests_));
    if (R.RolledBack_)
      SecondsToVerdict.push_back(R.SecondsToVerdict_);
  }
  fmt::print("release_{}_runs={}\n", Name, Results.size());
  fmt::print("release_{}_good_in_time={:.3f}\n", Name,
             GoodInTimeCount / GoodCount);
  fmt::print("release_{}_false_taken_back={:.3f}\n", Name,
             GoodRolledBackCount / GoodCount);
  fmt::print("release_{}_bad_taken_back={:.3f}\n", Name,
             BadRolledBackCount / BadCount);
  fmt::print("release_{}_bad_share_max={:.4f}\n", Name, MaxFirstStepShare);
  fmt::print("release_{}_bad_requests_median={}\n", Name,
             quantile(BadVersionRequests, 0.5));
  fmt::print("release_{}_bad_requests_after_verdict_2s={}\n", Name,
             MaxRequestsAfterPropagation);
  fmt::print("release_{}_seconds_to_verdict_median={:.1f}\n", Name,
             quantile(SecondsToVerdict, 0.5));
  fmt::print("release_{}_unanswered={}\n", Name, UnansweredCount);
  for (const auto &[KindName, Counts] : ByKind)
    fmt::print("release_{}_taken_back_{}={}/{}\n", Name, KindName, Counts.first,
               Counts.second);
  std::fflush(stdout);
  if (!CheckTargets)
    return;
  printTargetResult("good_in_time", GoodInTimeCount / GoodCount, 0.99, false);
  printTargetResult("false_taken_back", GoodRolledBackCount / GoodCount, 0.01,
                    true);
  printTargetResult("bad_taken_back", BadRolledBackCount / BadCount, 1, false);
  printTargetResult("bad_share_max", MaxFirstStepShare, 0.05, true);
  printTargetResult("bad_requests_after_verdict_2s",
                    MaxRequestsAfterPropagation, 0, true);
}

} // namespace

void benchRelease(int Seeds) {
  printReleaseFigures("pooled", runReleases(Seeds, PooledEvidencePolicy{}),
                      true);
  const int BaselineSeeds = std::max(1, Seeds / 2);
  printReleaseFigures("own_evidence",
                      runReleases(BaselineSeeds, OwnEvidencePolicy{}), false);
  printReleaseFigures("threshold",
                      runReleases(BaselineSeeds, ErrorRatePolicy{}), false);
}

} // namespace endivewharf::bench
