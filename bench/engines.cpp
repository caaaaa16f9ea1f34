// The fakes' engines and services: continuous batching, prefix cache, faults.
#include "world.h"

#include "router.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf::fakes {

namespace {

std::string promptOf(const StartAttempt &Start) {
  return Start.Body_.substr(Start.Body_.find('|') + 1);
}

std::int64_t tokensOf(const StartAttempt &Start) {
  return std::stoll(Start.Body_);
}

} // namespace

void World::order(const OrderLoad &E) {
  const int Which = engineAt(E.Address_);
  if (Which < 0)
    return;
  FakeEngine &Engine = Engines_[Which];
  if (Engine.Row_.ChecksEpoch_ && E.Epoch_ < Engine.LastEpoch_)
    return;
  Engine.LastEpoch_ = std::max(Engine.LastEpoch_, E.Epoch_);
  ++Engine.OrdersTaken_;
  at(Now_ + Engine.Shape_.LoadMs_, [this, Which, E] {
    Engines_[Which].Loaded_.insert({E.Model_, E.Version_});
  });
}

void World::startAttempt(int Index, const StartAttempt &E) {
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  const auto Fail = [&](AttemptFailure Failure, bool Leaving) {
    at(Now_ + UpstreamDelay,
       [this, Index, Life, Id = E.Attempt_, Failure, Leaving] {
         deliver(Index, Life, AttemptFailed{Id, Failure, Leaving, "fake"});
       });
  };
  for (FakeService &Service : Services_)
    if (Service.Row_.Address_ == E.Address_) {
      startService(Index, E, Service);
      return;
    }
  const int Which = engineAt(E.Address_);
  FakeEngine &Engine = Engines_[Which];
  if (Engine.Dead_ || !linked(dataCentre(Index), Engine.Row_.DataCentre_))
    return Fail(AttemptFailure::NotSent, false);
  if (Engine.Leaving_)
    return Fail(AttemptFailure::Refused, true);
  if (Engine.Loaded_.count({E.Model_, E.Version_}) == 0 ||
      Engine.Queue_.size() >= static_cast<std::size_t>(Engine.Shape_.Queue_))
    return Fail(AttemptFailure::Refused, false);
  Engine.LastStart_ = Now_;
  Engine.Queue_.push_back({Index, Life, E});
  if (E.Priority_ == Priority::Interactive) {
    // Before the batch requests that wait.
    auto Place = std::find_if(Engine.Queue_.begin(), Engine.Queue_.end(),
                              [](const auto &Job) {
                                return Job.Start_.Priority_ == Priority::Batch;
                              });
    if (Place != Engine.Queue_.end())
      std::rotate(Place, Engine.Queue_.end() - 1, Engine.Queue_.end());
  }
  startJobs(Engine);
}

void World::startService(int Index, const StartAttempt &E, FakeService &To) {
  const std::uint64_t Life = Entries_[Index].State_.Self_.Incarnation_;
  const auto Later = [&](Millis Wait, EventBody Body) {
    at(Now_ + Wait, [this, Index, Life, Body = std::move(Body)] {
      deliver(Index, Life, Body);
    });
  };
  if (To.Dead_ || !linked(dataCentre(Index), To.Row_.DataCentre_))
    return Later(
        UpstreamDelay,
        AttemptFailed{E.Attempt_, AttemptFailure::NotSent, false, "fake"});
  if (To.Refuse_)
    return Later(
        UpstreamDelay,
        AttemptFailed{E.Attempt_, AttemptFailure::Refused, false, "fake"});
  const std::string Key =
      E.IdempotencyKey_.empty() ? E.RequestId_ : E.IdempotencyKey_;
  const int Times = ++Executions_[Key];
  ++ExecutionsByRequest_[E.RequestId_];
  if (To.LoseReplies_ > 0) {
    --To.LoseReplies_;
    return Later(
        E.FirstByteLimit_,
        AttemptFailed{E.Attempt_, AttemptFailure::Silent, false, "fake"});
  }
  Later(To.DelayMs_ + 2 * UpstreamDelay,
        ServiceReply{E.Attempt_, 200, "text/plain",
                     fmt::format("{} ran {}", Key, Times)});
}

const VersionFault *World::faultOf(const FakeEngine &Engine,
                                   const StartAttempt &Start) const {
  const auto Found = Faults_.find(Start.Version_);
  if (Found == Faults_.end())
    return nullptr;
  const VersionFault &F = Found->second;
  const bool Applies =
      (F.Route_.empty() || F.Route_ == Start.Route_) &&
      (F.DataCentre_.empty() || F.DataCentre_ == Engine.Row_.DataCentre_) &&
      Engine.Running_ >= F.MinRunning_ && Now_ >= F.From_;
  return Applies ? &F : nullptr;
}

void World::startJobs(FakeEngine &Engine) {
  while (!Engine.Dead_ && Engine.Running_ < Engine.Shape_.Slots_ &&
         !Engine.Queue_.empty()) {
    const FakeEngine::Job Job = Engine.Queue_.front();
    Engine.Queue_.pop_front();
    if (Cancelled_.count({Job.Entry_, Job.Start_.Attempt_}) > 0)
      continue;
    ++Engine.Running_;
    runJob(Engine, Job);
  }
}

void World::runJob(FakeEngine &Engine, const FakeEngine::Job &Job) {
  ++Engine.Attempts_;
  ++Engine.AttemptsByVersion_[Job.Start_.Version_];
  const VersionFault *F = faultOf(Engine, Job.Start_);
  if (F != nullptr && chance() < F->FailShare_) {
    at(Now_ + 2 * UpstreamDelay, [this, Job] {
      deliver(Job.Entry_, Job.Life_,
              AttemptFailed{Job.Start_.Attempt_, AttemptFailure::Failed, false,
                            "status 500"});
    });
    endJob(Engine);
    return;
  }
  const auto Blocks = prefixBlocks(promptOf(Job.Start_));
  std::size_t Cached = 0;
  bool Matching = true;
  for (const std::uint64_t Block : Blocks) {
    const auto Found = Engine.Cache_.find(Block);
    Matching = Matching && Found != Engine.Cache_.end();
    Cached += Matching ? 1 : 0;
    if (Found != Engine.Cache_.end())
      Engine.Recent_.erase(Found->second);
    Engine.Recent_.push_front(Block);
    Engine.Cache_[Block] = Engine.Recent_.begin();
    if (Engine.Recent_.size() > Engine.Shape_.CacheBlocks_) {
      Engine.Cache_.erase(Engine.Recent_.back());
      Engine.Recent_.pop_back();
    }
  }
  const auto Uncached = static_cast<std::int64_t>(Blocks.size() - Cached);
  Engine.BlocksAsked_ += static_cast<std::int64_t>(Blocks.size());
  Engine.BlocksComputed_ += Uncached;
  const std::int64_t First = Options_.IgnoreResume_ ? 0 : Job.Start_.NextIndex_;
  Engine.TokensGeneratedAgain_ += Job.Start_.NextIndex_ - First;
  const double Slowdown = F == nullptr ? 1 : F->Slowdown_;
  const double Prefill = static_cast<double>(Uncached) *
                         Engine.Shape_.PrefillMsPerBlock_ * Slowdown;
  const int Which = engineAt(Engine.Row_.Address_);
  at(Now_ + UpstreamDelay + static_cast<Millis>(Prefill),
     [this, Which, Job, Slowdown, First, Blocks = Uncached] {
       nextToken(Which, Job, First, Slowdown, Blocks);
     });
}

void World::nextToken(int Which, const FakeEngine::Job &Job, std::int64_t Index,
                      double Slowdown, std::int64_t Blocks) {
  FakeEngine &Engine = Engines_[Which];
  if (Engine.Dead_)
    return;
  const Entry &Owner = Entries_[Job.Entry_];
  const bool Unwanted =
      Cancelled_.count({Job.Entry_, Job.Start_.Attempt_}) > 0 ||
      !Owner.Alive_ || Owner.State_.Self_.Incarnation_ != Job.Life_;
  if (Unwanted) {
    endJob(Engine);
    return;
  }
  const std::int64_t Max = tokensOf(Job.Start_);
  if (Index >= Max) {
    deliver(Job.Entry_, Job.Life_,
            AttemptEnded{Job.Start_.Attempt_, "stop", Blocks, 0});
    endJob(Engine);
    return;
  }
  deliver(Job.Entry_, Job.Life_,
          AttemptToken{Job.Start_.Attempt_, Index,
                       tokenText(promptOf(Job.Start_), Index)});
  const double Load = static_cast<double>(Engine.Running_) /
                      static_cast<double>(Engine.Shape_.Slots_);
  const double Gap = Engine.Shape_.TokenMs_ * (0.6 + 0.4 * Load) * Slowdown;
  at(Now_ + std::max<Millis>(1, static_cast<Millis>(Gap + chance())),
     [this, Which, Job, Index, Slowdown, Blocks] {
       nextToken(Which, Job, Index + 1, Slowdown, Blocks);
     });
}

void World::endJob(FakeEngine &Engine) {
  --Engine.Running_;
  startJobs(Engine);
}

} // namespace endivewharf::fakes
