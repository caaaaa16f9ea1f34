// Socket of a connection that was accepted, with a way to abort it.
#pragma once

#include <asio/ip/tcp.hpp>
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

} // namespace endivewharf
