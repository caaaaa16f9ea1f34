// The platform's store: keyed topics with long polls, conditions, retention,
// and faults set by POST /control: outage, lost answers, silence.
#include "web.h"

#include <deque>
#include <restinio/utils/base64.hpp>

namespace standin {

namespace {

constexpr std::int64_t PollMs = 5;
constexpr std::size_t LengthBytes = 4;

std::string bigEndian(std::uint64_t Number, std::size_t Bytes) {
  std::string Text(Bytes, '\0');
  for (std::size_t I = 0; I < Bytes; ++I)
    Text[Bytes - 1 - I] = static_cast<char>(Number >> (8 * I) & 0xff);
  return Text;
}

std::uint64_t number(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (const char C : Bytes)
    Value = Value << 8 | static_cast<unsigned char>(C);
  return Value;
}

/// Partition 0 of one topic.
struct Topic {
  std::int64_t First_ = 0;
  std::deque<std::string> Records_; ///< Contents: length of key, key, value.
  /// Newest record of each key before the first that is kept.
  std::map<std::string, std::pair<std::int64_t, std::string>> Newest_;

  std::int64_t end() const {
    return First_ + static_cast<std::int64_t>(Records_.size());
  }
};

class Store {
public:
  Store(asio::io_context &Io, const Options &From)
      : Io_(Io), Web_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handle(R, std::move(Reply));
        }) {}

private:
  void handle(const WebRequest &R, WebReplyPtr Reply) {
    if (R.Path_ == "/control") {
      control(parseBody(R));
      Reply->json(200, {{"appends", Appends_}, {"reads", Reads_}});
      return;
    }
    if (Silent_) {
      Held_.push_back(std::move(Reply));
      return;
    }
    if (Outage_) {
      Reply->json(503, {{"error", "outage"}});
      return;
    }
    Topic &T = Topics_[query(R, "topic")];
    if (R.Path_ == "/-/log-append")
      append(T, R, Reply);
    else if (R.Path_ == "/-/log-read")
      read(query(R, "topic"), std::stoll(query(R, "from")),
           nowMs() + std::stoll(query(R, "waitMs")), Reply);
    else if (R.Path_ == "/-/log-newest")
      newest(T, Reply);
    else
      Reply->json(404, {{"error", "no such path"}});
  }

  static std::string query(const WebRequest &R, const char *Key) {
    const auto Found = R.Query_.find(Key);
    return Found == R.Query_.end() ? "0" : Found->second;
  }

  /// Faults, and records of writers that the system may not be: operators and
  /// servers.
  void control(const Json &Body) {
    Outage_ = Body.value("outage", Outage_);
    Silent_ = Body.value("silent", Silent_);
    LoseAnswers_ = Body.value("lose_answers", LoseAnswers_);
    for (const Json &Record : Body.value("put", Json::array())) {
      const auto Key = Record.at("key").get<std::string>();
      const Json Value = Record.value("value", Json());
      Topics_[Record.at("topic")].Records_.push_back(
          bigEndian(Key.size(), 1) + Key +
          (Value.is_string() ? Value.get<std::string>()
           : Value.is_null() ? ""
                             : Value.dump()));
    }
    if (Body.value("forget", false))
      for (auto &[Name, T] : Topics_)
        forget(T);
  }

  /// Drops the history; the newest record of each key can still be read.
  static void forget(Topic &T) {
    T.Newest_ = newestOf(T);
    T.First_ = T.end();
    T.Records_.clear();
  }

  void append(Topic &T, const WebRequest &R, const WebReplyPtr &Reply) {
    ++Appends_;
    const std::int64_t First = T.end();
    if (R.Query_.count("at") > 0 && std::stoll(query(R, "at")) != First) {
      Reply->json(412, {{"end", First}});
      return;
    }
    std::string_view Rest = R.Body_;
    while (Rest.size() >= LengthBytes) {
      const std::size_t Length = number(Rest.substr(0, LengthBytes));
      T.Records_.emplace_back(Rest.substr(LengthBytes, Length));
      Rest.remove_prefix(std::min(Rest.size(), LengthBytes + Length));
    }
    if (LoseAnswers_ > 0) {
      --LoseAnswers_;
      Held_.push_back(Reply);
      return;
    }
    Reply->json(200, {{"offset", First}, {"end", T.end()}});
  }

  void read(const std::string &Name, std::int64_t From, std::int64_t Until,
            const WebReplyPtr &Reply) {
    ++Reads_;
    const Topic &T = Topics_[Name];
    if (From < T.First_) {
      Reply->json(410, {{"first", T.First_}});
      return;
    }
    if (From >= T.end() && nowMs() < Until && !Silent_ && !Outage_) {
      after(Io_, PollMs, [this, Name, From, Until, Reply] {
        --Reads_;
        read(Name, From, Until, Reply);
      });
      return;
    }
    std::string Bytes = bigEndian(static_cast<std::uint64_t>(T.end()), 8) +
                        bigEndian(static_cast<std::uint64_t>(T.First_), 8);
    for (std::int64_t O = From; O < T.end(); ++O) {
      const std::string &Record =
          T.Records_[static_cast<std::size_t>(O - T.First_)];
      Bytes += bigEndian(Record.size(), LengthBytes) + Record;
    }
    Reply->send(200, "application/octet-stream", std::move(Bytes));
  }

  static std::map<std::string, std::pair<std::int64_t, std::string>>
  newestOf(const Topic &T) {
    auto Newest = T.Newest_;
    for (std::int64_t O = T.First_; O < T.end(); ++O) {
      const std::string &Record =
          T.Records_[static_cast<std::size_t>(O - T.First_)];
      const std::size_t Length = static_cast<unsigned char>(Record[0]);
      Newest[Record.substr(1, Length)] = {O, Record.substr(1 + Length)};
    }
    return Newest;
  }

  void newest(const Topic &T, const WebReplyPtr &Reply) {
    ++Reads_;
    Json Items = Json::array();
    for (const auto &[Key, Entry] : newestOf(T))
      if (!Entry.second.empty())
        Items.push_back(
            {{"key", Key},
             {"value", restinio::utils::base64::encode(
                           {Entry.second.data(), Entry.second.size()})},
             {"offset", Entry.first}});
    Reply->json(200, {{"items", Items}, {"hasMore", false}, {"end", T.end()}});
  }

  asio::io_context &Io_;
  std::map<std::string, Topic> Topics_;
  std::vector<WebReplyPtr> Held_; ///< Answers that never come.
  std::int64_t Appends_ = 0;
  std::int64_t Reads_ = 0;
  bool Outage_ = false;
  bool Silent_ = false;
  int LoseAnswers_ = 0;
  Web Web_;
};

} // namespace

void runStore(asio::io_context &Io, const Options &From) {
  static Store Instance(Io, From);
}

} // namespace standin
