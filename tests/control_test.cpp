// Promise 8 and the lease: configuration order, restarts, cuts, fencing.
#include "controllog.h"
#include "fixture.h"
#include "lease.h"

namespace endivewharf::fakes {

namespace {

constexpr Millis ConfigLimit = 7000; // the letter's bound

class ControlTest : public WorldTest {
protected:
  LogOffset publishNext(LogOffset Base) {
    return World_->publish(ConfigRecord{Base, exampleConfig({"m", "n"})});
  }

  LogOffset version(int Entry) const {
    return World_->state(Entry).Config_.Version_;
  }

  void expectEverywhere(LogOffset Version) const {
    for (int I = 0; I < World_->entries(); ++I)
      EXPECT_TRUE(!World_->entry(I).Alive_ || version(I) == Version) << I;
  }
};

} // namespace

TEST_F(ControlTest, config_published_isInForceEverywhere) {
  World &W = start();
  const LogOffset Offset = publishNext(0);
  W.run(ConfigLimit);
  expectEverywhere(Offset);
}

TEST_F(ControlTest, config_twoOperatorsRace_firstWinsAndOtherIsTold) {
  World &W = start();
  const LogOffset First = publishNext(0);
  const LogOffset Second = publishNext(0);
  W.run(1000);
  expectEverywhere(First);
  for (int I = 0; I < W.entries(); ++I)
    EXPECT_EQ(W.state(I).Config_.Rejected_.count(Second), 1U);
}

TEST_F(ControlTest, config_dropsModelOfWaitingCalls_refusesThem) {
  World &W = start();
  for (FakeEngine &E : W.Engines_)
    E.Dead_ = true;
  W.run(3000);
  const auto Which = W.send(0, prompt("x"));
  W.publish(ConfigRecord{0, exampleConfig({"n"})});
  W.run(1000);
  EXPECT_TRUE(W.outcome(Which).Ended_);
  EXPECT_EQ(W.outcome(Which).Error_.Kind_, ErrorKind::UnknownModel);
}

TEST_F(ControlTest, config_notReadable_isRejectedAndOldStays) {
  World &W = start();
  const LogOffset Offset = W.publish(ConfigRecord{0, "[acount x]\nkey = y\n"});
  W.run(1000);
  expectEverywhere(0);
  EXPECT_EQ(W.state(0).Config_.Rejected_.count(Offset), 1U);
}

TEST_F(ControlTest, config_centreCutFromPlatform_learnsFromPeers) {
  World &W = start();
  W.cutPlatform("dc1", true);
  const LogOffset Offset = publishNext(0);
  W.run(ConfigLimit);
  expectEverywhere(Offset);
}

TEST_F(ControlTest, config_centreCutFromAll_learnsWhenHealed) {
  World &W = start();
  W.cutPlatform("dc1", true);
  W.cut("dc1", true);
  const LogOffset Offset = publishNext(0);
  W.run(ConfigLimit);
  EXPECT_EQ(version(0), Offset);
  EXPECT_EQ(version(1), 0);
  W.cut("dc1", false);
  W.run(ConfigLimit);
  expectEverywhere(Offset);
}

TEST_F(ControlTest, config_allRestartWithLogUp_isKeptAndServed) {
  World &W = start();
  const LogOffset Offset = publishNext(0);
  W.run(1000);
  for (int I = 0; I < W.entries(); ++I)
    W.restart(I);
  W.run(ConfigLimit);
  expectEverywhere(Offset);
  EXPECT_EQ(W.state(2).Stage_, Stage::Serving);
}

TEST_F(ControlTest, config_oneRestartsWithLogDown_learnsFromPeers) {
  World &W = start();
  const LogOffset Offset = publishNext(0);
  W.run(1000);
  W.LogDown_ = true;
  W.restart(2);
  W.run(ConfigLimit);
  expectEverywhere(Offset);
  EXPECT_EQ(W.state(2).Stage_, Stage::Serving);
}

TEST_F(ControlTest, process_startsWithLogAndPeersAway_doesNotServe) {
  World &W = start();
  W.LogDown_ = true;
  W.cut("dc1", true);
  W.restart(1);
  W.run(ConfigLimit);
  EXPECT_EQ(W.state(1).Stage_, Stage::Starting);
  const auto Which = W.send(1, prompt("x"));
  EXPECT_EQ(W.outcome(Which).Error_.Kind_, ErrorKind::NotReady);
}

TEST_F(ControlTest, control_olderThanOurs_isIgnored) {
  State S = makeState({}, 1);
  Effects Out;
  MoveRow Row;
  Row.Note_ = 3;
  Row.Model_ = "m";
  Row.Share_ = 0.5;
  const std::string Config = exampleConfig({"m"});
  adoptControl(S, {10, 2, Config, 3, {Row}}, "peer", Out);
  Row.Share_ = 0.05;
  adoptControl(S, {7, 2, Config, 3, {Row}}, "late peer", Out);
  EXPECT_EQ(S.Control_.Version_, 10);
  EXPECT_EQ(S.Release_.Moves_.at("m").Row_.Share_, 0.5);
}

TEST_F(ControlTest, process_startsAndHasOnlyOnePeersWord_waitsForTheLog) {
  State S = makeState({}, 1);
  reduce(S, {1000, 1, 1, Tick{}});
  // The peer may be behind; the log, if it answers soon, knows more.
  const ControlMessage Word{{5, 5, exampleConfig({"m"}), NoOffset, {}}};
  reduce(S, {1100, 1, 1, PeerReceived{{{"entry-1", 1}, Word}}});
  reduce(S, {1200, 1, 1, Tick{}});
  EXPECT_EQ(S.Stage_, Stage::Starting);
  reduce(S, {2700, 1, 1, Tick{}});
  EXPECT_EQ(S.Stage_, Stage::Serving);
}

TEST_F(ControlTest, config_recordsExpired_isReadFromSnapshot) {
  World &W = start();
  const LogOffset Offset = publishNext(0);
  W.run(35000); // a snapshot has been written
  const auto Keep = std::min<std::size_t>(W.LogRecords_.size(), 20);
  W.LogEarliest_ += static_cast<LogOffset>(W.LogRecords_.size() - Keep);
  W.LogRecords_.erase(W.LogRecords_.begin(),
                      W.LogRecords_.end() - static_cast<std::ptrdiff_t>(Keep));
  ASSERT_GT(W.LogEarliest_, Offset);
  for (int I = 0; I < W.entries(); ++I)
    W.restart(I);
  W.run(ConfigLimit + 30000);
  expectEverywhere(Offset);
}

TEST_F(ControlTest, config_recordMissedByRetention_isReadFromSnapshot) {
  World &W = start();
  W.cut("dc1", true); // no peer can help
  W.pause(1);
  W.run(1500); // its last read has returned
  const LogOffset Offset = publishNext(0);
  W.run(35000); // a snapshot has been written since
  const auto Missed = static_cast<std::ptrdiff_t>(Offset) + 2;
  W.LogRecords_.erase(W.LogRecords_.begin(), W.LogRecords_.begin() + Missed);
  W.LogEarliest_ += Missed;
  W.wake(1);
  W.run(ConfigLimit);
  EXPECT_EQ(version(1), Offset);
}

TEST_F(ControlTest, snapshot_olderThanMissedRecords_isNoBase) {
  State S = makeState({}, 1);
  const auto Config = exampleConfig({"m"});
  LogRead Page;
  Page.Earliest_ = 10;
  Page.Next_ = 11;
  // Its writer had read through 7; record 8 or 9 may have been a configuration.
  Page.Entries_ = {{10, SnapshotRecord{1, 7, {5, 5, Config, NoOffset, {}}}}};
  reduce(S, {1, 1, 1, Page});
  EXPECT_EQ(S.Config_.Version_, NoOffset);
  Page.Next_ = 12;
  Page.Entries_ = {{11, SnapshotRecord{1, 10, {8, 8, Config, NoOffset, {}}}}};
  reduce(S, {2, 2, 2, Page});
  EXPECT_EQ(S.Config_.Version_, 8);
}

TEST_F(ControlTest, config_whateverHappens_neverReverts) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    Options.Loss_ = 0.1;
    World &W = start(Options);
    std::vector<LogOffset> Highest(4, 0);
    LogOffset Accepted = 0;
    for (int Step = 0; Step < 40; ++Step) {
      switch (W.Random_() % 6) {
      case 0:
        publishNext(Accepted);
        break;
      case 1:
        publishNext(Accepted - 1); // an operator who is behind
        break;
      case 2:
        W.cutPlatform(W.dataCentre(static_cast<int>(W.Random_() % 3)),
                      W.Random_() % 2 == 0);
        break;
      case 3:
        W.cut(W.dataCentre(static_cast<int>(W.Random_() % 3)),
              W.Random_() % 2 == 0);
        break;
      case 4:
        W.LogDown_ = W.Random_() % 3 == 0;
        break;
      default: {
        const int Which = static_cast<int>(W.Random_() % 4);
        W.restart(Which);
        Highest[static_cast<std::size_t>(Which)] = NoOffset;
      }
      }
      W.run(static_cast<Millis>(W.Random_() % 1500));
      for (int I = 0; I < 4; ++I) {
        auto &Known = Highest[static_cast<std::size_t>(I)];
        EXPECT_GE(version(I), Known) << "seed " << Seed;
        Known = std::max(Known, version(I));
        Accepted = std::max(Accepted, version(I));
        // A process that serves never does so with an older version than it
        // served with in an earlier life.
      }
    }
    W.LogDown_ = false;
    for (int I = 0; I < 3; ++I) {
      W.cut(W.dataCentre(I), false);
      W.cutPlatform(W.dataCentre(I), false);
    }
    W.run(10000);
    for (int I = 1; I < 4; ++I)
      EXPECT_EQ(version(I), version(0)) << "seed " << Seed;
  }
}

// --- The lease ---

class LeaseTest : public ControlTest {};

TEST_F(LeaseTest, lease_allAlive_hasOneHolder) {
  start();
  EXPECT_GE(leaseHolder(), 0);
}

TEST_F(LeaseTest, lease_holderDies_movesToAnother) {
  World &W = start();
  const int First = leaseHolder();
  W.kill(First);
  W.run(8000);
  EXPECT_GE(leaseHolder(), 0);
  EXPECT_NE(leaseHolder(), First);
}

TEST_F(LeaseTest, lease_holderPausedAndWoken_isFenced) {
  World &W = start();
  const int First = leaseHolder();
  const LogOffset OldEpoch = W.state(First).Lease_.Epoch_;
  W.pause(First);
  W.run(8000);
  const int Second = leaseHolder();
  ASSERT_GE(Second, 0);
  // What the old holder had still to say comes too late.
  W.publish(ShareRecord{OldEpoch, 99, "m", 1, "late"});
  W.wake(First);
  EXPECT_FALSE(holdsLease(W.state(First)));
  W.run(3000);
  EXPECT_EQ(leaseHolder(), Second);
  for (int I = 0; I < W.entries(); ++I)
    EXPECT_GE(W.state(I).Counters_.Values_["fenced_records"], 1);
}

TEST_F(LeaseTest, lease_underRandomFaults_neverHasTwoHolders) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    WorldOptions Options;
    Options.Seed_ = Seed;
    World &W = start(Options);
    W.LoseAppendReplies_ = 0.2;
    W.DropAppends_ = 0.2;
    for (int Step = 0; Step < 60; ++Step) {
      const int Which = static_cast<int>(W.Random_() % 4);
      if (W.Random_() % 4 == 0)
        W.LogDown_ = !W.LogDown_;
      else if (W.entry(Which).Paused_)
        W.wake(Which);
      else if (W.Random_() % 2 == 0)
        W.pause(Which);
      for (int I = 0; I < 15; ++I) {
        W.run(static_cast<Millis>(W.Random_() % 100));
        leaseHolder(); // fails if there are two
      }
    }
  }
}

} // namespace endivewharf::fakes
