// Ranks by hash, so that all choose alike without a word; silence moves the
// choice on to the next one.
#include "collectors.h"

#include "membership.h"
#include "record.h"

#include <algorithm>
#include <set>
#include <span>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr std::size_t LargeGroup = 8;        // processes
constexpr std::size_t MembersPerGroup = 12;  // so that groups and collectors
                                             // are about equally many at 150
constexpr Millis HeardTime = 2000;           // ms; older sums say nothing
constexpr Millis LargeGroupHeardTime = 1000; // ms, four messages
constexpr Millis CollectorSilence = 1500;    // ms without sums of all
constexpr Millis SuspicionTime = 5000;       // ms
constexpr std::uint64_t RankSeed = 5;        // of the hash that ranks
constexpr std::uint64_t ChoiceSeed = 6;      // of the hash that spreads members

std::uint64_t rankOf(std::string_view Name, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
}

bool mayCollect(const State &S, const Member &M) {
  return M.Alive_ && !M.Row_.Draining_ && S.Now_ >= M.SuspectUntil_;
}

/// The first by rank among the processes of a data centre.
std::vector<std::string> rankedCollectors(const State &S,
                                          const std::string &DataCentre) {
  std::vector<std::string> Names;
  for (const auto &[Name, M] : S.Membership_.Members_)
    if (M.Row_.DataCentre_ == DataCentre && mayCollect(S, M))
      Names.push_back(Name);
  if (DataCentre == S.Settings_.DataCentre_ && S.Stage_ != Stage::Draining)
    Names.push_back(S.Self_.Name_);
  const std::size_t Wanted = std::min(
      Names.size(), (Names.size() + MembersPerGroup - 1) / MembersPerGroup);
  const auto End = Names.begin() + static_cast<std::ptrdiff_t>(Wanted);
  std::partial_sort(Names.begin(), End, Names.end(),
                    [](const auto &A, const auto &B) {
                      return rankOf(A, RankSeed) < rankOf(B, RankSeed);
                    });
  Names.resize(Wanted);
  return Names;
}

/// One of the collectors, so that each has about as many members.
std::string spread(std::span<const std::string> Collectors,
                   const std::string &Own) {
  return *std::max_element(
      Collectors.begin(), Collectors.end(), [&](const auto &A, const auto &B) {
        return rankOf(A + Own, ChoiceSeed) < rankOf(B + Own, ChoiceSeed);
      });
}

/// What was told under another role may overlap with what will be told.
void changeCollector(State &S, const std::string &To, Effects &Out) {
  if (S.Membership_.Collector_ == To)
    return;
  S.Membership_.Collector_ = To;
  S.Membership_.CollectorSince_ = S.Now_;
  S.Membership_.Reports_.clear();
  for (auto &[Name, M] : S.Membership_.Members_) {
    M.Sums_ = {};
    M.SumsAt_ = -1;
    M.SumsLife_ = 0;
  }
  logEvent(Out, "collector_chosen", {{"collector", To.empty() ? "self" : To}});
}

/// A collector that sends nothing is dead, frozen or cut off.
void suspectSilent(State &S, Effects &Out) {
  const auto Found = S.Membership_.Members_.find(S.Membership_.Collector_);
  if (Found == S.Membership_.Members_.end())
    return;
  const Millis Last =
      std::max(S.Membership_.CollectorSince_, Found->second.SumsAt_);
  if (S.Now_ - Last <= CollectorSilence)
    return;
  Found->second.SuspectUntil_ = S.Now_ + SuspicionTime;
  logWarning(
      Out, "collector_silent",
      {{"collector", Found->first}, {"age_ms", std::to_string(S.Now_ - Last)}});
}

} // namespace

bool isLargeGroup(const State &S) {
  return S.Settings_.onPlatform() && S.Membership_.Members_.size() > LargeGroup;
}

bool isHeard(const State &S, const Member &M) {
  const Millis Limit = isLargeGroup(S) ? LargeGroupHeardTime : HeardTime;
  return M.SumsAt_ >= 0 && S.Now_ - M.SumsAt_ <= Limit;
}

void updateCollector(State &S, Effects &Out) {
  if (!isLargeGroup(S) || !groupMembers(S).empty()) {
    changeCollector(S, "", Out);
    return;
  }
  suspectSilent(S, Out);
  const std::vector<std::string> Ranked =
      rankedCollectors(S, S.Settings_.DataCentre_);
  const bool Self = Ranked.empty() || std::find(Ranked.begin(), Ranked.end(),
                                                S.Self_.Name_) != Ranked.end();
  changeCollector(S, Self ? "" : spread(Ranked, S.Self_.Name_), Out);
}

void becomeCollector(State &S, Effects &Out) { changeCollector(S, "", Out); }

std::vector<std::string> groupMembers(const State &S) {
  std::vector<std::string> Names;
  if (!isCollector(S))
    return Names;
  for (const auto &[Name, M] : S.Membership_.Members_)
    if (M.Sums_.Scope_ == SumsScope::Process && isHeard(S, M))
      Names.push_back(Name);
  return Names;
}

std::vector<std::string> otherCollectors(const State &S) {
  std::set<std::string> Names;
  std::set<std::string> DataCentres;
  const bool Large = isLargeGroup(S);
  for (const auto &[Name, M] : S.Membership_.Members_) {
    DataCentres.insert(M.Row_.DataCentre_);
    const bool Collects = M.Sums_.Scope_ == SumsScope::Group && isHeard(S, M);
    if (Large ? Collects : M.Alive_)
      Names.insert(Name);
  }
  if (Large)
    for (const std::string &DataCentre : DataCentres)
      for (std::string &Name : rankedCollectors(S, DataCentre))
        Names.insert(std::move(Name));
  for (const auto &[Name, ToldAt] : S.Membership_.Collectors_)
    if (Large && S.Now_ - ToldAt <= LargeGroupHeardTime &&
        S.Membership_.Members_.count(Name) > 0)
      Names.insert(Name);
  Names.erase(S.Self_.Name_);
  return {Names.begin(), Names.end()};
}

std::vector<std::string> heardCollectors(const State &S) {
  std::vector<std::string> Names;
  for (const auto &[Name, M] : S.Membership_.Members_)
    if (M.Sums_.Scope_ == SumsScope::Group && isHeard(S, M))
      Names.push_back(Name);
  return Names;
}

void noteCollectors(State &S, std::span<const std::string> Names) {
  for (const std::string &Name : Names)
    S.Membership_.Collectors_[Name] = S.Now_;
  std::erase_if(S.Membership_.Collectors_, [&](const auto &Entry) {
    return S.Now_ - Entry.second > LargeGroupHeardTime;
  });
}

std::vector<const Member *> sumsSources(const State &S) {
  std::vector<const Member *> Sources;
  for (const auto &[Name, M] : S.Membership_.Members_) {
    const bool Own = isCollector(S) ? M.Sums_.Scope_ != SumsScope::All
                                    : Name == S.Membership_.Collector_;
    // A member that lives and does not report here reports elsewhere.
    const bool Moved =
        M.Sums_.Scope_ == SumsScope::Process && M.Alive_ && !isHeard(S, M);
    if (Own && !Moved)
      Sources.push_back(&M);
  }
  return Sources;
}

} // namespace endivewharf
