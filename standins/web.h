// HTTP server of the stand-ins, implemented with RESTinio, the options of all
// stand-ins and the functions that start them.
#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace standin {

using Json = nlohmann::json;

struct WebRequest {
  std::string Method_;
  std::string Path_;
  std::map<std::string, std::string> Query_;
  std::string Body_;
  std::string IdempotencyKey_; ///< Header Idempotency-Key; empty: none.
  std::string RequestId_;      ///< Header X-Request-Id; empty: none.
  std::map<std::string, std::string> Headers_; ///< Names in lower case.
};

/// Answers one request. May be kept and used after the handler has returned.
class WebReply {
public:
  virtual ~WebReply() = default;
  /// Sends a complete answer.
  ///
  /// @param Status HTTP status code
  /// @param Type value of the Content-Type header
  /// @param NotRun adds `X-Not-Run: 1`: the request was not executed
  virtual void send(int Status, const std::string &Type, std::string Body,
                    bool NotRun = false) = 0;
  /// Adds a header to the answer; must precede `send` or `beginStream`.
  virtual void addHeader(const std::string &Name, const std::string &Value) = 0;
  /// Aborts the connection, also in the middle of an answer.
  virtual void abortConnection() = 0;
  /// Begins a streamed answer with status 200.
  ///
  /// @param Type value of the Content-Type header
  /// @param OnDisconnect is called for each chunk that cannot be sent because
  /// the caller has disconnected; may be empty
  virtual void beginStream(const std::string &Type,
                           std::function<void()> OnDisconnect) = 0;
  virtual void sendChunk(std::string Bytes) = 0;
  virtual void endStream() = 0;

  void sendJson(int Status, const Json &Body) {
    send(Status, "application/json", Body.dump());
  }
};

using WebReplyPtr = std::shared_ptr<WebReply>;
using WebHandler = std::function<void(const WebRequest &, WebReplyPtr)>;

/// Serves HTTP on 127.0.0.1 while the event loop runs. Exits the process with
/// status 1 if it cannot listen on the port.
class HttpServer {
public:
  HttpServer(asio::io_context &Io, int Port, WebHandler Handler);
  ~HttpServer();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Calls `Callback` on the event loop after `DelayMs` milliseconds.
void runAfter(asio::io_context &Io, std::int64_t DelayMs,
              std::function<void()> Callback);

/// @return time of the monotonic clock in milliseconds
std::int64_t nowMs();

/// @return the body as a JSON object; an empty object if it is not one
Json parseJsonBody(const WebRequest &Request);

/// @param Name name of the header, in lower case
/// @return the value of the header; empty if the request does not have it
inline std::string headerValue(const WebRequest &R, const char *Name) {
  const auto Found = R.Headers_.find(Name);
  return Found == R.Headers_.end() ? "" : Found->second;
}

/// Command line options of all stand-ins; each kind uses some of them.
struct StandInOptions {
  int Port_ = 0;
  std::string ModelVersions_; ///< `model@version,model@version`.
  int Slots_ = 8; ///< Requests that an engine runs at the same time.
  int MaxQueueLength_ = 32;
  double DecodeMsPerToken_ = 5;
  double PrefillUsPerToken_ = 100;
  int CacheCapacityBlocks_ = 512; ///< Blocks of the prefix cache.
  int ModelLoadMs_ = 300;
  int ReportLagMs_ = 100; ///< Delay of reported engine states and host lists.
  /// Whether an engine refuses load commands with a stale fencing token.
  bool CheckEpoch_ = true;
  std::string ServerName_; ///< Name of a server on the platform.
};

// Each function starts the stand-in of one kind on the event loop and returns.
void startEngine(asio::io_context &Io, const StandInOptions &Options);
void startPlainService(asio::io_context &Io, const StandInOptions &Options);
void startLogService(asio::io_context &Io, const StandInOptions &Options);
void startHostListService(asio::io_context &Io, const StandInOptions &Options);
void startCloudApi(asio::io_context &Io, const StandInOptions &Options);
void startStoreService(asio::io_context &Io, const StandInOptions &Options);
void startPlatformServer(asio::io_context &Io, const StandInOptions &Options);

} // namespace standin
