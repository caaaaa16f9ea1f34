// Graceful stop. Records go to two peers in other zones; the caller is told to
// go on elsewhere only after one of them has said that it holds the record.
#include "handover.h"

#include "calls.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "lease.h"
#include "membership.h"
#include "resume.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis HandoverLeadTime = 1500;     // ms before the end to hand over
constexpr Millis HandoverRetryInterval = 300; // ms without an acknowledgement
constexpr Millis LocateTimeout = 1500;    // ms to wait for the call's holder
constexpr std::size_t HandoverCopies = 2; // peers that get a record

std::vector<CallId> localCompletions(const State &S) {
  std::vector<CallId> Ids;
  for (const auto &[Id, C] : S.Calls_)
    if (C.Request_.Kind_ == CallKind::Completion &&
        C.Phase_ != CallPhase::Locating)
      Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end(), [&](CallId A, CallId B) {
    const Priority Left = S.Calls_.at(A).Request_.Priority_;
    const Priority Right = S.Calls_.at(B).Request_.Priority_;
    return std::pair(Left, A) < std::pair(Right, B);
  });
  return Ids;
}

/// Sends a call's record to the next peers in order.
void sendRecordToPeers(State &S, Call &C, Effects &Out) {
  const std::vector<std::string> Peers = takeoverCandidates(S);
  for (std::size_t I = 0; I < std::min(HandoverCopies, Peers.size()); ++I) {
    const std::size_t Which =
        (static_cast<std::size_t>(C.PeersAsked_) + I) % Peers.size();
    Out.push_back(SendToPeer{Peers[Which], HandoverMessage{makeCallRecord(C)}});
  }
  C.PeersAsked_ += static_cast<int>(HandoverCopies);
  C.HandoverSentAt_ = S.Now_;
}

/// Freezes a call, so that the record holds all that its caller was sent.
void beginHandover(State &S, Call &C, Effects &Out) {
  cancelAttempt(S, C, Out);
  C.Phase_ = CallPhase::HandingOver;
  C.PeersAsked_ = 0;
  sendRecordToPeers(S, C, Out);
}

void handOverCompletions(State &S, Effects &Out) {
  for (const CallId Id : localCompletions(S)) {
    Call &C = S.Calls_.at(Id);
    if (C.Phase_ != CallPhase::HandingOver)
      beginHandover(S, C, Out);
    else if (S.Now_ - C.HandoverSentAt_ > HandoverRetryInterval)
      sendRecordToPeers(S, C, Out);
  }
}

void refuseRemainingCalls(State &S, Effects &Out) {
  std::vector<CallId> Ids;
  for (const auto &[Id, C] : S.Calls_)
    Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end());
  for (const CallId Id : Ids) {
    Call &C = S.Calls_.at(Id);
    refuseCall(
        S, C, {ErrorKind::Draining, runStateOf(S, C), "this process ends", 200},
        Out);
  }
}

} // namespace

void onHandover(State &S, const std::string &From, const HandoverMessage &M,
                Effects &Out) {
  retainRecord(S, M.Record_);
  incrementCounter(S, "records_taken_over");
  Out.push_back(SendToPeer{From, HandoverAckMessage{M.Record_.RequestId_}});
}

void onHandoverAck(State &S, const HandoverAckMessage &M, Effects &Out) {
  const auto Found = S.CallByRequestId_.find(M.RequestId_);
  if (Found == S.CallByRequestId_.end())
    return;
  Call &C = S.Calls_.at(Found->second);
  if (C.Phase_ != CallPhase::HandingOver)
    return; // the answer to an early copy
  incrementCounter(S, "handed_over");
  logEvent(
      Out, "handed_over",
      {{"request", C.RequestId_}, {"tokens", std::to_string(C.NextIndex_)}});
  Out.push_back(RedirectStream{C.Id_, C.NextIndex_});
  removeCall(S, C.Id_);
}

void onFindCall(State &S, const std::string &From, const FindCallMessage &M,
                Effects &Out) {
  FoundCallMessage Answer{M.RequestId_, false, {}};
  const auto Live = S.CallByRequestId_.find(M.RequestId_);
  if (Live != S.CallByRequestId_.end()) {
    Call &C = S.Calls_.at(Live->second);
    if (C.Request_.Kind_ == CallKind::Completion &&
        C.Phase_ != CallPhase::Locating) {
      // The caller has gone on elsewhere; its connection here is dead.
      onCallerDisconnected(S, {C.Id_}, Out);
    }
  }
  const auto Held = S.Retained_.ById_.find(M.RequestId_);
  if (Held != S.Retained_.ById_.end()) {
    Answer.Retained_ = true;
    Answer.Record_ = Held->second;
  }
  Out.push_back(SendToPeer{From, std::move(Answer)});
}

void onFoundCall(State &S, const FoundCallMessage &M, Effects &Out) {
  const auto Found = S.CallByRequestId_.find(M.RequestId_);
  if (Found == S.CallByRequestId_.end())
    return;
  Call &C = S.Calls_.at(Found->second);
  if (C.Phase_ != CallPhase::Locating)
    return;
  if (M.Retained_) {
    resumeFromRecord(S, C, M.Record_, Out);
    return;
  }
  if (--C.PeersAsked_ == 0)
    refuseCall(S, C,
               {ErrorKind::NotFound, RunState::Unknown,
                "no process holds this request", 0},
               Out);
}

void locateCallAtPeers(State &S, Call &C, Effects &Out) {
  C.Phase_ = CallPhase::Locating;
  C.Deadline_ = std::min(C.Deadline_, S.Now_ + LocateTimeout);
  for (const auto &[Name, M] : S.Membership_.Peers_) {
    if (!M.Alive_)
      continue;
    ++C.PeersAsked_;
    Out.push_back(SendToPeer{Name, FindCallMessage{C.RequestId_}});
  }
  if (C.PeersAsked_ == 0)
    refuseCall(S, C,
               {ErrorKind::NotFound, RunState::Unknown,
                "no process holds this request", 0},
               Out);
}

void copyCallsToPeers(State &S, Effects &Out) {
  for (const CallId Id : localCompletions(S))
    sendRecordToPeers(S, S.Calls_.at(Id), Out);
}

void tickStop(State &S, Effects &Out) {
  if (S.Stage_ != Stage::Draining)
    return;
  const bool Short = S.StopDeadline_ - S.StopStartedAt_ < 2 * HandoverLeadTime;
  const Millis Unready = Short ? 0 : S.Settings_.Limits_.UnreadyPeriod_;
  if (!S.ListenerClosed_ && S.Now_ - S.StopStartedAt_ >= Unready) {
    S.ListenerClosed_ = true;
    releaseLease(S);
    Out.push_back(CloseListener{});
  }
  if (S.Now_ >= S.StopDeadline_ - HandoverLeadTime)
    handOverCompletions(S, Out);
  if (S.Now_ >= S.StopDeadline_)
    refuseRemainingCalls(S, Out);
  const bool Flushed = S.Log_.Outbox_.empty() && S.Log_.PendingAppendId_ == 0;
  const bool Idle = S.Calls_.empty() && S.ListenerClosed_;
  if (Idle && (Flushed || S.Now_ >= S.StopDeadline_)) {
    S.Stage_ = Stage::Stopped;
    logEvent(Out, "stopped", {});
    Out.push_back(ExitProcess{});
  }
}

void beginStop(State &S, Millis TimeLeft, std::string_view Reason,
               Effects &Out) {
  const Millis Limit = TimeLeft > 0 ? TimeLeft
                                    : S.Settings_.Limits_.DrainTimeout_ -
                                          S.Settings_.Limits_.DrainMargin_;
  const Millis Deadline = S.Now_ + Limit;
  if (S.Stage_ == Stage::Draining) {
    S.StopDeadline_ = std::min(S.StopDeadline_, Deadline);
    return;
  }
  S.Stage_ = Stage::Draining;
  S.StopStartedAt_ = S.Now_;
  S.StopDeadline_ = Deadline;
  logEvent(Out, "stopping",
           {{"reason", std::string(Reason)},
            {"time_left_ms", std::to_string(Limit)}});
  copyCallsToPeers(S, Out);
}

} // namespace endivewharf
