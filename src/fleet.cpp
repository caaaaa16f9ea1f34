// Plans and orders hosts of services.
#include "fleet.h"

#include "collectors.h"
#include "controllog.h"
#include "lease.h"
#include "record.h"
#include "router.h"
#include "usage.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace endivewharf {

namespace {

constexpr double HostLoad = 0.4;      // of a host's time, for prompts
constexpr double SpotReserve = 1.35;  // spot hosts are cheap: more than needed
constexpr double FloorShare = 0.3;    // of the need, on demand always
constexpr int MinFloor = 2;           // hosts, in two zones
constexpr Millis AveragePeriod = 250; // ms between two workings-out
constexpr double FastTime = 1500;     // ms over which work is averaged
constexpr double SlowTime = 8000;     // ms, so that a lull is no reason
constexpr Millis PlanPeriod = 500;    // ms between two plans
constexpr Millis SettleTime = 2500;   // ms after the first request, to know
constexpr Millis SavedTime = 8000;    // ms after the start, as for the averages
constexpr Millis MaxSavedAge = 60000; // ms; older work says nothing
constexpr double SavedTolerance = 0.15; // of the work, that may be out of date
constexpr Millis ShrinkPatience = 3000; // ms for which less must be wanted
constexpr Millis DryTime = 2500; // ms until spot hosts are asked for again
constexpr Millis OrderPatience = 2000; // ms until an order counts as lost
constexpr Millis StartMargin = 2500;   // ms beyond a host's start time

std::string orderKey(const std::string &Service, const std::string &Zone,
                     bool Spot) {
  return fmt::format("{}|{}|{}", Service, Zone, Spot ? "spot" : "on_demand");
}

double savedWork(const State &S, const std::string &Service) {
  for (const WorkRow &Row : S.Fleet_.Saved_.Rows_)
    if (Row.Service_ == Service)
      return Row.MsPerSecond_;
  return 0;
}

/// @return true if what was saved says more than what was seen in this life
bool goesBySavedWork(const State &S) {
  return S.Now_ - S.StartedAt_ < SavedTime &&
         trueUnixMs(S) - S.Fleet_.Saved_.UnixMs_ < MaxSavedAge;
}

/// Sum of what all processes have been asked for, ms of hosts' time a second.
double workOf(const State &S, const std::string &Service) {
  const auto Own = S.Fleet_.Work_.find(Service);
  double Sum = Own == S.Fleet_.Work_.end()
                   ? 0
                   : std::max(Own->second.Fast_, Own->second.Slow_);
  for (const Member *M : sumsSources(S))
    for (const WorkRow &Row : M->Sums_.Work_)
      if ((isLargeGroup(S) ? isHeard(S, *M) : M->Alive_) &&
          Row.Service_ == Service)
        Sum += Row.MsPerSecond_;
  return goesBySavedWork(S) ? std::max(Sum, savedWork(S, Service)) : Sum;
}

/// Saves the work of all services if it has changed enough to matter.
void saveWork(State &S) {
  WorkRecord Now{trueUnixMs(S), {}};
  bool Changed = Now.UnixMs_ - S.Fleet_.Saved_.UnixMs_ > MaxSavedAge / 2;
  for (const auto &[Name, Service] : S.Config_.Value_.Services_) {
    if (Service.Scaling_.MaxHosts_ == 0)
      continue;
    const double Work = workOf(S, Name);
    const double Saved = savedWork(S, Name);
    Changed = Changed || std::abs(Work - Saved) > Saved * SavedTolerance;
    Now.Rows_.push_back({Name, Work});
  }
  if (!Changed || Now.Rows_.empty())
    return;
  S.Fleet_.Saved_ = Now;
  appendRecord(S, std::move(Now));
}

std::vector<ZoneHosts> hostsOf(const State &S, const std::string &Service,
                               const ScalingLimits &Limits) {
  std::vector<ZoneHosts> Zones;
  for (const auto &[Zone, Price] : Limits.ZonePrices_) {
    ZoneHosts Z;
    Z.Zone_ = Zone;
    Z.Price_ = Price;
    for (const Upstream &U : S.Upstreams_)
      if (U.Row_.Service_ == Service && U.Row_.Zone_ == Zone && !U.Leaving_ &&
          U.Listed_)
        ++(U.Row_.Spot_ ? Z.Spot_ : Z.OnDemand_);
    const auto Order = S.Fleet_.Orders_.find(orderKey(Service, Zone, true));
    if (Order != S.Fleet_.Orders_.end()) {
      const HostOrder &O = Order->second;
      Z.SpotToBeHad_ = S.Now_ >= O.DryUntil_;
      if (O.Accepted_ && S.Now_ - O.SentAt_ < Limits.StartTime_ + StartMargin)
        Z.SpotStarting_ = std::max(0, O.Count_ - Z.Spot_);
    }
    Zones.push_back(std::move(Z));
  }
  return Zones;
}

/// Indices of zones, the cheapest first.
std::vector<std::size_t> byPrice(std::span<const ZoneHosts> Zones) {
  std::vector<std::size_t> Order(Zones.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::stable_sort(Order.begin(), Order.end(), [&](auto A, auto B) {
    return Zones[A].Price_ < Zones[B].Price_;
  });
  return Order;
}

/// Adds hosts on demand, one zone after the other, as far as limits allow.
void addOnDemand(std::vector<ZonePlan> &Plan,
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
void order(State &S, const std::string &Service, const std::string &Zone,
           bool Spot, int Wanted, int Present, Effects &Out) {
  HostOrder &O = S.Fleet_.Orders_[orderKey(Service, Zone, Spot)];
  if (O.Pending_ && S.Now_ - O.SentAt_ < OrderPatience)
    return;
  if (O.Count_ < 0)
    O.Count_ = Present; // what a holder before us had ordered
  const bool Stands =
      O.Count_ == Wanted &&
      (Spot ? Present >= Wanted ||
                  S.Now_ - O.SentAt_ < S.Fleet_.StartTime_ + StartMargin
            : true);
  if (Stands) {
    O.LessSince_ = 0;
    return;
  }
  if (Wanted < O.Count_) {
    if (O.LessSince_ == 0)
      O.LessSince_ = S.Now_;
    if (S.Now_ - O.LessSince_ < ShrinkPatience ||
        S.Now_ - S.StartedAt_ < SavedTime)
      return;
  }
  O.LessSince_ = 0;
  O.Count_ = Wanted;
  O.Id_ = ++S.Fleet_.NextOrder_;
  O.Pending_ = true;
  O.Accepted_ = false;
  O.SentAt_ = S.Now_;
  logEvent(Out, "hosts_ordered",
           {{"service", Service},
            {"zone", Zone},
            {"spot", Spot ? "yes" : "no"},
            {"present", std::to_string(Present)},
            {"wanted", std::to_string(Wanted)}});
  Out.push_back(OrderHosts{O.Id_, S.Lease_.Epoch_, Service, Zone, Wanted, Spot,
                           S.Lease_.HeldUntil_});
}

void planService(State &S, const ServiceEntry &Service, Effects &Out) {
  const ScalingLimits &Limits = Service.Scaling_;
  S.Fleet_.StartTime_ = Limits.StartTime_;
  const std::vector<ZoneHosts> Zones = hostsOf(S, Service.Name_, Limits);
  const double Needed = workOf(S, Service.Name_) / 1000 / HostLoad;
  const std::vector<ZonePlan> Plan = planHosts(Zones, Limits, Needed);
  for (std::size_t I = 0; I < Plan.size(); ++I) {
    const ZoneHosts &Z = Zones[I];
    if (Limits.SpotPrice_ > 0 && Z.SpotToBeHad_)
      order(S, Service.Name_, Z.Zone_, true, Plan[I].Spot_, Z.Spot_, Out);
    order(S, Service.Name_, Z.Zone_, false, Plan[I].OnDemand_, Z.OnDemand_,
          Out);
  }
}

void updateAverages(State &S) {
  const Millis Elapsed = S.Now_ - S.Fleet_.AveragedAt_;
  if (Elapsed < AveragePeriod)
    return;
  S.Fleet_.AveragedAt_ = S.Now_;
  const auto Ms = static_cast<double>(Elapsed);
  for (auto &[Service, W] : S.Fleet_.Work_) {
    const double PerSecond = W.Since_ * 1000 / Ms;
    W.Since_ = 0;
    W.Fast_ += std::min(1.0, Ms / FastTime) * (PerSecond - W.Fast_);
    W.Slow_ += std::min(1.0, Ms / SlowTime) * (PerSecond - W.Slow_);
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
      std::max(MinFloor, static_cast<int>(std::ceil(Needed * FloorShare)));
  const std::vector<std::size_t> Order = byPrice(Zones);
  addOnDemand(Plan, Order, Limits, Floor);

  // Spot hosts, as many in each zone where they are to be had, so that the
  // others still carry the load when one zone's are reclaimed.
  const auto Spread = static_cast<int>(
      std::count_if(Zones.begin(), Zones.end(),
                    [](const ZoneHosts &Z) { return Z.SpotToBeHad_; }));
  const int SpotNeed =
      static_cast<int>(std::ceil(std::max(0.0, Needed * SpotReserve - Floor)));
  int Coming = 0;
  for (std::size_t I = 0; I < Zones.size(); ++I) {
    ZonePlan &P = Plan[I];
    const int Most = Limits.MaxHosts_ - P.OnDemand_;
    const int Wanted = Limits.SpotPrice_ > 0 && Zones[I].SpotToBeHad_
                           ? (SpotNeed + Spread - 1) / std::max(1, Spread)
                           : Zones[I].Spot_;
    P.Spot_ = std::clamp(Wanted, 0, Most);
    Coming += std::min(P.Spot_, Zones[I].Spot_ + Zones[I].SpotStarting_);
  }
  addOnDemand(Plan, Order, Limits, std::max(0, Need - Floor - Coming));
  for (ZonePlan &P : Plan)
    if (P.OnDemand_ + P.Spot_ < Limits.MinHosts_)
      P.OnDemand_ = Limits.MinHosts_ - P.Spot_;
  return Plan;
}

void noteWork(State &S, const Call &C) {
  if (!C.Blocks_.empty())
    S.Fleet_.Work_[C.Lane_].Since_ += likelyPrefill(C);
}

void tickFleet(State &S, Effects &Out) {
  updateAverages(S);
  FleetState &F = S.Fleet_;
  if (F.FirstWorkAt_ == 0 &&
      std::any_of(F.Work_.begin(), F.Work_.end(),
                  [](const auto &Entry) { return Entry.second.Fast_ > 0; }))
    F.FirstWorkAt_ = S.Now_;
  const bool Known =
      F.FirstWorkAt_ != 0 && S.Now_ - F.FirstWorkAt_ >= SettleTime;
  if (!holdsLease(S) || (!Known && !goesBySavedWork(S)) ||
      S.Now_ - F.PlannedAt_ < PlanPeriod)
    return;
  F.PlannedAt_ = S.Now_;
  if (F.OrdersEpoch_ != S.Lease_.Epoch_) {
    // What was ordered under another lease may not hold any more.
    F.OrdersEpoch_ = S.Lease_.Epoch_;
    F.Orders_.clear();
  }
  saveWork(S);
  for (const auto &[Name, Service] : S.Config_.Value_.Services_)
    if (Service.Scaling_.MaxHosts_ > 0)
      planService(S, Service, Out);
}

void noteSavedWork(State &S, const WorkRecord &R) { S.Fleet_.Saved_ = R; }

void onHostsOrdered(State &S, const HostsOrdered &E, Effects &Out) {
  for (auto &[Key, O] : S.Fleet_.Orders_) {
    if (O.Id_ != E.Order_)
      continue;
    O.Pending_ = false;
    O.Accepted_ = E.Accepted_;
    if (E.None_)
      O.DryUntil_ = S.Now_ + DryTime;
    if (!E.Accepted_)
      O.Count_ = -1; // look again at what is there
    logEvent(Out, "hosts_order_answered",
             {{"order", Key},
              {"accepted", E.Accepted_ ? "yes" : "no"},
              {"none_to_be_had", E.None_ ? "yes" : "no"}});
  }
}

} // namespace endivewharf
