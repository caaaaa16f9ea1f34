// Keeps the pools of upstreams and implements the routing policies.
#include "router.h"

#include "admission.h"
#include "membership.h"
#include "requestlimits.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr std::size_t PrefixBlockBytes = 256;
// Longer prompts are compared by this number of leading blocks only.
constexpr std::size_t MaxPrefixBlocks = 128;
constexpr std::size_t MaxHoldersPerPrefix = 4;    // upstreams
constexpr std::size_t MaxTrackedPrefixes = 20000; // about 2 MiB
constexpr int RingPointsPerUpstream = 8;          // points on the hash ring
constexpr std::size_t AffinityCandidates = 2;     // upstreams
constexpr std::size_t RandomCandidates = 2;       // upstreams
constexpr double TokensPerPrefixBlock = 64;       // estimate for a text
// Fraction of a prefix's blocks that its owner is expected to have cached.
constexpr double OwnerCachedFraction = 0.7;
// Fraction of an upstream's slots that batch requests may occupy.
constexpr double BatchSlotFraction = 0.75;
// Latency in ms that a price difference of one unit per hour is worth.
constexpr double MsPerPriceUnit = 20;
constexpr double RemoteDataCentreMs = 15; // ms added for another data centre
// Fraction of a call's latency objective that the prompts ahead of it may take.
constexpr double MaxPrefillBacklogFraction = 0.6;
// Weight of a prefill's typical time in the cost, besides the time itself:
// other requests wait for it.
constexpr double PrefillOthersWeight = 2;
// Slowdown of an engine with all slots in use, as a fraction of attempt time.
constexpr double FullLoadSlowdown = 0.1;
// Requests that may wait at a plain service's host for each of its slots.
constexpr double MaxWaitingPerSlot = 1.0;

/// Key of the pool of upstreams that serve a call.
/// @param Version as for pickUpstream()
std::string poolKey(const Call &C, std::string_view Version) {
  if (C.Request_.Kind_ == CallKind::Routed)
    return Version.empty() ? fmt::format("s|{}", C.ServiceQueue_)
                           : fmt::format("s|{}|{}", C.ServiceQueue_, Version);
  if (C.Request_.Kind_ == CallKind::Service)
    return fmt::format("s|{}", C.Request_.Route_);
  return fmt::format("m|{}|{}", C.Request_.Model_, Version);
}

/// Adds an upstream and its hash ring points to a pool. The ring is unsorted
/// until rebuildPools() has added all upstreams.
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

/// Adds the keys of the pools that a service's host belongs to: that of the
/// service and, while the service has a rollout, that of the hosts with the old
/// or with the new version.
void addServicePoolKeys(const State &S, const Upstream &U,
                        std::vector<std::string> &Keys) {
  Keys.push_back(fmt::format("s|{}", U.Row_.Service_));
  const auto Found = S.Release_.Rollouts_.find(U.Row_.Service_);
  if (Found == S.Release_.Rollouts_.end())
    return;
  const bool IsNew = U.Row_.Version_ == Found->second.Row_.ToVersion_;
  Keys.push_back(fmt::format("s|{}|{}", U.Row_.Service_,
                             IsNew ? NewVersionPool : OldVersionPool));
}

/// Rebuilds the pools from all upstreams that are listed and not leaving. Each
/// pool exists once for all data centres and once per data centre.
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

std::uint32_t upstreamHash(const Upstream &U) {
  return instanceHash(U.Row_.Host_);
}

/// Requests of a plain service that may wait at a host: fewer where they would
/// wait longer.
double maxWaiting(const State &S, const Upstream &U) {
  return U.Slots_ * MaxWaitingPerSlot /
         std::max(1.0, slowness(S.Speeds_, upstreamHash(U)));
}

/// Checks the room for a routed call. A call with a prompt needs a prefill
/// backlog that fits its latency objective, so that its first event is in time,
/// and a free slot. A call of a plain service, which has no prompts, may also
/// wait for a slot.
bool hasRoomForRoutedCall(const State &S, const Upstream &U, const Call &C) {
  const bool HasPrompt = !C.PrefixHashes_.empty();
  if (HasPrompt && prefillBacklogMs(U) > maxBacklogMs(C))
    return false;
  const int MaxLoad =
      U.Slots_ + static_cast<int>(HasPrompt ? 0 : maxWaiting(S, U));
  return U.Slots_ == 0 || estimatedLoad(U) < std::max(1, MaxLoad);
}

/// @return true if the call's homes allow the upstream
bool isAtHome(const State &S, const Upstream &U, const Call &C) {
  return mayBeSentTo(C.Homes_, S.Settings_.Regions_, U.Row_.DataCentre_);
}

/// Checks the room for a call at an upstream, by the upstream's state, this
/// process's concurrency limit and the upstreams that the call has tried.
bool hasRoom(const State &S, const Upstream &U, const Call &C, int Index) {
  const bool IsBatch = C.Request_.Priority_ == Priority::Batch;
  if (!isUsable(S, U) || !isAtHome(S, U, C) ||
      !mayRequest(S, U, Index, IsBatch) ||
      U.InFlight_ >= static_cast<int>(U.ConcurrencyLimit_) ||
      C.TriedUpstreams_.count(Index) > 0)
    return false;
  if (C.Request_.Kind_ == CallKind::Routed)
    return hasRoomForRoutedCall(S, U, C);
  if (C.Request_.Priority_ == Priority::Interactive || U.Slots_ == 0 ||
      isBatchDue(S, C.ServiceQueue_))
    return true;
  // Batch requests leave some slots free for interactive ones, because a
  // running stream is not preempted. The load of other processes is known with
  // a delay, so each process also keeps to an equal part of the batch slots.
  const double BatchSlots = BatchSlotFraction * U.Slots_;
  const double ClusterSize =
      static_cast<double>(S.Membership_.Peers_.size() + 1);
  return estimatedLoad(U) < std::max(1.0, BatchSlots) &&
         U.BatchInFlight_ < std::max(1.0, std::floor(BatchSlots / ClusterSize));
}

/// Number of a prompt's leading blocks that an upstream is expected to have
/// cached.
std::size_t cachedBlockCount(const State &S, const Call &C, int Index) {
  for (std::size_t I = C.PrefixHashes_.size(); I > 0; --I) {
    const auto Found = S.PrefixHolders_.find(C.PrefixHashes_[I - 1]);
    if (Found != S.PrefixHolders_.end() &&
        std::count(Found->second.begin(), Found->second.end(), Index) > 0)
      return I;
  }
  return 0;
}

/// Requests that an upstream runs at once; this process's limit if unknown.
int slotsOf(const Upstream &U) {
  return U.Slots_ > 0 ? U.Slots_ : static_cast<int>(U.ConcurrencyLimit_);
}

/// Tokens that the owner of a prompt's prefix is expected to have to read: most
/// of those before the last part are expected to be cached there by earlier
/// calls.
double sharedPrefixTokens(const Call &C) {
  const std::size_t Parts = C.PrefixTokens_.size();
  if (Parts < 2)
    return static_cast<double>(C.Request_.PromptTokens_);
  const auto OwnTokens = static_cast<double>(C.PrefixTokens_[Parts - 1] -
                                             C.PrefixTokens_[Parts - 2]);
  const auto SharedTokens = static_cast<double>(C.PrefixTokens_[Parts - 2]);
  return OwnTokens + SharedTokens * (1 - OwnerCachedFraction);
}

/// Hash that determines the owner of a call's prompt: for a prompt in parts
/// that of the longest prefix without the last part, which other calls may
/// share; otherwise that of the first block. The call must have a prefix hash.
std::uint64_t ownerHash(const Call &C) {
  if (C.Request_.Kind_ == CallKind::Routed && C.PrefixHashes_.size() >= 2)
    return C.PrefixHashes_[C.PrefixHashes_.size() - 2];
  return C.PrefixHashes_.front();
}

/// Time in ms that a call waits for a slot of an upstream.
/// @param TurnMs time after which each slot is free again
double slotWaitMs(const Upstream &U, double TurnMs) {
  return std::max(0, estimatedLoad(U) + 1 - slotsOf(U)) * TurnMs / slotsOf(U);
}

double remoteMs(const State &S, const Upstream &U) {
  return U.Row_.DataCentre_ == S.Settings_.DataCentre_ ? 0 : RemoteDataCentreMs;
}

/// Cost of placing a routed call with a prompt: the expected time until its
/// first event.
/// @param Owner as for routingCostMs()
double promptCostMs(const State &S, const Call &C, int Index, int Owner) {
  const Upstream &U = S.Upstreams_[Index];
  const std::uint32_t Hash = upstreamHash(U);
  double Tokens = expectedUncachedTokens(S, C, Index);
  if (Index == Owner)
    Tokens = std::min(Tokens, sharedPrefixTokens(C));
  const double LoadMs =
      estimatedLoad(U) * U.AttemptMs_ * FullLoadSlowdown / slotsOf(U);
  // What others lose by the prompt is the same wherever it is read.
  const double OthersMs =
      typicalPromptMs(S.Speeds_, C.ServiceQueue_, Tokens) * PrefillOthersWeight;
  return OthersMs + promptMs(S.Speeds_, C.ServiceQueue_, Hash, Tokens) +
         baseMs(S.Speeds_, TimeKind::FirstEvent, C.ServiceQueue_, Hash) +
         prefillBacklogMs(U) + slotWaitMs(U, U.AttemptMs_) + LoadMs +
         remoteMs(S, U);
}

/// Cost of placing a routed call of a plain service: the expected time until
/// its answer.
double answerCostMs(const State &S, const Call &C, int Index) {
  const Upstream &U = S.Upstreams_[Index];
  const double AnswerMs =
      baseMs(S.Speeds_, TimeKind::Answer, C.ServiceQueue_, upstreamHash(U));
  const double LoadMs =
      estimatedLoad(U) * AnswerMs * FullLoadSlowdown / slotsOf(U);
  return AnswerMs + slotWaitMs(U, AnswerMs) + LoadMs + remoteMs(S, U);
}

/// Cost of placing a call of our own interface: the expected first-token time
/// in ms plus the latency that the host's price is worth.
/// @param Owner as for routingCostMs()
double completionCostMs(const State &S, const Call &C, int Index, int Owner) {
  const Upstream &U = S.Upstreams_[Index];
  const auto Blocks = static_cast<double>(C.PrefixHashes_.size());
  double Cached = static_cast<double>(cachedBlockCount(S, C, Index));
  if (Index == Owner)
    Cached = std::max(Cached, OwnerCachedFraction * Blocks);
  return promptMs(S.Speeds_, "", upstreamHash(U),
                  (Blocks - Cached) * TokensPerPrefixBlock) +
         slotWaitMs(U, U.AttemptMs_) +
         loadDelayMs(S.Speeds_, upstreamHash(U), estimatedLoad(U)) +
         U.Row_.Price_ * MsPerPriceUnit + remoteMs(S, U);
}

/// Cost of placing a call at an upstream, in ms.
/// @param Owner index of the upstream that all processes choose for a new
///              prefix, or -1; other processes may have filled its cache
double routingCostMs(const State &S, const Call &C, int Index, int Owner) {
  if (C.Request_.Kind_ != CallKind::Routed)
    return completionCostMs(S, C, Index, Owner);
  return C.EventStream_ ? promptCostMs(S, C, Index, Owner)
                        : answerCostMs(S, C, Index);
}

/// Up to 16 distinct upstreams with room for a call.
class Candidates {
public:
  Candidates(const State &S, const Call &C) : S_(S), C_(C) {}

  /// Adds an upstream if it has room for the call and is not in the list yet.
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

/// Adds the upstreams that are recorded for the longest known prefix of the
/// prompt.
/// @param Serves predicate: the upstream serves what the call needs
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

/// Adds upstreams in the order of the hash ring from a hash on.
/// @param Wanted number of upstreams to add; fewer are added if the 16 points
///               that are looked at have fewer with room
void addFromRing(const Pool &P, std::uint64_t Hash, std::size_t Wanted,
                 Candidates &Out) {
  const auto Start = std::lower_bound(P.HashRing_.begin(), P.HashRing_.end(),
                                      std::pair(Hash, 0));
  const std::size_t First =
      static_cast<std::size_t>(Start - P.HashRing_.begin()) %
      P.HashRing_.size();
  const std::size_t CountBefore = Out.all().size();
  const std::size_t Steps = std::min<std::size_t>(P.HashRing_.size(), 16);
  for (std::size_t I = 0; I < Steps && Out.all().size() < CountBefore + Wanted;
       ++I)
    Out.add(P.HashRing_[(First + I) % P.HashRing_.size()].second);
}

/// Scans a whole pool from a random start. It is the fallback for a nearly full
/// pool, used only when all candidates are full.
/// @return index of the first upstream with room, or -1
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

/// @param Version version pool, or empty for hosts with any version
/// @return true if the upstream serves the call's service in that version
bool servesRoutedCall(const State &S, const Upstream &U, const Call &C,
                      std::string_view Version) {
  if (U.Row_.Service_ != C.ServiceQueue_ || Version.empty())
    return U.Row_.Service_ == C.ServiceQueue_;
  const auto Found = S.Release_.Rollouts_.find(C.ServiceQueue_);
  const bool IsNew = Found != S.Release_.Rollouts_.end() &&
                     U.Row_.Version_ == Found->second.Row_.ToVersion_;
  return IsNew == (Version == NewVersionPool);
}

/// @return the least of the indices by a comparison, or -1 if there are none
template <typename Less>
int minCandidate(std::span<const int> Indices, Less IsLess) {
  if (Indices.empty())
    return -1;
  return *std::min_element(Indices.begin(), Indices.end(), IsLess);
}

/// Visitor that picks an upstream of a pool by the routing policy. Each
/// operator returns the index of an upstream with room, or -1.
struct UpstreamPicker {
  State &S_;
  const Call &C_;
  const Pool &Pool_;
  const Pool &GlobalPool_; ///< The same pool for all data centres.
  std::string_view Version_;

  int operator()(CostPolicy &) const {
    Candidates Choices(S_, C_);
    int Owner = -1;
    if (!C_.PrefixHashes_.empty()) {
      // A prefix has one owner for all data centres, because processing it
      // again costs more than the network latency to another data centre.
      addFromRing(GlobalPool_, ownerHash(C_), 1, Choices);
      Owner = Choices.all().empty() ? -1 : Choices.all()[0];
      addPrefixHolders(
          S_, C_, [&](const Upstream &U) { return servesCall(U); }, Choices);
    }
    addFromRing(Pool_,
                C_.PrefixHashes_.empty() ? nextRandom(S_) : ownerHash(C_),
                AffinityCandidates, Choices);
    for (std::size_t I = 0; I < RandomCandidates; ++I)
      Choices.add(Pool_.UpstreamIndices_[nextRandom(S_) %
                                         Pool_.UpstreamIndices_.size()]);
    const int Best = minCandidate(Choices.all(), [&](int A, int B) {
      return routingCostMs(S_, C_, A, Owner) < routingCostMs(S_, C_, B, Owner);
    });
    return Best >= 0 ? Best : firstWithRoom(S_, C_, Pool_);
  }

  /// @return true if the upstream serves the model version or service of the
  ///         call
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
    Candidates Choices(S_, C_);
    for (int I = 0; I < 2; ++I)
      Choices.add(Pool_.UpstreamIndices_[nextRandom(S_) %
                                         Pool_.UpstreamIndices_.size()]);
    const int Best = minCandidate(Choices.all(), [&](int A, int B) {
      return S_.Upstreams_[A].InFlight_ < S_.Upstreams_[B].InFlight_;
    });
    return Best >= 0 ? Best : firstWithRoom(S_, C_, Pool_);
  }

  int operator()(PrefixHashPolicy &) const {
    Candidates Choices(S_, C_);
    if (!C_.PrefixHashes_.empty())
      addFromRing(Pool_, C_.PrefixHashes_.front(), 1, Choices);
    return Choices.all().empty() ? firstWithRoom(S_, C_, Pool_)
                                 : Choices.all()[0];
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

double maxBacklogMs(const Call &C) {
  return static_cast<double>(C.LatencyObjective_) * MaxPrefillBacklogFraction;
}

double prefillBacklogMs(const Upstream &U) {
  return U.PrefillMs_ + U.OthersPrefillMs_;
}

int estimatedLoad(const Upstream &U) {
  return U.InFlight_ + static_cast<int>(std::lround(U.OthersLoad_));
}

double expectedUncachedTokens(const State &S, const Call &C, int Index) {
  if (C.PrefixTokens_.empty())
    return 0;
  const std::size_t CachedBlocks = cachedBlockCount(S, C, Index);
  const std::int64_t CachedTokens =
      CachedBlocks == 0 ? 0 : C.PrefixTokens_[CachedBlocks - 1];
  return static_cast<double>(
      std::max<std::int64_t>(0, C.PrefixTokens_.back() - CachedTokens));
}

double expectedPrefillMs(const State &S, const Call &C, int Index) {
  return promptMs(S.Speeds_, C.ServiceQueue_, upstreamHash(S.Upstreams_[Index]),
                  expectedUncachedTokens(S, C, Index));
}

double plannedPrefillMs(const State &S, const Call &C) {
  static const SpeedState Unmeasured;
  const double Tokens = sharedPrefixTokens(C);
  return std::min(typicalPromptMs(S.Speeds_, C.ServiceQueue_, Tokens),
                  typicalPromptMs(Unmeasured, C.ServiceQueue_, Tokens));
}

double sharedPrefixPrefillMs(const State &S, const Call &C) {
  return typicalPromptMs(S.Speeds_, C.ServiceQueue_, sharedPrefixTokens(C));
}

bool isUsable(const State &S, const Upstream &U) {
  return !U.Leaving_ && U.Listed_ &&
         !isEvacuated(S.Evacuations_, U.Row_.DataCentre_) &&
         S.Now_ >= U.AvoidUntil_ && S.Now_ >= U.PausedUntil_ &&
         isWithinNamedLimit(S, U, false);
}

int pickUpstream(State &S, const Call &C, std::string_view Version) {
  if (S.PoolsChanged_)
    rebuildPools(S);
  if (C.Request_.Kind_ == CallKind::Routed)
    for (const int Index : S.LimitedUpstreams_) {
      const Upstream &U = S.Upstreams_[Index];
      if (isRequestDue(S, U) && servesRoutedCall(S, U, C, Version) &&
          hasRoom(S, U, C, Index))
        return Index;
    }
  const std::string Key = poolKey(C, Version);
  const auto Global = S.Pools_.find(Key);
  if (Global == S.Pools_.end())
    return -1;
  const auto Local =
      S.Pools_.find(fmt::format("{}@{}", Key, S.Settings_.DataCentre_));
  if (Local != S.Pools_.end()) {
    const int Index =
        std::visit(UpstreamPicker{S, C, Local->second, Global->second, Version},
                   S.RoutePolicy_);
    if (Index >= 0)
      return Index;
  }
  return std::visit(
      UpstreamPicker{S, C, Global->second, Global->second, Version},
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
                       const Upstream &U = S.Upstreams_[Index];
                       return isUsable(S, U) && isAtHome(S, U, C);
                     });
}

void recordPrefixHolder(State &S, std::span<const std::uint64_t> Blocks,
                        int Index) {
  for (const std::uint64_t Block : Blocks) {
    auto [Found, New] = S.PrefixHolders_.try_emplace(Block);
    std::vector<int> &Holders = Found->second;
    if (New)
      S.PrefixEvictionOrder_.push_back(Block);
    if (std::find(Holders.begin(), Holders.end(), Index) != Holders.end())
      continue;
    if (Holders.size() == MaxHoldersPerPrefix)
      Holders.erase(Holders.begin());
    Holders.push_back(Index);
  }
  while (S.PrefixEvictionOrder_.size() > MaxTrackedPrefixes) {
    S.PrefixHolders_.erase(S.PrefixEvictionOrder_.front());
    S.PrefixEvictionOrder_.pop_front();
  }
}

void removeHolderFromPrefixes(State &S, int Index) {
  for (auto &[Block, Holders] : S.PrefixHolders_)
    std::erase(Holders, Index);
}

} // namespace endivewharf
