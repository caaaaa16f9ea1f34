// Simulated engines and services: continuous batching, prefix cache, faults.
#include "world.h"

#include "router.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf::fakes {

namespace {

// The body of a simulated request is "TOKENS|PROMPT".

std::string parsePrompt(const StartAttempt &Start) {
  return Start.Body_.substr(Start.Body_.find('|') + 1);
}

std::int64_t parseTokenCount(const StartAttempt &Start) {
  return std::stoll(Start.Body_);
}

} // namespace

void World::applyLoadCommand(const LoadModelVersion &E) {
  const int EngineIndex = engineIndexByAddress(E.Address_);
  if (EngineIndex < 0)
    return;
  FakeEngine &Engine = Engines_[EngineIndex];
  if (Engine.Row_.ChecksEpoch_ && E.Epoch_ < Engine.LastEpoch_)
    return;
  Engine.LastEpoch_ = std::max(Engine.LastEpoch_, E.Epoch_);
  ++Engine.LoadCommandsAccepted_;
  scheduleAt(Now_ + Engine.Parameters_.ModelLoadMs_, [this, EngineIndex, E] {
    Engines_[EngineIndex].Loaded_.insert({E.Model_, E.Version_});
  });
}

void World::startAttempt(int Entry, const StartAttempt &E) {
  const std::uint64_t Incarnation = Entries_[Entry].State_.Self_.Incarnation_;
  const auto FailAttempt = [&](AttemptFailure Failure, bool Leaving) {
    scheduleAt(Now_ + UpstreamDelay,
               [this, Entry, Incarnation, Id = E.Attempt_, Failure, Leaving] {
                 deliverEvent(Entry, Incarnation,
                              AttemptFailed{Id, Failure, Leaving, "fake"});
               });
  };
  for (FakeService &Service : Services_)
    if (Service.Row_.Address_ == E.Address_) {
      startServiceAttempt(Entry, E, Service);
      return;
    }
  const int EngineIndex = engineIndexByAddress(E.Address_);
  FakeEngine &Engine = Engines_[EngineIndex];
  if (Engine.Dead_ || !areConnected(dataCentre(Entry), Engine.Row_.DataCentre_))
    return FailAttempt(AttemptFailure::NotSent, false);
  if (Engine.Leaving_)
    return FailAttempt(AttemptFailure::Refused, true);
  if (Engine.Loaded_.count({E.Model_, E.Version_}) == 0 ||
      Engine.WaitingJobs_.size() >=
          static_cast<std::size_t>(Engine.Parameters_.MaxQueueLength_))
    return FailAttempt(AttemptFailure::Refused, false);
  Engine.LastAttemptAt_ = Now_;
  Engine.WaitingJobs_.push_back({Entry, Incarnation, E});
  if (E.Priority_ == Priority::Interactive) {
    // Interactive requests queue ahead of all waiting batch requests.
    auto FirstBatchJob =
        std::find_if(Engine.WaitingJobs_.begin(), Engine.WaitingJobs_.end(),
                     [](const auto &Job) {
                       return Job.Start_.Priority_ == Priority::Batch;
                     });
    if (FirstBatchJob != Engine.WaitingJobs_.end())
      std::rotate(FirstBatchJob, Engine.WaitingJobs_.end() - 1,
                  Engine.WaitingJobs_.end());
  }
  startWaitingJobs(Engine);
}

void World::startServiceAttempt(int Entry, const StartAttempt &E,
                                FakeService &Service) {
  const std::uint64_t Incarnation = Entries_[Entry].State_.Self_.Incarnation_;
  const auto DeliverAfter = [&](Millis Delay, EventBody Body) {
    scheduleAt(Now_ + Delay,
               [this, Entry, Incarnation, Body = std::move(Body)] {
                 deliverEvent(Entry, Incarnation, Body);
               });
  };
  if (Service.Dead_ ||
      !areConnected(dataCentre(Entry), Service.Row_.DataCentre_))
    return DeliverAfter(
        UpstreamDelay,
        AttemptFailed{E.Attempt_, AttemptFailure::NotSent, false, "fake"});
  if (Service.RefusesRequests_)
    return DeliverAfter(
        UpstreamDelay,
        AttemptFailed{E.Attempt_, AttemptFailure::Refused, false, "fake"});
  const std::string Key =
      E.IdempotencyKey_.empty() ? E.RequestId_ : E.IdempotencyKey_;
  const int ExecutionCount = ++ExecutionsByKey_[Key];
  ++ExecutionsByRequest_[E.RequestId_];
  if (Service.RepliesToLose_ > 0) {
    --Service.RepliesToLose_;
    return DeliverAfter(
        E.FirstByteTimeout_,
        AttemptFailed{E.Attempt_, AttemptFailure::TimedOut, false, "fake"});
  }
  DeliverAfter(Service.AnswerDelayMs_ + 2 * UpstreamDelay,
               ServiceAnswer{E.Attempt_, 200, "text/plain",
                             fmt::format("{} ran {}", Key, ExecutionCount)});
}

const VersionFault *World::findActiveFault(const FakeEngine &Engine,
                                           const StartAttempt &Start) const {
  const auto Found = VersionFaults_.find(Start.Version_);
  if (Found == VersionFaults_.end())
    return nullptr;
  const VersionFault &Fault = Found->second;
  const bool Applies = (Fault.Route_.empty() || Fault.Route_ == Start.Route_) &&
                       (Fault.DataCentre_.empty() ||
                        Fault.DataCentre_ == Engine.Row_.DataCentre_) &&
                       Engine.RunningRequests_ >= Fault.MinRunningRequests_ &&
                       Now_ >= Fault.ActiveFrom_;
  return Applies ? &Fault : nullptr;
}

void World::startWaitingJobs(FakeEngine &Engine) {
  while (!Engine.Dead_ && Engine.RunningRequests_ < Engine.Parameters_.Slots_ &&
         !Engine.WaitingJobs_.empty()) {
    const FakeEngine::Job Job = Engine.WaitingJobs_.front();
    Engine.WaitingJobs_.pop_front();
    if (CancelledAttempts_.count({Job.Entry_, Job.Start_.Attempt_}) > 0)
      continue;
    ++Engine.RunningRequests_;
    runJob(Engine, Job);
  }
}

void World::runJob(FakeEngine &Engine, const FakeEngine::Job &Job) {
  ++Engine.AttemptCount_;
  ++Engine.AttemptsByVersion_[Job.Start_.Version_];
  const VersionFault *Fault = findActiveFault(Engine, Job.Start_);
  if (Fault != nullptr && randomFraction() < Fault->FailureFraction_) {
    scheduleAt(Now_ + 2 * UpstreamDelay, [this, Job] {
      deliverEvent(Job.Entry_, Job.Incarnation_,
                   AttemptFailed{Job.Start_.Attempt_,
                                 AttemptFailure::UpstreamError, false,
                                 "status 500"});
    });
    endJob(Engine);
    return;
  }
  const auto PromptBlocks = prefixHashes(parsePrompt(Job.Start_));
  std::size_t CachedBlockCount = 0;
  bool IsPrefixCached = true;
  for (const std::uint64_t Block : PromptBlocks) {
    const auto Found = Engine.CachedBlocks_.find(Block);
    IsPrefixCached = IsPrefixCached && Found != Engine.CachedBlocks_.end();
    CachedBlockCount += IsPrefixCached ? 1 : 0;
    if (Found != Engine.CachedBlocks_.end())
      Engine.CacheLruOrder_.erase(Found->second);
    Engine.CacheLruOrder_.push_front(Block);
    Engine.CachedBlocks_[Block] = Engine.CacheLruOrder_.begin();
    if (Engine.CacheLruOrder_.size() > Engine.Parameters_.CacheBlocks_) {
      Engine.CachedBlocks_.erase(Engine.CacheLruOrder_.back());
      Engine.CacheLruOrder_.pop_back();
    }
  }
  const auto UncachedBlocks =
      static_cast<std::int64_t>(PromptBlocks.size() - CachedBlockCount);
  Engine.BlocksRequested_ += static_cast<std::int64_t>(PromptBlocks.size());
  Engine.BlocksComputed_ += UncachedBlocks;
  const std::int64_t FirstIndex =
      Options_.EnginesIgnoreResume_ ? 0 : Job.Start_.NextIndex_;
  Engine.TokensRegenerated_ += Job.Start_.NextIndex_ - FirstIndex;
  const double Slowdown = Fault == nullptr ? 1 : Fault->SlowdownFactor_;
  const double PrefillMs = static_cast<double>(UncachedBlocks) *
                           Engine.Parameters_.PrefillMsPerBlock_ * Slowdown;
  const int EngineIndex = engineIndexByAddress(Engine.Row_.Address_);
  scheduleAt(Now_ + UpstreamDelay + static_cast<Millis>(PrefillMs),
             [this, EngineIndex, Job, Slowdown, FirstIndex,
              PromptBlocks = UncachedBlocks] {
               generateNextToken(EngineIndex, Job, FirstIndex, Slowdown,
                                 PromptBlocks);
             });
}

void World::generateNextToken(int EngineIndex, const FakeEngine::Job &Job,
                              std::int64_t TokenIndex, double Slowdown,
                              std::int64_t ComputedBlocks) {
  FakeEngine &Engine = Engines_[EngineIndex];
  if (Engine.Dead_)
    return;
  const FakeEntry &Owner = Entries_[Job.Entry_];
  const bool IsCancelled =
      CancelledAttempts_.count({Job.Entry_, Job.Start_.Attempt_}) > 0 ||
      !Owner.Alive_ || Owner.State_.Self_.Incarnation_ != Job.Incarnation_;
  if (IsCancelled) {
    endJob(Engine);
    return;
  }
  const std::int64_t TokenCount = parseTokenCount(Job.Start_);
  if (TokenIndex >= TokenCount) {
    deliverEvent(Job.Entry_, Job.Incarnation_,
                 AttemptEnded{Job.Start_.Attempt_, "stop", ComputedBlocks, 0});
    endJob(Engine);
    return;
  }
  deliverEvent(Job.Entry_, Job.Incarnation_,
               AttemptToken{Job.Start_.Attempt_, TokenIndex,
                            tokenText(parsePrompt(Job.Start_), TokenIndex)});
  const double Utilization = static_cast<double>(Engine.RunningRequests_) /
                             static_cast<double>(Engine.Parameters_.Slots_);
  const double TokenDelayMs =
      Engine.Parameters_.MsPerToken_ * (0.6 + 0.4 * Utilization) * Slowdown;
  scheduleAt(Now_ + std::max<Millis>(1, static_cast<Millis>(TokenDelayMs +
                                                            randomFraction())),
             [this, EngineIndex, Job, TokenIndex, Slowdown, ComputedBlocks] {
               generateNextToken(EngineIndex, Job, TokenIndex + 1, Slowdown,
                                 ComputedBlocks);
             });
}

void World::endJob(FakeEngine &Engine) {
  --Engine.RunningRequests_;
  startWaitingJobs(Engine);
}

} // namespace endivewharf::fakes
