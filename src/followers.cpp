// Versions grow with every change, so whatever way a word comes, the larger
// version is the newer one; ages add up on the way.
#include "followers.h"

#include "collectors.h"
#include "membership.h"
#include "record.h"
#include "upstreams.h"

#include <algorithm>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr Millis FreshHosts = 1100; // ms; an older list confirms no other
constexpr Millis LargeGroupFreshHosts = 2500; // ms; lists are read less often
constexpr Millis FreshOperators = 3000;  // ms; then this process asks itself
constexpr Millis BehindTime = 1500;      // ms for peers to send a newer list
constexpr Millis AskAgain = 300;         // ms between two requests for a list
constexpr Millis ForgetFollower = 10000; // ms without a word
constexpr std::size_t RowsTold = 4;      // followers, and one to spare

FollowerRow ownRow(const State &S) {
  FollowerRow Row;
  Row.Name_ = S.Self_.Name_;
  Row.HostsHash_ = hostsHash(S);
  Row.HostsVersion_ = S.HostsVersion_;
  Row.HostsAge_ = S.Now_ - S.HostsKnownAt_;
  Row.HostsReadAt_ = S.HostsKnownAt_;
  Row.ConfigVersion_ = S.Config_.Version_;
  Row.ConfigAge_ =
      S.Operator_.FreshAt_ < 0 ? -1 : S.Now_ - S.Operator_.FreshAt_;
  return Row;
}

/// A follower's list that is no newer confirms ours; a newer one that is not
/// the same shows that ours is to be got again.
void noteHosts(State &S, const FollowerRow &Row) {
  // What is told by then was read after our own reads began to fail.
  const Millis Since = S.HostsFailingSince_;
  if (Since != 0 && S.Now_ > Since + FreshHosts && S.HostsToldSince_ == 0)
    S.HostsToldSince_ = S.Now_;
  if (Row.HostsVersion_ > S.HostsVersion_) {
    if (Row.HostsHash_ != hostsHash(S)) {
      if (S.HostsBehindSince_ == 0)
        S.HostsBehindSince_ = S.Now_;
      // In a large group a peer sends it; the store is asked if none does.
      if (!isLargeGroup(S) || S.Now_ - S.HostsBehindSince_ > BehindTime)
        S.HostsDiffer_ = true;
      return;
    }
    S.HostsVersion_ = Row.HostsVersion_;
  }
  S.HostsBehindSince_ = 0;
  S.HostsConfirmedAt_ = std::max(S.HostsConfirmedAt_, S.Now_ - Row.HostsAge_);
}

void noteRow(State &S, const FollowerRow &Row) {
  if (Row.Name_ == S.Self_.Name_ || Row.HostsHash_ == 0)
    return;
  FollowerState &Known = S.Membership_.Followers_[Row.Name_];
  const Millis HeardAt = S.Now_ - Row.HostsAge_;
  // An old word that comes round again must not grow younger by the way.
  const bool Stale = S.Now_ - Known.HeardAt_ > LargeGroupFollowerSilence;
  if (Row.HostsReadAt_ <= Known.Row_.HostsReadAt_ && !Stale)
    return;
  Known.Row_ = Row;
  Known.HeardAt_ = HeardAt;
  noteHosts(S, Row);
  if (Row.ConfigAge_ < 0 || Row.ConfigVersion_ > S.Config_.Version_)
    return;
  const Millis ReadAt = S.Now_ - Row.ConfigAge_;
  S.Operator_.FreshAt_ = std::max(S.Operator_.FreshAt_, ReadAt);
  S.Operator_.ToldAt_ = std::max(S.Operator_.ToldAt_, ReadAt);
}

/// A peer that uses a newer list than ours is asked for it.
void noteList(State &S, const Life &From, const SumsMessage &M, Effects &Out) {
  if (M.ListVersion_ <= S.HostsVersion_ || !isLargeGroup(S))
    return;
  if (M.ListHash_ == hostsHash(S)) {
    S.HostsVersion_ = M.ListVersion_;
    return;
  }
  if (S.Now_ - S.HostsAskedAt_ < AskAgain)
    return;
  S.HostsAskedAt_ = S.Now_;
  Out.push_back(SendToPeer{From.Name_, HostsRequestMessage{}});
}

} // namespace

std::uint64_t hostsHash(const State &S) {
  std::uint64_t Sum = 1;
  for (const Upstream &U : S.Upstreams_)
    if (U.InList_)
      Sum += XXH3_64bits_withSeed(
          U.Row_.Host_.Name_.data(), U.Row_.Host_.Name_.size(),
          U.Row_.Host_.Incarnation_ * 2 + (U.Row_.Leaving_ ? 1 : 0));
  return Sum;
}

void tellFollowing(const State &S, SumsMessage &To) {
  if (S.HostsVersion_ != 0) {
    To.ListHash_ = hostsHash(S);
    To.ListVersion_ = S.HostsVersion_;
  }
  const Millis Fresh = isLargeGroup(S) ? LargeGroupFreshHosts : FreshHosts;
  const bool Knows = S.HostsKnownAt_ >= 0 && S.HostsFailingSince_ == 0 &&
                     S.Now_ - S.HostsKnownAt_ < Fresh;
  if (followsStore(S) && Knows) {
    To.Followers_.push_back(ownRow(S));
    To.HostsHash_ = To.Followers_.front().HostsHash_;
    To.HostsVersion_ = S.HostsVersion_;
  }
  if (!isLargeGroup(S))
    return;
  std::vector<const FollowerState *> First;
  for (const auto &[Name, F] : S.Membership_.Followers_)
    if (S.Now_ - F.HeardAt_ < LargeGroupFollowerSilence)
      First.push_back(&F);
  std::sort(First.begin(), First.end(), [](const auto *A, const auto *B) {
    return followerRank(A->Row_.Name_) < followerRank(B->Row_.Name_);
  });
  First.resize(std::min(First.size(), RowsTold));
  for (const FollowerState *F : First) {
    FollowerRow Row = F->Row_;
    const Millis Passed = S.Now_ - F->HeardAt_ - Row.HostsAge_;
    Row.HostsAge_ += Passed;
    if (Row.ConfigAge_ >= 0)
      Row.ConfigAge_ += Passed;
    To.Followers_.push_back(std::move(Row));
  }
}

void noteFollowing(State &S, const Life &From, const SumsMessage &M,
                   Effects &Out) {
  auto &Followers = S.Membership_.Followers_;
  if (M.HostsHash_ == 0)
    Followers.erase(From.Name_);
  bool Told = false;
  for (const FollowerRow &Row : M.Followers_) {
    Told = Told || Row.Name_ == From.Name_;
    noteRow(S, Row);
  }
  if (M.HostsHash_ != 0 && !Told) {
    FollowerRow Row;
    Row.Name_ = From.Name_;
    Row.HostsHash_ = M.HostsHash_;
    Row.HostsVersion_ = M.HostsVersion_;
    Row.HostsReadAt_ = S.Now_;
    Row.ConfigAge_ = -1;
    noteRow(S, Row);
  }
  std::erase_if(Followers, [&](const auto &Entry) {
    return S.Now_ - Entry.second.HeardAt_ > ForgetFollower;
  });
  noteList(S, From, M, Out);
}

bool hearsOperators(const State &S) {
  return S.Operator_.ToldAt_ >= 0 &&
         S.Now_ - S.Operator_.ToldAt_ < FreshOperators;
}

HostsMessage hostsMessage(const State &S) {
  HostsMessage M;
  M.Version_ = S.HostsVersion_;
  for (const Upstream &U : S.Upstreams_)
    if (U.InList_)
      M.Hosts_.push_back(U.Row_);
  M.BackFor_ = S.HostsBackAt_ == 0 ? -1 : S.Now_ - S.HostsBackAt_;
  return M;
}

void onHostsTold(State &S, const HostsMessage &M, Effects &Out) {
  if (M.Version_ <= S.HostsVersion_)
    return;
  if (M.BackFor_ >= 0)
    S.HostsBackAt_ = std::max(S.HostsBackAt_, S.Now_ - M.BackFor_);
  adoptHosts(S, M.Hosts_, M.Version_, Out);
  S.HostsConfirmedAt_ = S.Now_;
  logEvent(Out, "host_list_told",
           {{"version", std::to_string(M.Version_)},
            {"hosts", std::to_string(M.Hosts_.size())}});
}

} // namespace endivewharf
