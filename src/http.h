// HTTP servers for callers and operators: turns requests into events and
// effects into answers. Decisions are left to the reducer.
#pragma once

#include "attempts.h"
#include "effect.h"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

namespace endivewharf {

/// Sources of the answers for operators.
struct OperatorViews {
  std::function<std::string()> RenderDump_;    ///< JSON of `/dump`.
  std::function<std::string()> RenderMetrics_; ///< Prometheus text.
  std::function<bool()> IsReady_; ///< True if the process accepts callers.
};

/// Listeners for callers and operators, and the requests that are pending on
/// them.
class HttpEdge {
public:
  /// @param Sink receives the events of callers' requests
  /// @param Views sources of the operators' answers and of readiness
  HttpEdge(asio::io_context &Io, const Settings &ProcessSettings,
           EventSink Sink, OperatorViews Views);
  ~HttpEdge();
  HttpEdge(const HttpEdge &) = delete;
  HttpEdge &operator=(const HttpEdge &) = delete;

  /// Opens the operators' listener and, unless callers are served by the
  /// platform's interface, the callers' listener; starts the pings on idle
  /// streams.
  /// @param Failed called with the reason if an address cannot be used
  void listen(const std::function<void(std::string)> &Failed);

  // Each effect below is ignored if its caller has disconnected.

  /// Prepares an event stream; its head is sent with the first token or ping.
  void operator()(const StartStream &E);
  /// Sends one token as an event of the stream.
  void operator()(const SendToken &E);
  /// Sends the finish reason, the token count and the end marker.
  void operator()(const FinishStream &E);
  /// Ends the stream with the path at which the caller can resume it; answers
  /// with an error of kind `Draining` if the stream has not started.
  void operator()(const RedirectStream &E);
  /// Sends a whole completion as one JSON answer.
  void operator()(const SendCompletion &E);
  /// Sends the answer of a plain service.
  void operator()(const SendServiceAnswer &E);
  /// Sends an error, as the last event if the stream has started.
  void operator()(const SendError &E);

  /// Stops accepting callers' connections. Pending requests are still answered,
  /// and each answer closes its connection.
  void closeListener();

  /// @return true if no request is pending, no answer is being written and no
  ///         further request can arrive on a new connection
  bool isIdle() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace endivewharf
