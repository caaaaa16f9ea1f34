// Log lines as effects, recent decisions, the process's random sequence.
#include "record.h"

namespace endivewharf {

namespace {

constexpr std::size_t MaxDecisions = 512; // kept for `dump`

} // namespace

void logEvent(Effects &Out, std::string Event, LogFields Fields) {
  Out.push_back(WriteLog{std::move(Event), std::move(Fields), false});
}

void logWarning(Effects &Out, std::string Event, LogFields Fields) {
  Out.push_back(WriteLog{std::move(Event), std::move(Fields), true});
}

void remember(State &S, std::string Subject, std::string Text) {
  S.Decisions_.push_back({S.Now_, std::move(Subject), std::move(Text)});
  if (S.Decisions_.size() > MaxDecisions)
    S.Decisions_.pop_front();
}

std::uint64_t nextRandom(State &S) {
  // xorshift64 (G. Marsaglia, Xorshift RNGs, 2003).
  S.Random_ ^= S.Random_ << 13;
  S.Random_ ^= S.Random_ >> 7;
  S.Random_ ^= S.Random_ << 17;
  if (S.Random_ == 0)
    S.Random_ = 1;
  return S.Random_;
}

} // namespace endivewharf
