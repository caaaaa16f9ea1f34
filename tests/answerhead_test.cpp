// Tests of AnswerHead: which heads are answers, and what is read from them.
#include "answerhead.h"

#include "mutator.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <gtest/gtest.h>

namespace endivewharf {

namespace {

/// Every byte that a name or a value may not hold, as text.
std::string allBytes() {
  std::string Bytes;
  for (int Byte = 0; Byte < 256; ++Byte)
    Bytes += static_cast<char>(Byte);
  return Bytes;
}

class AnswerHeadTest : public ::testing::Test {
protected:
  /// Gives an answer's head to `Head_`, line by line.
  /// @return the first fault
  std::optional<HeadFault> read(std::string_view Bytes) {
    Head_ = {};
    while (!Bytes.empty()) {
      const auto End = std::min(Bytes.find('\n'), Bytes.size() - 1);
      if (const auto Fault = Head_.addLine(Bytes.substr(0, End + 1)))
        return Fault;
      Bytes.remove_prefix(End + 1);
    }
    return std::nullopt;
  }

  std::optional<HeadFault> readStatusLine(const std::string &Line) {
    return read(Line + "\r\n\r\n");
  }

  std::optional<HeadFault> readFields(const std::string &Lines) {
    return read("HTTP/1.1 200 OK\r\n" + Lines + "\r\n");
  }

  AnswerHead Head_;
};

} // namespace

TEST_F(AnswerHeadTest, statusCodes_from100To599_areTheOnlyOnes) {
  for (int Status = 0; Status < 1000; ++Status) {
    const bool IsProper = Status >= 100 && Status <= 599 && Status != 101;
    char Digits[8];
    std::snprintf(Digits, sizeof(Digits), "%03d", Status);
    EXPECT_EQ(readStatusLine(std::string("HTTP/1.1 ") + Digits + " X"),
              IsProper ? std::nullopt : std::optional(HeadFault::Status))
        << Digits;
    EXPECT_EQ(Head_.isComplete(), IsProper && Status >= 200) << Digits;
  }
}

TEST_F(AnswerHeadTest, statusLines_ofOtherShapes_areFaults) {
  for (const char *Line :
       {"HTTP/1.1 20",      "HTTP/1.1 2000 OK",  "HTTP/1.1 2x0 OK",
        "HTTP/1.1 OK",      "HTTP/1.1 +20 OK",   "HTTP/1.1 -20 OK",
        "HTTP/1.1",         "HTTP/1.1 ",         "",
        " HTTP/1.1 200 OK", "HTTP/2 200 OK",     "HTTP/3 200 OK",
        "HTTP/1.2 200 OK",  "HTTP/0.9 200 OK",   "http/1.1 200 OK",
        "HTTP/1.1200 OK",   "HTTP/1.1 200OK",    "ICY 200 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x01K",
        "HTTP/1.1 200 \x7f"})
    EXPECT_EQ(readStatusLine(Line), HeadFault::StatusLine) << Line;
}

TEST_F(AnswerHeadTest, statusLines_withOddReasons_areProper) {
  for (const char *Line :
       {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 Not quite",
        "HTTP/1.1 200 \xc3\xa4", "HTTP/1.1 200 a\tb", "HTTP/1.1 599 ?"})
    EXPECT_EQ(readStatusLine(Line), std::nullopt) << Line;
}

TEST_F(AnswerHeadTest, names_areTokens) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  for (const char Byte : allBytes()) {
    if (Byte == '\n' || Byte == ':')
      continue; // Ends the line, or the name.
    const auto Code = static_cast<unsigned char>(Byte);
    const bool IsProper =
        Code < 128 && (std::isalnum(Code) != 0 ||
                       Others.find(Byte) != std::string_view::npos);
    for (const std::string &Name :
         {std::string("N") + Byte, std::string("N") + Byte + "x"})
      EXPECT_EQ(readFields(Name + ": v\r\n") == std::nullopt, IsProper) << Code;
  }
  for (const char *Line : {": v\r\n", "name\r\n", "Content-Length : 2\r\n",
                           "Transfer-Encoding\t: chunked\r\n", "(x): v\r\n"})
    EXPECT_EQ(readFields(Line), HeadFault::FieldName) << Line;
}

TEST_F(AnswerHeadTest, values_holdNoControlCharacters) {
  for (const char Byte : allBytes()) {
    if (Byte == '\n')
      continue;
    const auto Code = static_cast<unsigned char>(Byte);
    const bool IsProper = Byte == '\t' || (Code >= 0x20 && Code != 0x7f);
    EXPECT_EQ(readFields(std::string("N: a") + Byte + "b\r\n") == std::nullopt,
              IsProper)
        << Code;
  }
}

TEST_F(AnswerHeadTest, fields_oddButProper_areKept) {
  ASSERT_EQ(readFields("a:\r\nB: \t x \t\r\nc:y\nD: \xff\xc3\xa4\r\n"
                       "!#$%&'*+-.^_`|~9: \"a,b;c\"\r\n"),
            std::nullopt);
  const Headers Expected = {{"a", ""},
                            {"B", "x"},
                            {"c", "y"},
                            {"D", "\xff\xc3\xa4"},
                            {"!#$%&'*+-.^_`|~9", "\"a,b;c\""}};
  EXPECT_EQ(Head_.fields(), Expected);
}

TEST_F(AnswerHeadTest, foldedLines_areJoinedToTheirField) {
  ASSERT_EQ(readFields("A: one\r\n two: 2\r\n\t three\r\nB:\r\n x\r\n \r\n"),
            std::nullopt);
  EXPECT_EQ(Head_.fields(), (Headers{{"A", "one two: 2 three"}, {"B", "x"}}));
}

TEST_F(AnswerHeadTest, foldedLines_thatContinueNothingOrALength_areFaults) {
  for (const char *Lines :
       {" x: y\r\n", "\tx\r\n", " \r\n", "Content-Length: 2\r\n 3\r\n",
        "Content-Length:\r\n 2\r\n", "Transfer-Encoding:\r\n chunked\r\n"})
    EXPECT_EQ(readFields(Lines), HeadFault::FoldedLine) << Lines;
  EXPECT_EQ(read("HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n c\r\n"),
            HeadFault::FoldedLine);
  EXPECT_EQ(readFields("A: b\r\n c\x01\r\n"), HeadFault::FieldValue);
}

TEST_F(AnswerHeadTest, lengths_thatAreNoOneNumber_areFaults) {
  for (const char *Value :
       {"", "+2", "-2", "2x", "0x2", "2.0", "2 3", "2;", ",", "2,", ",2", "2,3",
        "2, 3", "9223372036854775808", "18446744073709551618",
        "99999999999999999999999", "\"2\""})
    EXPECT_EQ(readFields(std::string("Content-Length: ") + Value + "\r\n"),
              HeadFault::Length)
        << Value;
  EXPECT_EQ(readFields("Content-Length: 2\r\ncontent-length: 3\r\n"),
            HeadFault::Length);
}

TEST_F(AnswerHeadTest, lengths_thatAreEqual_areProper) {
  for (const char *Lines :
       {"Content-Length: 0\r\n", "content-LENGTH:2\r\n",
        "Content-Length: 9223372036854775807\r\n", "Content-Length: 2, 2\r\n",
        "Content-Length: 2\r\nContent-Length: 2\r\n",
        "Content-Length: 2\r\nContent-Length: 02\r\n", ""})
    EXPECT_EQ(readFields(Lines), std::nullopt) << Lines;
}

TEST_F(AnswerHeadTest, transferCodings_otherThanChunkedAlone_areFaults) {
  for (const char *Lines :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding:\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"})
    EXPECT_EQ(readFields(Lines), HeadFault::TransferCoding) << Lines;
  EXPECT_EQ(read("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
            HeadFault::TransferCoding);
  EXPECT_EQ(readFields("transfer-encoding: Chunked\r\n"), std::nullopt);
}

TEST_F(AnswerHeadTest, interimHeads_leaveNothingBehind) {
  ASSERT_EQ(read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n"
                 "Content-Length: 7\r\nX: y\r\n\r\nHTTP/1.1 204 No\r\n\r\n"),
            std::nullopt);
  EXPECT_TRUE(Head_.isComplete());
  EXPECT_EQ(Head_.status(), 204);
  EXPECT_TRUE(Head_.fields().empty());
}

TEST_F(AnswerHeadTest, trailers_areCheckedAndNotKept) {
  ASSERT_EQ(readFields("A: b\r\n"), std::nullopt);
  EXPECT_EQ(Head_.addLine("Not-Run: 1\r\n"), std::nullopt);
  EXPECT_EQ(Head_.addLine(" folded\r\n"), std::nullopt);
  EXPECT_EQ(Head_.addLine("\r\n"), std::nullopt);
  EXPECT_EQ(Head_.fields(), (Headers{{"A", "b"}}));
  EXPECT_EQ(Head_.addLine("HTTP/1.1 503 x: y\r\n"), HeadFault::FieldName);
  EXPECT_EQ(Head_.addLine("A: \x01\r\n"), HeadFault::FieldValue);
}

TEST_F(AnswerHeadTest, lines_withoutLineFeed_areNotRead) {
  EXPECT_EQ(Head_.addLine("HTTP/1.1 200 OK"), std::nullopt);
  EXPECT_FALSE(Head_.hasBegun());
  EXPECT_EQ(Head_.addLine("HTTP/1.1 200 OK\r\n"), std::nullopt);
  EXPECT_EQ(Head_.addLine("\r"), std::nullopt);
  EXPECT_TRUE(Head_.hasBegun());
  EXPECT_FALSE(Head_.isComplete());
}

// Whatever came, only tokens and text without control characters are kept, and
// the end of the body is stated at most once.
TEST_F(AnswerHeadTest, heads_nearlyRight_keepOnlyWhatIsProper) {
  constexpr std::uint64_t Seed = 20261207;
  constexpr int Runs = 20000;
  Mutator Bytes(
      Seed,
      {"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Seal: 3e1b.07\r\n"
       "Content-Length: 12\r\nX: folded\r\n line\r\n\r\n",
       "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.0 503 Busy\r\n"
       "Retry-After: 1.5\r\nContent-Length: 4, 4\r\n\r\n",
       "HTTP/1.1 500\r\nTransfer-Encoding: chunked\r\nD: \xff\r\n\r\nT: "
       "x\r\n"});
  int Complete = 0;
  for (int I = 0; I < Runs; ++I) {
    const std::string Text = Bytes.nextMutated();
    if (read(Text) || !Head_.isComplete())
      continue;
    ++Complete;
    EXPECT_TRUE(Head_.status() >= 200 && Head_.status() <= 599) << Text;
    for (const Header &Field : Head_.fields()) {
      const std::string Line = Field.Name_ + ": " + Field.Value_ + "\r\n";
      AnswerHead Again;
      Again.addLine("HTTP/1.1 200 OK\r\n");
      EXPECT_EQ(Again.addLine(Line), std::nullopt) << Text;
      EXPECT_EQ(Again.fields(), (Headers{Field})) << Text;
    }
  }
  EXPECT_GT(Complete, Runs / 10);
}

} // namespace endivewharf
