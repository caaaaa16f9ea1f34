// Checks of the guarantees, which run after the soak has ended.
#include "soakchecks.h"

#include "platformcluster.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace endivewharf::harness {

namespace {

/// Time before an exit in which a request can be sent while the process already
/// closes its connections, in ms.
constexpr Millis ExitLossMargin = 200;
/// Time after a frozen process resumes in which its requests may fail, in ms.
constexpr Millis ResumeRequestMargin = 900;
/// Time after a frozen process resumes in which control calls that it sent
/// before may still arrive, in ms.
constexpr Millis ResumeCallMargin = 300;
constexpr std::array<const char *, 9> GuaranteeNames = {
    "lost",           "mixed",          "twice",
    "false_not_run",  "config_reverts", "drain_late",
    "duty_conflicts", "own_exits",      "not_recovered"};
/// Status codes that tell the caller that the request was not run.
constexpr std::array NotRunStatusCodes = {408, 421, 429, 503};

/// @return true if a fault explains an incomplete answer: the process was
/// killed, frozen or ended as requested while the request was in progress, or a
/// server of a stream failed
bool mayBeIncomplete(const SoakRecord &Record, const RequestObservation &R) {
  for (const EntryIncarnation &Incarnation : Record.Incarnations_[R.Entry_]) {
    const Millis End =
        Incarnation.EndedAt_ == NoTime ? R.EndedAt_ : Incarnation.EndedAt_;
    const FaultInterval Killed{Incarnation.KilledAt_, End};
    if (Incarnation.KilledAt_ != NoTime &&
        Killed.overlaps(R.SentAt_, R.EndedAt_))
      return true;
    const FaultInterval Exit{Incarnation.EndedAt_ - ExitLossMargin -
                                 ExitDetectionMargin,
                             Incarnation.EndedAt_};
    if (Incarnation.EndedAt_ != NoTime && Exit.overlaps(R.SentAt_, R.SentAt_))
      return true;
  }
  for (const FaultInterval &T : Record.FrozenIntervals_[R.Entry_])
    if (T.overlaps(R.SentAt_ - ResumeRequestMargin, R.EndedAt_))
      return true;
  // A stream cannot be completed if its servers fail repeatedly.
  return R.Kind_ == RequestKind::Stream &&
         std::any_of(Record.ServerFaults_.begin(), Record.ServerFaults_.end(),
                     [&](const FaultInterval &T) {
                       return T.overlaps(R.SentAt_, R.EndedAt_);
                     });
}

void checkAnswer(const SoakRecord &Record, const RequestObservation &R,
                 GuaranteeViolations &Out) {
  const std::string Expected = R.Kind_ == RequestKind::Stream
                                   ? PlatformCluster::completeStream()
                                   : "whole answer to " + R.Id_;
  const bool Complete = R.End_ == TransferEnd::Complete;
  if (Complete && R.Status_ == 200)
    ++Out.ServedRequests_;
  if (!Complete && R.End_ != TransferEnd::NotSent &&
      !mayBeIncomplete(Record, R))
    Out.recordViolation(
        "lost",
        fmt::format(
            "request {} at entry-{} ended incomplete after {} ms, status {}, "
            "{} bytes",
            R.Id_, R.Entry_, R.EndedAt_ - R.SentAt_, R.Status_,
            R.Body_.size()));
  const bool BodyCorrect =
      Complete ? R.Body_ == Expected : Expected.rfind(R.Body_, 0) == 0;
  if (R.Status_ == 200 && !BodyCorrect)
    Out.recordViolation(
        "mixed",
        fmt::format("request {} received a wrong body: {}", R.Id_, R.Body_));
}

/// @return true if a control call may have been delayed because its sender was
/// frozen
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
  for (const char *Guarantee : GuaranteeNames)
    CountByGuarantee_[Guarantee] = 0;
}

void GuaranteeViolations::recordViolation(const std::string &Guarantee,
                                          std::string_view Details) {
  ++CountByGuarantee_.at(Guarantee);
  fmt::print("broken={} seed={} {}\n", Guarantee, Seed_, Details);
}

void GuaranteeViolations::printCounts() const {
  std::string Line = fmt::format("seed={} requests={} served={}", Seed_,
                                 CheckedRequests_, ServedRequests_);
  for (const char *Guarantee : GuaranteeNames)
    Line += fmt::format(" {}={}", Guarantee, CountByGuarantee_.at(Guarantee));
  fmt::print("{}\n", Line);
}

bool GuaranteeViolations::hasNoViolations() const {
  return std::all_of(CountByGuarantee_.begin(), CountByGuarantee_.end(),
                     [](const auto &Entry) { return Entry.second == 0; });
}

void checkRequests(const SoakRecord &Record,
                   const std::map<std::string, int> &RunsById,
                   GuaranteeViolations &Out) {
  for (const RequestObservation &R : Record.Observations_) {
    ++Out.CheckedRequests_;
    checkAnswer(Record, R, Out);
    const auto Existing = RunsById.find(R.Id_);
    const int RunCount = Existing == RunsById.end() ? 0 : Existing->second;
    if (R.Kind_ == RequestKind::Booking && RunCount > 1)
      Out.recordViolation(
          "twice", fmt::format("request {} was run {} times", R.Id_, RunCount));
    const bool NotRunReported =
        R.End_ == TransferEnd::Complete &&
        std::count(NotRunStatusCodes.begin(), NotRunStatusCodes.end(),
                   R.Status_) > 0;
    if (NotRunReported && RunCount > 0)
      Out.recordViolation(
          "false_not_run",
          fmt::format("request {} was run but answered with status {}", R.Id_,
                      R.Status_));
  }
}

void checkControlCalls(const SoakRecord &Record, const Json &Calls,
                       GuaranteeViolations &Out) {
  std::map<std::int64_t, Json> CountsByWindow;
  std::int64_t NewestEpoch = -1;
  for (const Json &Call : Calls) {
    const std::int64_t Epoch = std::stoll(Call["epoch"].get<std::string>());
    if (Epoch < NewestEpoch && !isFromFrozenProcess(Record, Call))
      Out.recordViolation(
          "duty_conflicts",
          fmt::format("call with epoch {} of {} after a call with epoch {}",
                      Epoch, Call["holder"].get<std::string>(), NewestEpoch));
    NewestEpoch = std::max(NewestEpoch, Epoch);
    if (Call["call"] != "/usage")
      continue;
    const std::int64_t Window = Call["body"]["windowSeq"];
    const auto [Existing, FirstReport] =
        CountsByWindow.emplace(Window, Call["body"]["counts"]);
    if (!FirstReport && Existing->second != Call["body"]["counts"])
      Out.recordViolation(
          "duty_conflicts",
          fmt::format("two different usage reports for window {}", Window));
  }
}

} // namespace endivewharf::harness
