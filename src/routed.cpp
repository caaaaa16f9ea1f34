// Routed calls from the door to the answer.
#include "routed.h"

#include "admission.h"
#include "calls.h"
#include "dispatch.h"
#include "fleet.h"
#include "quota.h"
#include "record.h"
#include "router.h"
#include "upstreams.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis StaleConfiguration = 2500; // ms without a word of operators
constexpr Millis NotReadyRetry = 500;       // ms
constexpr Millis NoUpstreamRetry = 400;     // ms
constexpr Millis DrainingRetry = 50;        // ms; another process is there
constexpr Millis StreamTime = 4500;         // ms in which most streams end
constexpr Millis PlainTime = 1000;          // ms
constexpr int FirstServerError = 500;       // HTTP status

Repeat repeatOf(const RouteEntry &Route) {
  switch (Route.Kind_) {
  case RouteKind::Repeatable:
    return Repeat::Free;
  case RouteKind::Stream:
    return Route.Resumable_ ? Repeat::Resume : Repeat::Never;
  case RouteKind::Unrepeatable:
    break;
  }
  return Repeat::Never;
}

/// One of a route's services, by weight.
const std::string &chooseService(State &S, const RouteEntry &Route) {
  double Sum = 0;
  for (const ServiceShare &Share : Route.Services_)
    Sum += Share.Weight_;
  constexpr double Steps = 1 << 20;
  double Left = Sum * static_cast<double>(nextRandom(S) % (1 << 20)) / Steps;
  for (const ServiceShare &Share : Route.Services_) {
    if (Left < Share.Weight_)
      return Share.Service_;
    Left -= Share.Weight_;
  }
  return Route.Services_.back().Service_;
}

void fillBlocks(Call &C) {
  C.Blocks_ = partBlocks(C.Request_.Parts_);
  std::int64_t Sum = 0;
  for (const PromptPart &Part : C.Request_.Parts_) {
    Sum += Part.Tokens_;
    C.BlockTokens_.push_back(Sum);
  }
}

void fillFromRoute(State &S, Call &C, const RouteEntry &Route) {
  C.Lane_ = chooseService(S, Route);
  C.Request_.Route_ = Route.Name_;
  C.Repeat_ = repeatOf(Route);
  C.Events_ = Route.Kind_ == RouteKind::Stream;
  C.MaxUpstreams_ = Route.MaxUpstreams_;
  C.Objective_ = Route.Objective_;
  C.Rank_ = Route.Rank_;
  C.QueuedAt_ = S.Now_;
  if (Route.TimeLimit_ > 0)
    C.Deadline_ = std::min(C.Deadline_, S.Now_ + Route.TimeLimit_);
  if (C.Request_.ResumeAfter_ != NoIndex) {
    C.NextIndex_ = C.Request_.ResumeAfter_ + 1;
    C.IndexKnown_ = true;
  }
  const auto Service = S.Config_.Value_.Services_.find(C.Lane_);
  const bool First = Service == S.Config_.Value_.Services_.end() ||
                     Route.Rank_ <= Service->second.FirstRank_;
  C.Request_.Priority_ = First ? Priority::Interactive : Priority::Batch;
  fillBlocks(C);
}

/// An old view of the configuration may lack what the caller refers to.
CallError refusedByView(const State &S, ErrorKind Kind, std::string Detail) {
  const bool Fresh = S.Operator_.FreshAt_ >= 0 &&
                     S.Now_ - S.Operator_.FreshAt_ < StaleConfiguration;
  if (Fresh)
    return {Kind, RunState::NotRun, std::move(Detail), 0};
  return {ErrorKind::NotReady, RunState::NotRun,
          "this process's configuration may be old: " + Detail, NotReadyRetry};
}

/// Time until the first upstream of a service that only asked for a pause may
/// be used again; 0: there is none such.
Millis pauseLeft(const State &S, const std::string &Service) {
  Millis Left = 0;
  for (const Upstream &U : S.Upstreams_) {
    if (U.Row_.Service_ != Service || U.Leaving_ || !U.Listed_ ||
        U.PausedUntil_ <= S.Now_)
      continue;
    const Millis Own = U.PausedUntil_ - S.Now_;
    Left = Left == 0 ? Own : std::min(Left, Own);
  }
  return Left;
}

/// A stop may leave too little time for the whole answer; connections that
/// were kept open go on bringing requests all the while.
bool endsTooSoon(const State &S, const Call &C) {
  const Millis Needed = C.Events_ ? StreamTime : PlainTime;
  return S.Stage_ == Stage::Draining && S.StopDeadline_ - S.Now_ < Needed;
}

/// May have run: what the caller gets in place of an answer promises nothing.
CallError failedError(const State &S, const Call &C, std::string Detail) {
  return {ErrorKind::UpstreamFailed, runStateOf(S, C), std::move(Detail), 0};
}

void tryAgain(State &S, Call &C) {
  count(S, "retries");
  C.Phase_ = CallPhase::Queued;
  C.QueuedAt_ = S.Now_;
  enqueue(S, C, true);
}

/// The attempt ran nothing: any other upstream will do.
void retryUntouched(State &S, Call &C, const AttemptFailed &E, Effects &Out) {
  const bool Arrived = E.Failure_ != AttemptFailure::NotSent;
  if (!Arrived || takeRetry(S, C)) {
    tryAgain(S, C);
    return;
  }
  const RunState Run = runStateOf(S, C);
  const ErrorKind Kind = Run == RunState::NotRun ? ErrorKind::Overloaded
                                                 : ErrorKind::UpstreamFailed;
  refuse(S, C, {Kind, Run, "no more retries: " + E.Detail_, retryAfter(S, C)},
         Out);
}

/// @return true if what may have run may run again, elsewhere
bool mayRunAgain(State &S, const Call &C) {
  return C.Repeat_ != Repeat::Never && C.Uncertain_ < C.MaxUpstreams_ &&
         takeRetry(S, C);
}

void answerRouted(State &S, Call &C, const ServiceReply &E, Effects &Out) {
  count(S, "answered");
  noteAnswered(S, C);
  Out.push_back(ReplyRouted{C.Id_, E.Status_, E.Headers_, E.Body_});
  forgetCall(S, C.Id_);
}

} // namespace

std::optional<CallError> checkRouted(State &S, Call &C) {
  const std::string_view Path =
      std::string_view(C.Request_.Path_).substr(0, C.Request_.Path_.find('?'));
  const RouteEntry *Route = findRoute(S.Config_.Value_, C.Request_.Host_, Path);
  if (Route == nullptr)
    return refusedByView(S, ErrorKind::UnknownRoute, "no such route");
  const Account *Holder = nullptr;
  if (!Route->Public_ && !S.Config_.Value_.AccountsByName_.empty()) {
    const auto Found = S.Config_.Value_.AccountsByKey_.find(C.Request_.ApiKey_);
    if (Found == S.Config_.Value_.AccountsByKey_.end())
      return refusedByView(S, ErrorKind::BadKey, "no account has this key");
    Holder = &Found->second;
    C.Account_ = Holder->Name_;
  }
  fillFromRoute(S, C, *Route);
  noteWork(S, C);
  if (endsTooSoon(S, C))
    return CallError{ErrorKind::Draining, RunState::NotRun,
                     "this process ends before the answer could be whole",
                     DrainingRetry};
  if (!isServed(S, C, ""))
    return CallError{ErrorKind::NoUpstream, RunState::NotRun,
                     fmt::format("no upstream serves {}", C.Lane_),
                     std::max(NoUpstreamRetry, pauseLeft(S, C.Lane_))};
  if (auto Error = checkLane(S, C))
    return Error;
  if (Holder != nullptr)
    return takeQuota(S, C, *Holder);
  return std::nullopt;
}

void onAttemptHead(State &S, const AttemptHead &E) {
  const auto Found = S.Attempts_.find(E.Attempt_);
  if (Found == S.Attempts_.end())
    return;
  Call *C = findCall(S, Found->second.Call_);
  if (C == nullptr || C->StreamStarted_)
    return; // the answer keeps the head of its first upstream
  C->HeadStatus_ = E.Status_;
  C->Head_ = E.Headers_;
}

void passEvent(State &S, Call &C, const AttemptToken &E, Effects &Out) {
  if (!C.StreamStarted_) {
    C.StreamStarted_ = true;
    observe(S, "first_event", C);
    noteBegan(S, C);
    Out.push_back(StartRoutedStream{C.Id_, C.HeadStatus_, C.Head_});
  }
  C.NextIndex_ = E.Index_ + 1;
  C.IndexKnown_ = true;
  count(S, "events");
  Out.push_back(SendToken{C.Id_, E.Index_, E.Text_});
}

void finishRouted(State &S, Call &C, Effects &Out) {
  if (!C.StreamStarted_)
    Out.push_back(StartRoutedStream{C.Id_, C.HeadStatus_, C.Head_});
  count(S, "answered");
  noteAnswered(S, C);
  logEvent(Out, "answered",
           {{"request", C.RequestId_},
            {"events", std::to_string(C.NextIndex_)},
            {"took_ms", std::to_string(S.Now_ - C.ArrivedAt_)}});
  Out.push_back(FinishStream{C.Id_, "", C.NextIndex_});
  forgetCall(S, C.Id_);
}

void onRoutedReply(State &S, Call &C, const Attempt &A, const ServiceReply &E,
                   Effects &Out) {
  const bool Failed = E.Status_ >= FirstServerError;
  noteBegan(S, C);
  logEvent(Out, "upstream_answer",
           {{"request", C.RequestId_},
            {"upstream", S.Upstreams_[A.Upstream_].Row_.Host_.Name_},
            {"status", std::to_string(E.Status_)},
            {"took_ms", std::to_string(S.Now_ - A.StartedAt_)}});
  if (Failed && !C.StreamStarted_ && mayRunAgain(S, C)) {
    C.TriedUpstreams_.insert(A.Upstream_);
    tryAgain(S, C);
    return;
  }
  if (C.StreamStarted_) {
    refuse(S, C, failedError(S, C, "the stream could not be resumed"), Out);
    return;
  }
  answerRouted(S, C, E, Out);
}

void retryRouted(State &S, Call &C, const Attempt &A, const AttemptFailed &E,
                 Effects &Out) {
  C.TriedUpstreams_.insert(A.Upstream_);
  if (A.NewVersion_)
    C.AvoidNewVersion_ = true;
  const bool Untouched = E.Failure_ == AttemptFailure::NotSent ||
                         E.Failure_ == AttemptFailure::Refused ||
                         E.Failure_ == AttemptFailure::OtherHost;
  // What broke off after it was sent has most likely begun.
  if (!Untouched)
    noteBegan(S, C);
  if (Untouched)
    retryUntouched(S, C, E, Out);
  else if (mayRunAgain(S, C))
    tryAgain(S, C);
  else
    refuse(S, C, failedError(S, C, E.Detail_), Out);
}

void tickRouted(State &S, Effects &Out) {
  std::vector<CallId> Waited;
  for (const auto &[Id, C] : S.Calls_)
    if (!C.Lane_.empty() && C.Phase_ == CallPhase::Queued &&
        S.Now_ - C.QueuedAt_ >= longestWait(C))
      Waited.push_back(Id);
  std::sort(Waited.begin(), Waited.end());
  for (const CallId Id : Waited) {
    Call &C = S.Calls_.at(Id);
    const RunState Run = runStateOf(S, C);
    const ErrorKind Kind = Run == RunState::NotRun ? ErrorKind::Overloaded
                                                   : ErrorKind::UpstreamFailed;
    refuse(S, C,
           {Kind, Run, "no upstream had room for as long as it may wait",
            retryAfter(S, C)},
           Out);
  }
}

} // namespace endivewharf
