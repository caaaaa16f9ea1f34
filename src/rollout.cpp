// A small share goes to the new version until just before the time is up: what
// a version that turns bad may cost is bounded over the whole move, so the
// share is raised as late as possible.
#include "rollout.h"

#include "controllog.h"
#include "lease.h"
#include "record.h"
#include "release.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr double FirstShare = 0.04;       // of a service's requests
constexpr Millis CompleteLead = 700;      // ms before the time is up
constexpr Millis WholeShareTime = 1000;   // ms at the whole share before that
constexpr Millis AskAgain = 1500;         // ms until a lost raise is repeated
constexpr Millis WriteAgain = 1000;       // ms until a lost state is repeated
constexpr std::int64_t MinNewAnswers = 8; // before the whole share

/// Known outcomes of a move that was ordered before this process started.
void recallOutcome(State &S, Move &M) {
  const auto Bad = S.Release_.Bad_.find({M.Row_.Note_, M.Row_.Model_});
  if (Bad != S.Release_.Bad_.end()) {
    M.Row_.Bad_ = true;
    M.Row_.Reason_ = Bad->second.Reason_;
  }
  const auto Share = S.Release_.Shares_.find({M.Row_.Note_, M.Row_.Model_});
  if (Share != S.Release_.Shares_.end())
    M.Row_.Share_ = Share->second;
}

void beginMove(State &S, MoveRow Row, Effects &Out) {
  Move M;
  M.Row_ = std::move(Row);
  M.StartedAt_ = S.Now_;
  M.ShareSince_ = S.Now_;
  recallOutcome(S, M);
  logEvent(Out, "move_started",
           {{"note", M.Row_.NoteId_},
            {"service", M.Row_.Model_},
            {"to", M.Row_.To_},
            {"share", fmt::format("{}", M.Row_.Share_)}});
  S.Release_.Moves_[M.Row_.Model_] = std::move(M);
  S.PoolsChanged_ = true;
}

bool isKnown(const State &S, const std::string &Service, LogOffset Note) {
  const auto Found = S.Release_.Moves_.find(Service);
  return Found != S.Release_.Moves_.end() && Found->second.Row_.Note_ >= Note;
}

int usableNewHosts(const State &S, const Move &M) {
  return static_cast<int>(std::count_if(
      S.Upstreams_.begin(), S.Upstreams_.end(), [&](const Upstream &U) {
        return U.Row_.Service_ == M.Row_.Model_ &&
               U.Row_.Version_ == M.Row_.To_ && !U.Leaving_ && U.Listed_;
      }));
}

std::int64_t newAnswers(const State &S, const Move &M) {
  std::int64_t Sum = 0;
  for (const auto &[Key, Row] : S.Release_.Evidence_)
    if (Row.Note_ == M.Row_.Note_ && Row.Model_ == M.Row_.Model_ && Row.New_)
      Sum += Row.Sums_.Count_;
  return Sum;
}

void askForShare(State &S, Move &M, double Share, std::string Reason) {
  M.PendingShare_ = Share;
  M.PendingSince_ = S.Now_;
  appendRecord(S, ShareRecord{S.Lease_.Epoch_, M.Row_.Note_, M.Row_.Model_,
                              Share, std::move(Reason)});
}

void planShare(State &S, Move &M) {
  if (M.Row_.Bad_ || M.Row_.Share_ >= 1 || usableNewHosts(S, M) == 0)
    return;
  if (M.PendingShare_ >= 0 && S.Now_ - M.PendingSince_ < AskAgain)
    return;
  const Millis Left = M.Row_.DeadlineUnixMs_ - S.UnixMs_;
  if (Left <= CompleteLead + WholeShareTime &&
      newAnswers(S, M) >= MinNewAnswers)
    askForShare(S, M, 1, "the time is nearly up and nothing speaks against it");
  else if (M.Row_.Share_ <= 0)
    askForShare(S, M, FirstShare, "first share");
}

std::string stateOf(const State &S, const Move &M) {
  if (M.Row_.Bad_)
    return "rolled_back";
  const Millis Left = M.Row_.DeadlineUnixMs_ - S.UnixMs_;
  const bool Settled = S.Now_ - M.ShareSince_ >= WholeShareTime;
  if (M.Row_.Share_ < 1)
    return "running";
  return Settled && Left <= CompleteLead ? "complete" : "";
}

void writeState(State &S, Move &M, Effects &Out) {
  std::string Wanted = stateOf(S, M);
  const bool Waiting =
      M.StateSent_ == Wanted && S.Now_ - M.StateSentAt_ < WriteAgain;
  if (Wanted.empty() || Wanted == M.StateWritten_ || Waiting)
    return;
  M.StateSent_ = Wanted;
  M.StateSentAt_ = S.Now_;
  Out.push_back(WriteMoveState{M.Row_.Model_, M.Row_.To_, std::move(Wanted)});
}

} // namespace

void orderMove(State &S, LogOffset Offset, const OrderedMove &Order,
               Effects &Out) {
  if (isKnown(S, Order.Service_, Offset))
    return;
  beginMove(S,
            {Offset, std::to_string(Offset), S.UnixMs_ + Order.Duration_,
             Order.Service_, "", Order.To_, 0, false, ""},
            Out);
}

void adoptRollouts(State &S, const std::vector<MoveRow> &Rows, Effects &Out) {
  for (const MoveRow &Row : Rows) {
    if (!isKnown(S, Row.Model_, Row.Note_))
      beginMove(S, Row, Out);
    Move &M = S.Release_.Moves_.at(Row.Model_);
    if (M.Row_.Note_ == Row.Note_ && Row.Share_ > M.Row_.Share_) {
      M.Row_.Share_ = Row.Share_;
      M.ShareSince_ = S.Now_;
    }
    if (Row.Bad_)
      markBad(S, {Row.Note_, Row.Model_, Row.Reason_}, Out);
  }
}

void onMoveStateWritten(State &S, const MoveStateWritten &E, Effects &Out) {
  const auto Found = S.Release_.Moves_.find(E.Service_);
  if (Found == S.Release_.Moves_.end() || Found->second.Row_.To_ != E.To_ ||
      !E.Accepted_)
    return;
  Found->second.StateWritten_ = E.State_;
  logEvent(Out, "move_state_written",
           {{"service", E.Service_}, {"to", E.To_}, {"state", E.State_}});
}

void tickRollouts(State &S, Effects &Out) {
  if (!holdsLease(S))
    return;
  for (auto &[Service, M] : S.Release_.Moves_) {
    planShare(S, M);
    writeState(S, M, Out);
  }
}

} // namespace endivewharf
