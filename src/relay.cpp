#include "relay.h"

#include "diagnostics.h"
#include "requestlimits.h"
#include "router.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

/// Upstreams of a service that must have left attempts unanswered, with no
/// answer of any in between, or all if it has fewer.
constexpr std::size_t UnansweredToBeCutOff = 3;
constexpr Millis ReachedPeriod = 3000;    // ms for which an answer counts
constexpr Millis PeerStatementAge = 3000; // ms for which a digest counts
constexpr Millis OwnLinkTryPeriod = 1000; // ms between calls placed here
constexpr Millis NotSentAge = 8000;       // ms for which a failure counts
/// Attempts of one call that found no connection before it is passed on.
constexpr int NotSentBeforeRelay = 2;
constexpr int MaxRelays = 2;           // peers that one call is passed to
constexpr int RemoteRelayHandicap = 4; // relays in flight

bool servesListed(const Upstream &U, std::string_view Service) {
  return U.Row_.Service_ == Service && U.Listed_ && !U.Leaving_;
}

/// @return true if no upstream of the service is left to which the last attempt
///   to connect has not failed. Connections that were kept may live on.
bool isEveryUpstreamAvoided(const State &S, const std::string &Service) {
  bool Any = false;
  for (const Upstream &U : S.Upstreams_) {
    if (!servesListed(U, Service))
      continue;
    if (S.Now_ >= U.AvoidUntil_ || U.NotSentAt_ < 0 ||
        S.Now_ - U.NotSentAt_ > NotSentAge)
      return false;
    Any = true;
  }
  return Any;
}

bool reaches(const State &S, const PeerState &Peer,
             const std::string &Service) {
  const auto Found = Peer.ReachedAt_.find(Service);
  return Peer.Alive_ && !Peer.Row_.Draining_ && !Peer.Row_.Address_.empty() &&
         Found != Peer.ReachedAt_.end() &&
         S.Now_ - Found->second <= PeerStatementAge;
}

/// Address at which a peer accepts relayed requests: all processes use the same
/// port.
std::string relayUrl(const State &S, const PeerState &Peer) {
  const std::string &Address = Peer.Row_.Address_;
  return fmt::format("http://{}:{}", Address.substr(0, Address.rfind(':')),
                     S.Settings_.RelayListen_.Port_);
}

/// @return index of the entry that stands for a peer's incarnation
int relayIndex(State &S, const PeerState &Peer) {
  const auto Found = S.UpstreamByInstance_.find(Peer.Row_.Instance_);
  if (Found != S.UpstreamByInstance_.end())
    return Found->second;
  Upstream New;
  New.IsPeer_ = true;
  New.Row_.Host_ = Peer.Row_.Instance_;
  New.Row_.Address_ = relayUrl(S, Peer);
  New.Row_.DataCentre_ = Peer.Row_.DataCentre_;
  New.Listed_ = false;
  New.InLatestList_ = false;
  const int Index = static_cast<int>(S.Upstreams_.size());
  S.UpstreamByInstance_[Peer.Row_.Instance_] = Index;
  S.Upstreams_.push_back(New);
  return Index;
}

/// @return the peer with the fewest relays in flight, a near one first; -1:
/// none
int bestRelay(State &S, const Call &C) {
  std::vector<std::string> Names;
  for (const auto &[Name, Peer] : S.Membership_.Peers_)
    if (reaches(S, Peer, C.ServiceQueue_) &&
        mayBeSentTo(C.Homes_, S.Settings_.Regions_, Peer.Row_.DataCentre_))
      Names.push_back(Name);
  if (Names.empty())
    return -1;
  int Best = -1;
  int BestCost = 0;
  // A random start spreads the calls of a tie.
  const std::size_t Start = nextRandom(S) % Names.size();
  for (std::size_t I = 0; I < Names.size(); ++I) {
    const PeerState &Peer =
        S.Membership_.Peers_.at(Names[(Start + I) % Names.size()]);
    const int Index = relayIndex(S, Peer);
    const Upstream &U = S.Upstreams_[Index];
    if (S.Now_ < U.AvoidUntil_ || S.Now_ < U.PausedUntil_ ||
        C.TriedUpstreams_.count(Index) > 0)
      continue;
    const int Cost =
        U.InFlight_ + (Peer.Row_.DataCentre_ == S.Settings_.DataCentre_
                           ? 0
                           : RemoteRelayHandicap);
    if (Best >= 0 && Cost >= BestCost)
      continue;
    Best = Index;
    BestCost = Cost;
  }
  return Best;
}

bool isRelayable(State &S, const Call &C) {
  return S.Settings_.RelayListen_.Port_ != 0 && !C.Request_.Relayed_ &&
         !C.ServiceQueue_.empty() && mayRelayAgain(C) &&
         (C.NotSentCount_ >= NotSentBeforeRelay ||
          isCutOff(S, C.ServiceQueue_) ||
          (!hasUsableUpstream(S, C, "") &&
           isEveryUpstreamAvoided(S, C.ServiceQueue_)));
}

/// @return true if the call is the next one that tries this process's own links
bool isOwnLinkTryDue(const State &S, const Call &C, const ServiceLink &Link) {
  return C.RepeatPolicy_ != RepeatPolicy::Never && C.AttemptCount_ == 0 &&
         S.Now_ - Link.TriedAt_ >= OwnLinkTryPeriod;
}

} // namespace

bool isCutOff(const State &S, const std::string &Service) {
  const auto Found = S.ServiceLinks_.find(Service);
  if (Found == S.ServiceLinks_.end() || Found->second.Unanswered_.empty())
    return false;
  const std::size_t Unanswered = Found->second.Unanswered_.size();
  if (Unanswered >= UnansweredToBeCutOff)
    return true;
  return Unanswered >=
         static_cast<std::size_t>(std::count_if(
             S.Upstreams_.begin(), S.Upstreams_.end(),
             [&](const Upstream &U) { return servesListed(U, Service); }));
}

void recordContact(State &S, const Attempt &A) {
  const Upstream &U = S.Upstreams_[A.Upstream_];
  if (U.IsPeer_ || U.Row_.Service_.empty())
    return;
  ServiceLink &Link = S.ServiceLinks_[U.Row_.Service_];
  Link.AnsweredAt_ = S.Now_;
  Link.Unanswered_.clear();
  recordHostAnswer(S, A);
}

void recordNoContact(State &S, const Attempt &A, AttemptFailure Failure,
                     Effects &Out) {
  const Upstream &U = S.Upstreams_[A.Upstream_];
  if (U.IsPeer_ || U.Row_.Service_.empty())
    return;
  switch (Failure) {
  case AttemptFailure::NotSent:
  case AttemptFailure::TimedOut:
    break;
  case AttemptFailure::ConnectionBroken:
    return; // By an upstream that has ended, or a link that is cut.
  case AttemptFailure::Refused:
  case AttemptFailure::ProtocolError:
  case AttemptFailure::UpstreamError:
  case AttemptFailure::Misdirected:
    recordContact(S, A);
    return;
  }
  const bool Before = isCutOff(S, U.Row_.Service_);
  S.ServiceLinks_[U.Row_.Service_].Unanswered_.insert(A.Upstream_);
  if (!Before && isCutOff(S, U.Row_.Service_))
    logWarning(
        Out, "service_unreachable",
        {{"service", U.Row_.Service_},
         {"unanswered",
          std::to_string(S.ServiceLinks_[U.Row_.Service_].Unanswered_.size())},
         {"answered_ms",
          std::to_string(S.Now_ -
                         S.ServiceLinks_[U.Row_.Service_].AnsweredAt_)}});
}

std::vector<std::string> reachedServices(const State &S) {
  std::vector<std::string> Reached;
  for (const auto &[Service, Link] : S.ServiceLinks_)
    if (Link.AnsweredAt_ > 0 && S.Now_ - Link.AnsweredAt_ <= ReachedPeriod &&
        !isCutOff(S, Service))
      Reached.push_back(Service);
  return Reached;
}

void recordReachedServices(State &S, PeerState &Peer,
                           const std::vector<std::string> &Services) {
  Peer.ReachedAt_.clear();
  for (const std::string &Service : Services)
    Peer.ReachedAt_[Service] = S.Now_;
}

bool canRelay(State &S, const Call &C) {
  return isRelayable(S, C) && bestRelay(S, C) >= 0;
}

int pickRelay(State &S, Call &C) {
  if (!isRelayable(S, C))
    return -1;
  ServiceLink &Link = S.ServiceLinks_[C.ServiceQueue_];
  if (isOwnLinkTryDue(S, C, Link) && hasUsableUpstream(S, C, "")) {
    Link.TriedAt_ = S.Now_;
    C.FreshConnection_ = true;
    return -1;
  }
  return bestRelay(S, C);
}

bool mayRelayAgain(const Call &C) { return C.RelayCount_ < MaxRelays; }

} // namespace endivewharf
