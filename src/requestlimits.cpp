#include "requestlimits.h"

#include "diagnostics.h"
#include "membership.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf {

namespace {

/// Least limit that is kept to, in requests per second: with none at all no
/// answer would tell that the limit has ended.
constexpr double MinLimit = 0.05;
constexpr double MaxSavedRequests = 1.5; // requests of one process
constexpr double BatchReserve = 1.25;    // requests that batch ones must find
/// Part of a limit that the processes which do not share it send in all, so
/// that its end is noticed if those that do have no work.
constexpr double OthersFraction = 0.1;
constexpr Millis OthersPeriod = 1000;    // ms between two draws
constexpr Millis UpdatePeriod = 250;     // ms between two updates of the parts
constexpr Millis EndedRowPeriod = 10000; // ms for which an end is told
constexpr std::uint64_t SenderRankSeed = 11;

std::uint64_t senderRank(std::uint32_t UpstreamHash,
                         const std::string &Process) {
  return XXH3_64bits_withSeed(Process.data(), Process.size(),
                              SenderRankSeed + UpstreamHash);
}

/// @return this process's part of an upstream's limit, in requests per second;
///   0 if others share it
double ownPart(const State &S, const Upstream &U) {
  const double Limit = std::max(MinLimit, *U.NamedLimit_);
  if (S.Stage_ != Stage::Serving)
    return 0;
  const std::uint32_t Hash = instanceHash(U.Row_.Host_);
  const std::uint64_t Own = senderRank(Hash, S.Self_.Name_);
  std::size_t Processes = 1;
  std::size_t Preceding = 0;
  for (const auto &[Name, Peer] : S.Membership_.Peers_) {
    if (!Peer.Alive_ || Peer.Row_.Draining_)
      continue;
    ++Processes;
    Preceding += senderRank(Hash, Name) > Own ? 1 : 0;
  }
  // A sender with less than one request a second has little use for it.
  const auto Senders = static_cast<std::size_t>(
      std::clamp(Limit, 1.0, static_cast<double>(Processes)));
  return Preceding < Senders ? Limit / static_cast<double>(Senders) : 0;
}

double availableRequests(const State &S, const Upstream &U) {
  const double Refilled =
      U.LimitPart_ * static_cast<double>(S.Now_ - U.LimitRefilledAt_) / 1000;
  return std::min(MaxSavedRequests, U.LimitRequests_ + Refilled);
}

void refill(const State &S, Upstream &U) {
  U.LimitRequests_ = availableRequests(S, U);
  U.LimitRefilledAt_ = S.Now_;
}

/// Takes over this process's present part of a limit. Nothing that was saved
/// under another part is kept.
void updatePart(const State &S, Upstream &U) {
  const double Part = ownPart(S, U);
  refill(S, U);
  if (Part == 0 && U.LimitPart_ > 0)
    U.LimitRequests_ = 0;
  U.LimitPart_ = Part;
}

/// Applies a statement on an upstream's limit unless a later one is known. Of
/// two statements with the same number the stricter one holds.
void applyStatement(State &S, Upstream &U, std::optional<double> Limit,
                    std::uint64_t Number, std::string_view Source,
                    Effects &Out) {
  const bool Stricter = Limit && (!U.NamedLimit_ || *Limit < *U.NamedLimit_);
  if (Number < U.LimitNumber_ || (Number == U.LimitNumber_ && !Stricter))
    return;
  const bool Changed = Limit != U.NamedLimit_;
  const bool IsNew = Limit && !U.NamedLimit_;
  U.LimitNumber_ = Number;
  U.NamedLimit_ = Limit;
  U.LimitChangedAt_ = S.Now_;
  if (Limit)
    U.LimitNamedAt_ = S.Now_;
  if (IsNew) {
    U.LimitRequests_ = 0;
    U.LimitRefilledAt_ = S.Now_;
    U.LimitPart_ = 0;
  }
  if (Limit)
    updatePart(S, U);
  if (Changed)
    logEvent(Out, Limit ? "upstream_limited" : "upstream_limit_ended",
             {{"upstream", U.Row_.Host_.Name_},
              {"limit", Limit ? fmt::format("{}", *Limit) : "none"},
              {"part", fmt::format("{:.3f}", Limit ? U.LimitPart_ : 0)},
              {"statement", std::to_string(Number)},
              {"source", std::string(Source)}});
}

} // namespace

void recordNamedLimit(State &S, const Attempt &A, std::optional<double> Limit,
                      Effects &Out) {
  Upstream &U = S.Upstreams_[A.Upstream_];
  if (Limit == U.NamedLimit_) {
    U.LimitNamedAt_ = S.Now_;
    return;
  }
  if (!Limit && A.StartedAt_ <= U.LimitNamedAt_)
    return;
  applyStatement(S, U, Limit, U.LimitNumber_ + 1, "own", Out);
}

void mergeLimits(State &S, std::span<const LimitRow> Rows, Effects &Out) {
  for (const LimitRow &Row : Rows) {
    const auto Found = S.UpstreamByHash_.find(Row.UpstreamHash_);
    if (Found == S.UpstreamByHash_.end())
      continue; // The host list here does not have it yet.
    const auto Limit =
        Row.PerSecond_ < 0 ? std::nullopt : std::optional(Row.PerSecond_);
    applyStatement(S, S.Upstreams_[Found->second], Limit, Row.Number_, "peer",
                   Out);
  }
}

std::vector<LimitRow> limitRows(const State &S) {
  std::vector<LimitRow> Rows;
  for (const Upstream &U : S.Upstreams_) {
    const bool EndedLately =
        U.LimitNumber_ > 0 && S.Now_ - U.LimitChangedAt_ < EndedRowPeriod;
    if (U.Listed_ && !U.Leaving_ && (U.NamedLimit_ || EndedLately))
      Rows.push_back({instanceHash(U.Row_.Host_), U.NamedLimit_.value_or(-1),
                      U.LimitNumber_});
  }
  return Rows;
}

bool mayRequest(const State &S, const Upstream &U, bool IsBatch) {
  return !U.NamedLimit_ ||
         availableRequests(S, U) >= (IsBatch ? BatchReserve : 1.0);
}

bool isRequestDue(const State &S, const Upstream &U) {
  return U.NamedLimit_ && availableRequests(S, U) >= MaxSavedRequests;
}

void chargeRequest(State &S, Upstream &U) {
  if (!U.NamedLimit_)
    return;
  refill(S, U);
  U.LimitRequests_ -= 1;
}

void tickRequestLimits(State &S) {
  if (S.Now_ - S.LimitsUpdatedAt_ < UpdatePeriod)
    return;
  S.LimitsUpdatedAt_ = S.Now_;
  const bool DrawDue = S.Now_ - S.LimitsDrawnAt_ >= OthersPeriod;
  if (DrawDue)
    S.LimitsDrawnAt_ = S.Now_;
  S.LimitedUpstreams_.clear();
  for (int I = 0; I < static_cast<int>(S.Upstreams_.size()); ++I) {
    Upstream &U = S.Upstreams_[I];
    if (!U.NamedLimit_ || !U.Listed_ || U.Leaving_)
      continue;
    S.LimitedUpstreams_.push_back(I);
    updatePart(S, U);
    if (U.LimitPart_ > 0 || !DrawDue)
      continue;
    // What is not used before the next draw is not kept, so that no two
    // processes save for the same moment.
    const double Chance = OthersFraction * std::max(MinLimit, *U.NamedLimit_) /
                          static_cast<double>(estimatedClusterSize(S));
    constexpr double DrawSteps = 1 << 20;
    const double Drawn =
        static_cast<double>(nextRandom(S) % (1 << 20)) / DrawSteps;
    U.LimitRequests_ = Drawn < Chance ? MaxSavedRequests : 0;
  }
}

} // namespace endivewharf
