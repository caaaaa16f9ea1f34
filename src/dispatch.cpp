// Gives waiting calls to upstreams and keeps the books of attempts.
#include "dispatch.h"

#include "admission.h"
#include "calls.h"
#include "diagnostics.h"
#include "release.h"
#include "router.h"
#include <algorithm>

namespace endivewharf {

namespace {

constexpr int MaxCallsScannedPerQueue = 4;       // calls looked at per queue
constexpr int MaxDispatchesPerServiceQueue = 64; // calls
constexpr int MaxUrgency = 9; // the last one that upstreams know
constexpr Millis MaxConnectionIdleRepeatable = 4000; // ms
constexpr Millis MaxConnectionIdleDefault = 1000;    // ms
constexpr Millis MinFirstByteLimit = 400;            // ms
constexpr Millis FirstByteObjectiveFactor = 2;

/// Version for the next attempt: the old one, or the new one when it is due.
struct VersionChoice {
  std::string Version_;
  bool NewVersion_ = false;
  LogOffset NoteVersion_ = NoOffset;
};

/// Routed calls go to hosts of the old or the new version of their service;
/// while no move concerns it, to any.
VersionChoice chooseHostVersion(const State &S, const Call &C) {
  const auto Found = S.Release_.Rollouts_.find(C.ServiceQueue_);
  if (Found == S.Release_.Rollouts_.end())
    return {};
  const RolloutState &M = Found->second;
  if (!C.AvoidNewVersion_ && isNewVersionDue(S, M))
    return {std::string(NewVersionPool), true, M.Row_.NoteVersion_};
  return {std::string(OldVersionPool), false, M.Row_.NoteVersion_};
}

VersionChoice chooseVersion(State &S, const Call &C) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return chooseHostVersion(S, C);
  if (C.Request_.Kind_ == CallKind::Service)
    return {};
  const std::string &Model = C.Request_.Model_;
  const auto Found = S.Release_.Rollouts_.find(Model);
  if (Found == S.Release_.Rollouts_.end()) {
    // The configuration may have dropped the model since: no version, then.
    const auto Configured = S.Config_.Configuration_.Models_.find(Model);
    if (Configured == S.Config_.Configuration_.Models_.end())
      return {};
    return {Configured->second.Version_, false, NoOffset};
  }
  const RolloutState &M = Found->second;
  if (!C.AvoidNewVersion_ && isNewVersionDue(S, M))
    return {M.Row_.ToVersion_, true, M.Row_.NoteVersion_};
  return {M.Row_.FromVersion_, false, M.Row_.NoteVersion_};
}

/// The other choice, if hosts of the first one have no room.
VersionChoice oldVersionChoice(const State &S, const Call &C,
                               const VersionChoice &First) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return {std::string(OldVersionPool), false, First.NoteVersion_};
  return {S.Release_.Rollouts_.at(rolloutKey(C)).Row_.FromVersion_, false,
          First.NoteVersion_};
}

/// @return true if a call that an upstream has may run at so many more
bool mayUseMoreUpstreams(const Call &C, int Upstreams) {
  return C.RepeatPolicy_ != RepeatPolicy::Never &&
         C.UncertainAttempts_ + Upstreams <= C.MaxUpstreams_;
}

/// Time for an upstream to begin its answer where others are left to ask.
Millis firstByteTimeout(const Call &C) {
  return std::max(MinFirstByteLimit,
                  C.LatencyObjective_ * FirstByteObjectiveFactor);
}

/// @return true if a stream has been without an event for too long
bool hasStalled(const State &S, const Call &C, const Attempt &A) {
  const Millis Passed = S.Now_ - A.LastProgressAt_;
  if (A.FirstTokenAt_ == 0)
    return mayUseMoreUpstreams(C, 2) && Passed > firstByteTimeout(C);
  return mayUseMoreUpstreams(C, 1) && Passed > S.Settings_.Limits_.IdleTimeout_;
}

/// What only routed calls need.
void fillRoutedFields(const State &S, const Call &C, const Upstream &U,
                      StartAttempt &Start) {
  Start.Host_ = U.Row_.Host_.Name_;
  Start.Headers_ = C.Request_.Headers_;
  Start.Account_ = C.Account_;
  Start.TimeLeft_ = std::max<Millis>(1, C.Deadline_ - S.Now_);
  Start.Stream_ = C.EventStream_;
  Start.ResumeAfter_ =
      C.NextIndexKnown_ ? C.NextIndex_ - 1 : C.Request_.ResumeAfter_;
  Start.Urgency_ = std::min(MaxUrgency, C.Rank_);
  // A stream is judged by its events, not by its bytes; see stalledAttempts().
  Start.FirstByteTimeout_ = Start.TimeLeft_;
  Start.IdleTimeout_ = 0;
  // A reused connection may have died unseen: what runs once at the most goes
  // only where one was used a moment ago.
  Start.MaxIdleTime_ = C.RepeatPolicy_ == RepeatPolicy::Always
                           ? MaxConnectionIdleRepeatable
                           : MaxConnectionIdleDefault;
  if (C.EventStream_ || !mayUseMoreUpstreams(C, 1))
    return;
  Start.IdleTimeout_ = S.Settings_.Limits_.IdleTimeout_;
  if (mayUseMoreUpstreams(C, 2))
    Start.FirstByteTimeout_ = std::min(Start.TimeLeft_, firstByteTimeout(C));
}

void startAttempt(State &S, Call &C, int Index, const VersionChoice &Choice,
                  Effects &Out) {
  Upstream &U = S.Upstreams_[Index];
  ++U.InFlight_;
  const bool Batch = C.Request_.Priority_ == Priority::Batch;
  U.BatchInFlight_ += Batch ? 1 : 0;
  Attempt New;
  New.Batch_ = Batch;
  New.Call_ = C.Id_;
  New.Upstream_ = Index;
  New.Version_ = Choice.Version_;
  New.NewVersion_ = Choice.NewVersion_;
  New.NoteVersion_ = Choice.NoteVersion_;
  New.StartedAt_ = S.Now_;
  New.LastProgressAt_ = S.Now_;
  New.PrefillMs_ = expectedPrefillMs(S, C, Index);
  U.PrefillMs_ += New.PrefillMs_;
  const AttemptId Id = S.NextAttemptId_++;
  S.Attempts_[Id] = New;
  C.Attempt_ = Id;
  ++C.AttemptCount_;
  ++C.UncertainAttempts_;
  C.Phase_ = CallPhase::Running;
  if (C.DispatchedAt_ == 0) {
    C.DispatchedAt_ = S.Now_;
    recordLatency(S, "queue", C);
  }
  incrementCounter(S, "attempts");
  recordPrefixHolder(S, C.PrefixHashes_, Index);

  const bool Service = C.Request_.Kind_ == CallKind::Service;
  const LimitSettings &Limits = S.Settings_.Limits_;
  StartAttempt Start;
  Start.Attempt_ = Id;
  Start.Kind_ = C.Request_.Kind_;
  Start.Address_ = U.Row_.Address_;
  Start.RequestId_ = C.RequestId_;
  Start.Model_ = C.Request_.Model_;
  Start.Version_ = Choice.Version_;
  Start.Route_ = C.Request_.Route_;
  Start.Body_ = C.Request_.Body_;
  Start.GeneratedText_ = C.GeneratedText_;
  Start.NextIndex_ = C.NextIndex_;
  Start.Priority_ = C.Request_.Priority_;
  Start.Method_ = C.Request_.Method_;
  Start.Path_ = C.Request_.Path_;
  Start.ContentType_ = C.Request_.ContentType_;
  Start.IdempotencyKey_ = C.Request_.IdempotencyKey_;
  Start.FirstByteTimeout_ =
      Service ? Limits.ServiceTimeout_ : Limits.FirstTokenTimeout_;
  Start.IdleTimeout_ = Limits.IdleTimeout_;
  // A reused connection may turn out to be dead only after the request was
  // written; a call that may not be repeated never risks that.
  Start.FreshConnection_ =
      C.FreshConnection_ || (Service && isUnrepeatableCall(S, C));
  C.FreshConnection_ = false;
  if (C.Request_.Kind_ == CallKind::Routed)
    fillRoutedFields(S, C, U, Start);
  Out.push_back(std::move(Start));
}

/// Places one waiting call, if an upstream has room.
bool tryDispatchCall(State &S, Call &C, Effects &Out) {
  VersionChoice Choice = chooseVersion(S, C);
  int Index = pickUpstream(S, C, Choice.Version_);
  if (Index < 0 && Choice.NewVersion_) {
    Choice = oldVersionChoice(S, C, Choice);
    Index = pickUpstream(S, C, Choice.Version_);
  }
  if (Index < 0 && !C.TriedUpstreams_.empty()) {
    // Everything was tried once: a second round is better than none.
    C.TriedUpstreams_.clear();
    Index = pickUpstream(S, C, Choice.Version_);
  }
  if (Index < 0)
    return false;
  if (C.Request_.Kind_ != CallKind::Service)
    countVersionAttempt(S, rolloutKey(C), Choice.NewVersion_);
  dequeueCall(S, C);
  recordDispatch(S, C);
  startAttempt(S, C, Index, Choice, Out);
  return true;
}

bool dispatchOneCall(State &S, const std::string &Lane, Priority Which,
                     Effects &Out) {
  const std::size_t Queue = static_cast<std::size_t>(Which);
  for (const std::string &Name : queuesLeastServedFirst(S, Lane, Which)) {
    const auto &Waiting = S.Admission_.Accounts_[Name].Queues_[Queue];
    const std::size_t Scan =
        std::min<std::size_t>(Waiting.size(), MaxCallsScannedPerQueue);
    const std::vector<CallId> Heads(
        Waiting.begin(), Waiting.begin() + static_cast<std::ptrdiff_t>(Scan));
    for (const CallId Id : Heads)
      if (tryDispatchCall(S, S.Calls_.at(Id), Out))
        return true;
  }
  return false;
}

} // namespace

/// Ends an attempt's bookkeeping. A late answer of an attempt that was given
/// up finds nothing and is dropped.
std::optional<RemovedAttempt> removeAttempt(State &S, AttemptId Id) {
  const auto Found = S.Attempts_.find(Id);
  if (Found == S.Attempts_.end()) {
    incrementCounter(S, "stale_answers");
    return std::nullopt;
  }
  RemovedAttempt Taken{Found->second, findCall(S, Found->second.Call_)};
  S.Attempts_.erase(Found);
  Upstream &U = S.Upstreams_[Taken.Attempt_.Upstream_];
  U.InFlight_ = std::max(0, U.InFlight_ - 1);
  U.BatchInFlight_ -= Taken.Attempt_.Batch_ ? 1 : 0;
  if (Taken.Attempt_.FirstTokenAt_ == 0)
    U.PrefillMs_ = std::max(0.0, U.PrefillMs_ - Taken.Attempt_.PrefillMs_);
  if (Taken.Call_ != nullptr)
    Taken.Call_->Attempt_ = 0;
  return Taken;
}

std::vector<AttemptId> stalledAttempts(const State &S) {
  std::vector<AttemptId> Stalled;
  for (const auto &[Id, A] : S.Attempts_) {
    const auto Found = S.Calls_.find(A.Call_);
    if (Found != S.Calls_.end() && Found->second.EventStream_ &&
        hasStalled(S, Found->second, A))
      Stalled.push_back(Id);
  }
  std::sort(Stalled.begin(), Stalled.end());
  return Stalled;
}

void cancelAttempt(State &S, Call &C, Effects &Out) {
  if (C.Attempt_ == 0)
    return;
  Out.push_back(CancelAttempt{C.Attempt_});
  removeAttempt(S, C.Attempt_);
}

namespace {

void dispatchServiceQueue(State &S, const std::string &Lane, Effects &Out) {
  for (int I = 0; I < MaxDispatchesPerServiceQueue; ++I) {
    const Priority First = nextPriority(S, Lane);
    const Priority Second =
        First == Priority::Batch ? Priority::Interactive : Priority::Batch;
    if (!dispatchOneCall(S, Lane, First, Out) &&
        !dispatchOneCall(S, Lane, Second, Out))
      return;
  }
}

} // namespace

void dispatchQueuedCalls(State &S, Effects &Out) {
  std::vector<std::string> Busy;
  for (const auto &[Name, Lane] : S.Admission_.ServiceQueues_)
    if (Lane.WaitingCalls_[0] + Lane.WaitingCalls_[1] > 0)
      Busy.push_back(Name);
  for (const std::string &Name : Busy)
    dispatchServiceQueue(S, Name, Out);
}

void enqueueClaimedCall(State &S, Call &C, Effects &Out) {
  C.Phase_ = CallPhase::Queued;
  enqueueCall(S, C, false);
  dispatchQueuedCalls(S, Out);
}

} // namespace endivewharf
