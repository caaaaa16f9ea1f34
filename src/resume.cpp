// Records of completions, and callers who come back for them or go away.
#include "resume.h"

#include "admission.h"
#include "calls.h"
#include "claims.h"
#include "dispatch.h"
#include "handover.h"
#include "outcomes.h"
#include "record.h"
#include "usage.h"
#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis HoldTime = 60000;    // ms a record is kept
constexpr std::size_t MaxHeld = 2000; // records

std::string_view tokenText(const Call &C, std::int64_t Index) {
  const std::size_t I = static_cast<std::size_t>(Index);
  const std::size_t Begin = I == 0 ? 0 : C.TokenEnds_[I - 1];
  return std::string_view(C.Text_).substr(Begin, C.TokenEnds_[I] - Begin);
}

/// Sends tokens that are known and that the caller lacks.
void replayTokens(State &S, Call &C, Effects &Out) {
  startStreamIfNeeded(S, C, Out);
  for (std::int64_t I = C.SendFrom_; I < C.NextIndex_; ++I)
    Out.push_back(SendToken{C.Id_, I, std::string(tokenText(C, I))});
  C.SendFrom_ = std::max(C.SendFrom_, C.NextIndex_);
}

/// Gives up a live completion here and keeps its record.
CallRecord detach(State &S, Call &C, Effects &Out) {
  cancelAttempt(S, C, Out);
  CallRecord Record = recordOf(C);
  holdRecord(S, Record);
  forgetCall(S, C.Id_);
  return Record;
}

} // namespace

void expireHeld(State &S) {
  auto &Order = S.Held_.Order_;
  while (!Order.empty() &&
         (S.Now_ - Order.front().first > HoldTime || Order.size() > MaxHeld)) {
    S.Held_.ById_.erase(Order.front().second);
    Order.pop_front();
  }
}

CallRecord recordOf(const Call &C) {
  CallRecord Record;
  Record.RequestId_ = C.RequestId_;
  Record.AccountKey_ = C.Request_.ApiKey_;
  Record.Model_ = C.Request_.Model_;
  Record.Route_ = C.Request_.Route_;
  Record.Body_ = C.Request_.Body_;
  Record.Delivered_ = C.Text_;
  Record.TokenEnds_ = C.TokenEnds_;
  Record.NextIndex_ = C.NextIndex_;
  Record.MaxTokens_ = C.Request_.MaxTokens_;
  Record.Stream_ = C.Request_.Stream_;
  Record.Priority_ = C.Request_.Priority_;
  Record.Blocks_ = C.Blocks_;
  return Record;
}

void holdRecord(State &S, CallRecord Record) {
  const std::string Id = Record.RequestId_;
  const auto Found = S.Held_.ById_.find(Id);
  if (Found != S.Held_.ById_.end()) {
    // The longer one of two records of a call is the newer.
    if (Found->second.NextIndex_ <= Record.NextIndex_)
      Found->second = std::move(Record);
    return;
  }
  S.Held_.ById_.emplace(Id, std::move(Record));
  S.Held_.Order_.emplace_back(S.Now_, Id);
  expireHeld(S);
}

void onResumeArrived(State &S, const ResumeArrived &E, Effects &Out) {
  CallRequest Request;
  Request.RequestId_ = E.RequestId_;
  Request.ApiKey_ = E.ApiKey_;
  Call New = makeCall(S, E.Call_, Request);
  New.SendFrom_ = E.From_;
  const auto Accounts = S.Config_.Value_.AccountsByKey_.find(E.ApiKey_);
  if (Accounts == S.Config_.Value_.AccountsByKey_.end()) {
    Out.push_back(RefuseCall{
        E.Call_,
        E.RequestId_,
        {ErrorKind::BadKey, RunState::Unknown, "no account has this key", 0}});
    return;
  }
  New.Account_ = Accounts->second.Name_;
  const auto Live = S.CallByRequestId_.find(E.RequestId_);
  if (Live != S.CallByRequestId_.end()) {
    Call *Old = findCall(S, Live->second);
    if (Old->Request_.Kind_ == CallKind::Completion &&
        Old->Request_.ApiKey_ == E.ApiKey_)
      detach(S, *Old, Out);
  }
  if (S.CallByRequestId_.count(E.RequestId_) > 0) {
    Out.push_back(RefuseCall{E.Call_,
                             E.RequestId_,
                             {ErrorKind::NotFound, RunState::Unknown,
                              "no such request to go on with", 0}});
    return;
  }
  ++S.Admission_.Accounts_[queueName(New)].InFlight_;
  S.CallByRequestId_[New.RequestId_] = E.Call_;
  Call &C = S.Calls_.emplace(E.Call_, std::move(New)).first->second;
  const auto Held = S.Held_.ById_.find(E.RequestId_);
  if (Held != S.Held_.ById_.end())
    resumeFrom(S, C, CallRecord(Held->second), Out);
  else
    askPeersForCall(S, C, Out);
}

void resumeFrom(State &S, Call &C, const CallRecord &Record, Effects &Out) {
  if (Record.AccountKey_ != C.Request_.ApiKey_) {
    refuse(S, C,
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
  C.Text_ = Record.Delivered_;
  C.TokenEnds_ = Record.TokenEnds_;
  C.NextIndex_ = Record.NextIndex_;
  C.FinishReason_ = Record.FinishReason_;
  C.Blocks_ = Record.Blocks_;
  C.Deadline_ = S.Now_ + S.Settings_.Limits_.DefaultTimeLimit_;
  count(S, "resumed");
  remember(S, C.RequestId_,
           fmt::format("resumed at token {}", Record.NextIndex_));
  if (C.Request_.Stream_)
    replayTokens(S, C, Out);
  if (Record.Finished_) {
    finishCompletion(S, C, Out);
    return;
  }
  C.Phase_ = CallPhase::Queued;
  enqueue(S, C, true);
  dispatchWaiting(S, Out);
}

void onCallerGone(State &S, const CallerGone &E, Effects &Out) {
  Call *C = findCall(S, E.Call_);
  if (C == nullptr)
    return;
  count(S, "callers_gone");
  const bool Plain = C->Request_.Kind_ == CallKind::Routed && !C->Events_;
  if (Plain && C->Phase_ == CallPhase::Running)
    noteBegan(S, *C); // its upstream had it
  // A call that may not be repeated runs to its end: its outcome is what a
  // caller who asks again with the same key gets.
  if (C->Request_.Kind_ == CallKind::Service && isUnrepeatableCall(S, *C) &&
      C->Phase_ == CallPhase::Running)
    return;
  if (C->Request_.Kind_ == CallKind::Completion) {
    detach(S, *C, Out);
  } else {
    cancelAttempt(S, *C, Out);
    abandonClaim(S, *C);
    forgetCall(S, E.Call_);
  }
  dispatchWaiting(S, Out);
}

} // namespace endivewharf
