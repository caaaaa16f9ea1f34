// Speaks with the platform's services and probes upstreams.
#pragma once

#include "attempts.h"
#include "client.h"
#include "settings.h"

namespace endivewharf {

class PlatformClient {
public:
  PlatformClient(HttpClient &Client, const Settings &From, EventSink Sink)
      : Client_(Client), Settings_(From), Sink_(std::move(Sink)) {}

  void readLog(const ReadLog &E);
  void appendToLog(const AppendToLog &E);
  void readHosts();
  void readReclaimNotices();
  void probeUpstream(const ProbeUpstream &E);
  void sendLoadCommand(const LoadModelVersion &E);

private:
  HttpClient &Client_;
  const Settings &Settings_;
  EventSink Sink_;
  std::int64_t NoticeCursor_ = 0;
  bool FreshLogConnection_ = false; ///< The last log connection fell silent.
};

/// Reads a host list's JSON.
/// @return the hosts, or nothing if the text has another shape
std::optional<std::vector<HostRow>> parseHostList(std::string_view Text);

/// Reads a page of the log service.
std::optional<LogRead> parseLogPage(std::string_view Text);

} // namespace endivewharf
