// Log service: append, read by offset with long polling, retention, outages,
// replies lost after the effect.
#include "web.h"

#include <deque>

namespace standin {

namespace {

constexpr std::int64_t PollMs = 5;

class Log {
public:
  Log(asio::io_context &Io, const Options &From)
      : Io_(Io), Web_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handle(R, std::move(Reply));
        }) {}

private:
  void handle(const WebRequest &R, WebReplyPtr Reply) {
    if (R.Path_ == "/control") {
      control(parseBody(R));
      Reply->json(200, {{"ok", true}, {"appends", Appends_}, {"next", next()}});
    } else if (Outage_) {
      Reply->json(503, {{"error", "outage"}});
    } else if (R.Path_ == "/append") {
      append(parseBody(R), std::move(Reply));
    } else if (R.Path_ == "/read") {
      const auto Number = [&](const char *Key, std::int64_t Default) {
        const auto Found = R.Query_.find(Key);
        return Found == R.Query_.end() ? Default : std::stoll(Found->second);
      };
      read(Number("from", 0), Number("max", 500),
           nowMs() + Number("wait_ms", 0), Reply);
    } else {
      Reply->json(404, {{"error", "no such path"}});
    }
  }

  void control(const Json &Body) {
    Outage_ = Body.value("outage", Outage_);
    LoseReplies_ = Body.value("lose_replies", LoseReplies_);
    DropAppends_ = Body.value("drop_appends", DropAppends_);
    if (Body.contains("keep_last"))
      while (static_cast<std::int64_t>(Records_.size()) >
             Body["keep_last"].get<std::int64_t>()) {
        Records_.pop_front();
        ++Earliest_;
      }
  }

  std::int64_t next() const {
    return Earliest_ + static_cast<std::int64_t>(Records_.size());
  }

  void append(const Json &Body, WebReplyPtr Reply) {
    ++Appends_;
    if (DropAppends_ > 0) {
      --DropAppends_;
      Reply->json(503, {{"error", "not appended"}});
      return;
    }
    const std::int64_t First = next();
    for (const Json &Record : Body.value("records", Json::array()))
      Records_.push_back(Record.get<std::string>());
    if (LoseReplies_ > 0) {
      --LoseReplies_;
      Lost_.push_back(std::move(Reply));
      return;
    }
    Reply->json(200, {{"offset", First}});
  }

  void read(std::int64_t From, std::int64_t Max, std::int64_t Until,
            const WebReplyPtr &Reply) {
    if (Outage_) {
      Reply->json(503, {{"error", "outage"}});
      return;
    }
    if (From >= next() && nowMs() < Until) {
      after(Io_, PollMs,
            [this, From, Max, Until, Reply] { read(From, Max, Until, Reply); });
      return;
    }
    const std::int64_t Begin = std::max(From, Earliest_);
    const std::int64_t End = std::min(next(), Begin + Max);
    Json Rows = Json::array();
    for (std::int64_t Offset = Begin; Offset < End; ++Offset)
      Rows.push_back(
          {{"offset", Offset},
           {"body", Records_[static_cast<std::size_t>(Offset - Earliest_)]}});
    Reply->json(200, {{"earliest", Earliest_},
                      {"next", std::max(Begin, End)},
                      {"at_tail", End >= next()},
                      {"records", Rows}});
  }

  asio::io_context &Io_;
  std::deque<std::string> Records_;
  std::vector<WebReplyPtr> Lost_;
  std::int64_t Earliest_ = 0;
  std::int64_t Appends_ = 0;
  bool Outage_ = false;
  int LoseReplies_ = 0;
  int DropAppends_ = 0;
  Web Web_;
};

} // namespace

void runLog(asio::io_context &Io, const Options &From) {
  static Log Instance(Io, From);
}

} // namespace standin
