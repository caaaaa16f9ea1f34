// Assigns queued calls to upstreams and keeps track of running attempts.
#include "dispatch.h"

#include "admission.h"
#include "calls.h"
#include "diagnostics.h"
#include "hedges.h"
#include "hostversions.h"
#include "relay.h"
#include "release.h"
#include "requestlimits.h"
#include "router.h"
#include "trials.h"
#include <algorithm>
#include <utility>

namespace endivewharf {

namespace {

constexpr int MaxCallsScannedPerQueue = 4;       // calls per account queue
constexpr int MaxDispatchesPerServiceQueue = 64; // calls
/// Largest (least urgent) urgency value that upstreams accept; 0 is the most
/// urgent.
constexpr int MaxUrgency = 9;
constexpr Millis MaxConnectionIdleRepeatable = 4000; // ms
constexpr Millis MaxConnectionIdleDefault = 1000;    // ms
constexpr Millis MinFirstByteLimit = 400;            // ms
/// Multiple of the route's latency objective that bounds the first byte.
constexpr Millis FirstByteObjectiveFactor = 2;

/// Version for the next attempt: the old one, or the new one if the rollout's
/// share makes it due.
struct VersionChoice {
  std::string Version_;
  bool NewVersion_ = false;
  LogOffset NoteVersion_ = NoOffset;
};

/// Chooses between the hosts of the old and the new version of a routed call's
/// service. Without a rollout of the service, any of its hosts will do and the
/// version is empty.
VersionChoice chooseHostVersion(const State &S, const Call &C) {
  const auto Found = S.Release_.Rollouts_.find(C.ServiceQueue_);
  if (Found == S.Release_.Rollouts_.end())
    return {};
  const RolloutState &Rollout = Found->second;
  if (!C.AvoidNewVersion_ && isNewVersionDue(S, Rollout))
    return {std::string(NewVersionPool), true, Rollout.Row_.NoteVersion_};
  return {std::string(OldVersionPool), false, Rollout.Row_.NoteVersion_};
}

/// Chooses the version for a call's next attempt; empty if any will do.
VersionChoice chooseVersion(State &S, const Call &C) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return chooseHostVersion(S, C);
  if (C.Request_.Kind_ == CallKind::Service)
    return {};
  const std::string &Model = C.Request_.Model_;
  const auto Found = S.Release_.Rollouts_.find(Model);
  if (Found == S.Release_.Rollouts_.end()) {
    // A configuration adopted after the call was queued may lack the model. The
    // version is empty in that case.
    const auto Configured = S.Config_.Configuration_.Models_.find(Model);
    if (Configured == S.Config_.Configuration_.Models_.end())
      return {};
    return {Configured->second.Version_, false, NoOffset};
  }
  const RolloutState &Rollout = Found->second;
  if (!C.AvoidNewVersion_ && isNewVersionDue(S, Rollout))
    return {Rollout.Row_.ToVersion_, true, Rollout.Row_.NoteVersion_};
  return {Rollout.Row_.FromVersion_, false, Rollout.Row_.NoteVersion_};
}

/// @return the old version, for when no host of the new one has capacity
VersionChoice oldVersionChoice(const State &S, const Call &C,
                               const VersionChoice &First) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return {std::string(OldVersionPool), false, First.NoteVersion_};
  return {S.Release_.Rollouts_.at(rolloutKey(C)).Row_.FromVersion_, false,
          First.NoteVersion_};
}

/// @return the new version for a routed call, if its hosts are the last resort:
///   none of the old version can be used now
std::optional<VersionChoice> lastResortChoice(State &S, const Call &C) {
  if (C.Request_.Kind_ != CallKind::Routed)
    return std::nullopt;
  const auto Found = S.Release_.Rollouts_.find(C.ServiceQueue_);
  if (Found == S.Release_.Rollouts_.end() ||
      hasUsableUpstream(S, C, OldVersionPool) ||
      !mayUseNewVersionAsLastResort(S, Found->second))
    return std::nullopt;
  return VersionChoice{std::string(NewVersionPool), true,
                       Found->second.Row_.NoteVersion_};
}

/// Counts an attempt at the last resort, and logs the first one of a rollout.
void recordLastResort(State &S, const Call &C, Effects &Out) {
  incrementCounter(S, "last_resort_attempts");
  RolloutState &Rollout = S.Release_.Rollouts_.at(C.ServiceQueue_);
  if (Rollout.LastResortReported_)
    return;
  Rollout.LastResortReported_ = true;
  logWarning(Out, "move_last_resort",
             {{"note", Rollout.Row_.NoteId_},
              {"service", C.ServiceQueue_},
              {"version", Rollout.Row_.ToVersion_},
              {"request", C.RequestId_},
              {"taken_back", Rollout.Row_.RolledBack_ ? "yes" : "no"}});
}

/// @return true if the call may run at that many more upstreams, besides those
///   that may have acted on it already
bool mayUseMoreUpstreams(const Call &C, int AdditionalUpstreams) {
  return C.RepeatPolicy_ != RepeatPolicy::Never &&
         C.UncertainAttempts_ + AdditionalUpstreams <= C.MaxUpstreams_;
}

/// Time limit in ms for the first byte of an answer while the call may still
/// run at another upstream.
Millis firstByteTimeout(const Call &C) {
  return std::max(MinFirstByteLimit,
                  C.LatencyObjective_ * FirstByteObjectiveFactor);
}

/// @return true if a stream has had no event within its time limit and may
///   continue elsewhere. Before the first event the limit is
///   firstByteTimeout() and the call must be allowed at two more upstreams;
///   afterwards the limit is the idle timeout of the settings and one more
///   upstream is enough.
bool hasStalled(const State &S, const Call &C, const Attempt &A) {
  const Millis SinceProgress = S.Now_ - A.LastProgressAt_;
  if (A.FirstTokenAt_ == 0)
    return mayUseMoreUpstreams(C, 2) && SinceProgress > firstByteTimeout(C);
  return mayUseMoreUpstreams(C, 1) &&
         SinceProgress > S.Settings_.Limits_.IdleTimeout_;
}

/// Fills in the fields that only attempts of routed calls use.
void fillRoutedFields(const State &S, const Call &C, const Upstream &U,
                      StartAttempt &Start) {
  Start.Host_ = U.Row_.Host_.Name_;
  Start.ReportsLimit_ = U.NamedLimit_.has_value();
  Start.Headers_ = C.Request_.Headers_;
  Start.Account_ = C.Account_;
  Start.TimeLeft_ = std::max<Millis>(1, C.Deadline_ - S.Now_);
  Start.Stream_ = C.EventStream_;
  Start.ResumeAfter_ =
      C.NextIndexKnown_ ? C.NextIndex_ - 1 : C.Request_.ResumeAfter_;
  Start.Urgency_ = std::min(MaxUrgency, C.Rank_);
  // Streams are not limited by the time between bytes: stalledAttempts() checks
  // the time between their events.
  Start.FirstByteTimeout_ = Start.TimeLeft_;
  Start.IdleTimeout_ = 0;
  // A reused connection may have been closed without notice. A call that may
  // not be repeated at will reuses only connections that were used recently.
  Start.MaxIdleTime_ = C.RepeatPolicy_ == RepeatPolicy::Always
                           ? MaxConnectionIdleRepeatable
                           : MaxConnectionIdleDefault;
  if (C.EventStream_ || !mayUseMoreUpstreams(C, 1))
    return;
  Start.IdleTimeout_ = S.Settings_.Limits_.IdleTimeout_;
  if (mayUseMoreUpstreams(C, 2))
    Start.FirstByteTimeout_ = std::min(Start.TimeLeft_, firstByteTimeout(C));
}

/// Enters a new attempt of a call, as its only one or beside another.
void enterAttempt(State &S, Call &C, AttemptId Id, const Attempt &NewAttempt) {
  S.Attempts_[Id] = NewAttempt;
  (NewAttempt.IsHedge_ ? C.Hedge_ : C.Attempt_) = Id;
  ++C.AttemptCount_;
  ++C.UncertainAttempts_;
  C.Phase_ = CallPhase::Running;
  if (C.DispatchedAt_ != 0)
    return;
  C.DispatchedAt_ = S.Now_;
  recordLatency(S, "queue", C);
  countHedgeableAttempt(S, C);
}

/// Records a new attempt of a call at an upstream and adds its effect. It is a
/// hedge if the call has an attempt under way.
/// @param Index index of the upstream
void startAttempt(State &S, Call &C, int Index, const VersionChoice &Choice,
                  Effects &Out) {
  Upstream &U = S.Upstreams_[Index];
  chargeRequest(S, Index);
  ++U.InFlight_;
  const bool IsBatch = C.Request_.Priority_ == Priority::Batch;
  U.BatchInFlight_ += IsBatch ? 1 : 0;
  Attempt NewAttempt;
  NewAttempt.Batch_ = IsBatch;
  NewAttempt.Call_ = C.Id_;
  NewAttempt.Upstream_ = Index;
  NewAttempt.Version_ = Choice.Version_;
  NewAttempt.NewVersion_ = Choice.NewVersion_;
  NewAttempt.NoteVersion_ = Choice.NoteVersion_;
  NewAttempt.StartedAt_ = S.Now_;
  NewAttempt.LastProgressAt_ = S.Now_;
  NewAttempt.UncachedTokens_ = expectedUncachedTokens(S, C, Index);
  NewAttempt.BacklogMs_ = prefillBacklogMs(U);
  NewAttempt.LoadAtStart_ = estimatedLoad(U);
  NewAttempt.PrefillMs_ = expectedPrefillMs(S, C, Index);
  NewAttempt.IsHedge_ = C.Attempt_ != 0;
  U.PrefillMs_ += NewAttempt.PrefillMs_;
  const AttemptId Id = S.NextAttemptId_++;
  enterAttempt(S, C, Id, NewAttempt);
  incrementCounter(S, "attempts");
  if (!U.IsPeer_)
    recordPrefixHolder(S, C.PrefixHashes_, Index);

  const bool IsService = C.Request_.Kind_ == CallKind::Service;
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
      IsService ? Limits.ServiceTimeout_ : Limits.FirstTokenTimeout_;
  Start.IdleTimeout_ = Limits.IdleTimeout_;
  // A reused connection may prove dead only after the request has been written,
  // so a call that may not be repeated always gets a new connection.
  Start.FreshConnection_ =
      C.FreshConnection_ || (IsService && isUnrepeatableCall(S, C));
  C.FreshConnection_ = false;
  if (C.Request_.Kind_ == CallKind::Routed)
    fillRoutedFields(S, C, U, Start);
  if (U.IsPeer_)
    Start.Relay_ = {S.Self_.Name_, C.Account_,
                    std::max(1, C.MaxUpstreams_ - C.UncertainAttempts_ + 1)};
  if (U.Leaving_)
    logWarning(Out, "leaving_upstream_used",
               {{"request", C.RequestId_}, {"upstream", U.Row_.Host_.Name_}});
  if (U.MissingSince_ != 0)
    logEvent(Out, "missing_upstream_used",
             {{"request", C.RequestId_},
              {"upstream", U.Row_.Host_.Name_},
              {"missing_ms", std::to_string(S.Now_ - U.MissingSince_)}});
  Out.push_back(std::move(Start));
}

/// Passes a queued call to a peer if this process is cut off from its service.
/// @return true if an attempt was started
bool tryRelayCall(State &S, Call &C, Effects &Out) {
  const int Index = pickRelay(S, C);
  if (Index < 0)
    return false;
  ++C.RelayCount_;
  incrementCounter(S, "relays");
  logEvent(Out, "relayed",
           {{"request", C.RequestId_},
            {"service", C.ServiceQueue_},
            {"peer", S.Upstreams_[Index].Row_.Host_.Name_},
            {"in_flight", std::to_string(S.Upstreams_[Index].InFlight_)},
            {"age_ms", std::to_string(S.Now_ - C.ArrivedAt_)}});
  dequeueCall(S, C);
  recordDispatch(S, C);
  startAttempt(S, C, Index, {}, Out);
  return true;
}

/// Starts an attempt for a queued call if an upstream has capacity.
/// @return true if an attempt was started
bool tryDispatchCall(State &S, Call &C, Effects &Out) {
  if (tryRelayCall(S, C, Out))
    return true;
  VersionChoice Choice = chooseVersion(S, C);
  const bool NewVersionIsFirst = Choice.NewVersion_;
  int Index = pickUpstream(S, C, Choice.Version_);
  if (Index < 0 && Choice.NewVersion_) {
    Choice = oldVersionChoice(S, C, Choice);
    Index = pickUpstream(S, C, Choice.Version_);
  }
  if (Index < 0 && !C.TriedUpstreams_.empty()) {
    // No untried upstream has capacity: upstreams at which this call has failed
    // may be used again.
    C.TriedUpstreams_.clear();
    Index = pickUpstream(S, C, Choice.Version_);
  }
  const auto LastResort =
      Index < 0 && !NewVersionIsFirst ? lastResortChoice(S, C) : std::nullopt;
  if (LastResort) {
    Choice = *LastResort;
    Index = pickUpstream(S, C, Choice.Version_);
  }
  if (Index < 0 || !admitSuspect(S, C, Out))
    return false;
  if (C.Request_.Kind_ != CallKind::Service)
    countVersionAttempt(S, rolloutKey(C), Choice.NewVersion_);
  if (LastResort)
    recordLastResort(S, C, Out);
  dequeueCall(S, C);
  recordDispatch(S, C);
  startAttempt(S, C, Index, Choice, Out);
  return true;
}

/// Dispatches one call of a service queue and priority, least served account
/// first.
/// @return true if an attempt was started
bool dispatchOneCall(State &S, const std::string &ServiceQueue,
                     Priority CallPriority, Effects &Out) {
  const std::size_t PriorityIndex = static_cast<std::size_t>(CallPriority);
  for (const std::string &AccountQueue :
       queuesLeastServedFirst(S, ServiceQueue, CallPriority)) {
    const auto &Waiting =
        S.Admission_.Accounts_[AccountQueue].Queues_[PriorityIndex];
    const std::size_t ScanCount =
        std::min<std::size_t>(Waiting.size(), MaxCallsScannedPerQueue);
    const std::vector<CallId> FirstIds(
        Waiting.begin(),
        Waiting.begin() + static_cast<std::ptrdiff_t>(ScanCount));
    for (const CallId Id : FirstIds)
      if (tryDispatchCall(S, S.Calls_.at(Id), Out))
        return true;
  }
  return false;
}

} // namespace

namespace {

/// Takes an attempt away from its call. A second attempt takes the place of the
/// first.
void detachAttempt(Call &C, AttemptId Id) {
  if (C.Attempt_ == Id)
    C.Attempt_ = std::exchange(C.Hedge_, 0);
  else
    C.Hedge_ = 0;
}

} // namespace

std::optional<RemovedAttempt> removeAttempt(State &S, AttemptId Id) {
  const auto Found = S.Attempts_.find(Id);
  if (Found == S.Attempts_.end()) {
    incrementCounter(S, "stale_answers");
    return std::nullopt;
  }
  RemovedAttempt Removed{Found->second, findCall(S, Found->second.Call_)};
  S.Attempts_.erase(Found);
  Upstream &U = S.Upstreams_[Removed.Attempt_.Upstream_];
  U.InFlight_ = std::max(0, U.InFlight_ - 1);
  U.BatchInFlight_ -= Removed.Attempt_.Batch_ ? 1 : 0;
  if (Removed.Attempt_.FirstTokenAt_ == 0)
    U.PrefillMs_ = std::max(0.0, U.PrefillMs_ - Removed.Attempt_.PrefillMs_);
  if (Removed.Call_ != nullptr)
    detachAttempt(*Removed.Call_, Id);
  return Removed;
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

namespace {

/// @return true if the upstream takes only so many requests from all processes
///   together, which are left for first attempts
bool isBounded(const State &S, int Index) {
  const auto Cold = S.ColdHosts_.Hosts_.find(Index);
  return S.Upstreams_[Index].NamedLimit_ ||
         (Cold != S.ColdHosts_.Hosts_.end() && isCold(Cold->second, S.Now_));
}

} // namespace

int startSecondAttempt(State &S, Call &C, Effects &Out) {
  const Attempt First = S.Attempts_.at(C.Attempt_);
  C.TriedUpstreams_.insert(First.Upstream_);
  const int Index = pickUpstream(S, C, First.Version_);
  C.TriedUpstreams_.erase(First.Upstream_);
  if (Index < 0 || isBounded(S, Index))
    return -1;
  startAttempt(S, C, Index,
               {First.Version_, First.NewVersion_, First.NoteVersion_}, Out);
  return Index;
}

std::optional<int> cancelOtherAttempt(State &S, Call &C, const Attempt &Kept,
                                      Effects &Out) {
  for (const AttemptId Id : {C.Attempt_, C.Hedge_}) {
    const auto Found = S.Attempts_.find(Id);
    if (Found == S.Attempts_.end() || Found->second.IsHedge_ == Kept.IsHedge_)
      continue;
    const int Upstream = Found->second.Upstream_;
    Out.push_back(CancelAttempt{Id});
    removeAttempt(S, Id);
    return Upstream;
  }
  return std::nullopt;
}

void cancelAttempts(State &S, Call &C, Effects &Out) {
  while (C.Attempt_ != 0) {
    Out.push_back(CancelAttempt{C.Attempt_});
    removeAttempt(S, C.Attempt_);
  }
}

namespace {

/// Dispatches calls of one service queue until none can be placed or the limit
/// per round is reached. The priority whose turn it is comes first.
void dispatchServiceQueue(State &S, const std::string &ServiceQueue,
                          Effects &Out) {
  for (int I = 0; I < MaxDispatchesPerServiceQueue; ++I) {
    const Priority First = nextPriority(S, ServiceQueue);
    const Priority Second =
        First == Priority::Batch ? Priority::Interactive : Priority::Batch;
    if (!dispatchOneCall(S, ServiceQueue, First, Out) &&
        !dispatchOneCall(S, ServiceQueue, Second, Out))
      return;
  }
}

} // namespace

void dispatchQueuedCalls(State &S, Effects &Out) {
  std::vector<std::string> NonEmptyQueues;
  for (const auto &[Name, Queue] : S.Admission_.ServiceQueues_)
    if (Queue.WaitingCalls_[0] + Queue.WaitingCalls_[1] > 0)
      NonEmptyQueues.push_back(Name);
  for (const std::string &Name : NonEmptyQueues)
    dispatchServiceQueue(S, Name, Out);
}

void enqueueAcceptedCall(State &S, Call &C, Effects &Out) {
  C.Phase_ = CallPhase::Queued;
  enqueueCall(S, C, false);
  dispatchQueuedCalls(S, Out);
}

} // namespace endivewharf
