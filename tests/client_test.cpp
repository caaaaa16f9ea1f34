// Tests of HttpClient: answers that never end, and requests whose send
// deadline has passed.
#include "client.h"

#include <asio/write.hpp>
#include <atomic>
#include <gtest/gtest.h>
#include <optional>
#include <thread>

namespace endivewharf {

namespace {

/// More than all buffers between the server and the client hold together.
constexpr std::size_t LargeTransferBytes = 32 << 20;
/// Bytes that the server may write before the client stops the transfer; they
/// include what the kernel's buffers hold.
constexpr std::size_t MaxAcceptedBytes = 8 << 20;
constexpr auto MaxRunTime = std::chrono::seconds(5);

/// Sends a prefix and then the same piece repeatedly to one client, until the
/// client closes the connection or LargeTransferBytes have been written.
class EndlessServer {
public:
  EndlessServer(std::string Prefix, std::string Piece)
      : Acceptor_(Io_, {asio::ip::make_address_v4("127.0.0.1"), 0}),
        Port_(Acceptor_.local_endpoint().port()),
        Thread_([this, Prefix = std::move(Prefix), Piece = std::move(Piece)] {
          serveConnection(Prefix, Piece);
        }) {}
  ~EndlessServer() { Thread_.join(); }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Port_) + "/";
  }
  std::size_t bytesWritten() const { return BytesWritten_; }

private:
  void serveConnection(const std::string &Prefix, const std::string &Piece) {
    asio::ip::tcp::socket Client = Acceptor_.accept();
    asio::error_code Error;
    asio::write(Client, asio::buffer(Prefix), Error);
    while (!Error && BytesWritten_ < LargeTransferBytes)
      BytesWritten_ += asio::write(Client, asio::buffer(Piece), Error);
  }

  asio::io_context Io_;
  asio::ip::tcp::acceptor Acceptor_;
  std::uint16_t Port_;
  std::atomic<std::size_t> BytesWritten_ = 0;
  std::thread Thread_;
};

class EndlessAnswerTest : public ::testing::Test {
protected:
  /// Sends a request without timeouts of its own.
  /// @return its result; nothing if it has not ended within MaxRunTime
  std::optional<HttpResult> fetchFrom(const EndlessServer &Server) {
    std::optional<HttpResult> Result;
    HttpRequest Request;
    Request.Url_ = Server.url();
    fetchBody(Client_, std::move(Request), 1 << 20,
              [&](const HttpResult &R, const std::string &) {
                Result = R;
                Io_.stop();
              });
    Io_.run_for(MaxRunTime);
    return Result;
  }

  void expectTransferStopped(const std::string &Prefix,
                             const std::string &Piece) {
    EndlessServer Server(Prefix, Piece);
    const auto Result = fetchFrom(Server);
    ASSERT_TRUE(Result);
    EXPECT_EQ(Result->End_, TransferEnd::Stopped);
    EXPECT_LT(Server.bytesWritten(), MaxAcceptedBytes);
  }

  asio::io_context Io_{1};
  HttpClient Client_{Io_};
};

} // namespace

TEST_F(EndlessAnswerTest, head_ofLinesWithoutEnd_isStopped) {
  expectTransferStopped("HTTP/1.1 200 OK\r\n",
                        "X: " + std::string(1000, 'x') + "\r\n");
}

TEST_F(EndlessAnswerTest, interimHeads_withoutEnd_areStopped) {
  expectTransferStopped("", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n");
}

TEST_F(EndlessAnswerTest, bodyInChunks_withoutEnd_isStopped) {
  expectTransferStopped("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                        "400\r\n" + std::string(1024, 'x') + "\r\n");
}

TEST_F(EndlessAnswerTest, trailers_withoutEnd_areStopped) {
  expectTransferStopped(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
      "X: " + std::string(1000, 'x') + "\r\n");
}

/// Guards against a request that is written after its send deadline, which
/// passes early if the process is paused or connecting takes too long.
TEST(SendByTest, permission_runOut_requestIsNotWritten) {
  asio::io_context Io;
  asio::ip::tcp::acceptor Server(Io,
                                 {asio::ip::make_address_v4("127.0.0.1"), 0});
  HttpClient Client(Io);
  for (const Millis TimeLeft : {Millis{-1}, Millis{5000}}) {
    HttpRequest Request;
    Request.Url_ =
        "http://127.0.0.1:" + std::to_string(Server.local_endpoint().port()) +
        "/";
    Request.SendDeadline_ = monotonicNow() + TimeLeft;
    Request.TotalTimeout_ = 500;
    std::optional<HttpResult> Result;
    fetchBody(Client, std::move(Request), 1000,
              [&](const HttpResult &R, const std::string &) {
                Result = R;
                Io.stop();
              });
    Io.restart();
    Io.run_for(MaxRunTime);
    ASSERT_TRUE(Result);
    EXPECT_EQ(Result->End_ == TransferEnd::NotSent, TimeLeft < 0);
  }
}

} // namespace endivewharf
