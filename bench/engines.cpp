// The fakes' engines and services: continuous batching, prefix cache, faults.
#include "world.h"

#include "router.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf::fakes {

namespace {

std::string parsePrompt(const StartAttempt &Start) {
  return Start.Body_.substr(Start.Body_.find('|') + 1);
}

std::int64_t parseTokenCount(const StartAttempt &Start) {
  return std::stoll(Start.Body_);
}

} // namespace

void World::applyLoadCommand(const LoadModelVersion &E) {
  const int Which = engineIndexByAddress(E.Address_);
  if (Which < 0)
    return;
  FakeEngine &Engine = Engines_[Which];
  if (Engine.Row_.ChecksEpoch_ && E.Epoch_ < Engine.LastEpoch_)
    return;
  Engine.LastEpoch_ = std::max(Engine.LastEpoch_, E.Epoch_);
  ++Engine.LoadCommandsAccepted_;
  scheduleAt(Now_ + Engine.Parameters_.ModelLoadMs_, [this, Which, E] {
    Engines_[Which].Loaded_.insert({E.Model_, E.Version_});
  });
}

void World::startAttempt(int Index, const StartAttempt &E) {
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  const auto Fail = [&](AttemptFailure Failure, bool Leaving) {
    scheduleAt(Now_ + UpstreamDelay, [this, Index, Life, Id = E.Attempt_,
                                      Failure, Leaving] {
      deliverEvent(Index, Life, AttemptFailed{Id, Failure, Leaving, "fake"});
    });
  };
  for (FakeService &Service : Services_)
    if (Service.Row_.Address_ == E.Address_) {
      startServiceAttempt(Index, E, Service);
      return;
    }
  const int Which = engineIndexByAddress(E.Address_);
  FakeEngine &Engine = Engines_[Which];
  if (Engine.Dead_ || !areConnected(dataCentre(Index), Engine.Row_.DataCentre_))
    return Fail(AttemptFailure::NotSent, false);
  if (Engine.Leaving_)
    return Fail(AttemptFailure::Refused, true);
  if (Engine.Loaded_.count({E.Model_, E.Version_}) == 0 ||
      Engine.WaitingJobs_.size() >=
          static_cast<std::size_t>(Engine.Parameters_.MaxQueueLength_))
    return Fail(AttemptFailure::Refused, false);
  Engine.LastAttemptAt_ = Now_;
  Engine.WaitingJobs_.push_back({Index, Life, E});
  if (E.Priority_ == Priority::Interactive) {
    // Before the batch requests that wait.
    auto Place = std::find_if(Engine.WaitingJobs_.begin(),
                              Engine.WaitingJobs_.end(), [](const auto &Job) {
                                return Job.Start_.Priority_ == Priority::Batch;
                              });
    if (Place != Engine.WaitingJobs_.end())
      std::rotate(Place, Engine.WaitingJobs_.end() - 1,
                  Engine.WaitingJobs_.end());
  }
  startWaitingJobs(Engine);
}

void World::startServiceAttempt(int Index, const StartAttempt &E,
                                FakeService &To) {
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  const auto Later = [&](Millis Wait, EventBody Body) {
    scheduleAt(Now_ + Wait, [this, Index, Life, Body = std::move(Body)] {
      deliverEvent(Index, Life, Body);
    });
  };
  if (To.Dead_ || !areConnected(dataCentre(Index), To.Row_.DataCentre_))
    return Later(
        UpstreamDelay,
        AttemptFailed{E.Attempt_, AttemptFailure::NotSent, false, "fake"});
  if (To.RefusesRequests_)
    return Later(
        UpstreamDelay,
        AttemptFailed{E.Attempt_, AttemptFailure::Refused, false, "fake"});
  const std::string Key =
      E.IdempotencyKey_.empty() ? E.RequestId_ : E.IdempotencyKey_;
  const int Times = ++ExecutionsByKey_[Key];
  ++ExecutionsByRequest_[E.RequestId_];
  if (To.RepliesToLose_ > 0) {
    --To.RepliesToLose_;
    return Later(
        E.FirstByteTimeout_,
        AttemptFailed{E.Attempt_, AttemptFailure::TimedOut, false, "fake"});
  }
  Later(To.AnswerDelayMs_ + 2 * UpstreamDelay,
        ServiceAnswer{E.Attempt_, 200, "text/plain",
                      fmt::format("{} ran {}", Key, Times)});
}

const VersionFault *World::findActiveFault(const FakeEngine &Engine,
                                           const StartAttempt &Start) const {
  const auto Found = VersionFaults_.find(Start.Version_);
  if (Found == VersionFaults_.end())
    return nullptr;
  const VersionFault &F = Found->second;
  const bool Applies =
      (F.Route_.empty() || F.Route_ == Start.Route_) &&
      (F.DataCentre_.empty() || F.DataCentre_ == Engine.Row_.DataCentre_) &&
      Engine.RunningRequests_ >= F.MinRunningRequests_ && Now_ >= F.ActiveFrom_;
  return Applies ? &F : nullptr;
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
  const VersionFault *F = findActiveFault(Engine, Job.Start_);
  if (F != nullptr && randomFraction() < F->FailureShare_) {
    scheduleAt(Now_ + 2 * UpstreamDelay, [this, Job] {
      deliverEvent(Job.Entry_, Job.Incarnation_,
                   AttemptFailed{Job.Start_.Attempt_,
                                 AttemptFailure::UpstreamError, false,
                                 "status 500"});
    });
    endJob(Engine);
    return;
  }
  const auto Blocks = prefixHashes(parsePrompt(Job.Start_));
  std::size_t Cached = 0;
  bool Matching = true;
  for (const std::uint64_t Block : Blocks) {
    const auto Found = Engine.CachedBlocks_.find(Block);
    Matching = Matching && Found != Engine.CachedBlocks_.end();
    Cached += Matching ? 1 : 0;
    if (Found != Engine.CachedBlocks_.end())
      Engine.CacheLruOrder_.erase(Found->second);
    Engine.CacheLruOrder_.push_front(Block);
    Engine.CachedBlocks_[Block] = Engine.CacheLruOrder_.begin();
    if (Engine.CacheLruOrder_.size() > Engine.Parameters_.CacheBlocks_) {
      Engine.CachedBlocks_.erase(Engine.CacheLruOrder_.back());
      Engine.CacheLruOrder_.pop_back();
    }
  }
  const auto Uncached = static_cast<std::int64_t>(Blocks.size() - Cached);
  Engine.BlocksRequested_ += static_cast<std::int64_t>(Blocks.size());
  Engine.BlocksComputed_ += Uncached;
  const std::int64_t First =
      Options_.EnginesIgnoreResume_ ? 0 : Job.Start_.NextIndex_;
  Engine.TokensRegenerated_ += Job.Start_.NextIndex_ - First;
  const double Slowdown = F == nullptr ? 1 : F->SlowdownFactor_;
  const double Prefill = static_cast<double>(Uncached) *
                         Engine.Parameters_.PrefillMsPerBlock_ * Slowdown;
  const int Which = engineIndexByAddress(Engine.Row_.Address_);
  scheduleAt(Now_ + UpstreamDelay + static_cast<Millis>(Prefill),
             [this, Which, Job, Slowdown, First, Blocks = Uncached] {
               generateNextToken(Which, Job, First, Slowdown, Blocks);
             });
}

void World::generateNextToken(int Which, const FakeEngine::Job &Job,
                              std::int64_t Index, double Slowdown,
                              std::int64_t Blocks) {
  FakeEngine &Engine = Engines_[Which];
  if (Engine.Dead_)
    return;
  const FakeEntry &Owner = Entries_[Job.Entry_];
  const bool Unwanted =
      CancelledAttempts_.count({Job.Entry_, Job.Start_.Attempt_}) > 0 ||
      !Owner.Alive_ || Owner.State_.Self_.Incarnation_ != Job.Incarnation_;
  if (Unwanted) {
    endJob(Engine);
    return;
  }
  const std::int64_t Max = parseTokenCount(Job.Start_);
  if (Index >= Max) {
    deliverEvent(Job.Entry_, Job.Incarnation_,
                 AttemptEnded{Job.Start_.Attempt_, "stop", Blocks, 0});
    endJob(Engine);
    return;
  }
  deliverEvent(Job.Entry_, Job.Incarnation_,
               AttemptToken{Job.Start_.Attempt_, Index,
                            tokenText(parsePrompt(Job.Start_), Index)});
  const double Load = static_cast<double>(Engine.RunningRequests_) /
                      static_cast<double>(Engine.Parameters_.Slots_);
  const double Gap =
      Engine.Parameters_.MsPerToken_ * (0.6 + 0.4 * Load) * Slowdown;
  scheduleAt(
      Now_ + std::max<Millis>(1, static_cast<Millis>(Gap + randomFraction())),
      [this, Which, Job, Index, Slowdown, Blocks] {
        generateNextToken(Which, Job, Index + 1, Slowdown, Blocks);
      });
}

void World::endJob(FakeEngine &Engine) {
  --Engine.RunningRequests_;
  startWaitingJobs(Engine);
}

} // namespace endivewharf::fakes
