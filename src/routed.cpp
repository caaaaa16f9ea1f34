// Handles routed calls from the check of the request to the answer.
#include "routed.h"

#include "admission.h"
#include "calls.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "fleet.h"
#include "quota.h"
#include "relay.h"
#include "router.h"
#include "suspects.h"
#include "upstreams.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

/// Age in ms of the last read of the operator log at which the configuration
/// may be out of date.
constexpr Millis ConfigurationStaleTimeout = 2500;
constexpr Millis NotReadyRetryAfter = 500;   // ms
constexpr Millis NoUpstreamRetryAfter = 400; // ms
constexpr Millis DrainingRetryAfter = 50;    // ms; another process can answer
constexpr Millis ExpectedStreamDuration = 4500; // ms; most streams are shorter
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

/// @return the homes of a call of a route: those of the route and those of its
/// account
Homes homesOf(const State &S, const Call &C, const RouteEntry &Route) {
  const auto &Accounts = S.Config_.Configuration_.AccountsByName_;
  const auto Found = Accounts.find(C.Account_);
  return {Route.Homes_,
          Found == Accounts.end() ? RegionSet{} : Found->second.Homes_};
}

/// Picks one of a route's services at random, by weight.
const std::string &chooseService(State &S, const RouteEntry &Route) {
  double TotalWeight = 0;
  for (const ServiceShare &Share : Route.Services_)
    TotalWeight += Share.Weight_;
  constexpr double RandomSteps = 1 << 20;
  double Remaining = TotalWeight *
                     static_cast<double>(nextRandom(S) % (1 << 20)) /
                     RandomSteps;
  for (const ServiceShare &Share : Route.Services_) {
    if (Remaining < Share.Weight_)
      return Share.Service_;
    Remaining -= Share.Weight_;
  }
  return Route.Services_.back().Service_;
}

/// Sets the hashes and token counts of the prompt's prefixes from its parts.
void fillPromptBlocks(Call &C) {
  C.PrefixHashes_ = partPrefixHashes(C.Request_.PromptParts_);
  std::int64_t TokenCount = 0;
  for (const PromptPart &Part : C.Request_.PromptParts_) {
    TokenCount += Part.Tokens_;
    C.PrefixTokens_.push_back(TokenCount);
  }
  fillSuspectKeys(C);
}

/// Sets the fields that the route determines. Calls of the service's
/// lowest-ranked routes are interactive, all others are batch.
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
  const bool IsLowestRank =
      Service == S.Config_.Configuration_.Services_.end() ||
      Route.Rank_ <= Service->second.LowestRouteRank_;
  C.Request_.Priority_ = IsLowestRank ? Priority::Interactive : Priority::Batch;
  fillPromptBlocks(C);
}

/// Error for a route or key that the configuration lacks. If the configuration
/// may be out of date, the error is NotReady instead of `Kind`, as a newer one
/// may have the entry.
CallError configurationLookupError(const State &S, ErrorKind Kind,
                                   std::string Detail) {
  const bool IsUpToDate =
      S.OperatorLog_.LastReadAt_ >= 0 &&
      S.Now_ - S.OperatorLog_.LastReadAt_ < ConfigurationStaleTimeout;
  if (IsUpToDate)
    return {Kind, RunState::NotRun, std::move(Detail), 0};
  return {ErrorKind::NotReady, RunState::NotRun,
          "this process's configuration may be old: " + Detail,
          NotReadyRetryAfter};
}

/// @return time in ms until the first paused upstream of a service may be used
///   again; 0 if none is paused. Leaving and unlisted upstreams do not count.
Millis remainingPause(const State &S, const std::string &Service) {
  Millis ShortestPause = 0;
  for (const Upstream &U : S.Upstreams_) {
    if (U.Row_.Service_ != Service || U.Leaving_ || !U.Listed_ ||
        U.PausedUntil_ <= S.Now_)
      continue;
    const Millis Pause = U.PausedUntil_ - S.Now_;
    ShortestPause = ShortestPause == 0 ? Pause : std::min(ShortestPause, Pause);
  }
  return ShortestPause;
}

/// @return time in ms that the answer is expected to take. A call that may not
/// be
///   repeated gets all the time that it may take, as its caller cannot ask
///   again once it has been sent.
Millis expectedDuration(const State &S, const Call &C) {
  if (C.EventStream_)
    return ExpectedStreamDuration;
  return C.RepeatPolicy_ == RepeatPolicy::Never
             ? std::min(C.Deadline_ - S.Now_, ExpectedStreamDuration)
             : ExpectedPlainDuration;
}

/// @return true if this process stops too soon for a complete answer. Requests
///   still arrive during a stop over connections that were kept open.
bool isStopTooNear(const State &S, const Call &C) {
  const Millis Needed = expectedDuration(S, C);
  return S.Stage_ == Stage::Stopped ||
         (S.Stage_ == Stage::Draining && S.StopDeadline_ - S.Now_ < Needed);
}

/// Error for a call that may have run: it gives the run state that is known and
/// no advice on when to retry.
CallError upstreamFailedError(const State &S, const Call &C,
                              std::string Detail) {
  return {ErrorKind::UpstreamFailed, runStateOf(S, C), std::move(Detail), 0};
}

/// Puts a call back at the front of its queue for a retry.
void requeueCall(State &S, Call &C) {
  incrementCounter(S, "retries");
  C.Phase_ = CallPhase::Queued;
  C.QueuedAt_ = S.Now_;
  enqueueCall(S, C, true);
}

/// Retries a call whose attempt ran nothing, at any other upstream. The retry
/// is charged to the budget only if the request reached an upstream. With the
/// budget exhausted the call is refused.
void retryNotRunCall(State &S, Call &C, const AttemptFailed &E, Effects &Out) {
  const bool ReachedUpstream = E.Failure_ != AttemptFailure::NotSent;
  if (!ReachedUpstream || consumeRetry(S, C)) {
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

/// Passes a call that a peer has not run to another one, or refuses it.
void retryRelayedCall(State &S, Call &C, const AttemptFailed &E, Effects &Out) {
  if (canRelay(S, C) ||
      (!isCutOff(S, C.ServiceQueue_) && hasUsableUpstream(S, C, ""))) {
    requeueCall(S, C);
    return;
  }
  const RunState Run = runStateOf(S, C);
  refuseCall(S, C,
             {Run == RunState::NotRun ? ErrorKind::NoUpstream
                                      : ErrorKind::UpstreamFailed,
              Run, "no peer could serve it: " + E.Detail_, retryAfter(S, C)},
             Out);
}

/// Charges a retry of a call that may have run to the budget.
/// @return true if the call may run again at another upstream and the budget
///   was not exhausted
bool consumeRetryIfRepeatable(State &S, const Call &C) {
  return C.RepeatPolicy_ != RepeatPolicy::Never &&
         C.UncertainAttempts_ < C.MaxUpstreams_ && consumeRetry(S, C);
}

void answerRoutedCall(State &S, Call &C, const ServiceAnswer &E, Effects &Out) {
  incrementCounter(S, "answered");
  recordAnswer(S, C);
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
  const Account *CallerAccount = nullptr;
  if (C.Request_.Relayed_) {
    C.Account_ = C.Request_.Relayed_->Account_;
    C.UsageCounted_ = true; // By the peer that has passed it on.
  } else if (!Route->Public_ &&
             !S.Config_.Configuration_.AccountsByName_.empty()) {
    const auto Found =
        S.Config_.Configuration_.AccountsByKey_.find(C.Request_.ApiKey_);
    if (Found == S.Config_.Configuration_.AccountsByKey_.end())
      return configurationLookupError(S, ErrorKind::InvalidApiKey,
                                      "no account has this key");
    CallerAccount = &Found->second;
    C.Account_ = CallerAccount->Name_;
  }
  fillFromRoute(S, C, *Route);
  C.Homes_ = homesOf(S, C, *Route);
  if (C.Request_.Relayed_)
    C.MaxUpstreams_ =
        std::min(C.MaxUpstreams_, C.Request_.Relayed_->MaxUpstreams_);
  if (auto Error = checkBlocked(S, C))
    return Error;
  if (!C.Request_.Relayed_)
    countWork(S, C);
  if (isStopTooNear(S, C))
    return CallError{ErrorKind::Draining, RunState::NotRun,
                     "this process ends before the answer could be whole",
                     DrainingRetryAfter};
  if (!hasUsableUpstream(S, C, "") && !canRelay(S, C))
    return CallError{
        ErrorKind::NoUpstream, RunState::NotRun,
        fmt::format("no upstream serves {}{}", C.ServiceQueue_,
                    hasHomes(C.Homes_) ? " in a home of the request" : ""),
        std::max(NoUpstreamRetryAfter, remainingPause(S, C.ServiceQueue_))};
  if (auto Error = checkQueueWait(S, C))
    return Error;
  if (CallerAccount != nullptr)
    return chargeQuota(S, C, *CallerAccount);
  return std::nullopt;
}

void onAttemptHead(State &S, const AttemptHead &E) {
  const auto Found = S.Attempts_.find(E.Attempt_);
  if (Found == S.Attempts_.end())
    return;
  Found->second.AnswerStatus_ = E.Status_;
  Found->second.AnswerHeaders_ = E.Headers_;
}

void adoptAnswerHead(Call &C, const Attempt &A) {
  if (C.StreamStarted_ || A.AnswerStatus_ == 0)
    return; // The status and headers of the first upstream have been sent.
  C.AnswerStatus_ = A.AnswerStatus_;
  C.AnswerHeaders_ = A.AnswerHeaders_;
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
  recordAnswer(S, C);
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
  const bool IsNotRun = E.Failure_ == AttemptFailure::NotSent ||
                        E.Failure_ == AttemptFailure::Refused ||
                        E.Failure_ == AttemptFailure::Misdirected;
  // An attempt that failed after its request was sent has most likely begun to
  // run, so the call counts as usage.
  if (!IsNotRun)
    countStartedCall(S, C);
  if (E.Failure_ == AttemptFailure::NotSent)
    ++C.NotSentCount_;
  const bool WasRelayed = S.Upstreams_[A.Upstream_].IsPeer_;
  // The peer may have used all upstreams at which the call may run.
  if (WasRelayed && !IsNotRun)
    C.UncertainAttempts_ = std::max(C.UncertainAttempts_, C.MaxUpstreams_);
  if (IsNotRun && WasRelayed)
    retryRelayedCall(S, C, E, Out);
  else if (IsNotRun)
    retryNotRunCall(S, C, E, Out);
  else if (consumeRetryIfRepeatable(S, C))
    requeueCall(S, C);
  else
    refuseCall(S, C, upstreamFailedError(S, C, E.Detail_), Out);
}

void tickRoutedCalls(State &S, Effects &Out) {
  std::vector<CallId> OverdueIds;
  for (const auto &[Id, C] : S.Calls_)
    if (!C.ServiceQueue_.empty() && C.Phase_ == CallPhase::Queued &&
        S.Now_ - C.QueuedAt_ >= maxQueueWait(C))
      OverdueIds.push_back(Id);
  std::sort(OverdueIds.begin(), OverdueIds.end());
  for (const CallId Id : OverdueIds) {
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
