// Keeps records of completions, resumes them for callers who reconnect, and
// handles callers who disconnect.
#include "resume.h"

#include "admission.h"
#include "calls.h"
#include "claims.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "handover.h"
#include "outcomes.h"
#include "usage.h"
#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis RetentionPeriod = 60000;        // ms
constexpr std::size_t MaxRetainedRecords = 2000; // records

/// @return text of one token of the generated text
std::string_view tokenText(const Call &C, std::int64_t Index) {
  const std::size_t I = static_cast<std::size_t>(Index);
  const std::size_t Begin = I == 0 ? 0 : C.TokenEnds_[I - 1];
  return std::string_view(C.GeneratedText_)
      .substr(Begin, C.TokenEnds_[I] - Begin);
}

/// Sends the generated tokens that the caller lacks.
void replayTokens(State &S, Call &C, Effects &Out) {
  startStreamIfNeeded(S, C, Out);
  for (std::int64_t I = C.NextSendIndex_; I < C.NextIndex_; ++I)
    Out.push_back(SendToken{C.Id_, I, std::string(tokenText(C, I))});
  C.NextSendIndex_ = std::max(C.NextSendIndex_, C.NextIndex_);
}

/// Removes a completion from this process's calls and retains its record.
/// @return the record
CallRecord detachCompletion(State &S, Call &C, Effects &Out) {
  cancelAttempts(S, C, Out);
  CallRecord Record = makeCallRecord(C);
  retainRecord(S, Record);
  removeCall(S, C.Id_);
  return Record;
}

} // namespace

void expireRetainedRecords(State &S) {
  auto &ExpiryOrder = S.Retained_.ExpiryOrder_;
  while (!ExpiryOrder.empty() &&
         (S.Now_ - ExpiryOrder.front().first > RetentionPeriod ||
          ExpiryOrder.size() > MaxRetainedRecords)) {
    S.Retained_.ById_.erase(ExpiryOrder.front().second);
    ExpiryOrder.pop_front();
  }
}

CallRecord makeCallRecord(const Call &C) {
  CallRecord Record;
  Record.RequestId_ = C.RequestId_;
  Record.ApiKey_ = C.Request_.ApiKey_;
  Record.Model_ = C.Request_.Model_;
  Record.Route_ = C.Request_.Route_;
  Record.Body_ = C.Request_.Body_;
  Record.GeneratedText_ = C.GeneratedText_;
  Record.TokenEnds_ = C.TokenEnds_;
  Record.NextIndex_ = C.NextIndex_;
  Record.MaxTokens_ = C.Request_.MaxTokens_;
  Record.Stream_ = C.Request_.Stream_;
  Record.Priority_ = C.Request_.Priority_;
  Record.PrefixHashes_ = C.PrefixHashes_;
  return Record;
}

void retainRecord(State &S, CallRecord Record) {
  const std::string Id = Record.RequestId_;
  const auto Found = S.Retained_.ById_.find(Id);
  if (Found != S.Retained_.ById_.end()) {
    // Of two records of the same call the one with more tokens is the newer.
    if (Found->second.NextIndex_ <= Record.NextIndex_)
      Found->second = std::move(Record);
    return;
  }
  S.Retained_.ById_.emplace(Id, std::move(Record));
  S.Retained_.ExpiryOrder_.emplace_back(S.Now_, Id);
  expireRetainedRecords(S);
}

void onResumeArrived(State &S, const ResumeArrived &E, Effects &Out) {
  CallRequest Request;
  Request.RequestId_ = E.RequestId_;
  Request.ApiKey_ = E.ApiKey_;
  Call NewCall = makeCall(S, E.Call_, Request);
  NewCall.NextSendIndex_ = E.FromIndex_;
  const auto Accounts = S.Config_.Configuration_.AccountsByKey_.find(E.ApiKey_);
  if (Accounts == S.Config_.Configuration_.AccountsByKey_.end()) {
    Out.push_back(SendError{E.Call_,
                            E.RequestId_,
                            {ErrorKind::InvalidApiKey, RunState::Unknown,
                             "no account has this key", 0}});
    return;
  }
  NewCall.Account_ = Accounts->second.Name_;
  const auto Running = S.CallByRequestId_.find(E.RequestId_);
  if (Running != S.CallByRequestId_.end()) {
    Call *Previous = findCall(S, Running->second);
    if (Previous->Request_.Kind_ == CallKind::Completion &&
        Previous->Request_.ApiKey_ == E.ApiKey_)
      detachCompletion(S, *Previous, Out);
  }
  if (S.CallByRequestId_.count(E.RequestId_) > 0) {
    Out.push_back(SendError{E.Call_,
                            E.RequestId_,
                            {ErrorKind::NotFound, RunState::Unknown,
                             "no such request to go on with", 0}});
    return;
  }
  ++S.Admission_.Accounts_[accountQueueKey(NewCall)].InFlight_;
  S.CallByRequestId_[NewCall.RequestId_] = E.Call_;
  Call &C = S.Calls_.emplace(E.Call_, std::move(NewCall)).first->second;
  const auto Retained = S.Retained_.ById_.find(E.RequestId_);
  if (Retained != S.Retained_.ById_.end())
    resumeFromRecord(S, C, CallRecord(Retained->second), Out);
  else
    locateCallAtPeers(S, C, Out);
}

void resumeFromRecord(State &S, Call &C, const CallRecord &Record,
                      Effects &Out) {
  if (Record.ApiKey_ != C.Request_.ApiKey_) {
    refuseCall(S, C,
               {ErrorKind::NotFound, RunState::Unknown,
                "no such request to go on with", 0},
               Out);
    return;
  }
  C.Request_.Model_ = Record.Model_;
  C.Request_.Route_ = Record.Route_;
  C.Request_.Body_ = Record.Body_;
  C.Request_.MaxTokens_ = Record.MaxTokens_;
  C.Request_.Stream_ = Record.Stream_;
  C.Request_.Priority_ = Record.Priority_;
  C.GeneratedText_ = Record.GeneratedText_;
  C.TokenEnds_ = Record.TokenEnds_;
  C.NextIndex_ = Record.NextIndex_;
  C.FinishReason_ = Record.FinishReason_;
  C.PrefixHashes_ = Record.PrefixHashes_;
  C.Deadline_ = S.Now_ + S.Settings_.Limits_.DefaultTimeLimit_;
  incrementCounter(S, "resumed");
  recordDecision(S, C.RequestId_,
                 fmt::format("resumed at token {}", Record.NextIndex_));
  if (C.Request_.Stream_)
    replayTokens(S, C, Out);
  if (Record.Finished_) {
    finishCompletion(S, C, Out);
    return;
  }
  C.Phase_ = CallPhase::Queued;
  enqueueCall(S, C, true);
  dispatchQueuedCalls(S, Out);
}

void onCallerDisconnected(State &S, const CallerDisconnected &E, Effects &Out) {
  Call *C = findCall(S, E.Call_);
  if (C == nullptr)
    return;
  incrementCounter(S, "callers_gone");
  const bool IsPlain =
      C->Request_.Kind_ == CallKind::Routed && !C->EventStream_;
  if (IsPlain && C->Phase_ == CallPhase::Running)
    countStartedCall(S, *C); // the upstream may have run it
  // A call that may not be repeated runs to its end: a caller who repeats the
  // request with the same idempotency key gets its outcome.
  if (C->Request_.Kind_ == CallKind::Service && isUnrepeatableCall(S, *C) &&
      C->Phase_ == CallPhase::Running)
    return;
  if (C->Request_.Kind_ == CallKind::Completion) {
    detachCompletion(S, *C, Out);
  } else {
    cancelAttempts(S, *C, Out);
    releaseUnsentClaim(S, *C);
    removeCall(S, E.Call_);
  }
  dispatchQueuedCalls(S, Out);
}

} // namespace endivewharf
