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

/// Connections of callers, counted by their sockets.
struct ConnectionTotals {
  std::size_t Connections_ = 0;  ///< Open now.
  std::size_t Bytes_ = 0;        ///< Allocated for them now.
  std::int64_t ClosedCount_ = 0; ///< Closed to free memory or descriptors.
  /// Requests refused because they are malformed or too long.
  std::int64_t RefusedCount_ = 0;
};

/// @param MalformedAnswers answers of upstreams and of the platform
/// @return the metrics in Prometheus' text exposition format
std::string renderMetrics(const State &S, const PeerTrafficTotals &Traffic,
                          const ConnectionTotals &Connections = {},
                          std::int64_t MalformedAnswers = 0);

} // namespace endivewharf
