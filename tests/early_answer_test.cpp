// Answers that come, and end, while their request is still being written. A
// socket reports a reset once: to the first call after it, be it a send or a
// receive; the next receive reads an end of file, which without a length ends a
// whole answer. libcurl 7.88.1 fails a transfer on either call's error, and
// nothing in this program asks for the error of a connected socket (SO_ERROR).
// These tests hold every libcurl to it.
#include "client.h"

#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <optional>
#include <set>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace endivewharf {

namespace {

constexpr auto MaxRunTime = std::chrono::seconds(10);
constexpr auto TurnWait = std::chrono::milliseconds(2);
constexpr const char *HeadWithoutLength = "HTTP/1.1 200 OK\r\n\r\n";

/// Sends one long request and plays the server by hand, between the turns of
/// the client's event loop.
class EarlyAnswerTest : public ::testing::Test {
protected:
  /// Starts a request and accepts its connection.
  void start(std::size_t UploadBytes) {
    Result_.reset();
    IsRequestSent_ = false;
    Body_.clear();
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Url_ = "http://127.0.0.1:" +
                   std::to_string(Acceptor_.local_endpoint().port()) + "/";
    Request.Body_.assign(UploadBytes, 'x');
    Client_.startTransfer(
        std::move(Request),
        [this](int, std::string_view Bytes) {
          Body_.append(Bytes);
          return true;
        },
        [this](const HttpResult &R) { Result_ = R; });
    Server_.emplace(ServerIo_);
    Acceptor_.non_blocking(true);
    asio::error_code Error = asio::error::would_block;
    while (Error == asio::error::would_block) {
      runTurns(1);
      Acceptor_.accept(*Server_, Error);
    }
  }

  /// Runs the client until it has nothing to do, as its upload is stuck.
  void runUntilStuck() {
    while (Io_.run_one_for(TurnWait) > 0)
      Io_.restart();
    Io_.restart();
  }

  /// Runs a number of handlers of the client's event loop.
  void runTurns(int Turns) {
    for (int I = 0; I < Turns; ++I) {
      Io_.restart();
      Io_.run_one_for(TurnWait);
    }
  }

  void runToEnd() {
    const auto End = std::chrono::steady_clock::now() + MaxRunTime;
    while (!Result_ && std::chrono::steady_clock::now() < End) {
      Io_.restart();
      Io_.run_one_for(TurnWait);
    }
    ASSERT_TRUE(Result_) << "the transfer has not ended";
  }

  void send(const std::string &Bytes) {
    asio::error_code Error;
    Server_->non_blocking(true, Error);
    asio::write(*Server_, asio::buffer(Bytes), Error);
  }

  /// Reads a number of bytes of the upload, so that the client can write again.
  void readUpload(std::size_t Bytes) {
    std::string Buffer(Bytes, 0);
    IsRequestSent_ = ::recv(Server_->native_handle(), Buffer.data(),
                            Buffer.size(), MSG_DONTWAIT) > 0;
  }

  void reset() {
    asio::error_code Error;
    int Unread = 0;
    ioctl(Server_->native_handle(), FIONREAD, &Unread);
    IsRequestSent_ = IsRequestSent_ || Unread > 0;
    Server_->set_option(asio::socket_base::linger(true, 0), Error);
    Server_->close(Error);
  }

  /// Expects that a part of an answer does not count as whole, and that a
  /// request of which bytes have arrived does not count as not sent.
  void expectBroken() {
    runToEnd();
    EXPECT_EQ(Result_->End_, IsRequestSent_ ? TransferEnd::ConnectionBroken
                                            : TransferEnd::NotSent)
        << Result_->Detail_;
    Details_.insert(Result_->Detail_);
  }

  asio::io_context Io_{1};
  asio::io_context ServerIo_;
  asio::ip::tcp::acceptor Acceptor_{
      ServerIo_, {asio::ip::make_address_v4("127.0.0.1"), 0}};
  std::optional<asio::ip::tcp::socket> Server_;
  HttpClient Client_{Io_};
  std::optional<HttpResult> Result_;
  bool IsRequestSent_ = false; ///< The server has received bytes of it.
  std::string Body_;
  std::set<std::string> Details_; ///< Reasons of the failures, each once.
};

constexpr std::size_t LongUploadBytes = 8 << 20;
constexpr std::size_t ShortUploadBytes = 32 << 10;
constexpr int MaxTurns = 8;

} // namespace

// The upload can go on when the reset comes: the write's turn is first.
TEST_F(EarlyAnswerTest, reset_seenByTheWriteFirst_isNoWholeAnswer) {
  for (int Turns = 0; Turns <= MaxTurns; ++Turns)
    for (const std::size_t Part : {5U, 20000U}) {
      start(LongUploadBytes);
      runUntilStuck();
      send(HeadWithoutLength + std::string(Part, 'y'));
      runTurns(Turns);
      readUpload(4 << 20);
      reset();
      expectBroken();
    }
  EXPECT_EQ(Details_.count("Failed sending data to the peer"), 1U);
}

// The read's handler is due already when the reset comes.
TEST_F(EarlyAnswerTest, reset_betweenReadinessAndRead_isNoWholeAnswer) {
  for (const std::size_t Part : {5U, 20000U, 200000U})
    for (const std::size_t Upload : {ShortUploadBytes, LongUploadBytes}) {
      start(Upload);
      runUntilStuck();
      send(HeadWithoutLength + std::string(Part, 'y'));
      // Runs after the event loop has found the read ready and before the read.
      asio::post(Io_, [this] { reset(); });
      expectBroken();
    }
}

// The whole request is with the kernel: only reads are left.
TEST_F(EarlyAnswerTest, reset_seenByTheReadFirst_isNoWholeAnswer) {
  for (int Turns = 0; Turns <= MaxTurns; ++Turns)
    for (const std::size_t Part : {5U, 20000U}) {
      start(ShortUploadBytes);
      runUntilStuck();
      send(HeadWithoutLength + std::string(Part, 'y'));
      runTurns(Turns);
      reset();
      expectBroken();
    }
  EXPECT_EQ(Details_.count("Failure when receiving data from the peer"), 1U);
}

// Before, within and behind the head, wherever the upload stands.
TEST_F(EarlyAnswerTest, reset_afterAnyTurn_isNoWholeAnswer) {
  const std::string Answer = std::string(HeadWithoutLength) + "a part";
  for (int Turns = 0; Turns <= 4 * MaxTurns; ++Turns)
    for (const std::size_t Sent : {Answer.size(), std::size_t{12}}) {
      start(LongUploadBytes);
      send(Answer.substr(0, Sent));
      runTurns(Turns);
      reset();
      expectBroken();
    }
}

TEST_F(EarlyAnswerTest, answer_endsWithItsConnectionBeforeTheUpload_isWhole) {
  start(LongUploadBytes);
  runUntilStuck();
  send(std::string(HeadWithoutLength) + "all of it");
  Server_->shutdown(asio::ip::tcp::socket::shutdown_send);
  runToEnd();
  EXPECT_EQ(Result_->End_, TransferEnd::Complete) << Result_->Detail_;
  EXPECT_EQ(Body_, "all of it");
}

TEST_F(EarlyAnswerTest, answer_withALengthBeforeTheUpload_isWhole) {
  for (const char *Framed :
       {"Content-Length: 9\r\n\r\nall of it",
        "Transfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n"}) {
    start(LongUploadBytes);
    runUntilStuck();
    send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + std::string(Framed));
    runToEnd();
    EXPECT_EQ(Result_->End_, TransferEnd::Complete) << Result_->Detail_;
    EXPECT_EQ(Body_, "all of it");
  }
}

} // namespace endivewharf
