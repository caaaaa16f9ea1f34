// HTTP client of the log service, the host list, the cloud API and upstreams'
// control endpoints. It is used where the process serves the project's own
// interface instead of the operators' platform.
#pragma once

#include "attempts.h"
#include "client.h"
#include "settings.h"

namespace endivewharf {

/// Carries out effects as HTTP requests and reports their outcomes as events.
class PlatformClient {
public:
  /// @param ProcessSettings settings of the process; must outlive the client
  /// @param Sink receives the outcomes
  PlatformClient(HttpClient &Client, const Settings &ProcessSettings,
                 EventSink Sink)
      : Client_(Client), Settings_(ProcessSettings), Sink_(std::move(Sink)) {}

  /// Reads one page of the control log; ends with `LogRead` or
  /// `LogReadFailed`.
  void readLog(const ReadLog &E);
  /// Appends records to the control log; ends with `AppendEnded`.
  void appendToLog(const AppendToLog &E);
  /// Reads the host list; ends with `HostsRead`. A failure is not reported.
  void readHosts();
  /// Reads the reclaim notices since the last read; reports
  /// `ReclaimNoticesRead` if there are any. A failure is not reported.
  void readReclaimNotices();
  /// Requests an upstream's health; ends with `ProbeEnded`.
  void probeUpstream(const ProbeUpstream &E);
  /// Sends a load command to an engine. Its answer is not evaluated: the loaded
  /// versions appear in the answers to later probes.
  void sendLoadCommand(const LoadModelVersion &E);

private:
  HttpClient &Client_;
  const Settings &Settings_;
  EventSink Sink_;
  std::int64_t NoticeCursor_ =
      0; ///< Position after which notices are read next.
  /// The next log request opens a new connection: the last read did not
  /// complete.
  bool FreshLogConnection_ = false;
};

/// Parses the JSON of a host list.
/// @return the hosts, or nothing if the text is not a valid host list
std::optional<std::vector<HostRow>> parseHostList(std::string_view Text);

/// Parses the JSON of one page of the log service. A record that can't be
/// decoded is an entry without a record.
/// @return the page, or nothing if the text is not a valid page
std::optional<LogRead> parseLogPage(std::string_view Text);

} // namespace endivewharf
