// Tests of WebListener: connections made before and after it closes, and
// request heads that never end.
#include "webserver.h"

#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace endivewharf {

namespace {

constexpr std::string_view RequestText = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
/// More than all buffers between the caller and the listener hold together.
constexpr std::size_t LargeTransferBytes = 32 << 20;
constexpr auto MaxRunTime = std::chrono::seconds(1);

/// Runs a listener that answers every request; callers use plain sockets.
class WebListenerTest : public ::testing::Test {
protected:
  WebListenerTest()
      : Server_(Io_, {"127.0.0.1", reservePort()}, WebLimits{},
                [](const auto &R) {
                  return R->create_response().set_body("whole").done();
                }) {}

  /// Finds a free port and stores it in Port_.
  int reservePort() {
    asio::ip::tcp::acceptor Acceptor(
        Io_, {asio::ip::make_address_v4("127.0.0.1"), 0});
    Port_ = Acceptor.local_endpoint().port();
    return Port_;
  }

  asio::ip::tcp::socket connect() {
    asio::ip::tcp::socket Caller(Io_);
    Caller.connect({asio::ip::make_address_v4("127.0.0.1"), Port_});
    return Caller;
  }

  std::string readAnswer(asio::ip::tcp::socket &Caller) {
    std::string Received;
    std::array<char, 4096> Piece{};
    asio::error_code Error;
    while (!Error && Received.find("whole") == std::string::npos)
      Received.append(Piece.data(),
                      Caller.read_some(asio::buffer(Piece), Error));
    return Received;
  }

  std::uint16_t Port_ = 0;
  asio::io_context Io_{1};
  WebListener Server_;
};

} // namespace

TEST_F(WebListenerTest, connections_madeBeforeClosing_areServed) {
  Server_.listen([](const std::string &Reason) { FAIL() << Reason; });
  Io_.poll();
  std::vector<asio::ip::tcp::socket> Callers;
  for (int I = 0; I < 20; ++I) {
    Callers.push_back(connect());
    asio::write(Callers.back(), asio::buffer(RequestText));
  }
  Server_.close();
  Io_.run_for(MaxRunTime);
  for (asio::ip::tcp::socket &Caller : Callers)
    EXPECT_NE(readAnswer(Caller).find("200"), std::string::npos);
}

TEST_F(WebListenerTest, headWithoutEnd_isCutOff) {
  Server_.listen([](const std::string &Reason) { FAIL() << Reason; });
  Io_.poll();
  for (const std::string Prefix :
       {"", "GET / HTTP/1.1\r\n", "GET / HTTP/1.1\r\nX: "}) {
    asio::ip::tcp::socket Caller = connect();
    Caller.non_blocking(true);
    asio::error_code Error;
    asio::write(Caller, asio::buffer(Prefix), Error);
    const std::string Piece(64 << 10, 'x');
    std::size_t Sent = 0;
    while (Sent < LargeTransferBytes &&
           (!Error || Error == asio::error::would_block)) {
      Sent += Caller.write_some(asio::buffer(Piece), Error);
      Io_.poll();
    }
    EXPECT_LT(Sent, LargeTransferBytes) << Prefix;
  }
}

TEST_F(WebListenerTest, listener_closed_refusesNewConnections) {
  Server_.listen([](const std::string &Reason) { FAIL() << Reason; });
  Io_.poll();
  Server_.close();
  Io_.run_for(MaxRunTime);
  EXPECT_THROW(connect(), asio::system_error);
}

} // namespace endivewharf
