// Tests of the evidence on prompt parts and requests in one process: what
// clears them, and what bounds the memory against any stream of new ones.
#include "platformfixture.h"

#include "suspects.h"

#include <fmt/format.h>
#include <limits>

namespace endivewharf {

namespace {

constexpr std::size_t MaxSuspects = 512;
constexpr std::size_t MaxClearedParts = 32768; // in two generations

class SuspectsTest : public PlatformTest {
protected:
  static CallRequest prompt(const std::string &Id,
                            const std::vector<std::string> &Parts,
                            const std::string &Model = "m") {
    CallRequest R = sampleRequest("/report/1", "k2", Id);
    R.Model_ = Model;
    for (const std::string &Part : Parts)
      R.PromptParts_.push_back({Part, 10});
    return R;
  }

  static std::uint64_t keyOf(const std::string &Part,
                             const std::string &Model = "m") {
    return sharedPartKeys(prompt("x", {Part, "own"}, Model)).front();
  }

  /// Blocks a part as if a peer had found it.
  void blockPart(const std::string &Part) {
    FactsMessage Facts;
    Facts.Blocks_.push_back({{PartName{keyOf(Part), "m", Part}}, {1, 2, 3}});
    mergeSuspectFacts(State_, "peer", Facts, Effects_);
  }

  std::optional<CallError> refusalOf(const CallRequest &R) {
    Call C;
    C.Request_ = R;
    C.SharedPartKeys_ = sharedPartKeys(R);
    return checkBlocked(State_, C);
  }

  /// A call for the route `/check/` as its process judges it.
  static Call lookup(const std::string &Path, const std::string &Account) {
    Call C;
    C.Request_ = sampleRequest(Path, "k2", "r1");
    C.Account_ = Account;
    fillSuspectKeys(C);
    return C;
  }

  /// Blocks a request as if a peer had found it.
  void blockRequest(const Call &C) {
    FactsMessage Facts;
    Facts.Blocks_.push_back(
        {{RequestName{C.RequestKey_, "check", C.Account_, {}}}, {1, 2, 3, 4}});
    mergeSuspectFacts(State_, "peer", Facts, Effects_);
  }

  Effects Effects_;
};

} // namespace

TEST_F(SuspectsTest, blockedRequest_comesAgain_isRefusedAsNotRunAtOnce) {
  const Call C = lookup("/check/1?x=2", "sales");
  blockRequest(C);
  const auto Refusal = checkBlocked(State_, C);
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Kind_, ErrorKind::RequestBlocked);
  EXPECT_EQ(Refusal->RunState_, RunState::NotRun);
  EXPECT_EQ(Refusal->RetryAfter_, 0);
  EXPECT_EQ(Refusal->Basis_, "peer, 0 ms ago");
  EXPECT_EQ(httpStatus(Refusal->Kind_), 503);
}

TEST_F(SuspectsTest, blockedRequest_anotherQueryCallerOrBody_isNotRefused) {
  blockRequest(lookup("/check/1?x=2", "sales"));
  EXPECT_FALSE(checkBlocked(State_, lookup("/check/1?x=3", "sales")));
  EXPECT_FALSE(checkBlocked(State_, lookup("/check/1?x=2", "buyers")));
  Call Other = lookup("/check/1?x=2", "sales");
  Other.Request_.Body_ = "more";
  fillSuspectKeys(Other);
  EXPECT_FALSE(checkBlocked(State_, Other));
}

TEST_F(SuspectsTest, blockedRequest_answeredInFull_isNoLongerRefused) {
  Call C = lookup("/check/1", "sales");
  blockRequest(C);
  recordAnswerComplete(State_, C, Effects_);
  EXPECT_FALSE(checkBlocked(State_, C));
  blockRequest(C); // A peer that has not heard of it yet.
  EXPECT_FALSE(checkBlocked(State_, C));
}

TEST_F(SuspectsTest, request_failedByItsUpstream_isNotCleared) {
  const StartAttempt Start = dispatchRequest("/check/1");
  const std::uint64_t Key = State_.Calls_.begin()->second.RequestKey_;
  reduceEvent(ServiceAnswer{Start.Attempt_, 500, "", "broken", {}});
  EXPECT_FALSE(isCleared(State_, Key));
}

TEST_F(SuspectsTest, parts_waveOfBrokenRequests_areNotPushedOut) {
  FactsMessage Part;
  for (std::uint32_t Upstream = 21; Upstream <= 22; ++Upstream)
    Part.Breaks_.push_back(
        {PartName{keyOf("suspect"), "m", "suspect"}, Upstream, 0, 0});
  mergeSuspectFacts(State_, "peer", Part, Effects_);
  const Call Blocked = lookup("/check/dead", "sales");
  blockRequest(Blocked);
  for (std::uint64_t I = 0; I < 100000; ++I) {
    FactsMessage Facts;
    const RequestName Name{1000 + I, "check", "sales", {}};
    for (std::uint32_t Upstream = 0; Upstream < 2; ++Upstream)
      Facts.Breaks_.push_back(
          {Name, 100 + static_cast<std::uint32_t>(I % 50) + Upstream, 0, 0});
    mergeSuspectFacts(State_, "peer", Facts, Effects_);
    State_.Suspicion_.FactsOutbox_ = {};
    Effects_.clear();
  }
  EXPECT_LE(State_.Suspicion_.Suspects_.size(), MaxSuspects + 1);
  EXPECT_EQ(State_.Suspicion_.Suspects_.count(keyOf("suspect")), 1u);
  EXPECT_TRUE(checkBlocked(State_, Blocked));
}

TEST_F(SuspectsTest, request_breaksOnce_isNotGossiped) {
  const StartAttempt Start = dispatchRequest("/check/1");
  failAttempt(Start.Attempt_, AttemptFailure::ConnectionBroken);
  EXPECT_TRUE(State_.Suspicion_.FactsOutbox_.Breaks_.empty());
  EXPECT_EQ(State_.Suspicion_.Suspects_.size(), 1u);
}

TEST_F(SuspectsTest, blockedPart_inANewRequest_isRefusedAsNotRunAtOnce) {
  blockPart("dead");
  const auto Refusal = refusalOf(prompt("r1", {"common", "dead", "own"}));
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Kind_, ErrorKind::PartBlocked);
  EXPECT_EQ(Refusal->RunState_, RunState::NotRun);
  EXPECT_EQ(Refusal->RetryAfter_, 0);
}

TEST_F(SuspectsTest, blockedPart_ofAnotherModel_isNotRefused) {
  blockPart("dead");
  EXPECT_FALSE(refusalOf(prompt("r1", {"dead", "own"}, "other")));
}

TEST_F(SuspectsTest, blockedPart_asTheLastPart_isNotRefused) {
  blockPart("dead");
  EXPECT_FALSE(refusalOf(prompt("r1", {"common", "dead"})));
}

TEST_F(SuspectsTest, blockOfTwoParts_promptHasOne_isNotRefused) {
  FactsMessage Facts;
  Facts.Blocks_.push_back({{PartName{keyOf("first"), "m", "first"},
                            PartName{keyOf("dead"), "m", "dead"}},
                           {1}});
  mergeSuspectFacts(State_, "peer", Facts, Effects_);
  EXPECT_FALSE(refusalOf(prompt("r1", {"first", "own"})));
  EXPECT_TRUE(refusalOf(prompt("r2", {"first", "dead", "own"})));
}

TEST_F(SuspectsTest, answer_beginsUnderABlockedPart_liftsTheBlock) {
  blockPart("dead");
  Call C;
  C.Request_ = prompt("r1", {"dead", "own"});
  C.SharedPartKeys_ = sharedPartKeys(C.Request_);
  recordAnswerBegun(State_, C, Effects_);
  EXPECT_FALSE(refusalOf(C.Request_));
  blockPart("dead"); // A peer that has not heard of it yet.
  EXPECT_FALSE(refusalOf(C.Request_));
}

TEST_F(SuspectsTest, block_streamOfNewBrokenParts_staysAndMemoryIsBounded) {
  blockPart("dead");
  for (std::uint32_t I = 0; I < 100000; ++I) {
    FactsMessage Facts;
    const std::string Part = fmt::format("new-{}", I);
    for (std::uint32_t Upstream = 0; Upstream < 2; ++Upstream)
      Facts.Breaks_.push_back(
          {PartName{keyOf(Part), "m", Part}, 100 + I % 50 + Upstream, 0, 0});
    mergeSuspectFacts(State_, "peer", Facts, Effects_);
    State_.Suspicion_.FactsOutbox_ = {};
    Effects_.clear();
  }
  EXPECT_LE(State_.Suspicion_.Suspects_.size(), MaxSuspects);
  EXPECT_TRUE(refusalOf(prompt("r1", {"dead", "own"})));
}

TEST_F(SuspectsTest, clearedParts_streamOfNewOnes_areBounded) {
  for (int I = 0; I < 100000; ++I) {
    Call C;
    C.SharedPartKeys_ = {keyOf("common"), keyOf(fmt::format("p-{}", I))};
    recordAnswerBegun(State_, C, Effects_);
  }
  EXPECT_LE(State_.Suspicion_.ClearedParts_[0].size() +
                State_.Suspicion_.ClearedParts_[1].size(),
            MaxClearedParts);
  EXPECT_TRUE(isCleared(State_, keyOf("common")));
}

TEST_F(SuspectsTest, clearedPart_onlyANewVersionIsServed_isJudgedAnew) {
  Call C;
  C.SharedPartKeys_ = {keyOf("common")};
  recordAnswerBegun(State_, C, Effects_);
  HostRow Host = sampleHost("e1", "engines", "a", 1);
  const std::vector<HostRow> Old{Host};
  forgetClearedUnderOldVersions(State_, Old);
  EXPECT_TRUE(isCleared(State_, keyOf("common")));
  forgetClearedUnderOldVersions(State_, {}); // All hosts of the service ended.
  EXPECT_TRUE(isCleared(State_, keyOf("common")));
  Host.Version_ = "v2";
  const std::vector<HostRow> New{Host};
  forgetClearedUnderOldVersions(State_, New);
  EXPECT_FALSE(isCleared(State_, keyOf("common")));
}

TEST_F(SuspectsTest, breaksRecord_ofAnImpossibleTime_isTooOldAndDoesNoHarm) {
  BreaksRecord Record;
  Record.Rows_.push_back({RequestName{7, "check", "sales", {}}, 5, 9, 7});
  Record.UnixMs_ = std::numeric_limits<std::int64_t>::min();
  mergeBreaksRecord(State_, Record, Effects_);
  EXPECT_TRUE(State_.Suspicion_.Suspects_.empty());
  Record.UnixMs_ = State_.UnixMs_;
  mergeBreaksRecord(State_, Record, Effects_);
  EXPECT_EQ(State_.Suspicion_.Suspects_.count(7), 1u);
}

} // namespace endivewharf
