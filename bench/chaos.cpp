// All faults at random in pairs, from a seed; every promise counted.
#include "chaos.h"
#include "benches.h"

#include <fmt/format.h>

namespace endivewharf::bench {

using namespace fakes;

namespace {

constexpr Millis WarmUp = 8000;
constexpr Millis FaultPeriod = 700;
constexpr int MaxTries = 8;
constexpr Millis Patience = 15000; // of a caller

/// Callers that go on elsewhere when their process moves or dies.
class ChaosRun {
public:
  ChaosRun(std::uint64_t Seed, int Requests)
      : Requests_(Requests), Options_(optionsFor(Seed)), W_(Options_),
        Random_(Seed * 7919) {
    for (int I = 0; I < 9; ++I)
      W_.addEngine(fmt::format("e{}", I), W_.dataCentre(I), {{"m", "v1"}});
    for (int I = 0; I < 3; ++I)
      W_.addService(fmt::format("s{}", I), "desk", W_.dataCentre(I));
    W_.publishConfig(exampleConfig({"m"}));
    W_.OnEnded_ = [this](std::size_t Which) { onEnded(Which); };
  }

  ChaosResult run() {
    W_.run(WarmUp);
    Millis NextFault = W_.now() + FaultPeriod;
    for (int I = 0; I < Requests_; ++I) {
      begin(I);
      W_.run(static_cast<Millis>(Random_() % 40));
      watchConfig();
      if (W_.now() >= NextFault) {
        NextFault = W_.now() + FaultPeriod;
        heal();
        makeFault();
        makeFault();
      }
    }
    healAll();
    W_.run(Patience + 25000);
    finish();
    return Result_;
  }

private:
  struct Asked {
    std::size_t Last_ = 0;
    int Tries_ = 0;
    Millis BeganAt_ = 0;
    bool Accepted_ = false; ///< A process had taken it when it ended.
    bool Done_ = false;
    bool Completion_ = true;
  };

  static WorldOptions optionsFor(std::uint64_t Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    Options.Loss_ = 0.02;
    return Options;
  }

  int pickAlive() {
    for (int Try = 0; Try < 20; ++Try) {
      const int I = static_cast<int>(Random_() % 4);
      if (W_.entry(I).Alive_ && !W_.entry(I).Paused_ && W_.state(I).Ready_)
        return I;
    }
    return 0;
  }

  void begin(int Number) {
    const bool Booking = Number % 4 == 0;
    CallRequest Request =
        Booking
            ? World::booking("k1", "desk", fmt::format("key-{}", Number / 8))
            : World::completion("k0", "m", fmt::format("p{}", Number),
                                5 + Number % 60);
    Request.TimeLimit_ = Patience;
    Asked New;
    New.BeganAt_ = W_.now();
    New.Completion_ = !Booking;
    New.Last_ = W_.outcomes().size();
    const std::size_t Index = Asked_.size();
    Asked_.push_back(New);
    ByOutcome_[New.Last_] = Index;
    ++Result_.Requests_;
    W_.send(pickAlive(), std::move(Request));
  }

  void onEnded(std::size_t Which) {
    const Outcome &O = W_.outcome(Which);
    count(O);
    const auto Found = ByOutcome_.find(Which);
    if (Found == ByOutcome_.end())
      return;
    Asked &A = Asked_[Found->second];
    if (O.Answered_) {
      A.Done_ = true;
      return;
    }
    A.Accepted_ = A.Accepted_ || O.Tokens_ > 0 || O.Cut_ || O.Moved_;
    if (++A.Tries_ >= MaxTries || W_.now() - A.BeganAt_ > Patience)
      return;
    const std::size_t Index = Found->second;
    const Millis Pause = O.Moved_ ? 10 : 300;
    W_.at(W_.now() + Pause, [this, Which, Index] { again(Which, Index); });
  }

  void again(std::size_t Before, std::size_t Index) {
    const Outcome &O = W_.outcome(Before);
    const int Entry = pickAlive();
    const bool Resume = Asked_[Index].Completion_ && (O.Moved_ || O.Cut_) &&
                        (O.Tokens_ > 0 || O.Moved_);
    const std::size_t Next = W_.outcomes().size();
    ByOutcome_[Next] = Index;
    Asked_[Index].Last_ = Next;
    if (Resume) {
      W_.resume(Entry, Before);
      return;
    }
    CallRequest Request = O.Request_;
    if (Asked_[Index].Completion_)
      Request.RequestId_.clear();
    else
      Request.RequestId_ += "+";
    W_.send(Entry, Request);
  }

  /// What must never be, counted for each outcome.
  void count(const Outcome &O) {
    if (O.Wrong_)
      ++Result_.Wrong_;
    const bool Completion = O.Request_.Kind_ == CallKind::Completion;
    if (O.Answered_ && Completion && O.Tokens_ != O.Request_.MaxTokens_)
      ++Result_.Truncated_;
    if (!O.Answered_ && !O.Cut_ && !Completion &&
        O.Error_.Run_ == RunState::NotRun && O.RunsAtRefusal_ > 0)
      ++Result_.FalseNotRun_;
  }

  void watchConfig() {
    for (int I = 0; I < 4; ++I) {
      const State &S = W_.state(I);
      auto &Known = Versions_.try_emplace(S.Self_, NoOffset).first->second;
      if (S.Config_.Version_ < Known)
        ++Result_.ConfigReverts_;
      Known = std::max(Known, S.Config_.Version_);
      NewestConfig_ = std::max(NewestConfig_, Known);
    }
  }

  void makeFault() {
    const int Which = static_cast<int>(Random_() % 4);
    switch (Random_() % 11) {
    case 0:
      W_.LogDown_ = true;
      break;
    case 1:
      W_.LoseAppendReplies_ = 0.5;
      break;
    case 2:
      W_.cut(W_.dataCentre(Which), true);
      break;
    case 3:
      W_.cutPlatform(W_.dataCentre(Which), true);
      break;
    case 4:
      if (aliveEntries() > 2 && W_.entry(Which).Alive_) {
        W_.kill(Which);
        const int Back = Which;
        W_.at(W_.now() + 1000, [this, Back] { W_.restart(Back); });
      }
      break;
    case 5:
      if (aliveEntries() > 2 && W_.entry(Which).Alive_)
        W_.pause(Which);
      break;
    case 6:
      if (aliveEntries() > 2 && W_.entry(Which).Alive_) {
        W_.notice(W_.state(Which).Self_, 2000);
        const int Back = Which;
        W_.at(W_.now() + 4000, [this, Back] {
          if (!W_.entry(Back).Alive_)
            W_.restart(Back);
        });
      }
      break;
    case 7:
      reclaimEngine(static_cast<int>(Random_() % W_.Engines_.size()));
      break;
    case 8:
      for (FakeService &S : W_.Services_)
        S.LoseReplies_ += Random_() % 2 == 0 ? 1 : 0;
      break;
    case 9:
      W_.Services_[Random_() % 3].Refuse_ = true;
      break;
    default:
      W_.publish(
          ConfigRecord{Random_() % 3 == 0 ? NewestConfig_ - 1 : NewestConfig_,
                       exampleConfig({"m"})});
    }
  }

  int aliveEntries() const {
    int Count = 0;
    for (int I = 0; I < 4; ++I)
      Count += const_cast<World &>(W_).entry(I).Alive_ ? 1 : 0;
    return Count;
  }

  /// The engine leaves with two seconds' notice and comes back as a new life.
  void reclaimEngine(int Which) {
    FakeEngine &E = W_.Engines_[static_cast<std::size_t>(Which)];
    if (E.Dead_)
      return;
    W_.notice(E.Row_.Host_, 2000);
    W_.at(W_.now() + 2000, [this, Which] { W_.killEngine(Which); });
    W_.at(W_.now() + 5000, [this, Which] {
      FakeEngine &Back = W_.Engines_[static_cast<std::size_t>(Which)];
      ++Back.Row_.Host_.Incarnation_;
      Back.Dead_ = false;
    });
  }

  /// Ends most faults, so that two at a time are the rule.
  void heal() {
    W_.LogDown_ = false;
    W_.LoseAppendReplies_ = 0;
    for (int I = 0; I < 3; ++I) {
      W_.cut(W_.dataCentre(I), false);
      W_.cutPlatform(W_.dataCentre(I), false);
    }
    for (int I = 0; I < 4; ++I)
      if (W_.entry(I).Paused_ && Random_() % 3 == 0)
        W_.wake(I);
    for (FakeService &S : W_.Services_)
      S.Refuse_ = false;
  }

  void healAll() {
    heal();
    for (int I = 0; I < 4; ++I) {
      if (W_.entry(I).Paused_)
        W_.wake(I);
      if (!W_.entry(I).Alive_)
        W_.restart(I);
    }
  }

  void finish() {
    for (const auto &[Key, Times] : W_.Executions_)
      if (Key.rfind("key-", 0) == 0 && Times > 1)
        ++Result_.RepeatedSideEffects_;
    for (const Asked &A : Asked_) {
      Result_.Answered_ += A.Done_ ? 1 : 0;
      // A caller has to be left with an answer or with a typed refusal.
      const Outcome &Last = W_.outcome(A.Last_);
      const bool Refused = Last.Ended_ && !Last.Cut_ && !Last.Moved_;
      // Whose process was killed without notice at the last try, or who found
      // no process ready, is told so by the connection.
      Result_.CutOff_ += !A.Done_ && Last.Cut_ ? 1 : 0;
      Result_.Unfinished_ += A.Done_ || Refused || Last.Cut_ ? 0 : 1;
    }
  }

  int Requests_;
  WorldOptions Options_;
  World W_;
  std::mt19937_64 Random_;
  ChaosResult Result_;
  std::vector<Asked> Asked_;
  std::map<std::size_t, std::size_t> ByOutcome_;
  std::map<Life, LogOffset> Versions_;
  LogOffset NewestConfig_ = 0;
};

} // namespace

ChaosResult runChaos(std::uint64_t Seed, int Requests) {
  return ChaosRun(Seed, Requests).run();
}

void benchChaos(int Seeds) { benchChaosSeeds(1, Seeds); }

void benchChaosSeeds(int First, int Last) {
  constexpr int RequestsPerSeed = 2000;
  ChaosResult Sum;
  for (int Seed = First; Seed <= Last; ++Seed) {
    const ChaosResult R =
        runChaos(static_cast<std::uint64_t>(Seed), RequestsPerSeed);
    fmt::print("chaos_seed_{}: requests={} answered={} unfinished={} wrong={} "
               "truncated={} false_not_run={} repeated_side_effects={} "
               "config_reverts={} cut_off={}\n",
               Seed, R.Requests_, R.Answered_, R.Unfinished_, R.Wrong_,
               R.Truncated_, R.FalseNotRun_, R.RepeatedSideEffects_,
               R.ConfigReverts_, R.CutOff_);
    Sum.CutOff_ += R.CutOff_;
    Sum.Requests_ += R.Requests_;
    Sum.Answered_ += R.Answered_;
    Sum.Unfinished_ += R.Unfinished_;
    Sum.Wrong_ += R.Wrong_;
    Sum.Truncated_ += R.Truncated_;
    Sum.FalseNotRun_ += R.FalseNotRun_;
    Sum.RepeatedSideEffects_ += R.RepeatedSideEffects_;
    Sum.ConfigReverts_ += R.ConfigReverts_;
  }
  fmt::print("requests={}\nanswered={}\ncut_off={}\nlost={}\nduplicated={}"
             "\ntruncated={}\n"
             "false_not_run={}\nrepeated_side_effects={}\nconfig_reverts={}\n",
             Sum.Requests_, Sum.Answered_, Sum.CutOff_, Sum.Unfinished_,
             Sum.Wrong_, Sum.Truncated_, Sum.FalseNotRun_,
             Sum.RepeatedSideEffects_, Sum.ConfigReverts_);
  if (Sum.Unfinished_ + Sum.Wrong_ + Sum.Truncated_ + Sum.FalseNotRun_ +
          Sum.RepeatedSideEffects_ + Sum.ConfigReverts_ >
      0)
    fail("chaos");
}

} // namespace endivewharf::bench
