// Bounds what all connections of callers hold together: allocated bytes and
// descriptors. Decides which connection has to be closed; it has no sockets.
#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace endivewharf {

using ConnectionKey = std::uint64_t;

/// Bytes that are allocated for one connection, by what they belong to.
struct ConnectionUse {
  std::size_t HalfSent_ = 0; ///< A request that has not arrived whole.
  std::size_t Accepted_ = 0; ///< Whole requests without a final answer.
  std::size_t Unsent_ = 0;   ///< Answers that the caller has not taken.

  /// @return true if the connection waits for its caller, so that it may be
  ///         closed
  bool awaitsCaller() const { return HalfSent_ > 0 || Unsent_ > 0; }
};

/// What all connections together may hold.
struct ConnectionLimits {
  std::size_t MaxBytes_ = 0;
  std::size_t MaxConnections_ = 0;
};

/// Account of all connections of callers.
class ConnectionBudget {
public:
  /// Time without a byte from or to the caller after which a connection stands
  /// still.
  static constexpr Millis StillPeriod = 1000;
  /// Bytes of a connection that holds nothing else: its objects and its input
  /// buffer.
  static constexpr std::size_t BaseBytes = 8 << 10;

  explicit ConnectionBudget(const ConnectionLimits &Limits) : Limits_(Limits) {}

  /// @param Limits in force from now on
  void setLimits(const ConnectionLimits &Limits) { Limits_ = Limits; }

  /// Adds a connection without bytes.
  void add(ConnectionKey Key, Millis Now);
  /// Forgets a connection; does nothing if it is not known.
  void remove(ConnectionKey Key);
  /// States what a connection holds now; does nothing if it is not known.
  void setUse(ConnectionKey Key, const ConnectionUse &Use);
  /// States that bytes have come from the caller or gone to it.
  void noteProgress(ConnectionKey Key, Millis Now);

  /// @return the connection that has to be closed because a limit is exceeded;
  ///         nothing if none is, or if every connection has work in progress
  std::optional<ConnectionKey> victim(Millis Now) const;

  /// @return true if much has been freed since the last call that returned
  ///         true, so that the allocator should give memory back; at most once
  ///         in `TrimPeriod`
  bool takeTrim(Millis Now);

  std::size_t totalBytes() const { return Total_; }
  std::size_t connectionCount() const { return Connections_.size(); }

private:
  static constexpr Millis TrimPeriod = 1000;
  /// Part of the limit that has to be freed before memory is given back.
  static constexpr std::size_t TrimDivisor = 4;

  struct Entry {
    ConnectionUse Use_;
    Millis ProgressAt_ = 0;
  };

  static std::size_t bytes(const Entry &E);
  template <typename Allowed>
  std::optional<ConnectionKey> longestStill(Millis Now, Allowed May) const;
  std::optional<ConnectionKey> victimForBytes(Millis Now) const;
  std::optional<ConnectionKey> victimForCount() const;
  std::optional<ConnectionKey> largestAwaiting() const;

  ConnectionLimits Limits_;
  std::unordered_map<ConnectionKey, Entry> Connections_;
  std::size_t Total_ = 0;
  std::size_t Peak_ = 0; ///< Largest total since the last trim.
  Millis TrimmedAt_ = 0;
};

} // namespace endivewharf
