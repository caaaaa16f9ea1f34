// Moves units of quotas between processes. Every row is either a grant or
// deposit of units that the sender has deducted from its own, or a request,
// which changes nothing until it is answered.
#include "quotaexchange.h"

#include "aggregators.h"
#include "calls.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "membership.h"
#include "quota.h"

#include <algorithm>
#include <vector>
#include <xxhash.h>

namespace endivewharf {

namespace {

// Time between deposits, in ms. Units on their way are not available to anyone;
// those of a whole group are forwarded sooner.
constexpr Millis MemberDepositPeriod = 500;
constexpr Millis AggregatorDepositPeriod = 250;
constexpr Millis RepaymentPeriod = 250; // ms between requests for an advance
// An aggregator whose summaries are older is not asked; it covers three of
// them.
constexpr Millis MaxHomeSilence = 800;      // ms
constexpr Millis RequestTimeout = 300;      // ms without an answer
constexpr Millis UnresponsivePeriod = 1000; // ms in which a peer is not asked
constexpr int MaxRequestsPerCall = 2;
// A request passes the aggregator and the account's home; a further hop means
// that they disagree on the home.
constexpr std::int64_t MaxHops = 2;
// Time for which further requests of at least the same size are refused without
// asking again.
constexpr Millis RefusalPeriod = 100;     // ms
constexpr std::uint64_t HomeRankSeed = 7; // hash seed for the choice

std::uint64_t homeRank(const std::string &Account, const std::string &Process) {
  const std::string Input = Account + "/" + Process;
  return XXH3_64bits_withSeed(Input.data(), Input.size(), HomeRankSeed);
}

bool isResponsive(const State &S, const std::string &Peer) {
  const auto Found = S.Quotas_.UnresponsiveUntil_.find(Peer);
  return Found == S.Quotas_.UnresponsiveUntil_.end() || S.Now_ >= Found->second;
}

/// @return true if a peer is an aggregator that has recently been heard from
bool mayBeHome(const State &S, const PeerState &Peer) {
  return Peer.Summary_.Scope_ == SummaryScope::Group &&
         Peer.SummaryReceivedAt_ >= 0 &&
         S.Now_ - Peer.SummaryReceivedAt_ <= MaxHomeSilence &&
         !Peer.Row_.Draining_;
}

/// Marks a peer that has left a request unanswered.
void markUnresponsive(State &S, const std::string &Peer, Effects &Out) {
  if (isResponsive(S, Peer))
    logWarning(Out, "quota_peer_unresponsive", {{"peer", Peer}});
  S.Quotas_.UnresponsiveUntil_[Peer] = S.Now_ + UnresponsivePeriod;
}

/// Accepts or refuses a call that has waited for units.
/// @param Granted units that a peer has granted for it
/// @param RetryAfter advice for the caller if it is refused, in ms; 0: none
void settleCall(State &S, Call &C, double Granted, Millis RetryAfter,
                Effects &Out) {
  const Account *A = limitedAccount(S, C.Account_);
  if (A != nullptr && !chargeWaitingCall(S, C, *A, Granted)) {
    refuseCall(S, C, quotaError(S, C, *A, RetryAfter), Out);
    return;
  }
  C.QueuedAt_ = S.Now_;
  enqueueAcceptedCall(S, C, Out);
}

/// Answers a request or passes it on.
/// @param From name of the peer that sent it
void answerRequest(State &S, const std::string &From, QuotaRequestRow Row) {
  QuotaGrantRow Grant{Row.Account_, 0, Row.Call_, Row.OriginHash_, 0};
  const Account *A = limitedAccount(S, Row.Account_);
  if (A == nullptr) {
    // The account has no limit in the configuration in force here.
    const auto &Accounts = S.Config_.Configuration_.AccountsByName_;
    Grant.Units_ = Accounts.count(Row.Account_) > 0 ? Row.Units_ : 0;
    S.Quotas_.Outbox_[From].Grants_.push_back(std::move(Grant));
    return;
  }
  QuotaState &Q = refilledQuota(S, *A);
  const std::string Next =
      Row.Hops_ < MaxHops ? quotaPeer(S, Row.Account_) : std::string();
  const bool IsHome = Next.empty() || Next == From;
  const bool Covered = Q.AvailableUnits_ >= Row.Units_;
  if (!IsHome && !Covered) {
    ++Row.Hops_;
    S.Quotas_.Outbox_[Next].Requests_.push_back(std::move(Row));
    return;
  }
  Grant.Units_ = takeQuotaUnits(S, Q, *A, Row.Units_, Row.Call_ == 0);
  if (Grant.Units_ <= 0)
    Grant.RetryAfter_ =
        static_cast<Millis>(std::max(0.0, Row.Units_ - Q.AvailableUnits_) *
                            1000 / A->RatePerSecond_);
  S.Quotas_.Outbox_[From].Grants_.push_back(std::move(Grant));
}

/// Applies a grant that was requested here.
void applyGrant(State &S, const QuotaGrantRow &Row, Effects &Out) {
  const Account *A = limitedAccount(S, Row.Account_);
  if (A != nullptr) {
    QuotaState &Q = refilledQuota(S, *A);
    // These units are no inflow: the sender has counted them.
    Q.AvailableUnits_ += Row.Units_;
    if (Row.Units_ <= 0 && Row.Call_ != 0)
      Q.RefusedUntil_ = S.Now_ + RefusalPeriod;
  }
  Call *C = Row.Call_ == 0 ? nullptr : findCall(S, Row.Call_);
  if (C == nullptr || C->Phase_ != CallPhase::AwaitingQuota ||
      C->Account_ != Row.Account_)
    return; // The units are deposited again.
  if (A != nullptr && Row.Units_ <= 0)
    S.Quotas_.Accounts_.at(Row.Account_).RefusedUnits_ = C->QuotaUnits_;
  settleCall(S, *C, Row.Units_, Row.RetryAfter_, Out);
}

/// Applies a grant or passes it on to the process that asked first.
void deliverGrant(State &S, const QuotaGrantRow &Row, Effects &Out) {
  if (Row.OriginHash_ != instanceHash(S.Self_)) {
    const auto &Names = S.Membership_.NameByInstanceHash_;
    const auto Origin = Names.find(Row.OriginHash_);
    if (Origin != Names.end() &&
        S.Membership_.Peers_.count(Origin->second) > 0) {
      S.Quotas_.Outbox_[Origin->second].Grants_.push_back(Row);
      return;
    }
  }
  applyGrant(S, Row, Out);
}

/// Sends an account's spare units to its quota peer, or asks it for those that
/// were used in advance.
void balanceAccount(State &S, const std::string &Name, const Account &A,
                    bool DepositDue) {
  QuotaState &Q = refilledQuota(S, A);
  const bool RepaymentDue =
      Q.AvailableUnits_ < 0 && S.Now_ - Q.RepaymentAskedAt_ >= RepaymentPeriod;
  if (!RepaymentDue && (!DepositDue || Q.AvailableUnits_ <= 0))
    return;
  const std::string Peer = quotaPeer(S, Name);
  if (Peer.empty())
    return;
  QuotaMessage &Message = S.Quotas_.Outbox_[Peer];
  if (RepaymentDue) {
    Q.RepaymentAskedAt_ = S.Now_;
    Message.Requests_.push_back(
        {Name, -Q.AvailableUnits_, 0, instanceHash(S.Self_), 0});
    return;
  }
  Message.Deposits_.push_back({Name, Q.AvailableUnits_});
  Q.AvailableUnits_ = 0;
}

/// Asks another peer for a call whose request was not answered, or decides by
/// the units here.
void settleUnansweredCalls(State &S, Effects &Out) {
  std::vector<CallId> Unanswered;
  for (const auto &[Id, C] : S.Calls_)
    if (C.Phase_ == CallPhase::AwaitingQuota &&
        S.Now_ - C.QuotaAskedAt_ >= RequestTimeout)
      Unanswered.push_back(Id);
  std::sort(Unanswered.begin(), Unanswered.end());
  for (const CallId Id : Unanswered) {
    Call &C = S.Calls_.at(Id);
    incrementCounter(S, "quota_requests_unanswered");
    markUnresponsive(S, C.QuotaPeer_, Out);
    const std::string Next = quotaPeer(S, C.Account_);
    if (C.QuotaRequests_ < MaxRequestsPerCall && !Next.empty())
      requestCallUnits(S, C);
    else
      settleCall(S, C, 0, 0, Out);
  }
}

} // namespace

std::string quotaPeer(const State &S, const std::string &Account) {
  if (!isAggregator(S)) {
    const std::string &Aggregator = S.Membership_.Aggregator_;
    return isResponsive(S, Aggregator) ? Aggregator : std::string();
  }
  std::string Home;
  std::uint64_t Highest =
      S.Stage_ == Stage::Draining ? 0 : homeRank(Account, S.Self_.Name_);
  for (const auto &[Name, Peer] : S.Membership_.Peers_) {
    if (!mayBeHome(S, Peer) || !isResponsive(S, Name))
      continue;
    const std::uint64_t Rank = homeRank(Account, Name);
    if (Rank <= Highest)
      continue;
    Highest = Rank;
    Home = Name;
  }
  return Home;
}

void requestCallUnits(State &S, Call &C) {
  C.QuotaPeer_ = quotaPeer(S, C.Account_);
  C.QuotaAskedAt_ = S.Now_;
  ++C.QuotaRequests_;
  incrementCounter(S, "quota_requests");
  S.Quotas_.Outbox_[C.QuotaPeer_].Requests_.push_back(
      {C.Account_, C.QuotaUnits_, C.Id_, instanceHash(S.Self_), 0});
}

void onQuotaMessage(State &S, const InstanceId &From,
                    const QuotaMessage &Message, Effects &Out) {
  S.Quotas_.UnresponsiveUntil_.erase(From.Name_);
  for (const QuotaDepositRow &Row : Message.Deposits_)
    if (const Account *A = limitedAccount(S, Row.Account_))
      addQuotaUnits(S, refilledQuota(S, *A), *A, std::max(0.0, Row.Units_));
  for (const QuotaRequestRow &Row : Message.Requests_)
    answerRequest(S, From.Name_, Row);
  for (const QuotaGrantRow &Row : Message.Grants_)
    deliverGrant(S, Row, Out);
}

void tickQuotaExchange(State &S, Effects &Out) {
  settleUnansweredCalls(S, Out);
  const Millis DepositPeriod =
      isAggregator(S) ? AggregatorDepositPeriod : MemberDepositPeriod;
  const bool DepositDue = S.Now_ - S.Quotas_.DepositedAt_ >= DepositPeriod;
  if (DepositDue)
    S.Quotas_.DepositedAt_ = S.Now_;
  for (const auto &[Name, A] : S.Config_.Configuration_.AccountsByName_)
    if (A.RatePerSecond_ > 0)
      balanceAccount(S, Name, A, DepositDue);
}

void flushQuotaMessages(State &S, Effects &Out) {
  for (auto &[Peer, Message] : S.Quotas_.Outbox_)
    Out.push_back(SendToPeer{Peer, std::move(Message)});
  S.Quotas_.Outbox_.clear();
}

} // namespace endivewharf
