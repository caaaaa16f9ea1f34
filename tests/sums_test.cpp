// What a process that does not follow the store does about followers' words.
#include "platformfixture.h"

#include "membership.h"

namespace endivewharf {

namespace {

class SumsTest : public PlatformTest {
protected:
  static constexpr int Peers = 12;
  static constexpr std::uint64_t OtherList = 77;

  /// Hears all peers, each with a hash and a version of the host list.
  void hearAll(std::uint64_t Hash, LogOffset Version) {
    for (int I = 2; I < 2 + Peers; ++I) {
      const std::string Name = "entry-" + std::to_string(I);
      hearOf(Name, 9);
      SumsMessage M;
      M.HostsHash_ = Hash;
      M.HostsVersion_ = Version;
      sums(Name, 9, M);
    }
  }

  /// @return how often the host list was read in that time
  int readsIn(Millis Time, std::uint64_t Hash, LogOffset Version) {
    int Reads = 0;
    for (Millis Passed = 0; Passed < Time; Passed += 50) {
      if (Passed % 500 == 0)
        hearAll(Hash, Version);
      after(50);
      if (one<ReadHosts>()) {
        ++Reads;
        feed(HostsRead{hosts(), OwnVersion});
      }
    }
    return Reads;
  }

  /// This process has a list and does not follow the store.
  void becomeBystander() {
    hearAll(0, 0);
    after(6000);
    hearAll(OtherList, 1);
    ASSERT_FALSE(followsStore(S_));
    readsIn(1000, OtherList, OwnVersion);
  }

  static constexpr LogOffset OwnVersion = 40;
};

} // namespace

TEST_F(SumsTest, hosts_changedAtAPeer_areAskedOfItAtOnce) {
  becomeBystander();
  SumsMessage M;
  M.ListHash_ = OtherList;
  M.ListVersion_ = OwnVersion + 1;
  sums("entry-2", 9, M);
  ASSERT_TRUE(one<SendToPeer>());
  EXPECT_EQ(one<SendToPeer>()->Peer_, "entry-2");
  EXPECT_TRUE(
      std::holds_alternative<HostsRequestMessage>(one<SendToPeer>()->Message_));
  std::vector<HostRow> More = hosts();
  More.push_back(host("o9", "orders", "a", 1));
  feed(PeerReceived{{{"entry-2", 9}, HostsMessage{OwnVersion + 1, More, -1}}});
  EXPECT_EQ(S_.Upstreams_.size(), hosts().size() + 1);
}

TEST_F(SumsTest, hosts_changedAndNoPeerSendsThem_areReadSoon) {
  becomeBystander();
  EXPECT_GE(readsIn(2500, OtherList, OwnVersion + 1), 1);
}

TEST_F(SumsTest, hosts_otherListOfAFollowerBehind_isNoReasonToRead) {
  becomeBystander();
  EXPECT_EQ(readsIn(1000, OtherList, OwnVersion - 1), 0);
}

TEST_F(SumsTest, followers_withoutTheStore_hostsAreReadHereSoon) {
  becomeBystander();
  EXPECT_GE(readsIn(1500, 0, 0), 1);
}

TEST_F(SumsTest, followers_withoutTheStore_areReplaced) {
  becomeBystander();
  hearAll(0, 0);
  EXPECT_TRUE(followsStore(S_));
}

TEST_F(SumsTest, follower_withoutTheStore_confirmsNoList) {
  hearOf("entry-2", 9);
  const auto Told = [&] {
    for (int I = 0; I < 20; ++I) {
      after(50);
      for (const Effect &E : All_)
        if (const auto *To = std::get_if<SendToPeers>(&E))
          if (const auto *M = std::get_if<SumsMessage>(&To->Message_))
            return M->HostsHash_;
    }
    return OtherList;
  };
  feed(HostsRead{hosts(), OwnVersion});
  EXPECT_NE(Told(), 0U);
  feed(HostsReadFailed{});
  after(1200);
  EXPECT_EQ(Told(), 0U);
}

TEST_F(SumsTest, hostGone_whileTheStoreTurnedOnlyUsAway_getsNothing) {
  feed(HostsReadFailed{});
  for (int I = 0; I < 80; ++I) {
    after(50);
    if (I % 5 == 0)
      hearAll(OtherList, 1);
  }
  std::vector<HostRow> Less = hosts();
  Less.erase(Less.begin());
  feed(HostsRead{Less, OwnVersion});
  after(50);
  EXPECT_FALSE(S_.Upstreams_[0].Listed_);
}

TEST_F(SumsTest, hostGone_whileTheStoreWasAwayForAll_isKeptForAMoment) {
  feed(HostsReadFailed{});
  for (int I = 0; I < 80; ++I) {
    after(50);
    if (I % 5 == 0)
      hearAll(0, 0);
  }
  std::vector<HostRow> Less = hosts();
  Less.erase(Less.begin());
  feed(HostsRead{Less, OwnVersion});
  after(50);
  EXPECT_TRUE(S_.Upstreams_[0].Listed_);
  after(3000);
  feed(HostsRead{Less, OwnVersion});
  EXPECT_FALSE(S_.Upstreams_[0].Listed_);
}

TEST_F(SumsTest, ownLog_recordsInQuickSuccession_areReadTogether) {
  const std::int64_t Before = S_.Counters_.Values_["own_log_reads"];
  for (int I = 0; I < 40; ++I) {
    after(50);
    if (!S_.Log_.Reading_)
      continue;
    LogRead Page{0, 0, true, {}};
    Page.Entries_.push_back({NextOffset_++, WorkRecord{}});
    Page.Next_ = NextOffset_;
    feed(Page);
  }
  const std::int64_t Reads = S_.Counters_.Values_["own_log_reads"] - Before;
  EXPECT_GE(Reads, 3);
  EXPECT_LE(Reads, 6);
}

TEST_F(SumsTest, store_unreachable_bystanderAsksSeldom) {
  becomeBystander();
  int Reads = 0;
  for (int I = 0; I < 80; ++I) {
    after(50);
    if (I % 10 == 0)
      hearAll(OtherList, 1);
    if (S_.Operator_.Reading_) {
      ++Reads;
      feed(OperatorReadFailed{});
    }
  }
  EXPECT_LE(Reads, 5);
}

} // namespace endivewharf
