// Log service: append, read by offset with long polling, retention, outages,
// replies lost after the effect.
#include "web.h"

#include <deque>

namespace standin {

namespace {

constexpr std::int64_t PollIntervalMs = 5;

class LogService {
public:
  LogService(asio::io_context &Io, const StandInOptions &From)
      : Io_(Io), HttpServer_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, std::move(Reply));
        }) {}

private:
  void handleRequest(const WebRequest &R, WebReplyPtr Reply) {
    if (R.Path_ == "/control") {
      applyControl(parseJsonBody(R));
      Reply->sendJson(
          200,
          {{"ok", true}, {"appends", AppendCount_}, {"next", nextOffset()}});
    } else if (Outage_) {
      Reply->sendJson(503, {{"error", "outage"}});
    } else if (R.Path_ == "/append") {
      appendRecords(parseJsonBody(R), std::move(Reply));
    } else if (R.Path_ == "/read") {
      const auto Number = [&](const char *Key, std::int64_t Default) {
        const auto Found = R.Query_.find(Key);
        return Found == R.Query_.end() ? Default : std::stoll(Found->second);
      };
      readRecords(Number("from", 0), Number("max", 500),
                  nowMs() + Number("wait_ms", 0), Reply);
    } else {
      Reply->sendJson(404, {{"error", "no such path"}});
    }
  }

  void applyControl(const Json &Body) {
    Outage_ = Body.value("outage", Outage_);
    RepliesToLose_ = Body.value("lose_replies", RepliesToLose_);
    AppendsToReject_ = Body.value("drop_appends", AppendsToReject_);
    if (Body.contains("keep_last"))
      while (static_cast<std::int64_t>(Records_.size()) >
             Body["keep_last"].get<std::int64_t>()) {
        Records_.pop_front();
        ++EarliestOffset_;
      }
  }

  std::int64_t nextOffset() const {
    return EarliestOffset_ + static_cast<std::int64_t>(Records_.size());
  }

  void appendRecords(const Json &Body, WebReplyPtr Reply) {
    ++AppendCount_;
    if (AppendsToReject_ > 0) {
      --AppendsToReject_;
      Reply->sendJson(503, {{"error", "not appended"}});
      return;
    }
    const std::int64_t First = nextOffset();
    for (const Json &Record : Body.value("records", Json::array()))
      Records_.push_back(Record.get<std::string>());
    if (RepliesToLose_ > 0) {
      --RepliesToLose_;
      UnansweredReplies_.push_back(std::move(Reply));
      return;
    }
    Reply->sendJson(200, {{"offset", First}});
  }

  void readRecords(std::int64_t From, std::int64_t Max, std::int64_t Until,
                   const WebReplyPtr &Reply) {
    if (Outage_) {
      Reply->sendJson(503, {{"error", "outage"}});
      return;
    }
    if (From >= nextOffset() && nowMs() < Until) {
      runAfter(Io_, PollIntervalMs, [this, From, Max, Until, Reply] {
        readRecords(From, Max, Until, Reply);
      });
      return;
    }
    const std::int64_t Begin = std::max(From, EarliestOffset_);
    const std::int64_t End = std::min(nextOffset(), Begin + Max);
    Json Rows = Json::array();
    for (std::int64_t Offset = Begin; Offset < End; ++Offset)
      Rows.push_back(
          {{"offset", Offset},
           {"body",
            Records_[static_cast<std::size_t>(Offset - EarliestOffset_)]}});
    Reply->sendJson(200, {{"earliest", EarliestOffset_},
                          {"next", std::max(Begin, End)},
                          {"at_tail", End >= nextOffset()},
                          {"records", Rows}});
  }

  asio::io_context &Io_;
  std::deque<std::string> Records_;
  std::vector<WebReplyPtr> UnansweredReplies_;
  std::int64_t EarliestOffset_ = 0;
  std::int64_t AppendCount_ = 0;
  bool Outage_ = false;
  int RepliesToLose_ = 0;
  int AppendsToReject_ = 0;
  HttpServer HttpServer_;
};

} // namespace

void startLogService(asio::io_context &Io, const StandInOptions &From) {
  static LogService Instance(Io, From);
}

} // namespace standin
