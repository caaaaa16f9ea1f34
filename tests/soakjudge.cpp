// Checks of the soak, once it is over and all is known.
#include "soakjudge.h"

#include "platformcluster.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace endivewharf::harness {

namespace {

constexpr Millis LossSlack = 200; // ms before an exit, for what crosses it
constexpr Millis ThawSlack = 900; // ms after a process goes on, for requests
constexpr Millis ThawTime = 300;  // ms after that, for its calls on their way
constexpr std::array<const char *, 9> Promises = {
    "lost",           "mixed",          "twice",
    "false_not_run",  "config_reverts", "drain_late",
    "duty_conflicts", "own_exits",      "not_recovered"};
constexpr std::array NotRunStatus = {408, 421, 429, 503};

/// @return true if the process was killed, stood still or went away as it may
/// while the request was under way
bool mayBreak(const SoakRecord &Record, const Seen &R) {
  for (const EntryLife &Life : Record.Lives_[R.Entry_]) {
    const Millis End = Life.EndedAt_ == Never ? R.EndedAt_ : Life.EndedAt_;
    const Interval Killed{Life.KilledAt_, End};
    if (Life.KilledAt_ != Never && Killed.overlaps(R.SentAt_, R.EndedAt_))
      return true;
    const Interval Exit{Life.EndedAt_ - LossSlack - ExitSlack, Life.EndedAt_};
    if (Life.EndedAt_ != Never && Exit.overlaps(R.SentAt_, R.SentAt_))
      return true;
  }
  for (const Interval &T : Record.Frozen_[R.Entry_])
    if (T.overlaps(R.SentAt_ - ThawSlack, R.EndedAt_))
      return true;
  // A stream whose servers fail again and again can't be made whole.
  return R.Kind_ == RequestKind::Stream &&
         std::any_of(Record.ServerFaults_.begin(), Record.ServerFaults_.end(),
                     [&](const Interval &T) {
                       return T.overlaps(R.SentAt_, R.EndedAt_);
                     });
}

void judgeAnswer(const SoakRecord &Record, const Seen &R, Verdict &Out) {
  const std::string Whole = R.Kind_ == RequestKind::Stream
                                ? PlatformCluster::wholeStream()
                                : "whole answer to " + R.Id_;
  const bool Complete = R.End_ == TransferEnd::Complete;
  if (Complete && R.Status_ == 200)
    ++Out.Served_;
  if (!Complete && R.End_ != TransferEnd::NotSent && !mayBreak(Record, R))
    Out.report("lost", fmt::format("{} at entry-{} after {} ms, status {}, {} "
                                   "bytes",
                                   R.Id_, R.Entry_, R.EndedAt_ - R.SentAt_,
                                   R.Status_, R.Body_.size()));
  const bool Right = Complete ? R.Body_ == Whole : Whole.rfind(R.Body_, 0) == 0;
  if (R.Status_ == 200 && !Right)
    Out.report("mixed", fmt::format("{}: {}", R.Id_, R.Body_));
}

/// @return true if a call that came then may be one that a process had on its
/// way when it stood still
bool isOfAFrozenProcess(const SoakRecord &Record, const Json &Call) {
  const auto Holder = Call["holder"].get<std::string>();
  const auto At = Call["at"].get<Millis>();
  for (std::size_t I = 0; I < Record.Frozen_.size(); ++I)
    for (const Interval &T : Record.Frozen_[I])
      if (Holder == fmt::format("entry-{}", I) && T.overlaps(At - ThawTime, At))
        return true;
  return false;
}

} // namespace

Verdict::Verdict(std::int64_t Seed) : Seed_(Seed) {
  for (const char *Promise : Promises)
    Broken_[Promise] = 0;
}

void Verdict::report(const std::string &Promise, std::string_view What) {
  ++Broken_.at(Promise);
  fmt::print("broken={} seed={} {}\n", Promise, Seed_, What);
}

void Verdict::print() const {
  std::string Line =
      fmt::format("seed={} requests={} served={}", Seed_, Requests_, Served_);
  for (const char *Promise : Promises)
    Line += fmt::format(" {}={}", Promise, Broken_.at(Promise));
  fmt::print("{}\n", Line);
}

bool Verdict::isClean() const {
  return std::all_of(Broken_.begin(), Broken_.end(),
                     [](const auto &Entry) { return Entry.second == 0; });
}

void judgeRequests(const SoakRecord &Record,
                   const std::map<std::string, int> &Runs, Verdict &Out) {
  for (const Seen &R : Record.Seen_) {
    ++Out.Requests_;
    judgeAnswer(Record, R, Out);
    const auto Found = Runs.find(R.Id_);
    const int Ran = Found == Runs.end() ? 0 : Found->second;
    if (R.Kind_ == RequestKind::Booking && Ran > 1)
      Out.report("twice", fmt::format("{} ran {} times", R.Id_, Ran));
    const bool Promised =
        R.End_ == TransferEnd::Complete &&
        std::count(NotRunStatus.begin(), NotRunStatus.end(), R.Status_) > 0;
    if (Promised && Ran > 0)
      Out.report("false_not_run",
                 fmt::format("{} status {}", R.Id_, R.Status_));
  }
}

void judgeDuties(const SoakRecord &Record, const Json &Calls, Verdict &Out) {
  std::map<std::int64_t, Json> Counts;
  std::int64_t Newest = -1;
  for (const Json &Call : Calls) {
    const std::int64_t Epoch = std::stoll(Call["epoch"].get<std::string>());
    if (Epoch < Newest && !isOfAFrozenProcess(Record, Call))
      Out.report("duty_conflicts",
                 fmt::format("epoch {} of {} after {}", Epoch,
                             Call["holder"].get<std::string>(), Newest));
    Newest = std::max(Newest, Epoch);
    if (Call["call"] != "/usage")
      continue;
    const std::int64_t Window = Call["body"]["windowSeq"];
    const auto [Found, New] = Counts.emplace(Window, Call["body"]["counts"]);
    if (!New && Found->second != Call["body"]["counts"])
      Out.report("duty_conflicts",
                 fmt::format("two reports of window {}", Window));
  }
}

} // namespace endivewharf::harness
