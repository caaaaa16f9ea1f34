// Upstreams whose answers are broken: what callers of real entry processes
// read, byte by byte, and that no process ends.
#include "answersamples.h"
#include "platformcluster.h"

#include <algorithm>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sys/socket.h>

namespace endivewharf::harness {

namespace {

/// What a caller reads until its connection ends.
struct RawAnswer {
  int Status_ = 0; ///< 0: no answer.
  std::string Head_;
  std::string Body_; ///< With the framing of its chunks, if it has any.
};

RawAnswer splitAnswer(const std::string &Bytes) {
  RawAnswer Answer;
  const auto End = Bytes.find("\r\n\r\n");
  Answer.Head_ = Bytes.substr(0, End);
  if (End != std::string::npos)
    Answer.Body_ = Bytes.substr(End + 4);
  if (Bytes.rfind("HTTP/1.1 ", 0) == 0)
    Answer.Status_ = std::stoi(Bytes.substr(9));
  return Answer;
}

/// A route of the cluster's configuration.
struct RouteCase {
  const char *Name_;
  const char *Method_;
  const char *Path_;
};

constexpr std::array Routes = {RouteCase{"idempotent", "GET", "/check/"},
                               RouteCase{"once", "POST", "/book/"},
                               RouteCase{"stream", "GET", "/stream/"}};

class BrokenAnswersTest : public ::testing::Test, protected PlatformCluster {
protected:
  /// A process avoids an upstream for longer with each broken answer in a row,
  /// so there are many.
  static constexpr int ServerCount = 16;
  static constexpr int MaxTries = 200;

  /// Starts two entry processes whose upstreams are scripted servers alone.
  void SetUp() override {
    PlatformOptions Options;
    Options.FolderName_ =
        std::string("broken-") +
        ::testing::UnitTest::GetInstance()->current_test_info()->name();
    ASSERT_TRUE(startAll(Options)) << "logs are in " << Folder_;
    for (int I = 0; I < ServerCount; ++I) {
      Servers_.push_back(std::make_unique<ScriptedServer>());
      putRecord("keyed.servers", fmt::format("f{}", I),
                {{"service", "orders"},
                 {"address", fmt::format("127.0.0.1:{}", Servers_[I]->port())},
                 {"zone", "z0"},
                 {"version", "v1"},
                 {"slots", 6},
                 {"state", "ready"},
                 {"born", 1}});
    }
    for (const char *Sound : {"s0", "s1"})
      putRecord("keyed.servers", Sound, {{"service", "none"}});
    setAnswers(markedAnswer("HTTP/1.1 200 OK", "", "sound"));
    for (int Entry = 0; Entry < 2; ++Entry)
      ASSERT_TRUE(waitUntil([&] {
        return sendGet(Entry, "/check/1", nextId()).Body_ == "sound";
      })) << "logs are in "
          << Folder_;
  }

  void setAnswers(const std::string &Answer,
                  AfterAnswer After = AfterAnswer::Close) {
    for (const auto &Server : Servers_)
      Server->setAnswer(Answer, After);
  }

  std::string nextId() { return fmt::format("b{}", ++LastId_); }

  /// Sends a request and reads until the process closes the connection.
  /// @param BodyBytes size of the body of a POST request
  RawAnswer exchange(int Port, const RouteCase &Route, const std::string &Id,
                     const std::vector<std::string> &ExtraFields = {},
                     std::size_t BodyBytes = 0) {
    asio::io_context Io;
    asio::ip::tcp::socket Socket(Io);
    asio::error_code Error;
    Socket.connect({asio::ip::make_address_v4("127.0.0.1"),
                    static_cast<std::uint16_t>(Port)},
                   Error);
    if (Error)
      return {};
    const timeval Limit{20, 0};
    setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
               sizeof(Limit));
    std::string Request = fmt::format("{} {} HTTP/1.1\r\nConnection: close\r\n",
                                      Route.Method_, Route.Path_);
    for (const std::string &Field : requestHeaders(Id, "k1"))
      Request += Field + "\r\n";
    for (const std::string &Field : ExtraFields)
      Request += Field + "\r\n";
    if (std::string_view(Route.Method_) == "POST")
      Request += fmt::format("Content-Length: {}\r\n", BodyBytes);
    Request += "\r\n" + std::string(BodyBytes, 'x');
    asio::write(Socket, asio::buffer(Request), Error);
    std::string Bytes;
    asio::read(Socket, asio::dynamic_buffer(Bytes), Error);
    return splitAnswer(Bytes);
  }

  /// Sends requests until a server has read one; a process that avoids all of
  /// them refuses some before.
  RawAnswer exchangeWithServer(int Port, const RouteCase &Route,
                               const std::vector<std::string> &Extra = {}) {
    for (int Try = 0; Try < MaxTries && processesRun(); ++Try) {
      const std::string Id = nextId();
      RawAnswer Answer = exchange(Port, Route, Id, Extra);
      if (hasAnyRead(Id))
        return Answer;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    ADD_FAILURE() << "no server has read a request of " << Route.Name_;
    return {};
  }

  /// @return true if a server has read a request with this id
  bool hasAnyRead(const std::string &Id) const {
    return std::any_of(Servers_.begin(), Servers_.end(),
                       [&](const auto &Server) { return Server->hasRead(Id); });
  }

  bool processesRun() {
    return !entryProcess(0).exitStatus() && !entryProcess(1).exitStatus();
  }

  /// Expects that no caller gets anything of an answer but the word that it
  /// failed and may have run.
  void expectRefused(const std::string &Answer,
                     AfterAnswer After = AfterAnswer::Close) {
    setAnswers(Answer, After);
    for (const RouteCase &Route : Routes) {
      const RawAnswer Got =
          exchangeWithServer(EntryPorts_[++Turn_ % 2].CallerPort_, Route);
      EXPECT_EQ(Got.Status_, 502) << Route.Name_ << "\n" << Answer << Got.Head_;
      EXPECT_EQ(Got.Head_.find("Server-Seal"), std::string::npos) << Got.Head_;
    }
  }

  std::vector<std::unique_ptr<ScriptedServer>> Servers_;
  int LastId_ = 0;
  int Turn_ = 0; ///< Number of the last exchange, for the choice of a process.
};

} // namespace

// Guards against bytes of an answer that are written into memory of an earlier
// transfer: a folded line is added to the field before it, and there is none.
TEST_F(BrokenAnswersTest, firstFieldLine_beginsWithABlank_processesGoOn) {
  for (const char *Line : {" folded: line\r\n", "\tfolded\r\n", " \r\n"})
    for (const char *Before :
         {"", "HTTP/1.1 103 Early Hints\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"})
      expectRefused(std::string(Before) + "HTTP/1.1 200 OK\r\n" + Line +
                    "Request-Id: {id}\r\nServer-Seal: s\r\n"
                    "Content-Length: 2\r\n\r\nok");
  ASSERT_TRUE(processesRun()) << "one has ended, logs are in " << Folder_;
  setAnswers(markedAnswer("HTTP/1.1 200 OK", "", "sound"));
  for (int Entry = 0; Entry < 2; ++Entry)
    EXPECT_TRUE(waitUntil(
        [&] { return sendGet(Entry, "/check/1", nextId()).Status_ == 200; }));
}

TEST_F(BrokenAnswersTest, status_isNone_callersGetAnError) {
  for (const char *Status : {"000", "099", "101", "600", "999", "20"}) {
    const std::string Line = std::string("HTTP/1.1 ") + Status + " X";
    expectRefused(markedAnswer(Line, "Content-Length: 2\r\n", "ok"),
                  AfterAnswer::KeepOpen);
  }
  expectRefused("HTTP/1.1 000 X\r\n\r\n" + okAnswer("Content-Length: 2\r\n"));
  EXPECT_TRUE(processesRun());
}

TEST_F(BrokenAnswersTest, field_isBroken_callersGetAnError) {
  for (const char *Line :
       {"a b: c", "a\x01: c", "a\x80: c", ": c", "Content-Length : 1",
        "Transfer-Encoding : chunked", "X: a\x01", "X: a\rb"})
    expectRefused(okAnswer(std::string(Line) + "\r\nContent-Length: 2\r\n"),
                  AfterAnswer::KeepOpen);
  EXPECT_TRUE(processesRun());
}

TEST_F(BrokenAnswersTest, length_isBroken_callersGetAnError) {
  for (const char *Lines :
       {"Content-Length: +2\r\n", "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 18446744073709551618\r\n",
        "Transfer-Encoding: gzip\r\n", "Transfer-Encoding:\r\n chunked\r\n"})
    expectRefused(okAnswer(Lines));
  EXPECT_TRUE(processesRun());
}

// A process passes a request on to a peer; what it reads there has been read
// by the peer before.
TEST_F(BrokenAnswersTest, request_ofAPeer_getsAnError) {
  const std::vector<std::string> OfPeer = {
      "Relay-Origin: entry-9", "Relay-Account: sales", "Relay-Upstreams: 1"};
  for (const char *Line : {"a b: c\r\n", "Content-Length : 1\r\n"}) {
    setAnswers(okAnswer(std::string(Line) + "Content-Length: 2\r\n"));
    for (const RouteCase &Route : Routes) {
      const RawAnswer Got =
          exchangeWithServer(EntryPorts_[0].RelayPort_, Route, OfPeer);
      EXPECT_EQ(Got.Status_, 502) << Route.Name_ << Got.Head_;
      EXPECT_EQ(Got.Head_.find("Not-Executed"), std::string::npos) << Got.Head_;
    }
  }
  EXPECT_TRUE(processesRun());
}

// Guards against a broken answer that ends a request which may be repeated.
TEST_F(BrokenAnswersTest, idempotentRequest_oneUpstreamBroken_isAnswered) {
  const std::string Sound = okAnswer("Content-Length: 2\r\n");
  const std::string Events =
      markedAnswer("HTTP/1.1 200 OK", "", "id: 1\ndata: x\n\n");
  const std::string Broken = okAnswer("a b: c\r\nContent-Length: 2\r\n");
  const auto &Plain = Routes[0];
  const auto &Stream = Routes[2];
  Servers_[0]->setAnswer(Broken);
  int Repeated = 0;
  for (int I = 0; I < 4 * ServerCount; ++I) {
    const RouteCase &Route = I % 2 == 0 ? Plain : Stream;
    for (int Server = 1; Server < ServerCount; ++Server)
      Servers_[Server]->setAnswer(I % 2 == 0 ? Sound : Events);
    const std::string Id = nextId();
    EXPECT_EQ(exchange(EntryPorts_[I % 2].CallerPort_, Route, Id).Status_, 200);
    Repeated += Servers_[0]->hasRead(Id) ? 1 : 0;
  }
  EXPECT_GT(Repeated, 0) << "no request has met the broken upstream";
}

// Guards against a part of an answer without length that counts as whole, as
// its reset comes while the request is still being written.
TEST_F(BrokenAnswersTest, earlyAnswer_resetDuringTheUpload_isNoAnswer) {
  for (const auto &Server : Servers_)
    Server->setAnswer(markedAnswer("HTTP/1.1 200 OK", "", "a part"),
                      AfterAnswer::Reset, AnswerTime::AfterHead);
  constexpr std::size_t UploadBytes = 3 << 20;
  int ReadCount = 0;
  for (int I = 0; I < 2 * ServerCount; ++I) {
    const std::string Id = nextId();
    const RawAnswer Got = exchange(EntryPorts_[I % 2].CallerPort_, Routes[1],
                                   Id, {}, UploadBytes);
    const bool IsRead = hasAnyRead(Id);
    EXPECT_EQ(Got.Status_, IsRead ? 502 : 503) << Got.Head_ << Got.Body_;
    ReadCount += IsRead ? 1 : 0;
  }
  EXPECT_GT(ReadCount, 0);
}

// Every broken answer is logged with its request and counted.
TEST_F(BrokenAnswersTest, answer_isBroken_isLoggedAndCounted) {
  const std::string Broken = okAnswer("a b: c\r\nContent-Length: 2\r\n");
  setAnswers(Broken);
  exchangeWithServer(EntryPorts_[0].CallerPort_, Routes[1]);
  const std::string Id = "b" + std::to_string(LastId_);
  const std::string Metrics =
      sendHttpRequest("GET", fmt::format("http://127.0.0.1:{}/metrics",
                                         EntryPorts_[0].OperatorPort_))
          .Body_;
  for (const char *Counter : {"protocol_errors", "malformed_answers"})
    EXPECT_NE(Metrics.find(fmt::format("{}_total 1\n", Counter)),
              std::string::npos)
        << Metrics;
  EXPECT_TRUE(waitUntil([&] {
    std::ifstream Log(Folder_ + "/entry-0.log");
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find("event=attempt_failed request=" + Id + " ") !=
              std::string::npos &&
          Line.find("malformed field name") != std::string::npos)
        return true;
    return false;
  })) << Id;
}

} // namespace endivewharf::harness
