// Tests of AnswerHead: which heads are answers, and what is read from them.
#include "answerhead.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>

namespace endivewharf {

namespace {

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

TEST_F(AnswerHeadTest, interimHeads_leaveNothingBehind) {
  ASSERT_EQ(read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n"
                 "Content-Length: 7\r\nX: y\r\n\r\nHTTP/1.1 204 No\r\n\r\n"),
            std::nullopt);
  EXPECT_TRUE(Head_.isComplete());
  EXPECT_EQ(Head_.status(), 204);
  EXPECT_TRUE(Head_.fields().empty());
}

TEST_F(AnswerHeadTest, lines_withoutLineFeed_areNotRead) {
  EXPECT_EQ(Head_.addLine("HTTP/1.1 200 OK"), std::nullopt);
  EXPECT_FALSE(Head_.hasBegun());
  EXPECT_EQ(Head_.addLine("HTTP/1.1 200 OK\r\n"), std::nullopt);
  EXPECT_EQ(Head_.addLine("\r"), std::nullopt);
  EXPECT_TRUE(Head_.hasBegun());
  EXPECT_FALSE(Head_.isComplete());
}

} // namespace endivewharf
