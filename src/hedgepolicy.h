// Decides which requests get a second attempt because the first one takes
// longer than almost all others of their route: the load is a service with room
// of which single upstreams are slow for a moment. It has no effect on a
// service that is full or slow as a whole.
#pragma once

#include "types.h"

#include <map>
#include <string>
#include <string_view>

namespace endivewharf {

/// Fraction of a route's requests that are answered without a hedge.
constexpr double HedgeQuantile = 0.95;

/// Time until the first byte of the answers of one route, without the time
/// that the upstream needs to read the prompt.
struct AnswerDelay {
  double HighMs_ = 0; ///< `HedgeQuantile` of the delays, in ms.
  int SampleCount_ = 0;
};

/// What is learnt and spent for hedged requests.
struct HedgeState {
  std::map<std::string, AnswerDelay, std::less<>> Delays_; ///< By route.
  /// Hedges that may be started, by service.
  std::map<std::string, double, std::less<>> Credits_;
};

/// What the decision on one request is based on.
struct HedgeView {
  std::string_view Route_;
  std::string_view Service_;
  double WaitedMs_ = 0;    ///< Since the attempt began, without its prompt.
  Millis TimeLeft_ = 0;    ///< Until the request's deadline.
  int WaitingCalls_ = 0;   ///< Calls in the queue of the service.
  double RetryBudget_ = 0; ///< Retries that are left for the service.
};

enum class HedgeDecision {
  Start,
  TooEarly,    ///< Most answers take that long, or too few are known.
  NoTimeLeft,  ///< A second attempt could not end in time.
  ServiceFull, ///< Other requests wait for room.
  NoBudget     ///< The operators' limit, or what is left for retries.
};

/// Adds a hedge's fraction to a service's credit for each request.
/// @param Share hedges that are allowed for each request
void addHedgeCredit(HedgeState &H, std::string_view Service, double Share);

/// Learns from one answer.
/// @param DelayMs time until its first byte, without the prompt's, in ms
void recordAnswerDelay(HedgeState &H, std::string_view Route, double DelayMs);

/// Decides on a request that has one attempt under way and no answer yet.
HedgeDecision decideHedge(const HedgeState &H, const HedgeView &View);

/// Charges a hedge that was started to its service.
void chargeHedge(HedgeState &H, std::string_view Service);

} // namespace endivewharf
