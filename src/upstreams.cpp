// Upstream health: evidence in, restrictions out.
#include "upstreams.h"

#include "aggregators.h"
#include "diagnostics.h"
#include "membership.h"
#include "router.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis HostListReadPeriod = 500; // ms between reads
// Three followers read in turn, and peers tell what is new at once.
constexpr Millis LargeClusterHostListReadPeriod = 1000;          // ms
constexpr Millis LargeClusterHostListConfirmationTimeout = 3000; // ms
constexpr Millis ChangedHostListReadPeriod = 250; // ms, when it has changed
constexpr Millis HostListConfirmationTimeout =
    1200; // ms without a word of a reader
// ms; a store that is back shows here by then, as reads are repeated.
constexpr Millis MinPeerReadTime = 1500;
constexpr Millis RelistWindow = 2300;    // ms after the store's return
constexpr Millis NoticeReadPeriod = 250; // ms between reads
constexpr Millis ProbePeriod = 500;      // ms between probes of one upstream
constexpr Millis RefusalBackoff = 100;   // ms after a refusal
constexpr Millis InitialFailureBackoff =
    500; // ms after a failure, doubled in a row
constexpr Millis MaxFailureBackoff = 8000; // ms
constexpr int MaxProbesPerTick = 8; // bound on the probing work of a tick
constexpr double RefusalLimitFactor = 0.7;    // after a refusal
constexpr double MinBacklogLimitFactor = 0.6; // after a report of a long queue
constexpr double OthersLoadWeight = 0.3;      // of a new report in the average
constexpr int TargetUpstreamBacklog = 2;      // requests waiting at an upstream
constexpr double MaxConcurrencyLimit = 256;   // attempts in flight
constexpr int ProbeFailuresBeforeBackoff = 2; // in a row

std::string instanceKey(const InstanceId &Host) {
  return fmt::format("{}/{}", Host.Name_, Host.Incarnation_);
}

void startFailureBackoff(State &S, Upstream &U) {
  const int Doublings = std::min(U.ConsecutiveFailures_, 5);
  U.AvoidUntil_ =
      S.Now_ + std::min(MaxFailureBackoff, InitialFailureBackoff << Doublings);
}

void addUpstream(State &S, const HostRow &Row, Effects &Out) {
  // A newer life of the same name means that the older one has ended.
  for (Upstream &Old : S.Upstreams_)
    if (Old.Row_.Host_.Name_ == Row.Host_.Name_ &&
        Old.Row_.Host_.Incarnation_ < Row.Host_.Incarnation_)
      markLeaving(S, Old.Row_.Host_, "replaced", Out);
  Upstream New;
  New.Row_ = Row;
  New.ConcurrencyLimit_ = S.Settings_.Limits_.InitialUpstreamConcurrency_;
  New.Leaving_ = isLeaving(S, Row.Host_);
  S.UpstreamByInstance_[Row.Host_] = static_cast<int>(S.Upstreams_.size());
  S.Upstreams_.push_back(New);
  S.PoolsChanged_ = true;
  logEvent(Out, "upstream_added",
           {{"upstream", Row.Host_.Name_}, {"address", Row.Address_}});
}

/// Entries that lapsed while the store was away come back soon after it; not
/// if it was there for others all the while and turned only us away.
void recordHostListRecovery(State &S) {
  const bool OthersRead = S.PeersReadHostsSince_ != 0 &&
                          S.Now_ - S.PeersReadHostsSince_ >= MinPeerReadTime;
  if (S.HostsFailingSince_ != 0 && !OthersRead)
    S.HostsRecoveredAt_ = S.Now_;
  S.HostsFailingSince_ = 0;
  S.PeersReadHostsSince_ = 0;
}

/// A host that is not on the list gets no new work, but for the time in which
/// entries come back after the store was away.
void recordMissingHost(State &S, Upstream &U, Effects &Out) {
  if (U.MissingSince_ == 0) {
    U.MissingSince_ = S.Now_;
    logEvent(Out, "upstream_missing", {{"upstream", U.Row_.Host_.Name_}});
  }
  const bool JustBack =
      S.HostsRecoveredAt_ != 0 && S.Now_ - S.HostsRecoveredAt_ < RelistWindow;
  U.Listed_ = JustBack && S.Settings_.servesPlatform();
}

/// On the platform only few processes read the list all the time; the others
/// read it when it has changed, or when they hear of no reader.
bool isHostListReadDue(const State &S) {
  if (S.HostsReadAt_ < 0)
    return true;
  const Millis Age = S.Now_ - S.HostsReadAt_;
  const bool Large = isLargeCluster(S);
  if (!S.Settings_.servesPlatform() || isStoreReader(S))
    return Age >= (Large ? LargeClusterHostListReadPeriod : HostListReadPeriod);
  if (S.HostsOutdated_)
    return Age >= ChangedHostListReadPeriod;
  return Age >= HostListReadPeriod &&
         S.Now_ - S.HostsConfirmedAt_ >=
             (Large ? LargeClusterHostListConfirmationTimeout
                    : HostListConfirmationTimeout);
}

} // namespace

bool isLeaving(const State &S, const InstanceId &Host) {
  return S.LeavingFacts_.count(instanceKey(Host)) > 0;
}

void markLeaving(State &S, const InstanceId &Host, std::string_view Reason,
                 Effects &Out) {
  const LeavingFact Fact{Host, std::string(Reason)};
  if (!S.LeavingFacts_.emplace(instanceKey(Host), Fact).second)
    return;
  const auto Found = S.UpstreamByInstance_.find(Host);
  if (Found != S.UpstreamByInstance_.end()) {
    S.Upstreams_[Found->second].Leaving_ = true;
    removePrefixHolder(S, Found->second);
    S.PoolsChanged_ = true;
  }
  recordDecision(S, Host.Name_, fmt::format("leaving: {}", Reason));
  logEvent(Out, "upstream_leaving",
           {{"upstream", Host.Name_}, {"reason", std::string(Reason)}});
  gossipFacts(S, {{Fact}, {}, {}}, "", Out);
}

void adoptHostList(State &S, std::span<const HostRow> Hosts, LogOffset Version,
                   Effects &Out) {
  std::vector<bool> WasListed;
  for (Upstream &U : S.Upstreams_) {
    WasListed.push_back(U.Listed_);
    U.InLatestList_ = false;
  }
  for (const HostRow &Row : Hosts) {
    const auto Found = S.UpstreamByInstance_.find(Row.Host_);
    if (Found == S.UpstreamByInstance_.end()) {
      addUpstream(S, Row, Out);
    } else {
      Upstream &U = S.Upstreams_[Found->second];
      S.PoolsChanged_ = S.PoolsChanged_ || U.Row_.Version_ != Row.Version_;
      U.Row_ = Row;
      U.InLatestList_ = true;
      U.Listed_ = true;
      U.MissingSince_ = 0;
    }
    if (Row.Leaving_)
      markLeaving(S, Row.Host_, "host_list", Out);
  }
  for (Upstream &U : S.Upstreams_)
    if (!U.InLatestList_ && U.Listed_)
      recordMissingHost(S, U, Out);
  for (std::size_t I = 0; I < WasListed.size(); ++I)
    S.PoolsChanged_ =
        S.PoolsChanged_ || S.Upstreams_[I].Listed_ != WasListed[I];
  S.HostsVersion_ = Version;
  S.HostsBehindSince_ = 0;
}

void onHostsRead(State &S, const HostsRead &E, Effects &Out) {
  recordHostListRecovery(S);
  S.HostsReadAt_ = S.Now_;
  // A peer's list may be newer than what a slow read brings.
  if (E.Version_ != 0 && E.Version_ < S.HostsVersion_)
    return;
  adoptHostList(S, E.Hosts_, E.Version_, Out);
  S.HostsCompleteAt_ = S.Now_;
}

void onHostsReadFailed(State &S, Effects &Out) {
  if (S.HostsFailingSince_ != 0)
    return;
  S.HostsFailingSince_ = S.Now_;
  logWarning(Out, "host_list_unavailable", {});
}

void onReclaimNoticesRead(State &S, const ReclaimNoticesRead &E, Effects &Out) {
  for (const ReclaimNotice &Notice : E.Notices_)
    if (Notice.Host_.Name_ != S.Self_.Name_)
      markLeaving(S, Notice.Host_, "notice", Out);
}

void onProbeEnded(State &S, const ProbeEnded &E, Effects &Out) {
  const auto Found = S.UpstreamByInstance_.find(E.Host_);
  if (Found == S.UpstreamByInstance_.end())
    return;
  Upstream &U = S.Upstreams_[Found->second];
  U.Probing_ = false;
  if (!E.Reached_) {
    if (++U.ConsecutiveFailures_ >= ProbeFailuresBeforeBackoff)
      startFailureBackoff(S, U);
    return;
  }
  U.ConsecutiveFailures_ = 0;
  U.AvoidUntil_ = 0;
  U.WaitingRequests_ = E.WaitingRequests_;
  U.Slots_ = E.Slots_;
  const int Others =
      std::max(0, E.RunningRequests_ + E.WaitingRequests_ - U.InFlightAtProbe_);
  U.OthersLoad_ += OthersLoadWeight * (Others - U.OthersLoad_);
  // Requests wait here rather than at the upstream: here their turn is fair
  // and they can still go elsewhere.
  if (E.WaitingRequests_ > TargetUpstreamBacklog) {
    const double Fit = static_cast<double>(E.Slots_) /
                       (E.RunningRequests_ + E.WaitingRequests_);
    U.ConcurrencyLimit_ = std::max(
        1.0, U.ConcurrencyLimit_ * std::max(MinBacklogLimitFactor, Fit));
  }
  const std::set<LoadedVersion> Loaded(E.Loaded_.begin(), E.Loaded_.end());
  if (Loaded != U.Loaded_) {
    U.Loaded_ = Loaded;
    S.PoolsChanged_ = true;
  }
  if (E.Leaving_)
    markLeaving(S, E.Host_, "engine", Out);
}

void onUpstreamNotice(State &S, const UpstreamNotice &E, Effects &Out) {
  const auto Found = S.Attempts_.find(E.Attempt_);
  if (Found == S.Attempts_.end())
    return;
  Upstream &U = S.Upstreams_[Found->second.Upstream_];
  if (E.Leaving_)
    markLeaving(S, U.Row_.Host_, "answer", Out);
  if (E.Pause_ <= 0)
    return;
  U.PausedUntil_ = std::max(U.PausedUntil_, S.Now_ + E.Pause_);
  logEvent(
      Out, "upstream_paused",
      {{"upstream", U.Row_.Host_.Name_}, {"for_ms", std::to_string(E.Pause_)}});
}

void recordAttemptSuccess(State &S, int Index) {
  Upstream &U = S.Upstreams_[Index];
  U.ConsecutiveFailures_ = 0;
  if (U.WaitingRequests_ == 0 &&
      U.InFlight_ + 1 >= static_cast<int>(U.ConcurrencyLimit_))
    U.ConcurrencyLimit_ = std::min(
        MaxConcurrencyLimit, U.ConcurrencyLimit_ + 1 / U.ConcurrencyLimit_);
}

void recordAttemptFailure(State &S, int Index, AttemptFailure Failure) {
  Upstream &U = S.Upstreams_[Index];
  switch (Failure) {
  case AttemptFailure::Refused:
    U.ConcurrencyLimit_ =
        std::max(1.0, U.ConcurrencyLimit_ * RefusalLimitFactor);
    // The call waits here for a moment rather than knock again at once.
    U.AvoidUntil_ = std::max(U.AvoidUntil_, S.Now_ + RefusalBackoff);
    break;
  case AttemptFailure::Misdirected:
    // The host that had this address is gone.
    U.AvoidUntil_ = S.Now_ + MaxFailureBackoff;
    break;
  case AttemptFailure::NotSent:
  case AttemptFailure::ProtocolError:
  case AttemptFailure::UpstreamError:
    ++U.ConsecutiveFailures_;
    startFailureBackoff(S, U);
    break;
  case AttemptFailure::ConnectionBroken:
  case AttemptFailure::TimedOut:
    // Speaks against the connection; a failed new one will speak against the
    // upstream.
    break;
  }
}

void tickUpstreams(State &S, Effects &Out) {
  if (isHostListReadDue(S)) {
    S.HostsReadAt_ = S.Now_;
    S.HostsOutdated_ = false;
    incrementCounter(S, "host_list_reads");
    Out.push_back(ReadHosts{});
  }
  // On the platform leaving hosts say so in the list.
  const bool HasCloud =
      !S.Settings_.CloudUrl_.empty() && !S.Settings_.servesPlatform();
  if (HasCloud &&
      (S.NoticesReadAt_ < 0 || S.Now_ - S.NoticesReadAt_ >= NoticeReadPeriod)) {
    S.NoticesReadAt_ = S.Now_;
    Out.push_back(ReadReclaimNotices{});
  }
  if (S.Settings_.servesPlatform())
    return; // there a probe costs as much as a request; answers tell enough
  int Probes = 0;
  for (Upstream &U : S.Upstreams_) {
    if (U.Leaving_ || !U.Listed_ || U.Probing_ || Probes == MaxProbesPerTick ||
        (U.ProbedAt_ != 0 && S.Now_ - U.ProbedAt_ < ProbePeriod))
      continue;
    U.Probing_ = true;
    U.ProbedAt_ = S.Now_;
    U.InFlightAtProbe_ = U.InFlight_;
    ++Probes;
    Out.push_back(ProbeUpstream{U.Row_.Host_, U.Row_.Address_});
  }
}

} // namespace endivewharf
