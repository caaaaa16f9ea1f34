#include "strain.h"

#include "admission.h"
#include "diagnostics.h"
#include "router.h"

#include <cmath>

namespace endivewharf {

namespace {

/// Calls that may wait for room at a service that is not under strain: as many
/// as arrive between two ticks.
constexpr int MaxWaitingCalls = 4;
/// Part of a service's hosts that may be out of use at any time.
constexpr double MaxUnusableFraction = 0.1;
/// Time in ms for which a host that went missing counts as lost: until its
/// successor can be there.
constexpr Millis LostHostPeriod = 10000;
/// Time in ms for which answers are late after the strain has ended.
constexpr Millis AfterStrainPeriod = 1000;

bool isLost(const State &S, const Upstream &U) {
  return U.MissingSince_ != 0 && S.Now_ - U.MissingSince_ < LostHostPeriod;
}

/// @return true if more of a service's hosts than usual can't be used
bool hasLostHosts(const State &S, const std::string &Service) {
  int Hosts = 0;
  int Unusable = 0;
  for (const Upstream &U : S.Upstreams_) {
    if (U.Row_.Service_ != Service || U.Leaving_)
      continue;
    const bool Lost = isLost(S, U);
    if (!U.Listed_ && !Lost)
      continue;
    ++Hosts;
    Unusable += Lost || !isUsable(S, U) ? 1 : 0;
  }
  return Unusable > Hosts * MaxUnusableFraction;
}

bool isStrained(const State &S, const std::string &Service) {
  return waitingCalls(S, Service) > MaxWaitingCalls || hasLostHosts(S, Service);
}

} // namespace

void tickStrain(State &S, Effects &Out) {
  for (const auto &[Service, Rollout] : S.Release_.Rollouts_) {
    if (!isStrained(S, Service))
      continue;
    if (!wasStrainedSince(S, Service, S.Now_)) {
      incrementCounter(S, "strain_periods");
      logEvent(Out, "service_strained",
               {{"service", Service},
                {"waiting", std::to_string(waitingCalls(S, Service))},
                {"hosts_lost", hasLostHosts(S, Service) ? "yes" : "no"}});
    }
    S.Strain_.SeenAt_[Service] = S.Now_;
  }
}

bool wasStrainedSince(const State &S, const std::string &Service,
                      Millis Since) {
  const auto Found = S.Strain_.SeenAt_.find(Service);
  return Found != S.Strain_.SeenAt_.end() &&
         Found->second + AfterStrainPeriod >= Since;
}

bool ranUnderStrain(const State &S, const Attempt &A) {
  const Upstream &U = S.Upstreams_[A.Upstream_];
  constexpr int OwnRequest = 1;
  const int Requests =
      OwnRequest + U.InFlight_ + static_cast<int>(std::lround(U.OthersLoad_));
  const bool IsHostFull = U.Row_.Slots_ > 0 && Requests >= U.Row_.Slots_;
  return IsHostFull || wasStrainedSince(S, U.Row_.Service_, A.StartedAt_);
}

} // namespace endivewharf
