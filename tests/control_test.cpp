// Tests of the control log: order of the configurations, restarts, network
// partitions, and the lease with its epoch as fencing token.
#include "controllog.h"
#include "fixture.h"
#include "lease.h"

namespace endivewharf::fakes {

namespace {

/// Required time in which a configuration is in force in every process, ms.
constexpr Millis ConfigPropagationLimit = 7000;

class ControlTest : public WorldTest {
protected:
  LogOffset publishNextConfig(LogOffset Base) {
    return World_->appendLogRecord(
        ConfigRecord{Base, exampleConfig({"m", "n"})});
  }

  LogOffset configVersion(int Entry) const {
    return World_->state(Entry).Config_.Version_;
  }

  void expectVersionEverywhere(LogOffset Version) const {
    for (int I = 0; I < World_->entryCount(); ++I)
      EXPECT_TRUE(!World_->entry(I).Alive_ || configVersion(I) == Version) << I;
  }
};

} // namespace

TEST_F(ControlTest, config_published_isInForceEverywhere) {
  World &W = startProcesses();
  const LogOffset Offset = publishNextConfig(0);
  W.runFor(ConfigPropagationLimit);
  expectVersionEverywhere(Offset);
}

TEST_F(ControlTest, config_twoOperatorsRace_firstWinsAndOtherIsTold) {
  World &W = startProcesses();
  const LogOffset First = publishNextConfig(0);
  const LogOffset Second = publishNextConfig(0);
  W.runFor(1000);
  expectVersionEverywhere(First);
  for (int I = 0; I < W.entryCount(); ++I)
    EXPECT_EQ(W.state(I).Config_.RejectedVersions_.count(Second), 1U);
}

TEST_F(ControlTest, config_dropsModelOfWaitingCalls_refusesThem) {
  World &W = startProcesses();
  for (FakeEngine &E : W.Engines_)
    E.Dead_ = true;
  W.runFor(3000);
  const auto RequestIndex = W.sendRequest(0, makePromptRequest("x"));
  W.appendLogRecord(ConfigRecord{0, exampleConfig({"n"})});
  W.runFor(1000);
  EXPECT_TRUE(W.outcome(RequestIndex).Ended_);
  EXPECT_EQ(W.outcome(RequestIndex).Error_.Kind_, ErrorKind::UnknownModel);
}

TEST_F(ControlTest, config_notReadable_isRejectedAndOldStays) {
  World &W = startProcesses();
  const LogOffset Offset =
      W.appendLogRecord(ConfigRecord{0, "[acount x]\nkey = y\n"});
  W.runFor(1000);
  expectVersionEverywhere(0);
  EXPECT_EQ(W.state(0).Config_.RejectedVersions_.count(Offset), 1U);
}

TEST_F(ControlTest, config_centreCutFromPlatform_learnsFromPeers) {
  World &W = startProcesses();
  W.setPlatformUnreachable("dc1", true);
  const LogOffset Offset = publishNextConfig(0);
  W.runFor(ConfigPropagationLimit);
  expectVersionEverywhere(Offset);
}

TEST_F(ControlTest, config_centreCutFromAll_learnsWhenHealed) {
  World &W = startProcesses();
  W.setPlatformUnreachable("dc1", true);
  W.setDataCentreIsolated("dc1", true);
  const LogOffset Offset = publishNextConfig(0);
  W.runFor(ConfigPropagationLimit);
  EXPECT_EQ(configVersion(0), Offset);
  EXPECT_EQ(configVersion(1), 0);
  W.setDataCentreIsolated("dc1", false);
  W.runFor(ConfigPropagationLimit);
  expectVersionEverywhere(Offset);
}

TEST_F(ControlTest, config_allRestartWithLogUp_isKeptAndServed) {
  World &W = startProcesses();
  const LogOffset Offset = publishNextConfig(0);
  W.runFor(1000);
  for (int I = 0; I < W.entryCount(); ++I)
    W.restartEntry(I);
  W.runFor(ConfigPropagationLimit);
  expectVersionEverywhere(Offset);
  EXPECT_EQ(W.state(2).Stage_, Stage::Serving);
}

TEST_F(ControlTest, config_oneRestartsWithLogDown_learnsFromPeers) {
  World &W = startProcesses();
  const LogOffset Offset = publishNextConfig(0);
  W.runFor(1000);
  W.LogUnavailable_ = true;
  W.restartEntry(2);
  W.runFor(ConfigPropagationLimit);
  expectVersionEverywhere(Offset);
  EXPECT_EQ(W.state(2).Stage_, Stage::Serving);
}

TEST_F(ControlTest, process_startsWithLogAndPeersAway_doesNotServe) {
  World &W = startProcesses();
  W.LogUnavailable_ = true;
  W.setDataCentreIsolated("dc1", true);
  W.restartEntry(1);
  W.runFor(ConfigPropagationLimit);
  EXPECT_EQ(W.state(1).Stage_, Stage::Starting);
  const auto RequestIndex = W.sendRequest(1, makePromptRequest("x"));
  EXPECT_EQ(W.outcome(RequestIndex).Error_.Kind_, ErrorKind::NotReady);
}

TEST_F(ControlTest, control_olderThanOurs_isIgnored) {
  State S = makeState({}, 1);
  Effects Out;
  RolloutRow Row;
  Row.NoteVersion_ = 3;
  Row.Model_ = "m";
  Row.Share_ = 0.5;
  const std::string Config = exampleConfig({"m"});
  adoptControlSnapshot(S, {10, 2, Config, 3, {Row}}, "peer", Out);
  Row.Share_ = 0.05;
  adoptControlSnapshot(S, {7, 2, Config, 3, {Row}}, "late peer", Out);
  EXPECT_EQ(S.Control_.Version_, 10);
  EXPECT_EQ(S.Release_.Rollouts_.at("m").Row_.Share_, 0.5);
}

TEST_F(ControlTest, process_startsAndHasOnlyOnePeersWord_waitsForTheLog) {
  State S = makeState({}, 1);
  reduce(S, {1000, 1, 1, Tick{}});
  // The peer may be behind, so the process first waits a short time for the
  // log, which may have newer records.
  const ControlMessage Received{{5, 5, exampleConfig({"m"}), NoOffset, {}}};
  reduce(S, {1100, 1, 1, PeerReceived{{{"entry-1", 1}, Received}}});
  reduce(S, {1200, 1, 1, Tick{}});
  EXPECT_EQ(S.Stage_, Stage::Starting);
  reduce(S, {2700, 1, 1, Tick{}});
  EXPECT_EQ(S.Stage_, Stage::Serving);
}

TEST_F(ControlTest, config_recordsExpired_isReadFromSnapshot) {
  World &W = startProcesses();
  const LogOffset Offset = publishNextConfig(0);
  W.runFor(35000); // A snapshot has been written.
  const auto Kept = std::min<std::size_t>(W.LogRecords_.size(), 20);
  W.EarliestOffset_ += static_cast<LogOffset>(W.LogRecords_.size() - Kept);
  W.LogRecords_.erase(W.LogRecords_.begin(),
                      W.LogRecords_.end() - static_cast<std::ptrdiff_t>(Kept));
  ASSERT_GT(W.EarliestOffset_, Offset);
  for (int I = 0; I < W.entryCount(); ++I)
    W.restartEntry(I);
  W.runFor(ConfigPropagationLimit + 30000);
  expectVersionEverywhere(Offset);
}

TEST_F(ControlTest, config_recordMissedByRetention_isReadFromSnapshot) {
  World &W = startProcesses();
  W.setDataCentreIsolated("dc1", true); // No peer can send the configuration.
  W.pauseEntry(1);
  W.runFor(1500); // Its last read has returned.
  const LogOffset Offset = publishNextConfig(0);
  W.runFor(35000); // A snapshot has been written since.
  const auto Missed = static_cast<std::ptrdiff_t>(Offset) + 2;
  W.LogRecords_.erase(W.LogRecords_.begin(), W.LogRecords_.begin() + Missed);
  W.EarliestOffset_ += Missed;
  W.unpauseEntry(1);
  W.runFor(ConfigPropagationLimit);
  EXPECT_EQ(configVersion(1), Offset);
}

TEST_F(ControlTest, snapshot_olderThanMissedRecords_isNoBase) {
  State S = makeState({}, 1);
  const auto Config = exampleConfig({"m"});
  LogRead Page;
  Page.EarliestOffset_ = 10;
  Page.NextOffset_ = 11;
  // The snapshot covers the log through offset 7; record 8 or 9 may have been a
  // configuration.
  Page.Entries_ = {{10, SnapshotRecord{1, 7, {5, 5, Config, NoOffset, {}}}}};
  reduce(S, {1, 1, 1, Page});
  EXPECT_EQ(S.Config_.Version_, NoOffset);
  Page.NextOffset_ = 12;
  Page.Entries_ = {{11, SnapshotRecord{1, 10, {8, 8, Config, NoOffset, {}}}}};
  reduce(S, {2, 2, 2, Page});
  EXPECT_EQ(S.Config_.Version_, 8);
}

TEST_F(ControlTest, config_whateverHappens_neverReverts) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    Options.PeerMessageLossFraction_ = 0.1;
    World &W = startProcesses(Options);
    std::vector<LogOffset> Highest(4, 0);
    LogOffset Accepted = 0;
    for (int Step = 0; Step < 40; ++Step) {
      switch (W.RandomGenerator_() % 6) {
      case 0:
        publishNextConfig(Accepted);
        break;
      case 1:
        // An operator publishes with a stale base version.
        publishNextConfig(Accepted - 1);
        break;
      case 2:
        W.setPlatformUnreachable(
            W.dataCentre(static_cast<int>(W.RandomGenerator_() % 3)),
            W.RandomGenerator_() % 2 == 0);
        break;
      case 3:
        W.setDataCentreIsolated(
            W.dataCentre(static_cast<int>(W.RandomGenerator_() % 3)),
            W.RandomGenerator_() % 2 == 0);
        break;
      case 4:
        W.LogUnavailable_ = W.RandomGenerator_() % 3 == 0;
        break;
      default: {
        const int Entry = static_cast<int>(W.RandomGenerator_() % 4);
        W.restartEntry(Entry);
        Highest[static_cast<std::size_t>(Entry)] = NoOffset;
      }
      }
      W.runFor(static_cast<Millis>(W.RandomGenerator_() % 1500));
      for (int I = 0; I < 4; ++I) {
        auto &HighestKnown = Highest[static_cast<std::size_t>(I)];
        EXPECT_GE(configVersion(I), HighestKnown) << "seed " << Seed;
        HighestKnown = std::max(HighestKnown, configVersion(I));
        Accepted = std::max(Accepted, configVersion(I));
        // A process must not serve with an older version than an earlier
        // incarnation of it. This loop checks one incarnation at a time,
        // because a restart resets Highest.
      }
    }
    W.LogUnavailable_ = false;
    for (int I = 0; I < 3; ++I) {
      W.setDataCentreIsolated(W.dataCentre(I), false);
      W.setPlatformUnreachable(W.dataCentre(I), false);
    }
    W.runFor(10000);
    for (int I = 1; I < 4; ++I)
      EXPECT_EQ(configVersion(I), configVersion(0)) << "seed " << Seed;
  }
}

// --- The lease ---

class LeaseTest : public ControlTest {};

TEST_F(LeaseTest, lease_allAlive_hasOneHolder) {
  startProcesses();
  EXPECT_GE(leaseHolder(), 0);
}

TEST_F(LeaseTest, lease_holderDies_movesToAnother) {
  World &W = startProcesses();
  const int First = leaseHolder();
  W.killEntry(First);
  W.runFor(8000);
  EXPECT_GE(leaseHolder(), 0);
  EXPECT_NE(leaseHolder(), First);
}

TEST_F(LeaseTest, lease_holderPausedAndWoken_isFenced) {
  World &W = startProcesses();
  const int First = leaseHolder();
  const LogOffset OldEpoch = W.state(First).Lease_.Epoch_;
  W.pauseEntry(First);
  W.runFor(8000);
  const int Second = leaseHolder();
  ASSERT_GE(Second, 0);
  // A record that the old holder wrote under its old epoch arrives late.
  W.appendLogRecord(ShareRecord{OldEpoch, 99, "m", 1, "late"});
  W.unpauseEntry(First);
  EXPECT_FALSE(holdsLease(W.state(First)));
  W.runFor(3000);
  EXPECT_EQ(leaseHolder(), Second);
  for (int I = 0; I < W.entryCount(); ++I)
    EXPECT_GE(W.state(I).Counters_.Values_["fenced_records"], 1);
}

TEST_F(LeaseTest, lease_underRandomFaults_neverHasTwoHolders) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    World &W = startProcesses(Options);
    W.LostAppendReplyFraction_ = 0.2;
    W.FailedAppendFraction_ = 0.2;
    for (int Step = 0; Step < 60; ++Step) {
      const int Entry = static_cast<int>(W.RandomGenerator_() % 4);
      if (W.RandomGenerator_() % 4 == 0)
        W.LogUnavailable_ = !W.LogUnavailable_;
      else if (W.entry(Entry).Paused_)
        W.unpauseEntry(Entry);
      else if (W.RandomGenerator_() % 2 == 0)
        W.pauseEntry(Entry);
      for (int I = 0; I < 15; ++I) {
        W.runFor(static_cast<Millis>(W.RandomGenerator_() % 100));
        leaseHolder(); // Fails if two processes hold the lease.
      }
    }
  }
}

} // namespace endivewharf::fakes
