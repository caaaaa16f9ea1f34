// The platform's path with real processes: two entry processes, the store and
// servers as stand-ins, faults from outside.
#include "platformcluster.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <unistd.h>

namespace endivewharf::harness {

namespace {

class PlatformProcessTest : public ::testing::Test, protected PlatformCluster {
protected:
  static constexpr int Entries = 2;

  void SetUp() override {
    PlatformOptions Given;
    Given.Name_ =
        ::testing::UnitTest::GetInstance()->current_test_info()->name();
    Given.Entries_ = Entries;
    ASSERT_TRUE(startAll(Given)) << "logs are in " << Folder_;
  }
};

} // namespace

TEST_F(PlatformProcessTest, request_reachesItsServer_withTenantAndWithoutKey) {
  const HttpAnswer Answer = get(0, "/check/7?x=1", "abc");
  EXPECT_EQ(Answer.Body_, "whole answer to abc");
  Json Seen;
  for (int I = 0; I < 2; ++I)
    if (books(I)["seen"].contains("abc"))
      Seen = books(I)["seen"]["abc"];
  EXPECT_EQ(Seen["tenant"], "sales");
  EXPECT_EQ(Seen["key"], "");
  EXPECT_LE(std::stoi(Seen["deadline"].get<std::string>()), 4000);
}

TEST_F(PlatformProcessTest, stream_cutByTheServer_isWholeForItsCaller) {
  for (const int Port : Servers_)
    control(Port, {{"cut_after", 15}});
  const HttpAnswer Answer = get(0, "/stream/1", "st");
  EXPECT_EQ(Answer.Status_, 200);
  EXPECT_EQ(Answer.Body_, wholeStream());
  EXPECT_EQ(runs("st"), 2);
}

TEST_F(PlatformProcessTest, booking_answerLost_runsOnceAndPromisesNothing) {
  for (const int Port : Servers_)
    control(Port, {{"lose_answers", 1}});
  EXPECT_EQ(get(0, "/book/1", "b1").Status_, 502);
  EXPECT_EQ(runs("b1"), 1);
}

TEST_F(PlatformProcessTest, booking_serversFull_isRefusedTruly) {
  for (const int Port : Servers_)
    control(Port, {{"refuse", true}});
  EXPECT_EQ(get(0, "/book/1", "b2").Status_, 503);
  for (const int Port : Servers_)
    control(Port, {{"refuse", false}});
  EXPECT_EQ(runs("b2"), 0);
}

TEST_F(PlatformProcessTest, key_takenAway_isRefusedByAllWithinTwoSeconds) {
  put("keyed.op", "config", config(R"(["k2"])"));
  for (int I = 0; I < Entries; ++I)
    EXPECT_TRUE(
        waitFor([&] { return get(I, "/check/1", "k").Status_ == 401; }, 2000));
}

TEST_F(PlatformProcessTest, server_draining_getsNothingAfterTwoSeconds) {
  beat("draining");
  usleep(2'000'000);
  for (int I = 0; I < 12; ++I)
    EXPECT_EQ(get(I % 2, "/check/1", fmt::format("d{}", I)).Status_, 200);
  for (int I = 0; I < 12; ++I)
    EXPECT_FALSE(books(0)["runs"].contains(fmt::format("d{}", I)));
}

TEST_F(PlatformProcessTest, store_silent_servingGoesOnAndItsReturnIsNoticed) {
  control(Store_, {{"silent", true}});
  usleep(1'500'000);
  EXPECT_EQ(get(0, "/check/1", "s1").Status_, 200);
  control(Store_, {{"silent", false}});
  put("keyed.op", "config", config(R"(["k3"])"));
  EXPECT_TRUE(waitFor(
      [&] { return get(0, "/check/1", "s2", "k3").Status_ == 200; }, 6000));
}

TEST_F(PlatformProcessTest, store_forgetsItsHistory_newestHoldAfterARestart) {
  put("keyed.op", "config", config(R"(["k9"])"));
  control(Store_, {{"forget", true}});
  Children_.erase("entry-0");
  startEntry(0);
  EXPECT_TRUE(waitFor(
      [&] { return get(0, "/check/1", "f1", "k9").Status_ == 200; }, 8000));
  EXPECT_EQ(get(0, "/check/1", "f2", "k1").Status_, 401);
}

TEST_F(PlatformProcessTest, server_leavesByHeader_getsNothingAfterItsAnswer) {
  control(Servers_[0], {{"leaving", true}});
  ASSERT_TRUE(waitFor([&] {
    get(0, "/check/1", "w");
    return runs("w") > 0 && books(0)["runs"].contains("w");
  }));
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(get(0, "/check/1", fmt::format("l{}", I)).Status_, 200);
  for (int I = 0; I < 20; ++I)
    EXPECT_FALSE(books(0)["runs"].contains(fmt::format("l{}", I)));
}

TEST_F(PlatformProcessTest, server_asksForAPause_getsNothingUntilItsEnd) {
  control(Servers_[0], {{"refuse", true}, {"pause", "2.5"}});
  ASSERT_TRUE(waitFor([&] {
    get(0, "/check/1", "w");
    return books(0)["refused"].get<int>() > 0;
  }));
  const int Before = books(0)["refused"].get<int>();
  usleep(500'000);
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(get(0, "/check/1", fmt::format("p{}", I)).Status_, 200);
  EXPECT_EQ(books(0)["refused"].get<int>(), Before);
}

TEST_F(PlatformProcessTest, server_bodyWithoutEnd_isCutAndNoneOfItPassedOn) {
  for (const int Port : Servers_)
    control(Port, {{"endless_body", true}});
  for (const char *Path : {"/check/1", "/book/1", "/stream/1"}) {
    const HttpAnswer Answer = get(0, Path, fmt::format("e{}", Path));
    EXPECT_GE(Answer.Status_, 500) << Path;
    EXPECT_EQ(Answer.Body_.find("xxxx"), std::string::npos) << Path;
    for (const int Port : Servers_)
      control(Port, {{"endless_body", true}});
  }
  for (const int Port : Servers_)
    control(Port, {{"endless_body", false}});
  EXPECT_TRUE(waitFor([&] { return get(0, "/check/1", "s").Status_ == 200; }));
}

TEST_F(PlatformProcessTest, entry_stoppedUnderLoad_answersAllThatItTook) {
  std::atomic<bool> Ends = false;
  std::atomic<int> Cut = 0;
  std::atomic<int> Whole = 0;
  std::vector<std::thread> Callers;
  for (int I = 0; I < 6; ++I)
    Callers.emplace_back([&, I] {
      for (int N = 0; !Ends; ++N) {
        HttpRequest Request;
        Request.Url_ = url(0, "/check/1");
        Request.Headers_ = headers(fmt::format("s{}-{}", I, N), "k1");
        Request.TotalLimit_ = 5000;
        Request.Fresh_ = N % 2 == 0;
        const HttpResult Result =
            Connection().ask(Request, [](std::string_view) {});
        if (Result.End_ == TransferEnd::Complete)
          ++Whole;
        else if (Result.End_ != TransferEnd::NotSent)
          ++Cut;
      }
    });
  usleep(300'000);
  Children_.at("entry-0")->signal(SIGTERM);
  EXPECT_TRUE(waitFor(
      [&] { return Children_.at("entry-0")->ended().has_value(); }, 9000));
  Ends = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  EXPECT_GT(Whole, 50);
  EXPECT_EQ(Cut, 0);
}

TEST_F(PlatformProcessTest, entry_stopped_cutsNoStream) {
  std::vector<HttpAnswer> Answers(4);
  std::vector<std::thread> Callers;
  for (int I = 0; I < 4; ++I)
    Callers.emplace_back(
        [&, I] { Answers[I] = get(0, "/stream/1", fmt::format("t{}", I)); });
  ASSERT_TRUE(waitFor([&] { return runs("t3") > 0; }, 3000));
  Children_.at("entry-0")->signal(SIGTERM);
  for (std::thread &Caller : Callers)
    Caller.join();
  for (const HttpAnswer &Answer : Answers)
    EXPECT_EQ(Answer.Body_, wholeStream());
  EXPECT_TRUE(waitFor(
      [&] { return Children_.at("entry-0")->ended().has_value(); }, 8000));
}

} // namespace endivewharf::harness
