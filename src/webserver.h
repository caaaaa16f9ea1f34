// RESTinio servers on the process's event loop, extended by notifications of
// closed connections and by a way to abort a connection.
#pragma once

#include "boundedsocket.h"
#include "requestreader.h"
#include "settings.h"

#include <chrono>
#include <functional>
#include <memory>
#include <restinio/all.hpp>

namespace endivewharf {

/// Connection state listener of RESTinio that reports closed connections.
class ConnectionCloseObserver {
public:
  std::function<void(restinio::connection_id_t)> OnClosed_; ///< May be null.

  void state_changed(
      const restinio::connection_state::notice_t &Notice) const noexcept {
    if (OnClosed_ &&
        restinio::holds_alternative<restinio::connection_state::closed_t>(
            Notice.cause()))
      OnClosed_(Notice.connection_id());
  }
};

/// RESTinio configuration: no logging, no strand because one thread runs the
/// event loop, and the types of socket, reader and state listener.
struct WebTraits : restinio::traits_t<restinio::asio_timer_manager_t,
                                      restinio::null_logger_t,
                                      restinio::default_request_handler_t,
                                      restinio::noop_strand_t, BoundedSocket> {
  using http_methods_mapper_t = BoundedMethods;
  using connection_state_listener_t = ConnectionCloseObserver;
};

using RestinioServer = restinio::http_server_t<WebTraits>;
using WebHandler = restinio::default_request_handler_t;

/// Limits of a server for its clients.
struct WebLimits {
  /// Time in which the next request must arrive whole; an idle connection is
  /// closed after it.
  std::chrono::milliseconds IdleTimeout_{15000};
  std::size_t MaxBodyBytes_ = 0; ///< Size limit of a request body.
};

/// One RESTinio server on the process's event loop.
class WebListener {
public:
  /// Configures the server without opening it.
  /// @param OnRequest handles each request
  /// @param Closed called for each closed connection; connection IDs are unique
  ///        only within one server
  WebListener(asio::io_context &Io, const SocketAddress &Address,
              const WebLimits &Limits, WebHandler OnRequest,
              std::function<void(restinio::connection_id_t)> Closed = nullptr);

  /// Starts to listen.
  /// @param Failed called with the reason if the address cannot be used
  void listen(std::function<void(std::string)> Failed);

  /// Accepts the connections that wait in the backlog, then stops listening.
  /// Closing the socket at once would reset them.
  void close();

  /// @return true once no connection can be made any more and the requests on
  ///         those made last have had time to arrive
  bool isClosed() const;

private:
  void closeWhenBacklogEmpty(std::chrono::steady_clock::time_point Deadline);

  asio::io_context &Io_;
  /// Descriptor of the listening socket; -1: not bound, or closed.
  std::shared_ptr<int> ListenSocket_ = std::make_shared<int>(-1);
  std::chrono::steady_clock::time_point
      ClosedAt_; ///< When it stopped listening.
  RestinioServer Server_;
};

} // namespace endivewharf
