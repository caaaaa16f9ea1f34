// Tests the quota of one large account whose demand rises far beyond it, while
// processes are cut off, killed or frozen at any moment of the rise: no window
// gets more than the bound that the operators' platform checks, and the quota
// is still used.
#include "platformgroup.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <numeric>
#include <random>
#include <tuple>
#include <utility>

namespace endivewharf {

namespace {

constexpr double RateTokensPerSecond = 451000;
constexpr double BurstTokens = 451000;
constexpr double QuotaSlackTokens = 140000;
/// Fraction by which the tokens of a window may exceed rate and burst.
constexpr double MaxQuotaExcessFraction = 0.1;
constexpr Millis QuotaWindow = 8000; // ms
constexpr Millis WarmUpTime = 14000; // time before the traffic starts, in ms
/// Demand in calm times, as a multiple of the rate.
constexpr double CalmMultiple = 0.55;
constexpr std::int64_t LongPromptTokens = 12400;
constexpr std::int64_t ShortPromptTokens = 2370;
constexpr double LongPromptFraction = 0.17;

const std::string Config = R"([account buyers]
key = k1
rate = 451000
burst = 451000
unit = tokens
plain_units = 200
[service orders]
max_connections = 1000
[route check]
host = shop.example
path = /check/
kind = repeatable
time_limit = 3000ms
objective = 600ms
attempts = 2
service = orders:1
)";

class QuotaPressureTest : public ::testing::Test {
protected:
  /// Starts the processes and waits until they know each other.
  void startGroup(int ProcessCount) {
    Group_ = std::make_unique<PlatformGroup>(ProcessCount, Config);
    Group_->QuotaSlackTokens_ = QuotaSlackTokens;
    HostRow Host;
    Host.Host_ = {"o1", 1};
    Host.Address_ = "http://10.1.1.1:80";
    Host.DataCentre_ = Host.Zone_ = "a";
    Host.Kind_ = UpstreamKind::Service;
    Host.Service_ = "orders";
    Host.Version_ = "v1";
    Host.Slots_ = 10000;
    Group_->setHosts({Host});
    Group_->runFor(WarmUpTime);
  }

  /// Sends the account's prompts to random processes for a time in ms.
  /// @param Multiple demand as a multiple of the rate
  void sendTrafficFor(Millis Time, double Multiple) {
    Group_->runFor(Time, [&] {
      PendingTokens_ +=
          RateTokensPerSecond * Multiple * PlatformGroup::StepDuration / 1000;
      while (PendingTokens_ > 0)
        sendPrompt();
      recordStep();
    });
  }

  void sendPrompt() {
    const std::int64_t Tokens = drawFraction() < LongPromptFraction
                                    ? LongPromptTokens
                                    : ShortPromptTokens;
    PendingTokens_ -= static_cast<double>(Tokens);
    RequestedTokens_ += static_cast<double>(Tokens);
    const auto Process = static_cast<int>(
        RandomGenerator_() % static_cast<unsigned>(Group_->size()));
    Group_->sendRequest(Process, "/check/1", "k1", Tokens);
  }

  void recordStep() {
    const double Admitted =
        std::exchange(Group_->StartedTokens_["buyers"], 0.0);
    TotalAdmitted_ += Admitted;
    WindowSteps_.push_back(Admitted);
    if (WindowSteps_.size() > QuotaWindow / PlatformGroup::StepDuration)
      WindowSteps_.pop_front();
    MaxWindowAdmitted_ =
        std::max(MaxWindowAdmitted_, std::accumulate(WindowSteps_.begin(),
                                                     WindowSteps_.end(), 0.0));
  }

  double drawFraction() {
    return static_cast<double>(RandomGenerator_() % 10000) / 10000;
  }

  /// Most tokens that any window may have.
  static double maxAdmittedPerWindow() {
    return (RateTokensPerSecond * QuotaWindow / 1000 + BurstTokens) *
               (1 + MaxQuotaExcessFraction) +
           QuotaSlackTokens;
  }

  std::unique_ptr<PlatformGroup> Group_;
  std::mt19937 RandomGenerator_{20261204};
  std::deque<double> WindowSteps_; ///< Tokens of each step of the last window.
  double PendingTokens_ = 0;       ///< Tokens to be sent now.
  double RequestedTokens_ = 0;
  double TotalAdmitted_ = 0;
  double MaxWindowAdmitted_ = 0;
};

/// The parameters are the number of processes and the demand as a multiple of
/// the rate.
class QuotaRiseTest
    : public QuotaPressureTest,
      public ::testing::WithParamInterface<std::tuple<int, double>> {};

/// The parameters are the number of processes and the time in ms between the
/// rise and the cut.
class QuotaRiseAndCutTest
    : public QuotaPressureTest,
      public ::testing::WithParamInterface<std::tuple<int, Millis>> {};

} // namespace

TEST_P(QuotaRiseTest, account_demandRisesWithoutAnyCut_keepsEachWindow) {
  const auto [ProcessCount, Multiple] = GetParam();
  startGroup(ProcessCount);
  sendTrafficFor(8000, CalmMultiple);
  sendTrafficFor(10000, Multiple);
  EXPECT_LE(MaxWindowAdmitted_, maxAdmittedPerWindow());
  EXPECT_GE(MaxWindowAdmitted_, RateTokensPerSecond * QuotaWindow / 1000);
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuotaRiseTest,
                         ::testing::Combine(::testing::Values(4, 9, 31, 119),
                                            ::testing::Values(6.5, 12.0)),
                         [](const auto &Info) {
                           return std::to_string(std::get<0>(Info.param)) +
                                  "_at_" +
                                  std::to_string(static_cast<int>(
                                      std::get<1>(Info.param) * 10)) +
                                  "_tenths";
                         });

TEST_P(QuotaRiseAndCutTest,
       account_aThirdIsCutOffAfterItsRise_keepsEachWindow) {
  const auto [ProcessCount, CutAfter] = GetParam();
  startGroup(ProcessCount);
  sendTrafficFor(4000, CalmMultiple);
  sendTrafficFor(CutAfter, 6);
  for (int I = 0; I < ProcessCount; ++I)
    if (I % 20 < 7)
      Group_->IsolatedProcesses_.insert(I);
  sendTrafficFor(12000, 6);
  Group_->IsolatedProcesses_.clear();
  sendTrafficFor(9000, 6);
  EXPECT_LE(MaxWindowAdmitted_, maxAdmittedPerWindow());
}

INSTANTIATE_TEST_SUITE_P(Moments, QuotaRiseAndCutTest,
                         ::testing::Combine(::testing::Values(4, 31, 119),
                                            ::testing::Values(0, 100, 200, 500,
                                                              1000, 2000)));

TEST_F(QuotaPressureTest, dataCentreCutOffUnderARise_keepsEachWindow) {
  startGroup(119);
  sendTrafficFor(4000, CalmMultiple);
  sendTrafficFor(300, 6);
  Group_->IsolatedDataCentres_ = {1, 3};
  sendTrafficFor(12000, 6);
  Group_->IsolatedDataCentres_ = {};
  sendTrafficFor(9000, 6);
  EXPECT_LE(MaxWindowAdmitted_, maxAdmittedPerWindow());
}

TEST_F(QuotaPressureTest, allKilledAtOnceUnderARise_keepsEachWindow) {
  startGroup(31);
  sendTrafficFor(2000, 6);
  for (int I = 0; I < Group_->size(); ++I)
    Group_->killProcess(I, 1000 + 40 * I);
  sendTrafficFor(12000, 6);
  EXPECT_LE(MaxWindowAdmitted_, maxAdmittedPerWindow());
}

TEST_F(QuotaPressureTest, thirdIsFrozenAndResumesUnderARise_keepsEachWindow) {
  startGroup(31);
  sendTrafficFor(4000, CalmMultiple);
  for (int I = 0; I < Group_->size(); I += 3)
    Group_->freezeProcess(I, 4000);
  sendTrafficFor(3500, CalmMultiple);
  sendTrafficFor(10000, 6);
  EXPECT_LE(MaxWindowAdmitted_, maxAdmittedPerWindow());
}

TEST_F(QuotaPressureTest, processesAddedUnderARise_keepEachWindow) {
  startGroup(53);
  for (int I = 30; I < Group_->size(); ++I)
    Group_->killProcess(I, 30000);
  Group_->runFor(25000); // The others forget them.
  sendTrafficFor(4000, CalmMultiple);
  sendTrafficFor(14000, 6);
  EXPECT_LE(MaxWindowAdmitted_, maxAdmittedPerWindow());
}

TEST_F(QuotaPressureTest, accountWithinItsQuota_calm_isNeverRefused) {
  startGroup(31);
  sendTrafficFor(4000, 0.3);
  RequestedTokens_ = TotalAdmitted_ = Group_->RefusedTokens_ = 0;
  sendTrafficFor(20000, CalmMultiple);
  const double Requested = RequestedTokens_;
  PendingTokens_ = 0;
  sendTrafficFor(1000, 0); // The last requests are answered.
  EXPECT_GE(TotalAdmitted_, Requested * 0.99);
  EXPECT_LE(Group_->RefusedTokens_, Requested * 0.01);
}

} // namespace endivewharf
