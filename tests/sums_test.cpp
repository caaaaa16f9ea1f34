// What a process that does not follow the store does about followers' words.
#include "platformfixture.h"

#include "membership.h"
#include "sums.h"

namespace endivewharf {

namespace {

class SumsTest : public PlatformTest {
protected:
  static constexpr int Peers = 12;
  static constexpr std::uint64_t OtherList = 77;

  /// Hears all peers, each with a hash of the host list; 0: it has none.
  void hearAll(std::uint64_t HostsHash) {
    for (int I = 2; I < 2 + Peers; ++I) {
      const std::string Name = "entry-" + std::to_string(I);
      hearOf(Name, 9);
      SumsMessage M;
      M.HostsHash_ = HostsHash;
      sums(Name, 9, M);
    }
  }

  /// @return how often the host list was read in that time
  int readsIn(Millis Time, std::uint64_t HostsHash) {
    int Reads = 0;
    for (Millis Passed = 0; Passed < Time; Passed += 50) {
      if (Passed % 500 == 0)
        hearAll(HostsHash);
      after(50);
      if (one<ReadHosts>()) {
        ++Reads;
        feed(HostsRead{hosts()});
      }
    }
    return Reads;
  }

  /// The hash that a follower with our list tells.
  std::uint64_t ownHash() {
    State Follower = S_;
    Follower.Membership_.Members_.clear();
    Follower.Membership_.Largest_ = 1;
    Follower.StartedAt_ = -60000;
    Follower.Membership_.Members_["entry-2"].Alive_ = true;
    Effects Out;
    Follower.Now_ += 60000;
    Follower.Usage_.SumsSentAt_ = 0;
    tickSums(Follower, Out);
    for (const Effect &E : Out)
      if (const auto *Sent = std::get_if<SendToPeer>(&E))
        if (const auto *M = std::get_if<SumsMessage>(&Sent->Message_))
          return M->HostsHash_;
    return 0;
  }
};

} // namespace

TEST_F(SumsTest, hosts_confirmedByFollowers_areNotReadAgain) {
  hearAll(0);
  after(6000);
  hearAll(0);
  ASSERT_FALSE(followsStore(S_));
  const std::uint64_t Own = ownHash();
  ASSERT_NE(Own, 0U);
  readsIn(1000, Own);
  EXPECT_EQ(readsIn(5000, Own), 0);
}

TEST_F(SumsTest, hosts_changedAtAFollower_areReadAgain) {
  hearAll(0);
  after(6000);
  readsIn(1000, ownHash());
  EXPECT_GE(readsIn(1000, OtherList), 1);
}

TEST_F(SumsTest, hosts_oldListOfAFollowerBehind_isNoReasonToRead) {
  hearAll(0);
  after(6000);
  const std::uint64_t Old = ownHash();
  readsIn(1000, Old);
  std::vector<HostRow> More = hosts();
  More.push_back(host("e3", "engines", "c", 1));
  feed(HostsRead{More});
  after(300);
  hearAll(Old);
  after(50);
  EXPECT_FALSE(one<ReadHosts>());
}

TEST_F(SumsTest, store_unreachable_bystanderAsksSeldom) {
  hearAll(0);
  after(6000);
  hearAll(0);
  ASSERT_FALSE(followsStore(S_));
  int Reads = 0;
  for (int I = 0; I < 80; ++I) {
    after(50);
    if (I % 10 == 0)
      hearAll(0);
    if (S_.Operator_.Reading_) {
      ++Reads;
      feed(OperatorReadFailed{});
    }
  }
  EXPECT_LE(Reads, 5);
}

} // namespace endivewharf
