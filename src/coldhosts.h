// Upstreams that are cold: they have started lately and bear only so many
// requests a second from all processes together. Keeps what is known of each
// one and what this process has sent it; requestlimits.h decides from it.
#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace endivewharf {

/// Longest time for which an upstream may count as cold, in ms; longer
/// statements are shortened to it.
constexpr Millis MaxColdTime = 60000;

/// One upstream of a service whose hosts start cold.
struct ColdHost {
  Millis Until_ = 0; ///< It counts as cold until then.
  /// When a connection to it last failed; 0: an answer has come since. It may
  /// have started again, so it counts as cold until some time after its next
  /// answer.
  Millis UnreachedAt_ = 0;
  /// Number of the last statement on its state that all processes get; 0: none.
  std::uint64_t Number_ = 0;
  /// When this process sent it requests, oldest first; only recent ones.
  std::deque<Millis> SentAt_;
  /// Requests that this process may send in any second while it is cold.
  int Part_ = 0;
  bool Reported_ = false; ///< It has been logged as cold.
};

struct ColdHostState {
  std::unordered_map<int, ColdHost> Hosts_; ///< By index of the upstream.
};

/// What decides this process's part of the requests to a cold upstream.
struct ColdPartView {
  /// Requests a second that all processes together may send.
  double Bound_ = 0;
  std::size_t Processes_ = 1; ///< All known processes, this one included.
  /// Those that come before this one in the upstream's order of processes.
  std::size_t Preceding_ = 0;
};

/// Divides a bound so that the parts of all processes never exceed it,
/// whichever of them are cut off: a process has the same part whether or not
/// the others use theirs.
/// @return requests that this process may send in any second
int coldPart(const ColdPartView &View);

/// @param Now time in ms
/// @return true if the upstream counts as cold
bool isCold(const ColdHost &Host, Millis Now);

/// Applies what the upstream's entry says; a newer entry replaces what was
/// known.
/// @param Now time in ms at which the entry was read
/// @param TimeLeft time in ms for which the upstream stays cold
void applyColdEntry(ColdHost &Host, Millis Now, Millis TimeLeft);

/// Records that a connection to the upstream has failed.
/// @param Now time in ms
void recordUnreached(ColdHost &Host, Millis Now);

/// Records that the upstream has answered a request. If connections to it had
/// failed before, it may have started meanwhile.
/// @param Now time in ms
/// @param StartedAt time in ms at which the request was sent
/// @param ColdTime time in ms for which it is cold after a start
void recordAnswered(ColdHost &Host, Millis Now, Millis StartedAt,
                    Millis ColdTime);

/// Lengthens the time for which the upstream counts as cold.
/// @param Now time in ms
/// @param TimeLeft time in ms for which it stays cold at least
void extendCold(ColdHost &Host, Millis Now, Millis TimeLeft);

/// Records that a request is sent to the upstream.
/// @param Now time in ms
void recordSent(ColdHost &Host, Millis Now);

/// @param Now time in ms
/// @return requests that were sent within the last second and, as they may have
///         left late, a little longer
int recentlySent(const ColdHost &Host, Millis Now);

} // namespace endivewharf
