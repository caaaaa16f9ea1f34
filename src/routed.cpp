// Routed calls from the door to the answer.
#include "routed.h"

#include "admission.h"
#include "calls.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "fleet.h"
#include "quota.h"
#include "router.h"
#include "upstreams.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis ConfigurationStaleTimeout =
    2500;                                    // ms without a word of operators
constexpr Millis NotReadyRetryAfter = 500;   // ms
constexpr Millis NoUpstreamRetryAfter = 400; // ms
constexpr Millis DrainingRetryAfter = 50;    // ms; another process is there
constexpr Millis ExpectedStreamDuration = 4500; // ms in which most streams end
constexpr Millis ExpectedPlainDuration = 1000;  // ms
constexpr int FirstServerError = 500;           // HTTP status

RepeatPolicy repeatPolicy(const RouteEntry &Route) {
  switch (Route.Kind_) {
  case RouteKind::Repeatable:
    return RepeatPolicy::Always;
  case RouteKind::Stream:
    return Route.Resumable_ ? RepeatPolicy::Resumable : RepeatPolicy::Never;
  case RouteKind::Unrepeatable:
    break;
  }
  return RepeatPolicy::Never;
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

void fillPromptBlocks(Call &C) {
  C.PrefixHashes_ = partPrefixHashes(C.Request_.PromptParts_);
  std::int64_t Sum = 0;
  for (const PromptPart &Part : C.Request_.PromptParts_) {
    Sum += Part.Tokens_;
    C.PrefixTokens_.push_back(Sum);
  }
}

void fillFromRoute(State &S, Call &C, const RouteEntry &Route) {
  C.ServiceQueue_ = chooseService(S, Route);
  C.Request_.Route_ = Route.Name_;
  C.RepeatPolicy_ = repeatPolicy(Route);
  C.EventStream_ = Route.Kind_ == RouteKind::Stream;
  C.MaxUpstreams_ = Route.MaxUpstreams_;
  C.LatencyObjective_ = Route.LatencyObjective_;
  C.Rank_ = Route.Rank_;
  C.QueuedAt_ = S.Now_;
  if (Route.TimeLimit_ > 0)
    C.Deadline_ = std::min(C.Deadline_, S.Now_ + Route.TimeLimit_);
  if (C.Request_.ResumeAfter_ != NoEventIndex) {
    C.NextIndex_ = C.Request_.ResumeAfter_ + 1;
    C.NextIndexKnown_ = true;
  }
  const auto Service = S.Config_.Configuration_.Services_.find(C.ServiceQueue_);
  const bool First = Service == S.Config_.Configuration_.Services_.end() ||
                     Route.Rank_ <= Service->second.LowestRouteRank_;
  C.Request_.Priority_ = First ? Priority::Interactive : Priority::Batch;
  fillPromptBlocks(C);
}

/// An old view of the configuration may lack what the caller refers to.
CallError configurationLookupError(const State &S, ErrorKind Kind,
                                   std::string Detail) {
  const bool Fresh =
      S.OperatorLog_.LastReadAt_ >= 0 &&
      S.Now_ - S.OperatorLog_.LastReadAt_ < ConfigurationStaleTimeout;
  if (Fresh)
    return {Kind, RunState::NotRun, std::move(Detail), 0};
  return {ErrorKind::NotReady, RunState::NotRun,
          "this process's configuration may be old: " + Detail,
          NotReadyRetryAfter};
}

/// Time until the first upstream of a service that only asked for a pause may
/// be used again; 0: there is none such.
Millis remainingPause(const State &S, const std::string &Service) {
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
bool isStopTooNear(const State &S, const Call &C) {
  const Millis Needed =
      C.EventStream_ ? ExpectedStreamDuration : ExpectedPlainDuration;
  return S.Stage_ == Stage::Draining && S.StopDeadline_ - S.Now_ < Needed;
}

/// May have run: what the caller gets in place of an answer promises nothing.
CallError upstreamFailedError(const State &S, const Call &C,
                              std::string Detail) {
  return {ErrorKind::UpstreamFailed, runStateOf(S, C), std::move(Detail), 0};
}

void requeueCall(State &S, Call &C) {
  incrementCounter(S, "retries");
  C.Phase_ = CallPhase::Queued;
  C.QueuedAt_ = S.Now_;
  enqueueCall(S, C, true);
}

/// The attempt ran nothing: any other upstream will do.
void retryNotRunCall(State &S, Call &C, const AttemptFailed &E, Effects &Out) {
  const bool Arrived = E.Failure_ != AttemptFailure::NotSent;
  if (!Arrived || consumeRetry(S, C)) {
    requeueCall(S, C);
    return;
  }
  const RunState Run = runStateOf(S, C);
  const ErrorKind Kind = Run == RunState::NotRun ? ErrorKind::Overloaded
                                                 : ErrorKind::UpstreamFailed;
  refuseCall(S, C,
             {Kind, Run, "no more retries: " + E.Detail_, retryAfter(S, C)},
             Out);
}

/// @return true if what may have run may run again, elsewhere
bool consumeRetryIfRepeatable(State &S, const Call &C) {
  return C.RepeatPolicy_ != RepeatPolicy::Never &&
         C.UncertainAttempts_ < C.MaxUpstreams_ && consumeRetry(S, C);
}

void answerRoutedCall(State &S, Call &C, const ServiceAnswer &E, Effects &Out) {
  incrementCounter(S, "answered");
  observeAnswer(S, C);
  Out.push_back(SendRoutedAnswer{C.Id_, E.Status_, E.Headers_, E.Body_});
  removeCall(S, C.Id_);
}

} // namespace

std::optional<CallError> checkRoutedCall(State &S, Call &C) {
  const std::string_view Path =
      std::string_view(C.Request_.Path_).substr(0, C.Request_.Path_.find('?'));
  const RouteEntry *Route =
      findRoute(S.Config_.Configuration_, C.Request_.Host_, Path);
  if (Route == nullptr)
    return configurationLookupError(S, ErrorKind::UnknownRoute,
                                    "no such route");
  const Account *Holder = nullptr;
  if (!Route->Public_ && !S.Config_.Configuration_.AccountsByName_.empty()) {
    const auto Found =
        S.Config_.Configuration_.AccountsByKey_.find(C.Request_.ApiKey_);
    if (Found == S.Config_.Configuration_.AccountsByKey_.end())
      return configurationLookupError(S, ErrorKind::InvalidApiKey,
                                      "no account has this key");
    Holder = &Found->second;
    C.Account_ = Holder->Name_;
  }
  fillFromRoute(S, C, *Route);
  countWork(S, C);
  if (isStopTooNear(S, C))
    return CallError{ErrorKind::Draining, RunState::NotRun,
                     "this process ends before the answer could be whole",
                     DrainingRetryAfter};
  if (!hasUsableUpstream(S, C, ""))
    return CallError{
        ErrorKind::NoUpstream, RunState::NotRun,
        fmt::format("no upstream serves {}", C.ServiceQueue_),
        std::max(NoUpstreamRetryAfter, remainingPause(S, C.ServiceQueue_))};
  if (auto Error = checkServiceQueue(S, C))
    return Error;
  if (Holder != nullptr)
    return chargeQuota(S, C, *Holder);
  return std::nullopt;
}

void onAttemptHead(State &S, const AttemptHead &E) {
  const auto Found = S.Attempts_.find(E.Attempt_);
  if (Found == S.Attempts_.end())
    return;
  Call *C = findCall(S, Found->second.Call_);
  if (C == nullptr || C->StreamStarted_)
    return; // the answer keeps the head of its first upstream
  C->AnswerStatus_ = E.Status_;
  C->AnswerHeaders_ = E.Headers_;
}

void sendRoutedEvent(State &S, Call &C, const AttemptToken &E, Effects &Out) {
  if (!C.StreamStarted_) {
    C.StreamStarted_ = true;
    recordLatency(S, "first_event", C);
    countStartedCall(S, C);
    Out.push_back(StartRoutedStream{C.Id_, C.AnswerStatus_, C.AnswerHeaders_});
  }
  C.NextIndex_ = E.Index_ + 1;
  C.NextIndexKnown_ = true;
  incrementCounter(S, "events");
  Out.push_back(SendToken{C.Id_, E.Index_, E.Text_});
}

void finishRoutedStream(State &S, Call &C, Effects &Out) {
  if (!C.StreamStarted_)
    Out.push_back(StartRoutedStream{C.Id_, C.AnswerStatus_, C.AnswerHeaders_});
  incrementCounter(S, "answered");
  observeAnswer(S, C);
  logEvent(Out, "answered",
           {{"request", C.RequestId_},
            {"events", std::to_string(C.NextIndex_)},
            {"took_ms", std::to_string(S.Now_ - C.ArrivedAt_)}});
  Out.push_back(FinishStream{C.Id_, "", C.NextIndex_});
  removeCall(S, C.Id_);
}

void onRoutedAnswer(State &S, Call &C, const Attempt &A, const ServiceAnswer &E,
                    Effects &Out) {
  const bool Failed = E.Status_ >= FirstServerError;
  countStartedCall(S, C);
  logEvent(Out, "upstream_answer",
           {{"request", C.RequestId_},
            {"upstream", S.Upstreams_[A.Upstream_].Row_.Host_.Name_},
            {"status", std::to_string(E.Status_)},
            {"took_ms", std::to_string(S.Now_ - A.StartedAt_)}});
  if (Failed && !C.StreamStarted_ && consumeRetryIfRepeatable(S, C)) {
    C.TriedUpstreams_.insert(A.Upstream_);
    requeueCall(S, C);
    return;
  }
  if (C.StreamStarted_) {
    refuseCall(S, C,
               upstreamFailedError(S, C, "the stream could not be resumed"),
               Out);
    return;
  }
  answerRoutedCall(S, C, E, Out);
}

void retryRoutedCall(State &S, Call &C, const Attempt &A,
                     const AttemptFailed &E, Effects &Out) {
  C.TriedUpstreams_.insert(A.Upstream_);
  if (A.NewVersion_)
    C.AvoidNewVersion_ = true;
  const bool Untouched = E.Failure_ == AttemptFailure::NotSent ||
                         E.Failure_ == AttemptFailure::Refused ||
                         E.Failure_ == AttemptFailure::Misdirected;
  // What broke off after it was sent has most likely begun.
  if (!Untouched)
    countStartedCall(S, C);
  if (Untouched)
    retryNotRunCall(S, C, E, Out);
  else if (consumeRetryIfRepeatable(S, C))
    requeueCall(S, C);
  else
    refuseCall(S, C, upstreamFailedError(S, C, E.Detail_), Out);
}

void tickRoutedCalls(State &S, Effects &Out) {
  std::vector<CallId> Waited;
  for (const auto &[Id, C] : S.Calls_)
    if (!C.ServiceQueue_.empty() && C.Phase_ == CallPhase::Queued &&
        S.Now_ - C.QueuedAt_ >= maxQueueWait(C))
      Waited.push_back(Id);
  std::sort(Waited.begin(), Waited.end());
  for (const CallId Id : Waited) {
    Call &C = S.Calls_.at(Id);
    const RunState Run = runStateOf(S, C);
    const ErrorKind Kind = Run == RunState::NotRun ? ErrorKind::Overloaded
                                                   : ErrorKind::UpstreamFailed;
    refuseCall(S, C,
               {Kind, Run, "no upstream had room for as long as it may wait",
                retryAfter(S, C)},
               Out);
  }
}

} // namespace endivewharf
