// Quotas as token buckets whose rate is divided among all processes. A process
// may use a small part of the units that the operators' bound leaves beyond the
// quota in advance, so that most requests need no answer of a peer first.
#include "quota.h"

#include "diagnostics.h"
#include "membership.h"
#include "quotaexchange.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis UpdatePeriod = 250;         // ms between two averages
constexpr double InflowAveragingTime = 1000; // ms
constexpr double LargestUnitsDecay = 0.95;   // factor per update
// Longest time between two refills of a process that runs; after a longer one
// it was frozen, and others may have collected units in its place.
constexpr Millis MaxRefillGap = 1000; // ms
// Time after which all processes count a new one. Until then it has no part of
// the rates of its own.
constexpr Millis NewProcessPeriod = 5000; // ms
// Parts of the bound's excess over a quota that may be used in advance: by all
// processes together, and by an account's home process.
constexpr double SharedAdvanceFraction = 0.3;
constexpr double HomeAdvanceFraction = 0.15;
// Fill of a whole bucket that admits a request of more units than it holds.
constexpr double NearlyFullFraction = 0.9;
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

/// This process's part of every account's rate. The parts of all processes add
/// up to at most 1 while each divides by at least their number.
double ownPart(const State &S) {
  const std::size_t ClusterSize = estimatedClusterSize(S);
  const bool Counted = ClusterSize == 1 || S.Membership_.KnownFromBefore_ ||
                       S.Now_ - S.StartedAt_ >= NewProcessPeriod;
  return Counted ? 1.0 / static_cast<double>(ClusterSize) : 0;
}

double fullCapacity(const Account &A) {
  return std::max(A.Burst_, A.RatePerSecond_);
}

/// Part of an account's rate that arrives at this process.
double inflowFraction(const State &S, const QuotaState &Q, const Account &A) {
  return std::clamp(Q.InflowPerSecond_ / A.RatePerSecond_, ownPart(S), 1.0);
}

/// Most units that may be kept here. Where a part of the rate arrives, that
/// part of the bucket is kept, so the buckets on both sides of a partition add
/// up to one.
double capacity(const State &S, const QuotaState &Q, const Account &A) {
  return fullCapacity(A) * inflowFraction(S, Q, A);
}

/// Units by which all processes together may exceed an account's quota within a
/// window.
double allowedExcess(const State &S, const Account &A) {
  const BoundSettings &Bounds = S.Settings_.Bounds_;
  const double WindowUnits =
      A.RatePerSecond_ * static_cast<double>(Bounds.QuotaWindow_) / 1000 +
      A.Burst_;
  const double Slack = A.Unit_ == RateUnit::Tokens ? Bounds.QuotaSlack_ : 0;
  return Bounds.QuotaExcess_ * WindowUnits + Slack;
}

/// Units that this process may use before it has them.
double ownAdvance(const State &S, const Account &A) {
  return SharedAdvanceFraction * allowedExcess(S, A) * ownPart(S);
}

/// Units that must be available for a request. Where that suffices, it is the
/// same for requests of all sizes, so that small ones do not use up what large
/// ones wait for.
double requiredUnits(const QuotaState &Q, double Units, double Advance) {
  return std::max(Units, std::min(Q.LargestUnits_, Advance));
}

bool admitsHere(const State &S, const QuotaState &Q, const Account &A,
                double Units) {
  const double Advance = ownAdvance(S, A);
  return Q.AvailableUnits_ + Advance >= requiredUnits(Q, Units, Advance);
}

void admit(QuotaState &Q, Call &C) {
  Q.AvailableUnits_ -= C.QuotaUnits_;
  Q.Admitted_ += C.QuotaUnits_;
  C.ChargedUnits_ = C.QuotaUnits_;
}

} // namespace

const Account *limitedAccount(const State &S, const std::string &Name) {
  const auto &Accounts = S.Config_.Configuration_.AccountsByName_;
  const auto Found = Accounts.find(Name);
  if (Found == Accounts.end() || Found->second.RatePerSecond_ <= 0)
    return nullptr;
  return &Found->second;
}

QuotaState &refilledQuota(State &S, const Account &A) {
  const auto [Found, IsNew] = S.Quotas_.Accounts_.try_emplace(A.Name_);
  QuotaState &Q = Found->second;
  const Millis Elapsed = IsNew ? 0 : S.Now_ - Q.RefilledAt_;
  Q.RefilledAt_ = S.Now_;
  const double Part = ownPart(S);
  addQuotaUnits(S, Q, A,
                A.RatePerSecond_ * Part * static_cast<double>(Elapsed) / 1000);
  if (Elapsed > MaxRefillGap)
    Q.AvailableUnits_ = std::min(Q.AvailableUnits_, fullCapacity(A) * Part);
  return Q;
}

void addQuotaUnits(State &S, QuotaState &Q, const Account &A, double Units) {
  Q.InflowSinceUpdate_ += Units;
  const double Room = std::max(0.0, capacity(S, Q, A) - Q.AvailableUnits_);
  Q.AvailableUnits_ += std::min(Units, Room);
}

double takeQuotaUnits(State &S, QuotaState &Q, const Account &A, double Units,
                      bool Divisible) {
  double Granted = 0;
  if (Divisible) {
    Granted = std::clamp(Q.AvailableUnits_, 0.0, Units);
  } else {
    const double Advance =
        HomeAdvanceFraction * allowedExcess(S, A) * inflowFraction(S, Q, A);
    Q.LargestUnits_ = std::max(Q.LargestUnits_, Units);
    const double Required = std::min(requiredUnits(Q, Units, Advance),
                                     fullCapacity(A) * NearlyFullFraction);
    if (Q.AvailableUnits_ + Advance >= Required)
      Granted = Units;
  }
  Q.AvailableUnits_ -= Granted;
  return Granted;
}

CallError quotaError(State &S, const Call &C, const Account &A,
                     Millis RetryAfter) {
  QuotaState &Q = refilledQuota(S, A);
  Q.RefusedSinceUpdate_ += C.QuotaUnits_;
  const double Rate = A.RatePerSecond_ * inflowFraction(S, Q, A);
  const double Missing = C.QuotaUnits_ - Q.AvailableUnits_;
  if (RetryAfter <= 0)
    RetryAfter = Rate > 0 ? static_cast<Millis>(std::min(
                                Missing * 1000 / Rate,
                                static_cast<double>(MaxQuotaRetryAfter)))
                          : MaxQuotaRetryAfter;
  RetryAfter = std::clamp(RetryAfter, MinQuotaRetryAfter, MaxQuotaRetryAfter);
  return CallError{
      ErrorKind::OverLimit, RunState::NotRun,
      fmt::format("the account's quota is used up: {:.0f} units here, {:.0f} "
                  "asked for, {:.4f} of the rate is this process's own; {}",
                  Q.AvailableUnits_, C.QuotaUnits_, ownPart(S),
                  C.QuotaPeer_.empty() ? std::string("no peer asked")
                                       : "asked " + C.QuotaPeer_),
      RetryAfter};
}

std::optional<CallError> chargeQuota(State &S, Call &C, const Account &A) {
  if (A.RatePerSecond_ <= 0)
    return std::nullopt;
  QuotaState &Q = refilledQuota(S, A);
  C.QuotaUnits_ = quotaUnits(C, A);
  Q.AskedSinceUpdate_ += C.QuotaUnits_;
  Q.LargestUnits_ = std::max(Q.LargestUnits_, C.QuotaUnits_);
  if (admitsHere(S, Q, A, C.QuotaUnits_)) {
    admit(Q, C);
    return std::nullopt;
  }
  const bool RecentlyRefused =
      S.Now_ < Q.RefusedUntil_ && C.QuotaUnits_ >= Q.RefusedUnits_;
  if (RecentlyRefused)
    return quotaError(S, C, A, 0);
  if (!quotaPeer(S, A.Name_).empty()) {
    C.Phase_ = CallPhase::AwaitingQuota;
    return std::nullopt;
  }
  const double Granted =
      takeQuotaUnits(S, Q, A, C.QuotaUnits_, /*Divisible=*/false);
  if (Granted <= 0)
    return quotaError(S, C, A, 0);
  Q.AvailableUnits_ += Granted;
  admit(Q, C);
  return std::nullopt;
}

bool chargeWaitingCall(State &S, Call &C, const Account &A, double Granted) {
  QuotaState &Q = refilledQuota(S, A);
  if (Granted < C.QuotaUnits_ && !admitsHere(S, Q, A, C.QuotaUnits_))
    return false;
  admit(Q, C);
  return true;
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

namespace {

/// Logs the inputs of the decisions on an account since the last update, if
/// units were refused.
void logQuotaState(const State &S, const std::string &Account,
                   const QuotaState &Q, Effects &Out) {
  if (Q.RefusedSinceUpdate_ <= 0)
    return;
  const auto Text = [](double Units) { return fmt::format("{:.0f}", Units); };
  logEvent(Out, "quota_state",
           {{"account", Account},
            {"left", Text(Q.AvailableUnits_)},
            {"admitted", Text(Q.Admitted_)},
            {"asked", Text(Q.AskedSinceUpdate_)},
            {"refused", Text(Q.RefusedSinceUpdate_)},
            {"inflow", Text(Q.InflowPerSecond_)},
            {"part", fmt::format("{:.4f}", ownPart(S))},
            {"peer", quotaPeer(S, Account)}});
}

/// Removes the state of accounts that have no quota any more.
void removeUnlimitedAccounts(State &S) {
  std::erase_if(S.Quotas_.Accounts_, [&](const auto &Entry) {
    return limitedAccount(S, Entry.first) == nullptr;
  });
}

} // namespace

void tickQuotas(State &S, Effects &Out) {
  const Millis Elapsed = S.Now_ - S.Quotas_.UpdatedAt_;
  if (Elapsed < UpdatePeriod)
    return;
  S.Quotas_.UpdatedAt_ = S.Now_;
  removeUnlimitedAccounts(S);
  const double Weight =
      1 - std::exp(-static_cast<double>(Elapsed) / InflowAveragingTime);
  for (const auto &[Name, A] : S.Config_.Configuration_.AccountsByName_) {
    if (A.RatePerSecond_ <= 0)
      continue;
    QuotaState &Q = refilledQuota(S, A);
    logQuotaState(S, Name, Q, Out);
    const double Inflow =
        Q.InflowSinceUpdate_ * 1000 / static_cast<double>(Elapsed);
    Q.InflowPerSecond_ += Weight * (Inflow - Q.InflowPerSecond_);
    Q.InflowSinceUpdate_ = 0;
    Q.AskedSinceUpdate_ = 0;
    Q.RefusedSinceUpdate_ = 0;
    Q.LargestUnits_ *= LargestUnitsDecay;
    if (quotaPeer(S, Name).empty())
      Q.AvailableUnits_ = std::min(Q.AvailableUnits_, capacity(S, Q, A));
  }
}

} // namespace endivewharf
