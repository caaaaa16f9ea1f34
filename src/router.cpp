// Routing by expected first-token time, prefix affinity and price.
#include "router.h"

#include "admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr std::size_t PrefixBlockBytes = 256;  // about 64 tokens
constexpr std::size_t MaxPrefixBlocks = 128;   // prompts beyond share the rest
constexpr std::size_t MaxHoldersPerPrefix = 4; // upstreams kept for one prefix
constexpr std::size_t MaxTrackedPrefixes = 20000; // about 2 MiB
constexpr int RingPointsPerUpstream = 8; // hash ring points per upstream
constexpr std::size_t AffinityCandidates = 2;
constexpr std::size_t RandomCandidates = 2;
constexpr double PrefillMsPerBlock = 8;     // cost of an uncached block
constexpr double DecodeMsPerStream = 3;     // cost of one more stream
constexpr double OwnerCachedFraction = 0.7; // of a prefix's blocks, see cost()
constexpr double BatchSlotFraction = 0.75;  // of an upstream's slots
constexpr double MsPerPriceUnit = 20;       // cost of one price unit an hour
constexpr double RemoteDataCentreMs = 15;   // cost of another data centre
constexpr double PrefillTokensPerMs = 80;   // of a large engine
constexpr double MaxPrefillBacklogFraction =
    0.6;                                  // of an objective, for prompts ahead
constexpr double PrefillCostWeight = 3;   // reading costs more than its time
constexpr double FullLoadSlowdown = 0.1;  // of a full engine's slowing down
constexpr double MaxWaitingPerSlot = 1.0; // waiting, by places of a service

std::string poolKey(const Call &C, std::string_view Version) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return Version.empty() ? fmt::format("s|{}", C.ServiceQueue_)
                           : fmt::format("s|{}|{}", C.ServiceQueue_, Version);
  if (C.Request_.Kind_ == CallKind::Service)
    return fmt::format("s|{}", C.Request_.Route_);
  return fmt::format("m|{}|{}", C.Request_.Model_, Version);
}

void addToPool(State &S, const std::string &Key, int Index) {
  Pool &P = S.Pools_[Key];
  P.UpstreamIndices_.push_back(Index);
  const InstanceId &Host = S.Upstreams_[Index].Row_.Host_;
  for (int Point = 0; Point < RingPointsPerUpstream; ++Point) {
    const std::string Name =
        fmt::format("{}/{}/{}", Host.Name_, Host.Incarnation_, Point);
    P.HashRing_.emplace_back(XXH3_64bits(Name.data(), Name.size()), Index);
  }
}

/// A service's hosts are in one pool, and while a move concerns it in those of
/// old and new hosts as well.
void addServicePoolKeys(const State &S, const Upstream &U,
                        std::vector<std::string> &Keys) {
  Keys.push_back(fmt::format("s|{}", U.Row_.Service_));
  const auto Found = S.Release_.Rollouts_.find(U.Row_.Service_);
  if (Found == S.Release_.Rollouts_.end())
    return;
  const bool New = U.Row_.Version_ == Found->second.Row_.ToVersion_;
  Keys.push_back(fmt::format("s|{}|{}", U.Row_.Service_,
                             New ? NewVersionPool : OldVersionPool));
}

/// Pools list every upstream that is not leaving, by what it serves; each is
/// kept twice, for its own data centre and for all.
void rebuildPools(State &S) {
  S.Pools_.clear();
  for (int I = 0; I < static_cast<int>(S.Upstreams_.size()); ++I) {
    const Upstream &U = S.Upstreams_[I];
    if (U.Leaving_ || !U.Listed_)
      continue;
    std::vector<std::string> Keys;
    if (U.Row_.Kind_ == UpstreamKind::Service)
      addServicePoolKeys(S, U, Keys);
    for (const LoadedVersion &Loaded : U.Loaded_)
      Keys.push_back(fmt::format("m|{}|{}", Loaded.Model_, Loaded.Version_));
    for (const std::string &Key : Keys) {
      addToPool(S, Key, I);
      addToPool(S, fmt::format("{}@{}", Key, U.Row_.DataCentre_), I);
    }
  }
  for (auto &[Key, P] : S.Pools_)
    std::sort(P.HashRing_.begin(), P.HashRing_.end());
  S.PoolsChanged_ = false;
}

/// Prompts at the upstream that it has yet to read, in ms of its time.
double prefillBacklogMs(const Upstream &U) {
  return U.PrefillMs_ + U.OthersPrefillMs_;
}

/// Requests at the upstream now: this process's own, which it knows, and those
/// of others by the upstream's reports, which lag and are smoothed.
int estimatedLoad(const Upstream &U) {
  return U.InFlight_ + static_cast<int>(std::lround(U.OthersLoad_));
}

/// A routed call goes where its first event can be in time; plain services
/// have no prompts to wait for, only places.
bool hasRoomForRoutedCall(const Upstream &U, const Call &C) {
  const double Bound =
      static_cast<double>(C.LatencyObjective_) * MaxPrefillBacklogFraction;
  const bool Batching = !C.PrefixHashes_.empty();
  if (Batching && prefillBacklogMs(U) > Bound)
    return false;
  const int Places =
      U.Slots_ + static_cast<int>(Batching ? 0 : U.Slots_ * MaxWaitingPerSlot);
  return U.Slots_ == 0 || estimatedLoad(U) < std::max(1, Places);
}

bool hasRoom(const State &S, const Upstream &U, const Call &C, int Index) {
  if (!isUsable(S, U) || U.InFlight_ >= static_cast<int>(U.ConcurrencyLimit_) ||
      C.TriedUpstreams_.count(Index) > 0)
    return false;
  if (C.Request_.Kind_ == CallKind::Routed)
    return hasRoomForRoutedCall(U, C);
  if (C.Request_.Priority_ == Priority::Interactive || U.Slots_ == 0 ||
      isBatchDue(S, C.ServiceQueue_))
    return true;
  // Batch leaves slots free, so that interactive requests need not wait for
  // one: a running stream is not taken off. Reports lag, so each process keeps
  // to its own part of what batch may have.
  const double ForBatch = BatchSlotFraction * U.Slots_;
  const double Processes = static_cast<double>(S.Membership_.Peers_.size() + 1);
  return estimatedLoad(U) < std::max(1.0, ForBatch) &&
         U.BatchInFlight_ < std::max(1.0, std::floor(ForBatch / Processes));
}

/// Number of leading blocks that the upstream is thought to hold.
std::size_t cachedBlockCount(const State &S, const Call &C, int Index) {
  for (std::size_t I = C.PrefixHashes_.size(); I > 0; --I) {
    const auto Found = S.PrefixHolders_.find(C.PrefixHashes_[I - 1]);
    if (Found != S.PrefixHolders_.end() &&
        std::count(Found->second.begin(), Found->second.end(), Index) > 0)
      return I;
  }
  return 0;
}

/// Hash by which a prompt's owner is found: that of its deepest shared part.
std::uint64_t ownerHash(const Call &C) {
  if (C.Request_.Kind_ == CallKind::Routed && C.PrefixHashes_.size() >= 2)
    return C.PrefixHashes_[C.PrefixHashes_.size() - 2];
  return C.PrefixHashes_.front();
}

/// Expected first-token time in ms, plus what the host's price is worth.
/// @param Owner the upstream that all processes choose for a new prefix; other
///        processes may have filled its cache already
double routingCostMs(const State &S, const Call &C, int Index, int Owner) {
  const Upstream &U = S.Upstreams_[Index];
  const double Remote =
      U.Row_.DataCentre_ == S.Settings_.DataCentre_ ? 0 : RemoteDataCentreMs;
  const int Load = estimatedLoad(U);
  const int Slots =
      U.Slots_ > 0 ? U.Slots_ : static_cast<int>(U.ConcurrencyLimit_);
  const double Queue = std::max(0, Load + 1 - Slots) * U.AttemptMs_ / Slots;
  if (C.Request_.Kind_ == CallKind::Routed) {
    double Read = expectedPrefillMs(S, C, Index);
    if (Index == Owner)
      Read = std::min(Read, sharedPrefixPrefillMs(C));
    return Read * PrefillCostWeight + prefillBacklogMs(U) + Queue +
           Load * U.AttemptMs_ * FullLoadSlowdown / Slots + Remote;
  }
  const auto Blocks = static_cast<double>(C.PrefixHashes_.size());
  double Cached = static_cast<double>(cachedBlockCount(S, C, Index));
  if (Index == Owner)
    Cached = std::max(Cached, OwnerCachedFraction * Blocks);
  return (Blocks - Cached) * PrefillMsPerBlock + Queue +
         Load * DecodeMsPerStream + U.Row_.Price_ * MsPerPriceUnit + Remote;
}

class Candidates {
public:
  Candidates(const State &S, const Call &C) : S_(S), C_(C) {}

  void add(int Index) {
    if (Count_ == Indices_.size() ||
        !hasRoom(S_, S_.Upstreams_[Index], C_, Index))
      return;
    const auto End = Indices_.begin() + static_cast<std::ptrdiff_t>(Count_);
    if (std::find(Indices_.begin(), End, Index) == End)
      Indices_[Count_++] = Index;
  }

  std::span<const int> all() const { return {Indices_.data(), Count_}; }

private:
  const State &S_;
  const Call &C_;
  std::array<int, 16> Indices_{};
  std::size_t Count_ = 0;
};

/// Adds the upstreams known to hold the longest part of the prompt.
/// @param Serves whether an upstream serves what the call needs
template <typename Predicate>
void addPrefixHolders(const State &S, const Call &C, Predicate Serves,
                      Candidates &Out) {
  for (std::size_t I = C.PrefixHashes_.size(); I > 0; --I) {
    const auto Found = S.PrefixHolders_.find(C.PrefixHashes_[I - 1]);
    if (Found == S.PrefixHolders_.end())
      continue;
    for (const int Index : Found->second)
      if (Serves(S.Upstreams_[Index]))
        Out.add(Index);
    return;
  }
}

void addFromRing(const Pool &P, std::uint64_t Hash, std::size_t Wanted,
                 Candidates &Out) {
  const auto Start = std::lower_bound(P.HashRing_.begin(), P.HashRing_.end(),
                                      std::pair(Hash, 0));
  const std::size_t First =
      static_cast<std::size_t>(Start - P.HashRing_.begin()) %
      P.HashRing_.size();
  const std::size_t Before = Out.all().size();
  const std::size_t Steps = std::min<std::size_t>(P.HashRing_.size(), 16);
  for (std::size_t I = 0; I < Steps && Out.all().size() < Before + Wanted; ++I)
    Out.add(P.HashRing_[(First + I) % P.HashRing_.size()].second);
}

/// Fallback for a nearly full pool: the first one with room from a random
/// start. Reached only when the few candidates are all full.
int firstWithRoom(State &S, const Call &C, const Pool &P) {
  const std::size_t Start = nextRandom(S) % P.UpstreamIndices_.size();
  for (std::size_t I = 0; I < P.UpstreamIndices_.size(); ++I) {
    const int Index =
        P.UpstreamIndices_[(Start + I) % P.UpstreamIndices_.size()];
    if (hasRoom(S, S.Upstreams_[Index], C, Index))
      return Index;
  }
  return -1;
}

/// @return true if a routed call may go to the upstream
bool servesRoutedCall(const State &S, const Upstream &U, const Call &C,
                      std::string_view Version) {
  if (U.Row_.Service_ != C.ServiceQueue_ || Version.empty())
    return U.Row_.Service_ == C.ServiceQueue_;
  const auto Found = S.Release_.Rollouts_.find(C.ServiceQueue_);
  const bool New = Found != S.Release_.Rollouts_.end() &&
                   U.Row_.Version_ == Found->second.Row_.ToVersion_;
  return New == (Version == NewVersionPool);
}

template <typename Less>
int minCandidate(std::span<const int> Indices, Less IsLess) {
  if (Indices.empty())
    return -1;
  return *std::min_element(Indices.begin(), Indices.end(), IsLess);
}

/// One visitor for all ways to choose within a pool.
struct UpstreamPicker {
  State &S_;
  const Call &C_;
  const Pool &Pool_;
  const Pool &GlobalPool_; ///< Of all data centres.
  std::string_view Version_;

  int operator()(CostPolicy &) const {
    Candidates Few(S_, C_);
    int Owner = -1;
    if (!C_.PrefixHashes_.empty()) {
      // A prefix has one owner for all data centres: computing it again costs
      // more than the way there.
      addFromRing(GlobalPool_, ownerHash(C_), 1, Few);
      Owner = Few.all().empty() ? -1 : Few.all()[0];
      addPrefixHolders(
          S_, C_, [&](const Upstream &U) { return servesCall(U); }, Few);
    }
    addFromRing(Pool_,
                C_.PrefixHashes_.empty() ? nextRandom(S_) : ownerHash(C_),
                AffinityCandidates, Few);
    for (std::size_t I = 0; I < RandomCandidates; ++I)
      Few.add(Pool_.UpstreamIndices_[nextRandom(S_) %
                                     Pool_.UpstreamIndices_.size()]);
    const int Best = minCandidate(Few.all(), [&](int A, int B) {
      return routingCostMs(S_, C_, A, Owner) < routingCostMs(S_, C_, B, Owner);
    });
    return Best >= 0 ? Best : firstWithRoom(S_, C_, Pool_);
  }

  bool servesCall(const Upstream &U) const {
    if (C_.Request_.Kind_ == CallKind::Routed)
      return servesRoutedCall(S_, U, C_, Version_);
    return C_.Request_.Kind_ == CallKind::Service
               ? U.Row_.Service_ == C_.Request_.Route_
               : U.Loaded_.count({C_.Request_.Model_, std::string(Version_)}) >
                     0;
  }

  int operator()(RoundRobinPolicy &Policy) const {
    for (std::size_t I = 0; I < Pool_.UpstreamIndices_.size(); ++I) {
      const int Index =
          Pool_
              .UpstreamIndices_[Policy.Next_++ % Pool_.UpstreamIndices_.size()];
      if (hasRoom(S_, S_.Upstreams_[Index], C_, Index))
        return Index;
    }
    return -1;
  }

  int operator()(LeastInFlightPolicy &) const {
    int Best = -1;
    for (const int Index : Pool_.UpstreamIndices_)
      if (hasRoom(S_, S_.Upstreams_[Index], C_, Index) &&
          (Best < 0 ||
           S_.Upstreams_[Index].InFlight_ < S_.Upstreams_[Best].InFlight_))
        Best = Index;
    return Best;
  }

  int operator()(TwoChoicesPolicy &) const {
    Candidates Two(S_, C_);
    for (int I = 0; I < 2; ++I)
      Two.add(Pool_.UpstreamIndices_[nextRandom(S_) %
                                     Pool_.UpstreamIndices_.size()]);
    const int Best = minCandidate(Two.all(), [&](int A, int B) {
      return S_.Upstreams_[A].InFlight_ < S_.Upstreams_[B].InFlight_;
    });
    return Best >= 0 ? Best : firstWithRoom(S_, C_, Pool_);
  }

  int operator()(PrefixHashPolicy &) const {
    Candidates One(S_, C_);
    if (!C_.PrefixHashes_.empty())
      addFromRing(Pool_, C_.PrefixHashes_.front(), 1, One);
    return One.all().empty() ? firstWithRoom(S_, C_, Pool_) : One.all()[0];
  }
};

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Blocks;
  const std::size_t Count =
      std::min(Prompt.size() / PrefixBlockBytes, MaxPrefixBlocks);
  std::uint64_t Hash = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    const std::string_view Block =
        Prompt.substr(I * PrefixBlockBytes, PrefixBlockBytes);
    Hash = XXH3_64bits_withSeed(Block.data(), Block.size(), Hash);
    Blocks.push_back(Hash);
  }
  return Blocks;
}

std::vector<std::uint64_t> partPrefixHashes(std::span<const PromptPart> Parts) {
  std::vector<std::uint64_t> Blocks;
  std::uint64_t Hash = 0;
  for (const PromptPart &Part : Parts) {
    Hash = XXH3_64bits_withSeed(Part.Id_.data(), Part.Id_.size(), Hash);
    Blocks.push_back(Hash);
  }
  return Blocks;
}

double expectedPrefillMs(const State &S, const Call &C, int Index) {
  if (C.PrefixTokens_.empty())
    return 0;
  const std::size_t Cached = cachedBlockCount(S, C, Index);
  const std::int64_t Known = Cached == 0 ? 0 : C.PrefixTokens_[Cached - 1];
  const std::int64_t Whole = C.PrefixTokens_.back();
  return static_cast<double>(std::max<std::int64_t>(0, Whole - Known)) /
         PrefillTokensPerMs;
}

double sharedPrefixPrefillMs(const Call &C) {
  const std::size_t Parts = C.PrefixTokens_.size();
  if (Parts < 2)
    return static_cast<double>(C.Request_.PromptTokens_) / PrefillTokensPerMs;
  const std::int64_t Own =
      C.PrefixTokens_[Parts - 1] - C.PrefixTokens_[Parts - 2];
  const auto Shared = static_cast<double>(C.PrefixTokens_[Parts - 2]);
  return (static_cast<double>(Own) + Shared * (1 - OwnerCachedFraction)) /
         PrefillTokensPerMs;
}

bool isUsable(const State &S, const Upstream &U) {
  return !U.Leaving_ && U.Listed_ && S.Now_ >= U.AvoidUntil_ &&
         S.Now_ >= U.PausedUntil_;
}

int pickUpstream(State &S, const Call &C, std::string_view Version) {
  if (S.PoolsChanged_)
    rebuildPools(S);
  const std::string Key = poolKey(C, Version);
  const auto All = S.Pools_.find(Key);
  if (All == S.Pools_.end())
    return -1;
  const auto Local =
      S.Pools_.find(fmt::format("{}@{}", Key, S.Settings_.DataCentre_));
  if (Local != S.Pools_.end()) {
    const int Index =
        std::visit(UpstreamPicker{S, C, Local->second, All->second, Version},
                   S.RoutePolicy_);
    if (Index >= 0)
      return Index;
  }
  return std::visit(UpstreamPicker{S, C, All->second, All->second, Version},
                    S.RoutePolicy_);
}

bool hasUsableUpstream(State &S, const Call &C, std::string_view Version) {
  if (S.PoolsChanged_)
    rebuildPools(S);
  const auto Found = S.Pools_.find(poolKey(C, Version));
  if (Found == S.Pools_.end())
    return false;
  return std::any_of(Found->second.UpstreamIndices_.begin(),
                     Found->second.UpstreamIndices_.end(), [&](int Index) {
                       return isUsable(S, S.Upstreams_[Index]);
                     });
}

void recordPrefixHolder(State &S, std::span<const std::uint64_t> Blocks,
                        int Upstream) {
  for (const std::uint64_t Block : Blocks) {
    auto [Found, New] = S.PrefixHolders_.try_emplace(Block);
    std::vector<int> &Holders = Found->second;
    if (New)
      S.PrefixEvictionOrder_.push_back(Block);
    if (std::find(Holders.begin(), Holders.end(), Upstream) != Holders.end())
      continue;
    if (Holders.size() == MaxHoldersPerPrefix)
      Holders.erase(Holders.begin());
    Holders.push_back(Upstream);
  }
  while (S.PrefixEvictionOrder_.size() > MaxTrackedPrefixes) {
    S.PrefixHolders_.erase(S.PrefixEvictionOrder_.front());
    S.PrefixEvictionOrder_.pop_front();
  }
}

void removePrefixHolder(State &S, int Upstream) {
  for (auto &[Block, Holders] : S.PrefixHolders_)
    std::erase(Holders, Upstream);
}

} // namespace endivewharf
