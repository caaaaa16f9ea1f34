// HTTP client for upstreams and the platform: libcurl's multi interface on the
// process's own event loop. Knows nothing of calls.
#pragma once

#include "types.h"

#include <asio.hpp>
#include <curl/curl.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivewharf {

/// One request; zero limits mean none.
struct HttpRequest {
  std::string Method_ = "GET";
  std::string Url_;
  /// Path and query as they are to be sent; empty: those of the URL.
  std::string Target_;
  std::vector<std::string> Headers_; ///< `Name: value`.
  std::string Body_;
  Millis FirstByteTimeout_ = 0; ///< From the start to the first body byte.
  Millis IdleTimeout_ = 0;      ///< Between two body bytes.
  Millis TotalTimeout_ = 0;
  Millis MaxIdleTime_ =
      0; ///< Of a connection to reuse; 0: the library's choice.
  bool FreshConnection_ =
      false; ///< Neither reuse a connection nor keep this one.
  /// Monotonic time after which the request is not written any more, however
  /// long this process was paused meanwhile; 0: none.
  Millis SendDeadline_ = 0;
  /// Giving the transfer up takes back what a cut network has not delivered.
  bool ResetOnEnd_ = false;
};

/// How a transfer ended.
enum class TransferEnd {
  Complete,
  NotSent, ///< No byte of the request was written.
  ConnectionBroken,
  TimedOut, ///< A limit passed.
  Stopped   ///< The receiver wanted no more.
};

struct HttpResult {
  TransferEnd End_ = TransferEnd::ConnectionBroken;
  int Status_ = 0;
  std::string ContentType_;
  std::string Detail_;
  bool NotRun_ = false; ///< The answer says that the call was not run.
  Headers Headers_;
};

/// @return true for a complete answer with status 200
inline bool isOk(const HttpResult &Result) {
  return Result.End_ == TransferEnd::Complete && Result.Status_ == 200;
}

/// Gets the head of an answer before its body.
using HeadSink = std::function<void(int Status, const Headers &Head)>;
/// Gets body bytes; returns false to stop the transfer.
using BodySink = std::function<bool(int Status, std::string_view Bytes)>;
using ResultSink = std::function<void(const HttpResult &)>;

class HttpClient {
public:
  explicit HttpClient(asio::io_context &Io);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a transfer; `Done` is called exactly once, later.
  /// @return number for `cancel`
  /// A request is written once at the most: the library's own repetition on a
  /// connection that had died is a failure here.
  std::uint64_t startTransfer(HttpRequest Request, BodySink Body,
                              ResultSink Done, HeadSink Head = nullptr);

  /// Stops a transfer without calling its `Done`; unknown numbers are fine.
  void cancelTransfer(std::uint64_t Id);

  std::size_t activeTransfers() const { return Transfers_.size(); }

private:
  struct Transfer;
  struct SocketWatch;

  static int onSocketInterest(CURL *Easy, curl_socket_t Socket, int What,
                              void *User, void *SocketUser);
  static int onTimeoutChange(CURLM *Multi, long TimeoutMs, void *User);
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *User);
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *User);
  static int onBeforeSend(void *User, char *, char *, int, int);
  static int onNewSocket(void *User, curl_socket_t Socket, curlsocktype Type);

  void updateSocketWatch(curl_socket_t Socket, int What);
  void waitForSocket(const std::shared_ptr<SocketWatch> &Watch, bool Write);
  void processSocketAction(curl_socket_t Socket, int Mask);
  void finishCompletedTransfers();
  void finishTransfer(Transfer &T, TransferEnd End, std::string Detail);
  void expireTransfers();
  void scheduleTimeoutCheck();

  asio::io_context &Io_;
  CURLM *Multi_;
  asio::steady_timer CurlTimer_;
  asio::steady_timer TimeoutCheckTimer_;
  std::map<std::uint64_t, std::unique_ptr<Transfer>> Transfers_;
  std::unordered_map<CURL *, Transfer *> TransferByHandle_;
  std::map<curl_socket_t, std::shared_ptr<SocketWatch>> Watches_;
  std::vector<CURL *> IdleHandles_; ///< Handles to use again.
  std::uint64_t NextId_ = 1;
};

/// Starts a transfer and collects its whole body.
/// @param MaxBody bytes; a longer body stops the transfer
/// @param Done gets the result and the body
void fetchBody(
    HttpClient &Client, HttpRequest Request, std::size_t MaxBody,
    std::function<void(const HttpResult &, const std::string &)> Done);

/// Milliseconds on the monotonic clock.
Millis monotonicNow();

} // namespace endivewharf
