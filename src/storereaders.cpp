// Versions grow with every change, so whatever way a word comes, the larger
// version is the newer one; ages add up on the way.
#include "storereaders.h"

#include "aggregators.h"
#include "diagnostics.h"
#include "membership.h"
#include "upstreams.h"

#include <algorithm>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr Millis MaxHostListAge = 1100; // ms; an older list confirms no other
constexpr Millis LargeClusterMaxHostListAge =
    2500;                                   // ms; lists are read less often
constexpr Millis MaxOperatorReadAge = 3000; // ms; then this process asks itself
constexpr Millis HostListUpdateTimeout =
    1500; // ms for peers to send a newer list
constexpr Millis HostListRequestInterval =
    300; // ms between two requests for a list
constexpr Millis StoreReaderRemovalTimeout = 10000; // ms without a word
constexpr std::size_t MaxStoreReaderRows = 4; // followers, and one to spare

StoreReaderRow ownStoreReaderRow(const State &S) {
  StoreReaderRow Row;
  Row.Name_ = S.Self_.Name_;
  Row.HostsHash_ = hostsHash(S);
  Row.HostsVersion_ = S.HostsVersion_;
  Row.HostsAge_ = S.Now_ - S.HostsCompleteAt_;
  Row.HostsReadAt_ = S.HostsCompleteAt_;
  Row.ConfigVersion_ = S.Config_.Version_;
  Row.ConfigAge_ =
      S.OperatorLog_.LastReadAt_ < 0 ? -1 : S.Now_ - S.OperatorLog_.LastReadAt_;
  return Row;
}

/// A follower's list that is no newer confirms ours; a newer one that is not
/// the same shows that ours is to be got again.
void mergeHostListState(State &S, const StoreReaderRow &Row) {
  // What is told by then was read after our own reads began to fail.
  const Millis Since = S.HostsFailingSince_;
  if (Since != 0 && S.Now_ > Since + MaxHostListAge &&
      S.PeersReadHostsSince_ == 0)
    S.PeersReadHostsSince_ = S.Now_;
  if (Row.HostsVersion_ > S.HostsVersion_) {
    if (Row.HostsHash_ != hostsHash(S)) {
      if (S.HostsBehindSince_ == 0)
        S.HostsBehindSince_ = S.Now_;
      // In a large group a peer sends it; the store is asked if none does.
      if (!isLargeCluster(S) ||
          S.Now_ - S.HostsBehindSince_ > HostListUpdateTimeout)
        S.HostsOutdated_ = true;
      return;
    }
    S.HostsVersion_ = Row.HostsVersion_;
  }
  S.HostsBehindSince_ = 0;
  S.HostsConfirmedAt_ = std::max(S.HostsConfirmedAt_, S.Now_ - Row.HostsAge_);
}

void mergeStoreReaderRow(State &S, const StoreReaderRow &Row) {
  if (Row.Name_ == S.Self_.Name_ || Row.HostsHash_ == 0)
    return;
  StoreReaderState &Known = S.Membership_.StoreReaders_[Row.Name_];
  const Millis HeardAt = S.Now_ - Row.HostsAge_;
  // An old word that comes round again must not grow younger by the way.
  const bool Stale =
      S.Now_ - Known.LocalReadAt_ > LargeClusterStoreReaderTimeout;
  if (Row.HostsReadAt_ <= Known.Row_.HostsReadAt_ && !Stale)
    return;
  Known.Row_ = Row;
  Known.LocalReadAt_ = HeardAt;
  mergeHostListState(S, Row);
  if (Row.ConfigAge_ < 0 || Row.ConfigVersion_ > S.Config_.Version_)
    return;
  const Millis ReadAt = S.Now_ - Row.ConfigAge_;
  S.OperatorLog_.LastReadAt_ = std::max(S.OperatorLog_.LastReadAt_, ReadAt);
  S.OperatorLog_.StoreReaderReadAt_ =
      std::max(S.OperatorLog_.StoreReaderReadAt_, ReadAt);
}

/// A peer that uses a newer list than ours is asked for it.
void requestNewerHostList(State &S, const InstanceId &From,
                          const SummaryMessage &M, Effects &Out) {
  if (M.UsedHostsVersion_ <= S.HostsVersion_ || !isLargeCluster(S))
    return;
  if (M.UsedHostsHash_ == hostsHash(S)) {
    S.HostsVersion_ = M.UsedHostsVersion_;
    return;
  }
  if (S.Now_ - S.HostsRequestedAt_ < HostListRequestInterval)
    return;
  S.HostsRequestedAt_ = S.Now_;
  Out.push_back(SendToPeer{From.Name_, HostsRequestMessage{}});
}

} // namespace

std::uint64_t hostsHash(const State &S) {
  std::uint64_t Sum = 1;
  for (const Upstream &U : S.Upstreams_)
    if (U.InLatestList_)
      Sum += XXH3_64bits_withSeed(
          U.Row_.Host_.Name_.data(), U.Row_.Host_.Name_.size(),
          U.Row_.Host_.Incarnation_ * 2 + (U.Row_.Leaving_ ? 1 : 0));
  return Sum;
}

void writeStoreState(const State &S, SummaryMessage &To) {
  if (S.HostsVersion_ != 0) {
    To.UsedHostsHash_ = hostsHash(S);
    To.UsedHostsVersion_ = S.HostsVersion_;
  }
  const Millis Fresh =
      isLargeCluster(S) ? LargeClusterMaxHostListAge : MaxHostListAge;
  const bool Knows = S.HostsCompleteAt_ >= 0 && S.HostsFailingSince_ == 0 &&
                     S.Now_ - S.HostsCompleteAt_ < Fresh;
  if (isStoreReader(S) && Knows) {
    To.StoreReaders_.push_back(ownStoreReaderRow(S));
    To.HostsHash_ = To.StoreReaders_.front().HostsHash_;
    To.HostsVersion_ = S.HostsVersion_;
  }
  if (!isLargeCluster(S))
    return;
  std::vector<const StoreReaderState *> First;
  for (const auto &[Name, F] : S.Membership_.StoreReaders_)
    if (S.Now_ - F.LocalReadAt_ < LargeClusterStoreReaderTimeout)
      First.push_back(&F);
  std::sort(First.begin(), First.end(), [](const auto *A, const auto *B) {
    return storeReaderRank(A->Row_.Name_) < storeReaderRank(B->Row_.Name_);
  });
  First.resize(std::min(First.size(), MaxStoreReaderRows));
  for (const StoreReaderState *F : First) {
    StoreReaderRow Row = F->Row_;
    const Millis Passed = S.Now_ - F->LocalReadAt_ - Row.HostsAge_;
    Row.HostsAge_ += Passed;
    if (Row.ConfigAge_ >= 0)
      Row.ConfigAge_ += Passed;
    To.StoreReaders_.push_back(std::move(Row));
  }
}

void mergeStoreState(State &S, const InstanceId &From, const SummaryMessage &M,
                     Effects &Out) {
  auto &Followers = S.Membership_.StoreReaders_;
  if (M.HostsHash_ == 0)
    Followers.erase(From.Name_);
  bool Told = false;
  for (const StoreReaderRow &Row : M.StoreReaders_) {
    Told = Told || Row.Name_ == From.Name_;
    mergeStoreReaderRow(S, Row);
  }
  if (M.HostsHash_ != 0 && !Told) {
    StoreReaderRow Row;
    Row.Name_ = From.Name_;
    Row.HostsHash_ = M.HostsHash_;
    Row.HostsVersion_ = M.HostsVersion_;
    Row.HostsReadAt_ = S.Now_;
    Row.ConfigAge_ = -1;
    mergeStoreReaderRow(S, Row);
  }
  std::erase_if(Followers, [&](const auto &Entry) {
    return S.Now_ - Entry.second.LocalReadAt_ > StoreReaderRemovalTimeout;
  });
  requestNewerHostList(S, From, M, Out);
}

bool hasRecentOperatorRead(const State &S) {
  return S.OperatorLog_.StoreReaderReadAt_ >= 0 &&
         S.Now_ - S.OperatorLog_.StoreReaderReadAt_ < MaxOperatorReadAge;
}

HostsMessage hostsMessage(const State &S) {
  HostsMessage M;
  M.Version_ = S.HostsVersion_;
  for (const Upstream &U : S.Upstreams_)
    if (U.InLatestList_)
      M.Hosts_.push_back(U.Row_);
  M.RecoveredFor_ =
      S.HostsRecoveredAt_ == 0 ? -1 : S.Now_ - S.HostsRecoveredAt_;
  return M;
}

void onHostsMessage(State &S, const HostsMessage &M, Effects &Out) {
  if (M.Version_ <= S.HostsVersion_)
    return;
  if (M.RecoveredFor_ >= 0)
    S.HostsRecoveredAt_ =
        std::max(S.HostsRecoveredAt_, S.Now_ - M.RecoveredFor_);
  adoptHostList(S, M.Hosts_, M.Version_, Out);
  S.HostsConfirmedAt_ = S.Now_;
  logEvent(Out, "host_list_told",
           {{"version", std::to_string(M.Version_)},
            {"hosts", std::to_string(M.Hosts_.size())}});
}

} // namespace endivewharf
