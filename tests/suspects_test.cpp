// Tests of the evidence on prompt parts in one process: what clears a part, and
// what bounds the memory against any stream of new parts.
#include "platformfixture.h"

#include "suspects.h"

#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr std::size_t MaxSuspects = 512;
constexpr std::size_t MaxClearedParts = 32768; // in two generations

class PromptPartsTest : public PlatformTest {
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

  Effects Effects_;
};

} // namespace

TEST_F(PromptPartsTest, blockedPart_inANewRequest_isRefusedAsNotRunAtOnce) {
  blockPart("dead");
  const auto Refusal = refusalOf(prompt("r1", {"common", "dead", "own"}));
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Kind_, ErrorKind::PartBlocked);
  EXPECT_EQ(Refusal->RunState_, RunState::NotRun);
  EXPECT_EQ(Refusal->RetryAfter_, 0);
}

TEST_F(PromptPartsTest, blockedPart_ofAnotherModel_isNotRefused) {
  blockPart("dead");
  EXPECT_FALSE(refusalOf(prompt("r1", {"dead", "own"}, "other")));
}

TEST_F(PromptPartsTest, blockedPart_asTheLastPart_isNotRefused) {
  blockPart("dead");
  EXPECT_FALSE(refusalOf(prompt("r1", {"common", "dead"})));
}

TEST_F(PromptPartsTest, blockOfTwoParts_promptHasOne_isNotRefused) {
  FactsMessage Facts;
  Facts.Blocks_.push_back({{PartName{keyOf("first"), "m", "first"},
                            PartName{keyOf("dead"), "m", "dead"}},
                           {1}});
  mergeSuspectFacts(State_, "peer", Facts, Effects_);
  EXPECT_FALSE(refusalOf(prompt("r1", {"first", "own"})));
  EXPECT_TRUE(refusalOf(prompt("r2", {"first", "dead", "own"})));
}

TEST_F(PromptPartsTest, answer_beginsUnderABlockedPart_liftsTheBlock) {
  blockPart("dead");
  Call C;
  C.Request_ = prompt("r1", {"dead", "own"});
  C.SharedPartKeys_ = sharedPartKeys(C.Request_);
  recordAnswerBegun(State_, C, Effects_);
  EXPECT_FALSE(refusalOf(C.Request_));
  blockPart("dead"); // A peer that has not heard of it yet.
  EXPECT_FALSE(refusalOf(C.Request_));
}

TEST_F(PromptPartsTest, block_streamOfNewBrokenParts_staysAndMemoryIsBounded) {
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

TEST_F(PromptPartsTest, clearedParts_streamOfNewOnes_areBounded) {
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

TEST_F(PromptPartsTest, clearedPart_onlyANewVersionIsServed_isJudgedAnew) {
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

} // namespace endivewharf
