// All faults at random in pairs, from a seed; every promise counted.
#include "chaos.h"
#include "benches.h"

#include <fmt/format.h>

namespace endivewharf::bench {

using namespace fakes;

namespace {

constexpr Millis WarmUpTime = 8000;
constexpr Millis FaultInterval = 700;
constexpr int MaxExchanges = 8;
constexpr Millis CallerTimeout = 15000; // of a caller

/// Callers that go on elsewhere when their process moves or dies.
class ChaosRun {
public:
  ChaosRun(std::uint64_t Seed, int Requests)
      : RequestCount_(Requests), Options_(optionsFor(Seed)), World_(Options_),
        RandomGenerator_(Seed * 7919) {
    for (int I = 0; I < 9; ++I)
      World_.addEngine(fmt::format("e{}", I), World_.dataCentre(I),
                       {{"m", "v1"}});
    for (int I = 0; I < 3; ++I)
      World_.addService(fmt::format("s{}", I), "desk", World_.dataCentre(I));
    World_.publishConfig(exampleConfig({"m"}));
    World_.OnOutcomeEnded_ = [this](std::size_t Which) {
      onOutcomeEnded(Which);
    };
  }

  ChaosResult run() {
    World_.runFor(WarmUpTime);
    Millis NextFault = World_.now() + FaultInterval;
    for (int I = 0; I < RequestCount_; ++I) {
      sendNewRequest(I);
      World_.runFor(static_cast<Millis>(RandomGenerator_() % 40));
      countConfigReverts();
      if (World_.now() >= NextFault) {
        NextFault = World_.now() + FaultInterval;
        endMostFaults();
        injectFault();
        injectFault();
      }
    }
    endAllFaults();
    World_.runFor(CallerTimeout + 25000);
    countFinalResults();
    return Result_;
  }

private:
  struct CallerState {
    std::size_t LastOutcome_ = 0;
    int Exchanges_ = 0;
    Millis StartedAt_ = 0;
    bool Accepted_ = false; ///< A process had taken it when it ended.
    bool Answered_ = false;
    bool IsCompletion_ = true;
  };

  static WorldOptions optionsFor(std::uint64_t Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    Options.PeerMessageLossShare_ = 0.02;
    return Options;
  }

  int pickReadyEntry() {
    for (int Try = 0; Try < 20; ++Try) {
      const int I = static_cast<int>(RandomGenerator_() % 4);
      if (World_.entry(I).Alive_ && !World_.entry(I).Paused_ &&
          World_.state(I).Ready_)
        return I;
    }
    return 0;
  }

  void sendNewRequest(int Number) {
    const bool Booking = Number % 4 == 0;
    CallRequest Request =
        Booking ? World::makeServiceRequest("k1", "desk",
                                            fmt::format("key-{}", Number / 8))
                : World::makeCompletionRequest(
                      "k0", "m", fmt::format("p{}", Number), 5 + Number % 60);
    Request.TimeLimit_ = CallerTimeout;
    CallerState New;
    New.StartedAt_ = World_.now();
    New.IsCompletion_ = !Booking;
    New.LastOutcome_ = World_.outcomes().size();
    const std::size_t Index = Callers_.size();
    Callers_.push_back(New);
    CallerByOutcome_[New.LastOutcome_] = Index;
    ++Result_.Requests_;
    World_.sendRequest(pickReadyEntry(), std::move(Request));
  }

  void onOutcomeEnded(std::size_t Which) {
    const Outcome &O = World_.outcome(Which);
    countViolations(O);
    const auto Found = CallerByOutcome_.find(Which);
    if (Found == CallerByOutcome_.end())
      return;
    CallerState &A = Callers_[Found->second];
    if (O.Answered_) {
      A.Answered_ = true;
      return;
    }
    A.Accepted_ =
        A.Accepted_ || O.TokensReceived_ > 0 || O.EntryDied_ || O.Redirected_;
    if (++A.Exchanges_ >= MaxExchanges ||
        World_.now() - A.StartedAt_ > CallerTimeout)
      return;
    const std::size_t Index = Found->second;
    const Millis Pause = O.Redirected_ ? 10 : 300;
    World_.scheduleAt(World_.now() + Pause,
                      [this, Which, Index] { retryRequest(Which, Index); });
  }

  void retryRequest(std::size_t Before, std::size_t Index) {
    const Outcome &O = World_.outcome(Before);
    const int Entry = pickReadyEntry();
    const bool Resume = Callers_[Index].IsCompletion_ &&
                        (O.Redirected_ || O.EntryDied_) &&
                        (O.TokensReceived_ > 0 || O.Redirected_);
    const std::size_t Next = World_.outcomes().size();
    CallerByOutcome_[Next] = Index;
    Callers_[Index].LastOutcome_ = Next;
    if (Resume) {
      World_.resumeStream(Entry, Before);
      return;
    }
    CallRequest Request = O.Request_;
    if (Callers_[Index].IsCompletion_)
      Request.RequestId_.clear();
    else
      Request.RequestId_ += "+";
    World_.sendRequest(Entry, Request);
  }

  /// What must never be, counted for each outcome.
  void countViolations(const Outcome &O) {
    if (O.TokenSequenceWrong_)
      ++Result_.WrongTokenSequences_;
    const bool Completion = O.Request_.Kind_ == CallKind::Completion;
    if (O.Answered_ && Completion && O.TokensReceived_ != O.Request_.MaxTokens_)
      ++Result_.Truncated_;
    if (!O.Answered_ && !O.EntryDied_ && !Completion &&
        O.Error_.RunState_ == RunState::NotRun && O.ExecutionsAtRefusal_ > 0)
      ++Result_.FalseNotRun_;
  }

  void countConfigReverts() {
    for (int I = 0; I < 4; ++I) {
      const State &S = World_.state(I);
      auto &Known =
          HighestConfigVersions_.try_emplace(S.Self_, NoOffset).first->second;
      if (S.Config_.Version_ < Known)
        ++Result_.ConfigReverts_;
      Known = std::max(Known, S.Config_.Version_);
      NewestConfigVersion_ = std::max(NewestConfigVersion_, Known);
    }
  }

  void injectFault() {
    const int Which = static_cast<int>(RandomGenerator_() % 4);
    switch (RandomGenerator_() % 11) {
    case 0:
      World_.LogUnavailable_ = true;
      break;
    case 1:
      World_.LostAppendReplyShare_ = 0.5;
      break;
    case 2:
      World_.setDataCentreIsolated(World_.dataCentre(Which), true);
      break;
    case 3:
      World_.setPlatformUnreachable(World_.dataCentre(Which), true);
      break;
    case 4:
      if (aliveEntryCount() > 2 && World_.entry(Which).Alive_) {
        World_.killEntry(Which);
        const int Back = Which;
        World_.scheduleAt(World_.now() + 1000,
                          [this, Back] { World_.restartEntry(Back); });
      }
      break;
    case 5:
      if (aliveEntryCount() > 2 && World_.entry(Which).Alive_)
        World_.pauseEntry(Which);
      break;
    case 6:
      if (aliveEntryCount() > 2 && World_.entry(Which).Alive_) {
        World_.publishReclaimNotice(World_.state(Which).Self_, 2000);
        const int Back = Which;
        World_.scheduleAt(World_.now() + 4000, [this, Back] {
          if (!World_.entry(Back).Alive_)
            World_.restartEntry(Back);
        });
      }
      break;
    case 7:
      reclaimEngine(
          static_cast<int>(RandomGenerator_() % World_.Engines_.size()));
      break;
    case 8:
      for (FakeService &S : World_.Services_)
        S.RepliesToLose_ += RandomGenerator_() % 2 == 0 ? 1 : 0;
      break;
    case 9:
      World_.Services_[RandomGenerator_() % 3].RefusesRequests_ = true;
      break;
    default:
      World_.appendLogRecord(ConfigRecord{RandomGenerator_() % 3 == 0
                                              ? NewestConfigVersion_ - 1
                                              : NewestConfigVersion_,
                                          exampleConfig({"m"})});
    }
  }

  int aliveEntryCount() const {
    int Count = 0;
    for (int I = 0; I < 4; ++I)
      Count += const_cast<World &>(World_).entry(I).Alive_ ? 1 : 0;
    return Count;
  }

  /// The engine leaves with two seconds' notice and comes back as a new life.
  void reclaimEngine(int Which) {
    FakeEngine &E = World_.Engines_[static_cast<std::size_t>(Which)];
    if (E.Dead_)
      return;
    World_.publishReclaimNotice(E.Row_.Host_, 2000);
    World_.scheduleAt(World_.now() + 2000,
                      [this, Which] { World_.killEngine(Which); });
    World_.scheduleAt(World_.now() + 5000, [this, Which] {
      FakeEngine &Back = World_.Engines_[static_cast<std::size_t>(Which)];
      ++Back.Row_.Host_.Incarnation_;
      Back.Dead_ = false;
    });
  }

  /// Ends most faults, so that two at a time are the rule.
  void endMostFaults() {
    World_.LogUnavailable_ = false;
    World_.LostAppendReplyShare_ = 0;
    for (int I = 0; I < 3; ++I) {
      World_.setDataCentreIsolated(World_.dataCentre(I), false);
      World_.setPlatformUnreachable(World_.dataCentre(I), false);
    }
    for (int I = 0; I < 4; ++I)
      if (World_.entry(I).Paused_ && RandomGenerator_() % 3 == 0)
        World_.unpauseEntry(I);
    for (FakeService &S : World_.Services_)
      S.RefusesRequests_ = false;
  }

  void endAllFaults() {
    endMostFaults();
    for (int I = 0; I < 4; ++I) {
      if (World_.entry(I).Paused_)
        World_.unpauseEntry(I);
      if (!World_.entry(I).Alive_)
        World_.restartEntry(I);
    }
  }

  void countFinalResults() {
    for (const auto &[Key, Times] : World_.ExecutionsByKey_)
      if (Key.rfind("key-", 0) == 0 && Times > 1)
        ++Result_.RepeatedSideEffects_;
    for (const CallerState &A : Callers_) {
      Result_.Answered_ += A.Answered_ ? 1 : 0;
      // A caller has to be left with an answer or with a typed refusal.
      const Outcome &Last = World_.outcome(A.LastOutcome_);
      const bool Refused = Last.Ended_ && !Last.EntryDied_ && !Last.Redirected_;
      // Whose process was killed without notice at the last try, or who found
      // no process ready, is told so by the connection.
      Result_.EndedByEntryDeath_ += !A.Answered_ && Last.EntryDied_ ? 1 : 0;
      Result_.Unfinished_ += A.Answered_ || Refused || Last.EntryDied_ ? 0 : 1;
    }
  }

  int RequestCount_;
  WorldOptions Options_;
  World World_;
  std::mt19937_64 RandomGenerator_;
  ChaosResult Result_;
  std::vector<CallerState> Callers_;
  std::map<std::size_t, std::size_t> CallerByOutcome_;
  std::map<InstanceId, LogOffset> HighestConfigVersions_;
  LogOffset NewestConfigVersion_ = 0;
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
               Seed, R.Requests_, R.Answered_, R.Unfinished_,
               R.WrongTokenSequences_, R.Truncated_, R.FalseNotRun_,
               R.RepeatedSideEffects_, R.ConfigReverts_, R.EndedByEntryDeath_);
    Sum.EndedByEntryDeath_ += R.EndedByEntryDeath_;
    Sum.Requests_ += R.Requests_;
    Sum.Answered_ += R.Answered_;
    Sum.Unfinished_ += R.Unfinished_;
    Sum.WrongTokenSequences_ += R.WrongTokenSequences_;
    Sum.Truncated_ += R.Truncated_;
    Sum.FalseNotRun_ += R.FalseNotRun_;
    Sum.RepeatedSideEffects_ += R.RepeatedSideEffects_;
    Sum.ConfigReverts_ += R.ConfigReverts_;
  }
  fmt::print("requests={}\nanswered={}\ncut_off={}\nlost={}\nduplicated={}"
             "\ntruncated={}\n"
             "false_not_run={}\nrepeated_side_effects={}\nconfig_reverts={}\n",
             Sum.Requests_, Sum.Answered_, Sum.EndedByEntryDeath_,
             Sum.Unfinished_, Sum.WrongTokenSequences_, Sum.Truncated_,
             Sum.FalseNotRun_, Sum.RepeatedSideEffects_, Sum.ConfigReverts_);
  if (Sum.Unfinished_ + Sum.WrongTokenSequences_ + Sum.Truncated_ +
          Sum.FalseNotRun_ + Sum.RepeatedSideEffects_ + Sum.ConfigReverts_ >
      0)
    recordFailure("chaos");
}

} // namespace endivewharf::bench
