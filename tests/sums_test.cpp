// Tests of a process that is not a store reader: how it uses the summaries
// that its peers publish.
#include "platformfixture.h"

#include "membership.h"

namespace endivewharf {

namespace {

class SumsTest : public PlatformTest {
protected:
  static constexpr int PeerCount = 12;
  static constexpr std::uint64_t OtherListHash = 77;

  /// Receives a digest and a summary from every peer.
  /// @param Hash hash of the host list that the peers have confirmed; 0 if they
  /// cannot read the store
  /// @param Version version of that list
  void receiveAllSummaries(std::uint64_t Hash, LogOffset Version) {
    for (int I = 2; I < 2 + PeerCount; ++I) {
      const std::string Name = "entry-" + std::to_string(I);
      receiveDigestFrom(Name, 9, std::string(1, "abcd"[I % 4]));
      SummaryMessage Summary;
      Summary.HostsHash_ = Hash;
      Summary.HostsVersion_ = Version;
      if (Hash != 0)
        Summary.StoreReaders_.push_back(makeReaderRow(Name, Summary));
      receiveSummary(Name, 9, Summary);
    }
  }

  /// Row of a store reader whose reads have never failed.
  StoreReaderRow makeReaderRow(const std::string &Name,
                               const SummaryMessage &Summary) const {
    StoreReaderRow Row;
    Row.Name_ = Name;
    Row.HostsHash_ = Summary.HostsHash_;
    Row.HostsVersion_ = Summary.HostsVersion_;
    Row.HostsReadAt_ = Now_;
    Row.ConfigAge_ = -1;
    Row.HostsReadableFor_ = 60000;
    return Row;
  }

  /// Advances the time; all peers publish this hash and version every 500 ms.
  /// @return number of times that this process has read the host list
  int countHostReads(Millis Time, std::uint64_t Hash, LogOffset Version) {
    int Reads = 0;
    for (Millis Passed = 0; Passed < Time; Passed += 50) {
      if (Passed % 500 == 0)
        receiveAllSummaries(Hash, Version);
      advanceTime(50);
      if (firstEffect<ReadHosts>()) {
        ++Reads;
        reduceEvent(HostsRead{makeHosts(), OwnListVersion});
      }
    }
    return Reads;
  }

  /// Brings this process into a state in which it has a host list and is not a
  /// store reader.
  void becomeNonReader() {
    receiveAllSummaries(0, 0);
    advanceTime(6000);
    receiveAllSummaries(OtherListHash, 1);
    ASSERT_FALSE(isStoreReader(State_));
    countHostReads(1000, OtherListHash, OwnListVersion);
  }

  static constexpr LogOffset OwnListVersion = 40;
};

} // namespace

TEST_F(SumsTest, hosts_changedAtAPeer_areAskedOfItAtOnce) {
  becomeNonReader();
  SummaryMessage Summary;
  Summary.UsedHostsHash_ = OtherListHash;
  Summary.UsedHostsVersion_ = OwnListVersion + 1;
  receiveSummary("entry-2", 9, Summary);
  ASSERT_TRUE(firstEffect<SendToPeer>());
  EXPECT_EQ(firstEffect<SendToPeer>()->Peer_, "entry-2");
  EXPECT_TRUE(std::holds_alternative<HostsRequestMessage>(
      firstEffect<SendToPeer>()->Message_));
  std::vector<HostRow> Extended = makeHosts();
  Extended.push_back(makeHost("o9", "orders", "a", 1));
  reduceEvent(PeerReceived{
      {{"entry-2", 9}, HostsMessage{OwnListVersion + 1, Extended, {}, 0}}});
  EXPECT_EQ(State_.Upstreams_.size(), makeHosts().size() + 1);
}

TEST_F(SumsTest, hosts_changedAndNoPeerSendsThem_areReadSoon) {
  becomeNonReader();
  EXPECT_GE(countHostReads(2500, OtherListHash, OwnListVersion + 1), 1);
}

TEST_F(SumsTest, hosts_otherListOfAFollowerBehind_isNoReasonToRead) {
  becomeNonReader();
  EXPECT_EQ(countHostReads(1000, OtherListHash, OwnListVersion - 1), 0);
}

TEST_F(SumsTest, followers_withoutTheStore_hostsAreReadHereSoon) {
  becomeNonReader();
  EXPECT_GE(countHostReads(1500, 0, 0), 1);
}

TEST_F(SumsTest, followers_withoutTheStore_areReplaced) {
  becomeNonReader();
  receiveAllSummaries(0, 0);
  EXPECT_TRUE(isStoreReader(State_));
}

TEST_F(SumsTest, followers_inOneOtherDataCentre_areJoinedByThisProcess) {
  for (int I = 2; I < 2 + PeerCount; ++I)
    receiveDigestFrom("entry-" + std::to_string(I), 9, "b");
  advanceTime(6000);
  for (int I = 2; I < 2 + PeerCount; ++I) {
    const std::string Name = "entry-" + std::to_string(I);
    SummaryMessage Summary;
    Summary.HostsHash_ = OtherListHash;
    Summary.HostsVersion_ = 1;
    Summary.StoreReaders_.push_back(makeReaderRow(Name, Summary));
    receiveSummary(Name, 9, Summary);
  }
  EXPECT_TRUE(isStoreReader(State_));
}

TEST_F(SumsTest, follower_withoutTheStore_confirmsNoList) {
  receiveDigestFrom("entry-2", 9);
  const auto PublishedHash = [&] {
    for (int I = 0; I < 20; ++I) {
      advanceTime(50);
      for (const Effect &E : LastEffects_)
        if (const auto *Send = std::get_if<SendToPeers>(&E))
          if (const auto *Summary =
                  std::get_if<SummaryMessage>(&Send->Message_))
            return Summary->HostsHash_;
    }
    return OtherListHash;
  };
  reduceEvent(HostsRead{makeHosts(), OwnListVersion});
  EXPECT_NE(PublishedHash(), 0U);
  reduceEvent(HostsReadFailed{});
  advanceTime(1200);
  EXPECT_EQ(PublishedHash(), 0U);
}

TEST_F(SumsTest, hostGone_whileTheStoreTurnedOnlyUsAway_getsNothing) {
  reduceEvent(HostsReadFailed{});
  for (int I = 0; I < 80; ++I) {
    advanceTime(50);
    if (I % 5 == 0)
      receiveAllSummaries(OtherListHash, 1);
  }
  std::vector<HostRow> Remaining = makeHosts();
  Remaining.erase(Remaining.begin());
  reduceEvent(HostsRead{Remaining, OwnListVersion});
  advanceTime(50);
  EXPECT_FALSE(State_.Upstreams_[0].Listed_);
}

TEST_F(SumsTest, hostGone_whileTheStoreWasAwayForAll_isKeptForAMoment) {
  reduceEvent(HostsReadFailed{});
  for (int I = 0; I < 80; ++I) {
    advanceTime(50);
    if (I % 5 == 0)
      receiveAllSummaries(0, 0);
    if (I % 20 == 0)
      reduceEvent(HostsReadFailed{});
  }
  std::vector<HostRow> Remaining = makeHosts();
  Remaining.erase(Remaining.begin());
  reduceEvent(HostsRead{Remaining, OwnListVersion});
  advanceTime(50);
  EXPECT_TRUE(State_.Upstreams_[0].Listed_);
  advanceTime(3000);
  reduceEvent(HostsRead{Remaining, OwnListVersion});
  EXPECT_FALSE(State_.Upstreams_[0].Listed_);
}

TEST_F(SumsTest, ownLog_recordsInQuickSuccession_areReadTogether) {
  const std::int64_t Before = State_.Counters_.Values_["own_log_reads"];
  for (int I = 0; I < 40; ++I) {
    advanceTime(50);
    if (!State_.Log_.Reading_)
      continue;
    LogRead Page{0, 0, true, {}};
    Page.Entries_.push_back({NextOffset_++, WorkRecord{}});
    Page.NextOffset_ = NextOffset_;
    reduceEvent(Page);
  }
  const std::int64_t Reads = State_.Counters_.Values_["own_log_reads"] - Before;
  EXPECT_GE(Reads, 3);
  EXPECT_LE(Reads, 6);
}

TEST_F(SumsTest, store_unreachable_bystanderAsksSeldom) {
  becomeNonReader();
  int Reads = 0;
  for (int I = 0; I < 80; ++I) {
    advanceTime(50);
    if (I % 10 == 0)
      receiveAllSummaries(OtherListHash, 1);
    if (State_.OperatorLog_.Reading_) {
      ++Reads;
      reduceEvent(OperatorLogReadFailed{});
    }
  }
  EXPECT_LE(Reads, 5);
}

} // namespace endivewharf
