// Sums replace each other, so a lost message costs nothing but its age.
#include "sums.h"

#include "membership.h"
#include "quota.h"
#include "rollout.h"
#include "usage.h"

#include <algorithm>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr Millis SumsPeriod = 250;      // ms between two messages
constexpr Millis LargeSumsPeriod = 500; // ms, in a large group
constexpr std::size_t LargeGroup = 8;   // processes
constexpr Millis OldLoads = 2000;       // ms; older ones say nothing
constexpr Millis FreshHosts = 1100;     // ms; an older list confirms no other
constexpr std::int64_t UsageWindowsTold = 4;

std::uint32_t upstreamHash(const Upstream &U) {
  const std::string &Name = U.Row_.Host_.Name_;
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(
      Name.data(), Name.size(), U.Row_.Host_.Incarnation_));
}

/// Hash of the host list as it was read last; equal for equal lists.
std::uint64_t hostsHash(const State &S) {
  std::uint64_t Sum = 1;
  for (const Upstream &U : S.Upstreams_)
    if (U.InList_)
      Sum += XXH3_64bits_withSeed(
          U.Row_.Host_.Name_.data(), U.Row_.Host_.Name_.size(),
          U.Row_.Host_.Incarnation_ * 2 + (U.Row_.Leaving_ ? 1 : 0));
  return Sum;
}

SumsMessage makeSums(const State &S) {
  SumsMessage M;
  for (const Upstream &U : S.Upstreams_)
    if (U.InFlight_ > 0)
      M.Loads_.push_back(
          {upstreamHash(U), U.InFlight_, static_cast<int>(U.PrefillMs_)});
  for (const auto &[Name, Q] : S.Quotas_.Accounts_)
    M.Demands_.push_back({Name, Q.Demand_, Q.Admitted_});
  const std::int64_t Window = usageWindow(S);
  for (const auto &[Number, Counts] : S.Usage_.Own_)
    if (Number > Window - UsageWindowsTold)
      for (const auto &[Account, Count] : Counts)
        M.Usage_.push_back({Number, Account, Count});
  for (const auto &[Service, W] : S.Fleet_.Work_)
    M.Work_.push_back({Service, std::max(W.Fast_, W.Slow_)});
  for (const auto &[Service, Move] : S.Release_.Moves_)
    M.Moves_.push_back(Move.Row_);
  M.ConfigVersion_ = S.Config_.Version_;
  const bool Knows =
      S.HostsKnownAt_ >= 0 && S.Now_ - S.HostsKnownAt_ < FreshHosts;
  if (followsStore(S) && Knows) {
    M.HostsHash_ = hostsHash(S);
    M.HostsVersion_ = S.HostsVersion_;
  }
  M.UnixMs_ = trueUnixMs(S);
  return M;
}

/// Adds up what the others have under way at each upstream.
void addOthersLoads(State &S) {
  std::unordered_map<std::uint32_t, LoadRow> Sums;
  for (const auto &[Name, M] : S.Membership_.Members_) {
    if (M.SumsAt_ < 0 || S.Now_ - M.SumsAt_ > OldLoads)
      continue;
    for (const LoadRow &Row : M.Sums_.Loads_) {
      LoadRow &Sum = Sums[Row.Upstream_];
      Sum.InFlight_ += Row.InFlight_;
      Sum.PrefillMs_ += Row.PrefillMs_;
    }
  }
  for (Upstream &U : S.Upstreams_) {
    const auto Found = Sums.find(upstreamHash(U));
    U.OthersLoad_ = Found == Sums.end() ? 0 : Found->second.InFlight_;
    U.OthersPrefillMs_ = Found == Sums.end() ? 0 : Found->second.PrefillMs_;
  }
}

/// A follower's list that is no newer confirms ours; a newer one that is not
/// the same shows that ours is to be read again.
void noteHosts(State &S, const SumsMessage &M) {
  // What is told by then was read after our own reads began to fail.
  const Millis Since = S.HostsFailingSince_;
  if (Since != 0 && S.Now_ > Since + FreshHosts && S.HostsToldSince_ == 0)
    S.HostsToldSince_ = S.Now_;
  if (M.HostsVersion_ > S.HostsVersion_) {
    if (M.HostsHash_ != hostsHash(S)) {
      S.HostsDiffer_ = true;
      return;
    }
    S.HostsVersion_ = M.HostsVersion_;
  }
  S.HostsConfirmedAt_ = S.Now_;
}

} // namespace

void onSums(State &S, const Life &From, const SumsMessage &M, Effects &Out) {
  const auto Found = S.Membership_.Members_.find(From.Name_);
  if (Found == S.Membership_.Members_.end())
    return; // its digest will come first
  noteAdmitted(S, Found->second, M, From.Incarnation_);
  Found->second.SumsLife_ = From.Incarnation_;
  Found->second.Sums_ = M;
  Found->second.SumsAt_ = S.Now_;
  noteUsage(S, From, M.Usage_);
  noteClock(S, From.Name_, M.UnixMs_);
  adoptRollouts(S, M.Moves_, Out);
  if (M.ConfigVersion_ > S.Config_.Version_)
    Out.push_back(SendToPeer{From.Name_, ControlRequestMessage{}});
  if (M.HostsHash_ != 0)
    noteHosts(S, M);
  addOthersLoads(S);
}

void tickSums(State &S, Effects &Out) {
  const Millis Period =
      S.Membership_.Members_.size() > LargeGroup ? LargeSumsPeriod : SumsPeriod;
  if (S.Now_ - S.Usage_.SumsSentAt_ < Period)
    return;
  S.Usage_.SumsSentAt_ = S.Now_;
  const SumsMessage Sums = makeSums(S);
  for (const auto &[Name, M] : S.Membership_.Members_)
    if (M.Alive_)
      Out.push_back(SendToPeer{Name, Sums});
  addOthersLoads(S);
}

} // namespace endivewharf
