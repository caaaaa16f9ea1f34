// Usage windows: counting, the decision in the log, and the report.
#include "usage.h"

#include "controllog.h"
#include "diagnostics.h"
#include "lease.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace endivewharf {

namespace {

// Time from the end of a window to its decision, ms: the minimum lets the
// peers' counts arrive, the maximum bounds the wait for unresponsive peers.
// Both are fractions of the time for the report if that is short.
constexpr Millis MinDecisionDelay = 1500;
constexpr Millis MaxDecisionDelay = 5000;
constexpr double MinDecisionFraction = 0.15;
constexpr double MaxDecisionFraction = 0.5;
// Time without an answer after which a record or a report is repeated, ms.
constexpr Millis UsageRecordRetryInterval = 2000;
constexpr Millis UsageReportRetryInterval = 1200;
// Number of past windows that are kept, as they may still be reported: at least
// and at most.
constexpr std::int64_t MinKeptWindows = 8;
constexpr std::int64_t MaxKeptWindows = 128;
// Largest difference between two correct clocks.
constexpr std::int64_t ClockToleranceMs = 300;
// Time after the start in which the peers' clocks are collected, ms.
constexpr Millis ClockSettleTime = 1500;

/// @return number of the window that contains a Unix time in ms
std::int64_t windowAt(const State &S, std::int64_t UnixMs) {
  return static_cast<std::int64_t>(std::floor(
      static_cast<double>(UnixMs) / S.Settings_.Bounds_.UsageWindow_));
}

/// @return Unix time of the end of a window, ms
std::int64_t windowEnd(const State &S, std::int64_t Window) {
  return static_cast<std::int64_t>(std::ceil(static_cast<double>(Window + 1) *
                                             S.Settings_.Bounds_.UsageWindow_));
}

Millis reportTimeFraction(const State &S, double Fraction) {
  return static_cast<Millis>(
      static_cast<double>(S.Settings_.Bounds_.UsageReportTimeout_) * Fraction);
}

Millis minDecisionDelay(const State &S) {
  return std::min(MinDecisionDelay, reportTimeFraction(S, MinDecisionFraction));
}

Millis maxDecisionDelay(const State &S) {
  return std::min(MaxDecisionDelay, reportTimeFraction(S, MaxDecisionFraction));
}

/// @return number of usage windows that a time in ms touches at most, beside
///   the current one
std::int64_t windowsWithin(const State &S, Millis Time) {
  return static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Time) / S.Settings_.Bounds_.UsageWindow_));
}

/// @return number of past windows that may still be reported in time
std::int64_t keptWindows(const State &S) {
  return std::clamp(windowsWithin(S, S.Settings_.Bounds_.UsageReportTimeout_) +
                        1,
                    MinKeptWindows, MaxKeptWindows);
}

/// All known counts of a window, by process incarnation.
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

/// Counts of a window by account, summed over all process incarnations.
std::vector<UsageRow> windowTotals(const State &S, std::int64_t Window) {
  UsageCounts Sum;
  for (const auto &[Instance, Counts] : windowCounts(S, Window))
    for (const auto &[Account, Count] : Counts)
      Sum[Account] += Count;
  std::vector<UsageRow> Rows;
  for (const auto &[Account, Count] : Sum)
    Rows.push_back({Window, Account, Count});
  return Rows;
}

/// Queues the record that decides a window. An append without an answer may
/// have succeeded, so a retry repeats the rows of the first proposal.
void proposeWindowTotals(State &S, std::int64_t Window) {
  UsageState &Usage = S.Usage_;
  Usage.PendingWindows_.insert(Window);
  Usage.UsageRecordSentAt_ = S.Now_;
  const auto [Found, New] = Usage.ProposedRows_.try_emplace(Window);
  if (New)
    Found->second = windowTotals(S, Window);
  queueLogRecord(S, UsageRecord{S.Lease_.Epoch_, Window, Found->second});
}

/// Merges a count of another incarnation. Counts of one incarnation only grow,
/// so the larger one is the newer.
void mergeCount(State &S, std::int64_t Window, const InstanceId &Instance,
                const std::string &Account, std::int64_t Count) {
  if (Instance == S.Self_ || Window <= currentUsageWindow(S) - keptWindows(S))
    return;
  std::int64_t &Stored = S.Usage_.OthersCounts_[Window][Instance][Account];
  Stored = std::max(Stored, Count);
}

/// Saves the counts of the current window and of those just before it, if
/// undecided, to the log. This is done only when a lease record was queued in
/// the same tick, so that one append writes both.
void saveUndecidedCounts(State &S) {
  UsageState &Usage = S.Usage_;
  if (S.Lease_.LastRecordSentAt_ != S.Now_)
    return;
  const std::int64_t Current = currentUsageWindow(S);
  for (std::int64_t Window = Current - undecidedWindows(S); Window <= Current;
       ++Window) {
    UsageCountsRecord R;
    R.Window_ = Window;
    if (Usage.DecidedCounts_.count(Window) == 0)
      for (const auto &[Instance, Counts] : windowCounts(S, Window))
        R.Rows_.push_back({Instance, Counts});
    if (!R.Rows_.empty())
      queueLogRecord(S, std::move(R));
  }
}

/// @param Time earliest time of receipt, monotonic ms
/// @return true if the counts of every known peer were received at or after it
bool hasCountsFromAllPeersSince(const State &S, Millis Time) {
  return std::all_of(
      S.Membership_.Peers_.begin(), S.Membership_.Peers_.end(),
      [&](const auto &Entry) { return Entry.second.UsageReceivedAt_ >= Time; });
}

/// A window is decided when all peers have sent their counts after its end, or
/// when waiting longer for unresponsive peers would make its report late.
bool isReadyToDecide(const State &S, std::int64_t Window) {
  const Millis Elapsed = correctedUnixMs(S) - windowEnd(S, Window);
  const Millis MinDelay = minDecisionDelay(S);
  if (Elapsed < MinDelay)
    return false;
  return Elapsed >= maxDecisionDelay(S) ||
         hasCountsFromAllPeersSince(S, S.Now_ - Elapsed + MinDelay / 2);
}

/// @return true if this process has counts of a window: it was running then, or
/// received the counts of others
bool isWindowKnown(const State &S, std::int64_t Window) {
  return Window >= S.Usage_.FirstWindow_ ||
         S.Usage_.OthersCounts_.count(Window) > 0;
}

/// @return true if it is known which windows may have been decided before the
///   log's present era, with decisions that the log may have lost
bool isUsageFloorKnown(const State &S) {
  return !S.Settings_.servesPlatform() ||
         S.Usage_.FloorEra_ == eraOf(S.Log_.NextOffset_);
}

/// @return the first window that was too young to be decided when this process
///   first knew of the log's era, by the clock of any process
std::int64_t firstWindowOfEra(const State &S) {
  const std::int64_t KnownSince =
      correctedUnixMs(S) - (S.Now_ - S.Log_.EraKnownSince_);
  return windowAt(S, KnownSince - minDecisionDelay(S) + 2 * ClockToleranceMs);
}

/// Queues the record without which no window of the log's era is decided.
void proposeUsageFloor(State &S) {
  UsageState &Usage = S.Usage_;
  if (Usage.FloorSentAt_ != 0 &&
      S.Now_ - Usage.FloorSentAt_ <= UsageRecordRetryInterval)
    return;
  Usage.FloorSentAt_ = S.Now_;
  queueLogRecord(
      S, UsageFloorRecord{eraOf(S.Log_.NextOffset_), firstWindowOfEra(S)});
}

/// Sends the report of a decided window.
void sendUsageReport(State &S, std::int64_t Window, Effects &Out) {
  S.Usage_.ReportingWindow_ = Window;
  S.Usage_.UsageReportSentAt_ = S.Now_;
  Out.push_back(ReportUsage{S.Lease_.Epoch_, Window,
                            S.Usage_.DecidedCounts_.at(Window),
                            S.Lease_.HeldUntil_});
}

/// Checks the clock once after the start. If the median difference to the
/// peers' clocks exceeds the tolerance, the host's time of day was wrong at the
/// start, and the process uses the peers' time from then on.
void correctClock(State &S, Effects &Out) {
  UsageState &Usage = S.Usage_;
  if (Usage.ClockChecked_ || S.Now_ - S.StartedAt_ < ClockSettleTime)
    return;
  Usage.ClockChecked_ = true;
  std::vector<std::int64_t> Differences = {0};
  for (const auto &[Peer, Difference] : Usage.PeerClockDifferences_)
    Differences.push_back(Difference);
  std::sort(Differences.begin(), Differences.end());
  const std::int64_t Median = Differences[Differences.size() / 2];
  if (std::abs(Median) < ClockToleranceMs)
    return;
  Usage.ClockOffset_ += Median;
  Usage.FirstWindow_ = currentUsageWindow(S);
  logWarning(Out, "clock_corrected", {{"by_ms", std::to_string(Median)}});
}

/// @return true if a report for the window would still be in time
bool isReportInTime(const State &S, std::int64_t Window) {
  return correctedUnixMs(S) <
         windowEnd(S, Window) + S.Settings_.Bounds_.UsageReportTimeout_;
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
  return windowAt(S, correctedUnixMs(S));
}

void restartUsageWindows(State &S, double Before) {
  UsageState &Usage = S.Usage_;
  Usage.OwnCounts_.clear();
  Usage.OthersCounts_.clear();
  Usage.DecidedCounts_.clear();
  Usage.ReportedWindows_.clear();
  Usage.PendingWindows_.clear();
  Usage.ProposedRows_.clear();
  Usage.ReportingWindow_ = -1;
  Usage.FirstWindow_ = currentUsageWindow(S) + 1;
  Usage.Floor_ = static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Usage.Floor_) * Before /
                S.Settings_.Bounds_.UsageWindow_));
}

std::int64_t undecidedWindows(const State &S) {
  return std::clamp<std::int64_t>(windowsWithin(S, maxDecisionDelay(S)), 1,
                                  MaxKeptWindows);
}

void recordPeerClock(State &S, const std::string &Peer,
                     std::int64_t PeerUnixMs) {
  if (S.Usage_.ClockChecked_)
    return;
  // A delayed message makes the peer's clock appear behind, never ahead, so the
  // largest difference is the best estimate.
  const std::int64_t Difference = PeerUnixMs - correctedUnixMs(S);
  const auto [Found, New] =
      S.Usage_.PeerClockDifferences_.emplace(Peer, Difference);
  Found->second = std::max(Found->second, Difference);
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
    return; // The first record of a window decides it.
  S.Usage_.PendingWindows_.erase(R.Window_);
  logEvent(Out, "usage_decided", {{"window", std::to_string(R.Window_)}});
}

std::vector<UsageRow> decidedRows(const State &S, std::int64_t Window) {
  std::vector<UsageRow> Rows;
  const auto Found = S.Usage_.DecidedCounts_.find(Window);
  if (Found != S.Usage_.DecidedCounts_.end())
    for (const auto &[Account, Count] : Found->second)
      Rows.push_back({Window, Account, Count});
  return Rows;
}

bool isDecidedOtherwise(const State &S, const UsageRecord &R) {
  const auto Found = S.Usage_.DecidedCounts_.find(R.Window_);
  if (Found == S.Usage_.DecidedCounts_.end())
    return false;
  UsageCounts Counts;
  for (const UsageRow &Row : R.Rows_)
    Counts[Row.Account_] = Row.Count_;
  return Counts != Found->second;
}

void applyUsageFloor(State &S, const UsageFloorRecord &R, Effects &Out) {
  UsageState &Usage = S.Usage_;
  if (isUsageFloorSuperseded(S, R))
    return;
  Usage.FloorEra_ = R.Era_;
  Usage.Floor_ = R.Window_;
  logEvent(Out, "usage_floor",
           {{"era", std::to_string(R.Era_)},
            {"window", std::to_string(R.Window_)},
            {"current", std::to_string(currentUsageWindow(S))}});
}

bool isUsageFloorSuperseded(const State &S, const UsageFloorRecord &R) {
  const UsageState &Usage = S.Usage_;
  return R.Era_ < Usage.FloorEra_ ||
         (R.Era_ == Usage.FloorEra_ && R.Window_ >= Usage.Floor_);
}

std::optional<std::int64_t> usageFloorKnownAcrossEras(const State &S) {
  if (!S.Settings_.servesPlatform() || !isUsageFloorKnown(S) ||
      !isLastHolder(S))
    return std::nullopt;
  return S.Usage_.Floor_;
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
  UsageState &Usage = S.Usage_;
  if (!Usage.ClockOffsetKnown_) {
    Usage.ClockOffsetKnown_ = true;
    Usage.ClockOffset_ = S.UnixMs_ - S.Now_;
    Usage.FirstWindow_ = currentUsageWindow(S);
  }
  correctClock(S, Out);
  const std::int64_t Current = currentUsageWindow(S);
  const std::int64_t Oldest = Current - keptWindows(S);
  dropWindowsBefore(Usage.OwnCounts_, Oldest);
  dropWindowsBefore(Usage.OthersCounts_, Oldest);
  dropWindowsBefore(Usage.DecidedCounts_, Oldest);
  dropWindowsBefore(Usage.ReportedWindows_, Oldest);
  dropWindowsBefore(Usage.PendingWindows_, Oldest);
  dropWindowsBefore(Usage.ProposedRows_, Oldest);
  if (!holdsLease(S) || !Usage.ClockChecked_)
    return;
  if (!Usage.PendingWindows_.empty() &&
      S.Now_ - Usage.UsageRecordSentAt_ > UsageRecordRetryInterval)
    Usage.PendingWindows_.clear();
  const bool FloorKnown = isUsageFloorKnown(S);
  if (!FloorKnown)
    proposeUsageFloor(S);
  // A floor that lies ahead was stated for windows of another length.
  const std::int64_t Floor = Usage.Floor_ <= Current + 1 ? Usage.Floor_ : 0;
  for (std::int64_t Window = std::max(Oldest, Floor);
       FloorKnown && Window < Current; ++Window)
    if (Usage.DecidedCounts_.count(Window) == 0 &&
        Usage.PendingWindows_.count(Window) == 0 && isWindowKnown(S, Window) &&
        isReadyToDecide(S, Window) && isReportInTime(S, Window))
      proposeWindowTotals(S, Window);
  saveUndecidedCounts(S);
  if (Usage.ReportingWindow_ >= 0 &&
      S.Now_ - Usage.UsageReportSentAt_ < UsageReportRetryInterval)
    return;
  for (const auto &[Window, Counts] : Usage.DecidedCounts_)
    if (Usage.ReportedWindows_.count(Window) == 0 &&
        isReportInTime(S, Window)) {
      sendUsageReport(S, Window, Out);
      return;
    }
}

} // namespace endivewharf
