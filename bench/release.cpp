// Release moves: hundreds of seeded releases, good and bad in each way, under
// faults, with our judge and two baselines.
#include "benches.h"

#include <fmt/format.h>
#include <future>

namespace endivewharf::bench {

namespace {

using namespace fakes;

constexpr Millis WarmUpTime = 8000;
constexpr Millis RolloutDeadline = 90000; // after the note
constexpr Millis RunTime = 100000;
constexpr Millis VerdictPropagationTime =
    2000; // the brief's bound after a verdict
constexpr int WorkerCount = 5;

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

std::string_view releaseKindName(ReleaseKind Value) {
  constexpr std::array Names = {
      "good",   "fails_all",       "fails_third", "fails_later", "slow_1.5",
      "slow_2", "slow_under_load", "one_route",   "one_centre"};
  return Names[static_cast<std::size_t>(Value)];
}

VersionFault faultFor(ReleaseKind Which, Millis Now) {
  VersionFault F;
  switch (Which) {
  case ReleaseKind::Good:
    break;
  case ReleaseKind::FailsAll:
    F.FailureShare_ = 1;
    break;
  case ReleaseKind::FailsThird:
    F.FailureShare_ = 0.33;
    break;
  case ReleaseKind::FailsLater:
    F.FailureShare_ = 0.5;
    F.ActiveFrom_ = Now + 50000;
    break;
  case ReleaseKind::SlowOneAndHalf:
    F.SlowdownFactor_ = 1.5;
    break;
  case ReleaseKind::SlowDouble:
    F.SlowdownFactor_ = 2;
    break;
  case ReleaseKind::SlowUnderLoad:
    F.SlowdownFactor_ = 2.5;
    F.MinRunningRequests_ = 2;
    break;
  case ReleaseKind::FailsOneRoute:
    F.FailureShare_ = 0.6;
    F.Route_ = "completions";
    break;
  case ReleaseKind::FailsOneDataCentre:
    F.FailureShare_ = 0.6;
    F.DataCentre_ = "dc1";
    break;
  }
  return F;
}

struct ReleaseResult {
  ReleaseKind Kind_ = ReleaseKind::Good;
  bool Completed_ = false;
  bool CompletedInTime_ = false;
  bool RolledBack_ = false;
  double MaxFirstStepShare_ = 0; ///< Largest while the share was the first.
  std::int64_t NewVersionRequests_ = 0;
  std::int64_t NewVersionRequestsAfterPropagation_ = 0;
  double SecondsToVerdict_ = 0; ///< From the first new request.
  int UnansweredRequests_ = 0;
};

ReleaseResult runRelease(std::uint64_t Seed, ReleaseKind Which,
                         const VerdictPolicy &Policy, bool Faults) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  World W(Options);
  for (int I = 0; I < 12; ++I) {
    EngineParameters Shape;
    Shape.ModelLoadMs_ = Faults ? 2000 : 800; // a slow weight store
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}}, Shape);
  }
  W.publishConfig(exampleConfig({"m"}));
  for (int I = 0; I < W.entryCount(); ++I)
    W.state(I).Release_.VerdictPolicy_ = Policy;
  W.runFor(WarmUpTime);
  const Millis Begin = W.now();
  W.setVersionFault("v2", faultFor(Which, Begin));
  W.appendLogRecord(ReleaseNoteRecord{
      NoOffset, "n", W.unixNow() + RolloutDeadline, {{"m", "v2"}}});
  if (Faults) {
    W.scheduleAt(Begin + 12000 + static_cast<Millis>(Seed * 37 % 20000),
                 [&W] { W.LogUnavailable_ = true; });
    W.scheduleAt(Begin + 24000 + static_cast<Millis>(Seed * 37 % 20000),
                 [&W] { W.LogUnavailable_ = false; });
    W.scheduleAt(Begin + 20000, [&W] {
      W.publishReclaimNotice(W.Engines_[0].Row_.Host_, 2000);
      W.publishReclaimNotice(W.Engines_[3].Row_.Host_, 2000);
    });
    W.scheduleAt(Begin + 22000, [&W] {
      W.killEngine(0);
      W.killEngine(3);
    });
  }
  ReleaseResult R;
  R.Kind_ = Which;
  Millis FirstNew = -1;
  Millis VerdictAt = -1;
  std::int64_t NewAtSpread = 0;
  for (int I = 0; W.now() < Begin + RunTime; ++I) {
    CallRequest Request = World::makeCompletionRequest(
        fmt::format("k{}", I % 5), "m", fmt::format("q{} about canvas", I), 6);
    if (I % 3 == 0)
      Request.Route_ = "completions";
    W.sendRequest(I % 4, Request);
    W.runFor(25);
    std::int64_t New = 0;
    std::int64_t All = 0;
    for (const FakeEngine &E : W.Engines_)
      for (const auto &[Version, Count] : E.AttemptsByVersion_) {
        All += Count;
        New += Version == "v2" ? Count : 0;
      }
    double Share = 0;
    bool Bad = false;
    for (int J = 0; J < W.entryCount(); ++J) {
      const auto &Moves = W.state(J).Release_.Rollouts_;
      const auto Found = Moves.find("m");
      if (Found == Moves.end())
        continue;
      Share = std::max(Share, Found->second.Row_.Share_);
      Bad = Bad || Found->second.Row_.RolledBack_;
    }
    if (New > 0 && FirstNew < 0)
      FirstNew = W.now();
    if (Share <= 0.05 && All > 100)
      R.MaxFirstStepShare_ =
          std::max(R.MaxFirstStepShare_,
                   static_cast<double>(New) / static_cast<double>(All));
    if (Bad && VerdictAt < 0)
      VerdictAt = W.now();
    if (VerdictAt < 0 || W.now() <= VerdictAt + VerdictPropagationTime)
      NewAtSpread = New;
    R.NewVersionRequests_ = New;
    if (Share >= 1 && !Bad && !R.Completed_) {
      R.Completed_ = true;
      R.CompletedInTime_ = W.now() <= Begin + RolloutDeadline;
    }
  }
  W.runFor(3000);
  R.RolledBack_ = VerdictAt >= 0;
  R.NewVersionRequestsAfterPropagation_ =
      R.RolledBack_ ? R.NewVersionRequests_ - NewAtSpread : 0;
  if (R.RolledBack_ && FirstNew >= 0)
    R.SecondsToVerdict_ = static_cast<double>(VerdictAt - FirstNew) / 1000;
  for (const Outcome &O : W.outcomes())
    R.UnansweredRequests_ += O.Ended_ && !O.Answered_ ? 1 : 0;
  return R;
}

std::vector<ReleaseResult> runReleases(int Seeds, const VerdictPolicy &Policy) {
  std::vector<std::pair<std::uint64_t, ReleaseKind>> Jobs;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    for (const ReleaseKind Which : BadKinds)
      Jobs.emplace_back(Seed, Which);
    for (std::size_t I = 0; I < BadKinds.size(); ++I)
      Jobs.emplace_back(1000 + Seed * 10 + I, ReleaseKind::Good);
  }
  std::vector<ReleaseResult> Results(Jobs.size());
  std::vector<std::future<void>> Running;
  for (int Worker = 0; Worker < WorkerCount; ++Worker)
    Running.push_back(std::async(std::launch::async, [&, Worker] {
      for (std::size_t I = static_cast<std::size_t>(Worker); I < Jobs.size();
           I += WorkerCount)
        Results[I] =
            runRelease(Jobs[I].first, Jobs[I].second, Policy, I % 2 == 1);
    }));
  for (auto &Worker : Running)
    Worker.get();
  return Results;
}

void printReleaseFigures(const std::string &Name,
                         const std::vector<ReleaseResult> &Results,
                         bool Judge) {
  double Good = 0;
  double GoodInTime = 0;
  double FalseBack = 0;
  double Bad = 0;
  double BadBack = 0;
  double Share = 0;
  double After = 0;
  double Unanswered = 0;
  std::vector<double> BadRequests;
  std::vector<double> Seconds;
  std::map<std::string, std::pair<int, int>> ByKind;
  for (const ReleaseResult &R : Results) {
    Unanswered += R.UnansweredRequests_;
    Share = std::max(Share, R.MaxFirstStepShare_);
    if (R.Kind_ == ReleaseKind::Good) {
      ++Good;
      GoodInTime += R.CompletedInTime_ && !R.RolledBack_ ? 1 : 0;
      FalseBack += R.RolledBack_ ? 1 : 0;
      continue;
    }
    ++Bad;
    BadBack += R.RolledBack_ ? 1 : 0;
    auto &[Back, All] = ByKind[std::string(releaseKindName(R.Kind_))];
    ++All;
    Back += R.RolledBack_ ? 1 : 0;
    After = std::max(
        After, static_cast<double>(R.NewVersionRequestsAfterPropagation_));
    BadRequests.push_back(static_cast<double>(R.NewVersionRequests_));
    if (R.RolledBack_)
      Seconds.push_back(R.SecondsToVerdict_);
  }
  fmt::print("release_{}_runs={}\n", Name, Results.size());
  fmt::print("release_{}_good_in_time={:.3f}\n", Name, GoodInTime / Good);
  fmt::print("release_{}_false_taken_back={:.3f}\n", Name, FalseBack / Good);
  fmt::print("release_{}_bad_taken_back={:.3f}\n", Name, BadBack / Bad);
  fmt::print("release_{}_bad_share_max={:.4f}\n", Name, Share);
  fmt::print("release_{}_bad_requests_median={}\n", Name,
             quantile(BadRequests, 0.5));
  fmt::print("release_{}_bad_requests_after_verdict_2s={}\n", Name, After);
  fmt::print("release_{}_seconds_to_verdict_median={:.1f}\n", Name,
             quantile(Seconds, 0.5));
  fmt::print("release_{}_unanswered={}\n", Name, Unanswered);
  for (const auto &[Which, Count] : ByKind)
    fmt::print("release_{}_taken_back_{}={}/{}\n", Name, Which, Count.first,
               Count.second);
  std::fflush(stdout);
  if (!Judge)
    return;
  printTargetResult("good_in_time", GoodInTime / Good, 0.99, false);
  printTargetResult("false_taken_back", FalseBack / Good, 0.01, true);
  printTargetResult("bad_taken_back", BadBack / Bad, 1, false);
  printTargetResult("bad_share_max", Share, 0.05, true);
  printTargetResult("bad_requests_after_verdict_2s", After, 0, true);
}

} // namespace

void benchRelease(int Seeds) {
  printReleaseFigures("pooled", runReleases(Seeds, PooledEvidencePolicy{}),
                      true);
  const int Fewer = std::max(1, Seeds / 2);
  printReleaseFigures("own_evidence", runReleases(Fewer, OwnEvidencePolicy{}),
                      false);
  printReleaseFigures("threshold", runReleases(Fewer, ErrorRatePolicy{}),
                      false);
}

} // namespace endivewharf::bench
