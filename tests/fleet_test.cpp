// The plan of hosts: enough when a zone's spot hosts go, within limits, no
// more on demand than is missing.
#include "platformfixture.h"

#include "fleet.h"

#include <numeric>
#include <rapidcheck/gtest.h>

namespace endivewharf {

namespace {

ScalingLimits limits() {
  ScalingLimits L;
  L.MinHosts_ = 1;
  L.MaxHosts_ = 6;
  L.StartTime_ = 4000;
  L.SpotPrice_ = 0.2;
  return L;
}

std::vector<ZoneHosts> zones(int OnDemand, int Spot, bool SpotToBeHad) {
  std::vector<ZoneHosts> All;
  for (const auto &[Name, Price] :
       {std::pair("a", 0.8), std::pair("b", 1.0), std::pair("c", 1.2)})
    All.push_back({Name, Price, OnDemand, Spot, 0, SpotToBeHad});
  return All;
}

int onDemand(const std::vector<ZonePlan> &Plan) {
  return std::accumulate(
      Plan.begin(), Plan.end(), 0,
      [](int Sum, const ZonePlan &Z) { return Sum + Z.OnDemand_; });
}

int spot(const std::vector<ZonePlan> &Plan) {
  return std::accumulate(
      Plan.begin(), Plan.end(), 0,
      [](int Sum, const ZonePlan &Z) { return Sum + Z.Spot_; });
}

class FleetTest : public PlatformTest {
protected:
  /// A process whose earlier life held the lease starts again.
  /// @return what it writes first
  std::optional<AppendToLog> appendOfRestartedHolder() {
    start(5, {LeaseAcquireRecord{{"entry-1", 1}, 7, 3000, 7}});
    for (int I = 0; I < 20; ++I) {
      after(50);
      if (auto Append = one<AppendToLog>())
        return Append;
    }
    return std::nullopt;
  }
};

} // namespace

TEST(PlanTest, spotHosts_present_onDemandIsTheFloorOnly) {
  const auto Plan = planHosts(zones(1, 3, true), limits(), 6);
  EXPECT_EQ(onDemand(Plan), 2);
  EXPECT_GE(spot(Plan), 6);
}

TEST(PlanTest, spotHosts_notThereYet_onDemandStaysUntilTheyCome) {
  const auto Plan = planHosts(zones(3, 0, true), limits(), 6);
  EXPECT_GE(onDemand(Plan), 6);
}

TEST(PlanTest, spotHosts_noneToBeHad_onDemandCarriesTheNeed) {
  const auto Plan = planHosts(zones(1, 0, false), limits(), 6);
  EXPECT_EQ(onDemand(Plan), 6);
  EXPECT_EQ(spot(Plan), 0);
}

TEST(PlanTest, floor_isInTheCheapestZones) {
  const auto Plan = planHosts(zones(1, 3, true), limits(), 2);
  EXPECT_EQ(Plan[0].OnDemand_, 1);
  EXPECT_EQ(Plan[1].OnDemand_, 1);
  EXPECT_EQ(Plan[2].OnDemand_, 0);
}

RC_GTEST_PROP(PlanTest, anyNeed_limitsHoldAndNeedIsMetWhereItCan, ()) {
  const double Needed = *rc::gen::inRange(0, 200) / 10.0;
  const int Spot = *rc::gen::inRange(0, 6);
  const bool ToBeHad = *rc::gen::arbitrary<bool>();
  const auto Given = zones(1, Spot, ToBeHad);
  const auto Plan = planHosts(Given, limits(), Needed);
  int Serving = onDemand(Plan);
  for (std::size_t I = 0; I < Plan.size(); ++I) {
    RC_ASSERT(Plan[I].OnDemand_ + Plan[I].Spot_ <= 6);
    RC_ASSERT(Plan[I].OnDemand_ + Plan[I].Spot_ >= 1);
    RC_ASSERT(Plan[I].OnDemand_ >= 0 && Plan[I].Spot_ >= 0);
    Serving += std::min(Plan[I].Spot_, Given[I].Spot_);
  }
  RC_ASSERT(Serving >= std::min(18.0, Needed) - 1e-9 ||
            onDemand(Plan) + spot(Plan) == 18);
}

TEST_F(FleetTest, holder_workAsked_ordersUnderItsLease) {
  takeLease();
  for (int I = 0; I < 200; ++I) {
    CallRequest R = request("/question/1");
    R.Parts_ = {{"a", 4000}, {"b", 4000}};
    R.PromptTokens_ = 8000;
    send(std::move(R));
    after(25);
    if (one<OrderHosts>())
      break;
    if (const auto Append = one<AppendToLog>())
      appended(*Append);
  }
  const auto Order = one<OrderHosts>();
  ASSERT_TRUE(Order);
  EXPECT_EQ(Order->Service_, "engines");
  EXPECT_EQ(Order->Epoch_, S_.Lease_.Epoch_);
}

TEST_F(FleetTest, processes_allRestarted_ordersGoByTheWorkSaved) {
  start(5, {WorkRecord{Unix_ + Now_ - 2000, {{"engines", 4800}}}});
  takeLease();
  for (int I = 0; I < 20 && !one<OrderHosts>(); ++I)
    after(50);
  const auto Order = one<OrderHosts>();
  ASSERT_TRUE(Order);
  EXPECT_GE(Order->Count_, 4);
}

TEST_F(FleetTest, work_savedLongAgo_saysNothing) {
  start(5, {WorkRecord{Unix_ + Now_ - 120000, {{"engines", 4800}}}});
  takeLease();
  for (int I = 0; I < 20; ++I) {
    after(50);
    ASSERT_FALSE(one<OrderHosts>());
  }
}

TEST_F(FleetTest, leaseOfAnEarlierLife_isTakenOverAtOnce) {
  start(5, {LeaseAcquireRecord{{"entry-1", 1}, NoOffset, 3000, 7}});
  after(100);
  EXPECT_NE(S_.Lease_.Nonce_, 0U);
}

TEST_F(FleetTest, leaseOfAnother_newestRecordOnly_isWaitedFor) {
  // What came before this record is not in the log any more.
  start(5, {LeaseAcquireRecord{{"entry-2", 1}, 7, 3000, 7}});
  after(100);
  EXPECT_EQ(S_.Lease_.Nonce_, 0U);
  EXPECT_EQ(S_.Lease_.Holder_.Name_, "entry-2");
}

TEST_F(FleetTest, leaseRecord_isWrittenOnlyWhereTheLogWasReadTo) {
  const auto Append = appendOfRestartedHolder();
  ASSERT_TRUE(Append);
  EXPECT_EQ(Append->OnlyAt_, S_.Log_.Next_);
  // Somebody has written: not again until that has been read.
  feed(AppendEnded{Append->Append_, false, true});
  EXPECT_FALSE(one<AppendToLog>());
  after(50);
  EXPECT_FALSE(one<AppendToLog>());
  LogRead More{S_.Log_.Next_, S_.Log_.Next_ + 1, true, {}};
  feed(More);
  EXPECT_TRUE(one<AppendToLog>());
}

TEST_F(FleetTest, leaseRecord_overtakenByAnother_isNotWritten) {
  const auto Append = appendOfRestartedHolder();
  ASSERT_TRUE(Append);
  feed(AppendEnded{Append->Append_, false, true});
  LogRead More{S_.Log_.Next_, S_.Log_.Next_ + 1, true, {}};
  More.Entries_.push_back(
      {S_.Log_.Next_, LeaseAcquireRecord{{"entry-2", 1}, 10, 3000, 9}});
  feed(More);
  if (const auto Again = one<AppendToLog>())
    for (const LogRecord &R : Again->Records_)
      EXPECT_FALSE(std::holds_alternative<LeaseAcquireRecord>(R));
  EXPECT_EQ(S_.Lease_.Holder_.Name_, "entry-2");
}

TEST_F(FleetTest, leaseOfAnother_isWaitedFor) {
  start(5, {LeaseAcquireRecord{{"entry-2", 1}, NoOffset, 3000, 7}});
  EXPECT_EQ(S_.Lease_.Nonce_, 0U);
  after(3000);
  EXPECT_EQ(S_.Lease_.Nonce_, 0U);
}

TEST_F(FleetTest, process_withoutTheLease_ordersNothing) {
  for (int I = 0; I < 200; ++I) {
    CallRequest R = request("/question/1");
    R.Parts_ = {{"a", 4000}, {"b", 4000}};
    send(std::move(R));
    after(50);
    ASSERT_FALSE(one<OrderHosts>());
  }
}

} // namespace endivewharf
