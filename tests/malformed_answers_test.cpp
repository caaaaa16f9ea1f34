// Tests of everything that reads answers, at stand-ins that send broken ones:
// attempts of both interfaces, the store, the log, probes and control requests.
#include "answersamples.h"
#include "platform.h"
#include "platform/controlclient.h"
#include "platform/store.h"
#include "platform/upstream.h"

#include <asio/io_context.hpp>
#include <functional>
#include <gtest/gtest.h>

namespace endivewharf::harness {

namespace {

constexpr auto MaxRunTime = std::chrono::seconds(20);

/// @return broken answers of the kinds that the store and the control API
///   know: success, a refused append, none available, expired, not found
std::vector<AnswerSample> brokenAnswersOfAnyStatus() {
  std::vector<AnswerSample> Samples;
  for (const char *Status :
       {"200 OK", "412 Failed", "409 Conflict", "410 Gone", "404 Not Found"})
    for (const char *Line :
         {"a b: c", "Content-Length : 1", "X: a\x01", "Content-Length: +2",
          "Content-Length: 3", "Transfer-Encoding: gzip", " folded: first"}) {
      const std::string Name = std::string(Status) + ", " + Line;
      Samples.push_back({Name, std::string("HTTP/1.1 ") + Status + "\r\n" +
                                   Line +
                                   "\r\nStore-Era: 7\r\nContent-Length: 2\r\n"
                                   "\r\n{}"});
    }
  for (const char *Status : {"000", "099", "600", "412 ", "409 ", "200 "})
    Samples.push_back(
        {Status,
         std::string("HTTP/1.1 ") + Status + "\r\nContent-Length: 20\r\n\r\n{}",
         AfterAnswer::Close});
  return Samples;
}

/// Runs one client at a time against a scripted server.
class AnswerReaderTest : public ::testing::Test {
protected:
  /// Starts something and runs the event loop until its last event.
  /// @param Start is given the HTTP client and the sink of events
  /// @return the last event
  EventBody
  lastEvent(const std::function<void(HttpClient &, EventSink)> &Start) {
    std::optional<EventBody> Last;
    Start(Client_, [&](EventBody E) {
      const bool IsProgress = std::holds_alternative<AttemptHead>(E) ||
                              std::holds_alternative<AttemptToken>(E) ||
                              std::holds_alternative<UpstreamNotice>(E);
      Events_.push_back(E);
      if (IsProgress)
        return;
      Last = std::move(E);
      Io_.stop();
    });
    Io_.restart();
    Io_.run_for(MaxRunTime);
    return Last ? *Last : EventBody(CallerDisconnected{});
  }

  StartAttempt makeAttempt(bool Stream) {
    StartAttempt Start;
    Start.Attempt_ = ++LastAttempt_;
    Start.Kind_ = CallKind::Routed;
    Start.Address_ = Server_.url();
    Start.RequestId_ = "r" + std::to_string(LastAttempt_);
    Start.Headers_ = {{"Request-Id", Start.RequestId_}};
    Start.Method_ = "POST";
    Start.Path_ = "/";
    Start.TimeLeft_ = 2000;
    Start.MaxIdleTime_ = 15000;
    Start.Stream_ = Stream;
    return Start;
  }

  /// @return the last event of an attempt by the platform's protocol
  /// @param Fresh on a connection of its own, which is not used again
  EventBody attempt(bool Stream, bool Fresh = false, bool ToPeer = false) {
    StartAttempt Start = makeAttempt(Stream);
    Start.FreshConnection_ = Fresh;
    if (ToPeer)
      Start.Relay_ = RelayInfo{"entry-1", "sales", 1};
    return lastEvent([&](HttpClient &Client, EventSink Sink) {
      Upstreams_ = std::make_unique<platform::UpstreamClient>(
          Client, std::move(Sink), 1 << 20);
      Upstreams_->start(Start);
    });
  }

  /// @return the last event of an attempt of this program's own interface
  EventBody ownAttempt(CallKind Kind) {
    StartAttempt Start = makeAttempt(false);
    Start.Kind_ = Kind;
    Start.FirstByteTimeout_ = 2000;
    Start.Route_ = "chat";
    return lastEvent([&](HttpClient &Client, EventSink Sink) {
      Own_ = std::make_unique<AttemptRunner>(Client, std::move(Sink), 1 << 20);
      Own_->start(Start);
    });
  }

  /// Lets a connection be used once, so that the next request reuses it.
  void useConnection() {
    Server_.setAnswer(okAnswer("Content-Length: 2\r\n"), AfterAnswer::KeepOpen);
    ASSERT_TRUE(std::holds_alternative<ServiceAnswer>(attempt(false)));
  }

  static std::string failureOf(const EventBody &Body) {
    const auto *Failed = std::get_if<AttemptFailed>(&Body);
    return Failed == nullptr ? "no failure"
                             : std::string(name(Failed->Failure_));
  }

  static std::string detailOf(const EventBody &Body) {
    const auto *Failed = std::get_if<AttemptFailed>(&Body);
    return Failed == nullptr ? "" : Failed->Detail_;
  }

  /// Expects that an answer fails an attempt as malformed and that nothing of
  /// it is passed on.
  void expectMalformed(const AnswerSample &Sample, const EventBody &Last,
                       bool MayBeLeftOver = false) {
    const std::string Malformed(name(AttemptFailure::ProtocolError));
    const std::string Broken(name(AttemptFailure::ConnectionBroken));
    const std::string Failure = failureOf(Last);
    EXPECT_TRUE(Failure == Malformed || (MayBeLeftOver && Failure == Broken))
        << Sample.Name_ << ": " << Failure << " " << detailOf(Last);
    EXPECT_FALSE(detailOf(Last).empty()) << Sample.Name_;
    CountedCount_ += Failure == Malformed ? 1 : 0;
    EXPECT_EQ(Client_.malformedAnswers(), CountedCount_) << Sample.Name_;
    for (const EventBody &E : Events_) {
      EXPECT_FALSE(std::holds_alternative<UpstreamNotice>(E)) << Sample.Name_;
      EXPECT_FALSE(std::holds_alternative<ServiceAnswer>(E)) << Sample.Name_;
      EXPECT_FALSE(std::holds_alternative<AttemptToken>(E)) << Sample.Name_;
    }
    Events_.clear();
  }

  /// Sends requests of all kinds to a server with a broken answer, on new
  /// connections and on used ones, which must not be used again.
  void expectMalformedEverywhere(const AnswerSample &Sample) {
    for (const bool Stream : {false, true}) {
      Server_.setAnswer(Sample.Bytes_, Sample.After_);
      expectMalformed(Sample, attempt(Stream, true));
      expectMalformed(Sample, attempt(Stream, true, true));
      useConnection();
      Events_.clear();
      const int Connections = Server_.connections();
      Server_.setAnswer(Sample.Bytes_, Sample.After_);
      expectMalformed(Sample, attempt(Stream), Sample.IsNoHead_);
      useConnection();
      Events_.clear();
      EXPECT_EQ(Server_.connections(), Connections + 1) << Sample.Name_;
    }
    Server_.setAnswer(Sample.Bytes_, Sample.After_);
    for (const CallKind Kind : {CallKind::Completion, CallKind::Service})
      expectMalformed(Sample, ownAttempt(Kind), true);
  }

  ScriptedServer Server_;
  asio::io_context Io_{1};
  HttpClient Client_{Io_};
  std::unique_ptr<platform::UpstreamClient> Upstreams_;
  std::unique_ptr<AttemptRunner> Own_;
  std::unique_ptr<platform::StoreClient> Store_;
  std::unique_ptr<platform::ControlClient> Control_;
  std::unique_ptr<PlatformClient> Platform_;
  std::vector<EventBody> Events_;
  AttemptId LastAttempt_ = 0;
  std::int64_t CountedCount_ = 0; ///< Malformed answers so far.
};

} // namespace

// libcurl 7.88.1 refuses codes below 100 itself, as an unsupported protocol;
// another version may not, which is why AnswerHead refuses them as well.
TEST_F(AnswerReaderTest, status_isNone_failsTheAttempt) {
  for (const AnswerSample &Sample : answersWithBrokenStatus())
    expectMalformedEverywhere(Sample);
}

TEST_F(AnswerReaderTest, field_isBroken_failsTheAttempt) {
  for (const AnswerSample &Sample : answersWithBrokenFields())
    expectMalformedEverywhere(Sample);
}

TEST_F(AnswerReaderTest, framing_isBroken_failsTheAttempt) {
  for (const AnswerSample &Sample : answersWithBrokenFraming())
    expectMalformedEverywhere(Sample);
}

// Guards against a refusal whose head is broken: it says nothing, not even
// that the request has not run.
TEST_F(AnswerReaderTest, refusal_withABrokenHead_saysNothing) {
  for (const char *Line : {"a b: c", "X: \x01", "Content-Length : 0"})
    for (const char *Status : {"503 Busy", "429 Many", "421 Other"}) {
      const AnswerSample Sample{
          Line, std::string("HTTP/1.1 ") + Status +
                    "\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"
                    "Server-Leaving: 1\r\nRetry-After: 5\r\n" +
                    Line + "\r\nContent-Length: 0\r\n\r\n"};
      Server_.setAnswer(Sample.Bytes_, Sample.After_);
      expectMalformed(Sample, attempt(false));
      expectMalformed(Sample, attempt(true));
    }
}

// Guards against trailers that take back what the head has said.
TEST_F(AnswerReaderTest, trailers_nameFieldsOfTheHead_changeNothing) {
  const auto Chunked = [](const char *Status, const char *Body) {
    return markedAnswer(std::string("HTTP/1.1 ") + Status,
                        "Transfer-Encoding: chunked\r\nTrailer: X\r\n",
                        std::string(Body) +
                            "0\r\nNot-Executed: 1\r\nX-Not-Run: 1\r\n"
                            "Content-Encoding: gzip\r\nContent-Length: 1\r\n"
                            "Request-Id: other\r\n\r\n");
  };
  Server_.setAnswer(Chunked("200 OK", "2\r\nok\r\n"), AfterAnswer::KeepOpen);
  const EventBody Plain = attempt(false);
  ASSERT_TRUE(std::holds_alternative<ServiceAnswer>(Plain)) << failureOf(Plain);
  EXPECT_EQ(std::get<ServiceAnswer>(Plain).Body_, "ok");
  for (const Header &Field : std::get<ServiceAnswer>(Plain).Headers_)
    EXPECT_TRUE(Field.Name_ == "Request-Id" || Field.Name_ == "Server-Seal")
        << Field.Name_;
  Server_.setAnswer(Chunked("500 Broken", ""), AfterAnswer::KeepOpen);
  EXPECT_TRUE(std::holds_alternative<ServiceAnswer>(attempt(false)));
  Server_.setAnswer(Chunked("503 Busy", ""), AfterAnswer::KeepOpen);
  const EventBody Busy = ownAttempt(CallKind::Service);
  EXPECT_TRUE(std::holds_alternative<ServiceAnswer>(Busy)) << failureOf(Busy);
  Server_.setAnswer("HTTP/1.1 103 Hints\r\nX-Not-Run: 1\r\n\r\n"
                    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                    AfterAnswer::KeepOpen);
  EXPECT_TRUE(
      std::holds_alternative<ServiceAnswer>(ownAttempt(CallKind::Service)));
}

TEST_F(AnswerReaderTest, answer_soundAndOdd_isPassedOn) {
  std::string ManyFields;
  for (int I = 0; I < 1000; ++I)
    ManyFields += "X-" + std::to_string(I) + ": y\r\n";
  const std::string Length = "Content-Length: 2\r\n";
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const auto WithLine = [](const std::string &Line, const std::string &Fields,
                           const std::string &Body) {
    return markedAnswer("HTTP/1.1 " + Line, Fields, Body);
  };
  std::vector<AnswerSample> Samples = {
      {"no length", okAnswer(""), AfterAnswer::Close},
      {"HTTP/1.0", markedAnswer("HTTP/1.0 200 OK", "", "ok"),
       AfterAnswer::Close},
      {"empty reason", WithLine("200 ", Length, "ok")},
      {"no reason", WithLine("200", Length, "ok")},
      {"odd reason", WithLine("200 \xc3\xa4 (?)\t!", Length, "ok")},
      {"line feeds alone", "HTTP/1.1 200 OK\nRequest-Id: {id}\nServer-Seal: "
                           "s\nContent-Length: 2\n\nok"},
      {"interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n"
                        "Link: </a>\r\n\r\nHTTP/1.1 199 X\r\n\r\n" +
                            okAnswer(Length)},
      {"names of any case", "HTTP/1.1 200 OK\r\nrequest-ID: {id}\r\nSERVER-"
                            "seal: s\r\ncontent-LENGTH:2\r\n\r\nok"},
      {"odd names", okAnswer("!#$%&'*+-.^_`|~9: x\r\n" + Length)},
      {"odd values",
       okAnswer("A:\r\nB: \xff\x80\r\nC:\t a:b;\"c\"\t\r\n" + Length)},
      {"folded value", okAnswer("A: one\r\n two: 2\r\n\tthree\r\n" + Length)},
      {"equal lengths", okAnswer(Length + Length)},
      {"list of equal lengths", okAnswer("Content-Length: 2, 2\r\n")},
      {"many fields", okAnswer(ManyFields + Length)},
      {"chunks", WithLine("200 OK", Chunked, "1\r\no\r\n1\r\nk\r\n0\r\n\r\n")},
      {"chunk extensions and trailers",
       WithLine("200 OK", Chunked,
                "2;a=b;c=\"d\"\r\nok\r\n000;x\r\nX: y\r\n z\r\n\r\n")},
  };
  for (const AnswerSample &Sample : Samples) {
    Server_.setAnswer(Sample.Bytes_, Sample.After_);
    for (const bool Fresh : {false, true}) {
      const EventBody Last = attempt(false, Fresh);
      const auto *Answer = std::get_if<ServiceAnswer>(&Last);
      ASSERT_TRUE(Answer != nullptr) << Sample.Name_ << detailOf(Last);
      EXPECT_EQ(Answer->Status_, 200) << Sample.Name_;
      EXPECT_EQ(Answer->Body_, "ok") << Sample.Name_;
    }
  }
}

TEST_F(AnswerReaderTest, answer_ofAnyStatus_isPassedOn) {
  for (int Status = 200; Status <= 599; ++Status) {
    if (Status == 421)
      continue; // The platform's word for another host.
    const bool HasBody = Status != 204 && Status != 304;
    Server_.setAnswer(markedAnswer("HTTP/1.1 " + std::to_string(Status) + " X",
                                   HasBody ? "Content-Length: 2\r\n" : "",
                                   HasBody ? "ok" : ""),
                      AfterAnswer::KeepOpen);
    const EventBody Last = attempt(false);
    const auto *Answer = std::get_if<ServiceAnswer>(&Last);
    ASSERT_TRUE(Answer != nullptr) << Status << detailOf(Last);
    EXPECT_EQ(Answer->Status_, Status);
    EXPECT_EQ(Answer->Body_, HasBody ? "ok" : "");
  }
}

// Guards against fields that are dropped, or joined, on the way.
TEST_F(AnswerReaderTest, fields_oddButProper_arePassedOnAsTheyCame) {
  Server_.setAnswer(okAnswer("Content-Length: 2\r\nA:\r\nB: \xff\r\na: 2\r\n"
                             "F: one\r\n two: 2\r\n"),
                    AfterAnswer::KeepOpen);
  const EventBody Last = attempt(false);
  ASSERT_TRUE(std::holds_alternative<ServiceAnswer>(Last));
  const Headers Expected = {
      {"Request-Id", "r1"}, {"Server-Seal", "s"}, {"A", ""},
      {"B", "\xff"},        {"a", "2"},           {"F", "one two: 2"}};
  EXPECT_EQ(std::get<ServiceAnswer>(Last).Headers_, Expected);
}

// Guards against a broken answer that is taken for records, an
// acknowledgement or a refusal.
TEST_F(AnswerReaderTest, store_answersBroken_saysNothing) {
  const auto Client = [&](const auto &Call) {
    return lastEvent([&](HttpClient &Http, EventSink Sink) {
      Store_ = std::make_unique<platform::StoreClient>(Http, Server_.url(),
                                                       std::move(Sink));
      Call(*Store_);
    });
  };
  using platform::StoreClient;
  for (const AnswerSample &Sample : brokenAnswersOfAnyStatus()) {
    Server_.setAnswer(Sample.Bytes_, Sample.After_);
    EXPECT_TRUE(
        std::holds_alternative<LogReadFailed>(Client([](StoreClient &C) {
          C.readControlLog({0, 0});
        })))
        << Sample.Name_;
    EXPECT_TRUE(
        std::holds_alternative<LogReadFailed>(Client([](StoreClient &C) {
          C.readControlLog({4, 0});
        })))
        << Sample.Name_;
    EXPECT_TRUE(std::holds_alternative<OperatorLogReadFailed>(
        Client([](StoreClient &C) {
          C.readOperatorLog({0, 0});
        })))
        << Sample.Name_;
    EXPECT_TRUE(std::holds_alternative<HostsReadFailed>(
        Client([](StoreClient &C) { C.readHosts({}); })))
        << Sample.Name_;
    const EventBody Append = Client([](StoreClient &C) {
      C.appendToControlLog({1, {LeaseRenewRecord{}}, 4});
    });
    ASSERT_TRUE(std::holds_alternative<AppendEnded>(Append)) << Sample.Name_;
    EXPECT_FALSE(std::get<AppendEnded>(Append).Accepted_) << Sample.Name_;
    EXPECT_FALSE(std::get<AppendEnded>(Append).Refused_) << Sample.Name_;
    const EventBody Status = Client([](StoreClient &C) {
      C.writeRolloutStatus({"orders", "v2", "complete"});
    });
    ASSERT_TRUE(std::holds_alternative<RolloutStatusWritten>(Status));
    EXPECT_FALSE(std::get<RolloutStatusWritten>(Status).Accepted_)
        << Sample.Name_;
  }
}

TEST_F(AnswerReaderTest,
       controlRequest_answeredBroken_isNeitherDoneNorRefused) {
  const auto Client = [&](const auto &Call) {
    return lastEvent([&](HttpClient &Http, EventSink Sink) {
      Control_ = std::make_unique<platform::ControlClient>(
          Http, Server_.url(), "entry-0", std::move(Sink));
      Call(*Control_);
    });
  };
  using platform::ControlClient;
  for (const AnswerSample &Sample : brokenAnswersOfAnyStatus()) {
    Server_.setAnswer(Sample.Bytes_, Sample.After_);
    const EventBody Usage = Client([](ControlClient &C) {
      C.sendUsageReport({1, 2, {}, monotonicNow() + 60000});
    });
    ASSERT_TRUE(std::holds_alternative<UsageReportAnswered>(Usage));
    EXPECT_FALSE(std::get<UsageReportAnswered>(Usage).Accepted_)
        << Sample.Name_;
    const EventBody Scale = Client([](ControlClient &C) {
      C.sendScaleRequest(
          {1, 1, "orders", "a", 2, false, monotonicNow() + 60000});
    });
    ASSERT_TRUE(std::holds_alternative<ScaleAnswered>(Scale));
    EXPECT_FALSE(std::get<ScaleAnswered>(Scale).Accepted_) << Sample.Name_;
    EXPECT_FALSE(std::get<ScaleAnswered>(Scale).NoneAvailable_) << Sample.Name_;
  }
}

TEST_F(AnswerReaderTest, ownPlatform_answersBroken_saysNothing) {
  Settings Own;
  Own.LogUrl_ = Server_.url();
  const auto Client = [&](const auto &Call) {
    return lastEvent([&](HttpClient &Http, EventSink Sink) {
      Platform_ = std::make_unique<PlatformClient>(Http, Own, std::move(Sink));
      Call(*Platform_);
    });
  };
  const std::string Page = R"({"earliest":0,"next":0,"records":[]})";
  const std::string Health = R"({"running":0,"waiting":0,"slots":4})";
  for (const char *Line : {"a b: c\r\n", "Content-Length : 1\r\n",
                           "X: \x01\r\n", " folded: x\r\n", ""}) {
    const bool IsSound = *Line == 0;
    const auto SetBody = [&](const std::string &Body) {
      Server_.setAnswer(std::string("HTTP/1.1 200 OK\r\n") + Line +
                            "Content-Length: " + std::to_string(Body.size()) +
                            "\r\n\r\n" + Body,
                        AfterAnswer::KeepOpen);
    };
    SetBody(Page);
    EXPECT_EQ(std::holds_alternative<LogRead>(
                  Client([](PlatformClient &C) { C.readLog({}); })),
              IsSound)
        << Line;
    const EventBody Append = Client([](PlatformClient &C) {
      C.appendToLog({1, {}});
    });
    ASSERT_TRUE(std::holds_alternative<AppendEnded>(Append));
    EXPECT_EQ(std::get<AppendEnded>(Append).Accepted_, IsSound) << Line;
    SetBody(Health);
    const EventBody Probe = Client([&](PlatformClient &C) {
      C.probeUpstream({{"h", 1}, Server_.url()});
    });
    ASSERT_TRUE(std::holds_alternative<ProbeEnded>(Probe));
    EXPECT_EQ(std::get<ProbeEnded>(Probe).Reached_, IsSound) << Line;
    CountedCount_ += IsSound ? 0 : 3;
    EXPECT_EQ(Client_.malformedAnswers(), CountedCount_) << Line;
  }
}

} // namespace endivewharf::harness
