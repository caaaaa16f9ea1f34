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
    live().insert(this);
  }
  CallerSocket(CallerSocket &&Other) noexcept
      : asio::ip::tcp::socket(std::move(Other)) {
    live().insert(this);
  }
  CallerSocket &operator=(CallerSocket &&Other) noexcept {
    asio::ip::tcp::socket::operator=(std::move(Other));
    return *this;
  }
  ~CallerSocket() { live().erase(this); }

  /// Shuts the connection with a remote end down, whatever is being written.
  static void breakOff(const asio::ip::tcp::endpoint &Remote) {
    for (CallerSocket *Socket : live()) {
      asio::error_code Error;
      if (Socket->is_open() && Socket->remote_endpoint(Error) == Remote &&
          !Error)
        ::shutdown(Socket->native_handle(), SHUT_RDWR);
    }
  }

private:
  /// All sockets of the process; there is one loop and one thread for them.
  static std::unordered_set<CallerSocket *> &live() {
    static std::unordered_set<CallerSocket *> Sockets;
    return Sockets;
  }
};

/// Hears of connections that have been closed.
class ConnectionListener {
public:
  std::function<void(restinio::connection_id_t)> Closed_;

  void state_changed(
      const restinio::connection_state::notice_t &Notice) const noexcept {
    if (Closed_ &&
        restinio::holds_alternative<restinio::connection_state::closed_t>(
            Notice.cause()))
      Closed_(Notice.connection_id());
  }
};

struct WebTraits : restinio::traits_t<restinio::asio_timer_manager_t,
                                      restinio::null_logger_t,
                                      restinio::default_request_handler_t,
                                      restinio::noop_strand_t, CallerSocket> {
  using connection_state_listener_t = ConnectionListener;
};

using WebServer = restinio::http_server_t<WebTraits>;
using WebHandler = restinio::default_request_handler_t;

/// How a server treats its callers.
struct WebLimits {
  std::chrono::milliseconds Idle_{15000}; ///< Also for a head and its body.
  std::size_t MaxBody_ = 0;               ///< Bytes.
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
  void open(std::function<void(std::string)> Failed);

  /// Accepts the connections that callers have made already, which would be
  /// reset otherwise, then stops listening.
  void close();

private:
  void closeOnceEmpty(std::chrono::steady_clock::time_point Limit);

  asio::io_context &Io_;
  std::shared_ptr<int> Socket_ = std::make_shared<int>(-1);
  WebServer Server_;
};

} // namespace endivewharf
