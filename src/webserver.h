// RESTinio servers on the process's event loop, extended by notifications of
// closed connections and by a way to abort a connection.
#pragma once

#include "settings.h"

#include <chrono>
#include <functional>
#include <memory>
#include <restinio/all.hpp>
#include <sys/socket.h>
#include <unordered_set>

namespace endivewharf {

/// A connection's socket, registered so that it can be found by its remote
/// endpoint.
class CallerSocket : public asio::ip::tcp::socket {
public:
  explicit CallerSocket(asio::io_context &Io) : asio::ip::tcp::socket(Io) {
    openSockets().insert(this);
  }
  CallerSocket(CallerSocket &&Other) noexcept
      : asio::ip::tcp::socket(std::move(Other)) {
    openSockets().insert(this);
  }
  CallerSocket &operator=(CallerSocket &&Other) noexcept {
    asio::ip::tcp::socket::operator=(std::move(Other));
    return *this;
  }
  ~CallerSocket() { openSockets().erase(this); }

  /// Shuts down the connection with a remote endpoint at once, even if an
  /// answer is being written. Does nothing if there is no such connection.
  static void abortConnection(const asio::ip::tcp::endpoint &Remote) {
    for (CallerSocket *Socket : openSockets()) {
      asio::error_code Error;
      if (Socket->is_open() && Socket->remote_endpoint(Error) == Remote &&
          !Error)
        ::shutdown(Socket->native_handle(), SHUT_RDWR);
    }
  }

private:
  /// All sockets of the process. No lock is needed: one event loop on one
  /// thread uses them.
  static std::unordered_set<CallerSocket *> &openSockets() {
    static std::unordered_set<CallerSocket *> Sockets;
    return Sockets;
  }
};

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
/// event loop, and the socket and state listener types above.
struct WebTraits : restinio::traits_t<restinio::asio_timer_manager_t,
                                      restinio::null_logger_t,
                                      restinio::default_request_handler_t,
                                      restinio::noop_strand_t, CallerSocket> {
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
