// Host list (shown with a lag) and cloud API (reclaim notices, duties).
#include "web.h"

namespace standin {

namespace {

class HostListService {
public:
  HostListService(asio::io_context &Io, const StandInOptions &From)
      : Io_(Io), DefaultLagMs_(From.ReportLagMs_),
        HttpServer_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, Reply);
        }) {}

private:
  void handleRequest(const WebRequest &R, const WebReplyPtr &Reply) {
    if (R.Path_ == "/hosts") {
      if (Outage_)
        Reply->sendJson(503, {{"error", "outage"}});
      else
        Reply->sendJson(200, {{"hosts", PublishedHosts_}});
      return;
    }
    const Json Body = parseJsonBody(R);
    Outage_ = Body.value("outage", Outage_);
    if (Body.contains("hosts")) {
      const Json &Next = Body["hosts"];
      runAfter(Io_, Body.value("lag_ms", DefaultLagMs_),
               [this, Next] { PublishedHosts_ = Next; });
    }
    Reply->sendJson(200, {{"ok", true}});
  }

  asio::io_context &Io_;
  int DefaultLagMs_;
  Json PublishedHosts_ = Json::array();
  bool Outage_ = false;
  HttpServer HttpServer_;
};

class CloudApi {
public:
  CloudApi(asio::io_context &Io, const StandInOptions &From)
      : HttpServer_(Io, From.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, Reply);
        }) {}

private:
  void handleRequest(const WebRequest &R, const WebReplyPtr &Reply) {
    if (R.Path_ == "/notices") {
      const auto After = R.Query_.find("after");
      const auto From =
          After == R.Query_.end() ? 0 : std::stoull(After->second);
      Json Rows = Json::array();
      for (std::size_t I = From; I < ReclaimNotices_.size(); ++I)
        Rows.push_back(ReclaimNotices_[I]);
      Reply->sendJson(200,
                      {{"notices", Rows}, {"next", ReclaimNotices_.size()}});
      return;
    }
    const Json Body = parseJsonBody(R);
    if (R.Path_ == "/usage" || R.Path_ == "/scale")
      ControlRequests_.push_back({{"call", R.Path_},
                                  {"holder", headerValue(R, "duty-holder")},
                                  {"epoch", headerValue(R, "fencing-token")},
                                  {"at", nowMs()},
                                  {"body", Body}});
    if (Body.contains("notice"))
      ReclaimNotices_.push_back(Body["notice"]);
    Reply->sendJson(200, {{"ok", true}, {"duties", ControlRequests_}});
  }

  std::vector<Json> ReclaimNotices_;
  std::vector<Json>
      ControlRequests_; ///< Calls of one process at a time, as they came.
  HttpServer HttpServer_;
};

} // namespace

void startHostListService(asio::io_context &Io, const StandInOptions &From) {
  static HostListService Instance(Io, From);
}

void startCloudApi(asio::io_context &Io, const StandInOptions &From) {
  static CloudApi Instance(Io, From);
}

} // namespace standin
