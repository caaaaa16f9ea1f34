// Tests quotas that all processes share: demand within a quota is not refused,
// and little more than the quota is admitted, also when processes restart or
// summaries stop arriving.
#include "platformfixture.h"

#include "quota.h"

#include <cmath>
#include <numeric>
#include <random>

namespace endivewharf {

namespace {

class QuotaTest : public PlatformTest {
protected:
  /// Sends prompts until one exceeds the quota.
  /// @param Tokens size of each prompt
  /// @return tokens admitted by then
  double admittedTokens(std::int64_t Tokens, int MaxRequests) {
    double Sum = 0;
    for (int I = 0; I < MaxRequests; ++I) {
      CallRequest R = makeRequest("/check/1", "k1");
      R.PromptTokens_ = Tokens;
      sendRequest(std::move(R));
      const auto Refusal = firstEffect<SendError>();
      if (Refusal && Refusal->Error_.Kind_ == ErrorKind::OverLimit)
        return Sum;
      Sum += static_cast<double>(Tokens);
    }
    return Sum;
  }

  /// Receives a summary of a peer in which the account's demand per second and
  /// total admitted are both `Units`.
  void receivePeerDemand(std::uint64_t Incarnation, double Units) {
    SummaryMessage Summary;
    Summary.Demands_.push_back({"buyers", Units, Units});
    receiveSummary("entry-2", Incarnation, Summary);
  }
};

} // namespace

TEST_F(QuotaTest, account_beyondItsQuota_isToldWhenToComeBack) {
  EXPECT_LE(admittedTokens(100, 50), 1000);
  const CallError Error = firstEffect<SendError>()->Error_;
  EXPECT_EQ(Error.RunState_, RunState::NotRun);
  EXPECT_GT(Error.RetryAfter_, 0);
}

TEST_F(QuotaTest, account_withoutLimit_isNeverRefused) {
  for (int I = 0; I < 12; ++I) {
    sendRequest("/check/1", "k2");
    const auto Refusal = firstEffect<SendError>();
    EXPECT_FALSE(Refusal && Refusal->Error_.Kind_ == ErrorKind::OverLimit);
  }
}

TEST_F(QuotaTest, peer_hasAdmittedTheQuota_nothingIsAdmittedHere) {
  receiveDigestFrom("entry-2", 9);
  receivePeerDemand(9, 0);
  advanceTime(3000); // The bucket is full after this time.
  receivePeerDemand(9, 5000);
  EXPECT_EQ(admittedTokens(100, 5), 0);
}

TEST_F(QuotaTest, bucket_firstUsedAfterPeersAdmitted_keepsItsDebt) {
  receiveDigestFrom("entry-2", 9);
  receivePeerDemand(9, 0);
  receivePeerDemand(9, 5000);
  EXPECT_EQ(admittedTokens(100, 5), 0);
}

TEST_F(QuotaTest, process_justStarted_owesNothingForItsPeersPast) {
  receiveDigestFrom("entry-2", 9);
  receivePeerDemand(9, 1e6); // Admitted over several hours.
  advanceTime(1000);
  EXPECT_GT(admittedTokens(100, 3), 0);
}

TEST_F(QuotaTest, peer_restarted_countsFromNothing) {
  receiveDigestFrom("entry-2", 9);
  receivePeerDemand(9, 50000);
  advanceTime(1000);
  receiveDigestFrom("entry-2", 10);
  receivePeerDemand(10, 100);
  EXPECT_GT(admittedTokens(100, 3), 0);
}

TEST_F(QuotaTest, peers_silent_lessOfTheRateIsUsed) {
  receiveDigestFrom("entry-2", 9);
  receivePeerDemand(9, 100);
  advanceTime(1000);
  admittedTokens(10, 1);
  advanceTime(300);
  EXPECT_EQ(State_.Quotas_.Accounts_.at("buyers").UsableFraction_, 1);
  advanceTime(4000); // No summary arrives in this time.
  advanceTime(300);
  EXPECT_LE(State_.Quotas_.Accounts_.at("buyers").UsableFraction_, 0.5);
}

TEST_F(QuotaTest, manyProcesses_beginAtOnce_admitOneBucketTogether) {
  constexpr std::size_t Processes = 34;
  State_.Membership_.PeakClusterSize_ = Processes;
  // Each process starts like this one and has received no summary yet.
  EXPECT_LE(admittedTokens(10, 100) * Processes, 1000 + Processes * 10);
}

namespace {

/// Many processes that admit the prompts of one account and send each other
/// summaries twice a second, as in a real installation.
class QuotaGroupTest : public ::testing::Test {
protected:
  static constexpr int ProcessCount = 34;
  static constexpr Millis StepDuration = 20;   // ms
  static constexpr Millis SummaryPeriod = 500; // ms
  static constexpr Millis QuotaWindow = 8000;  // ms
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
    Buyers_.Name_ = "buyers";
    Buyers_.RatePerSecond_ = RateTokensPerSecond;
    Buyers_.Burst_ = BurstTokens;
    Buyers_.Unit_ = RateUnit::Tokens;
    for (double &Tokens : PendingTokens_)
      Tokens = drawPromptTokens();
    restartProcesses();
  }

  /// Starts a new incarnation of all processes at once. Each knows the others
  /// from the log but has received no summary yet.
  void restartProcesses() {
    Settings ProcessSettings;
    ProcessSettings.Bounds_.QuotaSlack_ = QuotaSlackTokens;
    Processes_.clear();
    ++Incarnation_;
    for (int I = 0; I < ProcessCount; ++I) {
      ProcessSettings.Name_ = processName(I);
      State S = makeState(ProcessSettings, Incarnation_);
      S.Now_ = Now_;
      S.Config_.Configuration_.AccountsByName_["buyers"] = Buyers_;
      for (int Other = 0; Other < ProcessCount; ++Other)
        if (Other != I)
          S.Membership_.Peers_[processName(Other)].HeartbeatAdvancedAt_ = Now_;
      Processes_.push_back(std::move(S));
    }
  }

  static std::string processName(int I) { return "entry-" + std::to_string(I); }

  /// Sends traffic of the account for a time in ms.
  /// @param Multiple total demand as a multiple of the rate
  /// @param Fractions fraction of the demand at each process; their sum is 1
  void runTraffic(Millis Time, double Multiple,
                  const std::vector<double> &Fractions) {
    for (Millis Passed = 0; Passed < Time; Passed += StepDuration) {
      Now_ += StepDuration;
      double Admitted = 0;
      for (int I = 0; I < ProcessCount; ++I) {
        Processes_[I].Now_ = Now_;
        Effects Out;
        tickQuotas(Processes_[I], Out);
        PendingTokens_[I] +=
            Fractions[I] * Multiple * RateTokensPerSecond * StepDuration / 1000;
        Admitted += sendPrompts(I);
      }
      AdmittedPerStep_.push_back(Admitted);
      if (Now_ % SummaryPeriod < StepDuration)
        for (int I = 0; I < ProcessCount; ++I)
          sendSummary(I);
    }
  }

  /// Sends a batch of prompts once enough tokens are pending at a process.
  /// @return tokens admitted
  double sendPrompts(int I) {
    double Admitted = 0;
    if (PendingTokens_[I] < MeanPromptTokens * PromptsPerBatch)
      return 0;
    for (int N = 0; N < PromptsPerBatch; ++N) {
      const double Size = drawPromptTokens();
      PendingTokens_[I] -= Size;
      Call C;
      C.Account_ = "buyers";
      C.Request_.PromptTokens_ = static_cast<std::int64_t>(Size);
      RequestedTokens_ += Size;
      if (!chargeQuota(Processes_[I], C, Buyers_))
        Admitted += Size;
    }
    return Admitted;
  }

  /// @return size of a random prompt; few prompts are much longer than the mean
  double drawPromptTokens() {
    const auto Draw = static_cast<double>(RandomGenerator_() % 1000) / 1000;
    return std::min(40000.0, 0.3 * MeanPromptTokens -
                                 0.7 * MeanPromptTokens * std::log(1 - Draw));
  }

  /// Delivers the summary of a process to all others.
  void sendSummary(int I) {
    const QuotaState &Q = Processes_[I].Quotas_.Accounts_["buyers"];
    SummaryMessage Summary;
    Summary.Demands_.push_back({"buyers", Q.DemandPerSecond_, Q.Admitted_});
    for (int Other = 0; Other < ProcessCount; ++Other) {
      if (Other == I)
        continue;
      PeerState &Sender = Processes_[Other].Membership_.Peers_[processName(I)];
      mergePeerAdmissions(Processes_[Other], Sender, Summary, Incarnation_);
      Sender.SummaryIncarnation_ = Incarnation_;
      Sender.Summary_ = Summary;
      Sender.SummaryReceivedAt_ = Now_;
    }
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

  static constexpr Millis StartTime = 100000;
  std::mt19937 RandomGenerator_{7};
  std::uint64_t Incarnation_ = 0;
  Account Buyers_;
  std::vector<State> Processes_;
  std::vector<double> PendingTokens_ = std::vector<double>(ProcessCount, 0);
  std::vector<double> AdmittedPerStep_; ///< Tokens admitted by all processes.
  double RequestedTokens_ = 0;
  Millis Now_ = StartTime;
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
  AdmittedPerStep_.clear();
  runTraffic(12000, 0.6, skewedFractions());
  EXPECT_GE(totalAdmitted(), RequestedTokens_ * 0.99);
}

TEST_F(QuotaTest, call_refusedUnrun_isGivenBack) {
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
