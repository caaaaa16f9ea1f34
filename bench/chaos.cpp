// Sends requests while random faults, two at a time, affect processes, network,
// log, engines and services, and counts violations of each guarantee.
#include "chaos.h"
#include "benches.h"

#include <fmt/format.h>

namespace endivewharf::bench {

using namespace fakes;

namespace {

constexpr Millis WarmUpTime = 8000;
constexpr Millis FaultInterval = 700;
constexpr int MaxExchanges = 8;
constexpr Millis CallerTimeout = 15000; // retries end after it

/// One run. Its callers resume or retry at another entry process when theirs
/// redirects them, refuses or dies.
class ChaosRun {
public:
  ChaosRun(std::uint64_t Seed, int Requests)
      : RequestCount_(Requests), Options_(makeOptions(Seed)), World_(Options_),
        RandomGenerator_(Seed * 7919) {
    for (int I = 0; I < 9; ++I)
      World_.addEngine(fmt::format("e{}", I), World_.dataCentre(I),
                       {{"m", "v1"}});
    for (int I = 0; I < 3; ++I)
      World_.addService(fmt::format("s{}", I), "desk", World_.dataCentre(I));
    World_.publishConfig(exampleConfig({"m"}));
    World_.OnOutcomeEnded_ = [this](std::size_t OutcomeIndex) {
      onOutcomeEnded(OutcomeIndex);
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
    bool Accepted_ = false; ///< An entry process may have accepted it.
    bool Answered_ = false;
    bool IsCompletion_ = true;
  };

  static WorldOptions makeOptions(std::uint64_t Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    Options.PeerMessageLossFraction_ = 0.02;
    return Options;
  }

  /// @return a random ready entry process; 0 if 20 tries find none
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
    const bool IsServiceCall = Number % 4 == 0;
    CallRequest Request =
        IsServiceCall
            ? World::makeServiceRequest("k1", "desk",
                                        fmt::format("key-{}", Number / 8))
            : World::makeCompletionRequest(
                  "k0", "m", fmt::format("p{}", Number), 5 + Number % 60);
    Request.TimeLimit_ = CallerTimeout;
    CallerState New;
    New.StartedAt_ = World_.now();
    New.IsCompletion_ = !IsServiceCall;
    New.LastOutcome_ = World_.outcomes().size();
    const std::size_t CallerIndex = Callers_.size();
    Callers_.push_back(New);
    CallerByOutcome_[New.LastOutcome_] = CallerIndex;
    ++Result_.Requests_;
    World_.sendRequest(pickReadyEntry(), std::move(Request));
  }

  void onOutcomeEnded(std::size_t OutcomeIndex) {
    const Outcome &Ended = World_.outcome(OutcomeIndex);
    countViolations(Ended);
    const auto Found = CallerByOutcome_.find(OutcomeIndex);
    if (Found == CallerByOutcome_.end())
      return;
    CallerState &Caller = Callers_[Found->second];
    if (Ended.Answered_) {
      Caller.Answered_ = true;
      return;
    }
    Caller.Accepted_ = Caller.Accepted_ || Ended.TokensReceived_ > 0 ||
                       Ended.EntryDied_ || Ended.Redirected_;
    if (++Caller.Exchanges_ >= MaxExchanges ||
        World_.now() - Caller.StartedAt_ > CallerTimeout)
      return;
    const std::size_t CallerIndex = Found->second;
    const Millis RetryDelay = Ended.Redirected_ ? 10 : 300;
    World_.scheduleAt(World_.now() + RetryDelay,
                      [this, OutcomeIndex, CallerIndex] {
                        retryRequest(OutcomeIndex, CallerIndex);
                      });
  }

  void retryRequest(std::size_t PreviousOutcome, std::size_t CallerIndex) {
    const Outcome &Previous = World_.outcome(PreviousOutcome);
    const int Entry = pickReadyEntry();
    const bool Resume = Callers_[CallerIndex].IsCompletion_ &&
                        (Previous.Redirected_ || Previous.EntryDied_) &&
                        (Previous.TokensReceived_ > 0 || Previous.Redirected_);
    const std::size_t NextOutcome = World_.outcomes().size();
    CallerByOutcome_[NextOutcome] = CallerIndex;
    Callers_[CallerIndex].LastOutcome_ = NextOutcome;
    if (Resume) {
      World_.resumeStream(Entry, PreviousOutcome);
      return;
    }
    CallRequest Request = Previous.Request_;
    if (Callers_[CallerIndex].IsCompletion_)
      Request.RequestId_.clear();
    else
      Request.RequestId_ += "+";
    World_.sendRequest(Entry, Request);
  }

  /// Counts the guarantees that an ended outcome violates.
  void countViolations(const Outcome &O) {
    if (O.TokenSequenceWrong_)
      ++Result_.WrongTokenSequences_;
    const bool IsCompletion = O.Request_.Kind_ == CallKind::Completion;
    if (O.Answered_ && IsCompletion &&
        O.TokensReceived_ != O.Request_.MaxTokens_)
      ++Result_.Truncated_;
    if (!O.Answered_ && !O.EntryDied_ && !IsCompletion &&
        O.Error_.RunState_ == RunState::NotRun && O.ExecutionsAtRefusal_ > 0)
      ++Result_.FalseNotRunErrors_;
  }

  /// Counts processes whose configuration is older than one they had before.
  void countConfigReverts() {
    for (int I = 0; I < 4; ++I) {
      const State &S = World_.state(I);
      auto &HighestVersion =
          HighestConfigVersions_.try_emplace(S.Self_, NoOffset).first->second;
      if (S.Config_.Version_ < HighestVersion)
        ++Result_.ConfigReverts_;
      HighestVersion = std::max(HighestVersion, S.Config_.Version_);
      NewestConfigVersion_ = std::max(NewestConfigVersion_, HighestVersion);
    }
  }

  void injectFault() {
    const int Target = static_cast<int>(RandomGenerator_() % 4);
    switch (RandomGenerator_() % 11) {
    case 0:
      World_.LogUnavailable_ = true;
      break;
    case 1:
      World_.LostAppendReplyFraction_ = 0.5;
      break;
    case 2:
      World_.setDataCentreIsolated(World_.dataCentre(Target), true);
      break;
    case 3:
      World_.setPlatformUnreachable(World_.dataCentre(Target), true);
      break;
    case 4:
      if (aliveEntryCount() > 2 && World_.entry(Target).Alive_) {
        World_.killEntry(Target);
        const int Restarted = Target;
        World_.scheduleAt(World_.now() + 1000, [this, Restarted] {
          World_.restartEntry(Restarted);
        });
      }
      break;
    case 5:
      if (aliveEntryCount() > 2 && World_.entry(Target).Alive_)
        World_.pauseEntry(Target);
      break;
    case 6:
      if (aliveEntryCount() > 2 && World_.entry(Target).Alive_) {
        World_.publishReclaimNotice(World_.state(Target).Self_, 2000);
        const int Restarted = Target;
        World_.scheduleAt(World_.now() + 4000, [this, Restarted] {
          if (!World_.entry(Restarted).Alive_)
            World_.restartEntry(Restarted);
        });
      }
      break;
    case 7:
      reclaimEngine(
          static_cast<int>(RandomGenerator_() % World_.Engines_.size()));
      break;
    case 8:
      for (FakeService &Service : World_.Services_)
        Service.RepliesToLose_ += RandomGenerator_() % 2 == 0 ? 1 : 0;
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

  /// Reclaims an engine with 2 s notice; 3 s after its end it comes back as a
  /// new incarnation.
  void reclaimEngine(int EngineIndex) {
    FakeEngine &E = World_.Engines_[static_cast<std::size_t>(EngineIndex)];
    if (E.Dead_)
      return;
    World_.publishReclaimNotice(E.Row_.Host_, 2000);
    World_.scheduleAt(World_.now() + 2000,
                      [this, EngineIndex] { World_.killEngine(EngineIndex); });
    World_.scheduleAt(World_.now() + 5000, [this, EngineIndex] {
      FakeEngine &Restarted =
          World_.Engines_[static_cast<std::size_t>(EngineIndex)];
      ++Restarted.Row_.Host_.Incarnation_;
      Restarted.Dead_ = false;
    });
  }

  /// Ends all faults but some pauses, so that usually only two faults are
  /// active at a time.
  void endMostFaults() {
    World_.LogUnavailable_ = false;
    World_.LostAppendReplyFraction_ = 0;
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
    for (const auto &[Key, ExecutionCount] : World_.ExecutionsByKey_)
      if (Key.rfind("key-", 0) == 0 && ExecutionCount > 1)
        ++Result_.RepeatedSideEffects_;
    for (const CallerState &Caller : Callers_) {
      Result_.Answered_ += Caller.Answered_ ? 1 : 0;
      // Every caller must end with an answer or a typed error.
      const Outcome &Last = World_.outcome(Caller.LastOutcome_);
      const bool WasRefused =
          Last.Ended_ && !Last.EntryDied_ && !Last.Redirected_;
      // A caller whose last entry process was killed without notice, or who
      // found no process ready, sees a broken connection instead.
      Result_.EndedByEntryDeath_ +=
          !Caller.Answered_ && Last.EntryDied_ ? 1 : 0;
      Result_.CallersWithoutResult_ +=
          Caller.Answered_ || WasRefused || Last.EntryDied_ ? 0 : 1;
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
  ChaosResult Total;
  for (int Seed = First; Seed <= Last; ++Seed) {
    const ChaosResult Result =
        runChaos(static_cast<std::uint64_t>(Seed), RequestsPerSeed);
    fmt::print("chaos_seed_{}: requests={} answered={} unfinished={} wrong={} "
               "truncated={} false_not_run={} repeated_side_effects={} "
               "config_reverts={} cut_off={}\n",
               Seed, Result.Requests_, Result.Answered_,
               Result.CallersWithoutResult_, Result.WrongTokenSequences_,
               Result.Truncated_, Result.FalseNotRunErrors_,
               Result.RepeatedSideEffects_, Result.ConfigReverts_,
               Result.EndedByEntryDeath_);
    Total.EndedByEntryDeath_ += Result.EndedByEntryDeath_;
    Total.Requests_ += Result.Requests_;
    Total.Answered_ += Result.Answered_;
    Total.CallersWithoutResult_ += Result.CallersWithoutResult_;
    Total.WrongTokenSequences_ += Result.WrongTokenSequences_;
    Total.Truncated_ += Result.Truncated_;
    Total.FalseNotRunErrors_ += Result.FalseNotRunErrors_;
    Total.RepeatedSideEffects_ += Result.RepeatedSideEffects_;
    Total.ConfigReverts_ += Result.ConfigReverts_;
  }
  fmt::print("requests={}\nanswered={}\ncut_off={}\nlost={}\nduplicated={}"
             "\ntruncated={}\n"
             "false_not_run={}\nrepeated_side_effects={}\nconfig_reverts={}\n",
             Total.Requests_, Total.Answered_, Total.EndedByEntryDeath_,
             Total.CallersWithoutResult_, Total.WrongTokenSequences_,
             Total.Truncated_, Total.FalseNotRunErrors_,
             Total.RepeatedSideEffects_, Total.ConfigReverts_);
  if (Total.CallersWithoutResult_ + Total.WrongTokenSequences_ +
          Total.Truncated_ + Total.FalseNotRunErrors_ +
          Total.RepeatedSideEffects_ + Total.ConfigReverts_ >
      0)
    recordFailure("chaos");
}

} // namespace endivewharf::bench
