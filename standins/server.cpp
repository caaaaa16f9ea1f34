// A server on the platform: runs plain requests and streams of events, checks
// that it is the one expected, keeps books of what it ran. Faults by POST
// /control: refuse, ask for a pause, say that it leaves, cut streams after some
// events, lose answers, send a body without end.
#include "web.h"

#include <set>

namespace standin {

namespace {

constexpr std::int64_t Events = 20;             // of one stream
constexpr std::size_t EndlessPiece = 256 << 10; // bytes

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
      Reply->json(200,
                  {{"runs", Runs_}, {"seen", Seen_}, {"refused", Refused_}});
      return;
    }
    const std::string Id = value(R, "request-id");
    if (value(R, "expect-instance") != Given_.Name_) {
      Reply->header("Instance-Id", Given_.Name_);
      Reply->json(421, {{"error", "another server"}});
      return;
    }
    if (EndlessBody_) {
      Reply->header("Server-Seal", "seal-" + Given_.Name_);
      Reply->header("Request-Id", Id);
      Reply->begin("text/plain", [this] { EndlessBody_ = false; });
      sendWithoutEnd(Reply);
      return;
    }
    Reply->header("Request-Id", Id);
    if (Leaving_)
      Reply->header("Server-Leaving", "1");
    if (Refuse_) {
      ++Refused_;
      Reply->header("Not-Executed", "1");
      if (!Pause_.empty())
        Reply->header("Retry-After", Pause_);
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

  /// Bytes that are no event, for as long as the caller reads them.
  void sendWithoutEnd(const WebReplyPtr &Reply) {
    if (!EndlessBody_) {
      Reply->cut();
      return;
    }
    Reply->chunk(std::string(EndlessPiece, 'x'));
    after(Io_, 2, [this, Reply] { sendWithoutEnd(Reply); });
  }

  void control(const Json &Body) {
    Refuse_ = Body.value("refuse", Refuse_);
    LoseAnswers_ = Body.value("lose_answers", LoseAnswers_);
    CutAfter_ = Body.value("cut_after", CutAfter_);
    Leaving_ = Body.value("leaving", Leaving_);
    Pause_ = Body.value("pause", Pause_);
    EndlessBody_ = Body.value("endless_body", EndlessBody_);
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
  int Refused_ = 0;
  bool Leaving_ = false;
  std::string Pause_; ///< Seconds, told with a refusal; empty: none.
  bool EndlessBody_ = false;
  int LoseAnswers_ = 0;
  std::int64_t CutAfter_ = -1; ///< Events; below 0: streams are whole.
  Web Web_;
};

} // namespace

void runServer(asio::io_context &Io, const Options &From) {
  static Server Instance(Io, From);
}

} // namespace standin
