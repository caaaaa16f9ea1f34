#include "simulatedengines.h"

#include "samples.h"

#include <algorithm>

namespace endivewharf {

namespace {

constexpr int EngineSlots = 32;

} // namespace

SimulatedEngines::SimulatedEngines(PlatformGroup &Group, int Count)
    : Group_(Group) {
  for (int I = 0; I < Count; ++I) {
    const std::string Zone(
        1, static_cast<char>('a' + I % PlatformGroup::DataCentreCount));
    Engine New;
    New.Row_ = sampleHost("m" + std::to_string(I) + "-1", "models", Zone, 1);
    New.Row_.Slots_ = EngineSlots;
    EngineByName_[New.Row_.Host_.Name_] = I;
    Engines_.push_back(New);
  }
  Group_.AttemptHandler_ = [this](int I, const StartAttempt &Start) {
    return onAttempt(I, Start);
  };
  Group_.EffectObserver_ = [this](int I, const Effect &E) { onEffect(I, E); };
  publishHosts();
}

void SimulatedEngines::publishHosts() {
  std::vector<HostRow> Rows;
  for (const Engine &E : Engines_)
    if (E.Running_)
      Rows.push_back(E.Row_);
  for (const auto &[Until, Row] : ExpiringRows_)
    Rows.push_back(Row);
  Group_.setHosts(std::move(Rows));
}

int SimulatedEngines::sendPrompt(int Process, std::vector<std::string> Parts) {
  CallRequest R =
      sampleRequest("/plan/1", "k1", "p" + std::to_string(Outcomes_.size()));
  R.Model_ = "m";
  for (const std::string &Part : Parts)
    R.PromptParts_.push_back({Part, 100});
  R.PromptTokens_ = static_cast<std::int64_t>(100 * Parts.size());
  const int Index = static_cast<int>(Outcomes_.size());
  OutcomeByRequest_[R.RequestId_] = Index;
  Outcomes_.push_back({Group_.Now_, Process, std::move(Parts)});
  const CallId Call = Group_.submitRequest(Process, R);
  if (Call == 0) {
    OutcomeByRequest_.erase(R.RequestId_);
    Outcomes_.pop_back();
    return -1;
  }
  OutcomeByCall_[{Process, Call}] = Index;
  return Index;
}

bool SimulatedEngines::hasDeadlyPart(const PromptOutcome &Outcome) const {
  return std::any_of(
      Outcome.Parts_.begin(), Outcome.Parts_.end(),
      [&](const std::string &Part) { return DeadlyParts_.count(Part) > 0; });
}

bool SimulatedEngines::onAttempt(int Process, const StartAttempt &Start) {
  const auto Known = OutcomeByRequest_.find(Start.RequestId_);
  if (Known == OutcomeByRequest_.end())
    return false;
  const AttemptKey Key{Process, Start.Attempt_};
  const auto Found = EngineByName_.find(Start.Host_);
  if (Found == EngineByName_.end() || !Engines_[Found->second].Running_) {
    Group_.scheduleEvent(PlatformGroup::StepDuration, Process, [Key] {
      return AttemptFailed{Key.second, AttemptFailure::NotSent, false,
                           "refused"};
    });
    return true;
  }
  ++Outcomes_[Known->second].Arrivals_;
  Arrivals_.push_back({Group_.Now_, Known->second});
  Attempts_[Key] = {Found->second, Known->second, Group_.incarnation(Process)};
  Group_.scheduleEvent(FirstEventDelay, Process, [this, Key]() -> EventBody {
    beginAnswer(Key);
    return CallerDisconnected{0};
  });
  return true;
}

void SimulatedEngines::beginAnswer(AttemptKey Key) {
  const auto Found = Attempts_.find(Key);
  if (Found == Attempts_.end())
    return;
  const auto [Process, Id] = Key;
  if (hasDeadlyPart(Outcomes_[Found->second.Outcome_])) {
    Ends_.push_back(Group_.Now_);
    EndOutcomes_.push_back(Found->second.Outcome_);
    endEngine(Found->second.Engine_);
    return;
  }
  RandomState_ = RandomState_ * 6364136223846793005ULL + 1442695040888963407ULL;
  if (static_cast<double>((RandomState_ >> 33) % 1000) <
      ResetFraction_ * 1000) {
    failAttempt(Key, AttemptFailure::ConnectionBroken);
    return;
  }
  Group_.scheduleEvent(0, Process, [Id = Id] {
    return AttemptHead{Id, 200, {}};
  });
  Group_.scheduleEvent(0, Process, [Id = Id] {
    return AttemptToken{Id, 0, "id: 0\n\n"};
  });
  Group_.scheduleEvent(AnswerDuration - FirstEventDelay, Process,
                       [this, Key]() -> EventBody {
                         if (Attempts_.erase(Key) == 0)
                           return CallerDisconnected{0};
                         return AttemptEnded{Key.second, "", 0, 0};
                       });
}

void SimulatedEngines::failAttempt(AttemptKey Key, AttemptFailure Failure) {
  Attempts_.erase(Key);
  Group_.scheduleEvent(0, Key.first, [Key, Failure] {
    return AttemptFailed{Key.second, Failure, false, "broken off"};
  });
}

void SimulatedEngines::endEngine(int Index) {
  Engine &E = Engines_[Index];
  if (!E.Running_)
    return;
  E.Running_ = false;
  E.RestartAt_ = Group_.Now_ + RestartDelay;
  ExpiringRows_.emplace_back(Group_.Now_ + ListExpiry, E.Row_);
  std::vector<AttemptKey> Broken;
  for (const auto &[Key, Attempt] : Attempts_)
    if (Attempt.Engine_ == Index)
      Broken.push_back(Key);
  for (const AttemptKey &Key : Broken)
    failAttempt(Key, AttemptFailure::ConnectionBroken);
}

void SimulatedEngines::restartEngines() {
  for (std::size_t I = 0; I < Engines_.size(); ++I) {
    Engine &E = Engines_[I];
    if (E.Running_ || Group_.Now_ < E.RestartAt_)
      continue;
    E.Running_ = true;
    ++E.StartCount_;
    E.Row_.Host_ = {
        "m" + std::to_string(I) + "-" + std::to_string(E.StartCount_), 1};
    EngineByName_[E.Row_.Host_.Name_] = static_cast<int>(I);
  }
  std::erase_if(ExpiringRows_,
                [&](const auto &Entry) { return Group_.Now_ >= Entry.first; });
  // Processes that have ended leave their attempts behind.
  std::erase_if(Attempts_, [&](const auto &Entry) {
    return Group_.incarnation(Entry.first.first) !=
           Entry.second.ProcessIncarnation_;
  });
  publishHosts();
}

void SimulatedEngines::onEffect(int Process, const Effect &E) {
  if (const auto *Cancel = std::get_if<CancelAttempt>(&E)) {
    Attempts_.erase({Process, Cancel->Attempt_});
  } else if (const auto *Begun = std::get_if<StartRoutedStream>(&E)) {
    const auto Found = OutcomeByCall_.find({Process, Begun->Call_});
    if (Found == OutcomeByCall_.end())
      return;
    PromptOutcome &Outcome = Outcomes_[Found->second];
    Outcome.Served_ = true;
    Outcome.ServedAtFirst_ = Outcome.Arrivals_ == 1;
  } else if (const auto *Error = std::get_if<SendError>(&E)) {
    const auto Found = OutcomeByRequest_.find(Error->RequestId_);
    if (Found != OutcomeByRequest_.end())
      Outcomes_[Found->second].Refused_ =
          Outcomes_[Found->second].Arrivals_ == 0;
  }
}

Millis SimulatedEngines::endAt(const std::string &Part, int Number) const {
  for (std::size_t I = 0; I < Ends_.size(); ++I) {
    const auto &Parts = Outcomes_[EndOutcomes_[I]].Parts_;
    if (std::find(Parts.begin(), Parts.end(), Part) != Parts.end() &&
        --Number == 0)
      return Ends_[I];
  }
  return -1;
}

int SimulatedEngines::arrivalsWith(const std::string &Part, Millis From) const {
  return static_cast<int>(
      std::count_if(Arrivals_.begin(), Arrivals_.end(), [&](const Arrival &A) {
        const auto &Parts = Outcomes_[A.Outcome_].Parts_;
        return A.At_ > From &&
               std::find(Parts.begin(), Parts.end(), Part) != Parts.end();
      }));
}

} // namespace endivewharf
