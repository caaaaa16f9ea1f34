// Release moves. Taking back needs nobody's leave; raising a share needs the
// lease.
#include "release.h"

#include "controllog.h"
#include "evidence.h"
#include "lease.h"
#include "membership.h"
#include "record.h"
#include "router.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr std::array ShareSteps = {0.05, 0.25, 0.5, 1.0};
constexpr Millis MinStepTime = 2000;     // ms between two raises
constexpr Millis MaxStepTime = 60000;    // ms
constexpr Millis ShareAskTime = 2000;    // ms until a lost raise is repeated
constexpr Millis JudgePeriod = 200;      // ms between two judgements
constexpr Millis TypicalLoadTime = 1000; // ms of two loads at once
constexpr Millis OrderPeriod = 10000;    // ms until an order is repeated
constexpr int MaxLoads = 2;              // at once, for the weight store
constexpr double MaxCredit = 2;          // requests that a share may be behind

double nextStep(double Share) {
  for (const double Step : ShareSteps)
    if (Step > Share + 1e-9)
      return Step;
  return 1;
}

int stepsLeft(double Share) {
  int Left = 0;
  for (const double Step : ShareSteps)
    Left += Step > Share + 1e-9 ? 1 : 0;
  return Left;
}

/// Time per step, planned backwards from the note's time.
Millis stepTime(const State &S, const Move &M) {
  const Millis Left = M.Row_.DeadlineUnixMs_ - S.UnixMs_;
  const Millis Steps = std::max(1, stepsLeft(M.Row_.Share_));
  const Millis Planned = Left / (2 * Steps); // half is kept in reserve
  return std::clamp(Planned, MinStepTime, MaxStepTime);
}

struct LoadCount {
  int Serving_ = 0; ///< Usable upstreams with the old or new version.
  int Loaded_ = 0;  ///< Of these, with the new one.
  int UnderWay_ = 0;
};

LoadCount countLoads(const State &S, const Move &M) {
  LoadCount Result;
  for (const Upstream &U : S.Upstreams_) {
    if (U.Leaving_ || !U.Listed_)
      continue;
    const bool Old = U.Loaded_.count({M.Row_.Model_, M.Row_.From_}) > 0;
    const bool New = U.Loaded_.count({M.Row_.Model_, M.Row_.To_}) > 0;
    Result.Serving_ += Old || New ? 1 : 0;
    Result.Loaded_ += New ? 1 : 0;
    if (Old && !New && U.OrderedAt_ != 0 && S.Now_ - U.OrderedAt_ < OrderPeriod)
      ++Result.UnderWay_;
  }
  return Result;
}

void orderLoads(State &S, const Move &M, int UnderWay, Effects &Out) {
  for (Upstream &U : S.Upstreams_) {
    if (UnderWay >= MaxLoads)
      return;
    const bool Wanted = !U.Leaving_ && U.Listed_ &&
                        U.Loaded_.count({M.Row_.Model_, M.Row_.From_}) > 0 &&
                        U.Loaded_.count({M.Row_.Model_, M.Row_.To_}) == 0;
    if (!Wanted || (U.OrderedAt_ != 0 && S.Now_ - U.OrderedAt_ < OrderPeriod))
      continue;
    U.OrderedAt_ = S.Now_;
    ++UnderWay;
    Out.push_back(OrderLoad{U.Row_.Host_, U.Row_.Address_, S.Lease_.Epoch_,
                            M.Row_.Model_, M.Row_.To_});
  }
}

void askForShare(State &S, Move &M, double Share, std::string Reason) {
  M.PendingShare_ = Share;
  M.PendingSince_ = S.Now_;
  appendRecord(S, ShareRecord{S.Lease_.Epoch_, M.Row_.Note_, M.Row_.Model_,
                              Share, std::move(Reason)});
}

/// Raises the share by a step when the evidence and the plan allow it.
void planShare(State &S, Move &M, const Verdict &V, Effects &Out) {
  if (M.Row_.Bad_ || M.Row_.Share_ >= 1)
    return;
  const LoadCount Loads = countLoads(S, M);
  orderLoads(S, M, Loads.UnderWay_, Out);
  if (M.PendingShare_ >= 0 && S.Now_ - M.PendingSince_ < ShareAskTime)
    return;
  const double Next = nextStep(M.Row_.Share_);
  const double LoadedPart =
      Loads.Serving_ == 0 ? 0
                          : static_cast<double>(Loads.Loaded_) / Loads.Serving_;
  if (Loads.Loaded_ == 0 || (Next > ShareSteps[0] && LoadedPart < Next))
    return;
  if (M.Row_.Share_ == 0) {
    askForShare(S, M, Next, "first share");
    return;
  }
  if (S.Now_ - M.ShareSince_ < stepTime(S, M) || V.Kind_ != VerdictKind::Good)
    return;
  askForShare(S, M, Next, "the evidence is good");
}

void reportLate(const State &S, Move &M, Effects &Out) {
  if (M.LateReported_ || M.Row_.Bad_ || M.Row_.Share_ >= 1 ||
      S.UnixMs_ <= M.Row_.DeadlineUnixMs_)
    return;
  M.LateReported_ = true;
  logWarning(Out, "move_late",
             {{"note", M.Row_.NoteId_},
              {"model", M.Row_.Model_},
              {"share", fmt::format("{}", M.Row_.Share_)}});
}

/// Least time that a move takes: its loads one after the other, its steps.
Millis leastTime(const State &S, const Move &M) {
  const LoadCount Loads = countLoads(S, M);
  const Millis Missing = Loads.Serving_ - Loads.Loaded_;
  const Millis Rounds = (Missing + MaxLoads - 1) / MaxLoads;
  return Rounds * TypicalLoadTime + MinStepTime * stepsLeft(M.Row_.Share_);
}

/// Says when the note comes what can't be done in its time.
void reportInfeasible(State &S, const Move &M, Effects &Out) {
  const Millis Left = M.Row_.DeadlineUnixMs_ - S.UnixMs_;
  const Millis Needed = leastTime(S, M);
  if (Left >= Needed)
    return;
  remember(
      S, M.Row_.Model_,
      fmt::format("infeasible: {} ms left, at least {} needed", Left, Needed));
  logWarning(Out, "move_infeasible",
             {{"note", M.Row_.NoteId_},
              {"model", M.Row_.Model_},
              {"left_ms", std::to_string(Left)},
              {"needed_ms", std::to_string(Needed)}});
}

Move makeMove(const State &S, MoveRow Row) {
  Move M;
  M.Row_ = std::move(Row);
  M.StartedAt_ = S.Now_;
  M.ShareSince_ = S.Now_;
  return M;
}

/// Version that serves a model before a new note.
std::string versionInForce(const State &S, const std::string &Model) {
  const auto Found = S.Release_.Moves_.find(Model);
  if (Found != S.Release_.Moves_.end()) {
    const MoveRow &Row = Found->second.Row_;
    return !Row.Bad_ && Row.Share_ >= 1 ? Row.To_ : Row.From_;
  }
  return S.Config_.Value_.Models_.at(Model).Version_;
}

} // namespace

void applyNote(State &S, LogOffset Offset, const NoteRecord &R, Effects &Out) {
  const auto Reject = [&](std::string Why) {
    logWarning(Out, "note_rejected", {{"note", R.Id_}, {"reason", Why}});
    S.Release_.RejectedNotes_[Offset] = std::move(Why);
  };
  if (R.Base_ != S.Release_.NoteVersion_) {
    Reject(fmt::format("it follows note {}, but {} is the last", R.Base_,
                       S.Release_.NoteVersion_));
    return;
  }
  for (const VersionChange &Change : R.Changes_)
    if (S.Config_.Value_.Models_.count(Change.Model_) == 0) {
      Reject(fmt::format("there is no model {}", Change.Model_));
      return;
    }
  S.Release_.NoteVersion_ = Offset;
  for (const VersionChange &Change : R.Changes_) {
    MoveRow Row{Offset,
                R.Id_,
                R.DeadlineUnixMs_,
                Change.Model_,
                versionInForce(S, Change.Model_),
                Change.To_,
                0,
                false,
                ""};
    S.Release_.Moves_[Change.Model_] = makeMove(S, std::move(Row));
    reportInfeasible(S, S.Release_.Moves_[Change.Model_], Out);
    remember(S, Change.Model_,
             fmt::format("move to {} started by note {}", Change.To_, R.Id_));
    logEvent(Out, "move_started",
             {{"note", R.Id_}, {"model", Change.Model_}, {"to", Change.To_}});
  }
}

void applyShare(State &S, const ShareRecord &R, Effects &Out) {
  S.Release_.Shares_[{R.Note_, R.Model_}] = R.Share_;
  const auto Found = S.Release_.Moves_.find(R.Model_);
  if (Found == S.Release_.Moves_.end() || Found->second.Row_.Note_ != R.Note_ ||
      Found->second.Row_.Bad_)
    return;
  Move &M = Found->second;
  M.Row_.Share_ = R.Share_;
  M.ShareSince_ = S.Now_;
  M.PendingShare_ = -1;
  const bool Done = R.Share_ >= 1;
  remember(S, R.Model_,
           fmt::format("share {} for {}: {}", R.Share_, M.Row_.To_, R.Reason_));
  logEvent(Out, Done ? "move_done" : "move_share",
           {{"note", M.Row_.NoteId_},
            {"model", R.Model_},
            {"share", fmt::format("{}", R.Share_)},
            {"reason", R.Reason_}});
}

void markBad(State &S, const BadVersionFact &Fact, Effects &Out) {
  const auto [Known, New] =
      S.Release_.Bad_.emplace(std::pair(Fact.Note_, Fact.Model_), Fact);
  const auto Found = S.Release_.Moves_.find(Fact.Model_);
  if (Found != S.Release_.Moves_.end() &&
      Found->second.Row_.Note_ == Fact.Note_ && !Found->second.Row_.Bad_) {
    Found->second.Row_.Bad_ = true;
    Found->second.Row_.Reason_ = Fact.Reason_;
    remember(S, Fact.Model_, fmt::format("taken back: {}", Fact.Reason_));
    logWarning(Out, "move_taken_back",
               {{"note", Found->second.Row_.NoteId_},
                {"model", Fact.Model_},
                {"reason", Fact.Reason_}});
  }
  if (New)
    spreadFacts(S, {{}, {Fact}, {}}, "", Out);
}

void adoptMoves(State &S, LogOffset NoteVersion,
                const std::vector<MoveRow> &Rows, Effects &Out) {
  S.Release_.NoteVersion_ = std::max(S.Release_.NoteVersion_, NoteVersion);
  for (const MoveRow &Row : Rows) {
    const auto Found = S.Release_.Moves_.find(Row.Model_);
    if (Found != S.Release_.Moves_.end() &&
        Found->second.Row_.Note_ == Row.Note_) {
      Found->second.Row_.Share_ = Row.Share_;
      Found->second.ShareSince_ = S.Now_;
    } else {
      S.Release_.Moves_[Row.Model_] = makeMove(S, Row);
    }
    // A verdict may be known here before the sender has it.
    const auto Bad = S.Release_.Bad_.find({Row.Note_, Row.Model_});
    if (Bad != S.Release_.Bad_.end() || Row.Bad_) {
      S.Release_.Moves_[Row.Model_].Row_.Bad_ = false;
      markBad(S, {Row.Note_, Row.Model_, Row.Reason_}, Out);
    }
  }
}

bool isNewVersionDue(const State &, const Move &M) {
  if (M.Row_.Bad_ || M.Row_.Share_ <= 0)
    return false;
  return M.Row_.Share_ >= 1 || M.Credit_ >= 1;
}

void noteVersionChosen(State &S, const std::string &Model, bool New) {
  const auto Found = S.Release_.Moves_.find(Model);
  if (Found == S.Release_.Moves_.end())
    return;
  Move &M = Found->second;
  // Credit grows by the share with each attempt, so the new version's attempts
  // are never more than the share of all, here and summed over processes.
  M.Credit_ = std::min(MaxCredit, M.Credit_ + M.Row_.Share_);
  if (!New)
    return;
  M.Credit_ = std::max(0.0, M.Credit_ - 1);
  ++M.NewAttempts_;
  count(S, "new_version_attempts");
}

void noteEvidence(State &S, const Attempt &A, const Call &C, bool Failed,
                  Effects &Out) {
  if (noteSample(S, A, C, Failed))
    judgeMoves(S, Out);
}

void tickRelease(State &S, Effects &Out) {
  if (S.Now_ - S.Release_.JudgedAt_ >= JudgePeriod)
    judgeMoves(S, Out);
}

void judgeMoves(State &S, Effects &Out) {
  S.Release_.JudgedAt_ = S.Now_;
  for (auto &[Model, M] : S.Release_.Moves_) {
    if (M.Row_.Bad_)
      continue;
    const Verdict V = judge(S, M);
    if (V.Kind_ == VerdictKind::Bad) {
      const BadVersionFact Fact{M.Row_.Note_, Model, V.Reason_};
      markBad(S, Fact, Out);
      appendRecord(S, VerdictRecord{Fact});
      continue;
    }
    reportLate(S, M, Out);
    if (holdsLease(S) && !S.Settings_.onPlatform())
      planShare(S, M, V, Out);
  }
  spreadEvidence(S, Out);
  foldEvidence(S);
}

} // namespace endivewharf
