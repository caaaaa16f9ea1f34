// How a server is set up and how it ends.
#include "webserver.h"

#include <asio/post.hpp>
#include <netinet/tcp.h>
#include <poll.h>

namespace endivewharf {

namespace {

constexpr int SilentCallerLimitMs = 10000;     // TCP_USER_TIMEOUT
constexpr std::size_t MaxHeadField = 16 << 10; // bytes
constexpr std::size_t MaxHeadFields = 100;
constexpr auto WriteLimit = std::chrono::seconds(10); // one piece of answer
constexpr auto HandleLimit = std::chrono::hours(2);   // the core has its own
// With two the library goes on reading while an answer is pending, and so sees
// that the caller has closed the connection.
constexpr std::size_t RequestsInLine = 2;
// Under a flood of new connections there is always one that waits.
constexpr auto AcceptLimit = std::chrono::milliseconds(300);

using SilenceLimit =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

bool isReadable(int Socket) {
  pollfd Poll{Socket, POLLIN, 0};
  return ::poll(&Poll, 1, 0) > 0 && (Poll.revents & POLLIN) != 0;
}

std::shared_ptr<ConnectionListener>
makeListener(std::function<void(restinio::connection_id_t)> Closed) {
  auto Listener = std::make_shared<ConnectionListener>();
  Listener->Closed_ = std::move(Closed);
  return Listener;
}

} // namespace

WebListener::WebListener(asio::io_context &Io, const SocketAddress &Address,
                         const WebLimits &Limits, WebHandler OnRequest,
                         std::function<void(restinio::connection_id_t)> Closed)
    : Io_(Io), Server_(restinio::external_io_context(Io), [&](auto &S) {
        S.address(Address.Ip_)
            .port(static_cast<std::uint16_t>(Address.Port_))
            .request_handler(std::move(OnRequest))
            .connection_state_listener(makeListener(std::move(Closed)))
            .max_pipelined_requests(RequestsInLine)
            .read_next_http_message_timelimit(Limits.Idle_)
            .write_http_response_timelimit(WriteLimit)
            .handle_request_timeout(HandleLimit)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                          .max_url_size(MaxHeadField)
                                          .max_field_name_size(MaxHeadField)
                                          .max_field_value_size(MaxHeadField)
                                          .max_field_count(MaxHeadFields)
                                          .max_body_size(Limits.MaxBody_))
            .socket_options_setter([](auto &Options) {
              Options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
              Options.set_option(asio::ip::tcp::no_delay(true));
              Options.set_option(SilenceLimit(SilentCallerLimitMs));
            })
            .acceptor_post_bind_hook(
                [Socket = Socket_](asio::ip::tcp::acceptor &Bound) {
                  *Socket = Bound.native_handle();
                });
      }) {}

void WebListener::open(std::function<void(std::string)> Failed) {
  Server_.open_async(
      [] {},
      [Failed = std::move(Failed)](const std::exception_ptr &Error) {
        try {
          std::rethrow_exception(Error);
        } catch (const std::exception &E) {
          Failed(E.what());
        }
      });
}

void WebListener::close() {
  closeOnceEmpty(std::chrono::steady_clock::now() + AcceptLimit);
}

void WebListener::closeOnceEmpty(std::chrono::steady_clock::time_point Limit) {
  if (*Socket_ < 0)
    return;
  if (isReadable(*Socket_) && std::chrono::steady_clock::now() < Limit) {
    asio::post(Io_, [this, Limit] { closeOnceEmpty(Limit); });
    return;
  }
  *Socket_ = -1;
  Server_.close_sync();
}

} // namespace endivewharf
