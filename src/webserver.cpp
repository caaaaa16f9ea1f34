// Sets up the RESTinio servers and closes them without resetting connections.
#include "webserver.h"

#include <asio/post.hpp>
#include <netinet/tcp.h>
#include <poll.h>

namespace endivewharf {

namespace {

// Time after which unacknowledged data breaks a connection (TCP_USER_TIMEOUT).
constexpr int IncomingTcpUserTimeoutMs = 10000;
// Limit for the URL and for each header name and value.
constexpr std::size_t MaxHeadFieldBytes = 16 << 10;
constexpr std::size_t MaxHeadFieldCount = 100;
// Limit for one write of an answer.
constexpr auto WriteTimeout = std::chrono::seconds(10);
// RESTinio's limit for an answer; the reducer enforces the time limits of
// calls.
constexpr auto RequestHandlingTimeout = std::chrono::hours(2);
// With a limit of 2, RESTinio keeps reading while an answer is pending and so
// detects that the caller has closed the connection.
constexpr std::size_t MaxPipelinedRequests = 2;
// Limit for emptying the backlog at close: under a high rate of new connections
// the backlog may never be empty.
constexpr auto AcceptDrainTimeout = std::chrono::milliseconds(300);

// Time after the close in which the requests on connections that were accepted
// last arrive.
constexpr auto LastRequestsPeriod = std::chrono::milliseconds(250);

using TcpUserTimeoutOption =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

bool isReadable(int Socket) {
  pollfd Poll{Socket, POLLIN, 0};
  return ::poll(&Poll, 1, 0) > 0 && (Poll.revents & POLLIN) != 0;
}

std::shared_ptr<ConnectionCloseObserver>
makeCloseObserver(std::function<void(restinio::connection_id_t)> Closed) {
  auto Observer = std::make_shared<ConnectionCloseObserver>();
  Observer->OnClosed_ = std::move(Closed);
  return Observer;
}

} // namespace

WebListener::WebListener(asio::io_context &Io, const SocketAddress &Address,
                         const WebLimits &Limits, WebHandler OnRequest,
                         std::function<void(restinio::connection_id_t)> Closed)
    : Io_(Io), Server_(restinio::external_io_context(Io), [&](auto &S) {
        S.address(Address.Ip_)
            .port(static_cast<std::uint16_t>(Address.Port_))
            .request_handler(
                [OnRequest = std::move(OnRequest)](const auto &Request) {
                  return OnRequest(countRequest(Request));
                })
            .connection_state_listener(makeCloseObserver(std::move(Closed)))
            .max_pipelined_requests(MaxPipelinedRequests)
            .read_next_http_message_timelimit(Limits.IdleTimeout_)
            .write_http_response_timelimit(WriteTimeout)
            .handle_request_timeout(RequestHandlingTimeout)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t()
                    .max_url_size(MaxHeadFieldBytes)
                    .max_field_name_size(MaxHeadFieldBytes)
                    .max_field_value_size(MaxHeadFieldBytes)
                    .max_field_count(MaxHeadFieldCount)
                    .max_body_size(Limits.MaxBodyBytes_))
            .socket_options_setter([](auto &Options) {
              Options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
              Options.set_option(asio::ip::tcp::no_delay(true));
              Options.set_option(
                  TcpUserTimeoutOption(IncomingTcpUserTimeoutMs));
            })
            .acceptor_post_bind_hook(
                [Socket = ListenSocket_](asio::ip::tcp::acceptor &Acceptor) {
                  *Socket = Acceptor.native_handle();
                });
      }) {}

void WebListener::listen(std::function<void(std::string)> Failed) {
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
  closeWhenBacklogEmpty(std::chrono::steady_clock::now() + AcceptDrainTimeout);
}

void WebListener::closeWhenBacklogEmpty(
    std::chrono::steady_clock::time_point Deadline) {
  if (*ListenSocket_ < 0)
    return;
  if (isReadable(*ListenSocket_) &&
      std::chrono::steady_clock::now() < Deadline) {
    asio::post(Io_, [this, Deadline] { closeWhenBacklogEmpty(Deadline); });
    return;
  }
  *ListenSocket_ = -1;
  Server_.close_sync();
  ClosedAt_ = std::chrono::steady_clock::now();
}

bool WebListener::isClosed() const {
  return *ListenSocket_ < 0 &&
         std::chrono::steady_clock::now() - ClosedAt_ >= LastRequestsPeriod;
}

} // namespace endivewharf
