// Small HTTP server for the stand-ins, on RESTinio.
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
  std::string IdempotencyKey_;
  std::string RequestId_;
  std::map<std::string, std::string> Headers_; ///< Names in lower case.
};

/// The answer to one request; may be kept and used later.
class WebReply {
public:
  virtual ~WebReply() = default;
  virtual void send(int Status, const std::string &Type, std::string Body,
                    bool NotRun = false) = 0;
  /// Adds a header to the answer; before `send` or `begin`.
  virtual void header(const std::string &Name, const std::string &Value) = 0;
  /// Breaks the connection off, whatever was sent.
  virtual void cut() = 0;
  /// Begins a streamed answer; `OnGone` is called if the caller goes away.
  virtual void begin(const std::string &Type, std::function<void()> OnGone) = 0;
  virtual void chunk(std::string Bytes) = 0;
  virtual void end() = 0;

  void sendJson(int Status, const Json &Body) {
    send(Status, "application/json", Body.dump());
  }
};

using WebReplyPtr = std::shared_ptr<WebReply>;
using WebHandler = std::function<void(const WebRequest &, WebReplyPtr)>;

/// Listens on 127.0.0.1 until the loop ends; exits the process if it can't.
class HttpServer {
public:
  HttpServer(asio::io_context &Io, int Port, WebHandler Handler);
  ~HttpServer();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Runs `Then` after a while.
void runAfter(asio::io_context &Io, std::int64_t Ms,
              std::function<void()> Then);

/// Milliseconds on the monotonic clock.
std::int64_t nowMs();

Json parseJsonBody(const WebRequest &Request);

/// @param Name of a header, in lower case
inline std::string headerValue(const WebRequest &R, const char *Name) {
  const auto Found = R.Headers_.find(Name);
  return Found == R.Headers_.end() ? "" : Found->second;
}

// One function for each kind of stand-in; it sets up and returns.
struct StandInOptions {
  int Port_ = 0;
  std::string ModelVersions_; ///< `model@version,model@version`.
  int Slots_ = 8;
  int MaxQueueLength_ = 32;
  double DecodeMsPerToken_ = 5;
  double PrefillUsPerToken_ = 100;
  int CacheCapacityBlocks_ = 512;
  int ModelLoadMs_ = 300;
  int ReportLagMs_ = 100;
  bool CheckEpoch_ = true;
  std::string ServerName_; ///< Of a server on the platform.
};

void startEngine(asio::io_context &Io, const StandInOptions &From);
void startPlainService(asio::io_context &Io, const StandInOptions &From);
void startLogService(asio::io_context &Io, const StandInOptions &From);
void startHostListService(asio::io_context &Io, const StandInOptions &From);
void startCloudApi(asio::io_context &Io, const StandInOptions &From);
void startStoreService(asio::io_context &Io, const StandInOptions &From);
void startPlatformServer(asio::io_context &Io, const StandInOptions &From);

} // namespace standin
