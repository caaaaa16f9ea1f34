// RESTinio servers on the process's own loop, with what the library leaves to
// its users: noticing callers who leave, breaking a connection off.
#pragma once

#include "settings.h"

#include <chrono>
#include <functional>
#include <memory>
#include <restinio/all.hpp>
#include <sys/socket.h>
#include <unordered_set>

namespace endivewharf {

/// A connection's socket that can be found again by its remote end.
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

  /// Shuts the connection with a remote end down, whatever is being written.
  static void abortConnection(const asio::ip::tcp::endpoint &Remote) {
    for (CallerSocket *Socket : openSockets()) {
      asio::error_code Error;
      if (Socket->is_open() && Socket->remote_endpoint(Error) == Remote &&
          !Error)
        ::shutdown(Socket->native_handle(), SHUT_RDWR);
    }
  }

private:
  /// All sockets of the process; there is one loop and one thread for them.
  static std::unordered_set<CallerSocket *> &openSockets() {
    static std::unordered_set<CallerSocket *> Sockets;
    return Sockets;
  }
};

/// Hears of connections that have been closed.
class ConnectionCloseObserver {
public:
  std::function<void(restinio::connection_id_t)> OnClosed_;

  void state_changed(
      const restinio::connection_state::notice_t &Notice) const noexcept {
    if (OnClosed_ &&
        restinio::holds_alternative<restinio::connection_state::closed_t>(
            Notice.cause()))
      OnClosed_(Notice.connection_id());
  }
};

struct WebTraits : restinio::traits_t<restinio::asio_timer_manager_t,
                                      restinio::null_logger_t,
                                      restinio::default_request_handler_t,
                                      restinio::noop_strand_t, CallerSocket> {
  using connection_state_listener_t = ConnectionCloseObserver;
};

using RestinioServer = restinio::http_server_t<WebTraits>;
using WebHandler = restinio::default_request_handler_t;

/// How a server treats its callers.
struct WebLimits {
  std::chrono::milliseconds IdleTimeout_{
      15000};                    ///< Also for a head and its body.
  std::size_t MaxBodyBytes_ = 0; ///< Bytes.
};

/// One RESTinio server on the process's own loop.
class WebListener {
public:
  /// @param Closed called for each connection that has ended; each server
  ///        numbers its connections anew
  WebListener(asio::io_context &Io, const SocketAddress &Address,
              const WebLimits &Limits, WebHandler OnRequest,
              std::function<void(restinio::connection_id_t)> Closed = nullptr);

  /// Listens.
  /// @param Failed called with the reason if the address can't be used
  void listen(std::function<void(std::string)> Failed);

  /// Accepts the connections that callers have made already, which would be
  /// reset otherwise, then stops listening.
  void close();

private:
  void closeWhenBacklogEmpty(std::chrono::steady_clock::time_point Limit);

  asio::io_context &Io_;
  std::shared_ptr<int> ListenSocket_ = std::make_shared<int>(-1);
  RestinioServer Server_;
};

} // namespace endivewharf
