// Usage windows: own counts, the decision in the log, the report.
#include "usage.h"

#include "controllog.h"
#include "diagnostics.h"
#include "lease.h"

#include <algorithm>
#include <cstdlib>

namespace endivewharf {

namespace {

constexpr Millis MinDecisionDelay =
    1500; // ms after a window, for peers' counts
constexpr Millis MaxDecisionDelay = 5000; // ms, for peers that are silent
constexpr Millis UsageRecordRetryInterval =
    2000; // ms until a lost record is repeated
constexpr Millis UsageReportRetryInterval =
    1200;                               // ms until a lost report is repeated
constexpr std::int64_t KeptWindows = 8; // that may still be reported
constexpr std::int64_t ClockTolerance = 300; // ms between two true clocks
constexpr Millis ClockSettleTime = 1500;     // ms in which peers are heard

/// All counts of a window, by life.
std::map<InstanceId, UsageCounts> windowCounts(const State &S,
                                               std::int64_t Window) {
  std::map<InstanceId, UsageCounts> Counts;
  const auto Others = S.Usage_.OthersCounts_.find(Window);
  if (Others != S.Usage_.OthersCounts_.end())
    Counts = Others->second;
  const auto Own = S.Usage_.OwnCounts_.find(Window);
  if (Own != S.Usage_.OwnCounts_.end())
    Counts[S.Self_] = Own->second;
  return Counts;
}

std::vector<UsageRow> windowTotals(const State &S, std::int64_t Window) {
  UsageCounts Sum;
  for (const auto &[Who, Counts] : windowCounts(S, Window))
    for (const auto &[Account, Count] : Counts)
      Sum[Account] += Count;
  std::vector<UsageRow> Rows;
  for (const auto &[Account, Count] : Sum)
    Rows.push_back({Window, Account, Count});
  return Rows;
}

/// A record whose append got no answer may be in the log all the same, so it
/// is repeated as it was.
void proposeWindowTotals(State &S, std::int64_t Window) {
  UsageState &U = S.Usage_;
  U.PendingWindows_.insert(Window);
  U.UsageRecordSentAt_ = S.Now_;
  const auto [Found, New] = U.ProposedRows_.try_emplace(Window);
  if (New)
    Found->second = windowTotals(S, Window);
  queueLogRecord(S, UsageRecord{S.Lease_.Epoch_, Window, Found->second});
}

/// Counts of a life only grow, so the larger one is the later one.
void mergeCount(State &S, std::int64_t Window, const InstanceId &Who,
                const std::string &Account, std::int64_t Count) {
  if (Who == S.Self_ || Window <= currentUsageWindow(S) - KeptWindows)
    return;
  std::int64_t &Known = S.Usage_.OthersCounts_[Window][Who][Account];
  Known = std::max(Known, Count);
}

/// Saves the counts of windows that are not decided yet, in one call with the
/// renewal of the lease.
void saveUndecidedCounts(State &S) {
  UsageState &U = S.Usage_;
  if (S.Lease_.LastRecordSentAt_ != S.Now_)
    return;
  const std::int64_t Current = currentUsageWindow(S);
  for (std::int64_t W = Current - 1; W <= Current; ++W) {
    UsageCountsRecord R;
    R.Window_ = W;
    if (U.DecidedCounts_.count(W) == 0)
      for (const auto &[Who, Counts] : windowCounts(S, W))
        R.Rows_.push_back({Who, Counts});
    if (!R.Rows_.empty())
      queueLogRecord(S, std::move(R));
  }
}

/// @return true if every process known has told its counts since then
bool hasCountsFromAllPeersSince(const State &S, Millis Then) {
  return std::all_of(
      S.Membership_.Peers_.begin(), S.Membership_.Peers_.end(),
      [&](const auto &Entry) { return Entry.second.UsageReceivedAt_ >= Then; });
}

/// A window is decided when all have told what they counted in it, or when
/// waiting longer for the silent ones would make its report late.
bool isReadyToDecide(const State &S, std::int64_t Window) {
  const Millis Since =
      correctedUnixMs(S) - (Window + 1) * S.Settings_.Bounds_.UsageWindow_;
  if (Since < MinDecisionDelay)
    return false;
  return Since >= MaxDecisionDelay ||
         hasCountsFromAllPeersSince(S, S.Now_ - Since + MinDecisionDelay / 2);
}

/// @return true if this process knows what ran in a window
bool isWindowKnown(const State &S, std::int64_t Window) {
  return Window >= S.Usage_.FirstWindow_ ||
         S.Usage_.OthersCounts_.count(Window) > 0;
}

void sendUsageReport(State &S, std::int64_t Window, Effects &Out) {
  S.Usage_.ReportingWindow_ = Window;
  S.Usage_.UsageReportSentAt_ = S.Now_;
  Out.push_back(ReportUsage{S.Lease_.Epoch_, Window,
                            S.Usage_.DecidedCounts_.at(Window),
                            S.Lease_.HeldUntil_});
}

/// Once after the start: a process that started while its host's time of day
/// was wrong sees most others ahead or behind, and goes by them from then on.
void correctClock(State &S, Effects &Out) {
  UsageState &U = S.Usage_;
  if (U.ClockChecked_ || S.Now_ - S.StartedAt_ < ClockSettleTime)
    return;
  U.ClockChecked_ = true;
  std::vector<std::int64_t> Ahead = {0};
  for (const auto &[Peer, Difference] : U.PeerClockDifferences_)
    Ahead.push_back(Difference);
  std::sort(Ahead.begin(), Ahead.end());
  const std::int64_t Median = Ahead[Ahead.size() / 2];
  if (std::abs(Median) < ClockTolerance)
    return;
  U.ClockOffset_ += Median;
  U.FirstWindow_ = currentUsageWindow(S);
  logWarning(Out, "clock_corrected", {{"by_ms", std::to_string(Median)}});
}

/// @return true if a report for the window would still be in time
bool isReportInTime(const State &S, std::int64_t Window) {
  const BoundSettings &B = S.Settings_.Bounds_;
  return correctedUnixMs(S) <
         (Window + 1) * B.UsageWindow_ + B.UsageReportTimeout_;
}

template <typename Container>
void dropWindowsBefore(Container &Windows, std::int64_t First) {
  Windows.erase(Windows.begin(), Windows.lower_bound(First));
}

} // namespace

std::int64_t correctedUnixMs(const State &S) {
  return S.Usage_.ClockOffsetKnown_ ? S.Now_ + S.Usage_.ClockOffset_
                                    : S.UnixMs_;
}

std::int64_t currentUsageWindow(const State &S) {
  return correctedUnixMs(S) / S.Settings_.Bounds_.UsageWindow_;
}

void recordPeerClock(State &S, const std::string &Peer,
                     std::int64_t PeerUnixMs) {
  if (S.Usage_.ClockChecked_)
    return;
  // A message that was held up shows less than the peer's time, never more.
  const std::int64_t Ahead = PeerUnixMs - correctedUnixMs(S);
  const auto [Found, New] = S.Usage_.PeerClockDifferences_.emplace(Peer, Ahead);
  Found->second = std::max(Found->second, Ahead);
}

void countStartedCall(State &S, Call &C) {
  if (C.Account_.empty() || C.UsageCounted_)
    return;
  C.UsageCounted_ = true;
  ++S.Usage_.OwnCounts_[currentUsageWindow(S)][C.Account_];
}

void mergePeerUsage(State &S, const InstanceId &From,
                    std::span<const UsageRow> Rows) {
  for (const UsageRow &Row : Rows)
    mergeCount(S, Row.Window_, From, Row.Account_, Row.Count_);
}

void applyUsageCounts(State &S, const UsageCountsRecord &R) {
  for (const InstanceUsageRow &Row : R.Rows_)
    for (const auto &[Account, Count] : Row.Counts_)
      mergeCount(S, R.Window_, Row.Instance_, Account, Count);
}

void applyDecidedUsage(State &S, const UsageRecord &R, Effects &Out) {
  UsageCounts Counts;
  for (const UsageRow &Row : R.Rows_)
    Counts[Row.Account_] = Row.Count_;
  if (!S.Usage_.DecidedCounts_.emplace(R.Window_, std::move(Counts)).second)
    return; // the first record for a window holds
  S.Usage_.PendingWindows_.erase(R.Window_);
  logEvent(Out, "usage_decided", {{"window", std::to_string(R.Window_)}});
}

void onUsageReportAnswered(State &S, const UsageReportAnswered &E,
                           Effects &Out) {
  if (S.Usage_.ReportingWindow_ == E.Window_)
    S.Usage_.ReportingWindow_ = -1;
  if (!E.Accepted_)
    return;
  S.Usage_.ReportedWindows_.insert(E.Window_);
  logEvent(Out, "usage_reported", {{"window", std::to_string(E.Window_)}});
}

void tickUsage(State &S, Effects &Out) {
  UsageState &U = S.Usage_;
  if (!U.ClockOffsetKnown_) {
    U.ClockOffsetKnown_ = true;
    U.ClockOffset_ = S.UnixMs_ - S.Now_;
    U.FirstWindow_ = currentUsageWindow(S);
  }
  correctClock(S, Out);
  const std::int64_t Current = currentUsageWindow(S);
  const std::int64_t Oldest = Current - KeptWindows;
  dropWindowsBefore(U.OwnCounts_, Oldest);
  dropWindowsBefore(U.OthersCounts_, Oldest);
  dropWindowsBefore(U.DecidedCounts_, Oldest);
  dropWindowsBefore(U.ReportedWindows_, Oldest);
  dropWindowsBefore(U.PendingWindows_, Oldest);
  dropWindowsBefore(U.ProposedRows_, Oldest);
  if (!holdsLease(S) || !U.ClockChecked_)
    return;
  if (!U.PendingWindows_.empty() &&
      S.Now_ - U.UsageRecordSentAt_ > UsageRecordRetryInterval)
    U.PendingWindows_.clear();
  for (std::int64_t W = Oldest; W < Current; ++W)
    if (U.DecidedCounts_.count(W) == 0 && U.PendingWindows_.count(W) == 0 &&
        isWindowKnown(S, W) && isReadyToDecide(S, W) && isReportInTime(S, W))
      proposeWindowTotals(S, W);
  saveUndecidedCounts(S);
  if (U.ReportingWindow_ >= 0 &&
      S.Now_ - U.UsageReportSentAt_ < UsageReportRetryInterval)
    return;
  for (const auto &[Window, Counts] : U.DecidedCounts_)
    if (U.ReportedWindows_.count(Window) == 0 && isReportInTime(S, Window)) {
      sendUsageReport(S, Window, Out);
      return;
    }
}

} // namespace endivewharf
