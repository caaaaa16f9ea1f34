// Tests quotas that all processes share: demand within a quota is not refused,
// and little more than the quota is admitted, also when processes restart or
// summaries stop arriving.
#include "platformfixture.h"
#include "platformgroup.h"

#include "membership.h"
#include "quotaexchange.h"

#include <cmath>
#include <memory>
#include <numeric>
#include <random>
#include <utility>

namespace endivewharf {

namespace {

class QuotaTest : public PlatformTest {
protected:
  /// Sends prompts until one exceeds the quota or waits for units of a peer.
  /// Each one that is dispatched is answered.
  /// @param Tokens size of each prompt
  /// @return tokens admitted by then
  double admittedTokens(std::int64_t Tokens, int MaxRequests) {
    double Sum = 0;
    for (int I = 0; I < MaxRequests; ++I) {
      CallRequest R = makeRequest("/check/1", "k1");
      R.PromptTokens_ = Tokens;
      sendRequest(std::move(R));
      const auto Start = firstEffect<StartAttempt>();
      if (!Start)
        return Sum;
      Sum += static_cast<double>(Tokens);
      reduceEvent(ServiceAnswer{Start->Attempt_, 200, "", "ok", {}});
    }
    return Sum;
  }

  /// Makes a peer known to which requests for the account's units go.
  void knowHomePeer() {
    std::string Name = "entry-2";
    for (int I = 3; quotaPeerIsNot(Name); ++I) {
      ASSERT_LT(I, 20);
      Name = "entry-" + std::to_string(I);
    }
    HomePeer_ = Name;
  }

  /// Introduces a peer and expects that it is the account's quota peer.
  bool quotaPeerIsNot(const std::string &Name) {
    receiveDigestFrom(Name, 9);
    receiveSummary(Name, 9, {});
    return quotaPeer(State_, "buyers") != Name;
  }

  /// Sends a prompt of the account.
  /// @return the requests for units that it caused
  std::vector<QuotaRequestRow> requestedUnits(std::int64_t Tokens) {
    CallRequest R = makeRequest("/check/1", "k1");
    R.PromptTokens_ = Tokens;
    sendRequest(std::move(R));
    return sentRequests();
  }

  /// Requests for units among the effects of the last event.
  std::vector<QuotaRequestRow> sentRequests() const {
    std::vector<QuotaRequestRow> Rows;
    for (const Effect &E : LastEffects_)
      if (const auto *Send = std::get_if<SendToPeer>(&E))
        if (const auto *Message = std::get_if<QuotaMessage>(&Send->Message_))
          Rows.insert(Rows.end(), Message->Requests_.begin(),
                      Message->Requests_.end());
    return Rows;
  }

  /// Receives the answer to a request for units.
  void receiveGrant(const QuotaRequestRow &Request, double Units,
                    Millis RetryAfter = 0) {
    QuotaMessage Message;
    Message.Grants_.push_back({Request.Account_, Units, Request.Call_,
                               Request.OriginHash_, RetryAfter});
    reduceEvent(PeerReceived{{{HomePeer_, 9}, Message}});
  }

  QuotaState &buyers() { return State_.Quotas_.Accounts_.at("buyers"); }

  std::string HomePeer_;
};

} // namespace

TEST_F(QuotaTest, account_beyondItsQuota_isToldWhenToComeBack) {
  advanceTime(3000); // The bucket is full after this time.
  EXPECT_LE(admittedTokens(100, 50), 1000);
  ASSERT_TRUE(firstEffect<SendError>());
  const CallError Error = firstEffect<SendError>()->Error_;
  EXPECT_EQ(Error.RunState_, RunState::NotRun);
  EXPECT_GT(Error.RetryAfter_, 0);
}

TEST_F(QuotaTest, request_largerThanTheBucket_isAdmittedByAFullOne) {
  for (int I = 0; I < 100; ++I)
    advanceTime(50);
  EXPECT_EQ(admittedTokens(1500, 1), 1500);
  EXPECT_EQ(admittedTokens(1500, 1), 0);
}

TEST_F(QuotaTest, account_withoutLimit_isNeverRefused) {
  for (int I = 0; I < 12; ++I) {
    sendRequest("/check/1", "k2");
    const auto Refusal = firstEffect<SendError>();
    EXPECT_FALSE(Refusal && Refusal->Error_.Kind_ == ErrorKind::OverLimit);
  }
}

TEST_F(QuotaTest, peer_refusesTheUnits_nothingIsAdmittedHere) {
  knowHomePeer();
  const auto Requests = requestedUnits(5000);
  ASSERT_EQ(Requests.size(), 1U);
  EXPECT_EQ(Requests[0].Units_, 5000);
  receiveGrant(Requests[0], 0, 700);
  const auto Refusal = firstEffect<SendError>();
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Error_.Kind_, ErrorKind::OverLimit);
  EXPECT_EQ(Refusal->Error_.RunState_, RunState::NotRun);
  EXPECT_EQ(Refusal->Error_.RetryAfter_, 700);
  EXPECT_EQ(admittedTokens(5000, 1), 0);
}

TEST_F(QuotaTest, peer_grantsTheUnits_callIsDispatchedAndChargedOnce) {
  knowHomePeer();
  const double Before = buyers().AvailableUnits_;
  const auto Requests = requestedUnits(5000);
  ASSERT_EQ(Requests.size(), 1U);
  receiveGrant(Requests[0], 5000);
  EXPECT_TRUE(firstEffect<StartAttempt>());
  EXPECT_NEAR(buyers().AvailableUnits_, Before, 1);
  EXPECT_EQ(buyers().Admitted_, 5000);
}

TEST_F(QuotaTest, grant_afterTheCallHasEnded_isGivenBackOnce) {
  knowHomePeer();
  const auto Requests = requestedUnits(5000);
  ASSERT_EQ(Requests.size(), 1U);
  reduceEvent(CallerDisconnected{NextCallId_ - 1});
  receiveGrant(Requests[0], 5000);
  EXPECT_FALSE(firstEffect<StartAttempt>());
  double Deposited = 0;
  for (int I = 0; I < 20; ++I) {
    advanceTime(50);
    for (const Effect &E : LastEffects_)
      if (const auto *Send = std::get_if<SendToPeer>(&E))
        if (const auto *Message = std::get_if<QuotaMessage>(&Send->Message_))
          for (const QuotaDepositRow &Row : Message->Deposits_)
            Deposited += Row.Units_;
  }
  EXPECT_GE(Deposited, 4000);
  EXPECT_LE(Deposited, 5000 + 1000);
}

TEST_F(QuotaTest, peer_doesNotAnswer_callIsRefusedSoonAndUnrun) {
  knowHomePeer();
  ASSERT_EQ(requestedUnits(5000).size(), 1U);
  std::optional<SendError> Refusal;
  for (int I = 0; I < 14 && !Refusal; ++I) {
    advanceTime(50);
    Refusal = firstEffect<SendError>();
  }
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Error_.RunState_, RunState::NotRun);
  EXPECT_GT(Refusal->Error_.RetryAfter_, 0);
}

TEST_F(QuotaTest, process_new_hasNoPartOfTheRateUntilAllCountIt) {
  knowHomePeer();
  advanceTime(1000);
  EXPECT_LE(buyers().AvailableUnits_, 0);
}

TEST_F(QuotaTest, process_restarted_hasItsPartOfTheRateAtOnce) {
  PeerRow Row;
  Row.Instance_ = {"entry-1", 1};
  Row.Address_ = "10.0.0.1:7000";
  startProcess(2, {JoinRecord{Row}});
  receiveDigestFrom("entry-2", 9);
  advanceTime(250);
  const double Before = buyers().AvailableUnits_;
  advanceTime(250);
  EXPECT_NEAR(buyers().AvailableUnits_ - Before, 0.5 * 1000 * 0.25, 1);
}

TEST_F(QuotaTest, peers_silent_onlyTheOwnPartOfTheRateIsUsed) {
  receiveDigestFrom("entry-2", 9);
  advanceTime(6000); // This process is no longer new.
  double Admitted = 0;
  for (Millis Passed = 0; Passed < 4000; Passed += 50) {
    advanceTime(50);
    Admitted += admittedTokens(10, 10);
  }
  // Half of the rate for 4 s, and half of a bucket.
  EXPECT_LE(Admitted, 0.5 * 1000 * 4 + 0.5 * 1000);
  EXPECT_GE(Admitted, 0.9 * 0.5 * 1000 * 4);
}

TEST_F(QuotaTest, process_frozenForLong_keepsItsOwnPartOfTheBucketOnly) {
  knowHomePeer();
  advanceTime(6000);
  advanceTime(250);
  QuotaMessage Deposit;
  Deposit.Deposits_.push_back({"buyers", 900});
  for (int I = 0; I < 20; ++I) {
    advanceTime(50);
    reduceEvent(PeerReceived{{{HomePeer_, 9}, Deposit}});
  }
  ASSERT_GT(buyers().AvailableUnits_, 500);
  advanceTime(5000);
  EXPECT_LE(buyers().AvailableUnits_,
            1000.0 / static_cast<double>(estimatedClusterSize(State_)) + 1);
}

TEST_F(QuotaTest, manyProcesses_beginAtOnce_admitOneBucketTogether) {
  constexpr std::size_t Processes = 34;
  State_.Membership_.PeakClusterSize_ = Processes;
  // Each process starts like this one and has received no summary yet.
  EXPECT_LE(admittedTokens(10, 100) * Processes, 1000 + Processes * 10);
}

TEST_F(QuotaTest, retryBudget_manyProcessesBeginAtOnce_isOneSlackTogether) {
  constexpr int Processes = 34;
  for (int I = 2; I <= Processes; ++I) {
    PeerRow Row;
    Row.Instance_ = {"entry-" + std::to_string(I), 1};
    Row.Address_ = "10.0.0." + std::to_string(I) + ":7000";
    reduceEvent(
        LogRead{NextOffset_ + 1, 0, true, {{NextOffset_, JoinRecord{Row}}}});
    ++NextOffset_;
  }
  State_.Settings_.Bounds_.RetrySlack_ = 630;
  // Each process starts like this one and has heard from no peer yet.
  sendRequest("/check/1");
  EXPECT_LE(State_.Admission_.ServiceQueues_.at("orders").RetryBudget_ *
                Processes,
            630);
}

namespace {

/// Many processes that admit the prompts of one account and move its units
/// between them.
class QuotaGroupTest : public ::testing::Test {
protected:
  static constexpr int ProcessCount = 34;
  static constexpr Millis StepDuration = PlatformGroup::StepDuration;
  static constexpr Millis WarmUpTime = 14000; // ms before the traffic starts
  static constexpr Millis QuotaWindow = 8000; // ms
  static constexpr double RateTokensPerSecond = 500000;
  static constexpr double BurstTokens = 500000;
  /// Tokens that a window may have beyond the fraction below.
  static constexpr double QuotaSlackTokens = 140000;
  /// Fraction by which the tokens admitted in a window may exceed rate and
  /// burst.
  static constexpr double MaxQuotaExcessFraction = 0.1;
  static constexpr double MeanPromptTokens = 12000;
  static constexpr int PromptsPerBatch = 3; // prompts that arrive together

  void SetUp() override {
    for (double &Tokens : PendingTokens_)
      Tokens = drawPromptTokens();
    Group_ = std::make_unique<PlatformGroup>(
        ProcessCount, "[account buyers]\nkey = k1\nrate = 500000\n"
                      "burst = 500000\nunit = tokens\n"
                      "[service orders]\nmax_connections = 1000\n"
                      "[route check]\nhost = shop.example\npath = /check/\n"
                      "kind = repeatable\ntime_limit = 3000ms\n"
                      "objective = 600ms\nservice = orders:1\n");
    Group_->QuotaSlackTokens_ = QuotaSlackTokens;
    HostRow Host = sampleHost("o1", "orders", "a", 1);
    Host.Slots_ = 10000;
    Group_->setHosts({Host});
    Group_->runFor(WarmUpTime);
  }

  /// Starts a new incarnation of all processes at once.
  void restartProcesses() {
    for (int I = 0; I < ProcessCount; ++I)
      Group_->killProcess(I, StepDuration);
  }

  /// Sends traffic of the account for a time in ms.
  /// @param Multiple total demand as a multiple of the rate
  /// @param Fractions fraction of the demand at each process; their sum is 1
  void runTraffic(Millis Time, double Multiple,
                  const std::vector<double> &Fractions) {
    Group_->runFor(Time, [&] {
      for (int I = 0; I < ProcessCount; ++I) {
        PendingTokens_[I] +=
            Fractions[I] * Multiple * RateTokensPerSecond * StepDuration / 1000;
        sendPrompts(I);
      }
      AdmittedPerStep_.push_back(
          std::exchange(Group_->StartedTokens_["buyers"], 0.0));
    });
  }

  /// Sends a batch of prompts once enough tokens are pending at a process.
  void sendPrompts(int I) {
    if (PendingTokens_[I] < MeanPromptTokens * PromptsPerBatch)
      return;
    for (int N = 0; N < PromptsPerBatch; ++N) {
      const double Size = drawPromptTokens();
      PendingTokens_[I] -= Size;
      RequestedTokens_ += Size;
      Group_->sendRequest(I, "/check/1", "k1", static_cast<std::int64_t>(Size));
    }
  }

  /// @return size of a random prompt; few prompts are much longer than the mean
  double drawPromptTokens() {
    const auto Draw = static_cast<double>(RandomGenerator_() % 1000) / 1000;
    return std::min(40000.0, 0.3 * MeanPromptTokens -
                                 0.7 * MeanPromptTokens * std::log(1 - Draw));
  }

  /// @return most tokens that were admitted in any window
  double maxWindowAdmitted() const {
    const std::size_t Steps = QuotaWindow / StepDuration;
    double Sum = 0;
    double Worst = 0;
    for (std::size_t I = 0; I < AdmittedPerStep_.size(); ++I) {
      Sum +=
          AdmittedPerStep_[I] - (I >= Steps ? AdmittedPerStep_[I - Steps] : 0);
      Worst = std::max(Worst, Sum);
    }
    return Worst;
  }

  /// @return most tokens that any window may have
  static double maxAdmittedPerWindow() {
    return (RateTokensPerSecond * QuotaWindow / 1000 + BurstTokens) *
               (1 + MaxQuotaExcessFraction) +
           QuotaSlackTokens;
  }

  double totalAdmitted() const {
    return std::accumulate(AdmittedPerStep_.begin(), AdmittedPerStep_.end(),
                           0.0);
  }

  static std::vector<double> evenFractions() {
    return std::vector<double>(ProcessCount, 1.0 / ProcessCount);
  }

  /// Half of the demand arrives at three of the processes.
  static std::vector<double> skewedFractions() {
    std::vector<double> Fractions(ProcessCount, 0.5 / (ProcessCount - 3));
    for (int I = 0; I < 3; ++I)
      Fractions[I] = 0.5 / 3;
    return Fractions;
  }

  std::mt19937 RandomGenerator_{7};
  std::unique_ptr<PlatformGroup> Group_;
  std::vector<double> PendingTokens_ = std::vector<double>(ProcessCount, 0);
  std::vector<double> AdmittedPerStep_; ///< Tokens admitted by all processes.
  double RequestedTokens_ = 0;
};

} // namespace

TEST_F(QuotaGroupTest, account_suddenlyFarBeyondItsQuota_keepsEachWindow) {
  runTraffic(6000, 0.5, evenFractions());
  runTraffic(12000, 4.9, evenFractions());
  EXPECT_LE(maxWindowAdmitted(), maxAdmittedPerWindow());
  EXPECT_GE(maxWindowAdmitted(), RateTokensPerSecond * QuotaWindow / 1000);
}

TEST_F(QuotaGroupTest, account_beyondItsQuotaFromTheStart_keepsEachWindow) {
  runTraffic(16000, 3.6, evenFractions());
  EXPECT_LE(maxWindowAdmitted(), maxAdmittedPerWindow());
}

TEST_F(QuotaGroupTest, processes_allRestartedUnderLoad_keepEachWindow) {
  runTraffic(10000, 3.6, evenFractions());
  restartProcesses();
  runTraffic(8000, 3.6, evenFractions());
  EXPECT_LE(maxWindowAdmitted(), maxAdmittedPerWindow());
}

TEST_F(QuotaGroupTest, demand_crowdedAtThreeProcesses_quotaIsStillUsed) {
  runTraffic(6000, 0.5, skewedFractions());
  runTraffic(12000, 3, skewedFractions());
  EXPECT_LE(maxWindowAdmitted(), maxAdmittedPerWindow());
  EXPECT_GE(maxWindowAdmitted(), RateTokensPerSecond * QuotaWindow / 1000);
}

TEST_F(QuotaGroupTest, account_withinItsQuota_isNeverRefused) {
  runTraffic(4000, 0.2, evenFractions());
  RequestedTokens_ = 0;
  Group_->RefusedTokens_ = 0;
  AdmittedPerStep_.clear();
  runTraffic(12000, 0.6, skewedFractions());
  const double Requested = RequestedTokens_;
  runTraffic(1000, 0, skewedFractions()); // The last requests are answered.
  EXPECT_GE(totalAdmitted(), Requested * 0.99);
  EXPECT_LE(Group_->RefusedTokens_, Requested * 0.01);
}

TEST_F(QuotaTest, call_refusedUnrun_isGivenBack) {
  advanceTime(3000); // The bucket is full after this time.
  CallRequest R = makeRequest("/booking/1", "k1");
  R.PromptTokens_ = 200;
  sendRequest(std::move(R));
  const auto Start = firstEffect<StartAttempt>();
  ASSERT_TRUE(Start);
  const double Before = State_.Quotas_.Accounts_.at("buyers").AvailableUnits_;
  for (int I = 0; I < 40 && !firstEffect<SendError>(); ++I) {
    const auto Next = firstEffect<StartAttempt>();
    if (Next)
      failAttempt(Next->Attempt_, AttemptFailure::Refused);
    else
      advanceTime(50);
  }
  ASSERT_TRUE(firstEffect<SendError>());
  EXPECT_EQ(firstEffect<SendError>()->Error_.RunState_, RunState::NotRun);
  EXPECT_GE(State_.Quotas_.Accounts_.at("buyers").AvailableUnits_,
            Before + 199);
}

} // namespace endivewharf
