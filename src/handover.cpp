// Stops the process gracefully. The record of a completion goes to two peers,
// preferably in other zones. Its caller is redirected to another process only
// after one of the peers has acknowledged the record.
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

constexpr Millis HandoverLeadTime = 1500;     // ms before the stop deadline
constexpr Millis HandoverRetryInterval = 300; // ms without an acknowledgement
constexpr Millis LocateTimeout = 1500;        // ms to wait for a peer's record
constexpr std::size_t HandoverCopies = 2;     // peers that get a record
constexpr Millis DrainPartsPerMargin = 4;     // most that is kept in reserve

/// @return completions of this process that are not being located at peers,
///   interactive ones first, then in the order of their numbers
std::vector<CallId> localCompletions(const State &S) {
  std::vector<CallId> Ids;
  for (const auto &[Id, C] : S.Calls_)
    if (C.Request_.Kind_ == CallKind::Completion &&
        C.Phase_ != CallPhase::Locating)
      Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end(), [&](CallId A, CallId B) {
    const Priority PriorityA = S.Calls_.at(A).Request_.Priority_;
    const Priority PriorityB = S.Calls_.at(B).Request_.Priority_;
    return std::pair(PriorityA, A) < std::pair(PriorityB, B);
  });
  return Ids;
}

/// Sends a call's record to the next peers in the order of
/// takeoverCandidates(). Each retry uses the peers that follow.
void sendRecordToPeers(State &S, Call &C, Effects &Out) {
  const std::vector<std::string> Peers = takeoverCandidates(S);
  for (std::size_t I = 0; I < std::min(HandoverCopies, Peers.size()); ++I) {
    const std::size_t PeerIndex =
        (static_cast<std::size_t>(C.PeersAsked_) + I) % Peers.size();
    Out.push_back(
        SendToPeer{Peers[PeerIndex], HandoverMessage{makeCallRecord(C)}});
  }
  C.PeersAsked_ += static_cast<int>(HandoverCopies);
  C.HandoverSentAt_ = S.Now_;
}

/// Stops a call's attempt, so that the record contains everything that the
/// caller has received, and sends the record.
void beginHandover(State &S, Call &C, Effects &Out) {
  cancelAttempts(S, C, Out);
  C.Phase_ = CallPhase::HandingOver;
  C.PeersAsked_ = 0;
  sendRecordToPeers(S, C, Out);
}

/// Begins the handover of all completions, and sends the records again that
/// were not acknowledged in time.
void handOverCompletions(State &S, Effects &Out) {
  for (const CallId Id : localCompletions(S)) {
    Call &C = S.Calls_.at(Id);
    if (C.Phase_ != CallPhase::HandingOver)
      beginHandover(S, C, Out);
    else if (S.Now_ - C.HandoverSentAt_ > HandoverRetryInterval)
      sendRecordToPeers(S, C, Out);
  }
}

/// @return time for a planned stop, in ms: the drain time without its reserve.
///   Of a short one a part is left, whatever reserve is set.
Millis ownStopTime(const State &S) {
  const LimitSettings &Limits = S.Settings_.Limits_;
  return Limits.DrainTimeout_ -
         std::min(Limits.DrainMargin_,
                  Limits.DrainTimeout_ / DrainPartsPerMargin);
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

void onHandover(State &S, const std::string &From,
                const HandoverMessage &Message, Effects &Out) {
  retainRecord(S, Message.Record_);
  incrementCounter(S, "records_taken_over");
  Out.push_back(
      SendToPeer{From, HandoverAckMessage{Message.Record_.RequestId_}});
}

void onHandoverAck(State &S, const HandoverAckMessage &Message, Effects &Out) {
  const auto Found = S.CallByRequestId_.find(Message.RequestId_);
  if (Found == S.CallByRequestId_.end())
    return;
  Call &C = S.Calls_.at(Found->second);
  if (C.Phase_ != CallPhase::HandingOver)
    return; // acknowledges a copy that was sent before the handover
  incrementCounter(S, "handed_over");
  logEvent(
      Out, "handed_over",
      {{"request", C.RequestId_}, {"tokens", std::to_string(C.NextIndex_)}});
  Out.push_back(RedirectStream{C.Id_, C.NextIndex_});
  removeCall(S, C.Id_);
}

void onFindCall(State &S, const std::string &From,
                const FindCallMessage &Message, Effects &Out) {
  FoundCallMessage Answer{Message.RequestId_, false, {}};
  const auto Running = S.CallByRequestId_.find(Message.RequestId_);
  if (Running != S.CallByRequestId_.end()) {
    Call &C = S.Calls_.at(Running->second);
    if (C.Request_.Kind_ == CallKind::Completion &&
        C.Phase_ != CallPhase::Locating) {
      // The caller has reconnected to another process, so its connection to
      // this one is dead.
      onCallerDisconnected(S, {C.Id_}, Out);
    }
  }
  const auto Retained = S.Retained_.ById_.find(Message.RequestId_);
  if (Retained != S.Retained_.ById_.end()) {
    Answer.Retained_ = true;
    Answer.Record_ = Retained->second;
  }
  Out.push_back(SendToPeer{From, std::move(Answer)});
}

void onFoundCall(State &S, const FoundCallMessage &Message, Effects &Out) {
  const auto Found = S.CallByRequestId_.find(Message.RequestId_);
  if (Found == S.CallByRequestId_.end())
    return;
  Call &C = S.Calls_.at(Found->second);
  if (C.Phase_ != CallPhase::Locating)
    return;
  if (Message.Retained_) {
    resumeFromRecord(S, C, Message.Record_, Out);
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
  for (const auto &[Name, Peer] : S.Membership_.Peers_) {
    if (!Peer.Alive_)
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
  const bool IsShortStop =
      S.StopDeadline_ - S.StopStartedAt_ < 2 * HandoverLeadTime;
  const Millis UnreadyPeriod =
      IsShortStop ? 0 : S.Settings_.Limits_.UnreadyPeriod_;
  if (!S.ListenerClosed_ && S.Now_ - S.StopStartedAt_ >= UnreadyPeriod) {
    S.ListenerClosed_ = true;
    releaseLease(S);
    Out.push_back(CloseListener{});
  }
  if (S.Now_ >= S.StopDeadline_ - HandoverLeadTime)
    handOverCompletions(S, Out);
  if (S.Now_ >= S.StopDeadline_)
    refuseRemainingCalls(S, Out);
  const bool LogFlushed =
      S.Log_.Outbox_.empty() && S.Log_.PendingAppendId_ == 0;
  const bool Idle = S.Calls_.empty() && S.ListenerClosed_;
  if (Idle && (LogFlushed || S.Now_ >= S.StopDeadline_)) {
    S.Stage_ = Stage::Stopped;
    logEvent(Out, "stopped", {});
    Out.push_back(ExitProcess{});
  }
}

void beginStop(State &S, Millis TimeLeft, std::string_view Reason,
               Effects &Out) {
  const Millis Limit = TimeLeft > 0 ? TimeLeft : ownStopTime(S);
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
