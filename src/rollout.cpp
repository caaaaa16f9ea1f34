// Rollouts of services. The new version gets a small share of the requests
// until just before the deadline, then the full share. The number of requests
// that a bad version may cost is bounded over the whole rollout, so the share
// is raised as late as possible.
#include "rollout.h"

#include "controllog.h"
#include "diagnostics.h"
#include "hostversions.h"
#include "lease.h"
#include "membership.h"
#include "release.h"
#include "restore.h"
#include "router.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

// Share of a service's requests that the new version gets first.
constexpr double FirstShare = 0.04;
// Time after which a lost share record is repeated, ms.
constexpr Millis ShareRetryInterval = 1500;
// Time after which a lost status write is repeated, ms.
constexpr Millis StatusWriteRetryInterval = 1000;
// Finished attempts of the new version that the full share requires.
constexpr std::int64_t MinNewVersionAnswers = 8;

// Least number of hosts of the new version that can be used, relative to those
// of the old one, with which it takes over.
constexpr double MinTakeOverFraction = 0.25;

constexpr const char *CompleteStatus = "complete";
constexpr const char *RolledBackStatus = "rolled_back";

/// Restores the share and the verdict of a rollout that was requested before
/// this process started, or whose records were read before its request.
void restoreKnownOutcome(State &S, RolloutState &Rollout) {
  const auto Bad = S.Release_.BadVersionFacts_.find(
      {Rollout.Row_.NoteVersion_, Rollout.Row_.Model_});
  if (Bad != S.Release_.BadVersionFacts_.end()) {
    Rollout.Row_.RolledBack_ = true;
    Rollout.Row_.Reason_ = Bad->second.Reason_;
  }
  const auto Share =
      S.Release_.Shares_.find({Rollout.Row_.NoteVersion_, Rollout.Row_.Model_});
  if (Share != S.Release_.Shares_.end())
    Rollout.Row_.Share_ = Share->second;
}

void startRollout(State &S, RolloutRow Row, Effects &Out) {
  RolloutState Rollout;
  Rollout.Row_ = std::move(Row);
  Rollout.StartedAt_ = S.Now_;
  Rollout.ShareChangedAt_ = S.Now_;
  S.Release_.Orders_.insert_or_assign(
      {Rollout.Row_.Model_, Rollout.Row_.ToVersion_},
      Rollout.Row_.NoteVersion_);
  restoreKnownOutcome(S, Rollout);
  logEvent(Out, "move_started",
           {{"note", Rollout.Row_.NoteId_},
            {"service", Rollout.Row_.Model_},
            {"to", Rollout.Row_.ToVersion_},
            {"share", fmt::format("{}", Rollout.Row_.Share_)}});
  S.Release_.Rollouts_[Rollout.Row_.Model_] = std::move(Rollout);
  S.PoolsChanged_ = true;
}

/// @return true if this rollout or a later one of the service is known
bool isRolloutKnown(const State &S, const std::string &Service,
                    LogOffset Note) {
  const auto Found = S.Release_.Rollouts_.find(Service);
  return Found != S.Release_.Rollouts_.end() &&
         Found->second.Row_.NoteVersion_ >= Note;
}

/// An order that is written again after a restore has a new position. It is the
/// same order if it was known in an earlier era.
bool isOrderWrittenAgain(const State &S, const std::string &Service,
                         const std::string &ToVersion, LogOffset Note) {
  const auto Found = S.Release_.Orders_.find({Service, ToVersion});
  return Found != S.Release_.Orders_.end() && isEraNew(S) &&
         eraOf(Found->second) < eraOf(Note);
}

/// Takes the newest position of the service's order as its name, so that
/// processes that know only this one agree with those that knew it before.
/// @return false if the order is not the service's last one
bool renameRollout(State &S, const std::string &Service,
                   const std::string &ToVersion, LogOffset Note, Effects &Out) {
  const auto Found = S.Release_.Rollouts_.find(Service);
  if (Found == S.Release_.Rollouts_.end() ||
      Found->second.Row_.ToVersion_ != ToVersion)
    return false;
  RolloutRow &Row = Found->second.Row_;
  if (Row.NoteVersion_ >= Note)
    return true;
  logEvent(Out, "move_renamed",
           {{"service", Service},
            {"to", ToVersion},
            {"note", std::to_string(Note)},
            {"before", Row.NoteId_}});
  Row.NoteVersion_ = Note;
  Row.NoteId_ = std::to_string(Note);
  if (Row.Share_ > 0)
    S.Release_.Shares_[{Note, Service}] = Row.Share_;
  if (!Row.RolledBack_)
    return true;
  const BadVersionFact Fact{Note, Service, Row.Reason_};
  rollBackVersion(S, Fact, Out);
  if (isStoreReader(S))
    queueLogRecord(S, VerdictRecord{Fact});
  return true;
}

/// Number of listed hosts with the new version that are not leaving.
int usableNewVersionHosts(const State &S, const RolloutState &Rollout) {
  return static_cast<int>(std::count_if(
      S.Upstreams_.begin(), S.Upstreams_.end(), [&](const Upstream &U) {
        return U.Row_.Service_ == Rollout.Row_.Model_ &&
               U.Row_.Version_ == Rollout.Row_.ToVersion_ && !U.Leaving_ &&
               U.Listed_;
      }));
}

/// Number of finished attempts of the new version in the recent evidence.
std::int64_t newVersionAnswers(const State &S, const RolloutState &Rollout) {
  std::int64_t Sum = 0;
  for (const auto &[Key, Row] : S.Release_.Evidence_)
    if (Row.NoteVersion_ == Rollout.Row_.NoteVersion_ &&
        Row.Model_ == Rollout.Row_.Model_ && Row.NewVersion_)
      Sum += Row.Sums_.Count_;
  return Sum;
}

/// @return true if there are enough hosts of the new version that can be used
///   now to take over from those of the old one. Lost ones may be back soon,
///   and a service that stops costs more than a rollout that is late.
bool canTakeOver(const State &S, const RolloutState &Rollout) {
  int New = 0;
  int Old = 0;
  for (const Upstream &U : S.Upstreams_)
    if (U.Row_.Service_ == Rollout.Row_.Model_ && isUsable(S, U) &&
        U.ConsecutiveFailures_ == 0)
      ++(U.Row_.Version_ == Rollout.Row_.ToVersion_ ? New : Old);
  return New > 0 && New >= Old * MinTakeOverFraction;
}

/// Queues a record that changes the share.
void requestShare(State &S, RolloutState &Rollout, double Share,
                  std::string Reason) {
  Rollout.PendingShare_ = Share;
  Rollout.PendingShareSince_ = S.Now_;
  queueLogRecord(S, ShareRecord{S.Lease_.Epoch_, Rollout.Row_.NoteVersion_,
                                Rollout.Row_.Model_, Share, std::move(Reason)});
}

/// Requests the first share once there are hosts of the new version, and the
/// full share just before the deadline if the new version has enough answers.
void raiseShareIfDue(State &S, RolloutState &Rollout) {
  if (Rollout.Row_.RolledBack_ || Rollout.Row_.Share_ >= 1 ||
      usableNewVersionHosts(S, Rollout) == 0)
    return;
  if (Rollout.PendingShare_ >= 0 &&
      S.Now_ - Rollout.PendingShareSince_ < ShareRetryInterval)
    return;
  const Millis TimeLeft = Rollout.Row_.DeadlineUnixMs_ - S.UnixMs_;
  if (TimeLeft <= CompletionMargin + MinFullShareTime &&
      newVersionAnswers(S, Rollout) >= MinNewVersionAnswers &&
      canTakeOver(S, Rollout))
    requestShare(S, Rollout, 1,
                 "the time is nearly up and nothing speaks against it");
  else if (Rollout.Row_.Share_ <= 0)
    requestShare(S, Rollout, FirstShare, "first share");
}

/// @return true if the platform has been told that a rollout is complete, by
///   this process or, as the hosts show, by an earlier lease holder. The hosts
///   of the old version stop then, and if the new ones were taken away after
///   that, none would be left.
bool isToldComplete(const State &S, const RolloutState &Rollout) {
  if (Rollout.SentStatus_ == CompleteStatus ||
      Rollout.AcknowledgedStatus_ == CompleteStatus)
    return true;
  const bool IsTimeOver =
      Rollout.Row_.DeadlineUnixMs_ - S.UnixMs_ <= CompletionMargin;
  return Rollout.SentStatus_ != RolledBackStatus && IsTimeOver &&
         Rollout.Row_.Share_ >= 1 && !hasOldVersionHosts(S, Rollout);
}

/// Status of a rollout for its operators: `running`, `complete` or
/// `rolled_back`.
/// @return empty while the full share has not settled, the deadline is not near
/// enough or the hosts of the new version can't take over
std::string rolloutStatus(const State &S, const RolloutState &Rollout) {
  if (isToldComplete(S, Rollout))
    return CompleteStatus;
  if (Rollout.Row_.RolledBack_)
    return RolledBackStatus;
  if (Rollout.Row_.Share_ < 1)
    return "running";
  return isBeyondReturn(S, Rollout) && canTakeOver(S, Rollout) ? CompleteStatus
                                                               : "";
}

/// Writes the status if it differs from the acknowledged one, and repeats the
/// write if it is not acknowledged in time.
void writeRolloutStatus(State &S, RolloutState &Rollout, Effects &Out) {
  std::string Status = rolloutStatus(S, Rollout);
  const bool IsPending =
      Rollout.SentStatus_ == Status &&
      S.Now_ - Rollout.StatusSentAt_ < StatusWriteRetryInterval;
  if (Status.empty() || Status == Rollout.AcknowledgedStatus_ || IsPending)
    return;
  Rollout.SentStatus_ = Status;
  Rollout.StatusSentAt_ = S.Now_;
  Out.push_back(WriteRolloutStatus{Rollout.Row_.Model_, Rollout.Row_.ToVersion_,
                                   std::move(Status)});
}

} // namespace

void applyRolloutRequest(State &S, LogOffset Offset,
                         const RolloutRequest &Request, Effects &Out) {
  if (isRolloutKnown(S, Request.Service_, Offset))
    return;
  if (isOrderWrittenAgain(S, Request.Service_, Request.ToVersion_, Offset)) {
    renameRollout(S, Request.Service_, Request.ToVersion_, Offset, Out);
    return;
  }
  startRollout(S,
               {Offset, std::to_string(Offset), S.UnixMs_ + Request.Duration_,
                Request.Service_, "", Request.ToVersion_, 0, false, ""},
               Out);
}

void adoptServiceRollouts(State &S, const std::vector<RolloutRow> &Rows,
                          Effects &Out) {
  for (const RolloutRow &Row : Rows) {
    if (!isRolloutKnown(S, Row.Model_, Row.NoteVersion_)) {
      if (!isOrderWrittenAgain(S, Row.Model_, Row.ToVersion_, Row.NoteVersion_))
        startRollout(S, Row, Out);
      else if (!renameRollout(S, Row.Model_, Row.ToVersion_, Row.NoteVersion_,
                              Out))
        continue; // An order of the copy that a later one has replaced.
    }
    RolloutState &Rollout = S.Release_.Rollouts_.at(Row.Model_);
    const bool SameOrder =
        Rollout.Row_.NoteVersion_ == Row.NoteVersion_ ||
        (Rollout.Row_.ToVersion_ == Row.ToVersion_ && isEraNew(S) &&
         eraOf(Row.NoteVersion_) < eraOf(Rollout.Row_.NoteVersion_));
    if (SameOrder && Row.Share_ > Rollout.Row_.Share_) {
      Rollout.Row_.Share_ = Row.Share_;
      Rollout.ShareChangedAt_ = S.Now_;
    }
    if (Row.RolledBack_)
      rollBackVersion(S,
                      {SameOrder ? Rollout.Row_.NoteVersion_ : Row.NoteVersion_,
                       Row.Model_, Row.Reason_},
                      Out);
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
  for (auto &[Service, Rollout] : S.Release_.Rollouts_) {
    raiseShareIfDue(S, Rollout);
    writeRolloutStatus(S, Rollout, Out);
  }
}

} // namespace endivewharf
