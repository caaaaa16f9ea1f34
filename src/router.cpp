// Routing by expected first-token time, prefix affinity and price.
#include "router.h"

#include <algorithm>
#include <array>
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
constexpr double PrefillMsPerBlock = 8; // cost of an uncached block
constexpr double DecodePressureMs = 4;  // cost of one more stream
constexpr double QueueMs = 120;         // cost of one request in a queue
constexpr double PriceMs = 20;          // cost of one price unit an hour
constexpr double RemoteMs = 15;         // cost of another data centre

std::string poolKey(const Call &C, std::string_view Version) {
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
      Keys.push_back(fmt::format("s|{}", U.Row_.Service_));
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

bool hasRoom(const State &S, const Upstream &U, const Call &C, int Index) {
  return isUsable(S, U) && U.InFlight_ < static_cast<int>(U.Limit_) &&
         C.TriedUpstreams_.count(Index) == 0;
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

/// Expected first-token time in ms, plus what the host's price is worth.
double cost(const State &S, const Call &C, int Index) {
  const Upstream &U = S.Upstreams_[Index];
  const std::size_t Uncached = C.Blocks_.size() - cachedBlocks(S, C, Index);
  const double Remote =
      U.Row_.DataCentre_ == S.Settings_.DataCentre_ ? 0 : RemoteMs;
  return U.FirstTokenMs_ + static_cast<double>(Uncached) * PrefillMsPerBlock +
         U.InFlight_ * DecodePressureMs + U.Waiting_ * QueueMs +
         U.Row_.Price_ * PriceMs + Remote;
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

void addHolders(const State &S, const Call &C, const Pool &P, Candidates &Out) {
  for (std::size_t I = C.Blocks_.size(); I > 0; --I) {
    const auto Found = S.PrefixHolders_.find(C.Blocks_[I - 1]);
    if (Found == S.PrefixHolders_.end())
      continue;
    for (const int Index : Found->second)
      if (std::find(P.Members_.begin(), P.Members_.end(), Index) !=
          P.Members_.end())
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

  int operator()(CostPolicy &) const {
    Candidates Few(S_, C_);
    if (!C_.Blocks_.empty()) {
      addHolders(S_, C_, P_, Few);
      addByRing(P_, C_.Blocks_.front(), AffinityCandidates, Few);
    }
    for (std::size_t I = 0; I < RandomCandidates; ++I)
      Few.add(P_.Members_[nextRandom(S_) % P_.Members_.size()]);
    const int Best = bestOf(Few.all(), [&](int A, int B) {
      return cost(S_, C_, A) < cost(S_, C_, B);
    });
    return Best >= 0 ? Best : anyWithRoom(S_, C_, P_);
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

bool isUsable(const State &S, const Upstream &U) {
  return !U.Leaving_ && U.Listed_ && S.Now_ >= U.AvoidUntil_;
}

int pickUpstream(State &S, const Call &C, std::string_view Version) {
  if (S.PoolsChanged_)
    rebuildPools(S);
  const std::string Key = poolKey(C, Version);
  const std::string Local = fmt::format("{}@{}", Key, S.Settings_.DataCentre_);
  for (const std::string &Name : {Local, Key}) {
    const auto Found = S.Pools_.find(Name);
    if (Found == S.Pools_.end())
      continue;
    const int Index = std::visit(Picker{S, C, Found->second}, S.Policy_);
    if (Index >= 0)
      return Index;
  }
  return -1;
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
