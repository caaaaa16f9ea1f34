// Heartbeats with digests, rumours of facts, and pulls of control state. Full
// digests go within a data centre; across, a few rows are enough.
#include "membership.h"

#include "aggregators.h"
#include "controllog.h"
#include "diagnostics.h"
#include "evidence.h"
#include "handover.h"
#include "release.h"
#include "storereaders.h"
#include "summaries.h"
#include "upstreams.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf {

namespace {

// A small group tells everybody everything; a large one takes its time.
constexpr Millis SmallClusterDigestPeriod = 500;       // ms between digests
constexpr Millis LargeClusterDigestPeriod = 1000;      // ms
constexpr Millis SmallClusterHeartbeatTimeout = 3000;  // ms without a heartbeat
constexpr Millis LargeClusterHeartbeatTimeout = 12000; // ms
constexpr std::uint64_t MaxUnacknowledgedDigests = 4;  // digests to one peer
constexpr std::size_t MaxSmallClusterPeers = 6;  // peers who all get everything
constexpr std::size_t LocalDigestFanout = 2;     // in our data centre, else
constexpr std::size_t FactsFanout = 5;           // peers told of a new fact
constexpr std::size_t StoreReaderCount = 3;      // of the platform's store
constexpr std::uint64_t StoreReaderRankSeed = 4; // of the hash that ranks them
constexpr Millis StoreReaderTimeout = 2500;      // ms without a word of reading
constexpr Millis SeedBootstrapPeriod =
    5000; // ms after the start; then peers are known
constexpr Millis SeedContactInterval =
    500; // ms between digests to unknown seeds
constexpr Millis PeerRemovalTimeout = 20000; // ms of silence
constexpr std::size_t EvaluatorCount = 3;    // processes that collect evidence
constexpr Millis NewInstancePeriod = 15000;  // ms for which a life is new
constexpr std::size_t MaxNewInstanceRows = 12; // new lives' rows in a digest
constexpr std::size_t MaxRemoteHeartbeats =
    40;                                     // heartbeats from afar in a digest
constexpr std::size_t MaxExtraPeerRows = 2; // other members' rows in a digest

std::vector<std::string> peerNames(const State &S, bool OnlyAlive) {
  std::vector<std::string> Names;
  for (const auto &[Name, M] : S.Membership_.Peers_)
    if (!OnlyAlive || M.Alive_)
      Names.push_back(Name);
  return Names;
}

/// A few peers by chance, all of them in a small group.
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

/// Hash of all facts; equal for equal sets.
std::uint64_t factsHash(const State &S) {
  std::uint64_t Sum = 0;
  for (const auto &[Key, Fact] : S.LeavingFacts_)
    Sum += hashText(Key, 1);
  for (const auto &[Key, Fact] : S.Release_.BadVersionFacts_)
    Sum += hashText(fmt::format("{}|{}", Key.first, Key.second), 2);
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

void addRandomRows(State &S, std::vector<const PeerRow *> &From,
                   std::size_t Wanted, DigestMessage &Digest) {
  for (std::size_t I = 0; I < std::min(Wanted, From.size()); ++I) {
    std::swap(From[I], From[I + nextRandom(S) % (From.size() - I)]);
    Digest.Peers_.push_back(*From[I]);
  }
}

/// Heartbeats of some members of other data centres: what a process hears of
/// those directly is too little to tell whether they live.
void addRemoteHeartbeats(State &S, DigestMessage &Digest) {
  std::vector<const PeerRow *> Far;
  for (const auto &[Name, M] : S.Membership_.Peers_)
    if (M.Alive_ && M.Row_.DataCentre_ != S.Settings_.DataCentre_)
      Far.push_back(&M.Row_);
  for (std::size_t I = 0; I < std::min(MaxRemoteHeartbeats, Far.size()); ++I) {
    std::swap(Far[I], Far[I + nextRandom(S) % (Far.size() - I)]);
    Digest.Heartbeats_.push_back(
        {instanceHash(Far[I]->Instance_), Far[I]->Heartbeat_});
  }
}

DigestMessage makeDigest(State &S, PeerState &To) {
  DigestMessage Digest;
  Digest.Peers_.push_back(ownPeerRow(S));
  const bool Near = To.Row_.DataCentre_ == S.Settings_.DataCentre_;
  std::vector<const PeerRow *> Known;
  std::vector<const PeerRow *> New;
  for (const auto &[Name, M] : S.Membership_.Peers_) {
    if (!M.Alive_ || Name == To.Row_.Instance_.Name_)
      continue;
    Known.push_back(&M.Row_);
    if (!Near || M.Row_.DataCentre_ != S.Settings_.DataCentre_)
      continue;
    Digest.Heartbeats_.push_back(
        {instanceHash(M.Row_.Instance_), M.Row_.Heartbeat_});
    if (S.Now_ - M.InstanceKnownSince_ < NewInstancePeriod)
      New.push_back(&M.Row_);
  }
  if (S.Settings_.servesPlatform())
    addRemoteHeartbeats(S, Digest);
  // Rows are needed once in a life: those of new lives go first, a few others
  // at random.
  addRandomRows(S, New, MaxNewInstanceRows, Digest);
  addRandomRows(S, Known, MaxExtraPeerRows, Digest);
  Digest.ControlVersion_ = S.Control_.Version_;
  Digest.FactsHash_ = factsHash(S);
  Digest.UnixMs_ = S.Settings_.servesPlatform() ? correctedUnixMs(S) : 0;
  Digest.Sequence_ = ++To.SequenceSent_;
  Digest.Acknowledged_ = To.SequenceReceived_;
  return Digest;
}

FactsMessage allFacts(const State &S) {
  FactsMessage Facts;
  for (const auto &[Key, Fact] : S.LeavingFacts_)
    Facts.LeavingFacts_.push_back(Fact);
  for (const auto &[Key, Fact] : S.Release_.BadVersionFacts_)
    Facts.BadVersionFacts_.push_back(Fact);
  return Facts;
}

void setAlive(PeerState &M, bool Alive, Effects &Out) {
  if (M.Alive_ == Alive)
    return;
  M.Alive_ = Alive;
  logEvent(Out, Alive ? "peer_alive" : "peer_silent",
           {{"peer", M.Row_.Instance_.Name_}});
}

/// Adds a process that was not known, or has moved to another address.
void updatePeerAddress(State &S, const PeerRow &Row, Effects &Out) {
  if (Row.Address_.empty() || Row.Instance_.Name_ == S.Self_.Name_)
    return;
  PeerState &M = S.Membership_.Peers_[Row.Instance_.Name_];
  const bool Older = Row.Instance_.Incarnation_ < M.Row_.Instance_.Incarnation_;
  if (Older || M.Row_.Address_ == Row.Address_)
    return;
  if (M.Row_.Instance_.Name_.empty()) {
    M.Row_.Instance_.Name_ = Row.Instance_.Name_;
    M.Row_.DataCentre_ = Row.DataCentre_;
    M.Row_.Zone_ = Row.Zone_;
    M.HeartbeatAdvancedAt_ = S.Now_;
  }
  M.Row_.Address_ = Row.Address_;
  Out.push_back(SetPeerAddress{Row.Instance_.Name_, Row.Address_});
  logEvent(Out, "peer_address",
           {{"peer", Row.Instance_.Name_}, {"address", Row.Address_}});
}

/// Forgets processes that have been silent for long: their hosts are gone.
void removeUnresponsivePeers(State &S, Effects &Out) {
  std::erase_if(S.Membership_.Peers_, [&](const auto &Entry) {
    const PeerState &M = Entry.second;
    if (M.Alive_ || M.Row_.Address_.empty() ||
        S.Now_ - M.HeartbeatAdvancedAt_ < PeerRemovalTimeout)
      return false;
    Out.push_back(SetPeerAddress{Entry.first, ""});
    logEvent(Out, "peer_forgotten", {{"peer", Entry.first}});
    return true;
  });
}

/// Until somebody is known, digests go to the addresses of the settings.
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
    DigestMessage Greeting;
    Greeting.Peers_.push_back(ownPeerRow(S));
    Greeting.ControlVersion_ = S.Control_.Version_;
    Out.push_back(SetPeerAddress{Address, Address});
    Out.push_back(SendToPeer{Address, Greeting});
  }
}

void mergePeerRow(State &S, const PeerRow &Row, Effects &Out) {
  if (Row.Instance_.Name_ == S.Self_.Name_)
    return;
  updatePeerAddress(S, Row, Out);
  const auto Found = S.Membership_.Peers_.find(Row.Instance_.Name_);
  if (Found == S.Membership_.Peers_.end())
    return; // not in our settings: no address to reach it at
  PeerState &M = Found->second;
  const bool NewLife =
      Row.Instance_.Incarnation_ > M.Row_.Instance_.Incarnation_;
  const bool SameLife =
      Row.Instance_.Incarnation_ == M.Row_.Instance_.Incarnation_;
  if (!NewLife && !(SameLife && Row.Heartbeat_ > M.Row_.Heartbeat_))
    return;
  M.Row_ = Row;
  M.HeartbeatAdvancedAt_ = S.Now_;
  if (NewLife)
    M.InstanceKnownSince_ = S.Now_;
  S.Membership_.NameByInstanceHash_[instanceHash(Row.Instance_)] =
      Row.Instance_.Name_;
  setAlive(M, true, Out);
}

void mergeHeartbeat(State &S, const HeartbeatRow &B, Effects &Out) {
  const auto Found = S.Membership_.NameByInstanceHash_.find(B.InstanceHash_);
  if (Found == S.Membership_.NameByInstanceHash_.end())
    return; // its row will come
  const auto Known = S.Membership_.Peers_.find(Found->second);
  if (Known == S.Membership_.Peers_.end())
    return; // forgotten since
  PeerState &M = Known->second;
  if (instanceHash(M.Row_.Instance_) != B.InstanceHash_ ||
      B.Heartbeat_ <= M.Row_.Heartbeat_)
    return;
  M.Row_.Heartbeat_ = B.Heartbeat_;
  M.HeartbeatAdvancedAt_ = S.Now_;
  setAlive(M, true, Out);
}

/// A link over which a peer has got none of the last digests is dead or the
/// peer is; a new connection tells.
void replaceUnacknowledgedLink(PeerState &To, Effects &Out) {
  if (To.SequenceSent_ - To.SequenceAtReconnect_ < MaxUnacknowledgedDigests ||
      To.SequenceSent_ - To.SequenceAcknowledged_ < MaxUnacknowledgedDigests)
    return;
  To.SequenceAtReconnect_ = To.SequenceSent_;
  Out.push_back(ReconnectPeer{To.Row_.Instance_.Name_});
}

/// One visitor for all messages of a peer.
struct MessageVisitor {
  State &S_;
  const InstanceId &Sender_;
  const std::string &SenderName_;
  Effects &Out_;

  void operator()(const DigestMessage &D) const {
    for (const PeerRow &Row : D.Peers_)
      mergePeerRow(S_, Row, Out_);
    for (const HeartbeatRow &B : D.Heartbeats_)
      mergeHeartbeat(S_, B, Out_);
    const auto Found = S_.Membership_.Peers_.find(SenderName_);
    if (Found == S_.Membership_.Peers_.end())
      return;
    if (D.UnixMs_ != 0)
      recordPeerClock(S_, SenderName_, D.UnixMs_);
    Found->second.SequenceReceived_ = D.Sequence_;
    Found->second.SequenceAcknowledged_ = D.Acknowledged_;
    const bool NewerConfig =
        !D.Peers_.empty() && S_.Settings_.servesPlatform() &&
        D.Peers_.front().ConfigVersion_ > S_.Config_.Version_;
    if (D.ControlVersion_ > S_.Control_.Version_ || NewerConfig)
      Out_.push_back(SendToPeer{SenderName_, ControlRequestMessage{}});
    if (D.FactsHash_ != factsHash(S_))
      Out_.push_back(SendToPeer{SenderName_, allFacts(S_)});
  }

  void operator()(const FactsMessage &F) const {
    // Whatever is new spreads further from within these calls.
    for (const LeavingFact &Fact : F.LeavingFacts_)
      markLeaving(S_, Fact.Host_, Fact.Reason_, Out_);
    for (const BadVersionFact &Fact : F.BadVersionFacts_)
      rollBackVersion(S_, Fact, Out_);
    mergeEvidence(S_, F.Evidence_);
  }

  void operator()(const ControlMessage &M) const {
    adoptControlSnapshot(S_, M.Control_, SenderName_, Out_);
  }

  void operator()(const ControlRequestMessage &) const {
    Out_.push_back(
        SendToPeer{SenderName_, ControlMessage{controlSnapshot(S_)}});
  }

  void operator()(const HandoverMessage &M) const {
    onHandover(S_, SenderName_, M, Out_);
  }
  void operator()(const HandoverAckMessage &M) const {
    onHandoverAck(S_, M, Out_);
  }
  void operator()(const FindCallMessage &M) const {
    onFindCall(S_, SenderName_, M, Out_);
  }
  void operator()(const FoundCallMessage &M) const { onFoundCall(S_, M, Out_); }
  void operator()(const SummaryMessage &M) const {
    onSummary(S_, Sender_, M, Out_);
  }
  void operator()(const UsageMessage &M) const {
    onPeerUsage(S_, Sender_, M.Rows_);
  }
  void operator()(const HostsRequestMessage &) const {
    if (S_.HostsVersion_ != 0)
      Out_.push_back(SendToPeer{SenderName_, hostsMessage(S_)});
  }
  void operator()(const HostsMessage &M) const { onHostsMessage(S_, M, Out_); }
};

/// Addresses on the platform: told to all by the log, greeted by the settings.
void tickAddresses(State &S, Effects &Out) {
  MembershipState &All = S.Membership_;
  if (!All.Joined_ && S.Log_.ReachedTail_) {
    All.Joined_ = true;
    queueLogRecord(S, JoinRecord{ownPeerRow(S)});
  }
  const auto Alive = static_cast<std::size_t>(
      std::count_if(All.Peers_.begin(), All.Peers_.end(),
                    [](const auto &Entry) { return Entry.second.Alive_; }));
  if (Alive + 1 > All.PeakClusterSize_)
    All.PeakClusterSize_ = Alive + 1;
  if (S.Now_ - All.SeedsContactedAt_ < SeedContactInterval)
    return;
  All.SeedsContactedAt_ = S.Now_;
  contactSeeds(S, Out);
  removeUnresponsivePeers(S, Out);
}

} // namespace

std::uint32_t instanceHash(const InstanceId &L) {
  return static_cast<std::uint32_t>(hashText(L.Name_, L.Incarnation_));
}

std::size_t estimatedClusterSize(const State &S) {
  const std::size_t Known = S.Membership_.Peers_.size() + 1;
  const bool New = S.Now_ - S.StartedAt_ < SeedBootstrapPeriod;
  return std::max({S.Membership_.PeakClusterSize_, Known,
                   New ? S.Settings_.SeedContacts_.size() : std::size_t{1}});
}

std::uint64_t storeReaderRank(std::string_view Name) {
  return hashText(Name, StoreReaderRankSeed);
}

bool isStoreReader(const State &S) {
  if (estimatedClusterSize(S) <= StoreReaderCount + 1)
    return true;
  const std::uint64_t Own = storeReaderRank(S.Self_.Name_);
  const Millis Silence =
      isLargeCluster(S) ? LargeClusterStoreReaderTimeout : StoreReaderTimeout;
  const auto Before = std::count_if(
      S.Membership_.StoreReaders_.begin(), S.Membership_.StoreReaders_.end(),
      [&](const auto &Entry) {
        const auto Known = S.Membership_.Peers_.find(Entry.first);
        const bool Draining =
            Known != S.Membership_.Peers_.end() && Known->second.Row_.Draining_;
        return S.Now_ - Entry.second.LocalReadAt_ < Silence && !Draining &&
               storeReaderRank(Entry.first) < Own;
      });
  return Before < static_cast<std::ptrdiff_t>(StoreReaderCount);
}

void applyJoin(State &S, const JoinRecord &R, Effects &Out) {
  updatePeerAddress(S, R.Row_, Out);
  const InstanceId &Joined = R.Row_.Instance_;
  const auto Found = S.Membership_.Peers_.find(Joined.Name_);
  if (Found == S.Membership_.Peers_.end() ||
      Joined.Incarnation_ <= Found->second.Row_.Instance_.Incarnation_)
    return;
  // Whether it still lives is for its heartbeats to tell, which name its life
  // by the hash alone.
  PeerState &M = Found->second;
  M.Row_.Instance_ = Joined;
  M.Row_.Heartbeat_ = 0;
  M.InstanceKnownSince_ = S.Now_;
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
  const Millis Silence =
      Small ? SmallClusterHeartbeatTimeout : LargeClusterHeartbeatTimeout;
  for (auto &[Name, M] : S.Membership_.Peers_)
    if (M.Alive_ && S.Now_ - M.HeartbeatAdvancedAt_ > Silence)
      setAlive(M, false, Out);
  if (S.Settings_.servesPlatform())
    tickAddresses(S, Out);
  const Millis Period =
      Small ? SmallClusterDigestPeriod : LargeClusterDigestPeriod;
  if (S.Now_ - S.Membership_.DigestSentAt_ < Period)
    return;
  S.Membership_.DigestSentAt_ = S.Now_;
  ++S.Membership_.Heartbeat_;
  std::vector<std::string> Near;
  std::vector<std::string> Far;
  for (const auto &[Name, M] : S.Membership_.Peers_)
    (M.Row_.DataCentre_ == S.Settings_.DataCentre_ ? Near : Far)
        .push_back(Name);
  std::vector<std::string> Targets = samplePeers(S, Near, LocalDigestFanout);
  const std::vector<std::string> Across = samplePeers(S, Far, 1);
  Targets.insert(Targets.end(), Across.begin(), Across.end());
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
    // The same few for everybody, by rank.
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
  for (const auto &[Name, M] : S.Membership_.Peers_) {
    if (!M.Alive_ || M.Row_.Draining_)
      continue;
    const bool SameZone = M.Row_.Zone_ == S.Settings_.Zone_ &&
                          M.Row_.DataCentre_ == S.Settings_.DataCentre_;
    const bool SameDataCentre = M.Row_.DataCentre_ == S.Settings_.DataCentre_;
    Ranked.emplace_back(SameZone ? 2 : SameDataCentre ? 0 : 1, Name);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Names;
  for (auto &[Rank, Name] : Ranked)
    Names.push_back(std::move(Name));
  return Names;
}

} // namespace endivewharf
