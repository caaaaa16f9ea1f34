// A server on the platform: runs plain requests and streams of events, checks
// that it is the one expected, keeps books of what it ran. Faults by POST
// /control: refuse, ask for a pause, say that it leaves, cut streams after some
// events, lose answers, send a body without end.
#include "web.h"

#include <set>

namespace standin {

namespace {

constexpr std::int64_t EventsPerStream = 20;         // of one stream
constexpr std::size_t EndlessChunkBytes = 256 << 10; // bytes

class PlatformServer {
public:
  PlatformServer(asio::io_context &Io, const StandInOptions &From)
      : Io_(Io), Options_(From),
        HttpServer_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, std::move(Reply));
        }) {}

private:
  void handleRequest(const WebRequest &R, const WebReplyPtr &Reply) {
    if (R.Path_ == "/control") {
      applyControl(parseJsonBody(R));
      Reply->sendJson(200, {{"runs", ExecutionCounts_},
                            {"seen", LastRequestById_},
                            {"refused", RefusalCount_}});
      return;
    }
    const std::string Id = headerValue(R, "request-id");
    if (headerValue(R, "expect-instance") != Options_.ServerName_) {
      Reply->header("Instance-Id", Options_.ServerName_);
      Reply->sendJson(421, {{"error", "another server"}});
      return;
    }
    if (EndlessBody_) {
      Reply->header("Server-Seal", "seal-" + Options_.ServerName_);
      Reply->header("Request-Id", Id);
      Reply->begin("text/plain", [this] { EndlessBody_ = false; });
      sendEndlessBody(Reply);
      return;
    }
    Reply->header("Request-Id", Id);
    if (Leaving_)
      Reply->header("Server-Leaving", "1");
    if (RefuseRequests_) {
      ++RefusalCount_;
      Reply->header("Not-Executed", "1");
      if (!RefusalRetryAfter_.empty())
        Reply->header("Retry-After", RefusalRetryAfter_);
      Reply->sendJson(503, {{"error", "full"}});
      return;
    }
    ++ExecutionCounts_[Id];
    LastRequestById_[Id] = {{"tenant", headerValue(R, "tenant")},
                            {"key", headerValue(R, "authorization")},
                            {"deadline", headerValue(R, "deadline-ms")},
                            {"body", R.Body_}};
    Reply->header("Server-Seal", "seal-" + Options_.ServerName_);
    const std::string After = headerValue(R, "last-event-id");
    if (R.Path_.rfind("/stream/", 0) == 0)
      startEventStream(After.empty() ? 1 : std::stoll(After) + 1, Reply);
    else if (RepliesToLose_ > 0 && RepliesToLose_-- > 0)
      Reply->cut();
    else
      Reply->send(200, "text/plain", "whole answer to " + Id);
  }

  /// Bytes that are no event, for as long as the caller reads them.
  void sendEndlessBody(const WebReplyPtr &Reply) {
    if (!EndlessBody_) {
      Reply->cut();
      return;
    }
    Reply->chunk(std::string(EndlessChunkBytes, 'x'));
    runAfter(Io_, 2, [this, Reply] { sendEndlessBody(Reply); });
  }

  void applyControl(const Json &Body) {
    RefuseRequests_ = Body.value("refuse", RefuseRequests_);
    RepliesToLose_ = Body.value("lose_answers", RepliesToLose_);
    AbortAfterEvents_ = Body.value("cut_after", AbortAfterEvents_);
    Leaving_ = Body.value("leaving", Leaving_);
    RefusalRetryAfter_ = Body.value("pause", RefusalRetryAfter_);
    EndlessBody_ = Body.value("endless_body", EndlessBody_);
  }

  void startEventStream(std::int64_t Next, const WebReplyPtr &Reply) {
    Reply->begin("text/event-stream", [] {});
    sendNextEvent(Next, AbortAfterEvents_, Reply);
  }

  void sendNextEvent(std::int64_t Index, std::int64_t Left,
                     const WebReplyPtr &Reply) {
    if (Left == 0) {
      Reply->cut();
      return;
    }
    if (Index > EventsPerStream) {
      Reply->end();
      return;
    }
    const std::string Number = std::to_string(Index);
    Reply->chunk("id: " + Number + "\ndata: piece " + Number + "\n\n");
    runAfter(Io_, static_cast<std::int64_t>(Options_.DecodeMsPerToken_),
             [this, Index, Left, Reply] {
               sendNextEvent(Index + 1, Left - 1, Reply);
             });
  }

  asio::io_context &Io_;
  StandInOptions Options_;
  std::map<std::string, int> ExecutionCounts_;
  std::map<std::string, Json> LastRequestById_;
  bool RefuseRequests_ = false;
  int RefusalCount_ = 0;
  bool Leaving_ = false;
  std::string
      RefusalRetryAfter_; ///< Seconds, told with a refusal; empty: none.
  bool EndlessBody_ = false;
  int RepliesToLose_ = 0;
  std::int64_t AbortAfterEvents_ = -1; ///< Events; below 0: streams are whole.
  HttpServer HttpServer_;
};

} // namespace

void startPlatformServer(asio::io_context &Io, const StandInOptions &From) {
  static PlatformServer Instance(Io, From);
}

} // namespace standin
