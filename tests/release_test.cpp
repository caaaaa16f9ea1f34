// Promise 2: a bad version gets a small share and none soon after it shows;
// a good one is in force in time.
#include "fixture.h"
#include "release.h"

namespace endivewharf::fakes {

namespace {

constexpr double MaxShareBeforeVerdict = 0.05;
constexpr Millis VerdictSpread = 2000; // everywhere after the first verdict

class ReleaseTest : public WorldTest {
protected:
  /// Publishes a note and keeps requests coming.
  void move(Millis Within, Millis RunFor, int PerSecond = 40) {
    World &W = *World_;
    W.publish(
        NoteRecord{NoOffset, "note", W.unixNow() + Within, {{"m", "v2"}}});
    const Millis End = W.now() + RunFor;
    for (int I = 0; W.now() < End; ++I) {
      CallRequest Request = prompt(fmt::format("q{} words", I), 8);
      if (I % 3 == 0)
        Request.Route_ = "completions";
      W.send(I % W.entries(), Request);
      W.run(1000 / PerSecond);
      note();
    }
  }

  const Move &moveAt(int Entry) const {
    return World_->state(Entry).Release_.Moves_.at("m");
  }

  /// Watches when the verdict is known and how many went to the new version.
  void note() {
    std::int64_t Old = 0;
    std::int64_t New = 0;
    for (const FakeEngine &E : World_->Engines_)
      for (const auto &[Version, Count] : E.AttemptsByVersion_)
        (Version == "v2" ? New : Old) += Count;
    bool Any = false;
    bool All = true;
    for (int I = 0; I < World_->entries(); ++I) {
      const auto &Moves = World_->state(I).Release_.Moves_;
      const auto Found = Moves.find("m");
      const bool Bad = Found != Moves.end() && Found->second.Row_.Bad_;
      Any = Any || Bad;
      All = All && Bad;
    }
    if (!Any) {
      NewBefore_ = New;
      OldBefore_ = Old;
    }
    if (Any && FirstVerdict_ < 0)
      FirstVerdict_ = World_->now();
    if (All && LastVerdict_ < 0)
      LastVerdict_ = World_->now();
    if (FirstVerdict_ >= 0 && World_->now() <= FirstVerdict_ + VerdictSpread)
      NewAtSpread_ = New;
    New_ = New;
  }

  void expectTakenBack() {
    ASSERT_GE(FirstVerdict_, 0) << "no verdict";
    ASSERT_GE(LastVerdict_, 0) << "not known everywhere";
    EXPECT_LE(LastVerdict_ - FirstVerdict_, VerdictSpread);
    EXPECT_EQ(New_, NewAtSpread_) << "new work after the verdict";
  }

  void expectAllAnswered() {
    for (const Outcome &O : World_->outcomes())
      EXPECT_TRUE(!O.Ended_ || (O.Answered_ && !O.Wrong_)) << O.Error_.Detail_;
  }

  Millis FirstVerdict_ = -1;
  Millis LastVerdict_ = -1;
  std::int64_t NewBefore_ = 0;
  std::int64_t OldBefore_ = 0;
  std::int64_t NewAtSpread_ = 0;
  std::int64_t New_ = 0;
};

} // namespace

TEST_F(ReleaseTest, version_good_isInForceInTime) {
  start();
  move(60000, 60000);
  for (int I = 0; I < 4; ++I) {
    EXPECT_FALSE(moveAt(I).Row_.Bad_) << moveAt(I).Row_.Reason_;
    EXPECT_EQ(moveAt(I).Row_.Share_, 1);
  }
  expectAllAnswered();
}

TEST_F(ReleaseTest, version_failsAtOnce_isTakenBackAndCallersAreAnswered) {
  World &W = start();
  VersionFault Fault;
  Fault.FailShare_ = 1;
  W.setVersionFault("v2", Fault);
  move(60000, 40000);
  expectTakenBack();
  EXPECT_LE(NewBefore_, MaxShareBeforeVerdict *
                            static_cast<double>(NewBefore_ + OldBefore_));
  expectAllAnswered();
}

TEST_F(ReleaseTest, version_slow_isTakenBack) {
  World &W = start();
  VersionFault Fault;
  Fault.Slowdown_ = 2;
  W.setVersionFault("v2", Fault);
  move(120000, 60000);
  expectTakenBack();
  EXPECT_NE(moveAt(0).Row_.Reason_.find("slower"), std::string::npos);
}

TEST_F(ReleaseTest, version_badOnOneRouteOnly_isTakenBack) {
  World &W = start();
  VersionFault Fault;
  Fault.FailShare_ = 0.6;
  Fault.Route_ = "completions";
  W.setVersionFault("v2", Fault);
  move(120000, 60000);
  expectTakenBack();
  expectAllAnswered();
}

TEST_F(ReleaseTest, version_badInOneCentreOnly_isTakenBack) {
  World &W = start();
  VersionFault Fault;
  Fault.FailShare_ = 0.6;
  Fault.DataCentre_ = "dc1";
  W.setVersionFault("v2", Fault);
  move(120000, 60000);
  expectTakenBack();
}

TEST_F(ReleaseTest, version_failsOnlyAfterItIsInForce_isTakenBack) {
  World &W = start();
  VersionFault Fault;
  Fault.FailShare_ = 0.5;
  Fault.From_ = W.now() + 70000;
  W.setVersionFault("v2", Fault);
  move(60000, 100000);
  expectTakenBack();
  // A long good time before must not hold the verdict up.
  EXPECT_LE(FirstVerdict_ - Fault.From_, VerdictSpread);
  expectAllAnswered();
}

TEST_F(ReleaseTest, version_badWithLogDown_isTakenBackAllTheSame) {
  World &W = start();
  VersionFault Fault;
  Fault.FailShare_ = 1;
  Fault.From_ = W.now() + 6000;
  W.setVersionFault("v2", Fault);
  W.at(W.now() + 5000, [&W] { W.LogDown_ = true; });
  move(60000, 60000);
  expectTakenBack();
  // The verdict lasts: a process that restarts learns it from its peers.
  W.restart(2);
  W.run(5000);
  EXPECT_TRUE(moveAt(2).Row_.Bad_);
}

TEST_F(ReleaseTest, version_badAndCentreCutOff_centreJudgesForItself) {
  World &W = start();
  VersionFault Fault;
  Fault.FailShare_ = 1;
  Fault.From_ = W.now() + 9000;
  W.setVersionFault("v2", Fault);
  W.at(W.now() + 8000, [&W] {
    W.cut("dc1", true);
    W.cutPlatform("dc1", true);
  });
  move(60000, 60000);
  for (int I = 0; I < 4; ++I)
    EXPECT_TRUE(moveAt(I).Row_.Bad_) << I;
}

TEST_F(ReleaseTest, share_ofNewVersion_holdsSummedOverAllProcesses) {
  start();
  World_->Watch_ = [this](int, const Effect &) {
    std::int64_t Old = 0;
    std::int64_t New = 0;
    for (const FakeEngine &E : World_->Engines_)
      for (const auto &[Version, Count] : E.AttemptsByVersion_)
        (Version == "v2" ? New : Old) += Count;
    double Share = 0;
    for (int I = 0; I < 4; ++I) {
      const auto &Moves = World_->state(I).Release_.Moves_;
      const auto Found = Moves.find("m");
      if (Found != Moves.end())
        Share = std::max(Share, Found->second.Row_.Share_);
    }
    EXPECT_TRUE(Share > MaxShareBeforeVerdict ||
                New <= MaxShareBeforeVerdict * static_cast<double>(Old + New))
        << New << " of " << Old + New;
  };
  move(60000, 20000);
}

TEST_F(ReleaseTest, notes_twoOperatorsRace_firstWins) {
  World &W = start();
  W.publish(NoteRecord{NoOffset, "one", W.unixNow() + 60000, {{"m", "v2"}}});
  W.publish(NoteRecord{NoOffset, "two", W.unixNow() + 60000, {{"m", "v3"}}});
  W.run(1000);
  for (int I = 0; I < 4; ++I)
    EXPECT_EQ(moveAt(I).Row_.To_, "v2");
}

TEST_F(ReleaseTest, note_withTooLittleTime_isCalledInfeasibleAtOnce) {
  World &W = start();
  int Said = 0;
  W.Watch_ = [&](int, const Effect &E) {
    const auto *Line = std::get_if<WriteLog>(&E);
    Said += Line != nullptr && Line->Event_ == "move_infeasible" ? 1 : 0;
  };
  W.publish(NoteRecord{NoOffset, "n", W.unixNow() + 3000, {{"m", "v2"}}});
  W.run(1200);
  EXPECT_EQ(Said, W.entries());
}

TEST_F(ReleaseTest, verdict_atEveryMoment_isSticky) {
  World &W = start();
  W.publish(NoteRecord{NoOffset, "one", W.unixNow() + 60000, {{"m", "v2"}}});
  W.run(500);
  const LogOffset Note = moveAt(0).Row_.Note_;
  Effects Out;
  markBad(W.state(0), {Note, "m", "by hand"}, Out);
  // A share that was raised at the same time does not bring it back.
  applyShare(W.state(0), {W.state(0).Lease_.Epoch_, Note, "m", 1, "late"}, Out);
  EXPECT_TRUE(moveAt(0).Row_.Bad_);
  EXPECT_FALSE(isNewVersionDue(W.state(0), moveAt(0)));
}

} // namespace endivewharf::fakes
