// Upstreams that send bytes without end, of every kind, beside a sound one:
// real entry processes keep their memory, and requests are served.
#include "platformcluster.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <fmt/format.h>
#include <fstream>
#include <thread>

namespace endivewharf::harness {

namespace {

/// Where the bytes without end stand.
enum class Endless {
  BeforeStatus,
  HeaderLine,
  HeaderLines,
  InterimHeads,
  Body,
  Chunks,
  ChunkExtension,
  Trailers,
  Refusal,
  ServerError,
  AfterAnswer,
  Event,
  RepeatedEvents,
  Events
};

constexpr std::array Kinds = {
    Endless::BeforeStatus,   Endless::HeaderLine,  Endless::HeaderLines,
    Endless::InterimHeads,   Endless::Body,        Endless::Chunks,
    Endless::ChunkExtension, Endless::Trailers,    Endless::Refusal,
    Endless::ServerError,    Endless::AfterAnswer, Endless::Event,
    Endless::RepeatedEvents};

std::string kindName(Endless Kind) {
  constexpr std::array Names = {"beforeStatus",   "headerLine",  "headerLines",
                                "interimHeads",   "body",        "chunks",
                                "chunkExtension", "trailers",    "refusal",
                                "serverError",    "afterAnswer", "event",
                                "repeatedEvents", "events"};
  return Names[static_cast<std::size_t>(Kind)];
}

bool isStream(Endless Kind) {
  return Kind == Endless::Event || Kind == Endless::RepeatedEvents ||
         Kind == Endless::Events;
}

std::string repeated(std::string_view Piece, std::size_t Bytes) {
  std::string Text;
  while (Text.size() < Bytes)
    Text += Piece;
  return Text;
}

constexpr int EventsPerPiece = 250;

/// @return valid events with increasing ids
std::string eventsFrom(std::int64_t First) {
  std::string Events;
  for (std::int64_t I = First; I < First + EventsPerPiece; ++I)
    Events += fmt::format("id: {}\ndata: {}\n\n", I, std::string(200, 'x'));
  return Events;
}

/// What a server sends first, and again and again after it.
struct EndlessAnswer {
  std::string Begin_;
  std::string Rest_;
};

EndlessAnswer answerOf(Endless Kind, const std::string &Id) {
  constexpr std::size_t Piece = 64 << 10;
  const std::string Marks = "Request-Id: " + Id + "\r\nServer-Seal: s\r\n";
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Chunk =
      fmt::format("{:x}\r\n{}\r\n", Piece, std::string(Piece, 'x'));
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Stream = Ok + Marks + "Content-Type: text/event-stream\r\n";
  switch (Kind) {
  case Endless::BeforeStatus:
    return {"", std::string(Piece, 'x')};
  case Endless::HeaderLine:
    return {Ok + Marks + "X: ", std::string(Piece, 'x')};
  case Endless::HeaderLines:
    return {Ok + Marks, repeated("X: y\r\n", Piece)};
  case Endless::InterimHeads:
    return {"", repeated("HTTP/1.1 100 Continue\r\n\r\n", Piece)};
  case Endless::Body:
    return {Ok + Marks + "\r\n", std::string(Piece, 'x')};
  case Endless::Chunks:
    return {Ok + Marks + Chunked, Chunk};
  case Endless::ChunkExtension:
    return {Ok + Marks + Chunked + "1;", std::string(Piece, 'x')};
  case Endless::Trailers:
    return {Ok + Marks + Chunked + "2\r\nok\r\n0\r\n",
            repeated("X: y\r\n", Piece)};
  case Endless::Refusal:
    return {"HTTP/1.1 503 Busy\r\nRequest-Id: " + Id +
                "\r\nNot-Executed: 1\r\n" + Chunked,
            Chunk};
  case Endless::ServerError:
    return {"HTTP/1.1 500 Broken\r\n" + Marks + Chunked, Chunk};
  case Endless::AfterAnswer:
    return {Ok + Marks + "Content-Length: 2\r\n\r\nok",
            std::string(Piece, 'x')};
  case Endless::Event:
    return {Stream + "\r\nid: 1\ndata: ", std::string(Piece, 'x')};
  case Endless::RepeatedEvents:
    return {Stream + "\r\n", eventsFrom(1)};
  case Endless::Events:
    break;
  }
  return {Stream + "\r\n", ""};
}

/// Answers each request with bytes without end until its caller closes.
class EndlessServer {
public:
  explicit EndlessServer(Endless Kind)
      : Kind_(Kind),
        Acceptor_(Io_, {asio::ip::make_address_v4("127.0.0.1"), 0}) {
    Thread_ = std::thread([this] { acceptAll(); });
  }
  ~EndlessServer() {
    Stopped_ = true;
    asio::error_code Ignored;
    asio::ip::tcp::socket Wake(Io_);
    Wake.connect(Acceptor_.local_endpoint(), Ignored);
    Thread_.join();
    for (std::thread &T : Connections_)
      T.join();
  }

  int port() const { return Acceptor_.local_endpoint().port(); }
  std::int64_t sentBytes() const { return SentBytes_; }

private:
  void acceptAll() {
    while (!Stopped_) {
      asio::error_code Error;
      auto Socket = std::make_shared<asio::ip::tcp::socket>(Io_);
      Acceptor_.accept(*Socket, Error);
      if (Error || Stopped_)
        return;
      Connections_.emplace_back([this, Socket] { serve(*Socket); });
    }
  }

  void serve(asio::ip::tcp::socket &Socket) {
    asio::error_code Error;
    std::string Head;
    asio::read_until(Socket, asio::dynamic_buffer(Head), "\r\n\r\n", Error);
    const std::string Name = "Request-Id: ";
    const auto At = Head.find(Name);
    if (Error || At == std::string::npos)
      return;
    const auto Begin = At + Name.size();
    EndlessAnswer Answer =
        answerOf(Kind_, Head.substr(Begin, Head.find('\r', Begin) - Begin));
    asio::write(Socket, asio::buffer(Answer.Begin_), Error);
    // A write that times out lets the thread end with the test.
    const timeval Limit{0, 200000};
    setsockopt(Socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &Limit,
               sizeof(Limit));
    for (std::int64_t Piece = 0; !Stopped_; ++Piece) {
      if (Kind_ == Endless::Events)
        Answer.Rest_ = eventsFrom(1 + Piece * EventsPerPiece);
      if (!sendWhole(Socket.native_handle(), Answer.Rest_))
        return;
    }
  }

  /// @return false once the caller has closed, or at the end of the test
  bool sendWhole(int Socket, std::string_view Bytes) {
    while (!Bytes.empty() && !Stopped_) {
      const ssize_t Sent =
          ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent < 0 && errno != EAGAIN)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(Sent, 0)));
      SentBytes_ += std::max<ssize_t>(Sent, 0);
    }
    return !Stopped_;
  }

  Endless Kind_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<std::int64_t> SentBytes_ = 0;
  asio::io_context Io_{1};
  asio::ip::tcp::acceptor Acceptor_;
  std::thread Thread_;
  std::vector<std::thread> Connections_;
};

class EndlessBytesTest : public ::testing::TestWithParam<Endless>,
                         protected PlatformCluster {
protected:
  static constexpr int Clients = 30;
  static constexpr Millis RunTime = 4000;
  /// Half of the memory of the smallest machine that the pages name, in KiB.
  static constexpr std::int64_t MaxPeakKib = 195LL << 10;

  void startWithFaultyServers(int Count) {
    PlatformOptions Options;
    Options.FolderName_ = "endless-" + kindName(GetParam());
    Options.ServerCount_ = 2;
    ASSERT_TRUE(startAll(Options)) << "logs are in " << Folder_;
    for (int I = 0; I < Count; ++I) {
      Faulty_.push_back(std::make_unique<EndlessServer>(GetParam()));
      putRecord("keyed.servers", fmt::format("f{}", I),
                {{"service", "orders"},
                 {"address", fmt::format("127.0.0.1:{}", Faulty_[I]->port())},
                 {"zone", "z0"},
                 {"version", "v1"},
                 {"slots", 6},
                 {"state", "ready"},
                 {"born", 1}});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  }

  /// Sends requests from tens of clients.
  void sendFromClients() {
    std::vector<std::thread> Threads;
    const Millis End = monotonicNow() + RunTime;
    for (int Client = 0; Client < Clients; ++Client)
      Threads.emplace_back([this, Client, End] {
        for (int I = 0; monotonicNow() < End; ++I) {
          const std::string Id = fmt::format("c{}-{}", Client, I);
          const std::string Path =
              isStream(GetParam()) ? "/stream/1" : "/check/1";
          const HttpAnswer Answer = sendGet(Client % 2, Path, Id);
          ++Sent_;
          // The bytes may follow a whole answer of the faulty server.
          const bool Whole = isStream(GetParam())
                                 ? Answer.Body_ == completeStream()
                                 : Answer.Body_ == "whole answer to " + Id ||
                                       (GetParam() == Endless::AfterAnswer &&
                                        Answer.Body_ == "ok");
          Served_ += Answer.Status_ == 200 && Whole ? 1 : 0;
          std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
      });
    for (std::thread &T : Threads)
      T.join();
  }

  /// @return largest resident memory that an entry process has had, in KiB
  std::int64_t peakKib(int Entry) {
    std::ifstream Status(
        fmt::format("/proc/{}/status", entryProcess(Entry).id()));
    for (std::string Line; std::getline(Status, Line);)
      if (Line.rfind("VmHWM:", 0) == 0)
        return std::stoll(Line.substr(6));
    return -1;
  }

  /// Expects that no entry process has needed much memory at any time.
  void expectMemoryKept() {
    std::int64_t FaultyBytes = 0;
    for (const auto &Server : Faulty_)
      FaultyBytes += Server->sentBytes();
    Seen_ = fmt::format("{}: {} of {} served, {} MB sent by the faulty ones, "
                        "peaks {} and {} KiB",
                        kindName(GetParam()), Served_.load(), Sent_.load(),
                        FaultyBytes >> 20, peakKib(0), peakKib(1));
    std::fprintf(stderr, "%s\n", Seen_.c_str());
    for (int Entry = 0; Entry < 2; ++Entry) {
      EXPECT_GT(peakKib(Entry), 0) << "the process has ended";
      EXPECT_LT(peakKib(Entry), MaxPeakKib) << Seen_;
    }
  }

  std::string Seen_; ///< Requests served, bytes sent and peaks, as text.
  std::vector<std::unique_ptr<EndlessServer>> Faulty_;
  std::atomic<int> Sent_ = 0;
  std::atomic<int> Served_ = 0;
};

} // namespace

// Guards against a process that keeps what a faulty upstream sends, or reads it
// to the deadline, until it has neither memory nor time for sound requests.
TEST_P(EndlessBytesTest, upstreams_sendWithoutEnd_memoryAndServiceAreKept) {
  startWithFaultyServers(3);
  sendFromClients();
  expectMemoryKept();
  EXPECT_GE(Served_ * 10, Sent_ * 8) << Seen_;
}

/// All upstreams of the service are at fault, as those of a bad version are.
class EndlessServiceTest : public EndlessBytesTest {};

// Guards against answers that are small enough each and too large together.
TEST_P(EndlessServiceTest, allUpstreams_sendWithoutEnd_memoryIsKept) {
  startWithFaultyServers(6);
  for (const char *Sound : {"s0", "s1"})
    putRecord("keyed.servers", Sound, {{"service", "none"}});
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  sendFromClients();
  expectMemoryKept();
}

INSTANTIATE_TEST_SUITE_P(Kinds, EndlessServiceTest,
                         ::testing::Values(Endless::Body, Endless::ServerError,
                                           Endless::Event),
                         [](const auto &Info) { return kindName(Info.param); });

/// Streams of valid events without end, whose callers do not read.
class SlowCallerTest : public EndlessBytesTest {};

// Guards against a process that keeps the events that a caller does not take.
TEST_P(SlowCallerTest, events_callersThatDoNotRead_memoryIsKept) {
  startWithFaultyServers(3);
  asio::io_context Io;
  std::vector<asio::ip::tcp::socket> Callers;
  for (int I = 0; I < Clients; ++I) {
    Callers.emplace_back(Io);
    Callers.back().connect(
        {asio::ip::make_address_v4("127.0.0.1"),
         static_cast<std::uint16_t>(EntryPorts_[I % 2].CallerPort_)});
    std::string Head = "GET /stream/1 HTTP/1.1\r\n";
    for (const std::string &Field : requestHeaders(fmt::format("s{}", I), "k1"))
      Head += Field + "\r\n";
    asio::write(Callers.back(), asio::buffer(Head + "\r\n"));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(RunTime));
  expectMemoryKept();
  int Turn = 0;
  EXPECT_TRUE(waitUntil(
      [&] {
        return sendGet(0, "/check/1", fmt::format("after{}", ++Turn)).Status_ ==
               200;
      },
      5000));
}

INSTANTIATE_TEST_SUITE_P(Kinds, SlowCallerTest,
                         ::testing::Values(Endless::Events),
                         [](const auto &Info) { return kindName(Info.param); });

INSTANTIATE_TEST_SUITE_P(Kinds, EndlessBytesTest, ::testing::ValuesIn(Kinds),
                         [](const auto &Info) { return kindName(Info.param); });

} // namespace endivewharf::harness
