// A server on the platform: runs plain requests and streams of events, checks
// that it is the one expected, keeps books of what it ran. Faults by POST
// /control: refuse, cut streams after some events, lose answers, answer as
// somebody else.
#include "web.h"

#include <set>

namespace standin {

namespace {

constexpr std::int64_t Events = 20; // of one stream

class Server {
public:
  Server(asio::io_context &Io, const Options &From)
      : Io_(Io), Given_(From),
        Web_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handle(R, std::move(Reply));
        }) {}

private:
  void handle(const WebRequest &R, const WebReplyPtr &Reply) {
    if (R.Path_ == "/control") {
      control(parseBody(R));
      Reply->json(200, {{"runs", Runs_}, {"seen", Seen_}});
      return;
    }
    const std::string Id = value(R, "request-id");
    if (value(R, "expect-instance") != Given_.Name_) {
      Reply->header("Instance-Id", Given_.Name_);
      Reply->json(421, {{"error", "another server"}});
      return;
    }
    Reply->header("Request-Id", Id);
    if (Refuse_) {
      Reply->header("Not-Executed", "1");
      Reply->json(503, {{"error", "full"}});
      return;
    }
    ++Runs_[Id];
    Seen_[Id] = {{"tenant", value(R, "tenant")},
                 {"key", value(R, "authorization")},
                 {"deadline", value(R, "deadline-ms")},
                 {"body", R.Body_}};
    Reply->header("Server-Seal", "seal-" + Given_.Name_);
    const std::string After = value(R, "last-event-id");
    if (R.Path_.rfind("/stream/", 0) == 0)
      stream(After.empty() ? 1 : std::stoll(After) + 1, Reply);
    else if (LoseAnswers_ > 0 && LoseAnswers_-- > 0)
      Reply->cut();
    else
      Reply->send(200, "text/plain", "whole answer to " + Id);
  }

  void control(const Json &Body) {
    Refuse_ = Body.value("refuse", Refuse_);
    LoseAnswers_ = Body.value("lose_answers", LoseAnswers_);
    CutAfter_ = Body.value("cut_after", CutAfter_);
  }

  void stream(std::int64_t Next, const WebReplyPtr &Reply) {
    Reply->begin("text/event-stream", [] {});
    nextEvent(Next, CutAfter_, Reply);
  }

  void nextEvent(std::int64_t Index, std::int64_t Left,
                 const WebReplyPtr &Reply) {
    if (Left == 0) {
      Reply->cut();
      return;
    }
    if (Index > Events) {
      Reply->end();
      return;
    }
    const std::string Number = std::to_string(Index);
    Reply->chunk("id: " + Number + "\ndata: piece " + Number + "\n\n");
    after(
        Io_, static_cast<std::int64_t>(Given_.TokenMs_),
        [this, Index, Left, Reply] { nextEvent(Index + 1, Left - 1, Reply); });
  }

  asio::io_context &Io_;
  Options Given_;
  std::map<std::string, int> Runs_;
  std::map<std::string, Json> Seen_;
  bool Refuse_ = false;
  int LoseAnswers_ = 0;
  std::int64_t CutAfter_ = -1; ///< Events; below 0: streams are whole.
  Web Web_;
};

} // namespace

void runServer(asio::io_context &Io, const Options &From) {
  static Server Instance(Io, From);
}

} // namespace standin
