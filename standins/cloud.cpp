// Stand-ins for the host list service, which publishes changes after a delay,
// and for the cloud API, which serves reclaim notices and records usage reports
// and scale requests. POST /control sets their contents and faults.
#include "web.h"

namespace standin {

namespace {

class HostListService {
public:
  HostListService(asio::io_context &Io, const StandInOptions &Options)
      : Io_(Io), DefaultLagMs_(Options.ReportLagMs_),
        HttpServer_(Io, Options.Port_, [this](const auto &R, auto Reply) {
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
      const Json &NewHosts = Body["hosts"];
      runAfter(Io_, Body.value("lag_ms", DefaultLagMs_),
               [this, NewHosts] { PublishedHosts_ = NewHosts; });
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
  CloudApi(asio::io_context &Io, const StandInOptions &Options)
      : HttpServer_(Io, Options.Port_, [this](const auto &R, auto Reply) {
          handleRequest(R, Reply);
        }) {}

private:
  void handleRequest(const WebRequest &R, const WebReplyPtr &Reply) {
    if (R.Path_ == "/notices") {
      const auto After = R.Query_.find("after");
      const auto FirstIndex =
          After == R.Query_.end() ? 0 : std::stoull(After->second);
      Json Rows = Json::array();
      for (std::size_t I = FirstIndex; I < ReclaimNotices_.size(); ++I)
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
  /// Usage reports and scale requests in order of arrival.
  std::vector<Json> ControlRequests_;
  HttpServer HttpServer_;
};

} // namespace

void startHostListService(asio::io_context &Io, const StandInOptions &Options) {
  static HostListService Instance(Io, Options);
}

void startCloudApi(asio::io_context &Io, const StandInOptions &Options) {
  static CloudApi Instance(Io, Options);
}

} // namespace standin
