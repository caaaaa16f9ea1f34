// Release moves: hundreds of seeded releases, good and bad in each way, under
// faults, with our judge and two baselines.
#include "benches.h"

#include <fmt/format.h>
#include <future>

namespace endivewharf::bench {

namespace {

using namespace fakes;

constexpr Millis WarmUp = 8000;
constexpr Millis Deadline = 90000; // after the note
constexpr Millis RunTime = 100000;
constexpr Millis SpreadTime = 2000; // the brief's bound after a verdict
constexpr int Workers = 5;

enum class Kind {
  Good,
  FailsAll,
  FailsThird,
  FailsLater,
  Slow15,
  Slow2,
  SlowUnderLoad,
  OneRoute,
  OneCentre,
};

constexpr std::array BadKinds = {
    Kind::FailsAll, Kind::FailsThird,    Kind::FailsLater, Kind::Slow15,
    Kind::Slow2,    Kind::SlowUnderLoad, Kind::OneRoute,   Kind::OneCentre};

std::string_view name(Kind Value) {
  constexpr std::array Names = {
      "good",   "fails_all",       "fails_third", "fails_later", "slow_1.5",
      "slow_2", "slow_under_load", "one_route",   "one_centre"};
  return Names[static_cast<std::size_t>(Value)];
}

VersionFault faultFor(Kind Which, Millis Now) {
  VersionFault F;
  switch (Which) {
  case Kind::Good:
    break;
  case Kind::FailsAll:
    F.FailShare_ = 1;
    break;
  case Kind::FailsThird:
    F.FailShare_ = 0.33;
    break;
  case Kind::FailsLater:
    F.FailShare_ = 0.5;
    F.From_ = Now + 50000;
    break;
  case Kind::Slow15:
    F.Slowdown_ = 1.5;
    break;
  case Kind::Slow2:
    F.Slowdown_ = 2;
    break;
  case Kind::SlowUnderLoad:
    F.Slowdown_ = 2.5;
    F.MinRunning_ = 2;
    break;
  case Kind::OneRoute:
    F.FailShare_ = 0.6;
    F.Route_ = "completions";
    break;
  case Kind::OneCentre:
    F.FailShare_ = 0.6;
    F.DataCentre_ = "dc1";
    break;
  }
  return F;
}

struct Result {
  Kind Kind_ = Kind::Good;
  bool Done_ = false;
  bool DoneInTime_ = false;
  bool TakenBack_ = false;
  double ShareBeforeVerdict_ = 0; ///< Largest while the share was the first.
  std::int64_t NewRequests_ = 0;
  std::int64_t NewAfterSpread_ = 0;
  double SecondsToVerdict_ = 0; ///< From the first new request.
  int Unanswered_ = 0;
};

Result runOne(std::uint64_t Seed, Kind Which, const JudgePolicy &Policy,
              bool Faults) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  World W(Options);
  for (int I = 0; I < 12; ++I) {
    EngineShape Shape;
    Shape.LoadMs_ = Faults ? 2000 : 800; // a slow weight store
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}}, Shape);
  }
  W.publishConfig(exampleConfig({"m"}));
  for (int I = 0; I < W.entries(); ++I)
    W.state(I).Release_.Policy_ = Policy;
  W.run(WarmUp);
  const Millis Begin = W.now();
  W.setVersionFault("v2", faultFor(Which, Begin));
  W.publish(NoteRecord{NoOffset, "n", W.unixNow() + Deadline, {{"m", "v2"}}});
  if (Faults) {
    W.at(Begin + 12000 + static_cast<Millis>(Seed * 37 % 20000),
         [&W] { W.LogDown_ = true; });
    W.at(Begin + 24000 + static_cast<Millis>(Seed * 37 % 20000),
         [&W] { W.LogDown_ = false; });
    W.at(Begin + 20000, [&W] {
      W.notice(W.Engines_[0].Row_.Host_, 2000);
      W.notice(W.Engines_[3].Row_.Host_, 2000);
    });
    W.at(Begin + 22000, [&W] {
      W.killEngine(0);
      W.killEngine(3);
    });
  }
  Result R;
  R.Kind_ = Which;
  Millis FirstNew = -1;
  Millis VerdictAt = -1;
  std::int64_t NewAtSpread = 0;
  for (int I = 0; W.now() < Begin + RunTime; ++I) {
    CallRequest Request = World::completion(
        fmt::format("k{}", I % 5), "m", fmt::format("q{} about canvas", I), 6);
    if (I % 3 == 0)
      Request.Route_ = "completions";
    W.send(I % 4, Request);
    W.run(25);
    std::int64_t New = 0;
    std::int64_t All = 0;
    for (const FakeEngine &E : W.Engines_)
      for (const auto &[Version, Count] : E.AttemptsByVersion_) {
        All += Count;
        New += Version == "v2" ? Count : 0;
      }
    double Share = 0;
    bool Bad = false;
    for (int J = 0; J < W.entries(); ++J) {
      const auto &Moves = W.state(J).Release_.Moves_;
      const auto Found = Moves.find("m");
      if (Found == Moves.end())
        continue;
      Share = std::max(Share, Found->second.Row_.Share_);
      Bad = Bad || Found->second.Row_.Bad_;
    }
    if (New > 0 && FirstNew < 0)
      FirstNew = W.now();
    if (Share <= 0.05 && All > 100)
      R.ShareBeforeVerdict_ =
          std::max(R.ShareBeforeVerdict_,
                   static_cast<double>(New) / static_cast<double>(All));
    if (Bad && VerdictAt < 0)
      VerdictAt = W.now();
    if (VerdictAt < 0 || W.now() <= VerdictAt + SpreadTime)
      NewAtSpread = New;
    R.NewRequests_ = New;
    if (Share >= 1 && !Bad && !R.Done_) {
      R.Done_ = true;
      R.DoneInTime_ = W.now() <= Begin + Deadline;
    }
  }
  W.run(3000);
  R.TakenBack_ = VerdictAt >= 0;
  R.NewAfterSpread_ = R.TakenBack_ ? R.NewRequests_ - NewAtSpread : 0;
  if (R.TakenBack_ && FirstNew >= 0)
    R.SecondsToVerdict_ = static_cast<double>(VerdictAt - FirstNew) / 1000;
  for (const Outcome &O : W.outcomes())
    R.Unanswered_ += O.Ended_ && !O.Answered_ ? 1 : 0;
  return R;
}

std::vector<Result> runMany(int Seeds, const JudgePolicy &Policy) {
  std::vector<std::pair<std::uint64_t, Kind>> Jobs;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    for (const Kind Which : BadKinds)
      Jobs.emplace_back(Seed, Which);
    for (std::size_t I = 0; I < BadKinds.size(); ++I)
      Jobs.emplace_back(1000 + Seed * 10 + I, Kind::Good);
  }
  std::vector<Result> Results(Jobs.size());
  std::vector<std::future<void>> Running;
  for (int Worker = 0; Worker < Workers; ++Worker)
    Running.push_back(std::async(std::launch::async, [&, Worker] {
      for (std::size_t I = static_cast<std::size_t>(Worker); I < Jobs.size();
           I += Workers)
        Results[I] = runOne(Jobs[I].first, Jobs[I].second, Policy, I % 2 == 1);
    }));
  for (auto &Worker : Running)
    Worker.get();
  return Results;
}

void summarize(const std::string &Name, const std::vector<Result> &Results,
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
  for (const Result &R : Results) {
    Unanswered += R.Unanswered_;
    Share = std::max(Share, R.ShareBeforeVerdict_);
    if (R.Kind_ == Kind::Good) {
      ++Good;
      GoodInTime += R.DoneInTime_ && !R.TakenBack_ ? 1 : 0;
      FalseBack += R.TakenBack_ ? 1 : 0;
      continue;
    }
    ++Bad;
    BadBack += R.TakenBack_ ? 1 : 0;
    auto &[Back, All] = ByKind[std::string(name(R.Kind_))];
    ++All;
    Back += R.TakenBack_ ? 1 : 0;
    After = std::max(After, static_cast<double>(R.NewAfterSpread_));
    BadRequests.push_back(static_cast<double>(R.NewRequests_));
    if (R.TakenBack_)
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
  judgeTarget("good_in_time", GoodInTime / Good, 0.99, false);
  judgeTarget("false_taken_back", FalseBack / Good, 0.01, true);
  judgeTarget("bad_taken_back", BadBack / Bad, 1, false);
  judgeTarget("bad_share_max", Share, 0.05, true);
  judgeTarget("bad_requests_after_verdict_2s", After, 0, true);
}

} // namespace

void benchRelease(int Seeds) {
  summarize("pooled", runMany(Seeds, PooledTestJudge{}), true);
  const int Fewer = std::max(1, Seeds / 2);
  summarize("own_evidence", runMany(Fewer, OwnEvidenceJudge{}), false);
  summarize("threshold", runMany(Fewer, ErrorRateJudge{}), false);
}

} // namespace endivewharf::bench
