// Usage windows: own counts, the decision in the log, the report.
#include "usage.h"

#include "controllog.h"
#include "lease.h"
#include "record.h"

#include <algorithm>
#include <cstdlib>

namespace endivewharf {

namespace {

constexpr Millis SettleTime = 1500;     // ms after a window, for peers' counts
constexpr Millis AskAgain = 2000;       // ms until a lost record is repeated
constexpr Millis ReportAgain = 1200;    // ms until a lost report is repeated
constexpr std::int64_t KeptWindows = 8; // that may still be reported
constexpr std::int64_t ClockTolerance = 300; // ms between two true clocks

std::vector<UsageRow> sumOf(const State &S, std::int64_t Window) {
  UsageCounts Sum;
  const auto Own = S.Usage_.Own_.find(Window);
  if (Own != S.Usage_.Own_.end())
    Sum = Own->second;
  for (const auto &[Name, M] : S.Membership_.Members_)
    for (const UsageRow &Row : M.Sums_.Usage_)
      if (Row.Window_ == Window)
        Sum[Row.Account_] += Row.Count_;
  std::vector<UsageRow> Rows;
  for (const auto &[Account, Count] : Sum)
    Rows.push_back({Window, Account, Count});
  return Rows;
}

void decide(State &S, std::int64_t Window) {
  S.Usage_.Asked_.insert(Window);
  S.Usage_.AskedAt_ = S.Now_;
  appendRecord(S, UsageRecord{S.Lease_.Epoch_, Window, sumOf(S, Window)});
}

void report(State &S, std::int64_t Window, Effects &Out) {
  S.Usage_.Reporting_ = Window;
  S.Usage_.SentAt_ = S.Now_;
  Out.push_back(
      ReportUsage{S.Lease_.Epoch_, Window, S.Usage_.Decided_.at(Window)});
}

template <typename Container>
void dropBefore(Container &Windows, std::int64_t First) {
  Windows.erase(Windows.begin(), Windows.lower_bound(First));
}

} // namespace

std::int64_t trueUnixMs(const State &S) {
  return S.Usage_.ClockKnown_ ? S.Now_ + S.Usage_.ClockOffset_ : S.UnixMs_;
}

std::int64_t usageWindow(const State &S) {
  return trueUnixMs(S) / S.Settings_.Bounds_.UsageWindow_;
}

void noteClock(State &S, std::int64_t PeerUnixMs) {
  // A process that started while its host's clock was wrong finds that all
  // others differ from it.
  const std::int64_t Difference = PeerUnixMs - trueUnixMs(S);
  if (std::abs(Difference) < ClockTolerance) {
    S.Usage_.ClockDoubts_ = 0;
    return;
  }
  ++S.Usage_.ClockDoubts_;
  if (S.Usage_.ClockDoubts_ < 2 * S.Membership_.Members_.size() + 1)
    return;
  S.Usage_.ClockDoubts_ = 0;
  S.Usage_.ClockOffset_ += Difference;
}

void noteBegan(State &S, const Call &C) {
  if (!C.Account_.empty())
    ++S.Usage_.Own_[usageWindow(S)][C.Account_];
}

void applyUsage(State &S, const UsageRecord &R, Effects &Out) {
  UsageCounts Counts;
  for (const UsageRow &Row : R.Rows_)
    Counts[Row.Account_] = Row.Count_;
  if (!S.Usage_.Decided_.emplace(R.Window_, std::move(Counts)).second)
    return; // the first record for a window holds
  S.Usage_.Asked_.erase(R.Window_);
  logEvent(Out, "usage_decided", {{"window", std::to_string(R.Window_)}});
}

void onUsageReported(State &S, const UsageReported &E, Effects &Out) {
  if (S.Usage_.Reporting_ == E.Window_)
    S.Usage_.Reporting_ = -1;
  if (!E.Accepted_)
    return;
  S.Usage_.Reported_.insert(E.Window_);
  logEvent(Out, "usage_reported", {{"window", std::to_string(E.Window_)}});
}

void tickUsage(State &S, Effects &Out) {
  UsageState &U = S.Usage_;
  if (!U.ClockKnown_) {
    U.ClockKnown_ = true;
    U.ClockOffset_ = S.UnixMs_ - S.Now_;
    U.FirstWindow_ = usageWindow(S);
  }
  const std::int64_t Current = usageWindow(S);
  const std::int64_t Oldest = Current - KeptWindows;
  dropBefore(U.Own_, Oldest);
  dropBefore(U.Decided_, Oldest);
  dropBefore(U.Reported_, Oldest);
  dropBefore(U.Asked_, Oldest);
  if (!holdsLease(S))
    return;
  if (!U.Asked_.empty() && S.Now_ - U.AskedAt_ > AskAgain)
    U.Asked_.clear();
  const std::int64_t Settled =
      (trueUnixMs(S) - SettleTime) / S.Settings_.Bounds_.UsageWindow_ - 1;
  for (std::int64_t W = std::max(Oldest, U.FirstWindow_); W <= Settled; ++W)
    if (U.Decided_.count(W) == 0 && U.Asked_.count(W) == 0)
      decide(S, W);
  if (U.Reporting_ >= 0 && S.Now_ - U.SentAt_ < ReportAgain)
    return;
  for (const auto &[Window, Counts] : U.Decided_)
    if (U.Reported_.count(Window) == 0) {
      report(S, Window, Out);
      return;
    }
}

} // namespace endivewharf
