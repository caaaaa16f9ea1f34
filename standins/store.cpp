// Stand-in for the platform's store: keyed topics with long polling,
// conditional appends and retention. POST /control sets faults: outages,
// appends that are carried out but never answered, requests that are never
// answered, and a return from a copy, which begins a new era.
#include "web.h"

#include <deque>
#include <restinio/utils/base64.hpp>

namespace standin {

namespace {

constexpr std::int64_t PollIntervalMs = 5;
constexpr std::size_t RecordLengthBytes = 4;

std::string encodeBigEndian(std::uint64_t Number, std::size_t Bytes) {
  std::string Text(Bytes, '\0');
  for (std::size_t I = 0; I < Bytes; ++I)
    Text[Bytes - 1 - I] = static_cast<char>(Number >> (8 * I) & 0xff);
  return Text;
}

std::uint64_t decodeBigEndian(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (const char C : Bytes)
    Value = Value << 8 | static_cast<unsigned char>(C);
  return Value;
}

/// Partition 0 of one topic.
struct Topic {
  std::int64_t FirstRetainedOffset_ = 0;
  std::deque<std::string> Records_; ///< Key length (one byte), key, value.
  /// Offset and value of the newest dropped record of each key.
  std::map<std::string, std::pair<std::int64_t, std::string>>
      NewestDroppedByKey_;

  std::int64_t endOffset() const {
    return FirstRetainedOffset_ + static_cast<std::int64_t>(Records_.size());
  }
};

class StoreService {
public:
  StoreService(asio::io_context &Io, const StandInOptions &Options)
      : Io_(Io),
        HttpServer_(Io, Options.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, std::move(Reply));
        }) {}

private:
  void handleRequest(const WebRequest &R, WebReplyPtr Reply) {
    if (R.Path_ == "/control") {
      applyControl(parseJsonBody(R));
      Reply->sendJson(200, {{"appends", AppendCount_}, {"reads", ReadCount_}});
      return;
    }
    if (Unresponsive_) {
      UnansweredReplies_.push_back(std::move(Reply));
      return;
    }
    if (Outage_) {
      sendJson(Reply, 503, {{"error", "outage"}});
      return;
    }
    Topic &T = Topics_[queryParameter(R, "topic")];
    if (R.Path_ == "/-/log-append")
      appendRecords(T, R, Reply);
    else if (R.Path_ == "/-/log-read")
      readRecords(queryParameter(R, "topic"),
                  std::stoll(queryParameter(R, "from")),
                  nowMs() + std::stoll(queryParameter(R, "waitMs")), Reply);
    else if (R.Path_ == "/-/log-newest")
      sendNewestRecords(T, Reply);
    else
      sendJson(Reply, 404, {{"error", "no such path"}});
  }

  void sendJson(const WebReplyPtr &Reply, int Status, const Json &Body) const {
    addEra(Reply);
    Reply->sendJson(Status, Body);
  }

  void addEra(const WebReplyPtr &Reply) const {
    Reply->addHeader("Store-Era", std::to_string(Era_));
  }

  /// @return the parameter's value; "0" if the request has none of that name
  static std::string queryParameter(const WebRequest &R, const char *Key) {
    const auto Found = R.Query_.find(Key);
    return Found == R.Query_.end() ? "0" : Found->second;
  }

  /// Sets faults, appends the records of `put` and drops the history if
  /// `forget` is set. `put` stands for writers other than entry processes:
  /// operators and servers.
  void applyControl(const Json &Body) {
    Outage_ = Body.value("outage", Outage_);
    Unresponsive_ = Body.value("silent", Unresponsive_);
    RepliesToLose_ = Body.value("lose_answers", RepliesToLose_);
    for (const Json &Record : Body.value("put", Json::array())) {
      const auto Key = Record.at("key").get<std::string>();
      const Json Value = Record.value("value", Json());
      Topics_[Record.at("topic")].Records_.push_back(
          encodeBigEndian(Key.size(), 1) + Key +
          (Value.is_string() ? Value.get<std::string>()
           : Value.is_null() ? ""
                             : Value.dump()));
    }
    if (Body.value("forget", false))
      for (auto &[Name, T] : Topics_)
        dropHistory(T);
    if (Body.value("copy", false))
      Copy_ = Topics_;
    if (Body.value("restore", false)) {
      Topics_ = Copy_;
      ++Era_;
    }
  }

  /// Drops all records; the newest of each key is still served by log-newest.
  static void dropHistory(Topic &T) {
    T.NewestDroppedByKey_ = newestRecords(T);
    T.FirstRetainedOffset_ = T.endOffset();
    T.Records_.clear();
  }

  void appendRecords(Topic &T, const WebRequest &R, const WebReplyPtr &Reply) {
    ++AppendCount_;
    const std::int64_t FirstOffset = T.endOffset();
    if (R.Query_.count("at") > 0 &&
        std::stoll(queryParameter(R, "at")) != FirstOffset) {
      sendJson(Reply, 412, {{"end", FirstOffset}});
      return;
    }
    std::string_view Remaining = R.Body_;
    while (Remaining.size() >= RecordLengthBytes) {
      const std::size_t Length =
          decodeBigEndian(Remaining.substr(0, RecordLengthBytes));
      T.Records_.emplace_back(Remaining.substr(RecordLengthBytes, Length));
      Remaining.remove_prefix(
          std::min(Remaining.size(), RecordLengthBytes + Length));
    }
    if (RepliesToLose_ > 0) {
      --RepliesToLose_;
      UnansweredReplies_.push_back(Reply);
      return;
    }
    sendJson(Reply, 200, {{"offset", FirstOffset}, {"end", T.endOffset()}});
  }

  void readRecords(const std::string &Name, std::int64_t From,
                   std::int64_t DeadlineMs, const WebReplyPtr &Reply) {
    ++ReadCount_;
    const Topic &T = Topics_[Name];
    if (From < T.FirstRetainedOffset_ || From > T.endOffset()) {
      sendJson(Reply, 410, {{"first", T.FirstRetainedOffset_}});
      return;
    }
    if (From >= T.endOffset() && nowMs() < DeadlineMs && !Unresponsive_ &&
        !Outage_) {
      runAfter(Io_, PollIntervalMs, [this, Name, From, DeadlineMs, Reply] {
        --ReadCount_;
        readRecords(Name, From, DeadlineMs, Reply);
      });
      return;
    }
    std::string Bytes =
        encodeBigEndian(static_cast<std::uint64_t>(T.endOffset()), 8) +
        encodeBigEndian(static_cast<std::uint64_t>(T.FirstRetainedOffset_), 8);
    for (std::int64_t Offset = From; Offset < T.endOffset(); ++Offset) {
      const std::string &Record =
          T.Records_[static_cast<std::size_t>(Offset - T.FirstRetainedOffset_)];
      Bytes += encodeBigEndian(Record.size(), RecordLengthBytes) + Record;
    }
    addEra(Reply);
    Reply->send(200, "application/octet-stream", std::move(Bytes));
  }

  /// @return offset and value of the newest record of each key
  static std::map<std::string, std::pair<std::int64_t, std::string>>
  newestRecords(const Topic &T) {
    auto Newest = T.NewestDroppedByKey_;
    for (std::int64_t Offset = T.FirstRetainedOffset_; Offset < T.endOffset();
         ++Offset) {
      const std::string &Record =
          T.Records_[static_cast<std::size_t>(Offset - T.FirstRetainedOffset_)];
      const std::size_t KeyLength = static_cast<unsigned char>(Record[0]);
      Newest[Record.substr(1, KeyLength)] = {Offset,
                                             Record.substr(1 + KeyLength)};
    }
    return Newest;
  }

  void sendNewestRecords(const Topic &T, const WebReplyPtr &Reply) {
    ++ReadCount_;
    Json Items = Json::array();
    for (const auto &[Key, Entry] : newestRecords(T))
      if (!Entry.second.empty())
        Items.push_back(
            {{"key", Key},
             {"value", restinio::utils::base64::encode(
                           {Entry.second.data(), Entry.second.size()})},
             {"offset", Entry.first}});
    sendJson(Reply, 200,
             {{"items", Items}, {"hasMore", false}, {"end", T.endOffset()}});
  }

  asio::io_context &Io_;
  std::map<std::string, Topic> Topics_;
  std::map<std::string, Topic> Copy_;
  std::int64_t Era_ = 1;
  /// Kept so that their connections stay open without an answer.
  std::vector<WebReplyPtr> UnansweredReplies_;
  std::int64_t AppendCount_ = 0;
  std::int64_t ReadCount_ = 0;
  bool Outage_ = false;
  bool Unresponsive_ = false;
  int RepliesToLose_ = 0;
  HttpServer HttpServer_;
};

} // namespace

void startStoreService(asio::io_context &Io, const StandInOptions &Options) {
  static StoreService Instance(Io, Options);
}

} // namespace standin
