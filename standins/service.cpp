// Plain service: counts how often each call really ran.
#include "web.h"

namespace standin {

namespace {

class Service {
public:
  Service(asio::io_context &Io, const Options &From)
      : Io_(Io), Web_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handle(R, std::move(Reply));
        }) {}

private:
  void handle(const WebRequest &R, WebReplyPtr Reply) {
    if (R.Path_ == "/health") {
      Reply->json(200, {{"leaving", Leaving_}});
    } else if (R.Path_ == "/executions") {
      Reply->json(200, Executions_);
    } else if (R.Path_ == "/control") {
      const Json Body = parseBody(R);
      DelayMs_ = Body.value("delay_ms", DelayMs_);
      LoseReplies_ = Body.value("lose_replies", LoseReplies_);
      Refuse_ = Body.value("refuse", Refuse_);
      Leaving_ = Body.value("leaving", Leaving_);
      Reply->json(200, {{"ok", true}});
    } else if (Refuse_ || Leaving_) {
      Reply->send(503, "application/json", R"({"error":"not now"})", true);
    } else {
      run(R, std::move(Reply));
    }
  }

  void run(const WebRequest &R, WebReplyPtr Reply) {
    const std::string Name =
        R.IdempotencyKey_.empty() ? R.RequestId_ : R.IdempotencyKey_;
    const int Times = ++Executions_[Name];
    if (LoseReplies_ > 0) {
      --LoseReplies_;
      Lost_.push_back(std::move(Reply)); // kept open, never answered
      return;
    }
    const Json Answer = {
        {"ok", true}, {"key", Name}, {"times", Times}, {"path", R.Path_}};
    after(Io_, DelayMs_, [Reply, Answer] { Reply->json(200, Answer); });
  }

  asio::io_context &Io_;
  std::map<std::string, int> Executions_;
  std::vector<WebReplyPtr> Lost_;
  int DelayMs_ = 0;
  int LoseReplies_ = 0;
  bool Refuse_ = false;
  bool Leaving_ = false;
  Web Web_;
};

} // namespace

void runService(asio::io_context &Io, const Options &From) {
  static Service Instance(Io, From);
}

} // namespace standin
