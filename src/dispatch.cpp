// Gives waiting calls to upstreams and keeps the books of attempts.
#include "dispatch.h"

#include "admission.h"
#include "calls.h"
#include "record.h"
#include "release.h"
#include "router.h"
#include <algorithm>

namespace endivewharf {

namespace {

constexpr int MaxQueueScan = 4;            // calls looked at per queue
constexpr int MaxDispatchPerEvent = 64;    // calls
constexpr int MaxUrgency = 9;              // the last one that upstreams know
constexpr Millis MaxIdleRepeatable = 4000; // ms
constexpr Millis MaxIdleOnce = 1000;       // ms
constexpr Millis MinFirstByteLimit = 400;  // ms
constexpr Millis ObjectivesToFirstByte = 2;

/// Version for the next attempt: the old one, or the new one when it is due.
struct VersionChoice {
  std::string Version_;
  bool New_ = false;
  LogOffset Note_ = NoOffset;
};

/// Routed calls go to hosts of the old or the new version of their service;
/// while no move concerns it, to any.
VersionChoice chooseHosts(const State &S, const Call &C) {
  const auto Found = S.Release_.Moves_.find(C.Lane_);
  if (Found == S.Release_.Moves_.end())
    return {};
  const Move &M = Found->second;
  if (!C.AvoidNewVersion_ && isNewVersionDue(S, M))
    return {std::string(NewHosts), true, M.Row_.Note_};
  return {std::string(OldHosts), false, M.Row_.Note_};
}

VersionChoice chooseVersion(State &S, const Call &C) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return chooseHosts(S, C);
  if (C.Request_.Kind_ == CallKind::Service)
    return {};
  const std::string &Model = C.Request_.Model_;
  const auto Found = S.Release_.Moves_.find(Model);
  if (Found == S.Release_.Moves_.end()) {
    // The configuration may have dropped the model since: no version, then.
    const auto Configured = S.Config_.Value_.Models_.find(Model);
    if (Configured == S.Config_.Value_.Models_.end())
      return {};
    return {Configured->second.Version_, false, NoOffset};
  }
  const Move &M = Found->second;
  if (!C.AvoidNewVersion_ && isNewVersionDue(S, M))
    return {M.Row_.To_, true, M.Row_.Note_};
  return {M.Row_.From_, false, M.Row_.Note_};
}

/// The other choice, if hosts of the first one have no room.
VersionChoice otherChoice(const State &S, const Call &C,
                          const VersionChoice &First) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return {std::string(OldHosts), false, First.Note_};
  return {S.Release_.Moves_.at(moveKey(C)).Row_.From_, false, First.Note_};
}

/// @return true if a call that an upstream has may run at so many more
bool mayRunElsewhere(const Call &C, int Upstreams) {
  return C.Repeat_ != Repeat::Never &&
         C.Uncertain_ + Upstreams <= C.MaxUpstreams_;
}

/// Time for an upstream to begin its answer where others are left to ask.
Millis firstAnswerLimit(const Call &C) {
  return std::max(MinFirstByteLimit, C.Objective_ * ObjectivesToFirstByte);
}

/// @return true if a stream has been without an event for too long
bool hasStalled(const State &S, const Call &C, const Attempt &A) {
  const Millis Passed = S.Now_ - A.LastProgressAt_;
  if (A.FirstTokenAt_ == 0)
    return mayRunElsewhere(C, 2) && Passed > firstAnswerLimit(C);
  return mayRunElsewhere(C, 1) && Passed > S.Settings_.Limits_.ProgressLimit_;
}

/// What only routed calls need.
void fillRouted(const State &S, const Call &C, const Upstream &U,
                StartAttempt &Start) {
  Start.Host_ = U.Row_.Host_.Name_;
  Start.Headers_ = C.Request_.Headers_;
  Start.Account_ = C.Account_;
  Start.TimeLeft_ = std::max<Millis>(1, C.Deadline_ - S.Now_);
  Start.Stream_ = C.Events_;
  Start.ResumeAfter_ =
      C.IndexKnown_ ? C.NextIndex_ - 1 : C.Request_.ResumeAfter_;
  Start.Urgency_ = std::min(MaxUrgency, C.Rank_);
  // A stream is judged by its events, not by its bytes; see stalledAttempts().
  Start.FirstByteLimit_ = Start.TimeLeft_;
  Start.ProgressLimit_ = 0;
  // A reused connection may have died unseen: what runs once at the most goes
  // only where one was used a moment ago.
  Start.MaxIdle_ = C.Repeat_ == Repeat::Free ? MaxIdleRepeatable : MaxIdleOnce;
  if (C.Events_ || !mayRunElsewhere(C, 1))
    return;
  Start.ProgressLimit_ = S.Settings_.Limits_.ProgressLimit_;
  if (mayRunElsewhere(C, 2))
    Start.FirstByteLimit_ = std::min(Start.TimeLeft_, firstAnswerLimit(C));
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
  New.NewVersion_ = Choice.New_;
  New.Note_ = Choice.Note_;
  New.StartedAt_ = S.Now_;
  New.LastProgressAt_ = S.Now_;
  New.PrefillMs_ = expectedPrefill(S, C, Index);
  U.PrefillMs_ += New.PrefillMs_;
  const AttemptId Id = S.NextAttempt_++;
  S.Attempts_[Id] = New;
  C.Attempt_ = Id;
  ++C.Attempts_;
  ++C.Uncertain_;
  C.Phase_ = CallPhase::Running;
  if (C.DispatchedAt_ == 0) {
    C.DispatchedAt_ = S.Now_;
    observe(S, "queue", C);
  }
  count(S, "attempts");
  rememberPrefix(S, C.Blocks_, Index);

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
  Start.Delivered_ = C.Text_;
  Start.NextIndex_ = C.NextIndex_;
  Start.Priority_ = C.Request_.Priority_;
  Start.Method_ = C.Request_.Method_;
  Start.Path_ = C.Request_.Path_;
  Start.ContentType_ = C.Request_.ContentType_;
  Start.IdempotencyKey_ = C.Request_.IdempotencyKey_;
  Start.FirstByteLimit_ =
      Service ? Limits.ServiceLimit_ : Limits.FirstTokenLimit_;
  Start.ProgressLimit_ = Limits.ProgressLimit_;
  // A reused connection may turn out to be dead only after the request was
  // written; a call that may not be repeated never risks that.
  Start.FreshConnection_ =
      C.FreshConnection_ || (Service && isUnrepeatableCall(S, C));
  C.FreshConnection_ = false;
  if (C.Request_.Kind_ == CallKind::Routed)
    fillRouted(S, C, U, Start);
  Out.push_back(std::move(Start));
}

/// Places one waiting call, if an upstream has room.
bool tryPlace(State &S, Call &C, Effects &Out) {
  VersionChoice Choice = chooseVersion(S, C);
  int Index = pickUpstream(S, C, Choice.Version_);
  if (Index < 0 && Choice.New_) {
    Choice = otherChoice(S, C, Choice);
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
    noteVersionChosen(S, moveKey(C), Choice.New_);
  dequeue(S, C);
  noteServed(S, C);
  startAttempt(S, C, Index, Choice, Out);
  return true;
}

bool placeOneOf(State &S, const std::string &Lane, Priority Which,
                Effects &Out) {
  const std::size_t Queue = static_cast<std::size_t>(Which);
  for (const std::string &Name : queuesByTurn(S, Lane, Which)) {
    const auto &Waiting = S.Admission_.Accounts_[Name].Queues_[Queue];
    const std::size_t Scan =
        std::min<std::size_t>(Waiting.size(), MaxQueueScan);
    const std::vector<CallId> Heads(
        Waiting.begin(), Waiting.begin() + static_cast<std::ptrdiff_t>(Scan));
    for (const CallId Id : Heads)
      if (tryPlace(S, S.Calls_.at(Id), Out))
        return true;
  }
  return false;
}

} // namespace

/// Ends an attempt's bookkeeping. A late answer of an attempt that was given
/// up finds nothing and is dropped.
std::optional<TakenAttempt> takeAttempt(State &S, AttemptId Id) {
  const auto Found = S.Attempts_.find(Id);
  if (Found == S.Attempts_.end()) {
    count(S, "stale_answers");
    return std::nullopt;
  }
  TakenAttempt Taken{Found->second, findCall(S, Found->second.Call_)};
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
    if (Found != S.Calls_.end() && Found->second.Events_ &&
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
  takeAttempt(S, C.Attempt_);
}

namespace {

void dispatchLane(State &S, const std::string &Lane, Effects &Out) {
  for (int I = 0; I < MaxDispatchPerEvent; ++I) {
    const Priority First = nextPriority(S, Lane);
    const Priority Second =
        First == Priority::Batch ? Priority::Interactive : Priority::Batch;
    if (!placeOneOf(S, Lane, First, Out) && !placeOneOf(S, Lane, Second, Out))
      return;
  }
}

} // namespace

void dispatchWaiting(State &S, Effects &Out) {
  std::vector<std::string> Busy;
  for (const auto &[Name, Lane] : S.Admission_.Lanes_)
    if (Lane.Waiting_[0] + Lane.Waiting_[1] > 0)
      Busy.push_back(Name);
  for (const std::string &Name : Busy)
    dispatchLane(S, Name, Out);
}

void releaseToQueue(State &S, Call &C, Effects &Out) {
  C.Phase_ = CallPhase::Queued;
  enqueue(S, C, false);
  dispatchWaiting(S, Out);
}

} // namespace endivewharf
