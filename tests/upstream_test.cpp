// Tests of attempts at a server that sends a copy of its answer late, on a
// connection that is used for further requests, and at one whose answers have
// neither length nor chunks and end with their connection.
#include "platform/upstream.h"

#include <algorithm>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace endivewharf::platform {

namespace {

constexpr auto RepeatDelay = std::chrono::milliseconds(30);
constexpr auto RequestInterval = std::chrono::milliseconds(120);
constexpr auto MaxRunTime = std::chrono::seconds(3);

/// Answers requests on persistent connections, and sends the first answer of
/// each connection twice.
class RepeatingServer {
public:
  explicit RepeatingServer(bool Stream)
      : IsStream_(Stream),
        Acceptor_(Io_, {asio::ip::make_address_v4("127.0.0.1"), 0}) {
    accept();
    Thread_ = std::thread([this] { Io_.run(); });
  }
  ~RepeatingServer() {
    Io_.stop();
    Thread_.join();
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port());
  }

private:
  struct PersistentConnection {
    asio::ip::tcp::socket Socket_;
    asio::steady_timer Timer_;
    std::string Head_;
    std::string Answer_;
    bool Repeated_ = false;
  };

  void accept() {
    Acceptor_.async_accept(
        [this](const asio::error_code &Error, asio::ip::tcp::socket Socket) {
          if (Error)
            return;
          auto C = std::make_shared<PersistentConnection>(PersistentConnection{
              std::move(Socket), asio::steady_timer(Io_), "", "", false});
          readRequest(C);
          accept();
        });
  }

  void readRequest(const std::shared_ptr<PersistentConnection> &C) {
    asio::async_read_until(
        C->Socket_, asio::dynamic_buffer(C->Head_), "\r\n\r\n",
        [this, C](const asio::error_code &Error, std::size_t) {
          if (Error)
            return;
          asio::error_code Ignored;
          C->Answer_ = makeAnswerFor(C->Head_);
          C->Head_.clear();
          asio::write(C->Socket_, asio::buffer(C->Answer_), Ignored);
          if (!C->Repeated_)
            scheduleRepeat(C);
          readRequest(C);
        });
  }

  void scheduleRepeat(const std::shared_ptr<PersistentConnection> &C) {
    C->Repeated_ = true;
    C->Timer_.expires_after(RepeatDelay);
    C->Timer_.async_wait([C](const asio::error_code &) {
      asio::error_code Ignored;
      asio::write(C->Socket_, asio::buffer(C->Answer_), Ignored);
    });
  }

  std::string makeAnswerFor(const std::string &Head) const {
    const std::string Name = "Request-Id: ";
    const auto Begin = Head.find(Name) + Name.size();
    const std::string Id = Head.substr(Begin, Head.find('\r', Begin) - Begin);
    const std::string Body =
        IsStream_ ? "id: 1\ndata: " + Id + "\n\n" : "answer to " + Id;
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
           "\r\nServer-Seal: s\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  bool IsStream_;
  asio::io_context Io_{1};
  asio::ip::tcp::acceptor Acceptor_;
  std::thread Thread_;
};

/// Turns the first request away and answers all others. On the connection of
/// the refusal it writes the refusal once more before its next answer.
class RefusingServer {
public:
  /// @param Refusal status line and headers of the refusal, without its id
  /// @param Copies whether it writes the refusal once more
  explicit RefusingServer(std::string Refusal, bool Copies = true)
      : Refusal_(std::move(Refusal)), Copies_(Copies),
        Acceptor_(Io_, {asio::ip::make_address_v4("127.0.0.1"), 0}) {
    accept();
    Thread_ = std::thread([this] { Io_.run(); });
  }
  ~RefusingServer() {
    Io_.stop();
    Thread_.join();
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port());
  }
  int connections() const { return Connections_; }

private:
  struct Connection {
    asio::ip::tcp::socket Socket_;
    std::string Head_;
    std::string LateCopy_;
  };

  void accept() {
    Acceptor_.async_accept([this](const asio::error_code &Error,
                                  asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      ++Connections_;
      readRequest(
          std::make_shared<Connection>(Connection{std::move(Socket), "", ""}));
      accept();
    });
  }

  void readRequest(const std::shared_ptr<Connection> &C) {
    asio::async_read_until(
        C->Socket_, asio::dynamic_buffer(C->Head_), "\r\n\r\n",
        [this, C](const asio::error_code &Error, std::size_t) {
          if (Error)
            return;
          const std::string Name = "Request-Id: ";
          const auto Begin = C->Head_.find(Name);
          const std::string Id =
              C->Head_.substr(Begin, C->Head_.find('\n', Begin) + 1 - Begin);
          C->Head_.clear();
          std::string Answer = std::exchange(C->LateCopy_, "");
          if (!std::exchange(Refused_, true)) {
            const std::string First =
                Refusal_ + Id + "Content-Length: 0\r\n\r\n";
            Answer += First;
            C->LateCopy_ = Copies_ ? First : "";
          } else {
            Answer += "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n" + Id +
                      "Content-Length: 3\r\n\r\nran";
          }
          asio::error_code Ignored;
          asio::write(C->Socket_, asio::buffer(Answer), Ignored);
          readRequest(C);
        });
  }

  std::string Refusal_;
  bool Copies_;
  bool Refused_ = false;
  std::atomic<int> Connections_ = 0;
  asio::io_context Io_{1};
  asio::ip::tcp::acceptor Acceptor_;
  std::thread Thread_;
};

/// Sends the same bytes to each request and closes the connection.
class ClosingServer {
public:
  explicit ClosingServer(std::string Answer)
      : Answer_(std::move(Answer)),
        Acceptor_(Io_, {asio::ip::make_address_v4("127.0.0.1"), 0}) {
    accept();
    Thread_ = std::thread([this] { Io_.run(); });
  }
  ~ClosingServer() {
    Io_.stop();
    Thread_.join();
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port());
  }

private:
  void accept() {
    Acceptor_.async_accept([this](const asio::error_code &Error,
                                  asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      std::string Head;
      asio::error_code Ignored;
      asio::read_until(Socket, asio::dynamic_buffer(Head), "\r\n\r\n", Ignored);
      asio::write(Socket, asio::buffer(Answer_), Ignored);
      Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
      accept();
    });
  }

  std::string Answer_;
  asio::io_context Io_{1};
  asio::ip::tcp::acceptor Acceptor_;
  std::thread Thread_;
};

/// Attempts whose answer ends with its connection.
class ClosedAnswerTest : public ::testing::Test {
protected:
  static constexpr const char *Head =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\n";

  /// @return the last event of an attempt that gets this body
  EventBody lastEvent(const std::string &Body, bool Stream,
                      std::int64_t ResumeAfter = NoEventIndex) {
    return lastEventOf(Head + Body, Stream, ResumeAfter);
  }

  /// @return the last event of an attempt that gets this answer
  EventBody lastEventOf(const std::string &Answer, bool Stream,
                        std::int64_t ResumeAfter = NoEventIndex) {
    ClosingServer Server(Answer);
    std::vector<EventBody> Events;
    HttpClient Client(Io_);
    UpstreamClient Upstreams(
        Client, [&](EventBody E) { Events.push_back(std::move(E)); }, 1 << 20);
    StartAttempt Start;
    Start.Attempt_ = 1;
    Start.Kind_ = CallKind::Routed;
    Start.Address_ = Server.url();
    Start.RequestId_ = "r1";
    Start.Method_ = "GET";
    Start.Path_ = "/";
    Start.TimeLeft_ = 1000;
    Start.Stream_ = Stream;
    Start.ResumeAfter_ = ResumeAfter;
    Upstreams.start(Start);
    Io_.run_for(RequestInterval * 3);
    return Events.empty() ? EventBody(CallerDisconnected{}) : Events.back();
  }

  static bool isNotRun(const EventBody &Body) {
    const auto *Failed = std::get_if<AttemptFailed>(&Body);
    return Failed != nullptr &&
           (Failed->Failure_ == AttemptFailure::Refused ||
            Failed->Failure_ == AttemptFailure::Misdirected);
  }

  static bool isBreak(const EventBody &Body) {
    const auto *Failed = std::get_if<AttemptFailed>(&Body);
    return Failed != nullptr &&
           Failed->Failure_ == AttemptFailure::ConnectionBroken;
  }

  asio::io_context Io_{1};
};

/// Attempts at a server that writes a refusal a second time, late.
class LateRefusalTest : public ::testing::Test {
protected:
  /// Sends requests with these ids one after the other.
  /// @return the events of all attempts; the attempts count from 1
  std::vector<EventBody> sendRequests(const RefusingServer &Server,
                                      const std::vector<std::string> &Ids) {
    std::vector<EventBody> Events;
    HttpClient Client(Io_);
    UpstreamClient Upstreams(
        Client, [&](EventBody E) { Events.push_back(std::move(E)); }, 1 << 20);
    for (std::size_t I = 0; I < Ids.size(); ++I) {
      StartAttempt Start;
      Start.Attempt_ = I + 1;
      Start.Kind_ = CallKind::Routed;
      Start.Address_ = Server.url();
      Start.RequestId_ = Ids[I];
      Start.Headers_ = {{"Request-Id", Ids[I]}};
      Start.Method_ = "POST";
      Start.Path_ = "/";
      Start.TimeLeft_ = 1000;
      Start.MaxIdleTime_ = 4000;
      Upstreams.start(Start);
      Io_.restart();
      Io_.run_for(RequestInterval);
    }
    return Events;
  }

  static bool isAnswered(const std::vector<EventBody> &Events,
                         AttemptId Attempt) {
    return std::any_of(Events.begin(), Events.end(), [&](const EventBody &E) {
      const auto *Answer = std::get_if<ServiceAnswer>(&E);
      return Answer != nullptr && Answer->Attempt_ == Attempt &&
             Answer->Body_ == "ran";
    });
  }

  static constexpr const char *Busy =
      "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\n";

  asio::io_context Io_{1};
};

class LateCopyTest : public ::testing::TestWithParam<bool> {
protected:
  /// Sends requests one after the other.
  /// @return the events of all attempts
  std::vector<EventBody> sendRequests(int Requests) {
    RepeatingServer Server(GetParam());
    std::vector<EventBody> Events;
    HttpClient Client(Io_);
    UpstreamClient Upstreams(
        Client, [&](EventBody E) { Events.push_back(std::move(E)); }, 1 << 20);
    asio::steady_timer Timer(Io_);
    for (int I = 1; I <= Requests; ++I) {
      StartAttempt Start;
      Start.Attempt_ = static_cast<AttemptId>(I);
      Start.Kind_ = CallKind::Routed;
      Start.Address_ = Server.url();
      Start.RequestId_ = "r" + std::to_string(I);
      Start.Headers_ = {{"Request-Id", Start.RequestId_}};
      Start.Method_ = "GET";
      Start.Path_ = "/";
      Start.TimeLeft_ = 1000;
      Start.MaxIdleTime_ = 4000;
      Start.Stream_ = GetParam();
      Upstreams.start(Start);
      Io_.restart();
      Io_.run_for(RequestInterval);
    }
    Io_.restart();
    Io_.run_for(MaxRunTime / 3);
    return Events;
  }

  asio::io_context Io_{1};
};

} // namespace

TEST_F(ClosedAnswerTest, answer_endsWithItsConnection_isWhole) {
  const EventBody Last = lastEvent("all of it", false);
  ASSERT_TRUE(std::holds_alternative<ServiceAnswer>(Last));
  EXPECT_EQ(std::get<ServiceAnswer>(Last).Body_, "all of it");
}

// Guards against a part of an answer that is lost between two turns of reading.
TEST_F(ClosedAnswerTest, answer_ofSeveralTurns_isWhole) {
  std::string Body;
  while (Body.size() < 900000)
    Body += std::to_string(Body.size()) + ",";
  const EventBody Last = lastEvent(Body, false);
  ASSERT_TRUE(std::holds_alternative<ServiceAnswer>(Last));
  EXPECT_TRUE(std::get<ServiceAnswer>(Last).Body_ == Body);
}

TEST_F(ClosedAnswerTest, stream_endsAfterAnEvent_isComplete) {
  EXPECT_TRUE(std::holds_alternative<AttemptEnded>(
      lastEvent("id: 1\ndata: a\n\n", true)));
}

TEST_F(ClosedAnswerTest, stream_endsInsideAnEvent_isBroken) {
  EXPECT_TRUE(isBreak(lastEvent("id: 1\ndata: a\n\nid: 2\ndat", true)));
}

TEST_F(ClosedAnswerTest, stream_endsBeforeItsFirstEvent_isBroken) {
  EXPECT_TRUE(isBreak(lastEvent("", true)));
}

TEST_F(ClosedAnswerTest, resumedStream_hasNothingLeftToSend_isComplete) {
  EXPECT_TRUE(std::holds_alternative<AttemptEnded>(lastEvent("", true, 7)));
}

TEST_F(ClosedAnswerTest, answer_endsWithinItsHead_isNoAnswer) {
  const std::string Marked =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n";
  for (const std::string &CutHead :
       {std::string("HTTP/1.1 200 OK\r\n"), Marked, Marked + "Content-Le",
        Marked + "X: y\r\n\r", Marked.substr(0, Marked.size() - 2)})
    for (const bool Stream : {false, true})
      for (const std::int64_t ResumeAfter : {NoEventIndex, std::int64_t{7}})
        EXPECT_TRUE(isBreak(lastEventOf(CutHead, Stream, ResumeAfter)))
            << CutHead << Stream << ResumeAfter;
}

TEST_F(ClosedAnswerTest, refusal_endsWithinItsHead_saysNothing) {
  for (const char *Status : {"503 Busy", "421 Other"})
    EXPECT_TRUE(isBreak(
        lastEventOf(std::string("HTTP/1.1 ") + Status +
                        "\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Ty",
                    false)));
}

TEST_F(ClosedAnswerTest, refusal_ofTheRequest_isBelieved) {
  for (const char *Status : {"503 Busy", "429 Many", "421 Other"}) {
    const EventBody Last =
        lastEventOf(std::string("HTTP/1.1 ") + Status +
                        "\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n",
                    false);
    ASSERT_TRUE(std::holds_alternative<AttemptFailed>(Last)) << Status;
    EXPECT_TRUE(isNotRun(Last)) << Status;
  }
}

TEST_F(ClosedAnswerTest, refusal_thatNamesNoRequestOrAnother_saysNothing) {
  for (const char *Id : {"", "Request-Id: r0\r\n"})
    for (const char *Status : {"503 Busy", "429 Many", "421 Other"}) {
      const EventBody Last =
          lastEventOf(std::string("HTTP/1.1 ") + Status + "\r\n" + Id +
                          "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                      false);
      ASSERT_TRUE(std::holds_alternative<AttemptFailed>(Last)) << Status;
      EXPECT_FALSE(isNotRun(Last)) << Status << " " << Id;
    }
}

TEST_F(ClosedAnswerTest, resumedStream_answeredByAnError_isNoEvent) {
  const EventBody Last =
      lastEventOf("HTTP/1.1 500 Broken\r\nRequest-Id: r1\r\nServer-Seal: s\r\n"
                  "Content-Length: 5\r\n\r\nerror",
                  true, 7);
  ASSERT_TRUE(std::holds_alternative<ServiceAnswer>(Last));
  EXPECT_EQ(std::get<ServiceAnswer>(Last).Status_, 500);
}

// Guards against a late copy of a refusal that is taken for the answer to the
// next attempt of the same request, which runs: it would run twice.
TEST_F(LateRefusalTest, request_returnsToItsRefuser_getsItsOwnAnswer) {
  RefusingServer Server(Busy);
  EXPECT_TRUE(isAnswered(sendRequests(Server, {"r1", "r1"}), 2));
}

// Guards against the same with another request in between, and with a copy of
// an error.
TEST_F(LateRefusalTest, request_returnsAfterOthers_getsItsOwnAnswer) {
  for (const char *First : {Busy, "HTTP/1.1 421 Other\r\n",
                            "HTTP/1.1 500 Broken\r\nServer-Seal: s\r\n"}) {
    RefusingServer Server(First);
    const auto Events = sendRequests(Server, {"r1", "r1", "r2", "r1"});
    EXPECT_TRUE(isAnswered(Events, 2)) << First;
    EXPECT_TRUE(isAnswered(Events, 4)) << First;
    EXPECT_LE(Server.connections(), 3) << First;
  }
}

// Guards against a host that counts as leaving by the word of a late copy.
TEST_F(LateRefusalTest, copy_readByAnotherRequest_saysNothingOfTheHost) {
  RefusingServer Server(Busy);
  for (const EventBody &E : sendRequests(Server, {"r1", "r2"})) {
    const auto *Notice = std::get_if<UpstreamNotice>(&E);
    EXPECT_TRUE(Notice == nullptr || Notice->Attempt_ == 1);
  }
}

TEST_F(LateRefusalTest, requests_ofDifferentIds_shareTheConnection) {
  RefusingServer Server(Busy, false);
  const auto Events = sendRequests(Server, {"r1", "r2", "r3", "r4"});
  for (const AttemptId Attempt : {2, 3, 4})
    EXPECT_TRUE(isAnswered(Events, Attempt)) << Attempt;
  EXPECT_EQ(Server.connections(), 1);
}

// Guards against answers that are small enough each and too large together.
TEST(AnswerBudgetTest, total_overTheLimit_namesTheLargest) {
  AnswerBudget Budget;
  constexpr std::size_t Half = AnswerBudget::MaxBytes / 2;
  EXPECT_EQ(Budget.set(1, Half - 10), std::nullopt);
  EXPECT_EQ(Budget.set(2, Half + 10), std::nullopt);
  EXPECT_EQ(Budget.set(3, 1), std::optional<AttemptId>(2));
  Budget.remove(2);
  EXPECT_EQ(Budget.set(3, 20), std::nullopt);
  EXPECT_EQ(Budget.total(), Half + 10);
  Budget.remove(1);
  Budget.remove(3);
  Budget.remove(3);
  EXPECT_EQ(Budget.total(), 0U);
}

TEST(AnsweredRequestsTest, request_pastItsTime_isForgotten) {
  AnsweredRequests Known;
  Known.add("r1", "a:1", 1000);
  EXPECT_TRUE(Known.contains("r1", "a:1", 999));
  EXPECT_FALSE(Known.contains("r1", "a:2", 999));
  EXPECT_FALSE(Known.contains("r2", "a:1", 999));
  EXPECT_FALSE(Known.contains("r1", "a:1", 1000));
  EXPECT_EQ(Known.size(), 0U);
}

TEST_P(LateCopyTest, nextRequest_onTheConnection_neverGetsTheCopy) {
  int CompleteAnswers = 0;
  for (const EventBody &Body : sendRequests(6)) {
    if (const auto *Reply = std::get_if<ServiceAnswer>(&Body)) {
      EXPECT_EQ(Reply->Body_, "answer to r" + std::to_string(Reply->Attempt_));
      ++CompleteAnswers;
    }
    if (const auto *Token = std::get_if<AttemptToken>(&Body)) {
      EXPECT_EQ(Token->Text_,
                "id: 1\ndata: r" + std::to_string(Token->Attempt_) + "\n\n");
      ++CompleteAnswers;
    }
  }
  EXPECT_GE(CompleteAnswers, 3);
}

INSTANTIATE_TEST_SUITE_P(PlainAndStream, LateCopyTest, ::testing::Bool());

} // namespace endivewharf::platform
