// Implements log lines as effects, latency histograms, the history of recent
// decisions and the process's random sequence.
#include "diagnostics.h"

#include <algorithm>

namespace endivewharf {

namespace {

constexpr std::size_t MaxDecisions = 512; // entries of the history in `dump`

/// @return name of the call's kind in the latency metrics
std::string callKindLabel(const Call &C) {
  switch (C.Request_.Kind_) {
  case CallKind::Completion:
    return "completion";
  case CallKind::Service:
    return "service";
  case CallKind::Routed:
    break;
  }
  return C.EventStream_ ? "stream" : "plain";
}

} // namespace

void recordLatency(State &S, const std::string &Interval, const Call &C) {
  Histogram &H = S.Counters_.Latencies_[Interval][callKindLabel(C)];
  const Millis Time = S.Now_ - C.ArrivedAt_;
  const auto Bucket = std::lower_bound(LatencyBucketBounds.begin(),
                                       LatencyBucketBounds.end(), Time);
  ++H.Counts_[static_cast<std::size_t>(Bucket - LatencyBucketBounds.begin())];
  H.Sum_ += static_cast<double>(Time);
}

void logEvent(Effects &Out, std::string Event, LogFields Fields) {
  Out.push_back(WriteLogLine{std::move(Event), std::move(Fields), false});
}

void logWarning(Effects &Out, std::string Event, LogFields Fields) {
  Out.push_back(WriteLogLine{std::move(Event), std::move(Fields), true});
}

void recordDecision(State &S, std::string Subject, std::string Text) {
  S.Decisions_.push_back({S.Now_, std::move(Subject), std::move(Text)});
  if (S.Decisions_.size() > MaxDecisions)
    S.Decisions_.pop_front();
}

std::uint64_t nextRandom(State &S) {
  // xorshift64 (G. Marsaglia, Xorshift RNGs, 2003). Its state must not be 0.
  S.Random_ ^= S.Random_ << 13;
  S.Random_ ^= S.Random_ >> 7;
  S.Random_ ^= S.Random_ << 17;
  if (S.Random_ == 0)
    S.Random_ = 1;
  return S.Random_;
}

} // namespace endivewharf
