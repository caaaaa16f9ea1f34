// Release moves. Taking back needs nobody's leave; raising a share needs the
// lease.
#include "release.h"

#include "controllog.h"
#include "diagnostics.h"
#include "evidence.h"
#include "lease.h"
#include "membership.h"
#include "router.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr std::array ShareSteps = {0.05, 0.25, 0.5, 1.0};
constexpr Millis MinStepInterval = 2000;    // ms between two raises
constexpr Millis MaxStepInterval = 60000;   // ms
constexpr Millis ShareRetryInterval = 2000; // ms until a lost raise is repeated
constexpr Millis EvaluationPeriod = 200;    // ms between two judgements
constexpr Millis TypicalModelLoadTime = 1000; // ms of two loads at once
constexpr Millis LoadCommandRetryInterval =
    10000;                                 // ms until an order is repeated
constexpr int MaxConcurrentModelLoads = 2; // at once, for the weight store
constexpr double MaxShareCredit = 2; // requests that a share may be behind

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

/// Time per step, planned backwards from the note's time.
Millis stepInterval(const State &S, const RolloutState &M) {
  const Millis Left = M.Row_.DeadlineUnixMs_ - S.UnixMs_;
  const Millis Steps = std::max(1, shareStepsLeft(M.Row_.Share_));
  const Millis Planned = Left / (2 * Steps); // half is kept in reserve
  return std::clamp(Planned, MinStepInterval, MaxStepInterval);
}

struct ModelLoadProgress {
  int UsableUpstreams_ = 0; ///< Usable upstreams with the old or new version.
  int WithNewVersion_ = 0;  ///< Of these, with the new one.
  int Loading_ = 0;
};

ModelLoadProgress modelLoadProgress(const State &S, const RolloutState &M) {
  ModelLoadProgress Result;
  for (const Upstream &U : S.Upstreams_) {
    if (U.Leaving_ || !U.Listed_)
      continue;
    const bool Old = U.Loaded_.count({M.Row_.Model_, M.Row_.FromVersion_}) > 0;
    const bool New = U.Loaded_.count({M.Row_.Model_, M.Row_.ToVersion_}) > 0;
    Result.UsableUpstreams_ += Old || New ? 1 : 0;
    Result.WithNewVersion_ += New ? 1 : 0;
    if (Old && !New && U.LoadCommandSentAt_ != 0 &&
        S.Now_ - U.LoadCommandSentAt_ < LoadCommandRetryInterval)
      ++Result.Loading_;
  }
  return Result;
}

void sendLoadCommands(State &S, const RolloutState &M, int UnderWay,
                      Effects &Out) {
  for (Upstream &U : S.Upstreams_) {
    if (UnderWay >= MaxConcurrentModelLoads)
      return;
    const bool Wanted =
        !U.Leaving_ && U.Listed_ &&
        U.Loaded_.count({M.Row_.Model_, M.Row_.FromVersion_}) > 0 &&
        U.Loaded_.count({M.Row_.Model_, M.Row_.ToVersion_}) == 0;
    if (!Wanted || (U.LoadCommandSentAt_ != 0 &&
                    S.Now_ - U.LoadCommandSentAt_ < LoadCommandRetryInterval))
      continue;
    U.LoadCommandSentAt_ = S.Now_;
    ++UnderWay;
    Out.push_back(LoadModelVersion{U.Row_.Host_, U.Row_.Address_,
                                   S.Lease_.Epoch_, M.Row_.Model_,
                                   M.Row_.ToVersion_});
  }
}

void requestShare(State &S, RolloutState &M, double Share, std::string Reason) {
  M.PendingShare_ = Share;
  M.PendingShareSince_ = S.Now_;
  queueLogRecord(S, ShareRecord{S.Lease_.Epoch_, M.Row_.NoteVersion_,
                                M.Row_.Model_, Share, std::move(Reason)});
}

/// Raises the share by a step when the evidence and the plan allow it.
void raiseShareIfDue(State &S, RolloutState &M, const Verdict &V,
                     Effects &Out) {
  if (M.Row_.RolledBack_ || M.Row_.Share_ >= 1)
    return;
  const ModelLoadProgress Loads = modelLoadProgress(S, M);
  sendLoadCommands(S, M, Loads.Loading_, Out);
  if (M.PendingShare_ >= 0 &&
      S.Now_ - M.PendingShareSince_ < ShareRetryInterval)
    return;
  const double Next = nextShareStep(M.Row_.Share_);
  const double LoadedPart =
      Loads.UsableUpstreams_ == 0
          ? 0
          : static_cast<double>(Loads.WithNewVersion_) / Loads.UsableUpstreams_;
  if (Loads.WithNewVersion_ == 0 || (Next > ShareSteps[0] && LoadedPart < Next))
    return;
  if (M.Row_.Share_ == 0) {
    requestShare(S, M, Next, "first share");
    return;
  }
  if (S.Now_ - M.ShareChangedAt_ < stepInterval(S, M) ||
      V.Kind_ != VerdictKind::Good)
    return;
  requestShare(S, M, Next, "the evidence is good");
}

void warnIfRolloutLate(const State &S, RolloutState &M, Effects &Out) {
  if (M.LateReported_ || M.Row_.RolledBack_ || M.Row_.Share_ >= 1 ||
      S.UnixMs_ <= M.Row_.DeadlineUnixMs_)
    return;
  M.LateReported_ = true;
  logWarning(Out, "move_late",
             {{"note", M.Row_.NoteId_},
              {"model", M.Row_.Model_},
              {"share", fmt::format("{}", M.Row_.Share_)}});
}

/// Least time that a move takes: its loads one after the other, its steps.
Millis minRolloutTime(const State &S, const RolloutState &M) {
  const ModelLoadProgress Loads = modelLoadProgress(S, M);
  const Millis Missing = Loads.UsableUpstreams_ - Loads.WithNewVersion_;
  const Millis Rounds =
      (Missing + MaxConcurrentModelLoads - 1) / MaxConcurrentModelLoads;
  return Rounds * TypicalModelLoadTime +
         MinStepInterval * shareStepsLeft(M.Row_.Share_);
}

/// Says when the note comes what can't be done in its time.
void warnIfRolloutInfeasible(State &S, const RolloutState &M, Effects &Out) {
  const Millis Left = M.Row_.DeadlineUnixMs_ - S.UnixMs_;
  const Millis Needed = minRolloutTime(S, M);
  if (Left >= Needed)
    return;
  recordDecision(
      S, M.Row_.Model_,
      fmt::format("infeasible: {} ms left, at least {} needed", Left, Needed));
  logWarning(Out, "move_infeasible",
             {{"note", M.Row_.NoteId_},
              {"model", M.Row_.Model_},
              {"left_ms", std::to_string(Left)},
              {"needed_ms", std::to_string(Needed)}});
}

RolloutState makeRollout(const State &S, RolloutRow Row) {
  RolloutState M;
  M.Row_ = std::move(Row);
  M.StartedAt_ = S.Now_;
  M.ShareChangedAt_ = S.Now_;
  return M;
}

/// Version that serves a model before a new note.
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
  const auto Reject = [&](std::string Why) {
    logWarning(Out, "note_rejected", {{"note", R.Id_}, {"reason", Why}});
    S.Release_.RejectedNotes_[Offset] = std::move(Why);
  };
  if (R.BaseVersion_ != S.Release_.NoteVersion_) {
    Reject(fmt::format("it follows note {}, but {} is the last", R.BaseVersion_,
                       S.Release_.NoteVersion_));
    return;
  }
  for (const VersionChange &Change : R.Changes_)
    if (S.Config_.Configuration_.Models_.count(Change.Model_) == 0) {
      Reject(fmt::format("there is no model {}", Change.Model_));
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
    recordDecision(
        S, Change.Model_,
        fmt::format("move to {} started by note {}", Change.ToVersion_, R.Id_));
    logEvent(
        Out, "move_started",
        {{"note", R.Id_}, {"model", Change.Model_}, {"to", Change.ToVersion_}});
  }
}

void applyRolloutShare(State &S, const ShareRecord &R, Effects &Out) {
  S.Release_.Shares_[{R.NoteVersion_, R.Model_}] = R.Share_;
  const auto Found = S.Release_.Rollouts_.find(R.Model_);
  if (Found == S.Release_.Rollouts_.end() ||
      Found->second.Row_.NoteVersion_ != R.NoteVersion_ ||
      Found->second.Row_.RolledBack_)
    return;
  RolloutState &M = Found->second;
  M.Row_.Share_ = R.Share_;
  M.ShareChangedAt_ = S.Now_;
  M.PendingShare_ = -1;
  const bool Done = R.Share_ >= 1;
  recordDecision(S, R.Model_,
                 fmt::format("share {} for {}: {}", R.Share_, M.Row_.ToVersion_,
                             R.Reason_));
  logEvent(Out, Done ? "move_done" : "move_share",
           {{"note", M.Row_.NoteId_},
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
    recordDecision(S, Fact.Model_, fmt::format("taken back: {}", Fact.Reason_));
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
    // A verdict may be known here before the sender has it.
    const auto Bad =
        S.Release_.BadVersionFacts_.find({Row.NoteVersion_, Row.Model_});
    if (Bad != S.Release_.BadVersionFacts_.end() || Row.RolledBack_) {
      S.Release_.Rollouts_[Row.Model_].Row_.RolledBack_ = false;
      rollBackVersion(S, {Row.NoteVersion_, Row.Model_, Row.Reason_}, Out);
    }
  }
}

bool isNewVersionDue(const State &, const RolloutState &M) {
  if (M.Row_.RolledBack_ || M.Row_.Share_ <= 0)
    return false;
  return M.Row_.Share_ >= 1 || M.DueRequests_ >= 1;
}

void countVersionAttempt(State &S, const std::string &Model, bool New) {
  const auto Found = S.Release_.Rollouts_.find(Model);
  if (Found == S.Release_.Rollouts_.end())
    return;
  RolloutState &M = Found->second;
  // Credit grows by the share with each attempt, so the new version's attempts
  // are never more than the share of all, here and summed over processes.
  M.DueRequests_ = std::min(MaxShareCredit, M.DueRequests_ + M.Row_.Share_);
  if (!New)
    return;
  M.DueRequests_ = std::max(0.0, M.DueRequests_ - 1);
  ++M.NewAttempts_;
  incrementCounter(S, "new_version_attempts");
}

void recordVersionOutcome(State &S, const Attempt &A, const Call &C,
                          bool Failed, Effects &Out) {
  if (recordEvidenceSample(S, A, C, Failed))
    evaluateRollouts(S, Out);
}

void tickRolloutEvaluation(State &S, Effects &Out) {
  if (S.Now_ - S.Release_.EvaluatedAt_ >= EvaluationPeriod)
    evaluateRollouts(S, Out);
}

void evaluateRollouts(State &S, Effects &Out) {
  S.Release_.EvaluatedAt_ = S.Now_;
  for (auto &[Model, M] : S.Release_.Rollouts_) {
    if (M.Row_.RolledBack_)
      continue;
    const Verdict V = evaluateEvidence(S, M);
    if (V.Kind_ == VerdictKind::Bad) {
      const BadVersionFact Fact{M.Row_.NoteVersion_, Model, V.Reason_};
      rollBackVersion(S, Fact, Out);
      queueLogRecord(S, VerdictRecord{Fact});
      continue;
    }
    warnIfRolloutLate(S, M, Out);
    if (holdsLease(S) && !S.Settings_.servesPlatform())
      raiseShareIfDue(S, M, V, Out);
  }
  publishEvidence(S, Out);
  compactEvidence(S);
}

} // namespace endivewharf
