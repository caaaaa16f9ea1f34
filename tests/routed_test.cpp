// Routed calls: what a route says of repetition, what a refusal promises, how
// streams go on.
#include "platformfixture.h"

#include "metrics.h"

namespace endivewharf {

using RoutedTest = PlatformTest;

TEST_F(RoutedTest, request_noConfigurationYet_isNotReadyNeverUnknown) {
  S_ = makeState(S_.Settings_, 2);
  send("/booking/1");
  const auto Refusal = one<RefuseCall>();
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Error_.Kind_, ErrorKind::NotReady);
  EXPECT_EQ(Refusal->Error_.Run_, RunState::NotRun);
  EXPECT_GT(Refusal->Error_.RetryAfter_, 0);
}

TEST_F(RoutedTest, path_twoPrefixesMatch_longestIsTaken) {
  std::string Longer = Config;
  Longer += "[route other]\nhost = SHOP.example\npath = /check/vip/\n"
            "kind = repeatable\nservice = engines:1\n";
  feed(OperatorRead{2, {{1, PublishedConfiguration{Longer}}}});
  EXPECT_EQ(dispatched("/check/vip/7").Route_, "other");
  EXPECT_EQ(dispatched("/check/7").Route_, "check");
}

TEST_F(RoutedTest, key_unknown_isBadKeyOnlyWhileTheViewIsFresh) {
  send("/check/1", "nobody");
  EXPECT_EQ(one<RefuseCall>()->Error_.Kind_, ErrorKind::BadKey);
  feed(OperatorReadFailed{});
  after(5000);
  send("/check/1", "nobody");
  EXPECT_EQ(one<RefuseCall>()->Error_.Kind_, ErrorKind::NotReady);
}

TEST_F(RoutedTest, upstream_isNamedAndKeyIsNotPassedOn) {
  const StartAttempt Start = dispatched("/booking/1");
  EXPECT_TRUE(Start.Host_ == "o1" || Start.Host_ == "o2");
  EXPECT_EQ(Start.Account_, "sales");
  EXPECT_LE(Start.TimeLeft_, 1000);
}

TEST_F(RoutedTest, unrepeatable_connectionBroken_isNotSentAgain) {
  const StartAttempt Start = dispatched("/booking/1");
  fail(Start.Attempt_, AttemptFailure::Broken);
  EXPECT_FALSE(one<StartAttempt>());
  ASSERT_TRUE(one<RefuseCall>());
  EXPECT_EQ(one<RefuseCall>()->Error_.Run_, RunState::Unknown);
}

TEST_F(RoutedTest, unrepeatable_refusedByUpstream_goesElsewhere) {
  const StartAttempt First = dispatched("/booking/1");
  fail(First.Attempt_, AttemptFailure::Refused);
  ASSERT_TRUE(one<StartAttempt>());
  EXPECT_NE(one<StartAttempt>()->Host_, First.Host_);
}

TEST_F(RoutedTest, upstream_saysInAnAnswerThatItLeaves_getsNothingMore) {
  const StartAttempt First = dispatched("/booking/1");
  feed(UpstreamNotice{First.Attempt_, true, 0});
  feed(ServiceReply{First.Attempt_, 200, "", "ok", {}});
  for (int I = 0; I < 20; ++I) {
    EXPECT_NE(dispatched("/booking/2").Host_, First.Host_);
    after(100);
  }
}

TEST_F(RoutedTest, upstream_asksForAPause_getsNothingUntilItsEnd) {
  const StartAttempt First = dispatched("/booking/1");
  feed(UpstreamNotice{First.Attempt_, false, 3000});
  fail(First.Attempt_, AttemptFailure::Refused);
  ASSERT_TRUE(one<StartAttempt>());
  EXPECT_NE(one<StartAttempt>()->Host_, First.Host_);
  bool Again = false;
  for (int I = 0; I < 58; ++I) {
    after(50);
    Again = Again || dispatched("/check/1").Host_ == First.Host_;
    feed(ServiceReply{one<StartAttempt>()->Attempt_, 200, "", "ok", {}});
  }
  EXPECT_FALSE(Again);
  after(200);
  for (int I = 0; I < 20; ++I)
    Again = Again || dispatched("/check/1").Host_ == First.Host_;
  EXPECT_TRUE(Again);
}

TEST_F(RoutedTest,
       allUpstreams_askForAPause_requestIsRefusedAtOnceUntilItsEnd) {
  for (int I = 0; I < 2; ++I) {
    const StartAttempt Start = dispatched("/booking/1");
    feed(UpstreamNotice{Start.Attempt_, false, 3000});
    fail(Start.Attempt_, AttemptFailure::Refused);
    after(50);
    while (const auto More = one<StartAttempt>()) {
      feed(UpstreamNotice{More->Attempt_, false, 3000});
      fail(More->Attempt_, AttemptFailure::Refused);
    }
  }
  after(1000);
  send("/booking/1");
  EXPECT_FALSE(one<StartAttempt>());
  ASSERT_TRUE(one<RefuseCall>());
  EXPECT_EQ(one<RefuseCall>()->Error_.Run_, RunState::NotRun);
  EXPECT_GE(one<RefuseCall>()->Error_.RetryAfter_, 1500);
}

TEST_F(RoutedTest, stream_bytesButNoEventForTooLong_goesOnElsewhere) {
  const StartAttempt First = dispatched("/report/1");
  feed(AttemptToken{First.Attempt_, 1, "id: 1\n\n"});
  bool Cancelled = false;
  std::optional<StartAttempt> Second;
  for (int I = 0; I < 60 && !Second; ++I) {
    after(50);
    Cancelled = Cancelled || one<CancelAttempt>();
    Second = one<StartAttempt>();
  }
  EXPECT_TRUE(Cancelled);
  ASSERT_TRUE(Second);
  EXPECT_NE(Second->Host_, First.Host_);
  EXPECT_EQ(Second->ResumeAfter_, 1);
}

TEST_F(RoutedTest, stream_slowAndNotToBeResumed_isLeftToItsUpstream) {
  const StartAttempt First = dispatched("/question/1");
  EXPECT_EQ(First.ProgressLimit_, 0);
  feed(AttemptToken{First.Attempt_, 1, "id: 1\n\n"});
  for (int I = 0; I < 54; ++I) {
    after(50);
    EXPECT_FALSE(one<CancelAttempt>());
    EXPECT_FALSE(one<CutCall>());
  }
  feed(AttemptToken{First.Attempt_, 2, "id: 2\n\n"});
  EXPECT_TRUE(one<SendToken>());
}

TEST_F(RoutedTest, stream_slowWithinItsLimit_isNotMoved) {
  const StartAttempt First = dispatched("/report/1");
  for (int Index = 1; Index < 8; ++Index) {
    feed(AttemptToken{First.Attempt_, Index, "id: 1\n\n"});
    for (int I = 0; I < 35; ++I) {
      after(50);
      EXPECT_FALSE(one<CancelAttempt>());
    }
  }
}

TEST_F(RoutedTest, host_missingFromTheList_keepsItsStreamsAndGetsNoneNew) {
  const StartAttempt First = dispatched("/report/1");
  feed(AttemptToken{First.Attempt_, 1, "id: 1\n\n"});
  std::vector<HostRow> Less = hosts();
  std::erase_if(
      Less, [&](const HostRow &Row) { return Row.Host_.Name_ == First.Host_; });
  feed(HostsRead{Less});
  EXPECT_FALSE(one<CancelAttempt>());
  for (int I = 2; I < 20; ++I) {
    after(500);
    EXPECT_FALSE(one<StartAttempt>());
    EXPECT_FALSE(one<CancelAttempt>());
    feed(AttemptToken{First.Attempt_, I, "id: 1\n\n"});
    EXPECT_TRUE(one<SendToken>());
  }
  EXPECT_NE(dispatched("/report/2").Host_, First.Host_);
}

TEST_F(RoutedTest, unrepeatable_addressOfAnotherHost_goesElsewhere) {
  const StartAttempt First = dispatched("/booking/1");
  fail(First.Attempt_, AttemptFailure::OtherHost);
  ASSERT_TRUE(one<StartAttempt>());
  EXPECT_NE(one<StartAttempt>()->Host_, First.Host_);
}

TEST_F(RoutedTest, unrepeatable_serverError_isPassedOnWithItsHeaders) {
  const StartAttempt Start = dispatched("/booking/1");
  feed(ServiceReply{Start.Attempt_, 500, "", "no", {{"Mark", "x"}}});
  ASSERT_TRUE(one<ReplyRouted>());
  EXPECT_EQ(one<ReplyRouted>()->Status_, 500);
  EXPECT_EQ(one<ReplyRouted>()->Headers_, (Headers{{"Mark", "x"}}));
}

TEST_F(RoutedTest, repeatable_serverError_runsAtNoMoreUpstreamsThanAllowed) {
  const StartAttempt First = dispatched("/check/1");
  feed(ServiceReply{First.Attempt_, 500, "", "no", {}});
  const auto Second = one<StartAttempt>();
  ASSERT_TRUE(Second);
  EXPECT_NE(Second->Host_, First.Host_);
  feed(ServiceReply{Second->Attempt_, 500, "", "no", {}});
  EXPECT_FALSE(one<StartAttempt>());
  EXPECT_EQ(one<ReplyRouted>()->Status_, 500);
}

TEST_F(RoutedTest, resumableStream_broken_goesOnAfterItsLastEvent) {
  const StartAttempt First = dispatched("/report/1");
  feed(AttemptHead{First.Attempt_, 200, {{"Mark", "first"}}});
  feed(AttemptToken{First.Attempt_, 1, "id: 1\n\n"});
  EXPECT_EQ(one<StartRoutedStream>()->Headers_, (Headers{{"Mark", "first"}}));
  feed(AttemptToken{First.Attempt_, 2, "id: 2\n\n"});
  fail(First.Attempt_, AttemptFailure::Broken);
  const auto Second = one<StartAttempt>();
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second->ResumeAfter_, 2);
  feed(AttemptHead{Second->Attempt_, 200, {{"Mark", "second"}}});
  feed(AttemptToken{Second->Attempt_, 3, "id: 3\n\n"});
  EXPECT_FALSE(one<StartRoutedStream>());
  EXPECT_EQ(one<SendToken>()->Index_, 3);
  feed(AttemptEnded{Second->Attempt_, "", 0, 0});
  EXPECT_TRUE(one<FinishStream>());
}

TEST_F(RoutedTest, stream_eventMissing_isNeverPassedOnWithAGap) {
  const StartAttempt First = dispatched("/report/1");
  feed(AttemptHead{First.Attempt_, 200, {}});
  feed(AttemptToken{First.Attempt_, 1, "id: 1\n\n"});
  feed(AttemptToken{First.Attempt_, 3, "id: 3\n\n"});
  EXPECT_FALSE(one<SendToken>());
  EXPECT_TRUE(one<CancelAttempt>());
  EXPECT_EQ(one<StartAttempt>()->ResumeAfter_, 1);
}

TEST_F(RoutedTest, stream_brokenAndNotResumable_isCutNotEnded) {
  const StartAttempt First = dispatched("/question/1");
  feed(AttemptHead{First.Attempt_, 200, {}});
  feed(AttemptToken{First.Attempt_, 0, "id: 0\n\n"});
  fail(First.Attempt_, AttemptFailure::Broken);
  EXPECT_TRUE(one<CutCall>());
  EXPECT_FALSE(one<FinishStream>());
  EXPECT_FALSE(one<RefuseCall>());
}

TEST_F(RoutedTest, caller_gone_attemptIsCancelledAtOnce) {
  const StartAttempt Start = dispatched("/booking/1");
  feed(CallerGone{NextCall_ - 1});
  ASSERT_TRUE(one<CancelAttempt>());
  EXPECT_EQ(one<CancelAttempt>()->Attempt_, Start.Attempt_);
  EXPECT_TRUE(S_.Calls_.empty());
}

TEST_F(RoutedTest, timeLimit_passedWhileRunning_answerPromisesNothing) {
  dispatched("/booking/1");
  after(1100);
  ASSERT_TRUE(one<RefuseCall>());
  EXPECT_EQ(one<RefuseCall>()->Error_.Kind_, ErrorKind::TimeLimit);
  EXPECT_NE(one<RefuseCall>()->Error_.Run_, RunState::NotRun);
}

TEST_F(RoutedTest, upstreamsFull_callIsRefusedSoonWithATimeToComeBack) {
  for (int I = 0; I < 32; ++I)
    dispatched("/booking/1");
  send("/booking/1");
  EXPECT_FALSE(one<StartAttempt>());
  after(100);
  ASSERT_TRUE(one<RefuseCall>());
  EXPECT_EQ(one<RefuseCall>()->Error_.Kind_, ErrorKind::Overloaded);
  EXPECT_EQ(one<RefuseCall>()->Error_.Run_, RunState::NotRun);
  EXPECT_GT(one<RefuseCall>()->Error_.RetryAfter_, 0);
}

TEST_F(RoutedTest, enginesFull_plainServiceIsNotHeldUp) {
  for (int I = 0; I < 40; ++I)
    send("/question/1");
  EXPECT_TRUE(dispatched("/booking/1").Attempt_ != 0);
}

TEST_F(RoutedTest, process_soonToEnd_refusesWhatCouldNotEndBefore) {
  feed(StopRequested{7300});
  EXPECT_TRUE(dispatched("/report/1").Attempt_ != 0);
  after(6500);
  send("/report/1");
  ASSERT_TRUE(one<RefuseCall>());
  EXPECT_EQ(one<RefuseCall>()->Error_.Kind_, ErrorKind::Draining);
  EXPECT_EQ(one<RefuseCall>()->Error_.Run_, RunState::NotRun);
}

TEST_F(RoutedTest, host_draining_getsNothingMoreInThisLife) {
  auto Rows = hosts();
  Rows[2].Leaving_ = true;
  feed(HostsRead{Rows});
  feed(HostsRead{hosts()}); // an old entry says ready again
  for (int I = 0; I < 8; ++I)
    EXPECT_EQ(dispatched("/booking/1").Host_, "o2");
  Rows[2] = host("o1", "orders", "a", 2);
  feed(HostsRead{Rows});
  bool Back = false;
  for (int I = 0; I < 8; ++I)
    Back = Back || dispatched("/booking/1").Host_ == "o1";
  EXPECT_TRUE(Back);
}

TEST_F(RoutedTest, process_onThePlatform_asksForNothingThatIsNotThere) {
  for (int I = 0; I < 40; ++I) {
    after(50);
    EXPECT_FALSE(one<ReadNotices>());
    EXPECT_FALSE(one<ProbeUpstream>());
  }
}

TEST_F(RoutedTest, host_missingJustAfterTheStoreReturned_staysForAMoment) {
  auto Rows = hosts();
  Rows.erase(Rows.begin() + 2);
  feed(HostsReadFailed{});
  Now_ += 5000;
  feed(HostsRead{Rows});
  EXPECT_TRUE(S_.Upstreams_[2].Listed_);
  Now_ += 2500;
  feed(HostsRead{Rows});
  EXPECT_FALSE(S_.Upstreams_[2].Listed_);
}

TEST_F(RoutedTest, latencies_ofAStream_areCountedByWhatWasWaitedFor) {
  send("/report/1");
  const auto Start = one<StartAttempt>();
  ASSERT_TRUE(Start);
  after(60);
  feed(AttemptToken{Start->Attempt_, 1, "id: 1\n\n"});
  after(60);
  feed(AttemptEnded{Start->Attempt_, "", 0, 0});
  const std::string Text = renderMetrics(S_, {});
  const auto Has = [&](const std::string &Line) {
    return Text.find(Line + "\n") != std::string::npos;
  };
  EXPECT_TRUE(
      Has(R"(endivewharf_queue_seconds_bucket{kind="stream",le="0.005"} 1)"));
  EXPECT_TRUE(Has(
      R"(endivewharf_first_event_seconds_bucket{kind="stream",le="0.05"} 0)"));
  EXPECT_TRUE(Has(
      R"(endivewharf_first_event_seconds_bucket{kind="stream",le="0.1"} 1)"));
  EXPECT_TRUE(Has(R"(endivewharf_request_seconds_count{kind="stream"} 1)"));
}

TEST_F(RoutedTest, configuration_older_neverReplacesANewerOne) {
  feed(OperatorRead{6, {{5, PublishedConfiguration{Config}}}});
  std::string Old = "[account x]\nkey = y\n";
  adoptedFromPeer(3, Old);
  EXPECT_EQ(S_.Config_.Version_, 5);
  EXPECT_EQ(S_.Config_.Value_.AccountsByKey_.count("k1"), 1U);
}

TEST_F(RoutedTest, configuration_newerAtAPeer_isAskedForAndTakenOver) {
  DigestMessage D;
  MemberRow Row;
  Row.Life_ = {"entry-2", 9};
  Row.Address_ = "10.0.0.2:7000";
  Row.ConfigVersion_ = 8;
  D.Members_.push_back(Row);
  feed(PeerReceived{{{"entry-2", 9}, D}});
  bool Asked = false;
  for (const Effect &E : All_)
    if (const auto *To = std::get_if<SendToPeer>(&E))
      Asked =
          Asked || std::holds_alternative<ControlRequestMessage>(To->Message_);
  EXPECT_TRUE(Asked);
  adoptedFromPeer(8, Config);
  EXPECT_EQ(S_.Config_.Version_, 8);
}

} // namespace endivewharf
