// What comes of attempts. A completion may be tried again anywhere, from the
// last token on; a call that may not be repeated is sent again only while no
// upstream can have acted on it.
#include "outcomes.h"

#include "admission.h"
#include "calls.h"
#include "claims.h"
#include "dispatch.h"
#include "record.h"
#include "release.h"
#include "resume.h"
#include "routed.h"
#include "upstreams.h"
#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr int MaxFailures = 8; // per call, refusals not counted
constexpr double MovingAverageShare = 0.1;

/// The upstream has not taken the call: nothing is lost by another try.
bool isUntouched(AttemptFailure Failure) {
  return Failure == AttemptFailure::NotSent ||
         Failure == AttemptFailure::Refused ||
         Failure == AttemptFailure::OtherHost;
}

/// Puts a call back at the front of its queue, or refuses it for good.
/// @param Budgeted the retry costs one from the budget
void retryOrRefuse(State &S, Call &C, const AttemptFailed &E, bool Budgeted,
                   Effects &Out) {
  if (!isUntouched(E.Failure_))
    ++C.Failures_;
  if (C.Failures_ >= MaxFailures || (Budgeted && !takeRetry(S, C))) {
    refuse(S, C,
           {ErrorKind::UpstreamFailed, runStateOf(S, C), E.Detail_,
            retryAfter(S, C)},
           Out);
    return;
  }
  count(S, "retries");
  C.Phase_ = CallPhase::Queued;
  enqueue(S, C, true);
}

void retryCompletion(State &S, Call &C, const Attempt &A,
                     const AttemptFailed &E, Effects &Out) {
  if (A.NewVersion_)
    C.AvoidNewVersion_ = true;
  // A broken or silent stream may be resumed at the same upstream over a new
  // connection; a second one there, as other failures, speaks against it.
  const bool ConnectionOnly = E.Failure_ == AttemptFailure::Broken ||
                              E.Failure_ == AttemptFailure::Silent;
  if (ConnectionOnly && C.BrokenUpstream_ != A.Upstream_)
    C.FreshConnection_ = true;
  else
    C.TriedUpstreams_.insert(A.Upstream_);
  C.BrokenUpstream_ = A.Upstream_;
  // The step back from a new version happens once per call and ends with the
  // verdict, so it is no storm and needs no budget.
  const bool Budgeted = (E.Failure_ == AttemptFailure::Failed ||
                         E.Failure_ == AttemptFailure::Garbage) &&
                        !A.NewVersion_;
  retryOrRefuse(S, C, E, Budgeted, Out);
}

void failUnrepeatable(State &S, Call &C, const AttemptFailed &E, Effects &Out) {
  if (!C.ClaimId_.empty())
    recordOutcome(S, C,
                  {C.Request_.IdempotencyKey_, C.ClaimId_, false, 0, "", ""});
  refuse(S, C,
         {ErrorKind::OutcomeUnknown, RunState::Unknown,
          fmt::format("the service's reply was lost: {}", name(E.Failure_)), 0},
         Out);
}

void retryService(State &S, Call &C, const Attempt &A, const AttemptFailed &E,
                  Effects &Out) {
  const bool Untouched = isUntouched(E.Failure_);
  if (!Untouched && isUnrepeatableCall(S, C)) {
    failUnrepeatable(S, C, E, Out);
    return;
  }
  C.TriedUpstreams_.insert(A.Upstream_);
  C.FreshConnection_ = !Untouched;
  retryOrRefuse(S, C, E, !Untouched, Out);
}

} // namespace

void onAttemptToken(State &S, const AttemptToken &E, Effects &Out) {
  const auto Found = S.Attempts_.find(E.Attempt_);
  if (Found == S.Attempts_.end()) {
    count(S, "stale_answers");
    return;
  }
  Attempt &A = Found->second;
  Call &C = S.Calls_.at(A.Call_);
  A.LastProgressAt_ = S.Now_;
  const bool Routed = C.Request_.Kind_ == CallKind::Routed;
  if (Routed && !C.IndexKnown_)
    C.NextIndex_ = E.Index_; // upstreams say where their streams begin
  if (E.Index_ < C.NextIndex_) {
    count(S, "duplicate_tokens");
    return;
  }
  if (E.Index_ > C.NextIndex_) {
    Out.push_back(CancelAttempt{E.Attempt_});
    onAttemptFailed(
        S, {E.Attempt_, AttemptFailure::Garbage, false, "a token is missing"},
        Out);
    return;
  }
  if (A.FirstTokenAt_ == 0) {
    A.FirstTokenAt_ = S.Now_;
    Upstream &U = S.Upstreams_[A.Upstream_];
    const double Wait = static_cast<double>(S.Now_ - A.StartedAt_);
    U.FirstTokenMs_ += MovingAverageShare * (Wait - U.FirstTokenMs_);
    U.PrefillMs_ = std::max(0.0, U.PrefillMs_ - A.PrefillMs_);
  }
  if (Routed) {
    passEvent(S, C, E, Out);
    return;
  }
  ++C.NextIndex_;
  C.Text_ += E.Text_;
  C.TokenEnds_.push_back(C.Text_.size());
  count(S, "tokens");
  if (static_cast<std::int64_t>(C.Text_.size()) >
      S.Settings_.Limits_.MaxAnswer_) {
    cancelAttempt(S, C, Out);
    refuse(S, C,
           {ErrorKind::UpstreamFailed, RunState::Run,
            "the upstream's answer is too long", 0},
           Out);
    return;
  }
  if (!C.Request_.Stream_ || E.Index_ < C.SendFrom_)
    return;
  startStreamIfNeeded(S, C, Out);
  Out.push_back(SendToken{C.Id_, E.Index_, E.Text_});
  C.SendFrom_ = E.Index_ + 1;
}

void onAttemptEnded(State &S, const AttemptEnded &E, Effects &Out) {
  const auto Taken = takeAttempt(S, E.Attempt_);
  if (!Taken)
    return;
  noteAttemptOk(S, Taken->Attempt_.Upstream_);
  Upstream &U = S.Upstreams_[Taken->Attempt_.Upstream_];
  const double Took = static_cast<double>(S.Now_ - Taken->Attempt_.StartedAt_);
  U.ServiceMs_ += MovingAverageShare * (Took - U.ServiceMs_);
  Call &C = *Taken->Call_;
  noteEvidence(S, Taken->Attempt_, C, false, Out);
  if (C.Request_.Kind_ == CallKind::Routed) {
    finishRouted(S, C, Out);
    dispatchWaiting(S, Out);
    return;
  }
  C.FinishReason_ = E.FinishReason_;
  C.PromptTokens_ = E.PromptTokens_;
  count(S, "prompt_tokens", E.PromptTokens_);
  count(S, "prompt_tokens_recomputed", E.PromptTokens_ - E.CachedTokens_);
  finishCompletion(S, C, Out);
  dispatchWaiting(S, Out);
}

void onAttemptFailed(State &S, const AttemptFailed &E, Effects &Out) {
  const auto Taken = takeAttempt(S, E.Attempt_);
  if (!Taken)
    return;
  const Attempt &A = Taken->Attempt_;
  Call &C = *Taken->Call_;
  count(S, "attempts_failed");
  noteAttemptFailed(S, A.Upstream_, E.Failure_);
  if (E.Failure_ == AttemptFailure::NotSent ||
      E.Failure_ == AttemptFailure::Refused ||
      E.Failure_ == AttemptFailure::OtherHost)
    C.Uncertain_ = std::max(0, C.Uncertain_ - 1);
  const Life Host = S.Upstreams_[A.Upstream_].Row_.Host_;
  remember(S, C.RequestId_,
           fmt::format("attempt {} at {} {}: {}", C.Attempts_, Host.Name_,
                       name(E.Failure_), E.Detail_));
  logWarning(Out, "attempt_failed",
             {{"request", C.RequestId_},
              {"upstream", Host.Name_},
              {"failure", std::string(name(E.Failure_))},
              {"detail", E.Detail_}});
  if (E.Leaving_)
    markLeaving(S, Host, "engine", Out);
  if (C.Request_.Kind_ == CallKind::Routed) {
    noteEvidence(S, A, C, !isUntouched(E.Failure_), Out);
    retryRouted(S, C, A, E, Out);
  } else if (C.Request_.Kind_ == CallKind::Completion) {
    noteEvidence(S, A, C,
                 E.Failure_ == AttemptFailure::Failed ||
                     E.Failure_ == AttemptFailure::Garbage ||
                     E.Failure_ == AttemptFailure::Silent,
                 Out);
    retryCompletion(S, C, A, E, Out);
  } else {
    retryService(S, C, A, E, Out);
  }
  dispatchWaiting(S, Out);
}

void tickAttempts(State &S, Effects &Out) {
  for (const AttemptId Id : stalledAttempts(S)) {
    const auto Found = S.Attempts_.find(Id);
    if (Found == S.Attempts_.end())
      continue;
    if (!hasRetry(S, S.Calls_.at(Found->second.Call_)))
      continue; // a slow stream is better than none
    Out.push_back(CancelAttempt{Id});
    onAttemptFailed(
        S, {Id, AttemptFailure::Silent, false, "no event for too long"}, Out);
  }
}

void onServiceReply(State &S, const ServiceReply &E, Effects &Out) {
  const auto Taken = takeAttempt(S, E.Attempt_);
  if (!Taken)
    return;
  noteAttemptOk(S, Taken->Attempt_.Upstream_);
  Call &C = *Taken->Call_;
  if (C.Request_.Kind_ == CallKind::Routed) {
    noteEvidence(S, Taken->Attempt_, C, E.Status_ >= 500, Out);
    onRoutedReply(S, C, Taken->Attempt_, E, Out);
    dispatchWaiting(S, Out);
    return;
  }
  const ClaimDoneRecord Outcome{C.Request_.IdempotencyKey_,
                                C.ClaimId_,
                                true,
                                E.Status_,
                                E.ContentType_,
                                E.Body_};
  if (!C.ClaimId_.empty())
    recordOutcome(S, C, Outcome);
  answerService(S, C, Outcome, false, Out);
  dispatchWaiting(S, Out);
}

void startStreamIfNeeded(State &S, Call &C, Effects &Out) {
  if (!C.Request_.Stream_ || C.StreamStarted_)
    return;
  C.StreamStarted_ = true;
  observe(S, "first_event", C);
  Out.push_back(StartStream{C.Id_, C.RequestId_, C.Request_.Model_});
}

/// Sends a finished completion's end, or the whole of it.
void finishCompletion(State &S, Call &C, Effects &Out) {
  startStreamIfNeeded(S, C, Out);
  if (C.Request_.Stream_)
    Out.push_back(FinishStream{C.Id_, C.FinishReason_, C.NextIndex_});
  else
    Out.push_back(ReplyWhole{C.Id_, C.RequestId_, C.Request_.Model_, C.Text_,
                             C.FinishReason_, C.PromptTokens_, C.NextIndex_});
  count(S, "answered");
  noteAnswered(S, C);
  CallRecord Record = recordOf(C);
  Record.Finished_ = true;
  Record.FinishReason_ = C.FinishReason_;
  holdRecord(S, std::move(Record));
  forgetCall(S, C.Id_);
}

} // namespace endivewharf
