// Claims of idempotency keys. The table of keys is the result of applying the
// records of the control log in order; spec/claims.pml checks the protocol.
#include "claims.h"

#include "calls.h"
#include "controllog.h"
#include "diagnostics.h"
#include "dispatch.h"

#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis LogRetryAfter = 1000;             // ms
constexpr std::size_t MaxLoggedReplyBytes = 16384; // bytes

/// Key of a call in the table of keys: it includes the account, so that equal
/// keys of two accounts do not collide.
std::string claimTableKey(const Call &C) {
  return fmt::format("{}/{}", C.Account_, C.Request_.IdempotencyKey_);
}

void refuseLogUnavailable(State &S, Call &C, Effects &Out) {
  refuseCall(S, C,
             {ErrorKind::LogUnavailable, keyRunState(S, C),
              "the log can't be used now, so the call can't be claimed",
              LogRetryAfter},
             Out);
}

/// Answers a call with the recorded outcome of its key, or refuses it if the
/// reply was lost.
void answerFromOutcome(State &S, Call &C, const KeyState &Key, Effects &Out) {
  if (Key.Outcome_.OutcomeKnown_) {
    answerServiceCall(S, C, ClaimDoneRecord(Key.Outcome_), true, Out);
    return;
  }
  refuseCall(S, C,
             {ErrorKind::OutcomeUnknown, RunState::Unknown,
              "the reply to this key's call was lost", 0},
             Out);
}

/// Handles a call whose key is held by another claim: answers it, refuses it if
/// the requests differ, or makes it wait for the outcome.
void joinExistingClaim(State &S, Call &C, const KeyState &Key, Effects &Out) {
  C.ClaimId_.clear();
  if (Key.Claim_.Fingerprint_ != C.Fingerprint_) {
    refuseCall(S, C,
               {ErrorKind::IdempotencyKeyInUse, RunState::NotRun,
                "the key belongs to a different call", 0},
               Out);
    return;
  }
  if (Key.Status_ == KeyStatus::Done) {
    answerFromOutcome(S, C, Key, Out);
    return;
  }
  C.Phase_ = CallPhase::AwaitingOutcome;
}

std::vector<CallId> callsAwaitingKey(const State &S, const std::string &Key) {
  std::vector<CallId> Ids;
  for (const auto &[Id, C] : S.Calls_)
    if (C.Phase_ == CallPhase::AwaitingOutcome && claimTableKey(C) == Key)
      Ids.push_back(Id);
  return Ids;
}

/// Queues a claim of the call's key for the log, under a new claim ID.
void appendClaim(State &S, Call &C) {
  C.ClaimId_ = fmt::format("{}-{:x}-{}", S.Self_.Name_, S.Self_.Incarnation_,
                           S.Claims_.NextClaimNumber_++);
  C.Phase_ = CallPhase::Claiming;
  S.Claims_.CallByClaimId_[C.ClaimId_] = C.Id_;
  queueLogRecord(
      S, ClaimRecord{claimTableKey(C), C.ClaimId_, S.Self_, C.Fingerprint_});
}

/// Queues the call whose claim won its key, or releases the key if the call no
/// longer waits for the claim.
void startClaimedCall(State &S, const ClaimRecord &R, Effects &Out) {
  const auto Waiting = S.Claims_.CallByClaimId_.find(R.ClaimId_);
  if (Waiting == S.Claims_.CallByClaimId_.end()) {
    queueLogRecord(S, ClaimReleaseRecord{R.Key_, R.ClaimId_});
    return;
  }
  Call &C = S.Calls_.at(Waiting->second);
  S.Claims_.CallByClaimId_.erase(Waiting);
  enqueueAcceptedCall(S, C, Out);
}

} // namespace

void beginClaim(State &S, Call &C, Effects &Out) {
  if (!S.Log_.ReachedTail_ || S.Now_ < S.Claims_.ClaimsIncompleteUntil_) {
    refuseLogUnavailable(S, C, Out);
    return;
  }
  const auto Found = S.Claims_.Keys_.find(claimTableKey(C));
  if (Found != S.Claims_.Keys_.end()) {
    joinExistingClaim(S, C, Found->second, Out);
    return;
  }
  if (!S.Log_.Available_) {
    refuseLogUnavailable(S, C, Out);
    return;
  }
  appendClaim(S, C);
}

void applyClaim(State &S, const ClaimRecord &R, Effects &Out) {
  const auto [Found, First] = S.Claims_.Keys_.try_emplace(R.Key_);
  if (First) {
    Found->second = {KeyStatus::Claimed, R, {}, S.Now_};
    S.Claims_.ExpiryOrder_.emplace_back(S.Now_, R.Key_);
    if (R.Claimer_ == S.Self_)
      startClaimedCall(S, R, Out);
    return;
  }
  // The log may carry out the same append twice.
  if (Found->second.Claim_.ClaimId_ == R.ClaimId_)
    return;
  const auto Waiting = S.Claims_.CallByClaimId_.find(R.ClaimId_);
  if (R.Claimer_ != S.Self_ || Waiting == S.Claims_.CallByClaimId_.end())
    return;
  Call &C = S.Calls_.at(Waiting->second);
  S.Claims_.CallByClaimId_.erase(Waiting);
  joinExistingClaim(S, C, KeyState(Found->second), Out);
}

void applyClaimRelease(State &S, const ClaimReleaseRecord &R, Effects &) {
  const auto Found = S.Claims_.Keys_.find(R.Key_);
  if (Found == S.Claims_.Keys_.end() ||
      Found->second.Claim_.ClaimId_ != R.ClaimId_)
    return;
  S.Claims_.Keys_.erase(Found);
  for (const CallId Id : callsAwaitingKey(S, R.Key_))
    appendClaim(S, S.Calls_.at(Id));
}

void applyClaimDone(State &S, const ClaimDoneRecord &R, Effects &Out) {
  const auto Found = S.Claims_.Keys_.find(R.Key_);
  if (Found == S.Claims_.Keys_.end() ||
      Found->second.Claim_.ClaimId_ != R.ClaimId_)
    return;
  // A reply that arrives late replaces an unknown outcome.
  const bool IsBetter =
      Found->second.Status_ != KeyStatus::Done ||
      (R.OutcomeKnown_ && !Found->second.Outcome_.OutcomeKnown_);
  if (IsBetter) {
    Found->second.Status_ = KeyStatus::Done;
    Found->second.Outcome_ = R;
  }
  const KeyState Key = Found->second;
  for (const CallId Id : callsAwaitingKey(S, R.Key_))
    answerFromOutcome(S, S.Calls_.at(Id), Key, Out);
}

void recordClaimOutcome(State &S, const Call &C,
                        const ClaimDoneRecord &Outcome) {
  ClaimDoneRecord Record = Outcome;
  Record.Key_ = claimTableKey(C);
  // Only the claimer records an outcome, so it is valid before the record is
  // read from the log.
  const auto Found = S.Claims_.Keys_.find(Record.Key_);
  if (Found != S.Claims_.Keys_.end() &&
      Found->second.Claim_.ClaimId_ == Record.ClaimId_) {
    Found->second.Status_ = KeyStatus::Done;
    Found->second.Outcome_ = Record;
  }
  if (Record.Body_.size() > MaxLoggedReplyBytes) {
    Record.OutcomeKnown_ = false;
    Record.Body_.clear();
  }
  queueLogRecord(S, std::move(Record));
}

void releaseUnsentClaim(State &S, const Call &C) {
  if (C.ClaimId_.empty() || C.UncertainAttempts_ > 0)
    return;
  S.Claims_.CallByClaimId_.erase(C.ClaimId_);
  const auto Found = S.Claims_.Keys_.find(claimTableKey(C));
  // A claim that has not been read from the log yet is released by
  // startClaimedCall() when it is read.
  if (Found != S.Claims_.Keys_.end() &&
      Found->second.Claim_.ClaimId_ == C.ClaimId_)
    queueLogRecord(S, ClaimReleaseRecord{claimTableKey(C), C.ClaimId_});
}

RunState keyRunState(const State &S, const Call &C) {
  // Only the holder of a key knows that no process has run its call: the log
  // may have another process's claim that this process has not read yet.
  const auto Found = S.Claims_.Keys_.find(claimTableKey(C));
  const bool HoldsKey = Found != S.Claims_.Keys_.end() && !C.ClaimId_.empty() &&
                        Found->second.Claim_.ClaimId_ == C.ClaimId_;
  return HoldsKey ? RunState::NotRun : RunState::Unknown;
}

void markClaimsIncomplete(State &S) {
  S.Claims_.ClaimsIncompleteUntil_ =
      S.Now_ + S.Settings_.Limits_.IdempotencyKeyRetention_;
}

void tickClaims(State &S) {
  auto &Order = S.Claims_.ExpiryOrder_;
  const Millis Retention = S.Settings_.Limits_.IdempotencyKeyRetention_;
  while (!Order.empty() && S.Now_ - Order.front().first > Retention) {
    const auto Found = S.Claims_.Keys_.find(Order.front().second);
    if (Found != S.Claims_.Keys_.end() &&
        Found->second.ReadAt_ == Order.front().first)
      S.Claims_.Keys_.erase(Found);
    Order.pop_front();
  }
}

} // namespace endivewharf
