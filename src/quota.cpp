// Quotas as token buckets. Every process keeps a copy of each account's whole
// bucket and deducts from it the units that all processes have admitted, which
// they publish in summaries a few times a second. A copy may go into debt,
// which is refilled before more units are admitted.
#include "quota.h"

#include "aggregators.h"
#include "diagnostics.h"
#include "membership.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis DemandUpdatePeriod = 250;   // ms between two averages
constexpr double DemandAveragingTime = 2000; // ms
constexpr Millis MaxSummaryAge = 1500;       // ms; older summaries are stale
// Shorter in a large cluster: more processes may be partitioned from the others
// together, and until they detect it they admit too many units. It covers three
// summaries.
constexpr Millis LargeClusterMaxSummaryAge = 800; // ms
// Fraction of the settings' quota slack up to which a bucket may go into debt.
constexpr double MaxDebtFraction = 0.3;
// Fill of a bucket in a process that has just started, as a fraction of its
// capacity.
constexpr double StartFillFraction = 0.3;
// Bound on the first fills of all processes together, for the case that all
// start at once.
constexpr double MaxTotalStartFill = 1;     // buckets
constexpr Millis MaxQuotaRetryAfter = 5000; // ms
constexpr Millis MinQuotaRetryAfter = 100;  // ms

/// Units that a call costs, by the unit of its account's quota. The cost in
/// tokens is that of the prompt and of the longest answer allowed, or the
/// account's default if the prompt's token count is unknown.
double quotaUnits(const Call &C, const Account &A) {
  if (A.Unit_ == RateUnit::Requests)
    return 1;
  if (C.Request_.PromptTokens_ <= 0)
    return A.DefaultRequestUnits_;
  return static_cast<double>(C.Request_.PromptTokens_ + C.Request_.MaxTokens_);
}

/// Fraction of a quota if all processes have the same.
double equalFraction(const State &S) {
  return 1.0 / static_cast<double>(estimatedClusterSize(S));
}

/// @return the peer's row for an account, or null if its summary has none
const DemandRow *findDemandRow(const PeerState &Peer,
                               const std::string &Account) {
  for (const DemandRow &Row : Peer.Summary_.Demands_)
    if (Row.Account_ == Account)
      return &Row;
  return nullptr;
}

/// Fraction of an account's rate and burst that this process may use. It is 1
/// while recent summaries account for all processes. Otherwise it is reduced,
/// down to an equal fraction, by what the processes with stale summaries may be
/// admitting, by their number or their last demand, whichever is more.
double usableFraction(const State &S, const std::string &Account,
                      const QuotaState &Q) {
  double TotalDemand = Q.DemandPerSecond_;
  double StaleDemand = 0;
  std::size_t RecentProcesses = 1;
  const Millis MaxAge =
      isLargeCluster(S) ? LargeClusterMaxSummaryAge : MaxSummaryAge;
  for (const PeerState *Peer : summarySources(S)) {
    const DemandRow *Row = findDemandRow(*Peer, Account);
    const double Demand = Row == nullptr ? 0 : Row->PerSecond_;
    const double StaleAtPeer = Row == nullptr ? 0 : Row->StalePerSecond_;
    TotalDemand += Demand + StaleAtPeer;
    StaleDemand += StaleAtPeer;
    if (Peer->SummaryReceivedAt_ >= 0 &&
        S.Now_ - Peer->SummaryReceivedAt_ < MaxAge)
      RecentProcesses += static_cast<std::size_t>(Peer->Summary_.ProcessCount_);
    else
      StaleDemand += Demand;
  }
  if (RecentProcesses >= estimatedClusterSize(S))
    return 1;
  const double Equal = equalFraction(S);
  const double ByDemand = TotalDemand > 0 ? 1 - StaleDemand / TotalDemand : 1;
  const double ByCount =
      std::min(1.0, Equal * static_cast<double>(RecentProcesses));
  return std::max(Equal, std::min(ByDemand, ByCount));
}

/// Refills an account's bucket up to now, by the usable fraction of its rate.
void refillQuotaBucket(const State &S, QuotaState &Q, const Account &A) {
  const double Capacity =
      std::max(A.Burst_, A.RatePerSecond_) * Q.UsableFraction_;
  const double Elapsed = static_cast<double>(S.Now_ - Q.RefilledAt_) / 1000;
  Q.AvailableUnits_ =
      std::min(Capacity, Q.AvailableUnits_ +
                             Elapsed * A.RatePerSecond_ * Q.UsableFraction_);
  Q.RefilledAt_ = S.Now_;
}

/// Finds an account's quota state, or creates it with a partly filled bucket,
/// because it is not known how many units other processes have admitted before.
QuotaState &findOrCreateQuota(State &S, const std::string &Account) {
  const auto [Found, IsNew] = S.Quotas_.Accounts_.try_emplace(Account);
  QuotaState &Q = Found->second;
  if (!IsNew)
    return Q;
  Q.UsableFraction_ = usableFraction(S, Account, Q);
  Q.RefilledAt_ = S.Now_;
  const auto Configured =
      S.Config_.Configuration_.AccountsByName_.find(Account);
  if (Configured != S.Config_.Configuration_.AccountsByName_.end())
    Q.AvailableUnits_ =
        std::max(Configured->second.Burst_, Configured->second.RatePerSecond_) *
        Q.UsableFraction_ *
        std::min(StartFillFraction, MaxTotalStartFill * equalFraction(S));
  return Q;
}

} // namespace

std::optional<CallError> chargeQuota(State &S, Call &C, const Account &A) {
  if (A.RatePerSecond_ <= 0)
    return std::nullopt;
  QuotaState &Q = findOrCreateQuota(S, A.Name_);
  const double Units = quotaUnits(C, A);
  Q.DemandSinceUpdate_ += Units;
  refillQuotaBucket(S, Q, A);
  const double Capacity =
      std::max(A.Burst_, A.RatePerSecond_) * Q.UsableFraction_;
  // A request that costs more than a whole bucket is admitted by a full one.
  const double RequiredUnits = std::min(Units, Capacity);
  // The copies of a bucket differ by admissions that are not received yet. The
  // allowed debt prevents that a request within the quota is refused for that.
  const double MaxDebt = A.Unit_ == RateUnit::Tokens
                             ? S.Settings_.Bounds_.QuotaSlack_ *
                                   MaxDebtFraction * Q.UsableFraction_
                             : 0;
  if (Q.AvailableUnits_ + MaxDebt >= RequiredUnits) {
    Q.AvailableUnits_ -= Units;
    Q.Admitted_ += Units;
    C.ChargedUnits_ = Units;
    return std::nullopt;
  }
  Q.RefusedSinceUpdate_ += Units;
  const double Rate = A.RatePerSecond_ * Q.UsableFraction_;
  const Millis RetryAfter = std::clamp(
      static_cast<Millis>((RequiredUnits - Q.AvailableUnits_) * 1000 / Rate),
      MinQuotaRetryAfter, MaxQuotaRetryAfter);
  return CallError{
      ErrorKind::OverLimit, RunState::NotRun,
      fmt::format("the account's quota is used up: {:.0f} of {:.0f} units "
                  "left, {:.0f} asked for, {:.2f} of the rate usable here",
                  Q.AvailableUnits_, Capacity, Units, Q.UsableFraction_),
      RetryAfter};
}

void refundQuota(State &S, const Call &C) {
  if (C.ChargedUnits_ <= 0)
    return;
  const auto Found = S.Quotas_.Accounts_.find(C.Account_);
  if (Found == S.Quotas_.Accounts_.end())
    return;
  Found->second.AvailableUnits_ += C.ChargedUnits_;
  Found->second.Admitted_ -= C.ChargedUnits_;
}

void mergePeerAdmissions(State &S, const PeerState &Before,
                         const SummaryMessage &Summary,
                         std::uint64_t Incarnation) {
  // The first summary of a peer does not show when its units were admitted, so
  // none are deducted.
  if (Before.SummaryIncarnation_ == 0)
    return;
  const bool SameIncarnation = Before.SummaryIncarnation_ == Incarnation;
  for (const DemandRow &Row : Summary.Demands_) {
    const DemandRow *OldRow =
        SameIncarnation ? findDemandRow(Before, Row.Account_) : nullptr;
    const double Deducted = OldRow == nullptr ? 0 : OldRow->Admitted_;
    QuotaState &Q = findOrCreateQuota(S, Row.Account_);
    Q.AvailableUnits_ -= Row.Admitted_ - Deducted;
    Q.OthersAdmitted_ += Row.Admitted_ - Deducted;
    if (Summary.Scope_ == SummaryScope::Process)
      Q.GroupAdmitted_ += Row.Admitted_ - Deducted;
  }
}

namespace {

/// Logs the inputs of the decisions on an account since the last update, if
/// units were refused or the bucket is in debt. The totals let the admissions
/// of all processes be added up over time and be compared with what each has
/// deducted for the others.
void logQuotaState(const std::string &Account, const QuotaState &Q,
                   Effects &Out) {
  if (Q.RefusedSinceUpdate_ <= 0 && Q.AvailableUnits_ >= 0)
    return;
  const auto Text = [](double Units) { return fmt::format("{:.0f}", Units); };
  logEvent(Out, "quota_state",
           {{"account", Account},
            {"left", Text(Q.AvailableUnits_)},
            {"admitted", Text(Q.Admitted_)},
            {"others_admitted", Text(Q.OthersAdmitted_)},
            {"asked", Text(Q.DemandSinceUpdate_)},
            {"refused", Text(Q.RefusedSinceUpdate_)},
            {"fraction", fmt::format("{:.2f}", Q.UsableFraction_)}});
}

} // namespace

void tickQuotas(State &S, Effects &Out) {
  const Millis Elapsed = S.Now_ - S.Quotas_.UpdatedAt_;
  if (Elapsed < DemandUpdatePeriod)
    return;
  S.Quotas_.UpdatedAt_ = S.Now_;
  const double Weight =
      std::min(1.0, static_cast<double>(Elapsed) / DemandAveragingTime);
  for (auto &[Name, Q] : S.Quotas_.Accounts_) {
    logQuotaState(Name, Q, Out);
    Q.RefusedSinceUpdate_ = 0;
    const double PerSecond =
        Q.DemandSinceUpdate_ * 1000 / static_cast<double>(Elapsed);
    Q.DemandPerSecond_ += Weight * (PerSecond - Q.DemandPerSecond_);
    Q.DemandSinceUpdate_ = 0;
    Q.UsableFraction_ = usableFraction(S, Name, Q);
  }
}

} // namespace endivewharf
