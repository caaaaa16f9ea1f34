// Accepts or refuses callers' requests, enforces their time limits and removes
// finished calls.
#include "calls.h"

#include "admission.h"
#include "claims.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "quota.h"
#include "quotaexchange.h"
#include "release.h"
#include "resume.h"
#include "routed.h"
#include "router.h"
#include "suspects.h"
#include "trials.h"
#include "xxhash.h"
#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace endivewharf {

namespace {

constexpr Millis StartingRetryAfter = 200; // ms; covers one read of the store

/// Checks that the configuration has the call's service or model. A routed call
/// always passes: it keeps the route of the configuration under which it was
/// accepted.
/// @return the refusal, or nothing if the target exists
std::optional<CallError> checkTarget(const State &S, const Call &C) {
  const Configuration &Config = S.Config_.Configuration_;
  if (C.Request_.Kind_ == CallKind::Routed)
    return std::nullopt;
  if (C.Request_.Kind_ == CallKind::Service) {
    if (Config.Services_.count(C.Request_.Route_) == 0)
      return CallError{ErrorKind::UnknownRoute, RunState::NotRun,
                       "no such service", 0};
    return std::nullopt;
  }
  if (Config.Models_.count(C.Request_.Model_) == 0)
    return CallError{ErrorKind::UnknownModel, RunState::NotRun, "no such model",
                     0};
  return std::nullopt;
}

/// Runs all checks of a new request and sets the call's account.
/// @return the refusal, or nothing if the call is accepted
std::optional<CallError> checkCall(State &S, Call &C) {
  if (S.Stage_ == Stage::Starting)
    return CallError{ErrorKind::NotReady, RunState::NotRun,
                     "this process has not learnt its configuration yet",
                     StartingRetryAfter};
  if (C.Request_.Kind_ == CallKind::Routed)
    return checkRoutedCall(S, C);
  const auto &Accounts = S.Config_.Configuration_.AccountsByKey_;
  const auto Account = Accounts.find(C.Request_.ApiKey_);
  if (Account == Accounts.end())
    return CallError{ErrorKind::InvalidApiKey, RunState::NotRun,
                     "no account has this key", 0};
  C.Account_ = Account->second.Name_;
  if (auto Error = checkTarget(S, C))
    return Error;
  fillSuspectKeys(C);
  if (auto Error = checkBlocked(S, C))
    return Error;
  if (S.CallByRequestId_.count(C.RequestId_) > 0)
    return CallError{ErrorKind::BadRequest, RunState::NotRun,
                     "a request with this ID is under way", 0};
  return checkAdmission(S, C, Account->second);
}

void logRefusal(const State &S, const Call &C, const CallError &Error,
                Effects &Out) {
  LogFields Fields = {{"request", C.RequestId_},
                      {"route", C.Request_.Route_},
                      {"account", C.Account_},
                      {"error", std::string(name(Error.Kind_))},
                      {"run", std::string(name(Error.RunState_))},
                      {"detail", Error.Detail_},
                      {"retry_after_ms", std::to_string(Error.RetryAfter_)},
                      {"age_ms", std::to_string(S.Now_ - C.ArrivedAt_)},
                      {"config", std::to_string(S.Config_.Version_)}};
  if (!Error.Basis_.empty())
    Fields.emplace_back("basis", Error.Basis_);
  logWarning(Out, "refused", std::move(Fields));
}

std::string newRequestId(State &S) {
  return fmt::format("{}-{:x}-{:x}", S.Self_.Name_, S.Self_.Incarnation_,
                     S.NextRequestNumber_++);
}

std::uint64_t requestFingerprint(const CallRequest &Request) {
  const std::string Input =
      fmt::format("{}\n{}\n{}\n{}", Request.ApiKey_, Request.Method_,
                  Request.Path_, Request.Body_);
  return XXH3_64bits(Input.data(), Input.size());
}

} // namespace

Call *findCall(State &S, CallId Id) {
  const auto Found = S.Calls_.find(Id);
  return Found == S.Calls_.end() ? nullptr : &Found->second;
}

bool isUnrepeatableCall(const State &S, const Call &C) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return C.RepeatPolicy_ == RepeatPolicy::Never;
  if (C.Request_.Kind_ != CallKind::Service)
    return false;
  const auto Found = S.Config_.Configuration_.Services_.find(C.Request_.Route_);
  return Found != S.Config_.Configuration_.Services_.end() &&
         isUnrepeatable(Found->second, C.Request_.Method_, C.Request_.Path_);
}

Call makeCall(State &S, CallId Id, const CallRequest &Request) {
  Call NewCall;
  NewCall.Id_ = Id;
  NewCall.Request_ = Request;
  NewCall.RequestId_ =
      Request.RequestId_.empty() ? newRequestId(S) : Request.RequestId_;
  NewCall.ArrivedAt_ = S.Now_;
  const Millis Limit = Request.TimeLimit_ > 0
                           ? Request.TimeLimit_
                           : S.Settings_.Limits_.DefaultTimeLimit_;
  NewCall.Deadline_ = S.Now_ + Limit;
  NewCall.PrefixHashes_ = prefixHashes(Request.Prompt_);
  return NewCall;
}

RunState runStateOf(const State &S, const Call &C) {
  if (C.Request_.Kind_ == CallKind::Completion && C.NextIndex_ > 0)
    return RunState::Run;
  if (C.StreamStarted_ && C.Request_.Kind_ == CallKind::Routed)
    return RunState::Run;
  if (C.UncertainAttempts_ > 0)
    return RunState::Unknown;
  if (C.Request_.IdempotencyKey_.empty() || !isUnrepeatableCall(S, C))
    return RunState::NotRun;
  return keyRunState(S, C);
}

void onRequestArrived(State &S, const RequestArrived &E, Effects &Out) {
  incrementCounter(S, "requests");
  Call NewCall = makeCall(S, E.Call_, E.Request_);
  if (auto Error = checkCall(S, NewCall)) {
    // Another process may have run a call with the same idempotency key. A
    // refusal for lack of capacity or readiness (status 429 or above) does not
    // exclude that, so its run state comes from the key. An error in the
    // request itself (status below 429) keeps the run state of the check.
    const bool IsRequestFault = httpStatus(Error->Kind_) < 429;
    if (!IsRequestFault && !NewCall.Request_.IdempotencyKey_.empty())
      Error->RunState_ = keyRunState(S, NewCall);
    incrementCounter(S, "refused");
    recordDecision(S, NewCall.RequestId_,
                   fmt::format("refused: {}", Error->Detail_));
    logRefusal(S, NewCall, *Error, Out);
    Out.push_back(SendError{E.Call_, NewCall.RequestId_, *Error});
    return;
  }
  ++S.Admission_.Accounts_[accountQueueKey(NewCall)].InFlight_;
  // Routed calls are found by their connection only, not by request ID: a
  // caller that retries sends a new request ID.
  if (NewCall.ServiceQueue_.empty())
    S.CallByRequestId_[NewCall.RequestId_] = E.Call_;
  Call &C = S.Calls_.emplace(E.Call_, std::move(NewCall)).first->second;
  if (C.Phase_ == CallPhase::AwaitingQuota) {
    requestCallUnits(S, C);
    return;
  }
  if (C.Request_.Kind_ == CallKind::Service && isUnrepeatableCall(S, C) &&
      !C.Request_.IdempotencyKey_.empty()) {
    C.Fingerprint_ = requestFingerprint(C.Request_);
    beginClaim(S, C, Out);
    return;
  }
  enqueueCall(S, C, false);
  dispatchQueuedCalls(S, Out);
}

void answerServiceCall(State &S, Call &C, const ClaimDoneRecord &Outcome,
                       bool Replayed, Effects &Out) {
  incrementCounter(S, "answered");
  recordAnswer(S, C);
  Out.push_back(SendServiceAnswer{C.Id_, C.RequestId_, Outcome.Status_,
                                  Outcome.ContentType_, Outcome.Body_,
                                  Replayed});
  removeCall(S, C.Id_);
}

void refuseCall(State &S, Call &C, CallError Error, Effects &Out) {
  cancelAttempts(S, C, Out);
  releaseUnsentClaim(S, C);
  incrementCounter(S, "refused");
  recordDecision(
      S, C.RequestId_,
      fmt::format("refused: {} {}", name(Error.Kind_), Error.Detail_));
  logRefusal(S, C, Error, Out);
  if (Error.RunState_ == RunState::NotRun)
    refundQuota(S, C);
  if (C.StreamStarted_ && C.Request_.Kind_ == CallKind::Routed)
    Out.push_back(AbortCall{C.Id_});
  else
    Out.push_back(SendError{C.Id_, C.RequestId_, std::move(Error)});
  removeCall(S, C.Id_);
}

void removeCall(State &S, CallId Id) {
  const auto Found = S.Calls_.find(Id);
  if (Found == S.Calls_.end())
    return;
  Call &C = Found->second;
  recordLatency(S, "request", C);
  endTrial(S, C);
  dequeueCall(S, C);
  recordCallEnd(S, C);
  S.Claims_.CallByClaimId_.erase(C.ClaimId_);
  const auto ByRequestId = S.CallByRequestId_.find(C.RequestId_);
  if (ByRequestId != S.CallByRequestId_.end() && ByRequestId->second == Id)
    S.CallByRequestId_.erase(ByRequestId);
  S.Calls_.erase(Found);
}

namespace {

/// Refuses queued calls whose service or model is missing in a new
/// configuration. Checks once per configuration version.
void refuseCallsToRemovedTargets(State &S, Effects &Out) {
  if (S.Admission_.CheckedConfigVersion_ == S.Config_.Version_)
    return;
  S.Admission_.CheckedConfigVersion_ = S.Config_.Version_;
  std::vector<CallId> QueuedIds;
  for (const auto &[Id, C] : S.Calls_)
    if (C.Phase_ == CallPhase::Queued)
      QueuedIds.push_back(Id);
  std::sort(QueuedIds.begin(), QueuedIds.end());
  for (const CallId Id : QueuedIds) {
    Call &C = S.Calls_.at(Id);
    if (auto Error = checkTarget(S, C)) {
      Error->RunState_ = runStateOf(S, C);
      refuseCall(S, C, *Error, Out);
    }
  }
}

} // namespace

void tickCalls(State &S, Effects &Out) {
  expireRetainedRecords(S);
  refuseCallsToRemovedTargets(S, Out);
  std::vector<CallId> ExpiredIds;
  for (const auto &[Id, C] : S.Calls_)
    if (S.Now_ >= C.Deadline_)
      ExpiredIds.push_back(Id);
  std::sort(ExpiredIds.begin(), ExpiredIds.end());
  for (const CallId Id : ExpiredIds) {
    Call &C = S.Calls_.at(Id);
    const RunState Run = runStateOf(S, C);
    const bool IsSafeToRetry =
        Run == RunState::NotRun && C.Request_.Kind_ == CallKind::Routed;
    const CallError Error{
        IsSafeToRetry ? ErrorKind::Overloaded : ErrorKind::TimeLimitExceeded,
        Run, "the request's time limit has passed", retryAfter(S, C)};
    if (C.Attempt_ != 0 && C.Request_.Kind_ == CallKind::Service &&
        isUnrepeatableCall(S, C)) {
      // The outcome must still be recorded under the call's idempotency key,
      // so only the caller gets an error and the attempt continues until the
      // service timeout ends it.
      Out.push_back(SendError{C.Id_, C.RequestId_, Error});
      C.Deadline_ = std::numeric_limits<Millis>::max();
      continue;
    }
    recordVersionOverdue(S, C, Out);
    refuseCall(S, C, Error, Out);
  }
  dispatchQueuedCalls(S, Out);
}

} // namespace endivewharf
