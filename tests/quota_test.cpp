// Quotas over all processes: nothing within one is refused, nothing much
// beyond it is admitted, whoever restarts or falls silent.
#include "platformfixture.h"

#include "quota.h"

namespace endivewharf {

namespace {

class QuotaTest : public PlatformTest {
protected:
  /// Sends prompts of a size until one is refused.
  double admitted(std::int64_t Tokens, int Most) {
    double Sum = 0;
    for (int I = 0; I < Most; ++I) {
      CallRequest R = request("/check/1", "k1");
      R.PromptTokens_ = Tokens;
      send(std::move(R));
      const auto Refusal = one<RefuseCall>();
      if (Refusal && Refusal->Error_.Kind_ == ErrorKind::OverLimit)
        return Sum;
      Sum += static_cast<double>(Tokens);
    }
    return Sum;
  }

  void peerAdmitted(std::uint64_t Incarnation, double Units) {
    SumsMessage M;
    M.Demands_.push_back({"buyers", Units, Units});
    sums("entry-2", Incarnation, M);
  }
};

} // namespace

TEST_F(QuotaTest, account_beyondItsQuota_isToldWhenToComeBack) {
  EXPECT_LE(admitted(100, 50), 1000);
  const CallError Error = one<RefuseCall>()->Error_;
  EXPECT_EQ(Error.Run_, RunState::NotRun);
  EXPECT_GT(Error.RetryAfter_, 0);
}

TEST_F(QuotaTest, account_withoutLimit_isNeverRefused) {
  for (int I = 0; I < 12; ++I) {
    send("/check/1", "k2");
    const auto Refusal = one<RefuseCall>();
    EXPECT_FALSE(Refusal && Refusal->Error_.Kind_ == ErrorKind::OverLimit);
  }
}

TEST_F(QuotaTest, peer_hasAdmittedTheQuota_nothingIsAdmittedHere) {
  hearOf("entry-2", 9);
  peerAdmitted(9, 0);
  after(3000); // the bucket is full by now
  peerAdmitted(9, 5000);
  EXPECT_EQ(admitted(100, 5), 0);
}

TEST_F(QuotaTest, bucket_firstUsedAfterPeersAdmitted_keepsItsDebt) {
  hearOf("entry-2", 9);
  peerAdmitted(9, 0);
  peerAdmitted(9, 5000);
  EXPECT_EQ(admitted(100, 5), 0);
}

TEST_F(QuotaTest, process_justStarted_owesNothingForItsPeersPast) {
  hearOf("entry-2", 9);
  peerAdmitted(9, 1e6); // over hours
  after(1000);
  EXPECT_GT(admitted(100, 3), 0);
}

TEST_F(QuotaTest, peer_restarted_countsFromNothing) {
  hearOf("entry-2", 9);
  peerAdmitted(9, 50000);
  after(1000);
  hearOf("entry-2", 10);
  peerAdmitted(10, 100);
  EXPECT_GT(admitted(100, 3), 0);
}

TEST_F(QuotaTest, peers_silent_lessOfTheRateIsUsed) {
  hearOf("entry-2", 9);
  peerAdmitted(9, 100);
  after(1000);
  admitted(10, 1);
  after(300);
  EXPECT_EQ(S_.Quotas_.Accounts_.at("buyers").Part_, 1);
  after(4000); // nothing is heard any more
  after(300);
  EXPECT_LE(S_.Quotas_.Accounts_.at("buyers").Part_, 0.5);
}

TEST_F(QuotaTest, manyProcesses_beginAtOnce_admitOneBucketTogether) {
  constexpr std::size_t Processes = 34;
  S_.Membership_.Largest_ = Processes;
  // Each of them begins like this one and has heard nothing yet.
  EXPECT_LE(admitted(10, 100) * Processes, 1000 + Processes * 10);
}

TEST_F(QuotaTest, call_refusedUnrun_isGivenBack) {
  CallRequest R = request("/booking/1", "k1");
  R.PromptTokens_ = 200;
  send(std::move(R));
  const auto Start = one<StartAttempt>();
  ASSERT_TRUE(Start);
  const double Before = S_.Quotas_.Accounts_.at("buyers").Units_;
  for (int I = 0; I < 40 && !one<RefuseCall>(); ++I) {
    const auto Next = one<StartAttempt>();
    if (Next)
      fail(Next->Attempt_, AttemptFailure::Refused);
    else
      after(50);
  }
  ASSERT_TRUE(one<RefuseCall>());
  EXPECT_EQ(one<RefuseCall>()->Error_.Run_, RunState::NotRun);
  EXPECT_GE(S_.Quotas_.Accounts_.at("buyers").Units_, Before + 199);
}

} // namespace endivewharf
