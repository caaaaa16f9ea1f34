// Faults that a world can be put under.
#include "world.h"

#include <algorithm>

namespace endivewharf::fakes {

void World::killEntry(int Index) {
  Entries_[Index].Alive_ = false;
  std::vector<CallId> Calls;
  for (const auto &[Key, Which] : OutcomeByCall_)
    if (Key.first == Index)
      Calls.push_back(Key.second);
  for (const CallId Call : Calls)
    endOutcome(Index, Call, [](Outcome &O) { O.EntryDied_ = true; });
}

void World::restartEntry(int Index) {
  if (Entries_[Index].Alive_)
    killEntry(Index);
  FakeEntry New;
  New.State_ = makeState(settingsForEntry(Index),
                         Entries_[Index].State_.Self_.Incarnation_ + 1000);
  New.NoticeCursor_ = ReclaimNotices_.size();
  Entries_[Index] = std::move(New);
  tickEntry(Index, Entries_[Index].State_.Self_.Incarnation_);
}

void World::pauseEntry(int Index) { Entries_[Index].Paused_ = true; }

void World::unpauseEntry(int Index) {
  FakeEntry &E = Entries_[Index];
  E.Paused_ = false;
  // A process that wakes handles first what had arrived before.
  std::deque<EventBody> Backlog = std::move(E.Backlog_);
  E.Backlog_.clear();
  for (EventBody &Body : Backlog)
    reduceEvent(Index, std::move(Body));
}

void World::requestStop(int Index, Millis TimeLeft) {
  deliverEvent(Index, Entries_[Index].State_.Self_.Incarnation_,
               StopRequested{TimeLeft});
}

void World::killEngine(int Which) {
  FakeEngine &Engine = Engines_[Which];
  Engine.Dead_ = true;
  Engine.RunningRequests_ = 0;
  Engine.WaitingJobs_.clear();
  for (int I = 0; I < entryCount(); ++I) {
    std::vector<AttemptId> Broken;
    for (const auto &[Id, A] : Entries_[I].State_.Attempts_)
      if (Entries_[I].State_.Upstreams_[A.Upstream_].Row_.Host_ ==
          Engine.Row_.Host_)
        Broken.push_back(Id);
    std::sort(Broken.begin(), Broken.end());
    for (const AttemptId Id : Broken)
      scheduleAt(Now_ + UpstreamDelay,
                 [this, I, Id, Life = Entries_[I].State_.Self_.Incarnation_] {
                   deliverEvent(I, Life,
                                AttemptFailed{Id,
                                              AttemptFailure::ConnectionBroken,
                                              false, "died"});
                 });
  }
}

void World::publishReclaimNotice(const InstanceId &Host, Millis TimeLeft) {
  ReclaimNotices_.push_back({Host, TimeLeft});
}

void World::markLeavingInHostList(const InstanceId &Host) {
  for (FakeEngine &E : Engines_)
    if (E.Row_.Host_ == Host)
      E.Row_.Leaving_ = true;
}

void World::hideFromHostList(const InstanceId &Host) {
  for (FakeEngine &E : Engines_)
    if (E.Row_.Host_ == Host)
      E.Row_.Address_.clear();
}

void World::setDataCentreIsolated(const std::string &DataCentre, bool Cut) {
  if (Cut)
    IsolatedDataCentres_.insert(DataCentre);
  else
    IsolatedDataCentres_.erase(DataCentre);
}

void World::setPlatformUnreachable(const std::string &DataCentre, bool Cut) {
  if (Cut)
    DataCentresWithoutPlatform_.insert(DataCentre);
  else
    DataCentresWithoutPlatform_.erase(DataCentre);
}

void World::setVersionFault(const std::string &Version, VersionFault Fault) {
  VersionFaults_[Version] = std::move(Fault);
}

} // namespace endivewharf::fakes
