// Composes the modules into one reducer: passes each event to the module that
// handles it and runs the periodic work of all modules.
#include "core.h"

#include "admission.h"
#include "aggregators.h"
#include "calls.h"
#include "claims.h"
#include "controllog.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "fleet.h"
#include "handover.h"
#include "hedges.h"
#include "lease.h"
#include "membership.h"
#include "operatorlog.h"
#include "outcomes.h"
#include "quota.h"
#include "quotaexchange.h"
#include "release.h"
#include "requestlimits.h"
#include "resume.h"
#include "rollout.h"
#include "routed.h"
#include "summaries.h"
#include "suspects.h"
#include "trials.h"
#include "upstreams.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr Millis PlatformCallsLogPeriod = 10000; // ms between two log lines
constexpr Millis StartLogTimeout = 1500;         // ms

/// Starts to serve once the process has the newest configuration: that of the
/// log when it has been read to its tail or, if this takes longer than
/// StartLogTimeout, that of the peers.
void tickStart(State &S, Effects &Out) {
  if (S.Stage_ != Stage::Starting || S.Config_.Version_ == NoOffset)
    return;
  const bool FromLog =
      S.Settings_.servesPlatform()
          ? S.OperatorLog_.ReachedTail_
          : S.Log_.ReachedTail_ && !S.Control_.AwaitingSnapshot_;
  const bool FromPeers = S.Now_ - S.StartedAt_ > StartLogTimeout;
  if (!FromLog && !FromPeers)
    return;
  S.Stage_ = Stage::Serving;
  logEvent(Out, "serving",
           {{"config", std::to_string(S.Config_.Version_)},
            {"source", FromLog ? "log" : "peers"}});
}

/// Logs periodically how often this process has called the platform.
void logPlatformCalls(State &S, Effects &Out) {
  if (!S.Settings_.servesPlatform() ||
      S.Now_ - S.PlatformCallsLoggedAt_ < PlatformCallsLogPeriod)
    return;
  S.PlatformCallsLoggedAt_ = S.Now_;
  const auto CounterText = [&](const char *Name) {
    return std::to_string(S.Counters_.Values_[Name]);
  };
  logEvent(Out, "platform_calls",
           {{"own_log_reads", CounterText("own_log_reads")},
            {"operator_log_reads", CounterText("operator_log_reads")},
            {"host_list_reads", CounterText("host_list_reads")},
            {"appends", CounterText("log_appends")},
            {"follows", isStoreReader(S) ? "yes" : "no"},
            {"collector", isAggregator(S) ? "self" : S.Membership_.Aggregator_},
            {"peer_messages", CounterText("peer_messages")}});
}

void onTick(State &S, Effects &Out) {
  tickUpstreams(S, Out);
  tickRequestLimits(S, Out);
  tickAdmission(S);
  tickMembership(S, Out);
  tickControlSnapshots(S, Out);
  tickLease(S, Out);
  tickClaims(S);
  tickRolloutEvaluation(S, Out);
  tickSuspects(S, Out);
  tickTrials(S, Out);
  if (S.Settings_.servesPlatform()) {
    tickServiceRollouts(S, Out);
    tickSummaries(S, Out);
    tickQuotas(S, Out);
    tickQuotaExchange(S, Out);
    tickUsage(S, Out);
    tickFleet(S, Out);
    tickStalledStreams(S, Out);
    tickHedges(S, Out);
    tickRoutedCalls(S, Out);
  }
  logPlatformCalls(S, Out);
  tickCalls(S, Out);
  tickStop(S, Out);
  tickStart(S, Out);
}

/// Visitor that passes each event to its handler.
struct EventVisitor {
  State &S_;
  Effects &Out_;

  void operator()(const RequestArrived &E) const {
    onRequestArrived(S_, E, Out_);
  }
  void operator()(const ResumeArrived &E) const {
    onResumeArrived(S_, E, Out_);
  }
  void operator()(const CallerDisconnected &E) const {
    onCallerDisconnected(S_, E, Out_);
  }
  void operator()(const AttemptHead &E) const { onAttemptHead(S_, E); }
  void operator()(const UpstreamNotice &E) const {
    onUpstreamNotice(S_, E, Out_);
  }
  void operator()(const OperatorLogRead &E) const {
    onOperatorLogRead(S_, E, Out_);
  }
  void operator()(const OperatorLogReadFailed &) const {
    onOperatorLogReadFailed(S_, Out_);
  }
  void operator()(const RolloutStatusWritten &E) const {
    onRolloutStatusWritten(S_, E, Out_);
  }
  void operator()(const ScaleAnswered &E) const {
    onScaleAnswered(S_, E, Out_);
  }
  void operator()(const UsageReportAnswered &E) const {
    onUsageReportAnswered(S_, E, Out_);
  }
  void operator()(const AttemptToken &E) const { onAttemptToken(S_, E, Out_); }
  void operator()(const AttemptEnded &E) const { onAttemptEnded(S_, E, Out_); }
  void operator()(const AttemptFailed &E) const {
    onAttemptFailed(S_, E, Out_);
  }
  void operator()(const ServiceAnswer &E) const {
    onServiceAnswer(S_, E, Out_);
  }
  void operator()(const PeerReceived &E) const { onPeerReceived(S_, E, Out_); }
  void operator()(const LogRead &E) const { onLogRead(S_, E, Out_); }
  void operator()(const LogReadFailed &) const { onLogReadFailed(S_, Out_); }
  void operator()(const AppendEnded &E) const { onAppendEnded(S_, E, Out_); }
  void operator()(const HostsRead &E) const {
    onHostsRead(S_, E, Out_);
    dispatchQueuedCalls(S_, Out_);
  }
  void operator()(const HostsReadFailed &) const {
    onHostsReadFailed(S_, Out_);
  }
  void operator()(const ReclaimNoticesRead &E) const {
    onReclaimNoticesRead(S_, E, Out_);
    for (const ReclaimNotice &Notice : E.Notices_)
      if (Notice.Host_.Name_ == S_.Self_.Name_)
        beginStop(S_, Notice.TimeLeft_, "reclaim", Out_);
  }
  void operator()(const ProbeEnded &E) const {
    onProbeEnded(S_, E, Out_);
    dispatchQueuedCalls(S_, Out_);
  }
  void operator()(const SettingsChanged &E) const {
    S_.SettingsErrors_ = 0;
    const double UsageWindow = S_.Settings_.Bounds_.UsageWindow_;
    S_.Settings_.Limits_ = E.Settings_.Limits_;
    S_.Settings_.Bounds_ = E.Settings_.Bounds_;
    if (S_.Settings_.Bounds_.UsageWindow_ != UsageWindow)
      restartUsageWindows(S_, UsageWindow);
    S_.Settings_.SeedContacts_ = E.Settings_.SeedContacts_;
    S_.Settings_.Regions_ = E.Settings_.Regions_;
    logEvent(Out_, "settings_changed", {});
  }
  void operator()(const SettingsRejected &E) const {
    S_.SettingsErrors_ = E.Errors_;
  }
  void operator()(const Tick &) const { onTick(S_, Out_); }
  void operator()(const StopRequested &E) const {
    beginStop(S_, E.TimeLeft_, "signal", Out_);
  }
};

} // namespace

Effects reduce(State &S, const Event &E) {
  Effects Out;
  S.Now_ = E.Now_;
  S.UnixMs_ = E.UnixMs_;
  S.Random_ ^= E.Random_;
  if (S.StartedAt_ < 0)
    S.StartedAt_ = E.Now_;
  std::visit(EventVisitor{S, Out}, E.Body_);
  startLogRequests(S, Out);
  startOperatorLogRead(S, Out);
  flushQuotaMessages(S, Out);
  flushTrialMessages(S, Out);
  S.Ready_ = S.Stage_ == Stage::Serving;
  return Out;
}

State makeState(const Settings &From, std::uint64_t Incarnation) {
  State S;
  S.Settings_ = From;
  S.Self_ = {From.Name_, Incarnation};
  S.Random_ = Incarnation | 1;
  for (const PeerSettings &Peer : From.Peers_) {
    PeerState NewPeer;
    NewPeer.Row_.Instance_.Name_ = Peer.Name_;
    NewPeer.Row_.DataCentre_ = Peer.DataCentre_;
    NewPeer.Row_.Zone_ = Peer.Zone_;
    S.Membership_.Peers_[Peer.Name_] = NewPeer;
  }
  return S;
}

} // namespace endivewharf
