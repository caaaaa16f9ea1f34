// When a refused caller may come back: when room is expected at the upstreams
// of all processes for its kind of call. Answers the load of many callers that
// are refused together: their returns are spread over the time in which room
// for all of them becomes free, and none is told to come back too late for its
// own deadline.
#pragma once

#include "types.h"

#include <map>
#include <span>
#include <string>

namespace endivewharf {

/// Work of the calls of one service that were refused here lately.
struct RefusedWork {
  double PrefillMs_ = 0; ///< Prefill time in ms; decays.
  Millis DecayedAt_ = 0;
};

struct ReturnState {
  std::map<std::string, RefusedWork> Services_; ///< By service.
};

/// What is expected of the room for one kind of call.
struct RoomForecast {
  /// Prefill backlog in ms of each usable upstream, for all processes.
  std::span<const double> BacklogsMs_;
  double MaxBacklogMs_ = 0; ///< Backlog up to which the call is placed.
  /// Prefill time in ms that calls ask for in a second at all processes.
  double DemandMsPerSecond_ = 0;
  /// Prefill time in ms of the refused calls that are to come back.
  double ReturningMs_ = 0;
  Millis TimeLeft_ = 0; ///< ms until the call's deadline.
};

/// Times in ms from now between which refused callers are to come back.
struct ReturnWindow {
  Millis From_ = 0;
  Millis Until_ = 0;
};

/// @return ms until the first upstream has room; 0 if one has room now or none
///   is known
double timeUntilRoomMs(std::span<const double> BacklogsMs, double MaxBacklogMs);

/// Moves a window so that callers can still return within their deadline. Room
/// that comes too late for them is no reason to come all at once.
/// @param From ms from now
/// @param Spread length of the window in ms
/// @param TimeLeft ms until the callers' deadline
ReturnWindow fittingWindow(double From, double Spread, Millis TimeLeft);

/// Derives when refused callers are to come back. Where calls ask for more than
/// the upstreams can do, the returns are spread over all the time that the
/// callers have.
ReturnWindow returnWindow(const RoomForecast &Forecast);

/// Adds the prefill time in ms of a refused call to the recent ones.
void recordRefusal(RefusedWork &Refused, double PrefillMs, Millis Now);

/// @return prefill time in ms of the recently refused calls
double recentlyRefusedMs(const RefusedWork &Refused, Millis Now);

} // namespace endivewharf
