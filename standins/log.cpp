// Stand-in for the log service: appends, reads by offset with long polling, and
// retention. POST /control sets faults: outages, rejected appends and appends
// that are carried out but never answered.
#include "web.h"

#include <deque>

namespace standin {

namespace {

constexpr std::int64_t PollIntervalMs = 5;

class LogService {
public:
  LogService(asio::io_context &Io, const StandInOptions &Options)
      : Io_(Io),
        HttpServer_(Io, Options.Port_, [this](const auto &R, auto Reply) {
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
      const auto QueryNumber = [&](const char *Key, std::int64_t Default) {
        const auto Found = R.Query_.find(Key);
        return Found == R.Query_.end() ? Default : std::stoll(Found->second);
      };
      readRecords(QueryNumber("from", 0), QueryNumber("max", 500),
                  nowMs() + QueryNumber("wait_ms", 0), Reply);
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
    const std::int64_t FirstOffset = nextOffset();
    for (const Json &Record : Body.value("records", Json::array()))
      Records_.push_back(Record.get<std::string>());
    if (RepliesToLose_ > 0) {
      --RepliesToLose_;
      UnansweredReplies_.push_back(std::move(Reply));
      return;
    }
    Reply->sendJson(200, {{"offset", FirstOffset}});
  }

  void readRecords(std::int64_t From, std::int64_t MaxRecords,
                   std::int64_t DeadlineMs, const WebReplyPtr &Reply) {
    if (Outage_) {
      Reply->sendJson(503, {{"error", "outage"}});
      return;
    }
    if (From >= nextOffset() && nowMs() < DeadlineMs) {
      runAfter(Io_, PollIntervalMs,
               [this, From, MaxRecords, DeadlineMs, Reply] {
                 readRecords(From, MaxRecords, DeadlineMs, Reply);
               });
      return;
    }
    const std::int64_t BeginOffset = std::max(From, EarliestOffset_);
    const std::int64_t EndOffset =
        std::min(nextOffset(), BeginOffset + MaxRecords);
    Json Rows = Json::array();
    for (std::int64_t Offset = BeginOffset; Offset < EndOffset; ++Offset)
      Rows.push_back(
          {{"offset", Offset},
           {"body",
            Records_[static_cast<std::size_t>(Offset - EarliestOffset_)]}});
    Reply->sendJson(200, {{"earliest", EarliestOffset_},
                          {"next", std::max(BeginOffset, EndOffset)},
                          {"at_tail", EndOffset >= nextOffset()},
                          {"records", Rows}});
  }

  asio::io_context &Io_;
  std::deque<std::string> Records_;
  /// Kept so that their connections stay open without an answer.
  std::vector<WebReplyPtr> UnansweredReplies_;
  std::int64_t EarliestOffset_ = 0; ///< Offset of the first retained record.
  std::int64_t AppendCount_ = 0;
  bool Outage_ = false;
  int RepliesToLose_ = 0;
  int AppendsToReject_ = 0;
  HttpServer HttpServer_;
};

} // namespace

void startLogService(asio::io_context &Io, const StandInOptions &Options) {
  static LogService Instance(Io, Options);
}

} // namespace standin
