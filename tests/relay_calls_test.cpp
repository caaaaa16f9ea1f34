// Tests of one process that passes calls to a peer, and of the peer: what is
// checked and counted where, and that a call is passed on only once.
#include "platformfixture.h"

namespace endivewharf {

namespace {

class RelayCallsTest : public PlatformTest {
protected:
  /// Lets a peer state that it reaches the service `orders`.
  void learnPeer(const std::string &Name) {
    DigestMessage Digest;
    PeerRow Row;
    Row.Instance_ = {Name, 9};
    Row.DataCentre_ = "b";
    Row.Address_ = "10.0.0.2:7000";
    Row.Heartbeat_ = ++Heartbeat_;
    Digest.Peers_.push_back(Row);
    Digest.ReachedServices_ = {"orders"};
    reduceEvent(PeerReceived{{{Name, 9}, Digest}});
  }

  /// Leaves connects to both upstreams of `orders` unanswered.
  void cutOff() {
    State_.Settings_.RelayListen_ = {"10.0.0.1", 7001};
    sendRequest("/check/1");
    for (int I = 0; I < 2; ++I) {
      const auto Start = firstEffect<StartAttempt>();
      ASSERT_TRUE(Start.has_value());
      failAttempt(Start->Attempt_, AttemptFailure::NotSent);
    }
  }

  /// @return the attempt that the last event started for a path
  std::optional<StartAttempt> startFor(const std::string &Path) const {
    for (const Effect &E : LastEffects_)
      if (const auto *Start = std::get_if<StartAttempt>(&E);
          Start != nullptr && Start->Path_ == Path)
        return *Start;
    return std::nullopt;
  }

  /// A request that a peer has passed on.
  CallRequest relayed(const std::string &Path) {
    CallRequest R = makeRequest(Path, "");
    R.Relayed_ = RelayInfo{"entry-2", "sales", 1};
    return R;
  }
};

} // namespace

TEST_F(RelayCallsTest, booking_ownLinksUnanswered_goesToThePeerThatReaches) {
  cutOff();
  learnPeer("entry-2");
  sendRequest("/booking/1");
  const auto Start = startFor("/booking/1");
  ASSERT_TRUE(Start.has_value());
  ASSERT_TRUE(Start->Relay_.has_value());
  EXPECT_EQ(Start->Address_, "http://10.0.0.2:7001");
  EXPECT_EQ(Start->Relay_->Account_, "sales");
  EXPECT_EQ(Start->Relay_->MaxUpstreams_, 1);
}

TEST_F(RelayCallsTest, booking_peerHasNotRunIt_isToldSo) {
  cutOff();
  learnPeer("entry-2");
  sendRequest("/booking/1");
  const auto Start = startFor("/booking/1");
  ASSERT_TRUE(Start.has_value());
  failAttempt(Start->Attempt_, AttemptFailure::Refused);
  const auto Error = firstEffect<SendError>();
  ASSERT_TRUE(Error.has_value());
  EXPECT_EQ(Error->Error_.RunState_, RunState::NotRun);
}

TEST_F(RelayCallsTest, booking_peerBreaksOff_mayHaveRun) {
  cutOff();
  learnPeer("entry-2");
  sendRequest("/booking/1");
  const auto Start = startFor("/booking/1");
  ASSERT_TRUE(Start.has_value());
  failAttempt(Start->Attempt_, AttemptFailure::ConnectionBroken);
  const auto Error = firstEffect<SendError>();
  ASSERT_TRUE(Error.has_value());
  EXPECT_EQ(Error->Error_.RunState_, RunState::Unknown);
}

TEST_F(RelayCallsTest, relayedCall_ownLinksUnanswered_isNotPassedOnAgain) {
  cutOff();
  learnPeer("entry-2");
  sendRequest(relayed("/booking/1"));
  const auto Start = startFor("/booking/1");
  EXPECT_TRUE(!Start.has_value() || !Start->Relay_.has_value());
}

TEST_F(RelayCallsTest,
       relayedCall_withoutAKey_runsForTheAccountAndIsNotCounted) {
  sendRequest(relayed("/check/1"));
  const auto Start = firstEffect<StartAttempt>();
  ASSERT_TRUE(Start.has_value());
  EXPECT_FALSE(Start->Relay_.has_value());
  EXPECT_EQ(Start->Account_, "sales");
  reduceEvent(ServiceAnswer{Start->Attempt_, 200, "", "whole", {}});
  EXPECT_TRUE(firstEffect<SendRoutedAnswer>().has_value());
  EXPECT_TRUE(State_.Usage_.OwnCounts_.empty());
}

TEST_F(RelayCallsTest, answer_ofAnyUpstream_endsTheCut) {
  cutOff();
  learnPeer("entry-2");
  advanceTime(1100);
  sendRequest("/check/2");
  const auto Start = startFor("/check/2");
  ASSERT_TRUE(Start.has_value());
  EXPECT_FALSE(Start->Relay_.has_value());
  EXPECT_TRUE(Start->FreshConnection_);
  reduceEvent(ServiceAnswer{Start->Attempt_, 200, "", "whole", {}});
  sendRequest("/check/3");
  const auto Own = startFor("/check/3");
  ASSERT_TRUE(Own.has_value());
  EXPECT_FALSE(Own->Relay_.has_value());
}

} // namespace endivewharf
