// Request life cycle. A completion may be tried again anywhere, from the last
// token on; a call that may not be repeated is sent again only while no
// upstream can have acted on it.
#include "calls.h"

#include "admission.h"
#include "claims.h"
#include "core.h"
#include "handover.h"
#include "release.h"
#include "router.h"
#include "upstreams.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr int MaxAttempts = 8;          // per call
constexpr int MaxQueueScan = 4;         // calls looked at per account
constexpr int MaxDispatchPerEvent = 64; // calls
constexpr Millis HoldTime = 60000;      // ms a record is kept
constexpr std::size_t MaxHeld = 2000;   // records
constexpr double MovingAverageShare = 0.1;

Call *findCall(State &S, CallId Id) {
  const auto Found = S.Calls_.find(Id);
  return Found == S.Calls_.end() ? nullptr : &Found->second;
}

bool isUnrepeatableCall(const State &S, const Call &C) {
  if (C.Request_.Kind_ != CallKind::Service)
    return false;
  const auto Found = S.Config_.Value_.Services_.find(C.Request_.Route_);
  return Found != S.Config_.Value_.Services_.end() &&
         isUnrepeatable(Found->second, C.Request_.Method_, C.Request_.Path_);
}

std::optional<CallError> checkTarget(const State &S, const Call &C) {
  const Configuration &Config = S.Config_.Value_;
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
                     "this process has not learnt its configuration yet", 500};
  const auto &Accounts = S.Config_.Value_.AccountsByKey_;
  const auto Account = Accounts.find(C.Request_.ApiKey_);
  if (Account == Accounts.end())
    return CallError{ErrorKind::BadKey, RunState::NotRun,
                     "no account has this key", 0};
  C.Account_ = Account->second.Name_;
  if (auto Error = checkTarget(S, C))
    return Error;
  if (S.CallByRequestId_.count(C.RequestId_) > 0)
    return CallError{ErrorKind::BadRequest, RunState::NotRun,
                     "a request with this ID is under way", 0};
  return checkAdmission(S, C, Account->second);
}

std::string newRequestId(State &S) {
  return fmt::format("{}-{:x}-{:x}", S.Self_.Name_, S.Self_.Incarnation_,
                     S.NextRequest_++);
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
  New.Blocks_ = prefixBlocks(Request.Prompt_);
  return New;
}

std::uint64_t fingerprint(const CallRequest &Request) {
  const std::string Whole =
      fmt::format("{}\n{}\n{}\n{}", Request.ApiKey_, Request.Method_,
                  Request.Path_, Request.Body_);
  return XXH3_64bits(Whole.data(), Whole.size());
}

/// Version for the next attempt: the old one, or the new one when it is due.
struct VersionChoice {
  std::string Version_;
  bool New_ = false;
  LogOffset Note_ = NoOffset;
};

VersionChoice chooseVersion(State &S, const Call &C) {
  if (C.Request_.Kind_ == CallKind::Service)
    return {};
  const std::string &Model = C.Request_.Model_;
  const std::string &Configured = S.Config_.Value_.Models_.at(Model).Version_;
  const auto Found = S.Release_.Moves_.find(Model);
  if (Found == S.Release_.Moves_.end())
    return {Configured, false, NoOffset};
  const Move &M = Found->second;
  if (!C.AvoidNewVersion_ && isNewVersionDue(S, M))
    return {M.Row_.To_, true, M.Row_.Note_};
  return {M.Row_.From_, false, M.Row_.Note_};
}

void startAttempt(State &S, Call &C, int Index, const VersionChoice &Choice,
                  Effects &Out) {
  Upstream &U = S.Upstreams_[Index];
  ++U.InFlight_;
  const bool Batch = C.Request_.Priority_ == Priority::Batch;
  U.BatchInFlight_ += Batch ? 1 : 0;
  Attempt New;
  New.Batch_ = Batch;
  New.Call_ = C.Id_;
  New.Upstream_ = Index;
  New.Version_ = Choice.Version_;
  New.NewVersion_ = Choice.New_;
  New.Note_ = Choice.Note_;
  New.StartedAt_ = S.Now_;
  New.LastProgressAt_ = S.Now_;
  const AttemptId Id = S.NextAttempt_++;
  S.Attempts_[Id] = New;
  C.Attempt_ = Id;
  ++C.Attempts_;
  ++C.Uncertain_;
  C.Phase_ = CallPhase::Running;
  if (C.DispatchedAt_ == 0)
    C.DispatchedAt_ = S.Now_;
  count(S, "attempts");
  rememberPrefix(S, C.Blocks_, Index);

  const bool Service = C.Request_.Kind_ == CallKind::Service;
  const LimitSettings &Limits = S.Settings_.Limits_;
  StartAttempt Start;
  Start.Attempt_ = Id;
  Start.Kind_ = C.Request_.Kind_;
  Start.Address_ = U.Row_.Address_;
  Start.RequestId_ = C.RequestId_;
  Start.Model_ = C.Request_.Model_;
  Start.Version_ = Choice.Version_;
  Start.Route_ = C.Request_.Route_;
  Start.Body_ = C.Request_.Body_;
  Start.Delivered_ = C.Text_;
  Start.NextIndex_ = C.NextIndex_;
  Start.Priority_ = C.Request_.Priority_;
  Start.Method_ = C.Request_.Method_;
  Start.Path_ = C.Request_.Path_;
  Start.ContentType_ = C.Request_.ContentType_;
  Start.IdempotencyKey_ = C.Request_.IdempotencyKey_;
  Start.FirstByteLimit_ =
      Service ? Limits.ServiceLimit_ : Limits.FirstTokenLimit_;
  Start.ProgressLimit_ = Limits.ProgressLimit_;
  // A reused connection may turn out to be dead only after the request was
  // written; a call that may not be repeated never risks that.
  Start.FreshConnection_ = C.FreshConnection_ || isUnrepeatableCall(S, C);
  C.FreshConnection_ = false;
  Out.push_back(std::move(Start));
}

/// Places one waiting call, if an upstream has room.
bool tryPlace(State &S, Call &C, Effects &Out) {
  VersionChoice Choice = chooseVersion(S, C);
  int Index = pickUpstream(S, C, Choice.Version_);
  if (Index < 0 && Choice.New_) {
    Choice = {S.Release_.Moves_.at(C.Request_.Model_).Row_.From_, false,
              Choice.Note_};
    Index = pickUpstream(S, C, Choice.Version_);
  }
  if (Index < 0 && !C.TriedUpstreams_.empty()) {
    // Everything was tried once: a second round is better than none.
    C.TriedUpstreams_.clear();
    Index = pickUpstream(S, C, Choice.Version_);
  }
  if (Index < 0)
    return false;
  if (C.Request_.Kind_ == CallKind::Completion)
    noteVersionChosen(S, C.Request_.Model_, Choice.New_);
  dequeue(S, C);
  noteServed(S, C);
  startAttempt(S, C, Index, Choice, Out);
  return true;
}

bool placeOneOf(State &S, Priority Which, Effects &Out) {
  const std::size_t Queue = static_cast<std::size_t>(Which);
  for (const std::string &Name : accountsByTurn(S, Which)) {
    const auto &Waiting = S.Admission_.Accounts_[Name].Queues_[Queue];
    const std::size_t Scan =
        std::min<std::size_t>(Waiting.size(), MaxQueueScan);
    const std::vector<CallId> Heads(
        Waiting.begin(), Waiting.begin() + static_cast<std::ptrdiff_t>(Scan));
    for (const CallId Id : Heads)
      if (tryPlace(S, S.Calls_.at(Id), Out))
        return true;
  }
  return false;
}

struct TakenAttempt {
  Attempt Attempt_;
  Call *Call_ = nullptr;
};

/// Ends an attempt's bookkeeping. A late answer of an attempt that was given
/// up finds nothing and is dropped.
std::optional<TakenAttempt> takeAttempt(State &S, AttemptId Id) {
  const auto Found = S.Attempts_.find(Id);
  if (Found == S.Attempts_.end()) {
    count(S, "stale_answers");
    return std::nullopt;
  }
  TakenAttempt Taken{Found->second, findCall(S, Found->second.Call_)};
  S.Attempts_.erase(Found);
  Upstream &U = S.Upstreams_[Taken.Attempt_.Upstream_];
  U.InFlight_ = std::max(0, U.InFlight_ - 1);
  U.BatchInFlight_ -= Taken.Attempt_.Batch_ ? 1 : 0;
  if (Taken.Call_ != nullptr)
    Taken.Call_->Attempt_ = 0;
  return Taken;
}

void startStreamIfNeeded(Call &C, Effects &Out) {
  if (!C.Request_.Stream_ || C.StreamStarted_)
    return;
  C.StreamStarted_ = true;
  Out.push_back(StartStream{C.Id_, C.RequestId_, C.Request_.Model_});
}

std::string_view tokenText(const Call &C, std::int64_t Index) {
  const std::size_t I = static_cast<std::size_t>(Index);
  const std::size_t Begin = I == 0 ? 0 : C.TokenEnds_[I - 1];
  return std::string_view(C.Text_).substr(Begin, C.TokenEnds_[I] - Begin);
}

/// Sends tokens that are known and that the caller lacks.
void replayTokens(Call &C, Effects &Out) {
  startStreamIfNeeded(C, Out);
  for (std::int64_t I = C.SendFrom_; I < C.NextIndex_; ++I)
    Out.push_back(SendToken{C.Id_, I, std::string(tokenText(C, I))});
  C.SendFrom_ = std::max(C.SendFrom_, C.NextIndex_);
}

/// Sends a finished completion's end, or the whole of it.
void finishCompletion(State &S, Call &C, Effects &Out) {
  startStreamIfNeeded(C, Out);
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
  if (C.Attempts_ >= MaxAttempts || (Budgeted && !takeRetry(S))) {
    refuse(S, C,
           {ErrorKind::UpstreamFailed, runStateOf(S, C), E.Detail_,
            retryAfter(S, C.Request_.Priority_)},
           Out);
    return;
  }
  count(S, "retries");
  C.Phase_ = CallPhase::Queued;
  enqueue(S, C, true);
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
  const bool Untouched = E.Failure_ == AttemptFailure::NotSent ||
                         E.Failure_ == AttemptFailure::Refused;
  if (!Untouched && isUnrepeatableCall(S, C)) {
    failUnrepeatable(S, C, E, Out);
    return;
  }
  C.TriedUpstreams_.insert(A.Upstream_);
  C.FreshConnection_ = !Untouched;
  if (C.Attempts_ >= MaxAttempts || (!Untouched && !takeRetry(S))) {
    refuse(S, C,
           {ErrorKind::UpstreamFailed, runStateOf(S, C), E.Detail_,
            retryAfter(S, C.Request_.Priority_)},
           Out);
    return;
  }
  count(S, "retries");
  C.Phase_ = CallPhase::Queued;
  enqueue(S, C, true);
}

/// Gives up a live completion here and keeps its record.
CallRecord detach(State &S, Call &C, Effects &Out) {
  cancelAttempt(S, C, Out);
  CallRecord Record = recordOf(C);
  holdRecord(S, Record);
  forgetCall(S, C.Id_);
  return Record;
}

void expireHeld(State &S) {
  auto &Order = S.Held_.Order_;
  while (!Order.empty() &&
         (S.Now_ - Order.front().first > HoldTime || Order.size() > MaxHeld)) {
    S.Held_.ById_.erase(Order.front().second);
    Order.pop_front();
  }
}

} // namespace

RunState runStateOf(const State &S, const Call &C) {
  if (C.Request_.Kind_ == CallKind::Completion && C.NextIndex_ > 0)
    return RunState::Run;
  if (C.Uncertain_ > 0)
    return RunState::Unknown;
  if (C.Request_.IdempotencyKey_.empty() || !isUnrepeatableCall(S, C))
    return RunState::NotRun;
  return keyRunState(S, C);
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

void onRequestArrived(State &S, const RequestArrived &E, Effects &Out) {
  count(S, "requests");
  Call New = makeCall(S, E.Call_, E.Request_);
  if (auto Error = checkCall(S, New)) {
    // Another process may have run the call's key: a refusal for want of room
    // or readiness can't tell. One for the request's own fault can.
    const bool OwnFault = httpStatus(Error->Kind_) < 429;
    if (!OwnFault && !New.Request_.IdempotencyKey_.empty())
      Error->Run_ = keyRunState(S, New);
    count(S, "refused");
    remember(S, New.RequestId_, fmt::format("refused: {}", Error->Detail_));
    Out.push_back(RefuseCall{E.Call_, New.RequestId_, *Error});
    return;
  }
  ++S.Admission_.Accounts_[New.Account_].InFlight_;
  S.CallByRequestId_[New.RequestId_] = E.Call_;
  Call &C = S.Calls_.emplace(E.Call_, std::move(New)).first->second;
  if (isUnrepeatableCall(S, C) && !C.Request_.IdempotencyKey_.empty()) {
    C.Fingerprint_ = fingerprint(C.Request_);
    beginClaim(S, C, Out);
    return;
  }
  enqueue(S, C, false);
  dispatchWaiting(S, Out);
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
  ++S.Admission_.Accounts_[New.Account_].InFlight_;
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
    replayTokens(C, Out);
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
  C->CallerPresent_ = false;
  // A call that may not be repeated runs to its end: its outcome is what a
  // caller who asks again with the same key gets.
  if (isUnrepeatableCall(S, *C) && C->Phase_ == CallPhase::Running)
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

void onAttemptToken(State &S, const AttemptToken &E, Effects &Out) {
  const auto Found = S.Attempts_.find(E.Attempt_);
  if (Found == S.Attempts_.end()) {
    count(S, "stale_answers");
    return;
  }
  Attempt &A = Found->second;
  Call &C = S.Calls_.at(A.Call_);
  A.LastProgressAt_ = S.Now_;
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
  startStreamIfNeeded(C, Out);
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
      E.Failure_ == AttemptFailure::Refused)
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
  if (C.Request_.Kind_ == CallKind::Completion) {
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

void onServiceReply(State &S, const ServiceReply &E, Effects &Out) {
  const auto Taken = takeAttempt(S, E.Attempt_);
  if (!Taken)
    return;
  noteAttemptOk(S, Taken->Attempt_.Upstream_);
  Call &C = *Taken->Call_;
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

void answerService(State &S, Call &C, const ClaimDoneRecord &Outcome,
                   bool Replayed, Effects &Out) {
  count(S, "answered");
  noteAnswered(S, C);
  Out.push_back(ReplyService{C.Id_, C.RequestId_, Outcome.Status_,
                             Outcome.ContentType_, Outcome.Body_, Replayed});
  forgetCall(S, C.Id_);
}

void releaseToQueue(State &S, Call &C, Effects &Out) {
  C.Phase_ = CallPhase::Queued;
  enqueue(S, C, false);
  dispatchWaiting(S, Out);
}

void dispatchWaiting(State &S, Effects &Out) {
  for (int I = 0; I < MaxDispatchPerEvent; ++I) {
    const Priority First = nextPriority(S);
    const Priority Second =
        First == Priority::Batch ? Priority::Interactive : Priority::Batch;
    if (!placeOneOf(S, First, Out) && !placeOneOf(S, Second, Out))
      return;
  }
}

void cancelAttempt(State &S, Call &C, Effects &Out) {
  if (C.Attempt_ == 0)
    return;
  Out.push_back(CancelAttempt{C.Attempt_});
  takeAttempt(S, C.Attempt_);
}

void forgetCall(State &S, CallId Id) {
  const auto Found = S.Calls_.find(Id);
  if (Found == S.Calls_.end())
    return;
  Call &C = Found->second;
  dequeue(S, C);
  noteEnded(S, C);
  S.Claims_.Waiting_.erase(C.ClaimId_);
  const auto ById = S.CallByRequestId_.find(C.RequestId_);
  if (ById != S.CallByRequestId_.end() && ById->second == Id)
    S.CallByRequestId_.erase(ById);
  S.Calls_.erase(Found);
}

void refuse(State &S, Call &C, CallError Error, Effects &Out) {
  cancelAttempt(S, C, Out);
  abandonClaim(S, C);
  count(S, "refused");
  remember(S, C.RequestId_,
           fmt::format("refused: {} {}", name(Error.Kind_), Error.Detail_));
  logWarning(Out, "refused",
             {{"request", C.RequestId_},
              {"error", std::string(name(Error.Kind_))},
              {"run", std::string(name(Error.Run_))},
              {"detail", Error.Detail_}});
  Out.push_back(RefuseCall{C.Id_, C.RequestId_, std::move(Error)});
  forgetCall(S, C.Id_);
}

void tickCalls(State &S, Effects &Out) {
  expireHeld(S);
  std::vector<CallId> Late;
  for (const auto &[Id, C] : S.Calls_)
    if (S.Now_ >= C.Deadline_)
      Late.push_back(Id);
  std::sort(Late.begin(), Late.end());
  for (const CallId Id : Late) {
    Call &C = S.Calls_.at(Id);
    const CallError Error{ErrorKind::TimeLimit, runStateOf(S, C),
                          "the request's time limit has passed",
                          retryAfter(S, C.Request_.Priority_)};
    if (C.Attempt_ != 0 && isUnrepeatableCall(S, C)) {
      // The reply is still wanted for the call's key: only the caller is told
      // that the time is up. The service limit ends the attempt.
      Out.push_back(RefuseCall{C.Id_, C.RequestId_, Error});
      C.CallerPresent_ = false;
      C.Deadline_ = std::numeric_limits<Millis>::max();
      continue;
    }
    refuse(S, C, Error, Out);
  }
  dispatchWaiting(S, Out);
}

} // namespace endivewharf
