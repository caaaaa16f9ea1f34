// Stand-in for a plain service: counts how often each call was executed. POST
// /control sets faults: delayed answers, executions without an answer, refusals
// and a server that leaves.
#include "web.h"

namespace standin {

namespace {

class PlainService {
public:
  PlainService(asio::io_context &Io, const StandInOptions &Options)
      : Io_(Io),
        HttpServer_(Io, Options.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, std::move(Reply));
        }) {}

private:
  void handleRequest(const WebRequest &R, WebReplyPtr Reply) {
    if (R.Path_ == "/health") {
      Reply->sendJson(200, {{"leaving", Leaving_}});
    } else if (R.Path_ == "/executions") {
      Reply->sendJson(200, ExecutionCounts_);
    } else if (R.Path_ == "/control") {
      const Json Body = parseJsonBody(R);
      ReplyDelayMs_ = Body.value("delay_ms", ReplyDelayMs_);
      RepliesToLose_ = Body.value("lose_replies", RepliesToLose_);
      RefuseRequests_ = Body.value("refuse", RefuseRequests_);
      Leaving_ = Body.value("leaving", Leaving_);
      Reply->sendJson(200, {{"ok", true}});
    } else if (RefuseRequests_ || Leaving_) {
      Reply->send(503, "application/json", R"({"error":"not now"})", true);
    } else {
      executeCall(R, std::move(Reply));
    }
  }

  void executeCall(const WebRequest &R, WebReplyPtr Reply) {
    const std::string Key =
        R.IdempotencyKey_.empty() ? R.RequestId_ : R.IdempotencyKey_;
    const int ExecutionCount = ++ExecutionCounts_[Key];
    if (RepliesToLose_ > 0) {
      --RepliesToLose_;
      // The connection stays open without an answer.
      UnansweredReplies_.push_back(std::move(Reply));
      return;
    }
    const Json Answer = {{"ok", true},
                         {"key", Key},
                         {"times", ExecutionCount},
                         {"path", R.Path_}};
    runAfter(Io_, ReplyDelayMs_,
             [Reply, Answer] { Reply->sendJson(200, Answer); });
  }

  asio::io_context &Io_;
  /// By idempotency key, or by request id where the call has no key.
  std::map<std::string, int> ExecutionCounts_;
  std::vector<WebReplyPtr> UnansweredReplies_;
  int ReplyDelayMs_ = 0;
  int RepliesToLose_ = 0;
  bool RefuseRequests_ = false;
  bool Leaving_ = false;
  HttpServer HttpServer_;
};

} // namespace

void startPlainService(asio::io_context &Io, const StandInOptions &Options) {
  static PlainService Instance(Io, Options);
}

} // namespace standin
