// Sends mutated HTTP to the two places where a process reads HTTP from outside:
// callers' requests and servers' answers. Malformed requests must not stop a
// process from serving, and malformed answers must not leave a caller's request
// without an answer.
#include "mutator.h"
#include "platformcluster.h"

#include <asio.hpp>
#include <atomic>
#include <fmt/format.h>
#include <thread>

namespace endivewharf::harness {

namespace {

using Tcp = asio::ip::tcp;

constexpr std::uint64_t Seed = 20261204;
constexpr int RequestCount = 2000;
constexpr int ClientThreadCount = 8;
constexpr auto ReadTimeout = std::chrono::milliseconds(20);

const std::vector<std::string> RequestSamples = {
    "GET /check/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: f1\r\n"
    "Deadline-Ms: 4000\r\nAuthorization: Token k1\r\n\r\n",
    "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: f2\r\n"
    "Authorization: Token k1\r\nContent-Length: 5\r\n\r\nhello",
    "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: f3\r\n"
    "Authorization: Token k1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n0\r\n\r\n",
    "GET /stream/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: f4\r\n"
    "Authorization: Token k1\r\nLast-Event-Id: 3\r\nToken-Count: 20,30\r\n"
    "Prompt-Prefix: 5c1e:800,e440:250\r\nLength-Hint: 9\r\n\r\n"};

/// Builds the answer of a server; `ID` is replaced by the request identifier.
std::string makeAnswer(std::string_view Status, std::string_view Fields,
                       std::string_view Body) {
  return fmt::format("HTTP/1.1 {}\r\nRequest-Id: ID\r\n{}\r\n{}", Status,
                     Fields, Body);
}

std::vector<std::string> answerSamples() {
  constexpr std::string_view Sized = "Server-Seal: s\r\nContent-Length: 5\r\n";
  constexpr std::string_view Chunked =
      "Server-Seal: s\r\nTransfer-Encoding: chunked\r\n";
  constexpr std::string_view Refused =
      "Not-Executed: 1\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n";
  constexpr std::string_view Other = "Instance-Id: s9\r\nContent-Length: 0\r\n";
  constexpr std::string_view Event =
      "14\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n\r\n";
  return {makeAnswer("200 OK", Sized, "whole"),
          makeAnswer("200 OK", Chunked, "5\r\nwhole\r\n0\r\n\r\n"),
          makeAnswer("200 OK", Chunked, Event),
          makeAnswer("503 Full", Refused, ""),
          makeAnswer("421 Misdirected", Other, "")};
}

class FuzzProcessTest : public ::testing::Test, protected PlatformCluster {
protected:
  void SetUp() override {
    PlatformOptions Options;
    Options.FolderName_ =
        ::testing::UnitTest::GetInstance()->current_test_info()->name();
    ASSERT_TRUE(startAll(Options)) << "logs are in " << Folder_;
  }

  void expectEntriesServing() {
    for (int I = 0; I < Options_.EntryCount_; ++I) {
      EXPECT_FALSE(entryProcess(I).exitStatus().has_value()) << I;
      EXPECT_TRUE(waitUntil([&] {
        return sendGet(I, "/check/1", "after").Status_ == 200;
      })) << I;
    }
  }
};

/// Server that answers the first request of each connection with a mutated
/// answer.
class MalformedAnswerServer {
public:
  MalformedAnswerServer()
      : Acceptor_(Io_, {asio::ip::make_address("127.0.0.1"), 0}),
        AnswerMutator_(Seed, answerSamples()),
        Thread_([this] { serveConnections(); }) {}

  ~MalformedAnswerServer() {
    Stopping_ = true;
    asio::error_code Ignored;
    Tcp::socket(Io_).connect(Acceptor_.local_endpoint(), Ignored);
    Thread_.join();
  }

  int port() const { return Acceptor_.local_endpoint().port(); }

private:
  void serveConnections() {
    while (!Stopping_) {
      Tcp::socket Caller = Acceptor_.accept();
      asio::error_code Error;
      std::string Head;
      asio::read_until(Caller, asio::dynamic_buffer(Head), "\r\n\r\n", Error);
      asio::write(Caller, asio::buffer(mutatedAnswerTo(Head)), Error);
    }
  }

  std::string mutatedAnswerTo(const std::string &Head) {
    std::string Answer = AnswerMutator_.nextMutated();
    const std::string_view Name = "Request-Id: ";
    const std::size_t NameAt = Head.find(Name);
    const std::size_t MarkAt = Answer.find("ID");
    if (NameAt == std::string::npos || MarkAt == std::string::npos)
      return Answer;
    const std::size_t Begin = NameAt + Name.size();
    return Answer.replace(MarkAt, 2,
                          Head.substr(Begin, Head.find('\r', Begin) - Begin));
  }

  asio::io_context Io_;
  Tcp::acceptor Acceptor_;
  Mutator AnswerMutator_;
  std::atomic<bool> Stopping_{false};
  std::thread Thread_;
};

} // namespace

TEST_F(FuzzProcessTest, callers_sendNearlyRightHeads_processServesOn) {
  Mutator Bytes(Seed, RequestSamples);
  asio::io_context Io;
  for (int I = 0; I < RequestCount; ++I) {
    Tcp::socket Caller(Io);
    Caller.connect(
        {asio::ip::make_address("127.0.0.1"),
         static_cast<std::uint16_t>(EntryPorts_[I % 2].CallerPort_)});
    asio::error_code Error;
    asio::write(Caller, asio::buffer(Bytes.nextMutated() + Bytes.nextMutated()),
                Error);
    std::array<char, 512> Buffer{};
    Caller.async_read_some(asio::buffer(Buffer),
                           [](const asio::error_code &, std::size_t) {});
    Io.restart();
    Io.run_for(ReadTimeout);
  }
  expectEntriesServing();
}

TEST_F(FuzzProcessTest, servers_answerNearlyRight_eachRequestEnds) {
  {
    MalformedAnswerServer Server;
    for (int I = 0; I < Options_.ServerCount_; ++I)
      ASSERT_TRUE(
          putRecord("keyed.servers", fmt::format("s{}", I),
                    {{"service", "orders"},
                     {"address", fmt::format("127.0.0.1:{}", Server.port())},
                     {"zone", "z0"},
                     {"version", "v1"},
                     {"slots", 6},
                     {"state", "ready"},
                     {"born", 2}}));
    std::vector<std::thread> Threads;
    for (int T = 0; T < ClientThreadCount; ++T)
      Threads.emplace_back([&, T] {
        for (int I = 0; I < RequestCount / ClientThreadCount; ++I) {
          const char *Path = I % 2 == 0 ? "/check/1" : "/stream/1";
          const std::string Id = fmt::format("o{}-{}", T, I);
          const HttpAnswer Answer = sendGet(T % 2, Path, Id);
          // A started stream is aborted when no server can continue it.
          const bool Began = I % 2 != 0 && !Answer.Body_.empty();
          if (Answer.Status_ != 0 || Began)
            continue;
          ADD_FAILURE() << Id << " received no answer, logs are in " << Folder_;
        }
      });
    for (std::thread &T : Threads)
      T.join();
  }
  for (int I = 0; I < Options_.ServerCount_; ++I)
    registerServer(I, "ready", 3);
  expectEntriesServing();
}

} // namespace endivewharf::harness
