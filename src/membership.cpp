// Heartbeats with digests, rumours of facts, and pulls of control state. Full
// digests go within a data centre; across, a few rows are enough.
#include "membership.h"

#include "collectors.h"
#include "controllog.h"
#include "evidence.h"
#include "followers.h"
#include "handover.h"
#include "record.h"
#include "release.h"
#include "sums.h"
#include "upstreams.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf {

namespace {

// A small group tells everybody everything; a large one takes its time.
constexpr Millis SmallGroupPeriod = 500;       // ms between digests
constexpr Millis LargeGroupPeriod = 1000;      // ms
constexpr Millis SmallGroupSilence = 3000;     // ms without a heartbeat
constexpr Millis LargeGroupSilence = 12000;    // ms
constexpr std::uint64_t MaxUnacknowledged = 4; // digests to one peer
constexpr std::size_t SmallGroup = 6;          // peers who all get everything
constexpr std::size_t DigestTargets = 2;       // in our data centre, else
constexpr std::size_t RumourTargets = 5;       // peers told of a new fact
constexpr std::size_t Followers = 3;           // of the platform's store
constexpr std::uint64_t FollowerSeed = 4;      // of the hash that ranks them
constexpr Millis FollowerSilence = 2500;       // ms without a word of reading
constexpr Millis SeedsCount = 5000;  // ms after the start; then peers are known
constexpr Millis GreetPeriod = 500;  // ms between digests to unknown seeds
constexpr Millis ForgetTime = 20000; // ms of silence
constexpr std::size_t Judges = 3;    // processes that collect evidence
constexpr Millis NewsTime = 15000;   // ms for which a life is new
constexpr std::size_t NewRows = 12;  // new lives' rows in a digest
constexpr std::size_t FarBeats = 40; // heartbeats from afar in a digest
constexpr std::size_t ExtraRows = 2; // other members' rows in a digest

std::vector<std::string> peerNames(const State &S, bool OnlyAlive) {
  std::vector<std::string> Names;
  for (const auto &[Name, M] : S.Membership_.Members_)
    if (!OnlyAlive || M.Alive_)
      Names.push_back(Name);
  return Names;
}

/// A few peers by chance, all of them in a small group.
std::vector<std::string> somePeers(State &S, std::vector<std::string> Names,
                                   std::size_t Wanted) {
  if (Names.size() <= std::max(Wanted, SmallGroup))
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
  for (const auto &[Key, Fact] : S.Leaving_)
    Sum += hashText(Key, 1);
  for (const auto &[Key, Fact] : S.Release_.Bad_)
    Sum += hashText(fmt::format("{}|{}", Key.first, Key.second), 2);
  return Sum;
}

bool isSmallGroup(const State &S) {
  return S.Membership_.Members_.size() <= SmallGroup;
}

MemberRow ownRow(const State &S) {
  MemberRow Row;
  Row.Life_ = S.Self_;
  Row.DataCentre_ = S.Settings_.DataCentre_;
  Row.Zone_ = S.Settings_.Zone_;
  Row.Heartbeat_ = S.Membership_.Heartbeat_;
  Row.ConfigVersion_ = S.Config_.Version_;
  Row.Draining_ = S.Stage_ != Stage::Serving;
  if (S.Settings_.onPlatform())
    Row.Address_ = format(S.Settings_.PeerListen_);
  return Row;
}

void addRandomRows(State &S, std::vector<const MemberRow *> &From,
                   std::size_t Wanted, DigestMessage &Digest) {
  for (std::size_t I = 0; I < std::min(Wanted, From.size()); ++I) {
    std::swap(From[I], From[I + nextRandom(S) % (From.size() - I)]);
    Digest.Members_.push_back(*From[I]);
  }
}

/// Heartbeats of some members of other data centres: what a process hears of
/// those directly is too little to tell whether they live.
void addFarBeats(State &S, DigestMessage &Digest) {
  std::vector<const MemberRow *> Far;
  for (const auto &[Name, M] : S.Membership_.Members_)
    if (M.Alive_ && M.Row_.DataCentre_ != S.Settings_.DataCentre_)
      Far.push_back(&M.Row_);
  for (std::size_t I = 0; I < std::min(FarBeats, Far.size()); ++I) {
    std::swap(Far[I], Far[I + nextRandom(S) % (Far.size() - I)]);
    Digest.Beats_.push_back({lifeHash(Far[I]->Life_), Far[I]->Heartbeat_});
  }
}

DigestMessage makeDigest(State &S, Member &To) {
  DigestMessage Digest;
  Digest.Members_.push_back(ownRow(S));
  const bool Near = To.Row_.DataCentre_ == S.Settings_.DataCentre_;
  std::vector<const MemberRow *> Known;
  std::vector<const MemberRow *> New;
  for (const auto &[Name, M] : S.Membership_.Members_) {
    if (!M.Alive_ || Name == To.Row_.Life_.Name_)
      continue;
    Known.push_back(&M.Row_);
    if (!Near || M.Row_.DataCentre_ != S.Settings_.DataCentre_)
      continue;
    Digest.Beats_.push_back({lifeHash(M.Row_.Life_), M.Row_.Heartbeat_});
    if (S.Now_ - M.KnownSince_ < NewsTime)
      New.push_back(&M.Row_);
  }
  if (S.Settings_.onPlatform())
    addFarBeats(S, Digest);
  // Rows are needed once in a life: those of new lives go first, a few others
  // at random.
  addRandomRows(S, New, NewRows, Digest);
  addRandomRows(S, Known, ExtraRows, Digest);
  Digest.ControlVersion_ = S.Control_.Version_;
  Digest.FactsHash_ = factsHash(S);
  Digest.UnixMs_ = S.Settings_.onPlatform() ? trueUnixMs(S) : 0;
  Digest.Sequence_ = ++To.SequenceSent_;
  Digest.Acknowledged_ = To.SequenceSeen_;
  return Digest;
}

FactsMessage allFacts(const State &S) {
  FactsMessage Facts;
  for (const auto &[Key, Fact] : S.Leaving_)
    Facts.Leaving_.push_back(Fact);
  for (const auto &[Key, Fact] : S.Release_.Bad_)
    Facts.Bad_.push_back(Fact);
  return Facts;
}

void setAlive(Member &M, bool Alive, Effects &Out) {
  if (M.Alive_ == Alive)
    return;
  M.Alive_ = Alive;
  logEvent(Out, Alive ? "peer_alive" : "peer_silent",
           {{"peer", M.Row_.Life_.Name_}});
}

/// Adds a process that was not known, or has moved to another address.
void learnAddress(State &S, const MemberRow &Row, Effects &Out) {
  if (Row.Address_.empty() || Row.Life_.Name_ == S.Self_.Name_)
    return;
  Member &M = S.Membership_.Members_[Row.Life_.Name_];
  const bool Older = Row.Life_.Incarnation_ < M.Row_.Life_.Incarnation_;
  if (Older || M.Row_.Address_ == Row.Address_)
    return;
  if (M.Row_.Life_.Name_.empty()) {
    M.Row_.Life_.Name_ = Row.Life_.Name_;
    M.Row_.DataCentre_ = Row.DataCentre_;
    M.Row_.Zone_ = Row.Zone_;
    M.AdvancedAt_ = S.Now_;
  }
  M.Row_.Address_ = Row.Address_;
  Out.push_back(KnowPeer{Row.Life_.Name_, Row.Address_});
  logEvent(Out, "peer_address",
           {{"peer", Row.Life_.Name_}, {"address", Row.Address_}});
}

/// Forgets processes that have been silent for long: their hosts are gone.
void forgetSilent(State &S, Effects &Out) {
  std::erase_if(S.Membership_.Members_, [&](const auto &Entry) {
    const Member &M = Entry.second;
    if (M.Alive_ || M.Row_.Address_.empty() ||
        S.Now_ - M.AdvancedAt_ < ForgetTime)
      return false;
    Out.push_back(KnowPeer{Entry.first, ""});
    logEvent(Out, "peer_forgotten", {{"peer", Entry.first}});
    return true;
  });
}

/// Until somebody is known, digests go to the addresses of the settings.
void greetSeeds(State &S, Effects &Out) {
  for (const SocketAddress &Seed : S.Settings_.Seeds_) {
    const std::string Address =
        format({Seed.Ip_, S.Settings_.PeerListen_.Port_});
    const bool Known =
        std::any_of(S.Membership_.Members_.begin(),
                    S.Membership_.Members_.end(), [&](const auto &Entry) {
                      return Entry.second.Row_.Address_ == Address;
                    });
    if (Known || Address == format(S.Settings_.PeerListen_))
      continue;
    DigestMessage Greeting;
    Greeting.Members_.push_back(ownRow(S));
    Greeting.ControlVersion_ = S.Control_.Version_;
    Out.push_back(KnowPeer{Address, Address});
    Out.push_back(SendToPeer{Address, Greeting});
  }
}

void mergeRow(State &S, const MemberRow &Row, Effects &Out) {
  if (Row.Life_.Name_ == S.Self_.Name_)
    return;
  learnAddress(S, Row, Out);
  const auto Found = S.Membership_.Members_.find(Row.Life_.Name_);
  if (Found == S.Membership_.Members_.end())
    return; // not in our settings: no address to reach it at
  Member &M = Found->second;
  const bool NewLife = Row.Life_.Incarnation_ > M.Row_.Life_.Incarnation_;
  const bool SameLife = Row.Life_.Incarnation_ == M.Row_.Life_.Incarnation_;
  if (!NewLife && !(SameLife && Row.Heartbeat_ > M.Row_.Heartbeat_))
    return;
  M.Row_ = Row;
  M.AdvancedAt_ = S.Now_;
  if (NewLife)
    M.KnownSince_ = S.Now_;
  S.Membership_.NameByLife_[lifeHash(Row.Life_)] = Row.Life_.Name_;
  setAlive(M, true, Out);
}

void mergeBeat(State &S, const Beat &B, Effects &Out) {
  const auto Found = S.Membership_.NameByLife_.find(B.LifeHash_);
  if (Found == S.Membership_.NameByLife_.end())
    return; // its row will come
  const auto Known = S.Membership_.Members_.find(Found->second);
  if (Known == S.Membership_.Members_.end())
    return; // forgotten since
  Member &M = Known->second;
  if (lifeHash(M.Row_.Life_) != B.LifeHash_ ||
      B.Heartbeat_ <= M.Row_.Heartbeat_)
    return;
  M.Row_.Heartbeat_ = B.Heartbeat_;
  M.AdvancedAt_ = S.Now_;
  setAlive(M, true, Out);
}

/// A link over which a peer has got none of the last digests is dead or the
/// peer is; a new connection tells.
void replaceSilentLink(Member &To, Effects &Out) {
  if (To.SequenceSent_ - To.LinkSince_ < MaxUnacknowledged ||
      To.SequenceSent_ - To.Acknowledged_ < MaxUnacknowledged)
    return;
  To.LinkSince_ = To.SequenceSent_;
  Out.push_back(ReconnectPeer{To.Row_.Life_.Name_});
}

/// One visitor for all messages of a peer.
struct MessageVisitor {
  State &S_;
  const Life &Sender_;
  const std::string &From_;
  Effects &Out_;

  void operator()(const DigestMessage &D) const {
    for (const MemberRow &Row : D.Members_)
      mergeRow(S_, Row, Out_);
    for (const Beat &B : D.Beats_)
      mergeBeat(S_, B, Out_);
    const auto Found = S_.Membership_.Members_.find(From_);
    if (Found == S_.Membership_.Members_.end())
      return;
    if (D.UnixMs_ != 0)
      noteClock(S_, From_, D.UnixMs_);
    Found->second.SequenceSeen_ = D.Sequence_;
    Found->second.Acknowledged_ = D.Acknowledged_;
    const bool NewerConfig =
        !D.Members_.empty() && S_.Settings_.onPlatform() &&
        D.Members_.front().ConfigVersion_ > S_.Config_.Version_;
    if (D.ControlVersion_ > S_.Control_.Version_ || NewerConfig)
      Out_.push_back(SendToPeer{From_, ControlRequestMessage{}});
    if (D.FactsHash_ != factsHash(S_))
      Out_.push_back(SendToPeer{From_, allFacts(S_)});
  }

  void operator()(const FactsMessage &F) const {
    // Whatever is new spreads further from within these calls.
    for (const LeavingFact &Fact : F.Leaving_)
      markLeaving(S_, Fact.Host_, Fact.Reason_, Out_);
    for (const BadVersionFact &Fact : F.Bad_)
      markBad(S_, Fact, Out_);
    mergeEvidence(S_, F.Evidence_);
  }

  void operator()(const ControlMessage &M) const {
    adoptControl(S_, M.Control_, From_, Out_);
  }

  void operator()(const ControlRequestMessage &) const {
    Out_.push_back(SendToPeer{From_, ControlMessage{controlSnapshot(S_)}});
  }

  void operator()(const HandoverMessage &M) const {
    onHandover(S_, From_, M, Out_);
  }
  void operator()(const HandoverAckMessage &M) const {
    onHandoverAck(S_, M, Out_);
  }
  void operator()(const FindCallMessage &M) const {
    onFindCall(S_, From_, M, Out_);
  }
  void operator()(const FoundCallMessage &M) const { onFoundCall(S_, M, Out_); }
  void operator()(const SumsMessage &M) const { onSums(S_, Sender_, M, Out_); }
  void operator()(const UsageMessage &M) const {
    onUsageTold(S_, Sender_, M.Rows_);
  }
  void operator()(const HostsRequestMessage &) const {
    if (S_.HostsVersion_ != 0)
      Out_.push_back(SendToPeer{From_, hostsMessage(S_)});
  }
  void operator()(const HostsMessage &M) const { onHostsTold(S_, M, Out_); }
};

/// Addresses on the platform: told to all by the log, greeted by the settings.
void tickAddresses(State &S, Effects &Out) {
  MembershipState &All = S.Membership_;
  if (!All.Joined_ && S.Log_.SawTail_) {
    All.Joined_ = true;
    appendRecord(S, JoinRecord{ownRow(S)});
  }
  const auto Alive = static_cast<std::size_t>(
      std::count_if(All.Members_.begin(), All.Members_.end(),
                    [](const auto &Entry) { return Entry.second.Alive_; }));
  if (Alive + 1 > All.Largest_)
    All.Largest_ = Alive + 1;
  if (S.Now_ - All.GreetedAt_ < GreetPeriod)
    return;
  All.GreetedAt_ = S.Now_;
  greetSeeds(S, Out);
  forgetSilent(S, Out);
}

} // namespace

std::uint32_t lifeHash(const Life &L) {
  return static_cast<std::uint32_t>(hashText(L.Name_, L.Incarnation_));
}

std::size_t groupSize(const State &S) {
  const std::size_t Known = S.Membership_.Members_.size() + 1;
  const bool New = S.Now_ - S.StartedAt_ < SeedsCount;
  return std::max({S.Membership_.Largest_, Known,
                   New ? S.Settings_.Seeds_.size() : std::size_t{1}});
}

std::uint64_t followerRank(std::string_view Name) {
  return hashText(Name, FollowerSeed);
}

bool followsStore(const State &S) {
  if (groupSize(S) <= Followers + 1)
    return true;
  const std::uint64_t Own = followerRank(S.Self_.Name_);
  const Millis Silence =
      isLargeGroup(S) ? LargeGroupFollowerSilence : FollowerSilence;
  const auto Before = std::count_if(
      S.Membership_.Followers_.begin(), S.Membership_.Followers_.end(),
      [&](const auto &Entry) {
        const auto Known = S.Membership_.Members_.find(Entry.first);
        const bool Draining = Known != S.Membership_.Members_.end() &&
                              Known->second.Row_.Draining_;
        return S.Now_ - Entry.second.HeardAt_ < Silence && !Draining &&
               followerRank(Entry.first) < Own;
      });
  return Before < static_cast<std::ptrdiff_t>(Followers);
}

void onJoin(State &S, const JoinRecord &R, Effects &Out) {
  learnAddress(S, R.Row_, Out);
  const Life &Joined = R.Row_.Life_;
  const auto Found = S.Membership_.Members_.find(Joined.Name_);
  if (Found == S.Membership_.Members_.end() ||
      Joined.Incarnation_ <= Found->second.Row_.Life_.Incarnation_)
    return;
  // Whether it still lives is for its heartbeats to tell, which name its life
  // by the hash alone.
  Member &M = Found->second;
  M.Row_.Life_ = Joined;
  M.Row_.Heartbeat_ = 0;
  M.KnownSince_ = S.Now_;
  S.Membership_.NameByLife_[lifeHash(Joined)] = Joined.Name_;
}

void onPeerReceived(State &S, const PeerReceived &E, Effects &Out) {
  count(S, "peer_messages");
  std::visit(MessageVisitor{S, E.Envelope_.From_, E.Envelope_.From_.Name_, Out},
             E.Envelope_.Message_);
}

void tickMembership(State &S, Effects &Out) {
  const bool Small = isSmallGroup(S);
  const Millis Silence = Small ? SmallGroupSilence : LargeGroupSilence;
  for (auto &[Name, M] : S.Membership_.Members_)
    if (M.Alive_ && S.Now_ - M.AdvancedAt_ > Silence)
      setAlive(M, false, Out);
  if (S.Settings_.onPlatform())
    tickAddresses(S, Out);
  const Millis Period = Small ? SmallGroupPeriod : LargeGroupPeriod;
  if (S.Now_ - S.Membership_.DigestAt_ < Period)
    return;
  S.Membership_.DigestAt_ = S.Now_;
  ++S.Membership_.Heartbeat_;
  std::vector<std::string> Near;
  std::vector<std::string> Far;
  for (const auto &[Name, M] : S.Membership_.Members_)
    (M.Row_.DataCentre_ == S.Settings_.DataCentre_ ? Near : Far)
        .push_back(Name);
  std::vector<std::string> Targets = somePeers(S, Near, DigestTargets);
  const std::vector<std::string> Across = somePeers(S, Far, 1);
  Targets.insert(Targets.end(), Across.begin(), Across.end());
  for (const std::string &Name : Targets) {
    Member &To = S.Membership_.Members_.at(Name);
    replaceSilentLink(To, Out);
    Out.push_back(SendToPeer{Name, makeDigest(S, To)});
  }
}

void spreadFacts(State &S, const FactsMessage &Facts, std::string_view Except,
                 Effects &Out) {
  std::vector<std::string> Names = peerNames(S, false);
  std::erase(Names, std::string(Except));
  for (const std::string &Name : somePeers(S, Names, RumourTargets))
    Out.push_back(SendToPeer{Name, Facts});
}

void sendToJudges(State &S, const FactsMessage &Facts, Effects &Out) {
  std::vector<std::string> Names = peerNames(S, true);
  if (Names.size() > SmallGroup) {
    // The same few for everybody, by rank.
    std::sort(Names.begin(), Names.end(), [](const auto &A, const auto &B) {
      return hashText(A, 3) < hashText(B, 3);
    });
    Names.resize(Judges);
  }
  for (const std::string &Name : Names)
    Out.push_back(SendToPeer{Name, Facts});
}

std::vector<std::string> takeoverOrder(const State &S) {
  std::vector<std::pair<int, std::string>> Ranked;
  for (const auto &[Name, M] : S.Membership_.Members_) {
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
