// Quotas as token buckets: each process has a part of every account's bucket.
#include "quota.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis UpdatePeriod = 200;   // ms between two workings-out
constexpr double DemandTime = 2000;    // ms over which demand is averaged
constexpr Millis FreshSums = 1200;     // ms; older ones count as silence
constexpr double MinDemand = 0.05;     // of the rate, for a newcomer's part
constexpr Millis MaxQuotaRetry = 5000; // ms
constexpr Millis MinQuotaRetry = 100;  // ms

double unitsOf(const Call &C, const Account &A) {
  if (A.Unit_ == RateUnit::Requests)
    return 1;
  const std::int64_t Stated =
      C.Request_.PromptTokens_ +
      (C.Request_.PromptTokens_ > 0 ? C.Request_.MaxTokens_ : 0);
  return Stated > 0 ? static_cast<double>(Stated) : A.PlainUnits_;
}

double equalShare(const State &S) {
  return 1.0 /
         static_cast<double>(std::max<std::size_t>(1, S.Membership_.Largest_));
}

double shareOf(const State &S, const QuotaState &Q) {
  return Q.Share_ > 0 ? Q.Share_ : equalShare(S);
}

void fill(const State &S, QuotaState &Q, const Account &A) {
  const double Share = shareOf(S, Q);
  const double Capacity = std::max(A.Burst_, A.RatePerSecond_) * Share;
  const double Elapsed = static_cast<double>(S.Now_ - Q.FilledAt_) / 1000;
  Q.Units_ =
      Q.Units_ < 0 && Q.FilledAt_ == 0
          ? Capacity
          : std::min(Capacity, Q.Units_ + Elapsed * A.RatePerSecond_ * Share);
  Q.FilledAt_ = S.Now_;
}

/// What a member told last of an account's demand.
double demandAt(const Member &M, const std::string &Account) {
  for (const DemandRow &Row : M.Sums_.Demands_)
    if (Row.Account_ == Account)
      return Row.PerSecond_;
  return 0;
}

void updateShare(const State &S, const std::string &Name, QuotaState &Q) {
  const auto Found = S.Config_.Value_.AccountsByName_.find(Name);
  if (Found == S.Config_.Value_.AccountsByName_.end())
    return;
  const double Least = Found->second.RatePerSecond_ * MinDemand;
  double Sum = std::max(Least, Q.Demand_);
  bool AllHeard = true;
  std::size_t Known = 1;
  for (const auto &[Peer, M] : S.Membership_.Members_) {
    if (M.SumsAt_ < 0)
      continue;
    ++Known;
    Sum += std::max(Least, demandAt(M, Name));
    AllHeard = AllHeard && S.Now_ - M.SumsAt_ < FreshSums;
  }
  const double Wanted = std::max(Least, Q.Demand_) / Sum;
  if (AllHeard && Known >= S.Membership_.Largest_) {
    Q.SafeShare_ = Wanted;
    Q.Share_ = Wanted;
    return;
  }
  // Somebody may have taken a larger part unheard.
  const double Bound = Q.SafeShare_ > 0 ? Q.SafeShare_ : equalShare(S);
  Q.Share_ = std::min(Wanted, Bound);
}

} // namespace

std::optional<CallError> takeQuota(State &S, Call &C, const Account &A) {
  if (A.RatePerSecond_ <= 0)
    return std::nullopt;
  QuotaState &Q = S.Quotas_.Accounts_[A.Name_];
  const double Units = unitsOf(C, A);
  Q.Asked_ += Units;
  fill(S, Q, A);
  const double Capacity = std::max(A.Burst_, A.RatePerSecond_) * shareOf(S, Q);
  // A request larger than the whole bucket passes when it is full.
  if (Q.Units_ >= std::min(Units, Capacity)) {
    Q.Units_ -= Units;
    C.Units_ = Units;
    return std::nullopt;
  }
  const double Rate = A.RatePerSecond_ * shareOf(S, Q);
  const double Missing = std::min(Units, Capacity) - Q.Units_;
  const Millis Wait = std::clamp(static_cast<Millis>(Missing * 1000 / Rate),
                                 MinQuotaRetry, MaxQuotaRetry);
  return CallError{
      ErrorKind::OverLimit, RunState::NotRun,
      fmt::format("the account's quota is used up: {:.0f} of {:.0f} "
                  "units left here, {:.0f} asked for, share {:.3f}",
                  Q.Units_, Capacity, Units, shareOf(S, Q)),
      Wait};
}

void returnQuota(State &S, const Call &C) {
  if (C.Units_ <= 0)
    return;
  const auto Found = S.Quotas_.Accounts_.find(C.Account_);
  if (Found != S.Quotas_.Accounts_.end())
    Found->second.Units_ += C.Units_;
}

void tickQuotas(State &S) {
  const Millis Elapsed = S.Now_ - S.Quotas_.UpdatedAt_;
  if (Elapsed < UpdatePeriod)
    return;
  S.Quotas_.UpdatedAt_ = S.Now_;
  const double Part = std::min(1.0, static_cast<double>(Elapsed) / DemandTime);
  for (auto &[Name, Q] : S.Quotas_.Accounts_) {
    const double PerSecond = Q.Asked_ * 1000 / static_cast<double>(Elapsed);
    Q.Demand_ += Part * (PerSecond - Q.Demand_);
    Q.Asked_ = 0;
    updateShare(S, Name, Q);
  }
}

} // namespace endivewharf
