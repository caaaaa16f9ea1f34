// Faults of the simulated deployment: killed, paused and restarted processes,
// killed engines, reclaim notices, network cuts and bad versions.
#include "world.h"

#include <algorithm>

namespace endivewharf::fakes {

void World::killEntry(int Entry) {
  Entries_[Entry].Alive_ = false;
  std::vector<CallId> Calls;
  for (const auto &[Key, OutcomeIndex] : OutcomeByCall_)
    if (Key.first == Entry)
      Calls.push_back(Key.second);
  for (const CallId Call : Calls)
    endOutcome(Entry, Call, [](Outcome &O) { O.EntryDied_ = true; });
}

void World::restartEntry(int Entry) {
  if (Entries_[Entry].Alive_)
    killEntry(Entry);
  FakeEntry New;
  New.State_ = makeState(settingsForEntry(Entry),
                         Entries_[Entry].State_.Self_.Incarnation_ + 1000);
  New.NoticeCursor_ = ReclaimNotices_.size();
  Entries_[Entry] = std::move(New);
  tickEntry(Entry, Entries_[Entry].State_.Self_.Incarnation_);
}

void World::pauseEntry(int Entry) { Entries_[Entry].Paused_ = true; }

void World::unpauseEntry(int Entry) {
  FakeEntry &E = Entries_[Entry];
  E.Paused_ = false;
  // The events that arrived during the pause are reduced before any new one.
  std::deque<EventBody> Backlog = std::move(E.Backlog_);
  E.Backlog_.clear();
  for (EventBody &Body : Backlog)
    reduceEvent(Entry, std::move(Body));
}

void World::requestStop(int Entry, Millis TimeLeft) {
  deliverEvent(Entry, Entries_[Entry].State_.Self_.Incarnation_,
               StopRequested{TimeLeft});
}

void World::killEngine(int EngineIndex) {
  FakeEngine &Engine = Engines_[EngineIndex];
  Engine.Dead_ = true;
  Engine.RunningRequests_ = 0;
  Engine.WaitingJobs_.clear();
  for (int Entry = 0; Entry < entryCount(); ++Entry) {
    std::vector<AttemptId> Broken;
    for (const auto &[Id, A] : Entries_[Entry].State_.Attempts_)
      if (Entries_[Entry].State_.Upstreams_[A.Upstream_].Row_.Host_ ==
          Engine.Row_.Host_)
        Broken.push_back(Id);
    std::sort(Broken.begin(), Broken.end());
    for (const AttemptId Id : Broken)
      scheduleAt(Now_ + UpstreamDelay,
                 [this, Entry, Id,
                  Incarnation = Entries_[Entry].State_.Self_.Incarnation_] {
                   deliverEvent(Entry, Incarnation,
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

void World::setDataCentreIsolated(const std::string &DataCentre,
                                  bool Isolated) {
  if (Isolated)
    IsolatedDataCentres_.insert(DataCentre);
  else
    IsolatedDataCentres_.erase(DataCentre);
}

void World::setPlatformUnreachable(const std::string &DataCentre,
                                   bool Unreachable) {
  if (Unreachable)
    DataCentresWithoutPlatform_.insert(DataCentre);
  else
    DataCentresWithoutPlatform_.erase(DataCentre);
}

void World::setVersionFault(const std::string &Version, VersionFault Fault) {
  VersionFaults_[Version] = std::move(Fault);
}

} // namespace endivewharf::fakes
