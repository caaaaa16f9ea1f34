// Tests of membership: heartbeats, replication of facts, and links that are
// replaced when messages stop arriving.
#include "fixture.h"
#include "membership.h"
#include "upstreams.h"

namespace endivewharf::fakes {

namespace {
using MembershipTest = WorldTest;
} // namespace

TEST_F(MembershipTest, peers_allAlive_areSeenAlive) {
  World &W = startProcesses();
  for (int I = 0; I < 4; ++I)
    for (const auto &[Name, Peer] : W.state(I).Membership_.Peers_)
      EXPECT_TRUE(Peer.Alive_) << I << " " << Name;
}

TEST_F(MembershipTest, peer_dies_isSeenSilent) {
  World &W = startProcesses();
  W.killEntry(3);
  W.runFor(4500);
  EXPECT_FALSE(W.state(0).Membership_.Peers_.at("entry-3").Alive_);
}

TEST_F(MembershipTest, link_silentOneWay_isReplaced) {
  World &W = startProcesses();
  std::set<std::string> Replaced;
  W.OnEffect_ = [&](int Entry, const Effect &E) {
    if (Entry == 0 && std::holds_alternative<ReconnectPeer>(E))
      Replaced.insert(std::get<ReconnectPeer>(E).Peer_);
  };
  // Messages from entry-0 no longer arrive in dc1.
  W.setDataCentreIsolated("dc1", true);
  W.runFor(4000);
  EXPECT_EQ(Replaced.count("entry-1"), 1U);
  EXPECT_EQ(Replaced.count("entry-2"), 0U);
}

TEST_F(MembershipTest, fact_withoutLoss_isToldAtOnce) {
  World &W = startProcesses();
  W.runFor(130); // Between two digests.
  const InstanceId Host = W.Engines_[0].Row_.Host_;
  W.runOnState(
      0, [&](State &S, Effects &Out) { markLeaving(S, Host, "test", Out); });
  W.runFor(10); // Far less than the period of the digests.
  for (int I = 0; I < 4; ++I)
    EXPECT_TRUE(isLeaving(W.state(I), Host)) << I;
}

TEST_F(MembershipTest, fact_heavyLoss_arrivesEverywhere) {
  WorldOptions Options;
  Options.PeerMessageLossFraction_ = 0.5;
  World &W = startProcesses(Options);
  W.setPlatformUnreachable("dc1", true);
  W.setPlatformUnreachable("dc2", true);
  W.publishReclaimNotice(W.Engines_[0].Row_.Host_, 5000);
  W.runFor(4000);
  for (int I = 0; I < 4; ++I)
    EXPECT_EQ(W.state(I).LeavingFacts_.size(), 1U) << I;
}

TEST_F(MembershipTest, takeover_peersInOtherZones_comeFirst) {
  World &W = startProcesses();
  // entry-3 is in entry-0's data centre but in another zone.
  EXPECT_EQ(takeoverCandidates(W.state(0)).front(), "entry-3");
}

} // namespace endivewharf::fakes
