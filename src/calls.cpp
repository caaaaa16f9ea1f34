// Acceptance of requests, refusals and time limits.
#include "calls.h"

#include "admission.h"
#include "claims.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "quota.h"
#include "resume.h"
#include "routed.h"
#include "router.h"
#include "xxhash.h"
#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace endivewharf {

namespace {

constexpr Millis StartingRetryAfter = 200; // ms; a read of the store or less

std::optional<CallError> checkTarget(const State &S, const Call &C) {
  const Configuration &Config = S.Config_.Configuration_;
  if (C.Request_.Kind_ == CallKind::Routed)
    return std::nullopt; // taken under the configuration it came under
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

/// All checks at the door; sets the account.
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
  if (S.CallByRequestId_.count(C.RequestId_) > 0)
    return CallError{ErrorKind::BadRequest, RunState::NotRun,
                     "a request with this ID is under way", 0};
  return checkAdmission(S, C, Account->second);
}

void logRefusal(const State &S, const Call &C, const CallError &Error,
                Effects &Out) {
  logWarning(Out, "refused",
             {{"request", C.RequestId_},
              {"route", C.Request_.Route_},
              {"account", C.Account_},
              {"error", std::string(name(Error.Kind_))},
              {"run", std::string(name(Error.RunState_))},
              {"detail", Error.Detail_},
              {"retry_after_ms", std::to_string(Error.RetryAfter_)},
              {"age_ms", std::to_string(S.Now_ - C.ArrivedAt_)},
              {"config", std::to_string(S.Config_.Version_)}});
}

std::string newRequestId(State &S) {
  return fmt::format("{}-{:x}-{:x}", S.Self_.Name_, S.Self_.Incarnation_,
                     S.NextRequestNumber_++);
}

std::uint64_t requestFingerprint(const CallRequest &Request) {
  const std::string Whole =
      fmt::format("{}\n{}\n{}\n{}", Request.ApiKey_, Request.Method_,
                  Request.Path_, Request.Body_);
  return XXH3_64bits(Whole.data(), Whole.size());
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
  Call New;
  New.Id_ = Id;
  New.Request_ = Request;
  New.RequestId_ =
      Request.RequestId_.empty() ? newRequestId(S) : Request.RequestId_;
  New.ArrivedAt_ = S.Now_;
  const Millis Limit = Request.TimeLimit_ > 0
                           ? Request.TimeLimit_
                           : S.Settings_.Limits_.DefaultTimeLimit_;
  New.Deadline_ = S.Now_ + Limit;
  New.PrefixHashes_ = prefixHashes(Request.Prompt_);
  return New;
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
  Call New = makeCall(S, E.Call_, E.Request_);
  if (auto Error = checkCall(S, New)) {
    // Another process may have run the call's key: a refusal for want of room
    // or readiness can't tell. One for the request's own fault can.
    const bool OwnFault = httpStatus(Error->Kind_) < 429;
    if (!OwnFault && !New.Request_.IdempotencyKey_.empty())
      Error->RunState_ = keyRunState(S, New);
    incrementCounter(S, "refused");
    recordDecision(S, New.RequestId_,
                   fmt::format("refused: {}", Error->Detail_));
    logRefusal(S, New, *Error, Out);
    Out.push_back(SendError{E.Call_, New.RequestId_, *Error});
    return;
  }
  ++S.Admission_.Accounts_[accountQueueKey(New)].InFlight_;
  // Routed calls are known by their connection only: a caller that asks again
  // names its request anew.
  if (New.ServiceQueue_.empty())
    S.CallByRequestId_[New.RequestId_] = E.Call_;
  Call &C = S.Calls_.emplace(E.Call_, std::move(New)).first->second;
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
  observeAnswer(S, C);
  Out.push_back(SendServiceAnswer{C.Id_, C.RequestId_, Outcome.Status_,
                                  Outcome.ContentType_, Outcome.Body_,
                                  Replayed});
  removeCall(S, C.Id_);
}

void refuseCall(State &S, Call &C, CallError Error, Effects &Out) {
  cancelAttempt(S, C, Out);
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
  dequeueCall(S, C);
  recordCallEnd(S, C);
  S.Claims_.CallByClaimId_.erase(C.ClaimId_);
  const auto ById = S.CallByRequestId_.find(C.RequestId_);
  if (ById != S.CallByRequestId_.end() && ById->second == Id)
    S.CallByRequestId_.erase(ById);
  S.Calls_.erase(Found);
}

namespace {

/// Refuses waiting calls whose target a new configuration has dropped.
void refuseCallsToRemovedTargets(State &S, Effects &Out) {
  if (S.Admission_.CheckedConfigVersion_ == S.Config_.Version_)
    return;
  S.Admission_.CheckedConfigVersion_ = S.Config_.Version_;
  std::vector<CallId> Waiting;
  for (const auto &[Id, C] : S.Calls_)
    if (C.Phase_ == CallPhase::Queued)
      Waiting.push_back(Id);
  std::sort(Waiting.begin(), Waiting.end());
  for (const CallId Id : Waiting) {
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
  std::vector<CallId> Late;
  for (const auto &[Id, C] : S.Calls_)
    if (S.Now_ >= C.Deadline_)
      Late.push_back(Id);
  std::sort(Late.begin(), Late.end());
  for (const CallId Id : Late) {
    Call &C = S.Calls_.at(Id);
    const RunState Run = runStateOf(S, C);
    const bool Promise =
        Run == RunState::NotRun && C.Request_.Kind_ == CallKind::Routed;
    const CallError Error{
        Promise ? ErrorKind::Overloaded : ErrorKind::TimeLimitExceeded, Run,
        "the request's time limit has passed", retryAfter(S, C)};
    if (C.Attempt_ != 0 && C.Request_.Kind_ == CallKind::Service &&
        isUnrepeatableCall(S, C)) {
      // The reply is still wanted for the call's key: only the caller is told
      // that the time is up. The service limit ends the attempt.
      Out.push_back(SendError{C.Id_, C.RequestId_, Error});
      C.Deadline_ = std::numeric_limits<Millis>::max();
      continue;
    }
    refuseCall(S, C, Error, Out);
  }
  dispatchQueuedCalls(S, Out);
}

} // namespace endivewharf
