// Renders the Prometheus metrics of one process.
#pragma once

#include "state.h"

#include <map>
#include <string>

namespace endivewharf {

/// Traffic with the peers, counted by the peer links rather than the reducer.
struct PeerTrafficTotals {
  std::int64_t PeerBytesSent_ = 0;
  std::int64_t PeerBytesReceived_ = 0;
  /// Bytes sent, by message type.
  std::map<std::string, std::int64_t> PeerBytesByType_;
};

/// @return the metrics in Prometheus' text exposition format
std::string renderMetrics(const State &S, const PeerTrafficTotals &Traffic);

} // namespace endivewharf
