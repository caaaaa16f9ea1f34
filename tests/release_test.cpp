// Tests of rollouts of a model version: a bad version gets a small share of
// the traffic, and no new work soon after the evidence shows it; a good
// version is in force in time.
#include "fixture.h"
#include "release.h"

namespace endivewharf::fakes {

namespace {

constexpr double MaxShareBeforeVerdict = 0.05;
/// Time from the first bad verdict until every process has to know it, ms.
constexpr Millis VerdictPropagationTime = 2000;

class ReleaseTest : public WorldTest {
protected:
  /// Publishes a release note and sends requests at a constant rate.
  /// @param TimeToDeadline time until the new version has to be in force, ms
  /// @param Duration time for which requests are sent, ms
  /// @param PerSecond requests per second
  void runRollout(Millis TimeToDeadline, Millis Duration, int PerSecond = 40) {
    World &W = *World_;
    W.appendLogRecord(ReleaseNoteRecord{
        NoOffset, "note", W.unixNow() + TimeToDeadline, {{"m", "v2"}}});
    const Millis End = W.now() + Duration;
    for (int I = 0; W.now() < End; ++I) {
      CallRequest Request = makePromptRequest(fmt::format("q{} words", I), 8);
      if (I % 3 == 0)
        Request.Route_ = "completions";
      W.sendRequest(I % W.entryCount(), Request);
      W.runFor(1000 / PerSecond);
      observeRollout();
    }
  }

  const RolloutState &rolloutAt(int Entry) const {
    return World_->state(Entry).Release_.Rollouts_.at("m");
  }

  /// Records when the verdict is known to the first and to all processes, and
  /// how many attempts each version got until then.
  void observeRollout() {
    std::int64_t OldAttempts = 0;
    std::int64_t NewAttempts = 0;
    for (const FakeEngine &E : World_->Engines_)
      for (const auto &[Version, Count] : E.AttemptsByVersion_)
        (Version == "v2" ? NewAttempts : OldAttempts) += Count;
    bool KnownToAny = false;
    bool KnownToAll = true;
    for (int I = 0; I < World_->entryCount(); ++I) {
      const auto &Rollouts = World_->state(I).Release_.Rollouts_;
      const auto Found = Rollouts.find("m");
      const bool RolledBack =
          Found != Rollouts.end() && Found->second.Row_.RolledBack_;
      KnownToAny = KnownToAny || RolledBack;
      KnownToAll = KnownToAll && RolledBack;
    }
    if (!KnownToAny) {
      NewAttemptsBeforeVerdict_ = NewAttempts;
      OldAttemptsBeforeVerdict_ = OldAttempts;
    }
    if (KnownToAny && FirstVerdictAt_ < 0)
      FirstVerdictAt_ = World_->now();
    if (KnownToAll && LastVerdictAt_ < 0)
      LastVerdictAt_ = World_->now();
    if (FirstVerdictAt_ >= 0 &&
        World_->now() <= FirstVerdictAt_ + VerdictPropagationTime)
      NewAttemptsAfterPropagation_ = NewAttempts;
    NewAttempts_ = NewAttempts;
  }

  void expectRolledBack() {
    ASSERT_GE(FirstVerdictAt_, 0) << "no process has rolled the version back";
    ASSERT_GE(LastVerdictAt_, 0) << "not every process knows the verdict";
    EXPECT_LE(LastVerdictAt_ - FirstVerdictAt_, VerdictPropagationTime);
    EXPECT_EQ(NewAttempts_, NewAttemptsAfterPropagation_)
        << "new version got attempts after the verdict had propagated";
  }

  void expectAllAnswered() {
    for (const Outcome &O : World_->outcomes())
      EXPECT_TRUE(!O.Ended_ || (O.Answered_ && !O.TokenSequenceWrong_))
          << O.Error_.Detail_;
  }

  Millis FirstVerdictAt_ = -1;
  Millis LastVerdictAt_ = -1;
  std::int64_t NewAttemptsBeforeVerdict_ = 0;
  std::int64_t OldAttemptsBeforeVerdict_ = 0;
  std::int64_t NewAttemptsAfterPropagation_ = 0;
  std::int64_t NewAttempts_ = 0;
};

} // namespace

TEST_F(ReleaseTest, version_good_isInForceInTime) {
  startProcesses();
  runRollout(60000, 60000);
  for (int I = 0; I < 4; ++I) {
    EXPECT_FALSE(rolloutAt(I).Row_.RolledBack_) << rolloutAt(I).Row_.Reason_;
    EXPECT_EQ(rolloutAt(I).Row_.Share_, 1);
  }
  expectAllAnswered();
}

TEST_F(ReleaseTest, version_failsAtOnce_isTakenBackAndCallersAreAnswered) {
  World &W = startProcesses();
  VersionFault Fault;
  Fault.FailureFraction_ = 1;
  W.setVersionFault("v2", Fault);
  runRollout(60000, 40000);
  expectRolledBack();
  EXPECT_LE(NewAttemptsBeforeVerdict_,
            MaxShareBeforeVerdict *
                static_cast<double>(NewAttemptsBeforeVerdict_ +
                                    OldAttemptsBeforeVerdict_));
  expectAllAnswered();
}

TEST_F(ReleaseTest, version_slow_isTakenBack) {
  World &W = startProcesses();
  VersionFault Fault;
  Fault.SlowdownFactor_ = 2;
  W.setVersionFault("v2", Fault);
  runRollout(120000, 60000);
  expectRolledBack();
  EXPECT_NE(rolloutAt(0).Row_.Reason_.find("slower"), std::string::npos);
}

TEST_F(ReleaseTest, version_badOnOneRouteOnly_isTakenBack) {
  World &W = startProcesses();
  VersionFault Fault;
  Fault.FailureFraction_ = 0.6;
  Fault.Route_ = "completions";
  W.setVersionFault("v2", Fault);
  runRollout(120000, 60000);
  expectRolledBack();
  expectAllAnswered();
}

TEST_F(ReleaseTest, version_badInOneCentreOnly_isTakenBack) {
  World &W = startProcesses();
  VersionFault Fault;
  Fault.FailureFraction_ = 0.6;
  Fault.DataCentre_ = "dc1";
  W.setVersionFault("v2", Fault);
  runRollout(120000, 60000);
  expectRolledBack();
}

TEST_F(ReleaseTest, version_failsOnlyAfterItIsInForce_isTakenBack) {
  World &W = startProcesses();
  VersionFault Fault;
  Fault.FailureFraction_ = 0.5;
  Fault.ActiveFrom_ = W.now() + 70000;
  W.setVersionFault("v2", Fault);
  runRollout(60000, 100000);
  expectRolledBack();
  // A long period of good evidence before the fault must not delay the
  // verdict.
  EXPECT_LE(FirstVerdictAt_ - Fault.ActiveFrom_, VerdictPropagationTime);
  expectAllAnswered();
}

TEST_F(ReleaseTest, version_badWithLogDown_isTakenBackAllTheSame) {
  World &W = startProcesses();
  VersionFault Fault;
  Fault.FailureFraction_ = 1;
  Fault.ActiveFrom_ = W.now() + 6000;
  W.setVersionFault("v2", Fault);
  W.scheduleAt(W.now() + 5000, [&W] { W.LogUnavailable_ = true; });
  runRollout(60000, 60000);
  expectRolledBack();
  // The verdict persists: a process that restarts gets it from its peers.
  W.restartEntry(2);
  W.runFor(5000);
  EXPECT_TRUE(rolloutAt(2).Row_.RolledBack_);
}

TEST_F(ReleaseTest, version_badAndCentreCutOff_centreJudgesForItself) {
  World &W = startProcesses();
  VersionFault Fault;
  Fault.FailureFraction_ = 1;
  Fault.ActiveFrom_ = W.now() + 9000;
  W.setVersionFault("v2", Fault);
  W.scheduleAt(W.now() + 8000, [&W] {
    W.setDataCentreIsolated("dc1", true);
    W.setPlatformUnreachable("dc1", true);
  });
  runRollout(60000, 60000);
  for (int I = 0; I < 4; ++I)
    EXPECT_TRUE(rolloutAt(I).Row_.RolledBack_) << I;
}

TEST_F(ReleaseTest, share_ofNewVersion_holdsSummedOverAllProcesses) {
  startProcesses();
  World_->OnEffect_ = [this](int, const Effect &) {
    std::int64_t OldAttempts = 0;
    std::int64_t NewAttempts = 0;
    for (const FakeEngine &E : World_->Engines_)
      for (const auto &[Version, Count] : E.AttemptsByVersion_)
        (Version == "v2" ? NewAttempts : OldAttempts) += Count;
    double Share = 0;
    for (int I = 0; I < 4; ++I) {
      const auto &Rollouts = World_->state(I).Release_.Rollouts_;
      const auto Found = Rollouts.find("m");
      if (Found != Rollouts.end())
        Share = std::max(Share, Found->second.Row_.Share_);
    }
    EXPECT_TRUE(Share > MaxShareBeforeVerdict ||
                NewAttempts <=
                    MaxShareBeforeVerdict *
                        static_cast<double>(OldAttempts + NewAttempts))
        << NewAttempts << " of " << OldAttempts + NewAttempts;
  };
  runRollout(60000, 20000);
}

TEST_F(ReleaseTest, notes_twoOperatorsRace_firstWins) {
  World &W = startProcesses();
  W.appendLogRecord(
      ReleaseNoteRecord{NoOffset, "one", W.unixNow() + 60000, {{"m", "v2"}}});
  W.appendLogRecord(
      ReleaseNoteRecord{NoOffset, "two", W.unixNow() + 60000, {{"m", "v3"}}});
  W.runFor(1000);
  for (int I = 0; I < 4; ++I)
    EXPECT_EQ(rolloutAt(I).Row_.ToVersion_, "v2");
}

TEST_F(ReleaseTest, note_withTooLittleTime_isCalledInfeasibleAtOnce) {
  World &W = startProcesses();
  int LogLines = 0;
  W.OnEffect_ = [&](int, const Effect &E) {
    const auto *Line = std::get_if<WriteLogLine>(&E);
    LogLines += Line != nullptr && Line->Event_ == "move_infeasible" ? 1 : 0;
  };
  W.appendLogRecord(
      ReleaseNoteRecord{NoOffset, "n", W.unixNow() + 3000, {{"m", "v2"}}});
  W.runFor(1200);
  EXPECT_EQ(LogLines, W.entryCount());
}

TEST_F(ReleaseTest, verdict_atEveryMoment_isSticky) {
  World &W = startProcesses();
  W.appendLogRecord(
      ReleaseNoteRecord{NoOffset, "one", W.unixNow() + 60000, {{"m", "v2"}}});
  W.runFor(500);
  const LogOffset Note = rolloutAt(0).Row_.NoteVersion_;
  Effects Out;
  rollBackVersion(W.state(0), {Note, "m", "by hand"}, Out);
  // A concurrent increase of the share does not undo the rollback.
  applyRolloutShare(W.state(0),
                    {W.state(0).Lease_.Epoch_, Note, "m", 1, "late"}, Out);
  EXPECT_TRUE(rolloutAt(0).Row_.RolledBack_);
  EXPECT_FALSE(isNewVersionDue(W.state(0), rolloutAt(0)));
}

} // namespace endivewharf::fakes
