// Messages and records survive the trip; no bytes do harm.
#include "codec.h"
#include "core.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace endivewharf {

namespace {

std::string toAsciiLetters(std::string From) {
  // The log's records are JSON texts, so their strings are UTF-8.
  for (char &C : From)
    C = static_cast<char>('a' + static_cast<unsigned char>(C) % 26);
  return From;
}

DigestMessage makeDigest(std::uint64_t Seed) {
  DigestMessage D;
  D.Peers_.push_back(
      {{"entry-1", Seed}, "dc", "zone", Seed / 3, 17, Seed % 2 == 0});
  D.ControlVersion_ = static_cast<LogOffset>(Seed % 1000);
  D.FactsHash_ = Seed;
  D.Sequence_ = 5;
  D.Acknowledged_ = 4;
  return D;
}

} // namespace

RC_GTEST_PROP(CodecTest, digest_anyValues_survivesTheTrip,
              (std::uint64_t Seed)) {
  const PeerEnvelope Sent{{"entry-9", Seed}, makeDigest(Seed)};
  const auto Got = decodeMessage(encodeMessage(Sent));
  RC_ASSERT(Got.has_value());
  const auto &D = std::get<DigestMessage>(Got->Message_);
  RC_ASSERT(Got->Sender_ == Sent.Sender_);
  RC_ASSERT(D.FactsHash_ == Seed);
  RC_ASSERT(D.Peers_.at(0).Instance_.Incarnation_ == Seed);
  RC_ASSERT(D.Peers_.at(0).Heartbeat_ == Seed / 3);
}

RC_GTEST_PROP(CodecTest, record_anyValues_survivesTheTrip,
              (const std::string &Key, std::uint64_t Number, bool Known)) {
  ClaimDoneRecord Sent{
      toAsciiLetters(Key),         "claim", Known, 200, "text/plain",
      toAsciiLetters(Key + "body")};
  const auto Got = decodeRecord(encodeRecord(Sent));
  RC_ASSERT(Got.has_value());
  const auto &R = std::get<ClaimDoneRecord>(*Got);
  RC_ASSERT(R.Key_ == Sent.Key_);
  RC_ASSERT(R.OutcomeKnown_ == Known);
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

TEST(CodecTest, message_nestedAMillionTimes_isATypedError) {
  const std::string Nested(1'000'000, '\x81'); // arrays of one array
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
  const auto Got = decodeRecord(Body.dump());
  ASSERT_TRUE(Got.has_value());
  EXPECT_EQ(std::get<ConfigRecord>(*Got).BaseVersion_, 7);
}

TEST(CodecTest, record_unknownType_isATypedError) {
  EXPECT_EQ(decodeRecord(R"({"type":"future"})").error(),
            CodecError::UnknownType);
  EXPECT_EQ(decodeRecord("}{").error(), CodecError::NotJson);
  EXPECT_EQ(decodeRecord(R"({"type":"claim","key":5})").error(),
            CodecError::WrongShape);
}

} // namespace endivewharf
