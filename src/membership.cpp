// Sends digests with heartbeats, gossips facts and requests newer control state
// from peers. Digests within a data centre carry the heartbeats of all its live
// processes; digests to other data centres carry only a few rows.
#include "membership.h"

#include "aggregators.h"
#include "controllog.h"
#include "diagnostics.h"
#include "evidence.h"
#include "handover.h"
#include "quotaexchange.h"
#include "relay.h"
#include "release.h"
#include "storereaders.h"
#include "summaries.h"
#include "suspects.h"
#include "trials.h"
#include "upstreams.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <xxhash.h>

namespace endivewharf {

namespace {

// In a small cluster each process sends to all others. In a large one it sends
// to a few at random, less often, so heartbeats take longer to reach all.
constexpr Millis SmallClusterDigestPeriod = 500;       // ms between digests
constexpr Millis LargeClusterDigestPeriod = 1000;      // ms between digests
constexpr Millis SmallClusterHeartbeatTimeout = 3000;  // ms without a heartbeat
constexpr Millis LargeClusterHeartbeatTimeout = 12000; // ms without a heartbeat
constexpr std::uint64_t MaxUnacknowledgedDigests = 4;  // digests to one peer
constexpr std::size_t MaxSmallClusterPeers = 6;  // peers of a small cluster
constexpr std::size_t LocalDigestFanout = 2;     // peers in this data centre
constexpr std::size_t FactsFanout = 5;           // peers sent a new fact
constexpr std::size_t StoreReaderCount = 3;      // processes
constexpr std::uint64_t StoreReaderRankSeed = 4; // hash seed for the ranking
constexpr Millis StoreReaderTimeout = 2500; // ms since a store reader's read
// Time after the start, in ms, during which the seeds count towards the size of
// the cluster; then the peers are known.
constexpr Millis SeedBootstrapPeriod = 5000;
constexpr Millis SeedContactInterval = 500;  // ms between digests to the seeds
constexpr Millis PeerRemovalTimeout = 20000; // ms without a heartbeat
constexpr std::size_t EvaluatorCount = 3;    // processes that collect evidence
constexpr Millis NewInstancePeriod = 15000;  // ms for which an instance is new
constexpr std::size_t MaxNewInstanceRows = 12; // of new instances per digest
// Heartbeats of processes in other data centres per digest.
constexpr std::size_t MaxRemoteHeartbeats = 40;
constexpr std::size_t MaxExtraPeerRows = 2; // rows of other peers per digest
// Bound on the number of processes that a peer's digest may state.
constexpr std::int64_t MaxStatedClusterSize = 10000;

std::vector<std::string> peerNames(const State &S, bool OnlyAlive) {
  std::vector<std::string> Names;
  for (const auto &[Name, Peer] : S.Membership_.Peers_)
    if (!OnlyAlive || Peer.Alive_)
      Names.push_back(Name);
  return Names;
}

/// Chooses `Wanted` names at random; all of them if there are at most
/// MaxSmallClusterPeers.
std::vector<std::string> samplePeers(State &S, std::vector<std::string> Names,
                                     std::size_t Wanted) {
  if (Names.size() <= std::max(Wanted, MaxSmallClusterPeers))
    return Names;
  for (std::size_t I = 0; I < Wanted; ++I)
    std::swap(Names[I], Names[I + nextRandom(S) % (Names.size() - I)]);
  Names.resize(Wanted);
  return Names;
}

std::uint64_t hashText(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

/// Hash of all facts; equal sets have equal hashes, in whatever order the facts
/// arrived.
std::uint64_t factsHash(const State &S) {
  std::uint64_t Sum = 0;
  for (const auto &[Key, Fact] : S.LeavingFacts_)
    Sum += hashText(Key, 1);
  for (const auto &[Key, Fact] : S.Release_.BadVersionFacts_)
    Sum += hashText(fmt::format("{}|{}", Key.first, Key.second), 2);
  for (const auto &[Key, Known] : S.Suspicion_.Blocks_)
    Sum += hashText(fmt::format("{}|{}", Key, Known.Fact_.Lifted_), 8);
  return Sum;
}

bool isSmallCluster(const State &S) {
  return S.Membership_.Peers_.size() <= MaxSmallClusterPeers;
}

PeerRow ownPeerRow(const State &S) {
  PeerRow Row;
  Row.Instance_ = S.Self_;
  Row.DataCentre_ = S.Settings_.DataCentre_;
  Row.Zone_ = S.Settings_.Zone_;
  Row.Heartbeat_ = S.Membership_.Heartbeat_;
  Row.ConfigVersion_ = S.Config_.Version_;
  Row.Draining_ = S.Stage_ != Stage::Serving;
  if (S.Settings_.servesPlatform())
    Row.Address_ = formatAddress(S.Settings_.PeerListen_);
  return Row;
}

/// Adds up to `Wanted` random rows to a digest; reorders `From`.
void addRandomRows(State &S, std::vector<const PeerRow *> &From,
                   std::size_t Wanted, DigestMessage &Digest) {
  for (std::size_t I = 0; I < std::min(Wanted, From.size()); ++I) {
    std::swap(From[I], From[I + nextRandom(S) % (From.size() - I)]);
    Digest.Peers_.push_back(*From[I]);
  }
}

/// Adds heartbeats of some live peers in other data centres. Digests directly
/// from there are too few to detect whether those peers are alive.
void addRemoteHeartbeats(State &S, DigestMessage &Digest) {
  std::vector<const PeerRow *> Remote;
  for (const auto &[Name, Peer] : S.Membership_.Peers_)
    if (Peer.Alive_ && Peer.Row_.DataCentre_ != S.Settings_.DataCentre_)
      Remote.push_back(&Peer.Row_);
  for (std::size_t I = 0; I < std::min(MaxRemoteHeartbeats, Remote.size());
       ++I) {
    std::swap(Remote[I], Remote[I + nextRandom(S) % (Remote.size() - I)]);
    Digest.Heartbeats_.push_back(
        {instanceHash(Remote[I]->Instance_), Remote[I]->Heartbeat_});
  }
}

DigestMessage makeDigest(State &S, PeerState &To) {
  DigestMessage Digest;
  Digest.Peers_.push_back(ownPeerRow(S));
  const bool SameDataCentre = To.Row_.DataCentre_ == S.Settings_.DataCentre_;
  std::vector<const PeerRow *> Known;
  std::vector<const PeerRow *> NewInstances;
  for (const auto &[Name, Peer] : S.Membership_.Peers_) {
    if (!Peer.Alive_ || Name == To.Row_.Instance_.Name_)
      continue;
    Known.push_back(&Peer.Row_);
    if (!SameDataCentre || Peer.Row_.DataCentre_ != S.Settings_.DataCentre_)
      continue;
    Digest.Heartbeats_.push_back(
        {instanceHash(Peer.Row_.Instance_), Peer.Row_.Heartbeat_});
    if (S.Now_ - Peer.InstanceKnownSince_ < NewInstancePeriod)
      NewInstances.push_back(&Peer.Row_);
  }
  if (S.Settings_.servesPlatform())
    addRemoteHeartbeats(S, Digest);
  // A receiver needs the full row of an instance only once; after that its
  // heartbeats are enough. So rows of new instances go first, then a few others
  // at random.
  addRandomRows(S, NewInstances, MaxNewInstanceRows, Digest);
  addRandomRows(S, Known, MaxExtraPeerRows, Digest);
  Digest.ControlVersion_ = S.Control_.Version_;
  Digest.FactsHash_ = factsHash(S);
  Digest.UnixMs_ = S.Settings_.servesPlatform() ? correctedUnixMs(S) : 0;
  Digest.ClusterSize_ =
      static_cast<std::int64_t>(S.Membership_.Peers_.size() + 1);
  Digest.ReachedServices_ = reachedServices(S);
  Digest.Sequence_ = ++To.DigestSequenceSent_;
  Digest.Acknowledged_ = To.DigestSequenceReceived_;
  return Digest;
}

FactsMessage allFacts(const State &S) {
  FactsMessage Facts;
  for (const auto &[Key, Fact] : S.LeavingFacts_)
    Facts.LeavingFacts_.push_back(Fact);
  for (const auto &[Key, Fact] : S.Release_.BadVersionFacts_)
    Facts.BadVersionFacts_.push_back(Fact);
  addSuspectFacts(S, Facts);
  return Facts;
}

void setAlive(PeerState &Peer, bool Alive, Effects &Out) {
  if (Peer.Alive_ == Alive)
    return;
  Peer.Alive_ = Alive;
  logEvent(Out, Alive ? "peer_alive" : "peer_silent",
           {{"peer", Peer.Row_.Instance_.Name_}});
}

/// Sets a peer's address if the peer is unknown or has a new address, unless
/// the row is of an older incarnation.
void updatePeerAddress(State &S, const PeerRow &Row, Effects &Out) {
  if (Row.Address_.empty() || Row.Instance_.Name_ == S.Self_.Name_)
    return;
  PeerState &Peer = S.Membership_.Peers_[Row.Instance_.Name_];
  const bool Older =
      Row.Instance_.Incarnation_ < Peer.Row_.Instance_.Incarnation_;
  if (Older || Peer.Row_.Address_ == Row.Address_)
    return;
  if (Peer.Row_.Instance_.Name_.empty()) {
    Peer.Row_.Instance_.Name_ = Row.Instance_.Name_;
    Peer.Row_.DataCentre_ = Row.DataCentre_;
    Peer.Row_.Zone_ = Row.Zone_;
    Peer.HeartbeatAdvancedAt_ = S.Now_;
  }
  Peer.Row_.Address_ = Row.Address_;
  Out.push_back(SetPeerAddress{Row.Instance_.Name_, Row.Address_});
  logEvent(Out, "peer_address",
           {{"peer", Row.Instance_.Name_}, {"address", Row.Address_}});
}

/// Removes peers whose heartbeat has not advanced for PeerRemovalTimeout: their
/// hosts no longer exist.
void removeUnresponsivePeers(State &S, Effects &Out) {
  std::erase_if(S.Membership_.Peers_, [&](const auto &Entry) {
    const PeerState &Peer = Entry.second;
    if (Peer.Alive_ || Peer.Row_.Address_.empty() ||
        S.Now_ - Peer.HeartbeatAdvancedAt_ < PeerRemovalTimeout)
      return false;
    Out.push_back(SetPeerAddress{Entry.first, ""});
    logEvent(Out, "peer_forgotten", {{"peer", Entry.first}});
    return true;
  });
}

/// Sends a digest to each seed address of the settings where no peer is known
/// yet. Seeds listen on the same port as this process.
void contactSeeds(State &S, Effects &Out) {
  for (const SocketAddress &Seed : S.Settings_.SeedContacts_) {
    const std::string Address =
        formatAddress({Seed.Ip_, S.Settings_.PeerListen_.Port_});
    const bool Known =
        std::any_of(S.Membership_.Peers_.begin(), S.Membership_.Peers_.end(),
                    [&](const auto &Entry) {
                      return Entry.second.Row_.Address_ == Address;
                    });
    if (Known || Address == formatAddress(S.Settings_.PeerListen_))
      continue;
    DigestMessage Digest;
    Digest.Peers_.push_back(ownPeerRow(S));
    Digest.ControlVersion_ = S.Control_.Version_;
    Out.push_back(SetPeerAddress{Address, Address});
    Out.push_back(SendToPeer{Address, Digest});
  }
}

/// Merges a row that a peer has sent about itself or another process; a newer
/// incarnation or heartbeat replaces the known row.
void mergePeerRow(State &S, const PeerRow &Row, Effects &Out) {
  if (Row.Instance_.Name_ == S.Self_.Name_)
    return;
  updatePeerAddress(S, Row, Out);
  const auto Found = S.Membership_.Peers_.find(Row.Instance_.Name_);
  if (Found == S.Membership_.Peers_.end())
    return; // Neither the settings nor the row has an address for it.
  PeerState &Peer = Found->second;
  const bool NewInstance =
      Row.Instance_.Incarnation_ > Peer.Row_.Instance_.Incarnation_;
  const bool SameInstance =
      Row.Instance_.Incarnation_ == Peer.Row_.Instance_.Incarnation_;
  if (!NewInstance && !(SameInstance && Row.Heartbeat_ > Peer.Row_.Heartbeat_))
    return;
  Peer.Row_ = Row;
  Peer.HeartbeatAdvancedAt_ = S.Now_;
  if (NewInstance)
    Peer.InstanceKnownSince_ = S.Now_;
  S.Membership_.NameByInstanceHash_[instanceHash(Row.Instance_)] =
      Row.Instance_.Name_;
  setAlive(Peer, true, Out);
}

void mergeHeartbeat(State &S, const HeartbeatRow &Heartbeat, Effects &Out) {
  const auto Found =
      S.Membership_.NameByInstanceHash_.find(Heartbeat.InstanceHash_);
  if (Found == S.Membership_.NameByInstanceHash_.end())
    return; // Its row has not arrived yet.
  const auto Known = S.Membership_.Peers_.find(Found->second);
  if (Known == S.Membership_.Peers_.end())
    return; // The peer has been removed since.
  PeerState &Peer = Known->second;
  if (instanceHash(Peer.Row_.Instance_) != Heartbeat.InstanceHash_ ||
      Heartbeat.Heartbeat_ <= Peer.Row_.Heartbeat_)
    return;
  Peer.Row_.Heartbeat_ = Heartbeat.Heartbeat_;
  Peer.HeartbeatAdvancedAt_ = S.Now_;
  setAlive(Peer, true, Out);
}

/// Opens a new connection if a peer has acknowledged none of the last digests:
/// either the link or the peer is dead, and a new connection shows which.
void replaceUnacknowledgedLink(PeerState &To, Effects &Out) {
  if (To.DigestSequenceSent_ - To.SequenceAtReconnect_ <
          MaxUnacknowledgedDigests ||
      To.DigestSequenceSent_ - To.DigestSequenceAcknowledged_ <
          MaxUnacknowledgedDigests)
    return;
  To.SequenceAtReconnect_ = To.DigestSequenceSent_;
  Out.push_back(ReconnectPeer{To.Row_.Instance_.Name_});
}

/// A process that reads the store, or would.
struct ReaderCandidate {
  std::uint64_t Rank_ = 0;
  std::string DataCentre_;
  bool IsSelf_ = false;
};

/// Chooses the first candidate by rank of each data centre, so that the cut of
/// one leaves store readers in others, and then the first of the rest.
/// @return true if this process is among the StoreReaderCount chosen ones
bool isChosenReader(std::vector<ReaderCandidate> Candidates) {
  std::sort(Candidates.begin(), Candidates.end(),
            [](const auto &A, const auto &B) { return A.Rank_ < B.Rank_; });
  std::set<std::string> DataCentres;
  std::stable_partition(Candidates.begin(), Candidates.end(),
                        [&](const ReaderCandidate &C) {
                          return DataCentres.insert(C.DataCentre_).second;
                        });
  const auto Self =
      std::find_if(Candidates.begin(), Candidates.end(),
                   [](const ReaderCandidate &C) { return C.IsSelf_; });
  return Self - Candidates.begin() <
         static_cast<std::ptrdiff_t>(StoreReaderCount);
}

/// Handles each type of message from a peer.
struct MessageVisitor {
  State &S_;
  const InstanceId &Sender_;
  const std::string &SenderName_;
  Effects &Out_;

  void operator()(const DigestMessage &Digest) const {
    for (const PeerRow &Row : Digest.Peers_)
      mergePeerRow(S_, Row, Out_);
    for (const HeartbeatRow &Heartbeat : Digest.Heartbeats_)
      mergeHeartbeat(S_, Heartbeat, Out_);
    const auto Found = S_.Membership_.Peers_.find(SenderName_);
    if (Found == S_.Membership_.Peers_.end())
      return;
    if (Digest.UnixMs_ != 0)
      recordPeerClock(S_, SenderName_, Digest.UnixMs_);
    S_.Membership_.PeakClusterSize_ =
        std::max(S_.Membership_.PeakClusterSize_,
                 static_cast<std::size_t>(std::clamp<std::int64_t>(
                     Digest.ClusterSize_, 0, MaxStatedClusterSize)));
    recordReachedServices(S_, Found->second, Digest.ReachedServices_);
    Found->second.DigestSequenceReceived_ = Digest.Sequence_;
    Found->second.DigestSequenceAcknowledged_ = Digest.Acknowledged_;
    const bool NewerConfig =
        !Digest.Peers_.empty() && S_.Settings_.servesPlatform() &&
        Digest.Peers_.front().ConfigVersion_ > S_.Config_.Version_;
    if (Digest.ControlVersion_ > S_.Control_.Version_ || NewerConfig)
      Out_.push_back(SendToPeer{SenderName_, ControlRequestMessage{}});
    if (Digest.FactsHash_ != factsHash(S_))
      Out_.push_back(SendToPeer{SenderName_, allFacts(S_)});
  }

  void operator()(const FactsMessage &Facts) const {
    // These calls gossip each fact that is new to this process.
    for (const LeavingFact &Fact : Facts.LeavingFacts_)
      markLeaving(S_, Fact.Host_, Fact.Reason_, Out_);
    for (const BadVersionFact &Fact : Facts.BadVersionFacts_)
      rollBackVersion(S_, Fact, Out_);
    mergeEvidence(S_, Facts.Evidence_);
    mergeSuspectFacts(S_, SenderName_, Facts, Out_);
  }

  void operator()(const ControlMessage &Message) const {
    adoptControlSnapshot(S_, Message.Control_, SenderName_, Out_);
  }

  void operator()(const ControlRequestMessage &) const {
    Out_.push_back(
        SendToPeer{SenderName_, ControlMessage{controlSnapshot(S_)}});
  }

  void operator()(const HandoverMessage &Message) const {
    onHandover(S_, SenderName_, Message, Out_);
  }
  void operator()(const HandoverAckMessage &Message) const {
    onHandoverAck(S_, Message, Out_);
  }
  void operator()(const FindCallMessage &Message) const {
    onFindCall(S_, SenderName_, Message, Out_);
  }
  void operator()(const FoundCallMessage &Message) const {
    onFoundCall(S_, Message, Out_);
  }
  void operator()(const SummaryMessage &Message) const {
    onSummary(S_, Sender_, Message, Out_);
  }
  void operator()(const UsageMessage &Message) const {
    onPeerUsage(S_, Sender_, Message.Rows_);
  }
  void operator()(const QuotaMessage &Message) const {
    onQuotaMessage(S_, Sender_, Message, Out_);
  }
  void operator()(const TrialMessage &Message) const {
    onTrialMessage(S_, Sender_, Message, Out_);
  }
  void operator()(const HostsRequestMessage &) const {
    if (S_.HostsVersion_ != 0)
      Out_.push_back(SendToPeer{SenderName_, hostsMessage(S_)});
  }
  void operator()(const HostsMessage &Message) const {
    onHostsMessage(S_, SenderName_, Message, Out_);
  }
};

/// Publishes this process's address in the control log, contacts the seeds and
/// removes unresponsive peers. Used only on the platform.
void tickAddresses(State &S, Effects &Out) {
  MembershipState &Membership = S.Membership_;
  if (!Membership.JoinQueued_ && S.Log_.ReachedTail_) {
    Membership.JoinQueued_ = true;
    queueLogRecord(S, JoinRecord{ownPeerRow(S)});
  }
  const auto Alive = static_cast<std::size_t>(
      std::count_if(Membership.Peers_.begin(), Membership.Peers_.end(),
                    [](const auto &Entry) { return Entry.second.Alive_; }));
  if (Alive + 1 > Membership.PeakClusterSize_)
    Membership.PeakClusterSize_ = Alive + 1;
  if (S.Now_ - Membership.SeedsContactedAt_ < SeedContactInterval)
    return;
  Membership.SeedsContactedAt_ = S.Now_;
  contactSeeds(S, Out);
  removeUnresponsivePeers(S, Out);
}

} // namespace

std::uint32_t instanceHash(const InstanceId &Instance) {
  return static_cast<std::uint32_t>(
      hashText(Instance.Name_, Instance.Incarnation_));
}

std::size_t estimatedClusterSize(const State &S) {
  const std::size_t Known = S.Membership_.Peers_.size() + 1;
  const bool Bootstrapping = S.Now_ - S.StartedAt_ < SeedBootstrapPeriod;
  return std::max(
      {S.Membership_.PeakClusterSize_, Known,
       Bootstrapping ? S.Settings_.SeedContacts_.size() : std::size_t{1}});
}

std::uint64_t storeReaderRank(std::string_view Name) {
  return hashText(Name, StoreReaderRankSeed);
}

bool isStoreReader(const State &S) {
  if (estimatedClusterSize(S) <= StoreReaderCount + 1)
    return true;
  const Millis Timeout =
      isLargeCluster(S) ? LargeClusterStoreReaderTimeout : StoreReaderTimeout;
  std::vector<ReaderCandidate> Candidates{
      {storeReaderRank(S.Self_.Name_), S.Settings_.DataCentre_, true}};
  for (const auto &[Name, Reader] : S.Membership_.StoreReaders_) {
    const auto Known = S.Membership_.Peers_.find(Name);
    const bool IsPeer = Known != S.Membership_.Peers_.end();
    const bool Draining = IsPeer && Known->second.Row_.Draining_;
    if (S.Now_ - Reader.HostsReadAt_ < Timeout && !Draining)
      Candidates.push_back(
          {storeReaderRank(Name),
           IsPeer ? Known->second.Row_.DataCentre_ : std::string(), false});
  }
  return isChosenReader(std::move(Candidates));
}

void applyJoin(State &S, const JoinRecord &R, Effects &Out) {
  updatePeerAddress(S, R.Row_, Out);
  const InstanceId &Joined = R.Row_.Instance_;
  if (Joined.Name_ == S.Self_.Name_ &&
      Joined.Incarnation_ < S.Self_.Incarnation_)
    S.Membership_.KnownFromBefore_ = true;
  const auto Found = S.Membership_.Peers_.find(Joined.Name_);
  if (Found == S.Membership_.Peers_.end() ||
      Joined.Incarnation_ <= Found->second.Row_.Instance_.Incarnation_)
    return;
  // The record does not show whether the process is still alive. Its heartbeats
  // do, and they name the instance by its hash alone.
  PeerState &Peer = Found->second;
  Peer.Row_.Instance_ = Joined;
  Peer.Row_.Heartbeat_ = 0;
  Peer.InstanceKnownSince_ = S.Now_;
  S.Membership_.NameByInstanceHash_[instanceHash(Joined)] = Joined.Name_;
}

void onPeerReceived(State &S, const PeerReceived &E, Effects &Out) {
  incrementCounter(S, "peer_messages");
  std::visit(
      MessageVisitor{S, E.Envelope_.Sender_, E.Envelope_.Sender_.Name_, Out},
      E.Envelope_.Message_);
}

void tickMembership(State &S, Effects &Out) {
  const bool Small = isSmallCluster(S);
  const Millis Timeout =
      Small ? SmallClusterHeartbeatTimeout : LargeClusterHeartbeatTimeout;
  for (auto &[Name, Peer] : S.Membership_.Peers_)
    if (Peer.Alive_ && S.Now_ - Peer.HeartbeatAdvancedAt_ > Timeout)
      setAlive(Peer, false, Out);
  if (S.Settings_.servesPlatform())
    tickAddresses(S, Out);
  const Millis Period =
      Small ? SmallClusterDigestPeriod : LargeClusterDigestPeriod;
  if (S.Now_ - S.Membership_.DigestSentAt_ < Period)
    return;
  S.Membership_.DigestSentAt_ = S.Now_;
  ++S.Membership_.Heartbeat_;
  std::vector<std::string> Local;
  std::vector<std::string> Remote;
  for (const auto &[Name, Peer] : S.Membership_.Peers_)
    (Peer.Row_.DataCentre_ == S.Settings_.DataCentre_ ? Local : Remote)
        .push_back(Name);
  std::vector<std::string> Targets = samplePeers(S, Local, LocalDigestFanout);
  const std::vector<std::string> RemoteTargets = samplePeers(S, Remote, 1);
  Targets.insert(Targets.end(), RemoteTargets.begin(), RemoteTargets.end());
  for (const std::string &Name : Targets) {
    PeerState &To = S.Membership_.Peers_.at(Name);
    replaceUnacknowledgedLink(To, Out);
    Out.push_back(SendToPeer{Name, makeDigest(S, To)});
  }
}

void gossipFacts(State &S, const FactsMessage &Facts, std::string_view Except,
                 Effects &Out) {
  std::vector<std::string> Names = peerNames(S, false);
  std::erase(Names, std::string(Except));
  for (const std::string &Name : samplePeers(S, Names, FactsFanout))
    Out.push_back(SendToPeer{Name, Facts});
}

void sendToEvaluators(State &S, const FactsMessage &Facts, Effects &Out) {
  std::vector<std::string> Names = peerNames(S, true);
  if (Names.size() > MaxSmallClusterPeers) {
    // All processes rank by the same hash, so they choose the same evaluators.
    std::sort(Names.begin(), Names.end(), [](const auto &A, const auto &B) {
      return hashText(A, 3) < hashText(B, 3);
    });
    Names.resize(EvaluatorCount);
  }
  for (const std::string &Name : Names)
    Out.push_back(SendToPeer{Name, Facts});
}

std::vector<std::string> takeoverCandidates(const State &S) {
  std::vector<std::pair<int, std::string>> Ranked;
  for (const auto &[Name, Peer] : S.Membership_.Peers_) {
    if (!Peer.Alive_ || Peer.Row_.Draining_)
      continue;
    const bool SameZone = Peer.Row_.Zone_ == S.Settings_.Zone_ &&
                          Peer.Row_.DataCentre_ == S.Settings_.DataCentre_;
    const bool SameDataCentre =
        Peer.Row_.DataCentre_ == S.Settings_.DataCentre_;
    Ranked.emplace_back(SameZone ? 2 : SameDataCentre ? 0 : 1, Name);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Names;
  for (auto &[Rank, Name] : Ranked)
    Names.push_back(std::move(Name));
  return Names;
}

} // namespace endivewharf
