// Answers of upstreams, broken and sound, for tests of everything that reads
// answers.
#pragma once

#include "scriptedserver.h"

#include <fmt/format.h>
#include <string>
#include <vector>

namespace endivewharf::harness {

/// One answer, and what its sender does after it.
struct AnswerSample {
  std::string Name_;
  std::string Bytes_;
  AfterAnswer After_ = AfterAnswer::KeepOpen;
  /// libcurl finds no status line: on a connection that was used before, the
  /// bytes may be left over from the answer before.
  bool IsNoHead_ = false;
};

/// @return an answer of 200 with further field lines, and a body `ok`
inline std::string okAnswer(const std::string &FieldLines) {
  return markedAnswer("HTTP/1.1 200 OK", FieldLines, "ok");
}

/// @return status lines that are none, with a length, without, bare, and in
///   front of a whole answer
inline std::vector<AnswerSample> answersWithBrokenStatus() {
  std::vector<AnswerSample> Samples;
  const std::string Whole = okAnswer("Content-Length: 2\r\n");
  // libcurl 7.88.1 refuses these itself, and codes below 100 and HTTP/3; all
  // others are for AnswerHead to refuse, which knows all of them.
  for (const char *Status :
       {"20", "2000", "2x0", "+20", "-20", "", "2", " 200", "2 00"}) {
    const std::string Line = std::string("HTTP/1.1 ") + Status + " OK";
    Samples.push_back({Line, markedAnswer(Line, "Content-Length: 2\r\n", "ok"),
                       AfterAnswer::KeepOpen, true});
  }
  for (const char *Line : {"HTTP/1.2 200 OK", "HTTP/4 200 OK", "ICY 200 OK"})
    Samples.push_back({Line, markedAnswer(Line, "Content-Length: 2\r\n", "ok"),
                       AfterAnswer::Close, true});
  for (const std::string Status :
       {"000", "001", "099", "101", "600", "700", "999"}) {
    const std::string Line = fmt::format("HTTP/1.1 {} X", Status);
    const std::string Name = Line + ", ";
    const bool IsNoHead = Status[0] == '0';
    Samples.push_back({Name + "length",
                       markedAnswer(Line, "Content-Length: 2\r\n", "ok"),
                       AfterAnswer::KeepOpen, IsNoHead});
    Samples.push_back({Name + "no length", markedAnswer(Line, "", "ok"),
                       AfterAnswer::Close, IsNoHead});
    Samples.push_back(
        {Name + "bare", Line + "\r\n\r\n", AfterAnswer::Close, IsNoHead});
    Samples.push_back(
        {Name + "a whole answer behind it",
         fmt::format("{}\r\nContent-Length: 0\r\n\r\n{}", Line, Whole),
         AfterAnswer::KeepOpen, IsNoHead});
  }
  for (const std::string Version : {"2", "3"})
    Samples.push_back({fmt::format("HTTP/{}", Version),
                       markedAnswer(fmt::format("HTTP/{} 200 OK", Version),
                                    "Content-Length: 2\r\n", "ok"),
                       AfterAnswer::Close, Version == "3"});
  return Samples;
}

/// @return field lines with a name or a value that is not proper, in the head,
///   in an interim head and in trailers
inline std::vector<AnswerSample> answersWithBrokenFields() {
  std::vector<AnswerSample> Samples;
  const std::string Length = "Content-Length: 2\r\n";
  for (const char *Line : {"a b: c",
                           "a\tb: c",
                           "a\x01: c",
                           "a\x7f: c",
                           "a\x80: c",
                           "(a): c",
                           "a/b: c",
                           "a@b: c",
                           ": c",
                           "Server-Seal : s",
                           "X\t: c",
                           "Content-Length : 1",
                           "Transfer-Encoding : chunked",
                           "Content-Length\t: 1",
                           "X: a\x01",
                           "X: \x7f",
                           "X: a\rb",
                           "X: \x1b[1m",
                           "X: a\r",
                           "\rX: a",
                           "HTTP/1.1 200: OK"}) {
    const std::string Text = std::string(Line) + "\r\n";
    Samples.push_back(
        {std::string("in the head: ") + Line, okAnswer(Text + Length)});
    Samples.push_back({std::string("in an interim head: ") + Line,
                       "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + Text +
                           "\r\n" + okAnswer(Length)});
  }
  for (const char *Line : {"a b: c", "a\x01: c", "X : c", "X: a\x02"})
    Samples.push_back(
        {std::string("in trailers: ") + Line,
         markedAnswer("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
                      std::string("2\r\nok\r\n0\r\n") + Line + "\r\n\r\n")});
  for (const std::string Before :
       {"", "HTTP/1.1 103 Early Hints\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"})
    for (const std::string Line : {" x: y\r\n", "\tx: y\r\n"})
      Samples.push_back({fmt::format("folded first line behind {}", Before),
                         fmt::format("{}HTTP/1.1 200 OK\r\n{}Request-Id: {}\r\n"
                                     "Server-Seal: s\r\n{}\r\nok",
                                     Before, Line, IdPlaceholder, Length)});
  return Samples;
}

/// @return heads and chunks that do not say where the body ends
inline std::vector<AnswerSample> answersWithBrokenFraming() {
  std::vector<AnswerSample> Samples;
  for (const char *Value : {"+2", "-2", "2x", "0x2", "2 3", "2.0", "2, 3", "2;",
                            "", "9223372036854775808", "18446744073709551618",
                            "99999999999999999999999999"})
    Samples.push_back(
        {std::string("length ") + Value,
         okAnswer(std::string("Content-Length: ") + Value + "\r\n"),
         AfterAnswer::Close});
  Samples.push_back(
      {"two lengths", okAnswer("Content-Length: 1\r\nContent-Length: 2\r\n")});
  Samples.push_back({"folded length", okAnswer("Content-Length: 2\r\n 2\r\n")});
  const std::string Chunks = "2\r\nok\r\n0\r\n\r\n";
  for (const char *Lines :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n",
        "Transfer-Encoding:\r\n chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n"})
    Samples.push_back({Lines, markedAnswer("HTTP/1.1 200 OK", Lines, Chunks),
                       AfterAnswer::Close});
  Samples.push_back({"chunks in HTTP/1.0",
                     markedAnswer("HTTP/1.0 200 OK",
                                  "Transfer-Encoding: chunked\r\n", Chunks)});
  for (const char *Broken :
       {"x\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n", "\r\nok\r\n",
        "2\r\nokay\r\n0\r\n\r\n", "11112222333344445\r\nok\r\n0\r\n\r\n",
        "ffffffffffffffff\r\nok"})
    Samples.push_back({std::string("chunk ") + Broken,
                       markedAnswer("HTTP/1.1 200 OK",
                                    "Transfer-Encoding: chunked\r\n", Broken)});
  return Samples;
}

} // namespace endivewharf::harness
