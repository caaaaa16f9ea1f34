// A small share goes to the new version until just before the time is up: what
// a version that turns bad may cost is bounded over the whole move, so the
// share is raised as late as possible.
#include "rollout.h"

#include "controllog.h"
#include "diagnostics.h"
#include "lease.h"
#include "release.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr double FirstShare = 0.04;         // of a service's requests
constexpr Millis CompletionMargin = 700;    // ms before the time is up
constexpr Millis MinFullShareTime = 1000;   // ms at the whole share before that
constexpr Millis ShareRetryInterval = 1500; // ms until a lost raise is repeated
constexpr Millis StatusWriteRetryInterval =
    1000; // ms until a lost state is repeated
constexpr std::int64_t MinNewVersionAnswers = 8; // before the whole share

/// Known outcomes of a move that was ordered before this process started.
void restoreKnownOutcome(State &S, RolloutState &M) {
  const auto Bad =
      S.Release_.BadVersionFacts_.find({M.Row_.NoteVersion_, M.Row_.Model_});
  if (Bad != S.Release_.BadVersionFacts_.end()) {
    M.Row_.RolledBack_ = true;
    M.Row_.Reason_ = Bad->second.Reason_;
  }
  const auto Share =
      S.Release_.Shares_.find({M.Row_.NoteVersion_, M.Row_.Model_});
  if (Share != S.Release_.Shares_.end())
    M.Row_.Share_ = Share->second;
}

void startRollout(State &S, RolloutRow Row, Effects &Out) {
  RolloutState M;
  M.Row_ = std::move(Row);
  M.StartedAt_ = S.Now_;
  M.ShareChangedAt_ = S.Now_;
  restoreKnownOutcome(S, M);
  logEvent(Out, "move_started",
           {{"note", M.Row_.NoteId_},
            {"service", M.Row_.Model_},
            {"to", M.Row_.ToVersion_},
            {"share", fmt::format("{}", M.Row_.Share_)}});
  S.Release_.Rollouts_[M.Row_.Model_] = std::move(M);
  S.PoolsChanged_ = true;
}

bool isRolloutKnown(const State &S, const std::string &Service,
                    LogOffset Note) {
  const auto Found = S.Release_.Rollouts_.find(Service);
  return Found != S.Release_.Rollouts_.end() &&
         Found->second.Row_.NoteVersion_ >= Note;
}

int usableNewVersionHosts(const State &S, const RolloutState &M) {
  return static_cast<int>(std::count_if(
      S.Upstreams_.begin(), S.Upstreams_.end(), [&](const Upstream &U) {
        return U.Row_.Service_ == M.Row_.Model_ &&
               U.Row_.Version_ == M.Row_.ToVersion_ && !U.Leaving_ && U.Listed_;
      }));
}

std::int64_t newVersionAnswers(const State &S, const RolloutState &M) {
  std::int64_t Sum = 0;
  for (const auto &[Key, Row] : S.Release_.Evidence_)
    if (Row.NoteVersion_ == M.Row_.NoteVersion_ &&
        Row.Model_ == M.Row_.Model_ && Row.NewVersion_)
      Sum += Row.Sums_.Count_;
  return Sum;
}

void requestShare(State &S, RolloutState &M, double Share, std::string Reason) {
  M.PendingShare_ = Share;
  M.PendingShareSince_ = S.Now_;
  queueLogRecord(S, ShareRecord{S.Lease_.Epoch_, M.Row_.NoteVersion_,
                                M.Row_.Model_, Share, std::move(Reason)});
}

void raiseShareIfDue(State &S, RolloutState &M) {
  if (M.Row_.RolledBack_ || M.Row_.Share_ >= 1 ||
      usableNewVersionHosts(S, M) == 0)
    return;
  if (M.PendingShare_ >= 0 &&
      S.Now_ - M.PendingShareSince_ < ShareRetryInterval)
    return;
  const Millis Left = M.Row_.DeadlineUnixMs_ - S.UnixMs_;
  if (Left <= CompletionMargin + MinFullShareTime &&
      newVersionAnswers(S, M) >= MinNewVersionAnswers)
    requestShare(S, M, 1,
                 "the time is nearly up and nothing speaks against it");
  else if (M.Row_.Share_ <= 0)
    requestShare(S, M, FirstShare, "first share");
}

std::string rolloutStatus(const State &S, const RolloutState &M) {
  if (M.Row_.RolledBack_)
    return "rolled_back";
  const Millis Left = M.Row_.DeadlineUnixMs_ - S.UnixMs_;
  const bool Settled = S.Now_ - M.ShareChangedAt_ >= MinFullShareTime;
  if (M.Row_.Share_ < 1)
    return "running";
  return Settled && Left <= CompletionMargin ? "complete" : "";
}

void writeRolloutStatus(State &S, RolloutState &M, Effects &Out) {
  std::string Wanted = rolloutStatus(S, M);
  const bool Waiting = M.SentStatus_ == Wanted &&
                       S.Now_ - M.StatusSentAt_ < StatusWriteRetryInterval;
  if (Wanted.empty() || Wanted == M.AcknowledgedStatus_ || Waiting)
    return;
  M.SentStatus_ = Wanted;
  M.StatusSentAt_ = S.Now_;
  Out.push_back(
      WriteRolloutStatus{M.Row_.Model_, M.Row_.ToVersion_, std::move(Wanted)});
}

} // namespace

void applyRolloutRequest(State &S, LogOffset Offset,
                         const RolloutRequest &Order, Effects &Out) {
  if (isRolloutKnown(S, Order.Service_, Offset))
    return;
  startRollout(S,
               {Offset, std::to_string(Offset), S.UnixMs_ + Order.Duration_,
                Order.Service_, "", Order.ToVersion_, 0, false, ""},
               Out);
}

void adoptServiceRollouts(State &S, const std::vector<RolloutRow> &Rows,
                          Effects &Out) {
  for (const RolloutRow &Row : Rows) {
    if (!isRolloutKnown(S, Row.Model_, Row.NoteVersion_))
      startRollout(S, Row, Out);
    RolloutState &M = S.Release_.Rollouts_.at(Row.Model_);
    if (M.Row_.NoteVersion_ == Row.NoteVersion_ && Row.Share_ > M.Row_.Share_) {
      M.Row_.Share_ = Row.Share_;
      M.ShareChangedAt_ = S.Now_;
    }
    if (Row.RolledBack_)
      rollBackVersion(S, {Row.NoteVersion_, Row.Model_, Row.Reason_}, Out);
  }
}

void onRolloutStatusWritten(State &S, const RolloutStatusWritten &E,
                            Effects &Out) {
  const auto Found = S.Release_.Rollouts_.find(E.Service_);
  if (Found == S.Release_.Rollouts_.end() ||
      Found->second.Row_.ToVersion_ != E.ToVersion_ || !E.Accepted_)
    return;
  Found->second.AcknowledgedStatus_ = E.Status_;
  logEvent(
      Out, "move_state_written",
      {{"service", E.Service_}, {"to", E.ToVersion_}, {"state", E.Status_}});
}

void tickServiceRollouts(State &S, Effects &Out) {
  if (!holdsLease(S))
    return;
  for (auto &[Service, M] : S.Release_.Rollouts_) {
    raiseShareIfDue(S, M);
    writeRolloutStatus(S, M, Out);
  }
}

} // namespace endivewharf
