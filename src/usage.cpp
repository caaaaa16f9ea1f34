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
constexpr Millis ClockSettleTime = 1500;     // ms in which peers are heard

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

/// A record whose append got no answer may be in the log all the same, so it
/// is repeated as it was.
void decide(State &S, std::int64_t Window) {
  UsageState &U = S.Usage_;
  U.Asked_.insert(Window);
  U.AskedAt_ = S.Now_;
  const auto [Found, New] = U.Proposed_.try_emplace(Window);
  if (New)
    Found->second = sumOf(S, Window);
  appendRecord(S, UsageRecord{S.Lease_.Epoch_, Window, Found->second});
}

void report(State &S, std::int64_t Window, Effects &Out) {
  S.Usage_.Reporting_ = Window;
  S.Usage_.SentAt_ = S.Now_;
  Out.push_back(
      ReportUsage{S.Lease_.Epoch_, Window, S.Usage_.Decided_.at(Window)});
}

/// Once after the start: a process that started while its host's time of day
/// was wrong sees most others ahead or behind, and goes by them from then on.
void settleClock(State &S, Effects &Out) {
  UsageState &U = S.Usage_;
  if (U.ClockSettled_ || S.Now_ - S.StartedAt_ < ClockSettleTime)
    return;
  U.ClockSettled_ = true;
  std::vector<std::int64_t> Ahead = {0};
  for (const auto &[Peer, Difference] : U.PeersAhead_)
    Ahead.push_back(Difference);
  std::sort(Ahead.begin(), Ahead.end());
  const std::int64_t Median = Ahead[Ahead.size() / 2];
  if (std::abs(Median) < ClockTolerance)
    return;
  U.ClockOffset_ += Median;
  U.FirstWindow_ = usageWindow(S);
  logWarning(Out, "clock_corrected", {{"by_ms", std::to_string(Median)}});
}

/// @return true if a report for the window would still be in time
bool isInTime(const State &S, std::int64_t Window) {
  const BoundSettings &B = S.Settings_.Bounds_;
  return trueUnixMs(S) < (Window + 1) * B.UsageWindow_ + B.UsageLimit_;
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

void noteClock(State &S, const std::string &Peer, std::int64_t PeerUnixMs) {
  if (S.Usage_.ClockSettled_)
    return;
  // A message that was held up shows less than the peer's time, never more.
  const std::int64_t Ahead = PeerUnixMs - trueUnixMs(S);
  const auto [Found, New] = S.Usage_.PeersAhead_.emplace(Peer, Ahead);
  Found->second = std::max(Found->second, Ahead);
}

void noteBegan(State &S, Call &C) {
  if (C.Account_.empty() || C.Began_)
    return;
  C.Began_ = true;
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
  settleClock(S, Out);
  const std::int64_t Current = usageWindow(S);
  const std::int64_t Oldest = Current - KeptWindows;
  dropBefore(U.Own_, Oldest);
  dropBefore(U.Decided_, Oldest);
  dropBefore(U.Reported_, Oldest);
  dropBefore(U.Asked_, Oldest);
  dropBefore(U.Proposed_, Oldest);
  if (!holdsLease(S) || !U.ClockSettled_)
    return;
  if (!U.Asked_.empty() && S.Now_ - U.AskedAt_ > AskAgain)
    U.Asked_.clear();
  const std::int64_t Settled =
      (trueUnixMs(S) - SettleTime) / S.Settings_.Bounds_.UsageWindow_ - 1;
  for (std::int64_t W = std::max(Oldest, U.FirstWindow_); W <= Settled; ++W)
    if (U.Decided_.count(W) == 0 && U.Asked_.count(W) == 0 && isInTime(S, W))
      decide(S, W);
  if (U.Reporting_ >= 0 && S.Now_ - U.SentAt_ < ReportAgain)
    return;
  for (const auto &[Window, Counts] : U.Decided_)
    if (U.Reported_.count(Window) == 0 && isInTime(S, Window)) {
      report(S, Window, Out);
      return;
    }
}

} // namespace endivewharf
