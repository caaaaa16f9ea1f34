// Rollouts of models. Any process may roll a version back; raising a share
// needs the lease.
#include "release.h"

#include "controllog.h"
#include "diagnostics.h"
#include "evidence.h"
#include "hostversions.h"
#include "lease.h"
#include "membership.h"
#include "router.h"
#include "strain.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr std::array ShareSteps = {0.05, 0.25, 0.5, 1.0};
// Bounds of the time between two raises of the share, ms.
constexpr Millis MinStepInterval = 2000;
constexpr Millis MaxStepInterval = 60000;
// Time after which a lost share record is repeated, ms.
constexpr Millis ShareRetryInterval = 2000;
constexpr Millis EvaluationPeriod = 200; // ms
// Time of a round of concurrent loads, ms.
constexpr Millis TypicalModelLoadTime = 1000;
// Time after which a load command is repeated, ms.
constexpr Millis LoadCommandRetryInterval = 10000;
// Limit of the engines that load at the same time, for the sake of the weight
// store's bandwidth.
constexpr int MaxConcurrentModelLoads = 2;
// Largest number of requests by which the new version may be behind its share.
constexpr double MaxShareCredit = 2;

/// @return the smallest step above a share
double nextShareStep(double Share) {
  for (const double Step : ShareSteps)
    if (Step > Share + 1e-9)
      return Step;
  return 1;
}

int shareStepsLeft(double Share) {
  int Left = 0;
  for (const double Step : ShareSteps)
    Left += Step > Share + 1e-9 ? 1 : 0;
  return Left;
}

/// Time between two steps, planned backwards from the note's deadline.
Millis stepInterval(const State &S, const RolloutState &Rollout) {
  const Millis Left = Rollout.Row_.DeadlineUnixMs_ - S.UnixMs_;
  const Millis Steps = std::max(1, shareStepsLeft(Rollout.Row_.Share_));
  // Half of the time is kept in reserve.
  const Millis Planned = Left / (2 * Steps);
  return std::clamp(Planned, MinStepInterval, MaxStepInterval);
}

/// How far the upstreams have loaded the new version of a rollout.
struct ModelLoadProgress {
  int UsableUpstreams_ = 0; ///< Usable upstreams with the old or new version.
  int WithNewVersion_ = 0;  ///< Of these, with the new one.
  int Loading_ = 0;         ///< Upstreams with a recent load command.
};

ModelLoadProgress modelLoadProgress(const State &S,
                                    const RolloutState &Rollout) {
  ModelLoadProgress Result;
  for (const Upstream &U : S.Upstreams_) {
    if (U.Leaving_ || !U.Listed_)
      continue;
    const bool Old =
        U.Loaded_.count({Rollout.Row_.Model_, Rollout.Row_.FromVersion_}) > 0;
    const bool New =
        U.Loaded_.count({Rollout.Row_.Model_, Rollout.Row_.ToVersion_}) > 0;
    Result.UsableUpstreams_ += Old || New ? 1 : 0;
    Result.WithNewVersion_ += New ? 1 : 0;
    if (Old && !New && U.LoadCommandSentAt_ != 0 &&
        S.Now_ - U.LoadCommandSentAt_ < LoadCommandRetryInterval)
      ++Result.Loading_;
  }
  return Result;
}

/// Sends load commands to upstreams that have only the old version, up to the
/// limit of concurrent loads.
/// @param Loading number of upstreams that are loading already
void sendLoadCommands(State &S, const RolloutState &Rollout, int Loading,
                      Effects &Out) {
  for (Upstream &U : S.Upstreams_) {
    if (Loading >= MaxConcurrentModelLoads)
      return;
    const bool NeedsLoad =
        !U.Leaving_ && U.Listed_ &&
        U.Loaded_.count({Rollout.Row_.Model_, Rollout.Row_.FromVersion_}) > 0 &&
        U.Loaded_.count({Rollout.Row_.Model_, Rollout.Row_.ToVersion_}) == 0;
    if (!NeedsLoad ||
        (U.LoadCommandSentAt_ != 0 &&
         S.Now_ - U.LoadCommandSentAt_ < LoadCommandRetryInterval))
      continue;
    U.LoadCommandSentAt_ = S.Now_;
    ++Loading;
    Out.push_back(LoadModelVersion{U.Row_.Host_, U.Row_.Address_,
                                   S.Lease_.Epoch_, Rollout.Row_.Model_,
                                   Rollout.Row_.ToVersion_});
  }
}

/// Queues a record that changes the share.
void requestShare(State &S, RolloutState &Rollout, double Share,
                  std::string Reason) {
  Rollout.PendingShare_ = Share;
  Rollout.PendingShareSince_ = S.Now_;
  queueLogRecord(S, ShareRecord{S.Lease_.Epoch_, Rollout.Row_.NoteVersion_,
                                Rollout.Row_.Model_, Share, std::move(Reason)});
}

/// Sends load commands, and raises the share by a step when enough upstreams
/// have loaded the new version, the verdict is good and the step's time has
/// passed. The first step needs one upstream with the new version and no
/// verdict.
void raiseShareIfDue(State &S, RolloutState &Rollout, const Verdict &V,
                     Effects &Out) {
  if (Rollout.Row_.RolledBack_ || Rollout.Row_.Share_ >= 1)
    return;
  const ModelLoadProgress Loads = modelLoadProgress(S, Rollout);
  sendLoadCommands(S, Rollout, Loads.Loading_, Out);
  if (Rollout.PendingShare_ >= 0 &&
      S.Now_ - Rollout.PendingShareSince_ < ShareRetryInterval)
    return;
  const double Next = nextShareStep(Rollout.Row_.Share_);
  const double LoadedFraction =
      Loads.UsableUpstreams_ == 0
          ? 0
          : static_cast<double>(Loads.WithNewVersion_) / Loads.UsableUpstreams_;
  if (Loads.WithNewVersion_ == 0 ||
      (Next > ShareSteps[0] && LoadedFraction < Next))
    return;
  if (Rollout.Row_.Share_ == 0) {
    requestShare(S, Rollout, Next, "first share");
    return;
  }
  if (S.Now_ - Rollout.ShareChangedAt_ < stepInterval(S, Rollout) ||
      V.Kind_ != VerdictKind::Good)
    return;
  requestShare(S, Rollout, Next, "the evidence is good");
}

/// Logs once that a rollout has missed its deadline.
void warnIfRolloutLate(const State &S, RolloutState &Rollout, Effects &Out) {
  if (Rollout.LateReported_ || Rollout.Row_.RolledBack_ ||
      Rollout.Row_.Share_ >= 1 || S.UnixMs_ <= Rollout.Row_.DeadlineUnixMs_)
    return;
  Rollout.LateReported_ = true;
  logWarning(Out, "move_late",
             {{"note", Rollout.Row_.NoteId_},
              {"model", Rollout.Row_.Model_},
              {"share", fmt::format("{}", Rollout.Row_.Share_)}});
}

/// Minimum time that a rollout still needs: its rounds of model loads one after
/// the other, and its remaining steps.
Millis minRolloutTime(const State &S, const RolloutState &Rollout) {
  const ModelLoadProgress Loads = modelLoadProgress(S, Rollout);
  const Millis Missing = Loads.UsableUpstreams_ - Loads.WithNewVersion_;
  const Millis Rounds =
      (Missing + MaxConcurrentModelLoads - 1) / MaxConcurrentModelLoads;
  return Rounds * TypicalModelLoadTime +
         MinStepInterval * shareStepsLeft(Rollout.Row_.Share_);
}

/// Logs a rollout whose deadline is too early, when its note is applied.
void warnIfRolloutInfeasible(State &S, const RolloutState &Rollout,
                             Effects &Out) {
  const Millis Left = Rollout.Row_.DeadlineUnixMs_ - S.UnixMs_;
  const Millis Needed = minRolloutTime(S, Rollout);
  if (Left >= Needed)
    return;
  recordDecision(
      S, Rollout.Row_.Model_,
      fmt::format(
          "infeasible: {} ms left until the deadline, at least {} ms needed",
          Left, Needed));
  logWarning(Out, "move_infeasible",
             {{"note", Rollout.Row_.NoteId_},
              {"model", Rollout.Row_.Model_},
              {"left_ms", std::to_string(Left)},
              {"needed_ms", std::to_string(Needed)}});
}

RolloutState makeRollout(const State &S, RolloutRow Row) {
  RolloutState Rollout;
  Rollout.Row_ = std::move(Row);
  Rollout.StartedAt_ = S.Now_;
  Rollout.ShareChangedAt_ = S.Now_;
  return Rollout;
}

/// Version of a model that is in force when a new release note arrives.
std::string versionInForce(const State &S, const std::string &Model) {
  const auto Found = S.Release_.Rollouts_.find(Model);
  if (Found != S.Release_.Rollouts_.end()) {
    const RolloutRow &Row = Found->second.Row_;
    return !Row.RolledBack_ && Row.Share_ >= 1 ? Row.ToVersion_
                                               : Row.FromVersion_;
  }
  return S.Config_.Configuration_.Models_.at(Model).Version_;
}

} // namespace

void applyReleaseNote(State &S, LogOffset Offset, const ReleaseNoteRecord &R,
                      Effects &Out) {
  const auto Reject = [&](std::string Reason) {
    logWarning(Out, "note_rejected", {{"note", R.Id_}, {"reason", Reason}});
    S.Release_.RejectedNotes_[Offset] = std::move(Reason);
  };
  if (R.BaseVersion_ != S.Release_.NoteVersion_) {
    Reject(fmt::format("based on note {}, but the latest note is {}",
                       R.BaseVersion_, S.Release_.NoteVersion_));
    return;
  }
  for (const VersionChange &Change : R.Changes_)
    if (S.Config_.Configuration_.Models_.count(Change.Model_) == 0) {
      Reject(
          fmt::format("model {} is not in the configuration", Change.Model_));
      return;
    }
  S.Release_.NoteVersion_ = Offset;
  for (const VersionChange &Change : R.Changes_) {
    RolloutRow Row{Offset,
                   R.Id_,
                   R.DeadlineUnixMs_,
                   Change.Model_,
                   versionInForce(S, Change.Model_),
                   Change.ToVersion_,
                   0,
                   false,
                   ""};
    S.Release_.Rollouts_[Change.Model_] = makeRollout(S, std::move(Row));
    warnIfRolloutInfeasible(S, S.Release_.Rollouts_[Change.Model_], Out);
    recordDecision(S, Change.Model_,
                   fmt::format("rollout to {} started by note {}",
                               Change.ToVersion_, R.Id_));
    logEvent(
        Out, "move_started",
        {{"note", R.Id_}, {"model", Change.Model_}, {"to", Change.ToVersion_}});
  }
}

void applyRolloutShare(State &S, const ShareRecord &R, Effects &Out) {
  // On the platform a share only grows. A smaller one comes from a copy of the
  // log that is older than what is known.
  double &Known = S.Release_.Shares_[{R.NoteVersion_, R.Model_}];
  if (S.Settings_.servesPlatform() && R.Share_ < Known)
    return;
  Known = R.Share_;
  const auto Found = S.Release_.Rollouts_.find(R.Model_);
  if (Found == S.Release_.Rollouts_.end() ||
      Found->second.Row_.NoteVersion_ != R.NoteVersion_ ||
      Found->second.Row_.RolledBack_)
    return;
  RolloutState &Rollout = Found->second;
  Rollout.Row_.Share_ = R.Share_;
  Rollout.ShareChangedAt_ = S.Now_;
  Rollout.PendingShare_ = -1;
  const bool Done = R.Share_ >= 1;
  recordDecision(S, R.Model_,
                 fmt::format("share {} for version {}: {}", R.Share_,
                             Rollout.Row_.ToVersion_, R.Reason_));
  logEvent(Out, Done ? "move_done" : "move_share",
           {{"note", Rollout.Row_.NoteId_},
            {"model", R.Model_},
            {"share", fmt::format("{}", R.Share_)},
            {"reason", R.Reason_}});
}

void rollBackVersion(State &S, const BadVersionFact &Fact, Effects &Out) {
  const auto [Known, New] = S.Release_.BadVersionFacts_.emplace(
      std::pair(Fact.NoteVersion_, Fact.Model_), Fact);
  const auto Found = S.Release_.Rollouts_.find(Fact.Model_);
  if (Found != S.Release_.Rollouts_.end() &&
      Found->second.Row_.NoteVersion_ == Fact.NoteVersion_ &&
      !Found->second.Row_.RolledBack_) {
    Found->second.Row_.RolledBack_ = true;
    Found->second.Row_.Reason_ = Fact.Reason_;
    recordDecision(S, Fact.Model_,
                   fmt::format("rolled back: {}", Fact.Reason_));
    logWarning(Out, "move_taken_back",
               {{"note", Found->second.Row_.NoteId_},
                {"model", Fact.Model_},
                {"reason", Fact.Reason_}});
  }
  if (New)
    gossipFacts(S, {{}, {Fact}, {}}, "", Out);
}

void adoptModelRollouts(State &S, LogOffset NoteVersion,
                        const std::vector<RolloutRow> &Rows, Effects &Out) {
  S.Release_.NoteVersion_ = std::max(S.Release_.NoteVersion_, NoteVersion);
  for (const RolloutRow &Row : Rows) {
    const auto Found = S.Release_.Rollouts_.find(Row.Model_);
    if (Found != S.Release_.Rollouts_.end() &&
        Found->second.Row_.NoteVersion_ == Row.NoteVersion_) {
      Found->second.Row_.Share_ = Row.Share_;
      Found->second.ShareChangedAt_ = S.Now_;
    } else {
      S.Release_.Rollouts_[Row.Model_] = makeRollout(S, Row);
    }
    // This process may know a verdict that the sender did not know yet.
    const auto Bad =
        S.Release_.BadVersionFacts_.find({Row.NoteVersion_, Row.Model_});
    if (Bad != S.Release_.BadVersionFacts_.end() || Row.RolledBack_) {
      S.Release_.Rollouts_[Row.Model_].Row_.RolledBack_ = false;
      rollBackVersion(S, {Row.NoteVersion_, Row.Model_, Row.Reason_}, Out);
    }
  }
}

bool isNewVersionDue(const State &, const RolloutState &Rollout) {
  if (Rollout.Row_.RolledBack_ || Rollout.Row_.Share_ <= 0)
    return false;
  return Rollout.Row_.Share_ >= 1 || Rollout.ShareCredit_ >= 1;
}

void countVersionAttempt(State &S, const std::string &Model, bool New) {
  const auto Found = S.Release_.Rollouts_.find(Model);
  if (Found == S.Release_.Rollouts_.end())
    return;
  RolloutState &Rollout = Found->second;
  // The credit grows by the share with each attempt, and an attempt at the new
  // version spends 1. So the new version never gets more than its share of the
  // attempts, in each process and summed over all processes.
  Rollout.ShareCredit_ =
      std::min(MaxShareCredit, Rollout.ShareCredit_ + Rollout.Row_.Share_);
  if (!New)
    return;
  Rollout.ShareCredit_ = std::max(0.0, Rollout.ShareCredit_ - 1);
  ++Rollout.NewAttempts_;
  incrementCounter(S, "new_version_attempts");
}

void recordVersionOutcome(State &S, const Attempt &A, const Call &C,
                          SampleKind Kind, Effects &Out) {
  if (recordEvidenceSample(S, A, C, Kind))
    evaluateRollouts(S, Out);
}

void recordVersionOverdue(State &S, const Call &C, Effects &Out) {
  const auto Found = S.Attempts_.find(C.Attempt_);
  if (Found == S.Attempts_.end() || C.Request_.Kind_ != CallKind::Routed)
    return;
  const Attempt &A = Found->second;
  const bool HadMostOfTheTime =
      2 * (S.Now_ - A.StartedAt_) >= C.Deadline_ - C.ArrivedAt_;
  if (HadMostOfTheTime)
    recordVersionOutcome(S, A, C, SampleKind::Broken, Out);
}

void tickRolloutEvaluation(State &S, Effects &Out) {
  if (S.Now_ - S.Release_.EvaluatedAt_ < EvaluationPeriod)
    return;
  tickStrain(S, Out);
  evaluateRollouts(S, Out);
}

void evaluateRollouts(State &S, Effects &Out) {
  S.Release_.EvaluatedAt_ = S.Now_;
  for (auto &[Model, Rollout] : S.Release_.Rollouts_) {
    if (Rollout.Row_.RolledBack_ || isBeyondReturn(S, Rollout))
      continue;
    const Verdict V = evaluateEvidence(S, Rollout);
    if (V.Kind_ == VerdictKind::Bad) {
      const BadVersionFact Fact{Rollout.Row_.NoteVersion_, Model, V.Reason_};
      rollBackVersion(S, Fact, Out);
      queueLogRecord(S, VerdictRecord{Fact});
      continue;
    }
    warnIfRolloutLate(S, Rollout, Out);
    if (holdsLease(S) && !S.Settings_.servesPlatform())
      raiseShareIfDue(S, Rollout, V, Out);
  }
  publishEvidence(S, Out);
  compactEvidence(S);
}

} // namespace endivewharf
