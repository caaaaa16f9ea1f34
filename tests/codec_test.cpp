// Tests of the codec: messages and records survive encoding and decoding
// unchanged, and arbitrary bytes give a typed error or a valid value.
#include "codec.h"
#include "core.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace endivewharf {

namespace {

/// Maps every byte to a lower-case letter: the records of the control log are
/// JSON texts, so their strings have to be UTF-8.
std::string toAsciiLetters(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>('a' + static_cast<unsigned char>(C) % 26);
  return Text;
}

DigestMessage makeDigest(std::uint64_t Seed) {
  DigestMessage Digest;
  Digest.Peers_.push_back(
      {{"entry-1", Seed}, "dc", "zone", Seed / 3, 17, Seed % 2 == 0});
  Digest.ControlVersion_ = static_cast<LogOffset>(Seed % 1000);
  Digest.FactsHash_ = Seed;
  Digest.Sequence_ = 5;
  Digest.Acknowledged_ = 4;
  return Digest;
}

} // namespace

RC_GTEST_PROP(CodecTest, digest_anyValues_survivesTheTrip,
              (std::uint64_t Seed)) {
  const PeerEnvelope Sent{{"entry-9", Seed}, makeDigest(Seed)};
  const auto Decoded = decodeMessage(encodeMessage(Sent));
  RC_ASSERT(Decoded.has_value());
  const auto &Digest = std::get<DigestMessage>(Decoded->Message_);
  RC_ASSERT(Decoded->Sender_ == Sent.Sender_);
  RC_ASSERT(Digest.FactsHash_ == Seed);
  RC_ASSERT(Digest.Peers_.at(0).Instance_.Incarnation_ == Seed);
  RC_ASSERT(Digest.Peers_.at(0).Heartbeat_ == Seed / 3);
}

RC_GTEST_PROP(CodecTest, record_anyValues_survivesTheTrip,
              (const std::string &Key, std::uint64_t Number, bool Known)) {
  ClaimDoneRecord Sent{
      toAsciiLetters(Key),         "claim", Known, 200, "text/plain",
      toAsciiLetters(Key + "body")};
  const auto Decoded = decodeRecord(encodeRecord(Sent));
  RC_ASSERT(Decoded.has_value());
  const auto &Done = std::get<ClaimDoneRecord>(*Decoded);
  RC_ASSERT(Done.Key_ == Sent.Key_);
  RC_ASSERT(Done.OutcomeKnown_ == Known);
  const auto Claim = decodeRecord(
      encodeRecord(ClaimRecord{"k", "c", {"entry-1", Number}, Number}));
  RC_ASSERT(std::get<ClaimRecord>(*Claim).Fingerprint_ == Number);
}

RC_GTEST_PROP(CodecTest, message_anyBytes_doesNoHarm,
              (const std::string &Bytes)) {
  State S = makeState({}, 1);
  const auto Message = decodeMessage(Bytes);
  if (Message)
    reduce(S, {1, 1, 1, PeerReceived{*Message}});
  static_cast<void>(decodeRecord(Bytes));
}

RC_GTEST_PROP(CodecTest, message_oneByteChanged_doesNoHarm,
              (std::uint64_t Seed, std::uint8_t Byte)) {
  std::string Bytes = encodeMessage({{"entry-9", Seed}, makeDigest(Seed)});
  Bytes[Seed % Bytes.size()] = static_cast<char>(Byte);
  State S = makeState({}, 1);
  const auto Message = decodeMessage(Bytes);
  if (Message)
    reduce(S, {1, 1, 1, PeerReceived{*Message}});
}

TEST(CodecTest, suspects_ofBothKinds_surviveTheTrip) {
  const RequestName Request{7, "check", "buyers", {1, 2}};
  FactsMessage Facts;
  Facts.Breaks_.push_back({Request, 5, 9, 7});
  Facts.Breaks_.push_back({PartName{3, "m", "id"}, 6, 0, 0});
  const auto Decoded = decodeMessage(encodeMessage({{"entry-9", 1}, Facts}));
  ASSERT_TRUE(Decoded.has_value());
  const auto &Breaks = std::get<FactsMessage>(Decoded->Message_).Breaks_;
  ASSERT_EQ(Breaks.size(), 2u);
  const auto &Read = std::get<RequestName>(Breaks[0].Name_);
  EXPECT_EQ(Read.Account_, "buyers");
  EXPECT_EQ(Read.PartKeys_, Request.PartKeys_);
  EXPECT_EQ(Breaks[0].RequestKey_, 7u);
  EXPECT_EQ(std::get<PartName>(Breaks[1].Name_).Id_, "id");
}

TEST(CodecTest, block_ofAProcessThatKnowsNoRequests_isOfParts) {
  const auto Decoded = decodeRecord(
      R"({"type":"blocked_parts","fact":{"parts":[{"key":3,"model":"m","id":"x"}],"upstreams":[1],"lifted":false}})");
  ASSERT_TRUE(Decoded.has_value());
  const BlockFact &Fact = std::get<BlockRecord>(*Decoded).Fact_;
  ASSERT_EQ(Fact.Names_.size(), 1u);
  EXPECT_EQ(std::get<PartName>(Fact.Names_[0]).Id_, "x");
}

TEST(CodecTest, message_nestedAMillionTimes_isATypedError) {
  // In CBOR, the byte 0x81 begins an array of one element.
  const std::string Nested(1'000'000, '\x81');
  EXPECT_FALSE(decodeMessage(Nested));
}

TEST(CodecTest, record_numberBeyondItsType_isATypedError) {
  EXPECT_FALSE(decodeRecord(R"({"type":"claim_done","status":1e30})"));
}

TEST(CodecTest, message_hugeSizeInItsHead_isATypedError) {
  EXPECT_FALSE(decodeMessage("\xBB"
                             "aaaaaaaa")
                   .has_value());
  EXPECT_FALSE(decodeMessage("\x9B"
                             "aaaaaaaa")
                   .has_value());
}

TEST(CodecTest, record_unknownFieldOfANewerProcess_isSkipped) {
  nlohmann::json Body = nlohmann::json::parse(
      encodeRecord(ConfigRecord{7, "[account a]\nkey = k\n"}));
  Body["colour"] = "red";
  const auto Decoded = decodeRecord(Body.dump());
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_EQ(std::get<ConfigRecord>(*Decoded).BaseVersion_, 7);
}

TEST(CodecTest, record_unknownType_isATypedError) {
  EXPECT_EQ(decodeRecord(R"({"type":"future"})").error(),
            CodecError::UnknownType);
  EXPECT_EQ(decodeRecord("}{").error(), CodecError::NotJson);
  EXPECT_EQ(decodeRecord(R"({"type":"claim","key":5})").error(),
            CodecError::WrongShape);
}

} // namespace endivewharf
