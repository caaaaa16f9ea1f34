// Implements the stand-ins' HTTP interface (web.h) with RESTinio.
#include "web.h"

#include "webserver.h"

#include <chrono>
#include <cstdio>

namespace standin {

namespace {

struct ServerTraits
    : restinio::traits_t<restinio::asio_timer_manager_t,
                         restinio::null_logger_t,
                         restinio::default_request_handler_t,
                         restinio::noop_strand_t, endivewharf::CallerSocket> {};
using RestinioServer = restinio::http_server_t<ServerTraits>;
using ChunkedResponse =
    restinio::response_builder_t<restinio::chunked_output_t>;

constexpr std::size_t MaxBodyBytes = 64 << 20;

class RestinioReply : public WebReply {
public:
  explicit RestinioReply(restinio::request_handle_t Request)
      : Request_(std::move(Request)) {}

  void send(int Status, const std::string &Type, std::string Body,
            bool NotRun) override {
    auto Response = Request_->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t(static_cast<std::uint16_t>(Status)),
        Status < 400 ? "OK" : "Error"});
    Response.append_header("Content-Type", Type);
    if (NotRun)
      Response.append_header("X-Not-Run", "1");
    for (const auto &[Name, Value] : Headers_)
      Response.append_header(Name, Value);
    Response.set_body(std::move(Body));
    Response.done();
  }

  void beginStream(const std::string &Type,
                   std::function<void()> OnDisconnect) override {
    OnCallerDisconnected_ = std::move(OnDisconnect);
    ChunkedResponse_ = std::make_unique<ChunkedResponse>(
        Request_->create_response<restinio::chunked_output_t>());
    ChunkedResponse_->append_header("Content-Type", Type);
    for (const auto &[Name, Value] : Headers_)
      ChunkedResponse_->append_header(Name, Value);
  }

  void addHeader(const std::string &Name, const std::string &Value) override {
    Headers_.emplace_back(Name, Value);
  }

  void abortConnection() override {
    endivewharf::CallerSocket::abortConnection(Request_->remote_endpoint());
  }

  void sendChunk(std::string Bytes) override {
    ChunkedResponse_->append_chunk(std::move(Bytes));
    ChunkedResponse_->flush(
        [OnDisconnect = OnCallerDisconnected_](const asio::error_code &Error) {
          if (Error && OnDisconnect)
            OnDisconnect();
        });
  }

  void endStream() override { ChunkedResponse_->done(); }

private:
  restinio::request_handle_t Request_;
  std::unique_ptr<ChunkedResponse> ChunkedResponse_;
  std::function<void()> OnCallerDisconnected_;
  std::vector<std::pair<std::string, std::string>> Headers_;
};

WebRequest makeWebRequest(const restinio::request_handle_t &Handle) {
  WebRequest Request;
  const auto &Header = Handle->header();
  Request.Method_ = Header.method().c_str();
  Request.Path_ = std::string(Header.path().data(), Header.path().size());
  Request.Body_ = Handle->body();
  Request.IdempotencyKey_ = Header.get_field_or("Idempotency-Key", "");
  Request.RequestId_ = Header.get_field_or("X-Request-Id", "");
  Header.for_each_field([&](const auto &Field) {
    std::string Name = Field.name();
    for (char &C : Name)
      C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
    Request.Headers_[Name] = Field.value();
  });
  const auto Query = restinio::parse_query(Header.query());
  for (const auto &[Key, Value] : Query)
    Request.Query_[std::string(Key.data(), Key.size())] =
        std::string(Value.data(), Value.size());
  return Request;
}

} // namespace

struct HttpServer::Impl {
  std::unique_ptr<RestinioServer> Server_;
};

HttpServer::HttpServer(asio::io_context &Io, int Port, WebHandler Handler)
    : Impl_(std::make_unique<Impl>()) {
  const auto OnRequest = [Handler = std::move(Handler)](const auto &Request) {
    Handler(makeWebRequest(Request), std::make_shared<RestinioReply>(Request));
    return restinio::request_accepted();
  };
  Impl_->Server_ = std::make_unique<RestinioServer>(
      restinio::external_io_context(Io), [&](auto &Settings) {
        Settings.address("127.0.0.1")
            .port(static_cast<std::uint16_t>(Port))
            .request_handler(OnRequest)
            .read_next_http_message_timelimit(std::chrono::minutes(10))
            .write_http_response_timelimit(std::chrono::seconds(10))
            .handle_request_timeout(std::chrono::hours(2))
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t().max_body_size(
                    MaxBodyBytes))
            .socket_options_setter([](auto &Options) {
              Options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
              Options.set_option(asio::ip::tcp::no_delay(true));
            });
      });
  Impl_->Server_->open_async(
      [] {},
      [](const std::exception_ptr &) {
        std::fputs("standin: cannot listen on the port\n", stderr);
        std::exit(1);
      });
}

HttpServer::~HttpServer() = default;

void runAfter(asio::io_context &Io, std::int64_t DelayMs,
              std::function<void()> Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(
      Io, std::chrono::milliseconds(DelayMs));
  Timer->async_wait(
      [Timer, Callback = std::move(Callback)](const asio::error_code &Error) {
        if (!Error)
          Callback();
      });
}

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Json parseJsonBody(const WebRequest &Request) {
  Json Body = Json::parse(Request.Body_, nullptr, false);
  return Body.is_object() ? Body : Json::object();
}

} // namespace standin
