// Decides which upstreams may get work: host list, leaving hosts, backoff after
// failures and adaptive concurrency limits.
#include "upstreams.h"

#include "aggregators.h"
#include "diagnostics.h"
#include "freshness.h"
#include "membership.h"
#include "requestlimits.h"
#include "restore.h"
#include "router.h"
#include "storereaders.h"
#include "suspects.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis HostListReadPeriod = 500; // ms between reads
// Interval between reads while the list in use is known to be outdated.
constexpr Millis ChangedHostListReadPeriod = 250; // ms
// Longest read of the host list, after which its outcome counts as lost.
constexpr Millis MaxHostListReadTime = 4000; // ms
// Longest time between two reads of a store reader, ms.
constexpr Millis MaxReadGap = 2500;
// Time after a store outage in which entries that expired are listed again.
constexpr Millis RelistWindow = 2300; // ms
// Time in which the entry of a dead host expires after a restore, ms.
constexpr Millis CopiedEntryExpiry = 5000;
constexpr Millis LoggedReadTime = 300;   // ms; longer reads are logged
constexpr Millis NoticeReadPeriod = 250; // ms between reads
constexpr Millis ProbePeriod = 500;      // ms between probes of one upstream
constexpr Millis RefusalBackoff = 100;   // ms
// Base of the backoff, doubled for each consecutive failure.
constexpr Millis InitialFailureBackoff = 500; // ms
constexpr Millis MaxFailureBackoff = 8000;    // ms
constexpr int MaxProbesPerTick = 8;           // probes
// Factor on the concurrency limit after a refusal.
constexpr double RefusalLimitFactor = 0.7;
// Least factor on the concurrency limit after a probe shows a long backlog.
constexpr double MinBacklogLimitFactor = 0.6;
// Weight of a new probe in the moving average of other processes' load.
constexpr double OthersLoadWeight = 0.3;
constexpr int TargetUpstreamBacklog = 2;      // requests waiting at an upstream
constexpr double MaxConcurrencyLimit = 256;   // attempts in flight
constexpr int ProbeFailuresBeforeBackoff = 2; // consecutive failures

std::string instanceKey(const InstanceId &Host) {
  return fmt::format("{}/{}", Host.Name_, Host.Incarnation_);
}

void startFailureBackoff(State &S, Upstream &U) {
  const int Doublings = std::min(U.ConsecutiveFailures_, 5);
  U.AvoidUntil_ =
      S.Now_ + std::min(MaxFailureBackoff, InitialFailureBackoff << Doublings);
}

/// Counts a failure and begins the backoff that follows. Failures of attempts
/// that ran at once have one cause, so those during a backoff do not count.
void recordFailure(State &S, Upstream &U) {
  if (S.Now_ < U.AvoidUntil_)
    return;
  ++U.ConsecutiveFailures_;
  startFailureBackoff(S, U);
}

void addUpstream(State &S, const HostRow &Row, Effects &Out) {
  // A newer incarnation of a host means that the older ones have ended.
  for (Upstream &Old : S.Upstreams_)
    if (Old.Row_.Host_.Name_ == Row.Host_.Name_ &&
        Old.Row_.Host_.Incarnation_ < Row.Host_.Incarnation_)
      markLeaving(S, Old.Row_.Host_, "replaced", Out);
  Upstream New;
  New.Row_ = Row;
  New.ConcurrencyLimit_ = S.Settings_.Limits_.InitialUpstreamConcurrency_;
  New.Leaving_ = isLeaving(S, Row.Host_);
  S.UpstreamByInstance_[Row.Host_] = static_cast<int>(S.Upstreams_.size());
  S.UpstreamByHash_[instanceHash(Row.Host_)] =
      static_cast<int>(S.Upstreams_.size());
  S.Upstreams_.push_back(New);
  S.PoolsChanged_ = true;
  recordListedHost(S, static_cast<int>(S.Upstreams_.size()) - 1, Out);
  logEvent(Out, "upstream_added",
           {{"upstream", Row.Host_.Name_},
            {"address", Row.Address_},
            {"version", Row.Version_}});
}

/// Records that a read of the host list has succeeded.
/// @param NewEra it is the first one since the store was restored from a copy
void recordHostListRead(State &S, bool NewEra, Effects &Out) {
  // A process that stopped reading after a failure has not seen the end of it.
  const bool Failing =
      S.HostsFailingSince_ != 0 && S.Now_ - S.HostsFailedAt_ <= MaxReadGap;
  // Between two reads that are far apart the store may have been unavailable.
  if (Failing || NewEra || S.HostsCompleteAt_ < 0 ||
      S.Now_ - S.HostsCompleteAt_ > MaxReadGap) {
    S.HostsReadableSince_ = S.Now_;
    S.HostsRecovered_ = Failing || NewEra;
  }
  if (Failing)
    logEvent(
        Out, "host_list_recovered",
        {{"failing_ms", std::to_string(S.Now_ - S.HostsFailingSince_)},
         {"others_read_ms", std::to_string(S.Now_ - S.StoreService_.Until_)}});
  S.HostsFailingSince_ = 0;
  recordStoreService(S, S.HostsReadableSince_, S.Now_, S.HostsRecovered_, Out);
}

/// Stops new work to a host that is missing from the host list.
void unlistHost(State &S, Upstream &U, Effects &Out) {
  U.Listed_ = false;
  S.PoolsChanged_ = true;
  logEvent(Out, "upstream_unlisted",
           {{"upstream", U.Row_.Host_.Name_},
            {"missing_ms", std::to_string(S.Now_ - U.MissingSince_)}});
}

/// @return true while entries that expired during an outage of the platform's
///   store may be listed again
bool mayBeListedAgain(const State &S) {
  return S.Settings_.servesPlatform() && S.StoreService_.Since_ != 0 &&
         S.Now_ - S.StoreService_.Since_ < RelistWindow;
}

/// Stops new work to a host that is missing from the host list, unless it may
/// be listed again.
void recordMissingHost(State &S, Upstream &U, Effects &Out) {
  if (U.MissingSince_ == 0) {
    U.MissingSince_ = S.Now_;
    logEvent(Out, "upstream_missing", {{"upstream", U.Row_.Host_.Name_}});
  }
  if (mayBeListedAgain(S))
    S.MissingHostsKept_ = true;
  else
    unlistHost(S, U, Out);
}

/// Stops new work to hosts that are still missing when they can no longer be
/// listed again, whether or not a list arrives then.
void tickMissingHosts(State &S, Effects &Out) {
  if (!S.MissingHostsKept_ || mayBeListedAgain(S))
    return;
  S.MissingHostsKept_ = false;
  for (Upstream &U : S.Upstreams_)
    if (U.MissingSince_ != 0 && U.Listed_)
      unlistHost(S, U, Out);
}

/// A host that had gone before the store was restored is listed again by the
/// copy. It counts as gone until its entry has outlived the time in which that
/// of a dead host expires.
bool isOnlyInCopy(const State &S, const Upstream &U) {
  const Millis EraBeganAt = S.StoreService_.EraBeganAt_;
  return EraBeganAt != 0 && !U.Listed_ && U.MissingSince_ != 0 &&
         U.MissingSince_ < EraBeganAt &&
         S.Now_ - EraBeganAt < CopiedEntryExpiry;
}

/// Lets hosts work again whose entries have outlived a restore of the store.
void tickCopiedHosts(State &S) {
  if (!S.CopiedHostsHeldBack_ ||
      S.Now_ - S.StoreService_.EraBeganAt_ < CopiedEntryExpiry)
    return;
  S.CopiedHostsHeldBack_ = false;
  for (Upstream &U : S.Upstreams_) {
    if (!U.InLatestList_ || U.Listed_)
      continue;
    U.Listed_ = true;
    U.MissingSince_ = 0;
    S.PoolsChanged_ = true;
  }
}

/// Logs why a process that is no store reader reads the list itself.
void logOwnHostListRead(const State &S, Effects &Out) {
  if (!S.Settings_.servesPlatform() || S.HostsReadAt_ < 0 || isStoreReader(S))
    return;
  logEvent(
      Out, "host_list_unconfirmed",
      {{"outdated", S.HostsOutdated_ ? "yes" : "no"},
       {"age_ms", std::to_string(S.Now_ - S.HostsConfirmedAt_)},
       {"confirmed_by", S.HostsConfirmedBy_},
       {"store_readers", std::to_string(S.Membership_.StoreReaders_.size())}});
}

/// On the platform only the store readers read the list periodically. Other
/// processes read it when their list is outdated, or when no store reader has
/// confirmed it for some time.
bool isHostListReadDue(const State &S) {
  if (S.HostsReadAt_ < 0)
    return true;
  const Millis Age = S.Now_ - S.HostsReadAt_;
  if (!S.Settings_.servesPlatform())
    return Age >= HostListReadPeriod;
  if (S.HostsReading_ && Age < MaxHostListReadTime)
    return false;
  const Millis Bound = S.Settings_.Bounds_.LeavingLimit_;
  // In a large cluster three store readers read the list at different times and
  // publish changes to the peers at once.
  if (isStoreReader(S))
    return Age >= (isLargeCluster(S) ? freshnessBudget(Bound).ReadPeriod_
                                     : HostListReadPeriod);
  if (S.HostsOutdated_)
    return Age >= ChangedHostListReadPeriod;
  return Age >= freshnessBudget(Bound).RetryPeriod_ &&
         S.Now_ - S.HostsConfirmedAt_ >= ownReadAge(S.Self_.Name_, Bound);
}

/// @return true if the read in progress has been silent for so long that a
/// second one should begin beside it
bool isSecondHostListReadDue(const State &S) {
  const FreshnessBudget Budget =
      freshnessBudget(S.Settings_.Bounds_.LeavingLimit_);
  return S.HostsReading_ && !S.HostsSecondRead_ && S.HostsFailingSince_ == 0 &&
         S.Now_ - S.HostsConfirmedAt_ >= Budget.OwnReadAge_ &&
         S.Now_ - S.HostsReadAt_ >= Budget.SecondReadDelay_;
}

/// Reads the host list if that is due.
void tickHostList(State &S, Effects &Out) {
  if (isHostListReadDue(S)) {
    logOwnHostListRead(S, Out);
    S.HostsReadAt_ = S.Now_;
    S.HostsOutdated_ = false;
    S.HostsReading_ = S.Settings_.servesPlatform();
    S.HostsSecondRead_ = false;
    incrementCounter(S, "host_list_reads");
    Out.push_back(ReadHosts{});
  } else if (isSecondHostListReadDue(S)) {
    S.HostsSecondRead_ = true;
    incrementCounter(S, "host_list_reads");
    Out.push_back(ReadHosts{true});
  }
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
    removeHolderFromPrefixes(S, Found->second);
    S.PoolsChanged_ = true;
  }
  recordDecision(S, Host.Name_, fmt::format("leaving: {}", Reason));
  logEvent(Out, "upstream_leaving",
           {{"upstream", Host.Name_}, {"reason", std::string(Reason)}});
  gossipFacts(S, {{Fact}, {}, {}}, "", Out);
}

void adoptHostList(State &S, std::span<const HostRow> Hosts, LogOffset Version,
                   Effects &Out) {
  for (Upstream &U : S.Upstreams_)
    U.InLatestList_ = false;
  for (const HostRow &Row : Hosts) {
    const auto Found = S.UpstreamByInstance_.find(Row.Host_);
    if (Found == S.UpstreamByInstance_.end()) {
      addUpstream(S, Row, Out);
    } else {
      Upstream &U = S.Upstreams_[Found->second];
      S.PoolsChanged_ =
          S.PoolsChanged_ || !U.Listed_ || U.Row_.Version_ != Row.Version_;
      const Millis WarmupTimeBefore = U.Row_.WarmupTimeLeft_;
      U.Row_ = Row;
      U.InLatestList_ = true;
      if (Row.WarmupTimeLeft_ != WarmupTimeBefore)
        recordWarmupStatement(S, Found->second, Out);
      if (isOnlyInCopy(S, U)) {
        S.CopiedHostsHeldBack_ = true;
        continue;
      }
      U.Listed_ = true;
      U.MissingSince_ = 0;
    }
    if (Row.Leaving_)
      markLeaving(S, Row.Host_, "host_list", Out);
  }
  for (Upstream &U : S.Upstreams_)
    if (!U.InLatestList_ && U.Listed_)
      recordMissingHost(S, U, Out);
  forgetClearedUnderOldVersions(S, Hosts);
  S.HostsVersion_ = Version;
  S.HostsBehindSince_ = 0;
}

void onHostsRead(State &S, const HostsRead &E, Effects &Out) {
  // A slow read may return an older list than one that a peer has sent since.
  const bool Older = E.Version_ != 0 && E.Version_ < S.HostsVersion_;
  const bool EndedEra = Older && eraOf(E.Version_) < S.StoreService_.Era_;
  recordEra(S, E.Version_, Out);
  const bool NewEra =
      S.HostsVersion_ != 0 && eraOf(E.Version_) > eraOf(S.HostsVersion_);
  if (!EndedEra)
    recordHostListRead(S, NewEra, Out);
  if (S.HostsReading_ && S.Now_ - S.HostsReadAt_ > LoggedReadTime)
    logEvent(Out, "host_list_read_slow",
             {{"took_ms", std::to_string(S.Now_ - S.HostsReadAt_)},
              {"version", std::to_string(E.Version_)}});
  S.HostsReading_ = false;
  const Millis CompleteAt = E.CompleteAt_ < 0 ? S.Now_ : E.CompleteAt_;
  S.HostsReadAt_ = CompleteAt;
  if (Older)
    return;
  adoptHostList(S, E.Hosts_, E.Version_, Out);
  S.HostsCompleteAt_ = std::max(S.HostsCompleteAt_, CompleteAt);
  confirmHostList(S, S.HostsCompleteAt_, S.Self_.Name_, Out);
}

void onHostsReadFailed(State &S, Effects &Out) {
  S.HostsReading_ = false;
  S.HostsFailedAt_ = S.Now_;
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
  // Requests should wait in this process rather than at the upstream, because
  // its queues are fair and a waiting call can still go to another upstream.
  if (E.WaitingRequests_ > TargetUpstreamBacklog) {
    const double SlotsPerRequest = static_cast<double>(E.Slots_) /
                                   (E.RunningRequests_ + E.WaitingRequests_);
    U.ConcurrencyLimit_ =
        std::max(1.0, U.ConcurrencyLimit_ *
                          std::max(MinBacklogLimitFactor, SlotsPerRequest));
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
  if (E.Leaving_ && !U.IsPeer_)
    markLeaving(S, U.Row_.Host_, "answer", Out);
  if (!U.IsPeer_)
    recordNamedLimit(S, Found->second, E.Limit_, Out);
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
    // The call waits for a moment, so that it does not return to the upstream
    // at once.
    U.AvoidUntil_ = std::max(U.AvoidUntil_, S.Now_ + RefusalBackoff);
    break;
  case AttemptFailure::Misdirected:
    // Another host has the address now, so the expected one no longer runs.
    U.AvoidUntil_ = S.Now_ + MaxFailureBackoff;
    break;
  case AttemptFailure::NotSent:
    U.NotSentAt_ = S.Now_;
    recordHostUnreached(S, Index);
    recordFailure(S, U);
    break;
  case AttemptFailure::ProtocolError:
  case AttemptFailure::UpstreamError:
    recordFailure(S, U);
    break;
  case AttemptFailure::ConnectionBroken:
  case AttemptFailure::TimedOut:
    // This may be a fault of the connection only. If the upstream is at fault,
    // the next connection fails and is counted.
    break;
  }
}

void tickUpstreams(State &S, Effects &Out) {
  tickMissingHosts(S, Out);
  tickCopiedHosts(S);
  tickHostList(S, Out);
  // On the platform the host list says which hosts are leaving.
  const bool HasCloud =
      !S.Settings_.CloudUrl_.empty() && !S.Settings_.servesPlatform();
  if (HasCloud &&
      (S.NoticesReadAt_ < 0 || S.Now_ - S.NoticesReadAt_ >= NoticeReadPeriod)) {
    S.NoticesReadAt_ = S.Now_;
    Out.push_back(ReadReclaimNotices{});
  }
  // On the platform a probe costs as much as a request, and answers give enough
  // information about the upstreams.
  if (S.Settings_.servesPlatform())
    return;
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
