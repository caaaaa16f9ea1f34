// Stand-in for a server on the platform: runs plain requests and event streams,
// refuses requests that expect another server, and counts what it ran. POST
// /control sets faults: refuse requests, ask callers to wait before a retry,
// announce that the server leaves, abort streams after some events, abort
// connections instead of answering, send an endless body, break off each stream
// whose prompt has a certain part before its first event, and name
// a limit in each answer.
#include "web.h"

#include <set>

namespace standin {

namespace {

constexpr std::int64_t EventsPerStream = 20;
constexpr std::size_t EndlessChunkBytes = 256 << 10;

class PlatformServer {
public:
  PlatformServer(asio::io_context &Io, const StandInOptions &Options)
      : Io_(Io), Options_(Options),
        HttpServer_(Io, Options.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, std::move(Reply));
        }) {}

private:
  void handleRequest(const WebRequest &R, const WebReplyPtr &Reply) {
    if (R.Path_ == "/control") {
      applyControl(parseJsonBody(R));
      Reply->sendJson(200, {{"runs", ExecutionCounts_},
                            {"seen", LastRequestById_},
                            {"refused", RefusalCount_},
                            {"ended", EndCount_}});
      return;
    }
    const std::string Id = headerValue(R, "request-id");
    if (headerValue(R, "expect-instance") != Options_.ServerName_) {
      Reply->addHeader("Instance-Id", Options_.ServerName_);
      Reply->sendJson(421, {{"error", "another server"}});
      return;
    }
    if (EndlessBody_) {
      Reply->addHeader("Server-Seal", "seal-" + Options_.ServerName_);
      Reply->addHeader("Request-Id", Id);
      Reply->beginStream("text/plain", [this] { EndlessBody_ = false; });
      sendEndlessBody(Reply);
      return;
    }
    Reply->addHeader("Request-Id", Id);
    if (Leaving_)
      Reply->addHeader("Server-Leaving", "1");
    if (!NamedLimit_.empty())
      Reply->addHeader("Server-Limit", NamedLimit_);
    if (RefuseRequests_) {
      ++RefusalCount_;
      Reply->addHeader("Not-Executed", "1");
      if (!RefusalRetryAfter_.empty())
        Reply->addHeader("Retry-After", RefusalRetryAfter_);
      Reply->sendJson(503, {{"error", "full"}});
      return;
    }
    ++ExecutionCounts_[Id];
    LastRequestById_[Id] = {{"tenant", headerValue(R, "tenant")},
                            {"key", headerValue(R, "authorization")},
                            {"deadline", headerValue(R, "deadline-ms")},
                            {"body", R.Body_}};
    Reply->addHeader("Server-Seal", "seal-" + Options_.ServerName_);
    const std::string LastEventId = headerValue(R, "last-event-id");
    const bool IsStream = R.Path_.rfind("/stream/", 0) == 0;
    const bool HasDeadlyPart =
        IsStream && !DeadlyPart_.empty() &&
        headerValue(R, "prompt-prefix").find(DeadlyPart_) != std::string::npos;
    if (HasDeadlyPart || (!DeadlyPath_.empty() && R.Path_ == DeadlyPath_)) {
      ++EndCount_;
      Reply->beginStream("text/event-stream", [] {});
      Reply->abortConnection();
      return;
    }
    if (IsStream)
      startEventStream(LastEventId.empty() ? 1 : std::stoll(LastEventId) + 1,
                       Reply);
    else if (RepliesToLose_ > 0 && RepliesToLose_-- > 0)
      Reply->abortConnection();
    else
      Reply->send(200, "text/plain", "whole answer to " + Id);
  }

  /// Sends bytes that are not an event until the caller disconnects or the
  /// fault is cleared, then aborts the connection.
  void sendEndlessBody(const WebReplyPtr &Reply) {
    if (!EndlessBody_) {
      Reply->abortConnection();
      return;
    }
    Reply->sendChunk(std::string(EndlessChunkBytes, 'x'));
    runAfter(Io_, 2, [this, Reply] { sendEndlessBody(Reply); });
  }

  void applyControl(const Json &Body) {
    RefuseRequests_ = Body.value("refuse", RefuseRequests_);
    RepliesToLose_ = Body.value("lose_answers", RepliesToLose_);
    AbortAfterEvents_ = Body.value("cut_after", AbortAfterEvents_);
    Leaving_ = Body.value("leaving", Leaving_);
    RefusalRetryAfter_ = Body.value("pause", RefusalRetryAfter_);
    EndlessBody_ = Body.value("endless_body", EndlessBody_);
    DeadlyPart_ = Body.value("deadly_part", DeadlyPart_);
    DeadlyPath_ = Body.value("deadly_path", DeadlyPath_);
    NamedLimit_ = Body.value("limit", NamedLimit_);
  }

  void startEventStream(std::int64_t FirstIndex, const WebReplyPtr &Reply) {
    Reply->beginStream("text/event-stream", [] {});
    sendNextEvent(FirstIndex, AbortAfterEvents_, Reply);
  }

  void sendNextEvent(std::int64_t Index, std::int64_t EventsLeft,
                     const WebReplyPtr &Reply) {
    if (EventsLeft == 0) {
      Reply->abortConnection();
      return;
    }
    if (Index > EventsPerStream) {
      Reply->endStream();
      return;
    }
    const std::string EventId = std::to_string(Index);
    Reply->sendChunk("id: " + EventId + "\ndata: piece " + EventId + "\n\n");
    runAfter(Io_, static_cast<std::int64_t>(Options_.DecodeMsPerToken_),
             [this, Index, EventsLeft, Reply] {
               sendNextEvent(Index + 1, EventsLeft - 1, Reply);
             });
  }

  asio::io_context &Io_;
  StandInOptions Options_;
  std::map<std::string, int> ExecutionCounts_; ///< By request id.
  std::map<std::string, Json> LastRequestById_;
  bool RefuseRequests_ = false;
  int RefusalCount_ = 0;
  bool Leaving_ = false;
  /// Retry-After of refusals in seconds; empty: not sent.
  std::string RefusalRetryAfter_;
  bool EndlessBody_ = false;
  std::string DeadlyPart_; ///< Part that breaks streams off; empty: none.
  std::string DeadlyPath_; ///< Path whose requests are broken off.
  int EndCount_ = 0;       ///< Answers broken off because of these.
  std::string NamedLimit_; ///< Requests per second; empty: not named.
  int RepliesToLose_ = 0;
  /// Number of events after which a stream is aborted; below 0: never.
  std::int64_t AbortAfterEvents_ = -1;
  HttpServer HttpServer_;
};

} // namespace

void startPlatformServer(asio::io_context &Io, const StandInOptions &Options) {
  static PlatformServer Instance(Io, Options);
}

} // namespace standin
