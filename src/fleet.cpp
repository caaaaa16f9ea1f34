// Averages of the requested work, the plan of hosts, and scale requests.
#include "fleet.h"

#include "aggregators.h"
#include "controllog.h"
#include "diagnostics.h"
#include "lease.h"
#include "router.h"
#include "usage.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace endivewharf {

namespace {

// Fraction of a host's time that is planned for processing prompts.
constexpr double TargetPromptTimeFraction = 0.4;
// Largest factor on the spot hosts for the loss of one zone: with spot hosts in
// a single zone no number of them outlasts its loss.
constexpr double MaxSpotCapacityFactor = 2;
// Fraction of the needed hosts that are always on demand. The loss of one zone
// is covered by further spot hosts, which are cheaper; this is what remains
// while on-demand hosts start after the loss of several zones.
constexpr double MinOnDemandFraction = 0.1;
// One on-demand host in each of two zones.
constexpr int MinOnDemandHosts = 2;
constexpr Millis AverageUpdatePeriod = 250; // ms
// Averaging times, ms. The slow average keeps hosts through a short lull.
constexpr double FastAverageTime = 1500;
constexpr double SlowAverageTime = 8000;
constexpr Millis PlanPeriod = 500; // ms
// Time after the first request until the averages are used for plans, ms.
constexpr Millis FirstWorkSettleTime = 2500;
// Time after the start for which saved work is used, ms: until the slow average
// has settled.
constexpr Millis SavedWorkUseTime = 8000;
// Older saved work no longer predicts the load, ms.
constexpr Millis MaxSavedWorkAge = 60000;
// Relative change of the work above which it is saved again.
constexpr double SavedWorkTolerance = 0.15;
// Time for which fewer hosts must be wanted before they are released, ms.
constexpr Millis ScaleDownDelay = 3000;
// Time until spot hosts are requested again in a zone that had none, ms.
constexpr Millis SpotRetryDelay = 2500;
// Time without an answer after which a scale request counts as lost, ms.
constexpr Millis ScaleRequestTimeout = 2000;
// Time allowed beyond a host's startup duration, ms.
constexpr Millis HostStartMargin = 2500;

std::string scaleRequestKey(const std::string &Service, const std::string &Zone,
                            bool Spot) {
  return fmt::format("{}|{}|{}", Service, Zone, Spot ? "spot" : "on_demand");
}

/// Work of a service as the lease holder saved it last.
/// @return ms of hosts' time per second; 0 if none was saved
double savedWork(const State &S, const std::string &Service) {
  for (const WorkRow &Row : S.Fleet_.SavedWork_.Rows_)
    if (Row.Service_ == Service)
      return Row.MsPerSecond_;
  return 0;
}

/// @return true if this process started recently, so that its averages are not
/// settled yet, and the saved work is recent enough to replace them
bool mayUseSavedWork(const State &S) {
  return S.Now_ - S.StartedAt_ < SavedWorkUseTime &&
         correctedUnixMs(S) - S.Fleet_.SavedWork_.UnixMs_ < MaxSavedWorkAge;
}

/// Saves the work of all scaled services to the log, if it has changed beyond
/// the tolerance or if the saved work is about to become too old.
void saveWork(State &S) {
  WorkRecord Current{correctedUnixMs(S), {}};
  bool Changed =
      Current.UnixMs_ - S.Fleet_.SavedWork_.UnixMs_ > MaxSavedWorkAge / 2;
  for (const auto &[Name, Service] : S.Config_.Configuration_.Services_) {
    if (Service.Scaling_.MaxHosts_ == 0)
      continue;
    const double Work = requestedWork(S, Name);
    const double Saved = savedWork(S, Name);
    Changed = Changed || std::abs(Work - Saved) > Saved * SavedWorkTolerance;
    Current.Rows_.push_back({Name, Work});
  }
  if (!Changed || Current.Rows_.empty())
    return;
  S.Fleet_.SavedWork_ = Current;
  queueLogRecord(S, std::move(Current));
}

/// Present and starting hosts of a service in each of its zones.
std::vector<ZoneHosts> hostsByZone(const State &S, const std::string &Service,
                                   const ScalingLimits &Limits) {
  std::vector<ZoneHosts> Zones;
  for (const auto &[Zone, Price] : Limits.ZonePrices_) {
    ZoneHosts Z;
    Z.Zone_ = Zone;
    Z.OnDemandPrice_ = Price;
    for (const Upstream &U : S.Upstreams_)
      if (U.Row_.Service_ == Service && U.Row_.Zone_ == Zone && !U.Leaving_ &&
          U.Listed_)
        ++(U.Row_.Spot_ ? Z.Spot_ : Z.OnDemand_);
    const auto Found =
        S.Fleet_.ScaleRequests_.find(scaleRequestKey(Service, Zone, true));
    if (Found != S.Fleet_.ScaleRequests_.end()) {
      const ScaleRequest &Request = Found->second;
      Z.SpotAvailable_ = S.Now_ >= Request.UnavailableUntil_;
      if (Request.Accepted_ &&
          S.Now_ - Request.SentAt_ <
              Limits.HostStartupDuration_ + HostStartMargin)
        Z.SpotStarting_ = std::max(0, Request.WantedHosts_ - Z.Spot_);
    }
    Zones.push_back(std::move(Z));
  }
  return Zones;
}

/// Indices of zones by ascending on-demand price.
std::vector<std::size_t> zonesByPrice(std::span<const ZoneHosts> Zones) {
  std::vector<std::size_t> ZoneOrder(Zones.size());
  std::iota(ZoneOrder.begin(), ZoneOrder.end(), 0);
  std::stable_sort(ZoneOrder.begin(), ZoneOrder.end(), [&](auto A, auto B) {
    return Zones[A].OnDemandPrice_ < Zones[B].OnDemandPrice_;
  });
  return ZoneOrder;
}

/// Adds on-demand hosts to the zones in turn, as far as the limits allow.
void addOnDemandHosts(std::vector<ZonePlan> &Plan,
                      std::span<const std::size_t> ZoneOrder,
                      const ScalingLimits &Limits, int Count) {
  bool Added = true;
  while (Count > 0 && Added) {
    Added = false;
    for (const std::size_t I : ZoneOrder) {
      ZonePlan &Z = Plan[I];
      if (Count == 0 || Z.OnDemand_ + Z.Spot_ >= Limits.MaxHosts_)
        continue;
      ++Z.OnDemand_;
      --Count;
      Added = true;
    }
  }
}

/// Spot hosts relative to what they have to carry, so that those of the other
/// zones carry it when the hosts of one zone are taken away.
/// @param AvailableZones zones that have spot hosts
double spotCapacityFactor(int AvailableZones) {
  return AvailableZones < 2
             ? MaxSpotCapacityFactor
             : static_cast<double>(AvailableZones) / (AvailableZones - 1);
}

/// On-demand hosts beyond the minimum, in place of spot hosts. Starting spot
/// hosts spare new on-demand hosts, but release none before they serve.
/// @param Missing hosts that the serving spot hosts leave to be provided
/// @param Starting spot hosts that were ordered and do not serve yet
/// @param Present on-demand hosts beyond the minimum
int replacementHosts(int Missing, int Starting, int Present) {
  const int Most = std::max(0, Missing);
  const int Least = std::max(0, Missing - Starting);
  return std::clamp(Present, Least, Most);
}

/// @return true if a new version of the service still has to be judged. Hosts
/// are then not reduced: the platform might take away those of the new version.
bool isRolloutUnderWay(const State &S, const std::string &Service) {
  const auto Found = S.Release_.Rollouts_.find(Service);
  if (Found == S.Release_.Rollouts_.end())
    return false;
  const RolloutRow &Row = Found->second.Row_;
  return !Row.RolledBack_ && Row.Share_ < 1 && S.UnixMs_ < Row.DeadlineUnixMs_;
}

/// Sends a scale request, unless one is pending or the last one still has the
/// wanted number. Fewer hosts are requested only after a delay, not while the
/// averages are not settled after the start, and not during a rollout.
/// @param Wanted planned number of hosts
/// @param Present number of hosts that serve now
void sendScaleRequest(State &S, const std::string &Service,
                      const std::string &Zone, bool Spot, int Wanted,
                      int Present, Effects &Out) {
  ScaleRequest &Request =
      S.Fleet_.ScaleRequests_[scaleRequestKey(Service, Zone, Spot)];
  if (Request.Pending_ && S.Now_ - Request.SentAt_ < ScaleRequestTimeout)
    return;
  if (Request.WantedHosts_ < 0)
    // The number that an earlier lease holder requested is not known.
    Request.WantedHosts_ = Present;
  const bool InEffect =
      Request.WantedHosts_ == Wanted &&
      (Spot ? Present >= Wanted ||
                  S.Now_ - Request.SentAt_ <
                      S.Fleet_.HostStartupDuration_ + HostStartMargin
            : true);
  if (InEffect) {
    Request.FewerWantedSince_ = 0;
    return;
  }
  if (Wanted < Request.WantedHosts_) {
    if (Request.FewerWantedSince_ == 0)
      Request.FewerWantedSince_ = S.Now_;
    if (S.Now_ - Request.FewerWantedSince_ < ScaleDownDelay ||
        S.Now_ - S.StartedAt_ < SavedWorkUseTime ||
        isRolloutUnderWay(S, Service))
      return;
  }
  Request.FewerWantedSince_ = 0;
  Request.WantedHosts_ = Wanted;
  Request.Id_ = ++S.Fleet_.LastScaleRequestId_;
  Request.Pending_ = true;
  Request.Accepted_ = false;
  Request.SentAt_ = S.Now_;
  logEvent(Out, "hosts_ordered",
           {{"service", Service},
            {"zone", Zone},
            {"spot", Spot ? "yes" : "no"},
            {"present", std::to_string(Present)},
            {"wanted", std::to_string(Wanted)}});
  Out.push_back(ScaleHosts{Request.Id_, S.Lease_.Epoch_, Service, Zone, Wanted,
                           Spot, S.Lease_.HeldUntil_});
}

/// Plans the hosts of a service and sends the scale requests that follow.
void scaleService(State &S, const ServiceEntry &Service, Effects &Out) {
  const ScalingLimits &Limits = Service.Scaling_;
  S.Fleet_.HostStartupDuration_ = Limits.HostStartupDuration_;
  const std::vector<ZoneHosts> Zones = hostsByZone(S, Service.Name_, Limits);
  const double Needed =
      requestedWork(S, Service.Name_) / 1000 / TargetPromptTimeFraction;
  const std::vector<ZonePlan> Plan = planHosts(Zones, Limits, Needed);
  for (std::size_t I = 0; I < Plan.size(); ++I) {
    const ZoneHosts &Z = Zones[I];
    if (Limits.SpotPriceRatio_ > 0 && Z.SpotAvailable_)
      sendScaleRequest(S, Service.Name_, Z.Zone_, true, Plan[I].Spot_, Z.Spot_,
                       Out);
    sendScaleRequest(S, Service.Name_, Z.Zone_, false, Plan[I].OnDemand_,
                     Z.OnDemand_, Out);
  }
}

void updateWorkAverages(State &S) {
  const Millis Elapsed = S.Now_ - S.Fleet_.AveragedAt_;
  if (Elapsed < AverageUpdatePeriod)
    return;
  S.Fleet_.AveragedAt_ = S.Now_;
  const auto ElapsedMs = static_cast<double>(Elapsed);
  for (auto &[Service, W] : S.Fleet_.Work_) {
    const double PerSecond = W.WorkMsSinceUpdate_ * 1000 / ElapsedMs;
    W.WorkMsSinceUpdate_ = 0;
    W.FastAverage_ += std::min(1.0, ElapsedMs / FastAverageTime) *
                      (PerSecond - W.FastAverage_);
    W.SlowAverage_ += std::min(1.0, ElapsedMs / SlowAverageTime) *
                      (PerSecond - W.SlowAverage_);
  }
}

} // namespace

double requestedWork(const State &S, const std::string &Service) {
  const auto Own = S.Fleet_.Work_.find(Service);
  double Sum = Own == S.Fleet_.Work_.end() ? 0
                                           : std::max(Own->second.FastAverage_,
                                                      Own->second.SlowAverage_);
  for (const PeerState *Peer : summarySources(S))
    for (const WorkRow &Row : Peer->Summary_.Work_)
      if ((isLargeCluster(S) ? hasRecentSummary(S, *Peer) : Peer->Alive_) &&
          Row.Service_ == Service)
        Sum += Row.MsPerSecond_;
  return mayUseSavedWork(S) ? std::max(Sum, savedWork(S, Service)) : Sum;
}

std::vector<ZonePlan> planHosts(std::span<const ZoneHosts> Zones,
                                const ScalingLimits &Limits, double Needed) {
  std::vector<ZonePlan> Plan;
  for (const ZoneHosts &Z : Zones)
    Plan.push_back({Z.Zone_, 0, 0});
  if (Plan.empty())
    return Plan;
  const int NeededHosts = static_cast<int>(std::ceil(Needed));
  const int MinOnDemand =
      std::max(MinOnDemandHosts,
               static_cast<int>(std::ceil(Needed * MinOnDemandFraction)));
  const std::vector<std::size_t> ZoneOrder = zonesByPrice(Zones);
  addOnDemandHosts(Plan, ZoneOrder, Limits, MinOnDemand);

  // The spot hosts are spread evenly over the zones that have them, so that the
  // others still carry the load when those of one zone are reclaimed.
  const auto AvailableZones = static_cast<int>(
      std::count_if(Zones.begin(), Zones.end(),
                    [](const ZoneHosts &Z) { return Z.SpotAvailable_; }));
  const int SpotNeed =
      static_cast<int>(std::ceil(std::max(0.0, Needed - MinOnDemand) *
                                 spotCapacityFactor(AvailableZones)));
  int ServingSpot = 0;
  int StartingSpot = 0;
  int PresentOnDemand = 0;
  for (std::size_t I = 0; I < Zones.size(); ++I) {
    ZonePlan &P = Plan[I];
    const int MaxSpot = Limits.MaxHosts_ - P.OnDemand_;
    const int EvenShare =
        (SpotNeed + AvailableZones - 1) / std::max(1, AvailableZones);
    const int Wanted = Limits.SpotPriceRatio_ > 0 && Zones[I].SpotAvailable_
                           ? std::max(EvenShare, Limits.MinHosts_ - P.OnDemand_)
                           : Zones[I].Spot_;
    P.Spot_ = std::clamp(Wanted, 0, MaxSpot);
    const int Serving = std::min(P.Spot_, Zones[I].Spot_);
    ServingSpot += Serving;
    StartingSpot += std::min(P.Spot_ - Serving, Zones[I].SpotStarting_);
    PresentOnDemand += Zones[I].OnDemand_;
  }
  addOnDemandHosts(Plan, ZoneOrder, Limits,
                   replacementHosts(NeededHosts - MinOnDemand - ServingSpot,
                                    StartingSpot,
                                    PresentOnDemand - MinOnDemand));
  for (ZonePlan &P : Plan)
    if (P.OnDemand_ + P.Spot_ < Limits.MinHosts_)
      P.OnDemand_ = Limits.MinHosts_ - P.Spot_;
  return Plan;
}

void countWork(State &S, const Call &C) {
  if (!C.PrefixHashes_.empty())
    S.Fleet_.Work_[C.ServiceQueue_].WorkMsSinceUpdate_ +=
        plannedPrefillMs(S, C);
}

void tickFleet(State &S, Effects &Out) {
  updateWorkAverages(S);
  FleetState &F = S.Fleet_;
  if (F.FirstWorkAt_ == 0 &&
      std::any_of(F.Work_.begin(), F.Work_.end(), [](const auto &Entry) {
        return Entry.second.FastAverage_ > 0;
      }))
    F.FirstWorkAt_ = S.Now_;
  const bool WorkKnown =
      F.FirstWorkAt_ != 0 && S.Now_ - F.FirstWorkAt_ >= FirstWorkSettleTime;
  if (!holdsLease(S) || (!WorkKnown && !mayUseSavedWork(S)) ||
      S.Now_ - F.PlannedAt_ < PlanPeriod)
    return;
  F.PlannedAt_ = S.Now_;
  if (F.ScaleRequestsEpoch_ != S.Lease_.Epoch_) {
    // Requests sent under another lease may no longer be in effect.
    F.ScaleRequestsEpoch_ = S.Lease_.Epoch_;
    F.ScaleRequests_.clear();
  }
  saveWork(S);
  for (const auto &[Name, Service] : S.Config_.Configuration_.Services_)
    if (Service.Scaling_.MaxHosts_ > 0)
      scaleService(S, Service, Out);
}

void applyWorkRecord(State &S, const WorkRecord &R) { S.Fleet_.SavedWork_ = R; }

void onScaleAnswered(State &S, const ScaleAnswered &E, Effects &Out) {
  for (auto &[Key, Request] : S.Fleet_.ScaleRequests_) {
    if (Request.Id_ != E.ScaleRequestId_)
      continue;
    Request.Pending_ = false;
    Request.Accepted_ = E.Accepted_;
    if (E.NoneAvailable_)
      Request.UnavailableUntil_ = S.Now_ + SpotRetryDelay;
    if (!E.Accepted_)
      Request.WantedHosts_ = -1; // The next plan starts from the present hosts.
    logEvent(Out, "hosts_order_answered",
             {{"order", Key},
              {"accepted", E.Accepted_ ? "yes" : "no"},
              {"none_to_be_had", E.NoneAvailable_ ? "yes" : "no"}});
  }
}

} // namespace endivewharf
