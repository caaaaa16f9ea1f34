// Callers' and operators' HTTP by RESTinio: reads requests into events, writes
// answers from effects. No policy.
#pragma once

#include "attempts.h"
#include "effect.h"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

namespace endivewharf {

/// What operators may ask for.
struct OperatorViews {
  std::function<std::string()> RenderDump_;
  std::function<std::string()> RenderMetrics_;
  std::function<bool()> IsReady_;
};

class HttpEdge {
public:
  HttpEdge(asio::io_context &Io, const Settings &From, EventSink Sink,
           OperatorViews Views);
  ~HttpEdge();
  HttpEdge(const HttpEdge &) = delete;
  HttpEdge &operator=(const HttpEdge &) = delete;

  /// Listens on both addresses.
  /// @param Failed called if an address can't be used
  void listen(const std::function<void(std::string)> &Failed);

  void operator()(const StartStream &E);
  void operator()(const SendToken &E);
  void operator()(const FinishStream &E);
  void operator()(const RedirectStream &E);
  void operator()(const SendCompletion &E);
  void operator()(const SendServiceAnswer &E);
  void operator()(const SendError &E);

  /// No new connections; answers under way go on.
  void closeListener();

  /// @return true if nothing is left to be written
  bool isIdle() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace endivewharf
