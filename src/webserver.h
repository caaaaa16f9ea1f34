// RESTinio servers on the process's own loop, with what the library leaves to
// its users: noticing callers who leave, breaking a connection off.
#pragma once

#include "settings.h"

#include <chrono>
#include <functional>
#include <memory>
#include <netinet/tcp.h>
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

constexpr int SilentCallerLimitMs = 10000;     // TCP_USER_TIMEOUT
constexpr std::size_t MaxHeadField = 16 << 10; // bytes
constexpr std::size_t MaxHeadFields = 100;
constexpr auto WriteLimit = std::chrono::seconds(10); // one piece of answer
constexpr auto HandleLimit = std::chrono::hours(2);   // the core has its own
// With two the library goes on reading while an answer is pending, and so sees
// that the caller has closed the connection.
constexpr std::size_t RequestsInLine = 2;

/// Makes a server that is not open yet.
/// @param Closed called for each connection that has ended
inline std::unique_ptr<WebServer>
makeWebServer(asio::io_context &Io, const SocketAddress &Address,
              const WebLimits &Limits, WebHandler OnRequest,
              std::function<void(restinio::connection_id_t)> Closed) {
  auto Listener = std::make_shared<ConnectionListener>();
  Listener->Closed_ = std::move(Closed);
  return std::make_unique<WebServer>(
      restinio::external_io_context(Io), [&](auto &S) {
        S.address(Address.Ip_)
            .port(static_cast<std::uint16_t>(Address.Port_))
            .request_handler(OnRequest)
            .connection_state_listener(Listener)
            .max_pipelined_requests(RequestsInLine)
            .read_next_http_message_timelimit(Limits.Idle_)
            .write_http_response_timelimit(WriteLimit)
            .handle_request_timeout(HandleLimit)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                          .max_url_size(MaxHeadField)
                                          .max_field_value_size(MaxHeadField)
                                          .max_field_count(MaxHeadFields)
                                          .max_body_size(Limits.MaxBody_))
            .socket_options_setter([](auto &Options) {
              Options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
              Options.set_option(asio::ip::tcp::no_delay(true));
              Options.set_option(
                  asio::detail::socket_option::integer<IPPROTO_TCP,
                                                       TCP_USER_TIMEOUT>(
                      SilentCallerLimitMs));
            });
      });
}

} // namespace endivewharf
