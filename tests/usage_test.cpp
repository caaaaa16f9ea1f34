// Usage windows: one count for each, repeated exactly, in true time whatever
// clocks and held-up messages say.
#include "platformfixture.h"

#include "usage.h"

namespace endivewharf {

namespace {

class UsageTest : public PlatformTest {
protected:
  /// Runs on, with a log that takes everything; gathers reports.
  void run(Millis Time) {
    for (Millis Passed = 0; Passed < Time; Passed += 50) {
      after(50);
      const Effects Now = All_;
      for (const Effect &E : Now) {
        if (const auto *Append = std::get_if<AppendToLog>(&E)) {
          Written_.insert(Written_.end(), Append->Records_.begin(),
                          Append->Records_.end());
          appended(*Append);
        }
        if (const auto *Report = std::get_if<ReportUsage>(&E)) {
          Reports_.push_back(*Report);
          if (Answering_)
            feed(UsageReported{Report->Window_, true});
        }
      }
    }
  }

  /// @return a window that begins to be counted while this process holds the
  /// lease
  std::int64_t windowOfHolder() {
    takeLease();
    run(5200);
    return usageWindow(S_);
  }

  void book(const std::string &Key) {
    const StartAttempt Start = dispatched("/check/1");
    feed(ServiceReply{Start.Attempt_, 200, "", "ok", {}});
    (void)Key;
  }

  void peerCounted(std::uint64_t Incarnation, std::int64_t Window,
                   std::int64_t Count) {
    hearOf("entry-2", Incarnation);
    SumsMessage M;
    M.Usage_.push_back({Window, "sales", Count});
    sums("entry-2", Incarnation, M);
  }

  /// @return what was reported of an account; -1: nothing
  std::int64_t reported(std::int64_t Window, const std::string &Account) {
    for (const ReportUsage &R : Reports_)
      if (R.Window_ == Window)
        return R.Counts_.at(Account);
    return -1;
  }

  std::vector<ReportUsage> Reports_;
  std::vector<LogRecord> Written_;
  bool Answering_ = true;
};

} // namespace

TEST_F(UsageTest, window_over_isReportedOnceWithWhatRan) {
  const std::int64_t Window = windowOfHolder();
  book("k2");
  book("k2");
  run(9000);
  int Times = 0;
  for (const ReportUsage &R : Reports_)
    if (R.Window_ == Window) {
      ++Times;
      EXPECT_EQ(R.Counts_.at("sales"), 2);
    }
  EXPECT_EQ(Times, 1);
}

TEST_F(UsageTest, report_withoutAnswer_isRepeatedExactly) {
  const std::int64_t Window = windowOfHolder();
  book("k2");
  Answering_ = false;
  run(5500);
  const std::size_t Before = Reports_.size();
  hearOf("entry-2", 9);
  SumsMessage Late; // a peer's count that comes after the decision
  Late.Usage_.push_back({Window, "sales", 7});
  sums("entry-2", 9, Late);
  run(3000);
  EXPECT_GT(Reports_.size(), Before);
  for (const ReportUsage &R : Reports_)
    if (R.Window_ == Window)
      EXPECT_EQ(R.Counts_.at("sales"), 1);
}

TEST_F(UsageTest, peer_restartedInAWindow_bothItsLivesCount) {
  const std::int64_t Window = windowOfHolder();
  peerCounted(9, Window, 20);
  peerCounted(10, Window, 3);
  run(12000);
  EXPECT_EQ(reported(Window, "sales"), 23);
}

TEST_F(UsageTest, processes_allRestarted_earlierWindowIsReportedFromTheLog) {
  const std::int64_t Window = windowOfHolder();
  book("k2");
  peerCounted(9, Window, 20);
  run(5000);
  ASSERT_EQ(reported(Window, "sales"), -1);
  std::vector<LogRecord> Left;
  for (const LogRecord &Record : Written_)
    if (std::holds_alternative<UsageCountsRecord>(Record))
      Left.push_back(Record);
  start(5, Left);
  takeLease();
  run(5000);
  EXPECT_EQ(reported(Window, "sales"), 21);
}

TEST_F(UsageTest, peer_cutOffAtTheEndOfAWindow_isWaitedFor) {
  const std::int64_t Window = windowOfHolder();
  peerCounted(9, Window, 20);
  while (usageWindow(S_) == Window)
    run(50);
  run(3000);
  EXPECT_EQ(reported(Window, "sales"), -1);
  peerCounted(9, Window, 45);
  run(1000);
  EXPECT_EQ(reported(Window, "sales"), 45);
}

TEST_F(UsageTest, peer_silentForGood_reportIsInTime) {
  const std::int64_t Window = windowOfHolder();
  peerCounted(9, Window, 20);
  run(5000 + 7000);
  EXPECT_EQ(reported(Window, "sales"), 20);
}

TEST_F(UsageTest, messages_heldUpInACut_doNotTurnTimeBack) {
  takeLease();
  hearOf("entry-2", 9);
  run(5000);
  const std::int64_t Before = trueUnixMs(S_);
  for (int I = 0; I < 50; ++I) {
    SumsMessage Old;
    Old.UnixMs_ = Unix_ + Now_ - 30000;
    sums("entry-2", 9, Old);
  }
  EXPECT_GE(trueUnixMs(S_), Before);
}

TEST_F(UsageTest, timeOfDay_stepsWhileRunning_windowsGoOn) {
  takeLease();
  run(3000);
  const std::int64_t Before = trueUnixMs(S_);
  Unix_ -= 2400;
  run(1000);
  EXPECT_EQ(trueUnixMs(S_), Before + 1000);
}

TEST_F(UsageTest, process_startedWithAWrongClock_goesByItsPeers) {
  const std::int64_t Right = Unix_;
  Unix_ -= 2400;
  start(5);
  for (const char *Name : {"entry-2", "entry-3", "entry-4"}) {
    hearOf(Name, 9);
    SumsMessage M;
    M.UnixMs_ = Right + Now_;
    sums(Name, 9, M);
  }
  after(2000);
  EXPECT_EQ(trueUnixMs(S_), Right + Now_);
}

TEST_F(UsageTest, window_tooOldToCount_isNotReported) {
  takeLease();
  const std::int64_t Old = usageWindow(S_);
  Now_ += 60000; // the process stood still
  run(8000);
  for (const ReportUsage &R : Reports_)
    EXPECT_GT(R.Window_, Old + 5);
}

} // namespace endivewharf
