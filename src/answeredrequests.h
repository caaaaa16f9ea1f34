// Remembers which requests were answered at which address. A faulty upstream
// may write such an answer again, later, on the same connection: a further
// attempt with the same id there needs a connection that never carried it.
#pragma once

#include "types.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace endivewharf {

/// Requests by id and address, each until no further attempt of it can come.
/// Two that share a hash cost no more than a new connection.
class AnsweredRequests {
public:
  /// Adds a request.
  /// @param Until end of the time in which it may be sent again, monotonic ms
  void add(std::string_view Id, std::string_view Address, Millis Until);

  /// @param Now monotonic time, ms; requests that have ended by then are
  ///   forgotten
  /// @return true if the request was answered at the address
  bool contains(std::string_view Id, std::string_view Address, Millis Now);

  std::size_t size() const { return UntilByHash_.size(); }

private:
  std::unordered_map<std::uint64_t, Millis> UntilByHash_;
  /// Hashes in the order of their addition, with the end of their time.
  std::deque<std::pair<std::uint64_t, Millis>> Order_;
};

} // namespace endivewharf
