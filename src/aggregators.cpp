// Processes are ranked by hash, so all choose the same aggregators without
// coordination. One whose summaries stop is replaced by the next by rank.
#include "aggregators.h"

#include "diagnostics.h"
#include "membership.h"

#include <algorithm>
#include <set>
#include <span>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr std::size_t LargeClusterThreshold = 8; // peers
// At 150 processes there are about as many aggregators as processes per group.
constexpr std::size_t ProcessesPerAggregator = 12;
constexpr Millis SummaryTimeout = 2000; // ms; older summaries do not count
// The summary timeout of a large cluster in ms: the time of four summaries.
constexpr Millis LargeClusterSummaryTimeout = 1000;
constexpr Millis AggregatorTimeout = 1500; // ms without a summary of all
constexpr Millis AggregatorSuspicionPeriod = 5000; // ms of ineligibility
constexpr std::uint64_t AggregatorRankSeed = 5;    // hash seed for the ranking
// Hash seed for the choice among the aggregators.
constexpr std::uint64_t AggregatorChoiceSeed = 6;

std::uint64_t rankHash(std::string_view Name, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
}

bool mayBeAggregator(const State &S, const PeerState &Peer) {
  return Peer.Alive_ && !Peer.Row_.Draining_ && S.Now_ >= Peer.SuspectUntil_;
}

/// The aggregators of a data centre: the first of its eligible processes by
/// rank, one for every ProcessesPerAggregator.
std::vector<std::string> rankedAggregators(const State &S,
                                           const std::string &DataCentre) {
  std::vector<std::string> Names;
  for (const auto &[Name, Peer] : S.Membership_.Peers_)
    if (Peer.Row_.DataCentre_ == DataCentre && mayBeAggregator(S, Peer))
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

/// Chooses one of the aggregators by hash, so that their groups are about
/// equally large.
/// @param Own name of the process that is to report
std::string chooseAggregator(std::span<const std::string> Aggregators,
                             const std::string &Own) {
  return *std::max_element(Aggregators.begin(), Aggregators.end(),
                           [&](const auto &A, const auto &B) {
                             return rankHash(A + Own, AggregatorChoiceSeed) <
                                    rankHash(B + Own, AggregatorChoiceSeed);
                           });
}

/// Changes the role and drops all summaries: one received under the old role
/// may include processes that are also in a summary received under the new
/// role.
/// @param To name of the aggregator; empty for this process
void changeAggregator(State &S, const std::string &To, Effects &Out) {
  if (S.Membership_.Aggregator_ == To)
    return;
  S.Membership_.Aggregator_ = To;
  S.Membership_.AggregatorSince_ = S.Now_;
  S.Membership_.SentReports_.clear();
  for (auto &[Name, Peer] : S.Membership_.Peers_) {
    Peer.Summary_ = {};
    Peer.SummaryReceivedAt_ = -1;
  }
  logEvent(Out, "collector_chosen", {{"collector", To.empty() ? "self" : To}});
}

/// Makes this process's aggregator ineligible for a while if its summaries have
/// stopped: it is dead, frozen or unreachable.
void suspectUnresponsiveAggregator(State &S, Effects &Out) {
  const auto Found = S.Membership_.Peers_.find(S.Membership_.Aggregator_);
  if (Found == S.Membership_.Peers_.end())
    return;
  const Millis LastSummaryAt = std::max(S.Membership_.AggregatorSince_,
                                        Found->second.SummaryReceivedAt_);
  if (S.Now_ - LastSummaryAt <= AggregatorTimeout)
    return;
  Found->second.SuspectUntil_ = S.Now_ + AggregatorSuspicionPeriod;
  logWarning(Out, "collector_silent",
             {{"collector", Found->first},
              {"age_ms", std::to_string(S.Now_ - LastSummaryAt)}});
}

} // namespace

bool isLargeCluster(const State &S) {
  return S.Settings_.servesPlatform() &&
         S.Membership_.Peers_.size() > LargeClusterThreshold;
}

bool hasRecentSummary(const State &S, const PeerState &Peer) {
  const Millis Limit =
      isLargeCluster(S) ? LargeClusterSummaryTimeout : SummaryTimeout;
  return Peer.SummaryReceivedAt_ >= 0 &&
         S.Now_ - Peer.SummaryReceivedAt_ <= Limit;
}

void updateAggregator(State &S, Effects &Out) {
  if (!isLargeCluster(S) || !groupReporters(S).empty()) {
    changeAggregator(S, "", Out);
    return;
  }
  suspectUnresponsiveAggregator(S, Out);
  const std::vector<std::string> Ranked =
      rankedAggregators(S, S.Settings_.DataCentre_);
  const bool RankedHere =
      Ranked.empty() ||
      std::find(Ranked.begin(), Ranked.end(), S.Self_.Name_) != Ranked.end();
  changeAggregator(S, RankedHere ? "" : chooseAggregator(Ranked, S.Self_.Name_),
                   Out);
}

void becomeAggregator(State &S, Effects &Out) { changeAggregator(S, "", Out); }

std::vector<std::string> groupReporters(const State &S) {
  std::vector<std::string> Names;
  if (!isAggregator(S))
    return Names;
  for (const auto &[Name, Peer] : S.Membership_.Peers_)
    if (Peer.Summary_.Scope_ == SummaryScope::Process &&
        hasRecentSummary(S, Peer))
      Names.push_back(Name);
  return Names;
}

std::vector<std::string> otherAggregators(const State &S) {
  std::set<std::string> Names;
  std::set<std::string> DataCentres;
  const bool Large = isLargeCluster(S);
  for (const auto &[Name, Peer] : S.Membership_.Peers_) {
    DataCentres.insert(Peer.Row_.DataCentre_);
    const bool SendsGroupSummary =
        Peer.Summary_.Scope_ == SummaryScope::Group &&
        hasRecentSummary(S, Peer);
    if (Large ? SendsGroupSummary : Peer.Alive_)
      Names.insert(Name);
  }
  if (Large)
    for (const std::string &DataCentre : DataCentres)
      for (std::string &Name : rankedAggregators(S, DataCentre))
        Names.insert(std::move(Name));
  for (const auto &[Name, NamedAt] : S.Membership_.Aggregators_)
    if (Large && S.Now_ - NamedAt <= LargeClusterSummaryTimeout &&
        S.Membership_.Peers_.count(Name) > 0)
      Names.insert(Name);
  Names.erase(S.Self_.Name_);
  return {Names.begin(), Names.end()};
}

std::vector<std::string> recentAggregators(const State &S) {
  std::vector<std::string> Names;
  for (const auto &[Name, Peer] : S.Membership_.Peers_)
    if (Peer.Summary_.Scope_ == SummaryScope::Group &&
        hasRecentSummary(S, Peer))
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
  for (const auto &[Name, Peer] : S.Membership_.Peers_) {
    const bool InRole = isAggregator(S)
                            ? Peer.Summary_.Scope_ != SummaryScope::All
                            : Name == S.Membership_.Aggregator_;
    // A live peer whose reports have stopped reports to another aggregator,
    // whose summary includes it. One that is not alive still counts with its
    // demand.
    const bool ReportsElsewhere =
        Peer.Summary_.Scope_ == SummaryScope::Process && Peer.Alive_ &&
        !hasRecentSummary(S, Peer);
    if (InRole && !ReportsElsewhere)
      Sources.push_back(&Peer);
  }
  return Sources;
}

} // namespace endivewharf
