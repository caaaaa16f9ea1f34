// Prometheus metrics of one process.
#pragma once

#include "state.h"

#include <map>
#include <string>

namespace endivewharf {

/// What the edges count themselves.
struct PeerTrafficTotals {
  std::int64_t PeerBytesSent_ = 0;
  std::int64_t PeerBytesReceived_ = 0;
  std::map<std::string, std::int64_t> PeerBytesByType_;
};

/// @return text in Prometheus' exposition format
std::string renderMetrics(const State &S, const PeerTrafficTotals &Edge);

} // namespace endivewharf
