// Host list (shown with a lag) and cloud API (reclaim notices, duties).
#include "web.h"

namespace standin {

namespace {

class Hosts {
public:
  Hosts(asio::io_context &Io, const Options &From)
      : Io_(Io), LagMs_(From.LagMs_),
        Web_(Io, From.Port_,
             [this](const auto &R, auto Reply) { handle(R, Reply); }) {}

private:
  void handle(const WebRequest &R, const WebReplyPtr &Reply) {
    if (R.Path_ == "/hosts") {
      if (Outage_)
        Reply->json(503, {{"error", "outage"}});
      else
        Reply->json(200, {{"hosts", Shown_}});
      return;
    }
    const Json Body = parseBody(R);
    Outage_ = Body.value("outage", Outage_);
    if (Body.contains("hosts")) {
      const Json &Next = Body["hosts"];
      after(Io_, Body.value("lag_ms", LagMs_), [this, Next] { Shown_ = Next; });
    }
    Reply->json(200, {{"ok", true}});
  }

  asio::io_context &Io_;
  int LagMs_;
  Json Shown_ = Json::array();
  bool Outage_ = false;
  Web Web_;
};

class Cloud {
public:
  Cloud(asio::io_context &Io, const Options &From)
      : Web_(Io, From.Port_,
             [this](const auto &R, auto Reply) { handle(R, Reply); }) {}

private:
  void handle(const WebRequest &R, const WebReplyPtr &Reply) {
    if (R.Path_ == "/notices") {
      const auto After = R.Query_.find("after");
      const auto From =
          After == R.Query_.end() ? 0 : std::stoull(After->second);
      Json Rows = Json::array();
      for (std::size_t I = From; I < Notices_.size(); ++I)
        Rows.push_back(Notices_[I]);
      Reply->json(200, {{"notices", Rows}, {"next", Notices_.size()}});
      return;
    }
    const Json Body = parseBody(R);
    if (R.Path_ == "/usage" || R.Path_ == "/scale")
      Duties_.push_back({{"call", R.Path_},
                         {"holder", value(R, "duty-holder")},
                         {"epoch", value(R, "fencing-token")},
                         {"at", nowMs()},
                         {"body", Body}});
    if (Body.contains("notice"))
      Notices_.push_back(Body["notice"]);
    Reply->json(200, {{"ok", true}, {"duties", Duties_}});
  }

  std::vector<Json> Notices_;
  std::vector<Json> Duties_; ///< Calls of one process at a time, as they came.
  Web Web_;
};

} // namespace

void runHosts(asio::io_context &Io, const Options &From) {
  static Hosts Instance(Io, From);
}

void runCloud(asio::io_context &Io, const Options &From) {
  static Cloud Instance(Io, From);
}

} // namespace standin
