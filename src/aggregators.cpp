// Ranks by hash, so that all choose alike without a word; silence moves the
// choice on to the next one.
#include "aggregators.h"

#include "diagnostics.h"
#include "membership.h"

#include <algorithm>
#include <set>
#include <span>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr std::size_t LargeClusterThreshold = 8; // processes
constexpr std::size_t ProcessesPerAggregator =
    12;                                 // so that groups and collectors
                                        // are about equally many at 150
constexpr Millis SummaryTimeout = 2000; // ms; older sums say nothing
constexpr Millis LargeClusterSummaryTimeout = 1000; // ms, four messages
constexpr Millis AggregatorTimeout = 1500;          // ms without sums of all
constexpr Millis AggregatorSuspicionPeriod = 5000;  // ms
constexpr std::uint64_t AggregatorRankSeed = 5;     // of the hash that ranks
constexpr std::uint64_t AggregatorChoiceSeed =
    6; // of the hash that spreads members

std::uint64_t rankHash(std::string_view Name, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
}

bool mayBeAggregator(const State &S, const PeerState &M) {
  return M.Alive_ && !M.Row_.Draining_ && S.Now_ >= M.SuspectUntil_;
}

/// The first by rank among the processes of a data centre.
std::vector<std::string> rankedAggregators(const State &S,
                                           const std::string &DataCentre) {
  std::vector<std::string> Names;
  for (const auto &[Name, M] : S.Membership_.Peers_)
    if (M.Row_.DataCentre_ == DataCentre && mayBeAggregator(S, M))
      Names.push_back(Name);
  if (DataCentre == S.Settings_.DataCentre_ && S.Stage_ != Stage::Draining)
    Names.push_back(S.Self_.Name_);
  const std::size_t Wanted =
      std::min(Names.size(), (Names.size() + ProcessesPerAggregator - 1) /
                                 ProcessesPerAggregator);
  const auto End = Names.begin() + static_cast<std::ptrdiff_t>(Wanted);
  std::partial_sort(Names.begin(), End, Names.end(),
                    [](const auto &A, const auto &B) {
                      return rankHash(A, AggregatorRankSeed) <
                             rankHash(B, AggregatorRankSeed);
                    });
  Names.resize(Wanted);
  return Names;
}

/// One of the collectors, so that each has about as many members.
std::string chooseAggregator(std::span<const std::string> Collectors,
                             const std::string &Own) {
  return *std::max_element(Collectors.begin(), Collectors.end(),
                           [&](const auto &A, const auto &B) {
                             return rankHash(A + Own, AggregatorChoiceSeed) <
                                    rankHash(B + Own, AggregatorChoiceSeed);
                           });
}

/// What was told under another role may overlap with what will be told.
void changeAggregator(State &S, const std::string &To, Effects &Out) {
  if (S.Membership_.Aggregator_ == To)
    return;
  S.Membership_.Aggregator_ = To;
  S.Membership_.AggregatorSince_ = S.Now_;
  S.Membership_.SentReports_.clear();
  for (auto &[Name, M] : S.Membership_.Peers_) {
    M.Summary_ = {};
    M.SummaryReceivedAt_ = -1;
    M.SummaryIncarnation_ = 0;
  }
  logEvent(Out, "collector_chosen", {{"collector", To.empty() ? "self" : To}});
}

/// A collector that sends nothing is dead, frozen or cut off.
void suspectUnresponsiveAggregator(State &S, Effects &Out) {
  const auto Found = S.Membership_.Peers_.find(S.Membership_.Aggregator_);
  if (Found == S.Membership_.Peers_.end())
    return;
  const Millis Last = std::max(S.Membership_.AggregatorSince_,
                               Found->second.SummaryReceivedAt_);
  if (S.Now_ - Last <= AggregatorTimeout)
    return;
  Found->second.SuspectUntil_ = S.Now_ + AggregatorSuspicionPeriod;
  logWarning(
      Out, "collector_silent",
      {{"collector", Found->first}, {"age_ms", std::to_string(S.Now_ - Last)}});
}

} // namespace

bool isLargeCluster(const State &S) {
  return S.Settings_.servesPlatform() &&
         S.Membership_.Peers_.size() > LargeClusterThreshold;
}

bool hasRecentSummary(const State &S, const PeerState &M) {
  const Millis Limit =
      isLargeCluster(S) ? LargeClusterSummaryTimeout : SummaryTimeout;
  return M.SummaryReceivedAt_ >= 0 && S.Now_ - M.SummaryReceivedAt_ <= Limit;
}

void updateAggregator(State &S, Effects &Out) {
  if (!isLargeCluster(S) || !groupMembers(S).empty()) {
    changeAggregator(S, "", Out);
    return;
  }
  suspectUnresponsiveAggregator(S, Out);
  const std::vector<std::string> Ranked =
      rankedAggregators(S, S.Settings_.DataCentre_);
  const bool Self = Ranked.empty() || std::find(Ranked.begin(), Ranked.end(),
                                                S.Self_.Name_) != Ranked.end();
  changeAggregator(S, Self ? "" : chooseAggregator(Ranked, S.Self_.Name_), Out);
}

void becomeAggregator(State &S, Effects &Out) { changeAggregator(S, "", Out); }

std::vector<std::string> groupMembers(const State &S) {
  std::vector<std::string> Names;
  if (!isAggregator(S))
    return Names;
  for (const auto &[Name, M] : S.Membership_.Peers_)
    if (M.Summary_.Scope_ == SummaryScope::Process && hasRecentSummary(S, M))
      Names.push_back(Name);
  return Names;
}

std::vector<std::string> otherAggregators(const State &S) {
  std::set<std::string> Names;
  std::set<std::string> DataCentres;
  const bool Large = isLargeCluster(S);
  for (const auto &[Name, M] : S.Membership_.Peers_) {
    DataCentres.insert(M.Row_.DataCentre_);
    const bool Collects =
        M.Summary_.Scope_ == SummaryScope::Group && hasRecentSummary(S, M);
    if (Large ? Collects : M.Alive_)
      Names.insert(Name);
  }
  if (Large)
    for (const std::string &DataCentre : DataCentres)
      for (std::string &Name : rankedAggregators(S, DataCentre))
        Names.insert(std::move(Name));
  for (const auto &[Name, ToldAt] : S.Membership_.Aggregators_)
    if (Large && S.Now_ - ToldAt <= LargeClusterSummaryTimeout &&
        S.Membership_.Peers_.count(Name) > 0)
      Names.insert(Name);
  Names.erase(S.Self_.Name_);
  return {Names.begin(), Names.end()};
}

std::vector<std::string> recentAggregators(const State &S) {
  std::vector<std::string> Names;
  for (const auto &[Name, M] : S.Membership_.Peers_)
    if (M.Summary_.Scope_ == SummaryScope::Group && hasRecentSummary(S, M))
      Names.push_back(Name);
  return Names;
}

void mergeAggregators(State &S, std::span<const std::string> Names) {
  for (const std::string &Name : Names)
    S.Membership_.Aggregators_[Name] = S.Now_;
  std::erase_if(S.Membership_.Aggregators_, [&](const auto &Entry) {
    return S.Now_ - Entry.second > LargeClusterSummaryTimeout;
  });
}

std::vector<const PeerState *> summarySources(const State &S) {
  std::vector<const PeerState *> Sources;
  for (const auto &[Name, M] : S.Membership_.Peers_) {
    const bool Own = isAggregator(S) ? M.Summary_.Scope_ != SummaryScope::All
                                     : Name == S.Membership_.Aggregator_;
    // A member that lives and does not report here reports elsewhere.
    const bool Moved = M.Summary_.Scope_ == SummaryScope::Process && M.Alive_ &&
                       !hasRecentSummary(S, M);
    if (Own && !Moved)
      Sources.push_back(&M);
  }
  return Sources;
}

} // namespace endivewharf
