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
/// Processes, in the order in which they would own a suspect, that are told of
/// a single break: one of them may end or be cut off.
constexpr std::size_t ObserverCount = 3;

std::uint64_t ownerRank(std::uint64_t Key, const std::string &Process) {
  return XXH3_64bits_withSeed(Process.data(), Process.size(),
                              Key ^ OwnerRankSeed);
}

bool isResponsive(const State &S, const std::string &Peer) {
  const auto Found = S.Suspicion_.UnresponsiveUntil_.find(Peer);
  return Found == S.Suspicion_.UnresponsiveUntil_.end() ||
         S.Now_ >= Found->second;
}

/// @return names of the processes that may own a suspect; the first one does
std::vector<std::string> trialOwners(const State &S, std::uint64_t Key,
                                     std::size_t Count) {
  std::vector<std::pair<std::uint64_t, std::string>> Ranked;
  if (S.Stage_ == Stage::Serving)
    Ranked.emplace_back(ownerRank(Key, S.Self_.Name_), S.Self_.Name_);
  for (const auto &[Name, Peer] : S.Membership_.Peers_)
    if (Peer.Alive_ && !Peer.Row_.Draining_ && isResponsive(S, Name))
      Ranked.emplace_back(ownerRank(Key, Name), Name);
  std::sort(Ranked.rbegin(), Ranked.rend());
  Ranked.resize(std::min(Ranked.size(), Count));
  std::vector<std::string> Names;
  for (auto &[Rank, Name] : Ranked)
    Names.push_back(std::move(Name));
  return Names;
}

/// @return name of the process that permits a suspect's trials
std::string trialOwner(const State &S, std::uint64_t Key) {
  const std::vector<std::string> Owners = trialOwners(S, Key, 1);
  return Owners.empty() ? S.Self_.Name_ : Owners.front();
}

/// Decides as a suspect's owner on a trial.
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
  logEvent(Out, "trial",
           {{"request", C.RequestId_},
            {"key", fmt::format("{:x}", suspectKeyOf(S, C))},
            {"owner", C.TrialOwner_},
            {"asked_ms", std::to_string(S.Now_ - C.TrialAskedAt_)},
            {"granted", Granted ? "yes" : "no"}});
}

/// Refuses a call because of what it carries.
void refuseCarrier(State &S, Call &C, CallError Error, Effects &Out) {
  Error.RunState_ = runStateOf(S, C);
  if (Error.RunState_ != RunState::NotRun) {
    Error.Kind_ = ErrorKind::UpstreamFailed;
    Error.RetryAfter_ = 0;
  }
  refuseCall(S, C, std::move(Error), Out);
}

void refuseTrial(State &S, Call &C, Effects &Out) {
  const bool OfRequest = suspectKeyOf(S, C) == C.RequestKey_;
  incrementCounter(S, OfRequest ? "refused_request_on_trial"
                                : "refused_part_on_trial");
  refuseCarrier(
      S, C,
      {OfRequest ? ErrorKind::RequestOnTrial : ErrorKind::PartOnTrial,
       RunState::NotRun,
       OfRequest ? "the request may end upstreams and is being tried"
                 : "a part of the prompt may end upstreams and is being tried",
       DeniedRetryAfter, ""},
      Out);
}

void askOwner(State &S, Call &C, std::uint64_t Key, const std::string &Owner) {
  C.Phase_ = CallPhase::AwaitingTrial;
  C.TrialOwner_ = Owner;
  C.TrialAskedAt_ = S.Now_;
  ++C.TrialRequests_;
  incrementCounter(S, "trial_requests");
  S.Suspicion_.TrialOutbox_[Owner].Requests_.push_back({Key, C.Id_});
}

/// Tells a trial's owner that it is over.
void sendEnd(State &S, const std::string &Owner, TrialEndRow Row) {
  if (Owner == S.Self_.Name_)
    S.Suspicion_.Trials_.erase(keyOf(Row.Name_));
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
      sendEnd(S, From.Name_, {PartName{Row.Key_, "", ""}, false, 0, 0, 0});
    return;
  }
  if (Row.Granted_) {
    startTrial(S, *C, Row.Key_, Out);
    return;
  }
  logTrial(S, *C, false, Out);
  refuseTrial(S, *C, Out);
}

/// Merges a break that a peer has reported, or tells it what is cleared.
void onReportedBreak(State &S, const InstanceId &From, const TrialEndRow &Row,
                     Effects &Out) {
  FactsMessage Facts;
  Facts.Breaks_.push_back(
      {Row.Name_, Row.UpstreamHash_, Row.TrialId_, Row.RequestKey_});
  mergeSuspectFacts(S, From.Name_, Facts, Out);
}

} // namespace

bool admitSuspect(State &S, Call &C, Effects &Out) {
  if (C.RequestKey_ == 0)
    return true;
  if (auto Error = checkBlocked(S, C)) {
    refuseCarrier(S, C, std::move(*Error), Out);
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
          {PartName{std::exchange(C.TrialKey_, 0), "", ""}, false, 0, 0, 0});
}

void endBrokenTrial(State &S, Call &C, const SuspectName &Name,
                    std::uint32_t UpstreamHash, std::uint32_t TrialId) {
  C.TrialKey_ = 0;
  sendEnd(S, C.TrialOwner_, {Name, true, UpstreamHash, TrialId, C.RequestKey_});
}

void reportBreak(State &S, const BreakRow &Row) {
  for (const std::string &Observer :
       trialOwners(S, keyOf(Row.Name_), ObserverCount))
    if (Observer != S.Self_.Name_)
      S.Suspicion_.TrialOutbox_[Observer].Ends_.push_back(
          {Row.Name_, true, Row.UpstreamHash_, Row.TrialId_, Row.RequestKey_});
}

void onTrialMessage(State &S, const InstanceId &From,
                    const TrialMessage &Message, Effects &Out) {
  S.Suspicion_.UnresponsiveUntil_.erase(From.Name_);
  for (const TrialEndRow &Row : Message.Ends_) {
    const bool IsReport = Row.Broken_ && Row.TrialId_ == 0;
    const auto Running = S.Suspicion_.Trials_.find(keyOf(Row.Name_));
    if (!IsReport && Running != S.Suspicion_.Trials_.end() &&
        Running->second.Origin_ == From)
      S.Suspicion_.Trials_.erase(Running);
    if (Row.Broken_)
      onReportedBreak(S, From, Row, Out);
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
    logWarning(Out, "trial_unanswered", {{"owner", C.TrialOwner_}});
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
