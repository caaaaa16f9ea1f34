// Quotas as token buckets. Every process keeps a copy of each account's whole
// bucket and takes from it what all have admitted, as they tell a few times a
// second; a copy may go into debt, which is paid back before more is admitted.
#include "quota.h"

#include "collectors.h"
#include "membership.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis UpdatePeriod = 250; // ms between two averages of demand
constexpr double DemandTime = 2000;  // ms over which demand is averaged
constexpr Millis FreshSums = 1500;   // ms; older ones count as silence
// In a large group what is cut off together admits the more until it knows.
constexpr Millis LargeGroupFreshSums = 800; // ms, three messages
constexpr double SlackPart = 0.3;      // of the slack, that may be gone into
constexpr double StartPart = 0.3;      // of a bucket, for a process just begun
constexpr double StartSum = 1;         // buckets, for all that begin at once
constexpr Millis MaxQuotaRetry = 5000; // ms
constexpr Millis MinQuotaRetry = 100;  // ms

double unitsOf(const Call &C, const Account &A) {
  if (A.Unit_ == RateUnit::Requests)
    return 1;
  if (C.Request_.PromptTokens_ <= 0)
    return A.PlainUnits_;
  return static_cast<double>(C.Request_.PromptTokens_ + C.Request_.MaxTokens_);
}

double equalPart(const State &S) {
  return 1.0 / static_cast<double>(groupSize(S));
}

const DemandRow *demandRow(const Member &M, const std::string &Account) {
  for (const DemandRow &Row : M.Sums_.Demands_)
    if (Row.Account_ == Account)
      return &Row;
  return nullptr;
}

/// The part of an account's rate that this process may go by: all of it while
/// everybody is heard, else less by what the silent ones may be admitting.
double usablePart(const State &S, const std::string &Account,
                  const QuotaState &Q) {
  double Sum = Q.Demand_;
  double Silent = 0;
  std::size_t Heard = 1;
  const Millis Fresh = isLargeGroup(S) ? LargeGroupFreshSums : FreshSums;
  for (const Member *M : sumsSources(S)) {
    const DemandRow *Row = demandRow(*M, Account);
    const double Demand = Row == nullptr ? 0 : Row->PerSecond_;
    const double SilentThere = Row == nullptr ? 0 : Row->Silent_;
    Sum += Demand + SilentThere;
    Silent += SilentThere;
    if (M->SumsAt_ >= 0 && S.Now_ - M->SumsAt_ < Fresh)
      Heard += static_cast<std::size_t>(M->Sums_.Processes_);
    else
      Silent += Demand;
  }
  if (Heard >= groupSize(S))
    return 1;
  const double Equal = equalPart(S);
  const double ByDemand = Sum > 0 ? 1 - Silent / Sum : 1;
  const double ByNumber = std::min(1.0, Equal * static_cast<double>(Heard));
  return std::max(Equal, std::min(ByDemand, ByNumber));
}

void fill(const State &S, QuotaState &Q, const Account &A) {
  const double Capacity = std::max(A.Burst_, A.RatePerSecond_) * Q.Part_;
  const double Elapsed = static_cast<double>(S.Now_ - Q.FilledAt_) / 1000;
  Q.Units_ =
      std::min(Capacity, Q.Units_ + Elapsed * A.RatePerSecond_ * Q.Part_);
  Q.FilledAt_ = S.Now_;
}

/// A bucket begins with a part of what it holds: what others admitted before
/// is not known.
QuotaState &quotaOf(State &S, const std::string &Account) {
  const auto [Found, New] = S.Quotas_.Accounts_.try_emplace(Account);
  QuotaState &Q = Found->second;
  if (!New)
    return Q;
  Q.Part_ = usablePart(S, Account, Q);
  Q.FilledAt_ = S.Now_;
  const auto Configured = S.Config_.Value_.AccountsByName_.find(Account);
  if (Configured != S.Config_.Value_.AccountsByName_.end())
    Q.Units_ =
        std::max(Configured->second.Burst_, Configured->second.RatePerSecond_) *
        Q.Part_ * std::min(StartPart, StartSum * equalPart(S));
  return Q;
}

} // namespace

std::optional<CallError> takeQuota(State &S, Call &C, const Account &A) {
  if (A.RatePerSecond_ <= 0)
    return std::nullopt;
  QuotaState &Q = quotaOf(S, A.Name_);
  const double Units = unitsOf(C, A);
  Q.Asked_ += Units;
  fill(S, Q, A);
  const double Capacity = std::max(A.Burst_, A.RatePerSecond_) * Q.Part_;
  // A request larger than the whole bucket passes when it is full.
  const double Wanted = std::min(Units, Capacity);
  // Copies differ by what is on its way: none within the quota is refused.
  const double Debt =
      A.Unit_ == RateUnit::Tokens
          ? S.Settings_.Bounds_.QuotaSlack_ * SlackPart * Q.Part_
          : 0;
  if (Q.Units_ + Debt >= Wanted) {
    Q.Units_ -= Units;
    Q.Admitted_ += Units;
    C.Units_ = Units;
    return std::nullopt;
  }
  const double Rate = A.RatePerSecond_ * Q.Part_;
  const Millis Wait =
      std::clamp(static_cast<Millis>((Wanted - Q.Units_) * 1000 / Rate),
                 MinQuotaRetry, MaxQuotaRetry);
  return CallError{
      ErrorKind::OverLimit, RunState::NotRun,
      fmt::format("the account's quota is used up: {:.0f} of {:.0f} units "
                  "left, {:.0f} asked for, {:.2f} of the rate usable here",
                  Q.Units_, Capacity, Units, Q.Part_),
      Wait};
}

void returnQuota(State &S, const Call &C) {
  if (C.Units_ <= 0)
    return;
  const auto Found = S.Quotas_.Accounts_.find(C.Account_);
  if (Found == S.Quotas_.Accounts_.end())
    return;
  Found->second.Units_ += C.Units_;
  Found->second.Admitted_ -= C.Units_;
}

void noteAdmitted(State &S, const Member &Before, const SumsMessage &Now,
                  std::uint64_t Life) {
  // Of a peer that was never heard before nobody knows when it admitted what.
  if (Before.SumsLife_ == 0)
    return;
  const bool SameLife = Before.SumsLife_ == Life;
  for (const DemandRow &Row : Now.Demands_) {
    const DemandRow *Old = SameLife ? demandRow(Before, Row.Account_) : nullptr;
    const double Since = Old == nullptr ? 0 : Old->Admitted_;
    QuotaState &Q = quotaOf(S, Row.Account_);
    Q.Units_ -= Row.Admitted_ - Since;
    Q.Heard_ += Row.Admitted_ - Since;
    if (Now.Scope_ == SumsScope::Process)
      Q.InGroup_ += Row.Admitted_ - Since;
  }
}

void tickQuotas(State &S) {
  const Millis Elapsed = S.Now_ - S.Quotas_.UpdatedAt_;
  if (Elapsed < UpdatePeriod)
    return;
  S.Quotas_.UpdatedAt_ = S.Now_;
  const double Weight =
      std::min(1.0, static_cast<double>(Elapsed) / DemandTime);
  for (auto &[Name, Q] : S.Quotas_.Accounts_) {
    const double PerSecond = Q.Asked_ * 1000 / static_cast<double>(Elapsed);
    Q.Demand_ += Weight * (PerSecond - Q.Demand_);
    Q.Asked_ = 0;
    Q.Part_ = usablePart(S, Name, Q);
  }
}

} // namespace endivewharf
