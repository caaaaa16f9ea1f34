#include "trials.h"

#include "admission.h"
#include "calls.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "suspects.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr Millis TrialTimeout = 3000;       // ms until a trial counts as lost
constexpr Millis RequestTimeout = 300;      // ms without an answer
constexpr Millis UnresponsivePeriod = 2000; // ms in which a peer is not asked
constexpr int MaxRequestsPerCall = 2;
constexpr Millis DeniedRetryAfter = 500; // ms; most trials are over by then
constexpr std::uint64_t OwnerRankSeed = 10;

std::uint64_t ownerRank(std::uint64_t Key, const std::string &Process) {
  return XXH3_64bits_withSeed(Process.data(), Process.size(),
                              Key ^ OwnerRankSeed);
}

bool isResponsive(const State &S, const std::string &Peer) {
  const auto Found = S.Suspicion_.UnresponsiveUntil_.find(Peer);
  return Found == S.Suspicion_.UnresponsiveUntil_.end() ||
         S.Now_ >= Found->second;
}

/// @return name of the process that permits a part's trials
std::string trialOwner(const State &S, std::uint64_t Key) {
  std::string Owner = S.Self_.Name_;
  std::uint64_t Highest =
      S.Stage_ == Stage::Serving ? ownerRank(Key, Owner) : 0;
  for (const auto &[Name, Peer] : S.Membership_.Peers_) {
    const std::uint64_t Rank = ownerRank(Key, Name);
    if (!Peer.Alive_ || Peer.Row_.Draining_ || !isResponsive(S, Name) ||
        Rank <= Highest)
      continue;
    Highest = Rank;
    Owner = Name;
  }
  return Owner;
}

/// Decides as a part's owner on a trial.
bool permitTrial(State &S, std::uint64_t Key, const InstanceId &Origin,
                 CallId Id) {
  if (isBlockedAlone(S, Key))
    return false;
  if (isCleared(S, Key))
    return true;
  const auto Running = S.Suspicion_.Trials_.find(Key);
  if (Running != S.Suspicion_.Trials_.end() &&
      S.Now_ - Running->second.StartedAt_ < TrialTimeout)
    return false;
  S.Suspicion_.Trials_[Key] = {Origin, Id, S.Now_};
  return true;
}

void logTrial(const State &S, const Call &C, bool Granted, Effects &Out) {
  logEvent(Out, "part_trial",
           {{"request", C.RequestId_},
            {"key", fmt::format("{:x}", suspectKeyOf(S, C))},
            {"owner", C.TrialOwner_},
            {"asked_ms", std::to_string(S.Now_ - C.TrialAskedAt_)},
            {"granted", Granted ? "yes" : "no"}});
}

/// Refuses a call because of a part of its prompt.
void refusePrompt(State &S, Call &C, ErrorKind Kind, std::string Detail,
                  Millis RetryAfter, Effects &Out) {
  const RunState Run = runStateOf(S, C);
  const bool NotRun = Run == RunState::NotRun;
  refuseCall(S, C,
             {NotRun ? Kind : ErrorKind::UpstreamFailed, Run, std::move(Detail),
              NotRun ? RetryAfter : 0},
             Out);
}

void refuseTrial(State &S, Call &C, Effects &Out) {
  incrementCounter(S, "refused_part_on_trial");
  refusePrompt(S, C, ErrorKind::PartOnTrial,
               "a part of the prompt may end upstreams and is being tried",
               DeniedRetryAfter, Out);
}

void askOwner(State &S, Call &C, std::uint64_t Key, const std::string &Owner) {
  C.Phase_ = CallPhase::AwaitingTrial;
  C.TrialOwner_ = Owner;
  C.TrialAskedAt_ = S.Now_;
  ++C.TrialRequests_;
  incrementCounter(S, "part_trial_requests");
  S.Suspicion_.TrialOutbox_[Owner].Requests_.push_back({Key, C.Id_});
}

/// Tells a trial's owner that it is over.
void sendEnd(State &S, const std::string &Owner, TrialEndRow Row) {
  if (Owner == S.Self_.Name_)
    S.Suspicion_.Trials_.erase(Row.Part_.Key_);
  else if (!Owner.empty())
    S.Suspicion_.TrialOutbox_[Owner].Ends_.push_back(std::move(Row));
}

void startTrial(State &S, Call &C, std::uint64_t Key, Effects &Out) {
  logTrial(S, C, true, Out);
  C.TrialKey_ = Key;
  C.QueuedAt_ = S.Now_;
  C.Phase_ = CallPhase::Queued;
  enqueueCall(S, C, true);
  dispatchQueuedCalls(S, Out);
}

void onTrialAnswer(State &S, const InstanceId &From, const TrialAnswerRow &Row,
                   Effects &Out) {
  Call *C = findCall(S, Row.Call_);
  if (C == nullptr || C->Phase_ != CallPhase::AwaitingTrial ||
      C->TrialOwner_ != From.Name_) {
    if (Row.Granted_)
      sendEnd(S, From.Name_, {{Row.Key_, "", ""}, false, 0, 0});
    return;
  }
  if (Row.Granted_) {
    startTrial(S, *C, Row.Key_, Out);
    return;
  }
  logTrial(S, *C, false, Out);
  refuseTrial(S, *C, Out);
}

} // namespace

bool admitSuspect(State &S, Call &C, Effects &Out) {
  if (C.SharedPartKeys_.empty())
    return true;
  if (auto Error = checkBlocked(S, C)) {
    refusePrompt(S, C, Error->Kind_, std::move(Error->Detail_), 0, Out);
    return false;
  }
  if (C.TrialKey_ != 0)
    return true;
  const std::uint64_t Key = suspectKeyOf(S, C);
  if (Key == 0)
    return true;
  const std::string Owner = trialOwner(S, Key);
  if (Owner != S.Self_.Name_) {
    dequeueCall(S, C);
    C.TrialRequests_ = 0;
    askOwner(S, C, Key, Owner);
    return false;
  }
  C.TrialOwner_ = Owner;
  C.TrialAskedAt_ = S.Now_;
  const bool Granted = permitTrial(S, Key, S.Self_, C.Id_);
  logTrial(S, C, Granted, Out);
  if (!Granted) {
    refuseTrial(S, C, Out);
    return false;
  }
  C.TrialKey_ = Key;
  return true;
}

void endTrial(State &S, Call &C) {
  if (C.TrialKey_ == 0)
    return;
  sendEnd(S, C.TrialOwner_,
          {{std::exchange(C.TrialKey_, 0), "", ""}, false, 0, 0});
}

void endBrokenTrial(State &S, Call &C, const PartName &Part,
                    std::uint32_t UpstreamHash, std::uint32_t TrialId) {
  C.TrialKey_ = 0;
  sendEnd(S, C.TrialOwner_, {Part, true, UpstreamHash, TrialId});
}

void onTrialMessage(State &S, const InstanceId &From,
                    const TrialMessage &Message, Effects &Out) {
  S.Suspicion_.UnresponsiveUntil_.erase(From.Name_);
  for (const TrialEndRow &Row : Message.Ends_) {
    const auto Running = S.Suspicion_.Trials_.find(Row.Part_.Key_);
    if (Running != S.Suspicion_.Trials_.end() &&
        Running->second.Origin_ == From)
      S.Suspicion_.Trials_.erase(Running);
    if (Row.Broken_)
      mergeBreak(S, {Row.Part_, Row.UpstreamHash_, Row.TrialId_}, Out);
  }
  for (const TrialRequestRow &Row : Message.Requests_)
    S.Suspicion_.TrialOutbox_[From.Name_].Answers_.push_back(
        {Row.Key_, Row.Call_, permitTrial(S, Row.Key_, From, Row.Call_)});
  for (const TrialAnswerRow &Row : Message.Answers_)
    onTrialAnswer(S, From, Row, Out);
}

void tickTrials(State &S, Effects &Out) {
  std::erase_if(S.Suspicion_.Trials_, [&](const auto &Entry) {
    return S.Now_ - Entry.second.StartedAt_ >= TrialTimeout;
  });
  std::vector<CallId> Unanswered;
  for (const auto &[Id, C] : S.Calls_)
    if (C.Phase_ == CallPhase::AwaitingTrial &&
        S.Now_ - C.TrialAskedAt_ >= RequestTimeout)
      Unanswered.push_back(Id);
  std::sort(Unanswered.begin(), Unanswered.end());
  for (const CallId Id : Unanswered) {
    Call &C = S.Calls_.at(Id);
    logWarning(Out, "part_trial_unanswered", {{"owner", C.TrialOwner_}});
    S.Suspicion_.UnresponsiveUntil_[C.TrialOwner_] =
        S.Now_ + UnresponsivePeriod;
    const std::uint64_t Key = suspectKeyOf(S, C);
    const std::string Next = trialOwner(S, Key);
    if (C.TrialRequests_ >= MaxRequestsPerCall) {
      refuseTrial(S, C, Out);
    } else if (Next != S.Self_.Name_) {
      askOwner(S, C, Key, Next);
    } else {
      C.Phase_ = CallPhase::Queued;
      C.QueuedAt_ = S.Now_;
      enqueueCall(S, C, true);
    }
  }
}

void flushTrialMessages(State &S, Effects &Out) {
  for (auto &[Peer, Message] : S.Suspicion_.TrialOutbox_)
    Out.push_back(SendToPeer{Peer, std::move(Message)});
  S.Suspicion_.TrialOutbox_.clear();
}

} // namespace endivewharf
