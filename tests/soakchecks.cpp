// Checks of the soak, once it is over and all is known.
#include "soakchecks.h"

#include "platformcluster.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace endivewharf::harness {

namespace {

constexpr Millis ExitLossMargin = 200; // ms before an exit, for what crosses it
constexpr Millis ResumeRequestMargin =
    900; // ms after a process goes on, for requests
constexpr Millis ResumeCallMargin =
    300; // ms after that, for its calls on their way
constexpr std::array<const char *, 9> GuaranteeNames = {
    "lost",           "mixed",          "twice",
    "false_not_run",  "config_reverts", "drain_late",
    "duty_conflicts", "own_exits",      "not_recovered"};
constexpr std::array NotRunStatusCodes = {408, 421, 429, 503};

/// @return true if the process was killed, stood still or went away as it may
/// while the request was under way
bool mayBeIncomplete(const SoakRecord &Record, const RequestObservation &R) {
  for (const EntryIncarnation &Life : Record.Incarnations_[R.Entry_]) {
    const Millis End = Life.EndedAt_ == NoTime ? R.EndedAt_ : Life.EndedAt_;
    const FaultInterval Killed{Life.KilledAt_, End};
    if (Life.KilledAt_ != NoTime && Killed.overlaps(R.SentAt_, R.EndedAt_))
      return true;
    const FaultInterval Exit{
        Life.EndedAt_ - ExitLossMargin - ExitDetectionMargin, Life.EndedAt_};
    if (Life.EndedAt_ != NoTime && Exit.overlaps(R.SentAt_, R.SentAt_))
      return true;
  }
  for (const FaultInterval &T : Record.FrozenIntervals_[R.Entry_])
    if (T.overlaps(R.SentAt_ - ResumeRequestMargin, R.EndedAt_))
      return true;
  // A stream whose servers fail again and again can't be made whole.
  return R.Kind_ == RequestKind::Stream &&
         std::any_of(Record.ServerFaults_.begin(), Record.ServerFaults_.end(),
                     [&](const FaultInterval &T) {
                       return T.overlaps(R.SentAt_, R.EndedAt_);
                     });
}

void checkAnswer(const SoakRecord &Record, const RequestObservation &R,
                 GuaranteeViolations &Out) {
  const std::string Whole = R.Kind_ == RequestKind::Stream
                                ? PlatformCluster::completeStream()
                                : "whole answer to " + R.Id_;
  const bool Complete = R.End_ == TransferEnd::Complete;
  if (Complete && R.Status_ == 200)
    ++Out.ServedRequests_;
  if (!Complete && R.End_ != TransferEnd::NotSent &&
      !mayBeIncomplete(Record, R))
    Out.recordViolation("lost",
                        fmt::format("{} at entry-{} after {} ms, status {}, {} "
                                    "bytes",
                                    R.Id_, R.Entry_, R.EndedAt_ - R.SentAt_,
                                    R.Status_, R.Body_.size()));
  const bool Right = Complete ? R.Body_ == Whole : Whole.rfind(R.Body_, 0) == 0;
  if (R.Status_ == 200 && !Right)
    Out.recordViolation("mixed", fmt::format("{}: {}", R.Id_, R.Body_));
}

/// @return true if a call that came then may be one that a process had on its
/// way when it stood still
bool isFromFrozenProcess(const SoakRecord &Record, const Json &Call) {
  const auto Holder = Call["holder"].get<std::string>();
  const auto At = Call["at"].get<Millis>();
  for (std::size_t I = 0; I < Record.FrozenIntervals_.size(); ++I)
    for (const FaultInterval &T : Record.FrozenIntervals_[I])
      if (Holder == fmt::format("entry-{}", I) &&
          T.overlaps(At - ResumeCallMargin, At))
        return true;
  return false;
}

} // namespace

GuaranteeViolations::GuaranteeViolations(std::int64_t Seed) : Seed_(Seed) {
  for (const char *Promise : GuaranteeNames)
    CountByGuarantee_[Promise] = 0;
}

void GuaranteeViolations::recordViolation(const std::string &Promise,
                                          std::string_view What) {
  ++CountByGuarantee_.at(Promise);
  fmt::print("broken={} seed={} {}\n", Promise, Seed_, What);
}

void GuaranteeViolations::printCounts() const {
  std::string Line = fmt::format("seed={} requests={} served={}", Seed_,
                                 CheckedRequests_, ServedRequests_);
  for (const char *Promise : GuaranteeNames)
    Line += fmt::format(" {}={}", Promise, CountByGuarantee_.at(Promise));
  fmt::print("{}\n", Line);
}

bool GuaranteeViolations::hasNoViolations() const {
  return std::all_of(CountByGuarantee_.begin(), CountByGuarantee_.end(),
                     [](const auto &Entry) { return Entry.second == 0; });
}

void checkRequests(const SoakRecord &Record,
                   const std::map<std::string, int> &Runs,
                   GuaranteeViolations &Out) {
  for (const RequestObservation &R : Record.Observations_) {
    ++Out.CheckedRequests_;
    checkAnswer(Record, R, Out);
    const auto Found = Runs.find(R.Id_);
    const int Ran = Found == Runs.end() ? 0 : Found->second;
    if (R.Kind_ == RequestKind::Booking && Ran > 1)
      Out.recordViolation("twice", fmt::format("{} ran {} times", R.Id_, Ran));
    const bool Promised = R.End_ == TransferEnd::Complete &&
                          std::count(NotRunStatusCodes.begin(),
                                     NotRunStatusCodes.end(), R.Status_) > 0;
    if (Promised && Ran > 0)
      Out.recordViolation("false_not_run",
                          fmt::format("{} status {}", R.Id_, R.Status_));
  }
}

void checkControlCalls(const SoakRecord &Record, const Json &Calls,
                       GuaranteeViolations &Out) {
  std::map<std::int64_t, Json> Counts;
  std::int64_t Newest = -1;
  for (const Json &Call : Calls) {
    const std::int64_t Epoch = std::stoll(Call["epoch"].get<std::string>());
    if (Epoch < Newest && !isFromFrozenProcess(Record, Call))
      Out.recordViolation("duty_conflicts",
                          fmt::format("epoch {} of {} after {}", Epoch,
                                      Call["holder"].get<std::string>(),
                                      Newest));
    Newest = std::max(Newest, Epoch);
    if (Call["call"] != "/usage")
      continue;
    const std::int64_t Window = Call["body"]["windowSeq"];
    const auto [Found, New] = Counts.emplace(Window, Call["body"]["counts"]);
    if (!New && Found->second != Call["body"]["counts"])
      Out.recordViolation("duty_conflicts",
                          fmt::format("two reports of window {}", Window));
  }
}

} // namespace endivewharf::harness
