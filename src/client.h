// HTTP client for upstreams and the platform: libcurl's multi interface on the
// process's event loop. Independent of calls and attempts.
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

/// One HTTP request. A timeout of 0 means that there is none.
struct HttpRequest {
  std::string Method_ = "GET";
  std::string Url_;
  /// Path and query to send unchanged; empty: those of the URL.
  std::string Target_;
  std::vector<std::string> Headers_; ///< `Name: value`.
  std::string Body_;
  Millis FirstByteTimeout_ = 0; ///< From the start to the first body byte.
  Millis IdleTimeout_ = 0;      ///< Between two body bytes.
  Millis TotalTimeout_ = 0;     ///< From the start to the end of the answer.
  /// Longest idle time of a connection that may be reused; 0: libcurl's
  /// default. Rounded down to whole seconds, at least 1 s.
  Millis MaxIdleTime_ = 0;
  /// Neither reuse a connection nor keep this one for reuse.
  bool FreshConnection_ = false;
  /// Do not reuse a connection; this one may be kept for reuse.
  bool NewConnection_ = false;
  /// Monotonic time from which the request is no longer written, even if this
  /// process was suspended in between; 0: none.
  Millis SendDeadline_ = 0;
  /// Close the connection with a reset, which discards the bytes that are not
  /// yet delivered: after a network partition they would otherwise still
  /// arrive.
  bool ResetOnEnd_ = false;
};

/// How a transfer ended.
enum class TransferEnd {
  Complete,
  NotSent, ///< No byte of the request was written.
  ConnectionBroken,
  TimedOut,  ///< One of the request's timeouts passed.
  Malformed, ///< The bytes that came are no proper answer.
  Stopped    ///< By the body sink, a cancellation or a limit on bytes.
};

/// Outcome of a transfer.
struct HttpResult {
  TransferEnd End_ = TransferEnd::ConnectionBroken;
  int Status_ = 0; ///< HTTP status; 0: no answer. Counts if it is complete.
  std::string ContentType_;
  std::string Detail_;  ///< Reason of a failure, for logs.
  bool NotRun_ = false; ///< `X-Not-Run` header: the call was not run.
  Headers Headers_;
};

/// @return true for a complete answer with status 200
inline bool isOk(const HttpResult &Result) {
  return Result.End_ == TransferEnd::Complete && Result.Status_ == 200;
}

/// Receives the status and headers of an answer before its body; returns false
/// to stop the transfer and close its connection.
using HeadSink = std::function<bool(int Status, const Headers &Head)>;
/// Receives body bytes; returns false to stop the transfer.
using BodySink = std::function<bool(int Status, std::string_view Bytes)>;
using ResultSink = std::function<void(const HttpResult &)>;

/// Runs HTTP transfers concurrently on one event loop; not thread-safe.
class HttpClient {
public:
  explicit HttpClient(asio::io_context &Io);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a transfer. The request is written at most once: where libcurl
  /// would repeat it because a reused connection was dead, the transfer fails.
  /// @param Body receives the body as it arrives
  /// @param Done called exactly once, after this function has returned, unless
  ///        the transfer is cancelled
  /// @param Head if given, called once with the head of the final answer
  /// @return number for `cancelTransfer`
  std::uint64_t startTransfer(HttpRequest Request, BodySink Body,
                              ResultSink Done, HeadSink Head = nullptr);

  /// Stops a transfer without calling its `Done`. Unknown numbers are ignored.
  void cancelTransfer(std::uint64_t Id);

  std::size_t activeTransfers() const { return Transfers_.size(); }
  /// @return number of answers that were malformed, whoever sent them
  std::int64_t malformedAnswers() const { return MalformedCount_; }

private:
  struct Transfer;
  struct SocketWatch;

  static int onSocketInterest(CURL *Easy, curl_socket_t Socket, int Interest,
                              void *User, void *SocketUser);
  static int onTimeoutChange(CURLM *Multi, long TimeoutMs, void *User);
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *User);
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *User);
  static int onBeforeSend(void *User, char *, char *, int, int);
  static int onNewSocket(void *User, curl_socket_t Socket, curlsocktype Type);

  void updateSocketWatch(CURL *Easy, curl_socket_t Socket, int Interest);
  /// Begins a turn of reading from a transfer's connection.
  /// @return false if the transfer was stopped: it has read for long without a
  ///   line of its head or a byte of its body
  bool beginRead(const SocketWatch &Watch);
  /// Lets a transfer go on that has read enough for one turn.
  void resumeLater(std::uint64_t Id);
  void waitForSocket(const std::shared_ptr<SocketWatch> &Watch, bool Write);
  void processSocketAction(curl_socket_t Socket, int Mask);
  void finishCompletedTransfers();
  /// @param Code libcurl's result of a transfer
  static TransferEnd endOf(const Transfer &T, CURLcode Code);
  /// @return reason of a failure, for logs
  static std::string detailOf(const Transfer &T, CURLcode Code);
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
  std::uint64_t NextId_ = 1;
  std::int64_t MalformedCount_ = 0;
};

/// Starts a transfer and collects its whole body.
/// @param MaxBody size limit in bytes; a longer body stops the transfer
/// @param Done receives the result and the body
void fetchBody(
    HttpClient &Client, HttpRequest Request, std::size_t MaxBody,
    std::function<void(const HttpResult &, const std::string &)> Done);

/// Milliseconds on the monotonic clock, which includes the time for which the
/// host was suspended.
Millis monotonicNow();

} // namespace endivewharf
