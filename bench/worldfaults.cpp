// Faults that a world can be put under.
#include "world.h"

#include <algorithm>

namespace endivewharf::fakes {

void World::kill(int Index) {
  Entries_[Index].Alive_ = false;
  std::vector<CallId> Calls;
  for (const auto &[Key, Which] : OutcomeByCall_)
    if (Key.first == Index)
      Calls.push_back(Key.second);
  for (const CallId Call : Calls)
    end(Index, Call, [](Outcome &O) { O.Cut_ = true; });
}

void World::restart(int Index) {
  if (Entries_[Index].Alive_)
    kill(Index);
  Entry New;
  New.State_ = makeState(settingsOf(Index),
                         Entries_[Index].State_.Self_.Incarnation_ + 1000);
  New.NoticesSeen_ = Notices_.size();
  Entries_[Index] = std::move(New);
  tick(Index, Entries_[Index].State_.Self_.Incarnation_);
}

void World::pause(int Index) { Entries_[Index].Paused_ = true; }

void World::wake(int Index) {
  Entry &E = Entries_[Index];
  E.Paused_ = false;
  // A process that wakes handles first what had arrived before.
  std::deque<EventBody> Backlog = std::move(E.Backlog_);
  E.Backlog_.clear();
  for (EventBody &Body : Backlog)
    feed(Index, std::move(Body));
}

void World::stop(int Index, Millis TimeLeft) {
  deliver(Index, Entries_[Index].State_.Self_.Incarnation_,
          StopRequested{TimeLeft});
}

void World::killEngine(int Which) {
  FakeEngine &Engine = Engines_[Which];
  Engine.Dead_ = true;
  Engine.Running_ = 0;
  Engine.Queue_.clear();
  for (int I = 0; I < entries(); ++I) {
    std::vector<AttemptId> Broken;
    for (const auto &[Id, A] : Entries_[I].State_.Attempts_)
      if (Entries_[I].State_.Upstreams_[A.Upstream_].Row_.Host_ ==
          Engine.Row_.Host_)
        Broken.push_back(Id);
    std::sort(Broken.begin(), Broken.end());
    for (const AttemptId Id : Broken)
      at(Now_ + UpstreamDelay,
         [this, I, Id, Life = Entries_[I].State_.Self_.Incarnation_] {
           deliver(I, Life,
                   AttemptFailed{Id, AttemptFailure::Broken, false, "died"});
         });
  }
}

void World::notice(const Life &Host, Millis TimeLeft) {
  Notices_.push_back({Host, TimeLeft});
}

void World::listLeaving(const Life &Host) {
  for (FakeEngine &E : Engines_)
    if (E.Row_.Host_ == Host)
      E.Row_.Leaving_ = true;
}

void World::hideFromList(const Life &Host) {
  for (FakeEngine &E : Engines_)
    if (E.Row_.Host_ == Host)
      E.Row_.Address_.clear();
}

void World::cut(const std::string &DataCentre, bool Cut) {
  if (Cut)
    CutCentres_.insert(DataCentre);
  else
    CutCentres_.erase(DataCentre);
}

void World::cutPlatform(const std::string &DataCentre, bool Cut) {
  if (Cut)
    CutFromPlatform_.insert(DataCentre);
  else
    CutFromPlatform_.erase(DataCentre);
}

void World::setVersionFault(const std::string &Version, VersionFault Fault) {
  Faults_[Version] = std::move(Fault);
}

} // namespace endivewharf::fakes
