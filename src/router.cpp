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

constexpr std::size_t BlockBytes = 256;    // about 64 tokens
constexpr std::size_t MaxBlocks = 128;     // prompts beyond share the rest
constexpr std::size_t HoldersPerBlock = 4; // upstreams kept for one prefix
constexpr std::size_t MaxPrefixes = 20000; // about 2 MiB
constexpr int RingPoints = 8;              // hash ring points per upstream
constexpr std::size_t AffinityCandidates = 2;
constexpr std::size_t RandomCandidates = 2;
constexpr double PrefillMsPerBlock = 8;   // cost of an uncached block
constexpr double DecodePressureMs = 3;    // cost of one more stream
constexpr double OwnerCredit = 0.7;       // of a prefix's blocks, see cost()
constexpr double BatchPart = 0.75;        // of an upstream's slots
constexpr double PriceMs = 20;            // cost of one price unit an hour
constexpr double RemoteMs = 15;           // cost of another data centre
constexpr double PrefillTokensPerMs = 80; // of a large engine
constexpr double BacklogShare = 0.6;      // of an objective, for prompts ahead
constexpr double ReadAgainWeight = 3;     // reading costs more than its time
constexpr double LoadShare = 0.1;         // of a full engine's slowing down
constexpr double PlainQueueShare = 1.0;   // waiting, by places of a service

std::string poolKey(const Call &C, std::string_view Version) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return Version.empty() ? fmt::format("s|{}", C.Lane_)
                           : fmt::format("s|{}|{}", C.Lane_, Version);
  if (C.Request_.Kind_ == CallKind::Service)
    return fmt::format("s|{}", C.Request_.Route_);
  return fmt::format("m|{}|{}", C.Request_.Model_, Version);
}

void addToPool(State &S, const std::string &Key, int Index) {
  Pool &P = S.Pools_[Key];
  P.Members_.push_back(Index);
  const Life &Host = S.Upstreams_[Index].Row_.Host_;
  for (int Point = 0; Point < RingPoints; ++Point) {
    const std::string Name =
        fmt::format("{}/{}/{}", Host.Name_, Host.Incarnation_, Point);
    P.Ring_.emplace_back(XXH3_64bits(Name.data(), Name.size()), Index);
  }
}

/// A service's hosts are in one pool, and while a move concerns it in those of
/// old and new hosts as well.
void addServiceKeys(const State &S, const Upstream &U,
                    std::vector<std::string> &Keys) {
  Keys.push_back(fmt::format("s|{}", U.Row_.Service_));
  const auto Found = S.Release_.Moves_.find(U.Row_.Service_);
  if (Found == S.Release_.Moves_.end())
    return;
  const bool New = U.Row_.Version_ == Found->second.Row_.To_;
  Keys.push_back(
      fmt::format("s|{}|{}", U.Row_.Service_, New ? NewHosts : OldHosts));
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
      addServiceKeys(S, U, Keys);
    for (const LoadedVersion &Loaded : U.Loaded_)
      Keys.push_back(fmt::format("m|{}|{}", Loaded.Model_, Loaded.Version_));
    for (const std::string &Key : Keys) {
      addToPool(S, Key, I);
      addToPool(S, fmt::format("{}@{}", Key, U.Row_.DataCentre_), I);
    }
  }
  for (auto &[Key, P] : S.Pools_)
    std::sort(P.Ring_.begin(), P.Ring_.end());
  S.PoolsChanged_ = false;
}

/// Prompts at the upstream that it has yet to read, in ms of its time.
double prefillBacklog(const Upstream &U) {
  return U.PrefillMs_ + U.OthersPrefillMs_;
}

/// Requests at the upstream now: this process's own, which it knows, and those
/// of others by the upstream's reports, which lag and are smoothed.
int estimatedLoad(const Upstream &U) {
  return U.InFlight_ + static_cast<int>(std::lround(U.OthersLoad_));
}

/// A routed call goes where its first event can be in time; plain services
/// have no prompts to wait for, only places.
bool hasRoomFor(const Upstream &U, const Call &C) {
  const double Bound = static_cast<double>(C.Objective_) * BacklogShare;
  const bool Batching = !C.Blocks_.empty();
  if (Batching && prefillBacklog(U) > Bound)
    return false;
  const int Places =
      U.Slots_ + static_cast<int>(Batching ? 0 : U.Slots_ * PlainQueueShare);
  return U.Slots_ == 0 || estimatedLoad(U) < std::max(1, Places);
}

bool hasRoom(const State &S, const Upstream &U, const Call &C, int Index) {
  if (!isUsable(S, U) || U.InFlight_ >= static_cast<int>(U.Limit_) ||
      C.TriedUpstreams_.count(Index) > 0)
    return false;
  if (C.Request_.Kind_ == CallKind::Routed)
    return hasRoomFor(U, C);
  if (C.Request_.Priority_ == Priority::Interactive || U.Slots_ == 0 ||
      isBatchDue(S, C.Lane_))
    return true;
  // Batch leaves slots free, so that interactive requests need not wait for
  // one: a running stream is not taken off. Reports lag, so each process keeps
  // to its own part of what batch may have.
  const double ForBatch = BatchPart * U.Slots_;
  const double Processes =
      static_cast<double>(S.Membership_.Members_.size() + 1);
  return estimatedLoad(U) < std::max(1.0, ForBatch) &&
         U.BatchInFlight_ < std::max(1.0, std::floor(ForBatch / Processes));
}

/// Number of leading blocks that the upstream is thought to hold.
std::size_t cachedBlocks(const State &S, const Call &C, int Index) {
  for (std::size_t I = C.Blocks_.size(); I > 0; --I) {
    const auto Found = S.PrefixHolders_.find(C.Blocks_[I - 1]);
    if (Found != S.PrefixHolders_.end() &&
        std::count(Found->second.begin(), Found->second.end(), Index) > 0)
      return I;
  }
  return 0;
}

/// Hash by which a prompt's owner is found: that of its deepest shared part.
std::uint64_t ownerHash(const Call &C) {
  if (C.Request_.Kind_ == CallKind::Routed && C.Blocks_.size() >= 2)
    return C.Blocks_[C.Blocks_.size() - 2];
  return C.Blocks_.front();
}

/// Expected first-token time in ms, plus what the host's price is worth.
/// @param Owner the upstream that all processes choose for a new prefix; other
///        processes may have filled its cache already
double cost(const State &S, const Call &C, int Index, int Owner) {
  const Upstream &U = S.Upstreams_[Index];
  const double Remote =
      U.Row_.DataCentre_ == S.Settings_.DataCentre_ ? 0 : RemoteMs;
  const int Load = estimatedLoad(U);
  const int Slots = U.Slots_ > 0 ? U.Slots_ : static_cast<int>(U.Limit_);
  const double Queue = std::max(0, Load + 1 - Slots) * U.ServiceMs_ / Slots;
  if (C.Request_.Kind_ == CallKind::Routed) {
    double Read = expectedPrefill(S, C, Index);
    if (Index == Owner)
      Read = std::min(Read, likelyPrefill(C));
    return Read * ReadAgainWeight + prefillBacklog(U) + Queue +
           Load * U.ServiceMs_ * LoadShare / Slots + Remote;
  }
  const auto Blocks = static_cast<double>(C.Blocks_.size());
  double Cached = static_cast<double>(cachedBlocks(S, C, Index));
  if (Index == Owner)
    Cached = std::max(Cached, OwnerCredit * Blocks);
  return (Blocks - Cached) * PrefillMsPerBlock + Queue +
         Load * DecodePressureMs + U.Row_.Price_ * PriceMs + Remote;
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
void addHolders(const State &S, const Call &C, Predicate Serves,
                Candidates &Out) {
  for (std::size_t I = C.Blocks_.size(); I > 0; --I) {
    const auto Found = S.PrefixHolders_.find(C.Blocks_[I - 1]);
    if (Found == S.PrefixHolders_.end())
      continue;
    for (const int Index : Found->second)
      if (Serves(S.Upstreams_[Index]))
        Out.add(Index);
    return;
  }
}

void addByRing(const Pool &P, std::uint64_t Hash, std::size_t Wanted,
               Candidates &Out) {
  const auto Start =
      std::lower_bound(P.Ring_.begin(), P.Ring_.end(), std::pair(Hash, 0));
  const std::size_t First =
      static_cast<std::size_t>(Start - P.Ring_.begin()) % P.Ring_.size();
  const std::size_t Before = Out.all().size();
  const std::size_t Steps = std::min<std::size_t>(P.Ring_.size(), 16);
  for (std::size_t I = 0; I < Steps && Out.all().size() < Before + Wanted; ++I)
    Out.add(P.Ring_[(First + I) % P.Ring_.size()].second);
}

/// Fallback for a nearly full pool: the first one with room from a random
/// start. Reached only when the few candidates are all full.
int anyWithRoom(State &S, const Call &C, const Pool &P) {
  const std::size_t Start = nextRandom(S) % P.Members_.size();
  for (std::size_t I = 0; I < P.Members_.size(); ++I) {
    const int Index = P.Members_[(Start + I) % P.Members_.size()];
    if (hasRoom(S, S.Upstreams_[Index], C, Index))
      return Index;
  }
  return -1;
}

/// @return true if a routed call may go to the upstream
bool isIn(const State &S, const Upstream &U, const Call &C,
          std::string_view Version) {
  if (U.Row_.Service_ != C.Lane_ || Version.empty())
    return U.Row_.Service_ == C.Lane_;
  const auto Found = S.Release_.Moves_.find(C.Lane_);
  const bool New = Found != S.Release_.Moves_.end() &&
                   U.Row_.Version_ == Found->second.Row_.To_;
  return New == (Version == NewHosts);
}

template <typename Less> int bestOf(std::span<const int> Indices, Less IsLess) {
  if (Indices.empty())
    return -1;
  return *std::min_element(Indices.begin(), Indices.end(), IsLess);
}

/// One visitor for all ways to choose within a pool.
struct Picker {
  State &S_;
  const Call &C_;
  const Pool &P_;
  const Pool &All_; ///< Of all data centres.
  std::string_view Version_;

  int operator()(CostPolicy &) const {
    Candidates Few(S_, C_);
    int Owner = -1;
    if (!C_.Blocks_.empty()) {
      // A prefix has one owner for all data centres: computing it again costs
      // more than the way there.
      addByRing(All_, ownerHash(C_), 1, Few);
      Owner = Few.all().empty() ? -1 : Few.all()[0];
      addHolders(
          S_, C_, [&](const Upstream &U) { return serves(U); }, Few);
    }
    addByRing(P_, C_.Blocks_.empty() ? nextRandom(S_) : ownerHash(C_),
              AffinityCandidates, Few);
    for (std::size_t I = 0; I < RandomCandidates; ++I)
      Few.add(P_.Members_[nextRandom(S_) % P_.Members_.size()]);
    const int Best = bestOf(Few.all(), [&](int A, int B) {
      return cost(S_, C_, A, Owner) < cost(S_, C_, B, Owner);
    });
    return Best >= 0 ? Best : anyWithRoom(S_, C_, P_);
  }

  bool serves(const Upstream &U) const {
    if (C_.Request_.Kind_ == CallKind::Routed)
      return isIn(S_, U, C_, Version_);
    return C_.Request_.Kind_ == CallKind::Service
               ? U.Row_.Service_ == C_.Request_.Route_
               : U.Loaded_.count({C_.Request_.Model_, std::string(Version_)}) >
                     0;
  }

  int operator()(RoundRobinPolicy &Policy) const {
    for (std::size_t I = 0; I < P_.Members_.size(); ++I) {
      const int Index = P_.Members_[Policy.Next_++ % P_.Members_.size()];
      if (hasRoom(S_, S_.Upstreams_[Index], C_, Index))
        return Index;
    }
    return -1;
  }

  int operator()(LeastInFlightPolicy &) const {
    int Best = -1;
    for (const int Index : P_.Members_)
      if (hasRoom(S_, S_.Upstreams_[Index], C_, Index) &&
          (Best < 0 ||
           S_.Upstreams_[Index].InFlight_ < S_.Upstreams_[Best].InFlight_))
        Best = Index;
    return Best;
  }

  int operator()(TwoChoicesPolicy &) const {
    Candidates Two(S_, C_);
    for (int I = 0; I < 2; ++I)
      Two.add(P_.Members_[nextRandom(S_) % P_.Members_.size()]);
    const int Best = bestOf(Two.all(), [&](int A, int B) {
      return S_.Upstreams_[A].InFlight_ < S_.Upstreams_[B].InFlight_;
    });
    return Best >= 0 ? Best : anyWithRoom(S_, C_, P_);
  }

  int operator()(PrefixHashPolicy &) const {
    Candidates One(S_, C_);
    if (!C_.Blocks_.empty())
      addByRing(P_, C_.Blocks_.front(), 1, One);
    return One.all().empty() ? anyWithRoom(S_, C_, P_) : One.all()[0];
  }
};

} // namespace

std::vector<std::uint64_t> prefixBlocks(std::string_view Prompt) {
  std::vector<std::uint64_t> Blocks;
  const std::size_t Count = std::min(Prompt.size() / BlockBytes, MaxBlocks);
  std::uint64_t Hash = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    const std::string_view Block = Prompt.substr(I * BlockBytes, BlockBytes);
    Hash = XXH3_64bits_withSeed(Block.data(), Block.size(), Hash);
    Blocks.push_back(Hash);
  }
  return Blocks;
}

std::vector<std::uint64_t> partBlocks(std::span<const PromptPart> Parts) {
  std::vector<std::uint64_t> Blocks;
  std::uint64_t Hash = 0;
  for (const PromptPart &Part : Parts) {
    Hash = XXH3_64bits_withSeed(Part.Id_.data(), Part.Id_.size(), Hash);
    Blocks.push_back(Hash);
  }
  return Blocks;
}

double expectedPrefill(const State &S, const Call &C, int Index) {
  if (C.BlockTokens_.empty())
    return 0;
  const std::size_t Cached = cachedBlocks(S, C, Index);
  const std::int64_t Known = Cached == 0 ? 0 : C.BlockTokens_[Cached - 1];
  const std::int64_t Whole = C.BlockTokens_.back();
  return static_cast<double>(std::max<std::int64_t>(0, Whole - Known)) /
         PrefillTokensPerMs;
}

double likelyPrefill(const Call &C) {
  const std::size_t Parts = C.BlockTokens_.size();
  if (Parts < 2)
    return static_cast<double>(C.Request_.PromptTokens_) / PrefillTokensPerMs;
  const std::int64_t Own =
      C.BlockTokens_[Parts - 1] - C.BlockTokens_[Parts - 2];
  const auto Shared = static_cast<double>(C.BlockTokens_[Parts - 2]);
  return (static_cast<double>(Own) + Shared * (1 - OwnerCredit)) /
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
    const int Index = std::visit(
        Picker{S, C, Local->second, All->second, Version}, S.Policy_);
    if (Index >= 0)
      return Index;
  }
  return std::visit(Picker{S, C, All->second, All->second, Version}, S.Policy_);
}

bool isServed(State &S, const Call &C, std::string_view Version) {
  if (S.PoolsChanged_)
    rebuildPools(S);
  const auto Found = S.Pools_.find(poolKey(C, Version));
  if (Found == S.Pools_.end())
    return false;
  return std::any_of(
      Found->second.Members_.begin(), Found->second.Members_.end(),
      [&](int Index) { return isUsable(S, S.Upstreams_[Index]); });
}

void rememberPrefix(State &S, std::span<const std::uint64_t> Blocks,
                    int Upstream) {
  for (const std::uint64_t Block : Blocks) {
    auto [Found, New] = S.PrefixHolders_.try_emplace(Block);
    std::vector<int> &Holders = Found->second;
    if (New)
      S.PrefixOrder_.push_back(Block);
    if (std::find(Holders.begin(), Holders.end(), Upstream) != Holders.end())
      continue;
    if (Holders.size() == HoldersPerBlock)
      Holders.erase(Holders.begin());
    Holders.push_back(Upstream);
  }
  while (S.PrefixOrder_.size() > MaxPrefixes) {
    S.PrefixHolders_.erase(S.PrefixOrder_.front());
    S.PrefixOrder_.pop_front();
  }
}

void forgetPrefixes(State &S, int Upstream) {
  for (auto &[Block, Holders] : S.PrefixHolders_)
    std::erase(Holders, Upstream);
}

} // namespace endivewharf
