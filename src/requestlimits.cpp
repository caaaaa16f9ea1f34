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
/// Time after the start in which a process gets to know the others, in ms.
constexpr Millis MembershipTime = 5000;

std::uint64_t senderRank(std::uint32_t UpstreamHash,
                         const std::string &Process) {
  return XXH3_64bits_withSeed(Process.data(), Process.size(),
                              SenderRankSeed + UpstreamHash);
}

/// Place of this process in an upstream's order of processes.
struct SenderOrder {
  std::size_t Processes_ = 1; ///< Those that count, this one included.
  std::size_t Preceding_ = 0; ///< Those that come before this one.
};

/// @param Counts predicate: a peer counts
template <typename Predicate>
SenderOrder senderOrder(const State &S, const Upstream &U, Predicate Counts) {
  const std::uint32_t Hash = instanceHash(U.Row_.Host_);
  const std::uint64_t Own = senderRank(Hash, S.Self_.Name_);
  SenderOrder Order;
  for (const auto &[Name, Peer] : S.Membership_.Peers_) {
    if (!Counts(Peer))
      continue;
    ++Order.Processes_;
    Order.Preceding_ += senderRank(Hash, Name) > Own ? 1 : 0;
  }
  return Order;
}

/// @return the service whose hosts start cold that the upstream belongs to, or
/// null
const ServiceEntry *coldService(const State &S, const Upstream &U) {
  if (U.IsPeer_ || S.Settings_.Bounds_.ColdFactor_ <= 0)
    return nullptr;
  const auto &Services = S.Config_.Configuration_.Services_;
  const auto Found = Services.find(U.Row_.Service_);
  return Found == Services.end() || Found->second.ColdRequestsPerSecond_ <= 0
             ? nullptr
             : &Found->second;
}

/// @return requests that all processes together may send the upstream in any
/// second while it is cold; 0: any number
double coldBound(const State &S, const Upstream &U) {
  const ServiceEntry *Service = coldService(S, U);
  const BoundSettings &Bounds = S.Settings_.Bounds_;
  return Service == nullptr
             ? 0
             : Service->ColdRequestsPerSecond_ * Bounds.ColdFactor_ +
                   Bounds.ColdSlack_;
}

/// A process that has started lately may not know the others yet, whose parts
/// add up to the whole bound.
bool knowsProcesses(const State &S) {
  const bool Alone = S.Settings_.SeedContacts_.size() <= 1;
  return S.Now_ - S.StartedAt_ >= MembershipTime &&
         (Alone || !S.Membership_.Peers_.empty());
}

/// @return requests that this process may send a cold upstream in any second
int ownColdPart(const State &S, const Upstream &U) {
  if (!knowsProcesses(S))
    return 0;
  const SenderOrder Order =
      senderOrder(S, U, [](const PeerState &) { return true; });
  const std::size_t All = std::max(Order.Processes_, estimatedClusterSize(S));
  // Of processes that are not known as many precede as of those that are.
  return coldPart(
      {coldBound(S, U), All, Order.Preceding_ * All / Order.Processes_});
}

/// @return true unless the upstream is cold and has had this process's part of
/// its bound
bool isWithinColdBound(const State &S, const Upstream &U, int Index) {
  const auto Found = S.ColdHosts_.Hosts_.find(Index);
  return Found == S.ColdHosts_.Hosts_.end() || !isCold(Found->second, S.Now_) ||
         coldService(S, U) == nullptr ||
         recentlySent(Found->second, S.Now_) < Found->second.Part_;
}

/// Takes over this process's part of a cold upstream's bound, and logs that the
/// upstream is cold.
void beginCold(State &S, int Index, std::string_view Source, Effects &Out) {
  const Upstream &U = S.Upstreams_[Index];
  ColdHost &Host = S.ColdHosts_.Hosts_[Index];
  if (coldService(S, U) == nullptr || !isCold(Host, S.Now_))
    return;
  Host.Part_ = ownColdPart(S, U);
  if (Host.Reported_)
    return;
  Host.Reported_ = true;
  incrementCounter(S, "upstreams_cold");
  logEvent(Out, "upstream_cold",
           {{"upstream", U.Row_.Host_.Name_},
            {"for_ms", std::to_string(Host.Until_ - S.Now_)},
            {"bound", fmt::format("{}", coldBound(S, U))},
            {"part", std::to_string(Host.Part_)},
            {"source", std::string(Source)}});
}

/// Updates this process's part at each cold upstream, and logs which are no
/// longer cold.
void tickColdHosts(State &S, Effects &Out) {
  for (auto &[Index, Host] : S.ColdHosts_.Hosts_) {
    if (isCold(Host, S.Now_)) {
      beginCold(S, Index, "contact", Out);
      continue;
    }
    if (!Host.Reported_)
      continue;
    Host.Reported_ = false;
    logEvent(Out, "upstream_warm",
             {{"upstream", S.Upstreams_[Index].Row_.Host_.Name_}});
  }
}

/// @return this process's part of an upstream's limit, in requests per second;
///   0 if others share it
double ownPart(const State &S, const Upstream &U) {
  const double Limit = std::max(MinLimit, *U.NamedLimit_);
  if (S.Stage_ != Stage::Serving)
    return 0;
  const SenderOrder Order = senderOrder(S, U, [](const PeerState &Peer) {
    return Peer.Alive_ && !Peer.Row_.Draining_;
  });
  // A sender with less than one request a second has little use for it.
  const auto Senders = static_cast<std::size_t>(
      std::clamp(Limit, 1.0, static_cast<double>(Order.Processes_)));
  return Order.Preceding_ < Senders ? Limit / static_cast<double>(Senders) : 0;
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

bool isWithinNamedLimit(const State &S, const Upstream &U, bool IsBatch) {
  return !U.NamedLimit_ ||
         availableRequests(S, U) >= (IsBatch ? BatchReserve : 1.0);
}

bool mayRequest(const State &S, const Upstream &U, int Index, bool IsBatch) {
  return isWithinNamedLimit(S, U, IsBatch) && isWithinColdBound(S, U, Index);
}

bool isRequestDue(const State &S, const Upstream &U) {
  return U.NamedLimit_ && availableRequests(S, U) >= MaxSavedRequests;
}

void chargeRequest(State &S, int Index) {
  Upstream &U = S.Upstreams_[Index];
  if (coldBound(S, U) > 0)
    recordSent(S.ColdHosts_.Hosts_[Index], S.Now_);
  if (!U.NamedLimit_)
    return;
  refill(S, U);
  U.LimitRequests_ -= 1;
}

void recordListedHost(State &S, int Index, Effects &Out) {
  applyColdEntry(S.ColdHosts_.Hosts_[Index], S.Now_,
                 S.Upstreams_[Index].Row_.WarmupTimeLeft_);
  beginCold(S, Index, "entry", Out);
}

void recordWarmupStatement(State &S, int Index, Effects &Out) {
  ColdHost &Host = S.ColdHosts_.Hosts_[Index];
  const Millis TimeLeft = S.Upstreams_[Index].Row_.WarmupTimeLeft_;
  // Others may use the list as it was before.
  if (TimeLeft > 0 && !isCold(Host, S.Now_))
    ++Host.Number_;
  applyColdEntry(Host, S.Now_, TimeLeft);
  beginCold(S, Index, "entry", Out);
}

void recordReturn(State &S, std::string_view DataCentre, Effects &Out) {
  for (int I = 0; I < static_cast<int>(S.Upstreams_.size()); ++I) {
    const ServiceEntry *Service = coldService(S, S.Upstreams_[I]);
    if (Service == nullptr || S.Upstreams_[I].Row_.DataCentre_ != DataCentre)
      continue;
    extendCold(S.ColdHosts_.Hosts_[I], S.Now_, Service->ColdTime_);
    beginCold(S, I, "evacuation", Out);
  }
}

void recordHostUnreached(State &S, int Index) {
  if (coldService(S, S.Upstreams_[Index]) == nullptr)
    return;
  ColdHost &Host = S.ColdHosts_.Hosts_[Index];
  recordUnreached(Host, S.Now_);
  Host.Part_ = ownColdPart(S, S.Upstreams_[Index]);
}

void recordHostAnswer(State &S, const Attempt &A) {
  const ServiceEntry *Service = coldService(S, S.Upstreams_[A.Upstream_]);
  if (Service != nullptr)
    recordAnswered(S.ColdHosts_.Hosts_[A.Upstream_], S.Now_, A.StartedAt_,
                   Service->ColdTime_);
}

void mergeColdHosts(State &S, std::span<const ColdRow> Rows, Effects &Out) {
  for (const ColdRow &Row : Rows) {
    const auto Found = S.UpstreamByHash_.find(Row.UpstreamHash_);
    if (Found == S.UpstreamByHash_.end())
      continue; // The host list here does not have it yet.
    ColdHost &Host = S.ColdHosts_.Hosts_[Found->second];
    if (Row.Number_ <= Host.Number_)
      continue;
    Host.Number_ = Row.Number_;
    extendCold(Host, S.Now_, Row.TimeLeft_);
    beginCold(S, Found->second, "peer", Out);
  }
}

std::vector<ColdRow> coldRows(const State &S) {
  std::vector<ColdRow> Rows;
  for (const auto &[Index, Host] : S.ColdHosts_.Hosts_)
    if (Host.Number_ > 0 && S.Now_ < Host.Until_ &&
        S.Upstreams_[Index].Listed_ && !S.Upstreams_[Index].Leaving_)
      Rows.push_back({instanceHash(S.Upstreams_[Index].Row_.Host_),
                      Host.Until_ - S.Now_, Host.Number_});
  return Rows;
}

void tickRequestLimits(State &S, Effects &Out) {
  if (S.Now_ - S.LimitsUpdatedAt_ < UpdatePeriod)
    return;
  S.LimitsUpdatedAt_ = S.Now_;
  tickColdHosts(S, Out);
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
