// Handles the results of attempts. A completion may be retried at any upstream
// and resumes after its last token. A call that may not be repeated is retried
// only while no upstream can have acted on it.
#include "outcomes.h"

#include "admission.h"
#include "calls.h"
#include "claims.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "hedges.h"
#include "membership.h"
#include "relay.h"
#include "release.h"
#include "resume.h"
#include "routed.h"
#include "suspects.h"
#include "trials.h"
#include "upstreams.h"
#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

/// Failed attempts per call; attempts that ran nothing do not count.
constexpr int MaxAttemptFailures = 8;
constexpr double MovingAverageWeight = 0.1;
constexpr int FirstServerError = 500; // HTTP status
constexpr int MinEventsForPause = 4;  // events of a stream

/// @return true if the upstream has not accepted the call, in which case a
///   retry cannot run it twice
bool isNotRunFailure(AttemptFailure Failure) {
  return Failure == AttemptFailure::NotSent ||
         Failure == AttemptFailure::Refused ||
         Failure == AttemptFailure::Misdirected;
}

/// Records what a failed attempt says about its version: nothing if the
/// upstream turned it away or was not reached.
void recordVersionFailure(State &S, const Attempt &A, const Call &C,
                          AttemptFailure Failure, Effects &Out) {
  if (isNotRunFailure(Failure))
    return;
  const bool IsBroken = Failure == AttemptFailure::ConnectionBroken ||
                        Failure == AttemptFailure::TimedOut;
  recordVersionOutcome(S, A, C,
                       IsBroken ? SampleKind::Broken : SampleKind::Failed, Out);
}

/// @return IDs of the prompt's parts that other requests may share, for the
/// log:
///   all but the last one, separated by commas
std::string sharedPartIds(const Call &C) {
  constexpr std::size_t MaxLoggedParts = 8;
  const auto &Parts = C.Request_.PromptParts_;
  const std::size_t Count =
      Parts.empty() ? 0 : std::min(Parts.size() - 1, MaxLoggedParts);
  std::string Ids;
  for (std::size_t I = 0; I < Count; ++I)
    Ids += (I == 0 ? "" : ",") + Parts[I].Id_;
  return Ids;
}

/// Puts a call back at the front of its queue, or refuses it if it has failed
/// too often or the retry budget is exhausted.
/// @param UsesBudget true if the retry is charged to the retry budget
void retryOrRefuse(State &S, Call &C, const AttemptFailed &E, bool UsesBudget,
                   Effects &Out) {
  if (!isNotRunFailure(E.Failure_))
    ++C.FailedAttempts_;
  if (C.FailedAttempts_ >= MaxAttemptFailures ||
      (UsesBudget && !consumeRetry(S, C))) {
    refuseCall(S, C,
               {ErrorKind::UpstreamFailed, runStateOf(S, C), E.Detail_,
                retryAfter(S, C)},
               Out);
    return;
  }
  incrementCounter(S, "retries");
  C.Phase_ = CallPhase::Queued;
  enqueueCall(S, C, true);
}

void retryCompletion(State &S, Call &C, const Attempt &A,
                     const AttemptFailed &E, Effects &Out) {
  if (A.NewVersion_)
    C.AvoidNewVersion_ = true;
  // After one broken or timed-out stream the same upstream may resume it over a
  // new connection. A second such failure there in a row, or any other failure,
  // marks the upstream as tried.
  const bool ConnectionOnly = E.Failure_ == AttemptFailure::ConnectionBroken ||
                              E.Failure_ == AttemptFailure::TimedOut;
  if (ConnectionOnly && C.LastFailedUpstream_ != A.Upstream_)
    C.FreshConnection_ = true;
  else
    C.TriedUpstreams_.insert(A.Upstream_);
  C.LastFailedUpstream_ = A.Upstream_;
  // The retry after a failure of a new version happens once per call and ends
  // with the verdict on that version. It cannot grow into a burst of retries,
  // so it is not charged to the budget.
  const bool UsesBudget = (E.Failure_ == AttemptFailure::UpstreamError ||
                           E.Failure_ == AttemptFailure::ProtocolError) &&
                          !A.NewVersion_;
  retryOrRefuse(S, C, E, UsesBudget, Out);
}

/// Refuses a call that may have run and may not be repeated. If it has a claim,
/// its outcome is recorded as unknown under its idempotency key.
void failUnrepeatableCall(State &S, Call &C, const AttemptFailed &E,
                          Effects &Out) {
  if (!C.ClaimId_.empty())
    recordClaimOutcome(
        S, C, {C.Request_.IdempotencyKey_, C.ClaimId_, false, 0, "", ""});
  refuseCall(S, C,
             {ErrorKind::OutcomeUnknown, RunState::Unknown,
              fmt::format("the service's reply was lost: {}", name(E.Failure_)),
              0},
             Out);
}

void retryServiceCall(State &S, Call &C, const Attempt &A,
                      const AttemptFailed &E, Effects &Out) {
  const bool IsNotRun = isNotRunFailure(E.Failure_);
  if (!IsNotRun && isUnrepeatableCall(S, C)) {
    failUnrepeatableCall(S, C, E, Out);
    return;
  }
  C.TriedUpstreams_.insert(A.Upstream_);
  C.FreshConnection_ = !IsNotRun;
  retryOrRefuse(S, C, E, !IsNotRun, Out);
}

/// Records how long an upstream took for something; peers that pass requests on
/// are no upstreams.
void recordUpstreamTime(State &S, const Attempt &A, const Call &C,
                        TimeSample Sample) {
  const Upstream &U = S.Upstreams_[A.Upstream_];
  // The tokens of a text are only known when its answer has ended.
  if (U.IsPeer_ || C.Request_.Kind_ != CallKind::Routed)
    return;
  Sample.Service_ = U.Row_.Service_;
  Sample.UpstreamHash_ = instanceHash(U.Row_.Host_);
  recordTime(S.Speeds_, Sample);
}

void recordFirstEventTime(State &S, const Attempt &A, const Call &C) {
  recordUpstreamTime(S, A, C,
                     {TimeKind::FirstEvent, "", 0, A.UncachedTokens_,
                      A.BacklogMs_,
                      static_cast<double>(S.Now_ - A.StartedAt_)});
}

/// Records the mean pause between the events of a stream that has ended.
void recordPauseTime(State &S, const Attempt &A, const Call &C) {
  if (A.Events_ < MinEventsForPause)
    return;
  const double PauseMs =
      static_cast<double>(A.LastProgressAt_ - A.FirstTokenAt_) /
      (A.Events_ - 1);
  recordUpstreamTime(S, A, C,
                     {TimeKind::Pause, "", 0,
                      static_cast<double>(A.LoadAtStart_), 0, PauseMs});
}

/// Records the time of a whole answer, without the turns that the request
/// waited for a slot.
void recordAnswerTime(State &S, const Attempt &A, const Call &C) {
  const int Slots = std::max(1, S.Upstreams_[A.Upstream_].Slots_);
  const double Turns =
      1 + std::max(0, A.LoadAtStart_ - Slots) / static_cast<double>(Slots);
  recordUpstreamTime(S, A, C,
                     {TimeKind::Answer, "", 0, 0, 0,
                      static_cast<double>(S.Now_ - A.StartedAt_) / Turns});
}

} // namespace

void onAttemptToken(State &S, const AttemptToken &E, Effects &Out) {
  const auto Found = S.Attempts_.find(E.Attempt_);
  if (Found == S.Attempts_.end()) {
    incrementCounter(S, "stale_answers");
    return;
  }
  Attempt &A = Found->second;
  Call &C = S.Calls_.at(A.Call_);
  A.LastProgressAt_ = S.Now_;
  ++A.Events_;
  const bool IsRouted = C.Request_.Kind_ == CallKind::Routed;
  if (IsRouted && !C.NextIndexKnown_)
    C.NextIndex_ = E.Index_; // the first event sets the start index
  if (E.Index_ < C.NextIndex_) {
    incrementCounter(S, "duplicate_tokens");
    return;
  }
  if (E.Index_ > C.NextIndex_) {
    Out.push_back(CancelAttempt{E.Attempt_});
    onAttemptFailed(S,
                    {E.Attempt_, AttemptFailure::ProtocolError, false,
                     "a token is missing"},
                    Out);
    return;
  }
  if (A.FirstTokenAt_ == 0) {
    recordContact(S, A);
    A.FirstTokenAt_ = S.Now_;
    Upstream &U = S.Upstreams_[A.Upstream_];
    const double FirstTokenMs = static_cast<double>(S.Now_ - A.StartedAt_);
    U.FirstTokenMs_ += MovingAverageWeight * (FirstTokenMs - U.FirstTokenMs_);
    U.PrefillMs_ = std::max(0.0, U.PrefillMs_ - A.PrefillMs_);
    recordFirstEventTime(S, A, C);
    settleHedge(S, C, A, Out);
    adoptAnswerHead(C, A);
    recordAnswerBegun(S, C, Out);
  }
  if (IsRouted) {
    sendRoutedEvent(S, C, E, Out);
    return;
  }
  ++C.NextIndex_;
  C.GeneratedText_ += E.Text_;
  C.TokenEnds_.push_back(C.GeneratedText_.size());
  incrementCounter(S, "tokens");
  if (static_cast<std::int64_t>(C.GeneratedText_.size()) >
      S.Settings_.Limits_.MaxAnswerBytes_) {
    cancelAttempts(S, C, Out);
    refuseCall(S, C,
               {ErrorKind::UpstreamFailed, RunState::Run,
                "the upstream's answer is too long", 0},
               Out);
    return;
  }
  if (!C.Request_.Stream_ || E.Index_ < C.NextSendIndex_)
    return;
  startStreamIfNeeded(S, C, Out);
  Out.push_back(SendToken{C.Id_, E.Index_, E.Text_});
  C.NextSendIndex_ = E.Index_ + 1;
}

void onAttemptEnded(State &S, const AttemptEnded &E, Effects &Out) {
  const auto Removed = removeAttempt(S, E.Attempt_);
  if (!Removed)
    return;
  recordAttemptSuccess(S, Removed->Attempt_.Upstream_);
  recordContact(S, Removed->Attempt_);
  Upstream &U = S.Upstreams_[Removed->Attempt_.Upstream_];
  const double DurationMs =
      static_cast<double>(S.Now_ - Removed->Attempt_.StartedAt_);
  U.AttemptMs_ += MovingAverageWeight * (DurationMs - U.AttemptMs_);
  Call &C = *Removed->Call_;
  recordVersionOutcome(S, Removed->Attempt_, C, SampleKind::Answered, Out);
  recordAnswerComplete(S, C, Out);
  recordPauseTime(S, Removed->Attempt_, C);
  if (C.Request_.Kind_ == CallKind::Routed) {
    if (Removed->Attempt_.FirstTokenAt_ == 0)
      settleHedge(S, C, Removed->Attempt_, Out);
    adoptAnswerHead(C, Removed->Attempt_);
    finishRoutedStream(S, C, Out);
    dispatchQueuedCalls(S, Out);
    return;
  }
  C.FinishReason_ = E.FinishReason_;
  C.PromptTokens_ = E.PromptTokens_;
  incrementCounter(S, "prompt_tokens", E.PromptTokens_);
  incrementCounter(S, "prompt_tokens_recomputed",
                   E.PromptTokens_ - E.CachedTokens_);
  finishCompletion(S, C, Out);
  dispatchQueuedCalls(S, Out);
}

void onAttemptFailed(State &S, const AttemptFailed &E, Effects &Out) {
  const auto Removed = removeAttempt(S, E.Attempt_);
  if (!Removed)
    return;
  const Attempt &A = Removed->Attempt_;
  Call &C = *Removed->Call_;
  incrementCounter(S, "attempts_failed");
  if (E.Failure_ == AttemptFailure::ProtocolError)
    incrementCounter(S, "protocol_errors");
  recordAttemptFailure(S, A.Upstream_, E.Failure_);
  recordNoContact(S, A, E.Failure_, Out);
  if (E.Failure_ == AttemptFailure::NotSent ||
      E.Failure_ == AttemptFailure::Refused ||
      E.Failure_ == AttemptFailure::Misdirected)
    C.UncertainAttempts_ = std::max(0, C.UncertainAttempts_ - 1);
  const InstanceId Host = S.Upstreams_[A.Upstream_].Row_.Host_;
  recordDecision(S, C.RequestId_,
                 fmt::format("attempt {} at {} failed ({}): {}",
                             C.AttemptCount_, Host.Name_, name(E.Failure_),
                             E.Detail_));
  logWarning(Out, "attempt_failed",
             {{"request", C.RequestId_},
              {"upstream", Host.Name_},
              {"failure", std::string(name(E.Failure_))},
              {"begun", A.FirstTokenAt_ != 0 ? "yes" : "no"},
              {"route", C.Request_.Route_},
              {"key", fmt::format("{:x}", C.RequestKey_)},
              {"parts", sharedPartIds(C)},
              {"age_ms", std::to_string(S.Now_ - A.StartedAt_)},
              {"detail", E.Detail_}});
  if (E.Leaving_)
    markLeaving(S, Host, "engine", Out);
  const bool Explained = recordBreak(S, C, A, E.Failure_, Out);
  if (C.Request_.Kind_ == CallKind::Routed) {
    // A break that a suspect explains says nothing about the version.
    if (!Explained)
      recordVersionFailure(S, A, C, E.Failure_, Out);
    if (C.Attempt_ != 0)
      C.TriedUpstreams_.insert(A.Upstream_); // Its other attempt goes on.
    else
      retryRoutedCall(S, C, A, E, Out);
  } else if (C.Request_.Kind_ == CallKind::Completion) {
    // A connection that breaks may be resumed at the same engine.
    if (E.Failure_ != AttemptFailure::ConnectionBroken)
      recordVersionFailure(S, A, C, E.Failure_, Out);
    retryCompletion(S, C, A, E, Out);
  } else {
    retryServiceCall(S, C, A, E, Out);
  }
  dispatchQueuedCalls(S, Out);
}

void tickStalledStreams(State &S, Effects &Out) {
  for (const AttemptId Id : stalledAttempts(S)) {
    const auto Found = S.Attempts_.find(Id);
    if (Found == S.Attempts_.end())
      continue;
    if (!hasRetryBudget(S, S.Calls_.at(Found->second.Call_)))
      continue; // no retry is allowed, so the slow stream is kept
    Out.push_back(CancelAttempt{Id});
    onAttemptFailed(
        S, {Id, AttemptFailure::TimedOut, false, "no event for too long"}, Out);
  }
}

void onServiceAnswer(State &S, const ServiceAnswer &E, Effects &Out) {
  const auto Removed = removeAttempt(S, E.Attempt_);
  if (!Removed)
    return;
  recordAttemptSuccess(S, Removed->Attempt_.Upstream_);
  recordContact(S, Removed->Attempt_);
  Call &C = *Removed->Call_;
  // An upstream may fail a request before it runs it.
  if (E.Status_ < FirstServerError) {
    recordAnswerTime(S, Removed->Attempt_, C);
    recordAnswerBegun(S, C, Out);
    recordAnswerComplete(S, C, Out);
  } else {
    endTrial(S, C);
  }
  if (C.Request_.Kind_ == CallKind::Routed) {
    recordVersionOutcome(S, Removed->Attempt_, C,
                         E.Status_ >= FirstServerError ? SampleKind::Failed
                                                       : SampleKind::Answered,
                         Out);
    if (E.Status_ >= FirstServerError && C.Attempt_ != 0) {
      C.TriedUpstreams_.insert(Removed->Attempt_.Upstream_);
      return; // Its other attempt goes on.
    }
    settleHedge(S, C, Removed->Attempt_, Out);
    onRoutedAnswer(S, C, Removed->Attempt_, E, Out);
    dispatchQueuedCalls(S, Out);
    return;
  }
  const ClaimDoneRecord Outcome{C.Request_.IdempotencyKey_,
                                C.ClaimId_,
                                true,
                                E.Status_,
                                E.ContentType_,
                                E.Body_};
  if (!C.ClaimId_.empty())
    recordClaimOutcome(S, C, Outcome);
  answerServiceCall(S, C, Outcome, false, Out);
  dispatchQueuedCalls(S, Out);
}

void startStreamIfNeeded(State &S, Call &C, Effects &Out) {
  if (!C.Request_.Stream_ || C.StreamStarted_)
    return;
  C.StreamStarted_ = true;
  recordLatency(S, "first_event", C);
  Out.push_back(StartStream{C.Id_, C.RequestId_, C.Request_.Model_});
}

void finishCompletion(State &S, Call &C, Effects &Out) {
  startStreamIfNeeded(S, C, Out);
  if (C.Request_.Stream_)
    Out.push_back(FinishStream{C.Id_, C.FinishReason_, C.NextIndex_});
  else
    Out.push_back(SendCompletion{C.Id_, C.RequestId_, C.Request_.Model_,
                                 C.GeneratedText_, C.FinishReason_,
                                 C.PromptTokens_, C.NextIndex_});
  incrementCounter(S, "answered");
  recordAnswer(S, C);
  CallRecord Record = makeCallRecord(C);
  Record.Finished_ = true;
  Record.FinishReason_ = C.FinishReason_;
  retainRecord(S, std::move(Record));
  removeCall(S, C.Id_);
}

} // namespace endivewharf
