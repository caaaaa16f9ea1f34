// Usage windows: own counts, the decision in the log, the report.
#include "usage.h"

#include "controllog.h"
#include "lease.h"
#include "record.h"

#include <algorithm>
#include <cstdlib>

namespace endivewharf {

namespace {

constexpr Millis SettleTime = 1500; // ms after a window, for peers' counts
constexpr Millis LongestSettleTime = 5000; // ms, for peers that are silent
constexpr Millis AskAgain = 2000;          // ms until a lost record is repeated
constexpr Millis ReportAgain = 1200;       // ms until a lost report is repeated
constexpr std::int64_t KeptWindows = 8;    // that may still be reported
constexpr std::int64_t ClockTolerance = 300; // ms between two true clocks
constexpr Millis ClockSettleTime = 1500;     // ms in which peers are heard

/// All counts of a window, by life.
std::map<Life, UsageCounts> countsOf(const State &S, std::int64_t Window) {
  std::map<Life, UsageCounts> Counts;
  const auto Others = S.Usage_.Others_.find(Window);
  if (Others != S.Usage_.Others_.end())
    Counts = Others->second;
  const auto Own = S.Usage_.Own_.find(Window);
  if (Own != S.Usage_.Own_.end())
    Counts[S.Self_] = Own->second;
  return Counts;
}

std::vector<UsageRow> sumOf(const State &S, std::int64_t Window) {
  UsageCounts Sum;
  for (const auto &[Who, Counts] : countsOf(S, Window))
    for (const auto &[Account, Count] : Counts)
      Sum[Account] += Count;
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

/// Counts of a life only grow, so the larger one is the later one.
void raise(State &S, std::int64_t Window, const Life &Who,
           const std::string &Account, std::int64_t Count) {
  if (Who == S.Self_ || Window <= usageWindow(S) - KeptWindows)
    return;
  std::int64_t &Known = S.Usage_.Others_[Window][Who][Account];
  Known = std::max(Known, Count);
}

/// Saves the counts of windows that are not decided yet, in one call with the
/// renewal of the lease.
void saveCounts(State &S) {
  UsageState &U = S.Usage_;
  if (S.Lease_.SentAt_ != S.Now_)
    return;
  const std::int64_t Current = usageWindow(S);
  for (std::int64_t W = Current - 1; W <= Current; ++W) {
    UsageCountsRecord R;
    R.Window_ = W;
    if (U.Decided_.count(W) == 0)
      for (const auto &[Who, Counts] : countsOf(S, W))
        R.Rows_.push_back({Who, Counts});
    if (!R.Rows_.empty())
      appendRecord(S, std::move(R));
  }
}

/// @return true if every process known has told its counts since then
bool allHeardSince(const State &S, Millis Then) {
  return std::all_of(
      S.Membership_.Members_.begin(), S.Membership_.Members_.end(),
      [&](const auto &Entry) { return Entry.second.UsageAt_ >= Then; });
}

/// A window is decided when all have told what they counted in it, or when
/// waiting longer for the silent ones would make its report late.
bool isSettled(const State &S, std::int64_t Window) {
  const Millis Since =
      trueUnixMs(S) - (Window + 1) * S.Settings_.Bounds_.UsageWindow_;
  if (Since < SettleTime)
    return false;
  return Since >= LongestSettleTime ||
         allHeardSince(S, S.Now_ - Since + SettleTime / 2);
}

/// @return true if this process knows what ran in a window
bool isKnown(const State &S, std::int64_t Window) {
  return Window >= S.Usage_.FirstWindow_ || S.Usage_.Others_.count(Window) > 0;
}

void report(State &S, std::int64_t Window, Effects &Out) {
  S.Usage_.Reporting_ = Window;
  S.Usage_.SentAt_ = S.Now_;
  Out.push_back(ReportUsage{S.Lease_.Epoch_, Window,
                            S.Usage_.Decided_.at(Window), S.Lease_.HeldUntil_});
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

void noteUsage(State &S, const Life &From, std::span<const UsageRow> Rows) {
  for (const UsageRow &Row : Rows)
    raise(S, Row.Window_, From, Row.Account_, Row.Count_);
}

void noteCounts(State &S, const UsageCountsRecord &R) {
  for (const LifeUsageRow &Row : R.Rows_)
    for (const auto &[Account, Count] : Row.Counts_)
      raise(S, R.Window_, Row.Life_, Account, Count);
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
  dropBefore(U.Others_, Oldest);
  dropBefore(U.Decided_, Oldest);
  dropBefore(U.Reported_, Oldest);
  dropBefore(U.Asked_, Oldest);
  dropBefore(U.Proposed_, Oldest);
  if (!holdsLease(S) || !U.ClockSettled_)
    return;
  if (!U.Asked_.empty() && S.Now_ - U.AskedAt_ > AskAgain)
    U.Asked_.clear();
  for (std::int64_t W = Oldest; W < Current; ++W)
    if (U.Decided_.count(W) == 0 && U.Asked_.count(W) == 0 && isKnown(S, W) &&
        isSettled(S, W) && isInTime(S, W))
      decide(S, W);
  saveCounts(S);
  if (U.Reporting_ >= 0 && S.Now_ - U.SentAt_ < ReportAgain)
    return;
  for (const auto &[Window, Counts] : U.Decided_)
    if (U.Reported_.count(Window) == 0 && isInTime(S, Window)) {
      report(S, Window, Out);
      return;
    }
}

} // namespace endivewharf
