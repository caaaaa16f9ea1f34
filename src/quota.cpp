// Quotas as token buckets. Every process keeps a copy of each account's whole
// bucket and takes from it what all have admitted, as they tell a few times a
// second; a copy may go into debt, which is paid back before more is admitted.
#include "quota.h"

#include "aggregators.h"
#include "membership.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis DemandUpdatePeriod = 250; // ms between two averages of demand
constexpr double DemandAveragingTime = 2000; // ms over which demand is averaged
constexpr Millis MaxSummaryAge = 1500;       // ms; older ones count as silence
// In a large group what is cut off together admits the more until it knows.
constexpr Millis LargeClusterMaxSummaryAge = 800; // ms, three messages
constexpr double MaxDebtFraction = 0.3; // of the slack, that may be gone into
constexpr double StartFillFraction =
    0.3;                                // of a bucket, for a process just begun
constexpr double MaxTotalStartFill = 1; // buckets, for all that begin at once
constexpr Millis MaxQuotaRetryAfter = 5000; // ms
constexpr Millis MinQuotaRetryAfter = 100;  // ms

double quotaUnits(const Call &C, const Account &A) {
  if (A.Unit_ == RateUnit::Requests)
    return 1;
  if (C.Request_.PromptTokens_ <= 0)
    return A.DefaultRequestUnits_;
  return static_cast<double>(C.Request_.PromptTokens_ + C.Request_.MaxTokens_);
}

double equalFraction(const State &S) {
  return 1.0 / static_cast<double>(estimatedClusterSize(S));
}

const DemandRow *findDemandRow(const PeerState &M, const std::string &Account) {
  for (const DemandRow &Row : M.Summary_.Demands_)
    if (Row.Account_ == Account)
      return &Row;
  return nullptr;
}

/// The part of an account's rate that this process may go by: all of it while
/// everybody is heard, else less by what the silent ones may be admitting.
double usableFraction(const State &S, const std::string &Account,
                      const QuotaState &Q) {
  double Sum = Q.DemandPerSecond_;
  double Silent = 0;
  std::size_t Heard = 1;
  const Millis Fresh =
      isLargeCluster(S) ? LargeClusterMaxSummaryAge : MaxSummaryAge;
  for (const PeerState *M : summarySources(S)) {
    const DemandRow *Row = findDemandRow(*M, Account);
    const double Demand = Row == nullptr ? 0 : Row->PerSecond_;
    const double SilentThere = Row == nullptr ? 0 : Row->StalePerSecond_;
    Sum += Demand + SilentThere;
    Silent += SilentThere;
    if (M->SummaryReceivedAt_ >= 0 && S.Now_ - M->SummaryReceivedAt_ < Fresh)
      Heard += static_cast<std::size_t>(M->Summary_.ProcessCount_);
    else
      Silent += Demand;
  }
  if (Heard >= estimatedClusterSize(S))
    return 1;
  const double Equal = equalFraction(S);
  const double ByDemand = Sum > 0 ? 1 - Silent / Sum : 1;
  const double ByNumber = std::min(1.0, Equal * static_cast<double>(Heard));
  return std::max(Equal, std::min(ByDemand, ByNumber));
}

void refillQuotaBucket(const State &S, QuotaState &Q, const Account &A) {
  const double Capacity =
      std::max(A.Burst_, A.RatePerSecond_) * Q.UsableFraction_;
  const double Elapsed = static_cast<double>(S.Now_ - Q.RefilledAt_) / 1000;
  Q.AvailableUnits_ =
      std::min(Capacity, Q.AvailableUnits_ +
                             Elapsed * A.RatePerSecond_ * Q.UsableFraction_);
  Q.RefilledAt_ = S.Now_;
}

/// A bucket begins with a part of what it holds: what others admitted before
/// is not known.
QuotaState &findOrCreateQuota(State &S, const std::string &Account) {
  const auto [Found, New] = S.Quotas_.Accounts_.try_emplace(Account);
  QuotaState &Q = Found->second;
  if (!New)
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
  // A request larger than the whole bucket passes when it is full.
  const double Wanted = std::min(Units, Capacity);
  // Copies differ by what is on its way: none within the quota is refused.
  const double Debt = A.Unit_ == RateUnit::Tokens
                          ? S.Settings_.Bounds_.QuotaSlack_ * MaxDebtFraction *
                                Q.UsableFraction_
                          : 0;
  if (Q.AvailableUnits_ + Debt >= Wanted) {
    Q.AvailableUnits_ -= Units;
    Q.Admitted_ += Units;
    C.ChargedUnits_ = Units;
    return std::nullopt;
  }
  const double Rate = A.RatePerSecond_ * Q.UsableFraction_;
  const Millis Wait = std::clamp(
      static_cast<Millis>((Wanted - Q.AvailableUnits_) * 1000 / Rate),
      MinQuotaRetryAfter, MaxQuotaRetryAfter);
  return CallError{
      ErrorKind::OverLimit, RunState::NotRun,
      fmt::format("the account's quota is used up: {:.0f} of {:.0f} units "
                  "left, {:.0f} asked for, {:.2f} of the rate usable here",
                  Q.AvailableUnits_, Capacity, Units, Q.UsableFraction_),
      Wait};
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
                         const SummaryMessage &Now, std::uint64_t Life) {
  // Of a peer that was never heard before nobody knows when it admitted what.
  if (Before.SummaryIncarnation_ == 0)
    return;
  const bool SameLife = Before.SummaryIncarnation_ == Life;
  for (const DemandRow &Row : Now.Demands_) {
    const DemandRow *Old =
        SameLife ? findDemandRow(Before, Row.Account_) : nullptr;
    const double Since = Old == nullptr ? 0 : Old->Admitted_;
    QuotaState &Q = findOrCreateQuota(S, Row.Account_);
    Q.AvailableUnits_ -= Row.Admitted_ - Since;
    Q.OthersAdmitted_ += Row.Admitted_ - Since;
    if (Now.Scope_ == SummaryScope::Process)
      Q.GroupAdmitted_ += Row.Admitted_ - Since;
  }
}

void tickQuotas(State &S) {
  const Millis Elapsed = S.Now_ - S.Quotas_.UpdatedAt_;
  if (Elapsed < DemandUpdatePeriod)
    return;
  S.Quotas_.UpdatedAt_ = S.Now_;
  const double Weight =
      std::min(1.0, static_cast<double>(Elapsed) / DemandAveragingTime);
  for (auto &[Name, Q] : S.Quotas_.Accounts_) {
    const double PerSecond =
        Q.DemandSinceUpdate_ * 1000 / static_cast<double>(Elapsed);
    Q.DemandPerSecond_ += Weight * (PerSecond - Q.DemandPerSecond_);
    Q.DemandSinceUpdate_ = 0;
    Q.UsableFraction_ = usableFraction(S, Name, Q);
  }
}

} // namespace endivewharf
