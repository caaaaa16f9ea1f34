// Plans and orders hosts of services.
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

constexpr double TargetPromptTimeFraction =
    0.4; // of a host's time, for prompts
constexpr double SpotCapacityFactor =
    1.35; // spot hosts are cheap: more than needed
constexpr double MinOnDemandFraction = 0.3; // of the need, on demand always
constexpr int MinOnDemandHosts = 2;         // hosts, in two zones
constexpr Millis AverageUpdatePeriod = 250; // ms between two workings-out
constexpr double FastAverageTime = 1500;    // ms over which work is averaged
constexpr double SlowAverageTime = 8000;    // ms, so that a lull is no reason
constexpr Millis PlanPeriod = 500;          // ms between two plans
constexpr Millis FirstWorkSettleTime =
    2500; // ms after the first request, to know
constexpr Millis SavedWorkUseTime =
    8000; // ms after the start, as for the averages
constexpr Millis MaxSavedWorkAge = 60000; // ms; older work says nothing
constexpr double SavedWorkTolerance =
    0.15;                               // of the work, that may be out of date
constexpr Millis ScaleDownDelay = 3000; // ms for which less must be wanted
constexpr Millis SpotRetryDelay =
    2500; // ms until spot hosts are asked for again
constexpr Millis ScaleRequestTimeout = 2000; // ms until an order counts as lost
constexpr Millis HostStartMargin = 2500;     // ms beyond a host's start time

std::string scaleRequestKey(const std::string &Service, const std::string &Zone,
                            bool Spot) {
  return fmt::format("{}|{}|{}", Service, Zone, Spot ? "spot" : "on_demand");
}

double savedWork(const State &S, const std::string &Service) {
  for (const WorkRow &Row : S.Fleet_.SavedWork_.Rows_)
    if (Row.Service_ == Service)
      return Row.MsPerSecond_;
  return 0;
}

/// @return true if what was saved says more than what was seen in this life
bool mayUseSavedWork(const State &S) {
  return S.Now_ - S.StartedAt_ < SavedWorkUseTime &&
         correctedUnixMs(S) - S.Fleet_.SavedWork_.UnixMs_ < MaxSavedWorkAge;
}

/// Sum of what all processes have been asked for, ms of hosts' time a second.
double totalWork(const State &S, const std::string &Service) {
  const auto Own = S.Fleet_.Work_.find(Service);
  double Sum = Own == S.Fleet_.Work_.end() ? 0
                                           : std::max(Own->second.FastAverage_,
                                                      Own->second.SlowAverage_);
  for (const PeerState *M : summarySources(S))
    for (const WorkRow &Row : M->Summary_.Work_)
      if ((isLargeCluster(S) ? hasRecentSummary(S, *M) : M->Alive_) &&
          Row.Service_ == Service)
        Sum += Row.MsPerSecond_;
  return mayUseSavedWork(S) ? std::max(Sum, savedWork(S, Service)) : Sum;
}

/// Saves the work of all services if it has changed enough to matter.
void saveWork(State &S) {
  WorkRecord Now{correctedUnixMs(S), {}};
  bool Changed =
      Now.UnixMs_ - S.Fleet_.SavedWork_.UnixMs_ > MaxSavedWorkAge / 2;
  for (const auto &[Name, Service] : S.Config_.Configuration_.Services_) {
    if (Service.Scaling_.MaxHosts_ == 0)
      continue;
    const double Work = totalWork(S, Name);
    const double Saved = savedWork(S, Name);
    Changed = Changed || std::abs(Work - Saved) > Saved * SavedWorkTolerance;
    Now.Rows_.push_back({Name, Work});
  }
  if (!Changed || Now.Rows_.empty())
    return;
  S.Fleet_.SavedWork_ = Now;
  queueLogRecord(S, std::move(Now));
}

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
    const auto Order =
        S.Fleet_.ScaleRequests_.find(scaleRequestKey(Service, Zone, true));
    if (Order != S.Fleet_.ScaleRequests_.end()) {
      const ScaleRequest &O = Order->second;
      Z.SpotAvailable_ = S.Now_ >= O.UnavailableUntil_;
      if (O.Accepted_ &&
          S.Now_ - O.SentAt_ < Limits.HostStartupDuration_ + HostStartMargin)
        Z.SpotStarting_ = std::max(0, O.WantedHosts_ - Z.Spot_);
    }
    Zones.push_back(std::move(Z));
  }
  return Zones;
}

/// Indices of zones, the cheapest first.
std::vector<std::size_t> zonesByPrice(std::span<const ZoneHosts> Zones) {
  std::vector<std::size_t> Order(Zones.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::stable_sort(Order.begin(), Order.end(), [&](auto A, auto B) {
    return Zones[A].OnDemandPrice_ < Zones[B].OnDemandPrice_;
  });
  return Order;
}

/// Adds hosts on demand, one zone after the other, as far as limits allow.
void addOnDemandHosts(std::vector<ZonePlan> &Plan,
                      std::span<const std::size_t> Order,
                      const ScalingLimits &Limits, int Count) {
  bool Added = true;
  while (Count > 0 && Added) {
    Added = false;
    for (const std::size_t I : Order) {
      ZonePlan &Z = Plan[I];
      if (Count == 0 || Z.OnDemand_ + Z.Spot_ >= Limits.MaxHosts_)
        continue;
      ++Z.OnDemand_;
      --Count;
      Added = true;
    }
  }
}

/// Sends an order, unless the same one stands or is on its way.
void sendScaleRequest(State &S, const std::string &Service,
                      const std::string &Zone, bool Spot, int Wanted,
                      int Present, Effects &Out) {
  ScaleRequest &O =
      S.Fleet_.ScaleRequests_[scaleRequestKey(Service, Zone, Spot)];
  if (O.Pending_ && S.Now_ - O.SentAt_ < ScaleRequestTimeout)
    return;
  if (O.WantedHosts_ < 0)
    O.WantedHosts_ = Present; // what a holder before us had ordered
  const bool Stands =
      O.WantedHosts_ == Wanted &&
      (Spot ? Present >= Wanted ||
                  S.Now_ - O.SentAt_ <
                      S.Fleet_.HostStartupDuration_ + HostStartMargin
            : true);
  if (Stands) {
    O.FewerWantedSince_ = 0;
    return;
  }
  if (Wanted < O.WantedHosts_) {
    if (O.FewerWantedSince_ == 0)
      O.FewerWantedSince_ = S.Now_;
    if (S.Now_ - O.FewerWantedSince_ < ScaleDownDelay ||
        S.Now_ - S.StartedAt_ < SavedWorkUseTime)
      return;
  }
  O.FewerWantedSince_ = 0;
  O.WantedHosts_ = Wanted;
  O.Id_ = ++S.Fleet_.LastScaleRequestId_;
  O.Pending_ = true;
  O.Accepted_ = false;
  O.SentAt_ = S.Now_;
  logEvent(Out, "hosts_ordered",
           {{"service", Service},
            {"zone", Zone},
            {"spot", Spot ? "yes" : "no"},
            {"present", std::to_string(Present)},
            {"wanted", std::to_string(Wanted)}});
  Out.push_back(ScaleHosts{O.Id_, S.Lease_.Epoch_, Service, Zone, Wanted, Spot,
                           S.Lease_.HeldUntil_});
}

void scaleService(State &S, const ServiceEntry &Service, Effects &Out) {
  const ScalingLimits &Limits = Service.Scaling_;
  S.Fleet_.HostStartupDuration_ = Limits.HostStartupDuration_;
  const std::vector<ZoneHosts> Zones = hostsByZone(S, Service.Name_, Limits);
  const double Needed =
      totalWork(S, Service.Name_) / 1000 / TargetPromptTimeFraction;
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
  const auto Ms = static_cast<double>(Elapsed);
  for (auto &[Service, W] : S.Fleet_.Work_) {
    const double PerSecond = W.MsSinceUpdate_ * 1000 / Ms;
    W.MsSinceUpdate_ = 0;
    W.FastAverage_ +=
        std::min(1.0, Ms / FastAverageTime) * (PerSecond - W.FastAverage_);
    W.SlowAverage_ +=
        std::min(1.0, Ms / SlowAverageTime) * (PerSecond - W.SlowAverage_);
  }
}

} // namespace

std::vector<ZonePlan> planHosts(std::span<const ZoneHosts> Zones,
                                const ScalingLimits &Limits, double Needed) {
  std::vector<ZonePlan> Plan;
  for (const ZoneHosts &Z : Zones)
    Plan.push_back({Z.Zone_, 0, 0});
  if (Plan.empty())
    return Plan;
  const int Need = static_cast<int>(std::ceil(Needed));
  const int Floor =
      std::max(MinOnDemandHosts,
               static_cast<int>(std::ceil(Needed * MinOnDemandFraction)));
  const std::vector<std::size_t> Order = zonesByPrice(Zones);
  addOnDemandHosts(Plan, Order, Limits, Floor);

  // Spot hosts, as many in each zone where they are to be had, so that the
  // others still carry the load when one zone's are reclaimed.
  const auto Spread = static_cast<int>(
      std::count_if(Zones.begin(), Zones.end(),
                    [](const ZoneHosts &Z) { return Z.SpotAvailable_; }));
  const int SpotNeed = static_cast<int>(
      std::ceil(std::max(0.0, Needed * SpotCapacityFactor - Floor)));
  int Coming = 0;
  for (std::size_t I = 0; I < Zones.size(); ++I) {
    ZonePlan &P = Plan[I];
    const int Most = Limits.MaxHosts_ - P.OnDemand_;
    const int Wanted = Limits.SpotPriceRatio_ > 0 && Zones[I].SpotAvailable_
                           ? (SpotNeed + Spread - 1) / std::max(1, Spread)
                           : Zones[I].Spot_;
    P.Spot_ = std::clamp(Wanted, 0, Most);
    Coming += std::min(P.Spot_, Zones[I].Spot_ + Zones[I].SpotStarting_);
  }
  addOnDemandHosts(Plan, Order, Limits, std::max(0, Need - Floor - Coming));
  for (ZonePlan &P : Plan)
    if (P.OnDemand_ + P.Spot_ < Limits.MinHosts_)
      P.OnDemand_ = Limits.MinHosts_ - P.Spot_;
  return Plan;
}

void countWork(State &S, const Call &C) {
  if (!C.PrefixHashes_.empty())
    S.Fleet_.Work_[C.ServiceQueue_].MsSinceUpdate_ += sharedPrefixPrefillMs(C);
}

void tickFleet(State &S, Effects &Out) {
  updateWorkAverages(S);
  FleetState &F = S.Fleet_;
  if (F.FirstWorkAt_ == 0 &&
      std::any_of(F.Work_.begin(), F.Work_.end(), [](const auto &Entry) {
        return Entry.second.FastAverage_ > 0;
      }))
    F.FirstWorkAt_ = S.Now_;
  const bool Known =
      F.FirstWorkAt_ != 0 && S.Now_ - F.FirstWorkAt_ >= FirstWorkSettleTime;
  if (!holdsLease(S) || (!Known && !mayUseSavedWork(S)) ||
      S.Now_ - F.PlannedAt_ < PlanPeriod)
    return;
  F.PlannedAt_ = S.Now_;
  if (F.ScaleRequestsEpoch_ != S.Lease_.Epoch_) {
    // What was ordered under another lease may not hold any more.
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
  for (auto &[Key, O] : S.Fleet_.ScaleRequests_) {
    if (O.Id_ != E.ScaleRequestId_)
      continue;
    O.Pending_ = false;
    O.Accepted_ = E.Accepted_;
    if (E.NoneAvailable_)
      O.UnavailableUntil_ = S.Now_ + SpotRetryDelay;
    if (!E.Accepted_)
      O.WantedHosts_ = -1; // look again at what is there
    logEvent(Out, "hosts_order_answered",
             {{"order", Key},
              {"accepted", E.Accepted_ ? "yes" : "no"},
              {"none_to_be_had", E.NoneAvailable_ ? "yes" : "no"}});
  }
}

} // namespace endivewharf
