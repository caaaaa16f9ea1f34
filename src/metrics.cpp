// Fills a new registry at each scrape from the counters of the process. No
// label contains the name of a request, caller or host, to keep the cardinality
// low.
#include "metrics.h"

#include "lease.h"
#include "membership.h"

#include <algorithm>
#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace endivewharf {

namespace {

void addCounter(prometheus::Registry &Registry, const std::string &Name,
                const std::string &Help, std::int64_t Value,
                const prometheus::Labels &Labels = {}) {
  prometheus::BuildCounter()
      .Name("endivewharf_" + Name + "_total")
      .Help(Help)
      .Register(Registry)
      .Add(Labels)
      .Increment(static_cast<double>(Value));
}

void addGauge(prometheus::Registry &Registry, const std::string &Name,
              const std::string &Help, double Value,
              const prometheus::Labels &Labels = {}) {
  prometheus::BuildGauge()
      .Name("endivewharf_" + Name)
      .Help(Help)
      .Register(Registry)
      .Add(Labels)
      .Set(Value);
}

/// Adds the latency histograms, converted from milliseconds to seconds.
void addLatencyHistograms(prometheus::Registry &Registry,
                          const Counters &ProcessCounters) {
  constexpr double MsPerSecond = 1000;
  prometheus::Histogram::BucketBoundaries Bounds;
  for (const Millis Bound : LatencyBucketBounds)
    Bounds.push_back(static_cast<double>(Bound) / MsPerSecond);
  for (const auto &[LatencyName, ByKind] : ProcessCounters.Latencies_) {
    auto &Family = prometheus::BuildHistogram()
                       .Name("endivewharf_" + LatencyName + "_seconds")
                       .Help("time from a request's arrival")
                       .Register(Registry);
    for (const auto &[Kind, H] : ByKind)
      Family.Add({{"kind", Kind}}, Bounds)
          .ObserveMultiple({H.Counts_.begin(), H.Counts_.end()},
                           H.Sum_ / MsPerSecond);
  }
}

/// Adds how a service's hosts differ in speed, and how fast the typical one is.
void addSpeeds(prometheus::Registry &Registry, const State &S) {
  HostHashes Hosts;
  for (const Upstream &U : S.Upstreams_)
    if (!U.Leaving_ && U.Listed_)
      Hosts[U.Row_.Service_].push_back(instanceHash(U.Row_.Host_));
  for (const auto &[Service, Hashes] : Hosts) {
    const SlownessRange Range = slownessRange(S.Speeds_, Hashes);
    for (const auto &[Of, Value] :
         {std::pair("least", Range.Least_), std::pair("median", Range.Median_),
          std::pair("largest", Range.Largest_)})
      addGauge(Registry, "upstream_slowness",
               "time of an upstream relative to the typical one", Value,
               {{"service", Service}, {"of", Of}});
    addGauge(Registry, "prompt_token_seconds",
             "time in which a typical upstream reads a token of a prompt",
             typicalPromptMs(S.Speeds_, Service, 1) / 1000,
             {{"service", Service}});
  }
}

} // namespace

std::string renderMetrics(const State &S, const PeerTrafficTotals &Traffic,
                          const ConnectionTotals &Connections,
                          std::int64_t MalformedAnswers) {
  prometheus::Registry Registry;
  for (const auto &[Name, Value] : S.Counters_.Values_)
    addCounter(Registry, Name, "events since the start", Value);
  addLatencyHistograms(Registry, S.Counters_);
  addCounter(Registry, "peer_bytes_sent", "bytes to other processes",
             Traffic.PeerBytesSent_);
  addCounter(Registry, "peer_bytes_received", "bytes from other processes",
             Traffic.PeerBytesReceived_);
  for (const auto &[Type, Bytes] : Traffic.PeerBytesByType_)
    addCounter(Registry, "peer_message_bytes", "bytes sent by message type",
               Bytes, {{"type", Type}});
  const auto Usable =
      std::count_if(S.Upstreams_.begin(), S.Upstreams_.end(),
                    [](const Upstream &U) { return !U.Leaving_ && U.Listed_; });
  const auto Alive =
      std::count_if(S.Membership_.Peers_.begin(), S.Membership_.Peers_.end(),
                    [](const auto &Entry) { return Entry.second.Alive_; });
  addGauge(Registry, "caller_connections", "open connections of callers",
           static_cast<double>(Connections.Connections_));
  addGauge(Registry, "caller_bytes", "bytes allocated for them",
           static_cast<double>(Connections.Bytes_));
  addCounter(Registry, "caller_connections_closed",
             "connections closed to free memory or descriptors",
             Connections.ClosedCount_);
  addCounter(Registry, "caller_requests_refused",
             "requests refused because they are malformed or too long",
             Connections.RefusedCount_);
  addCounter(Registry, "malformed_answers",
             "answers of upstreams and of the platform that are malformed",
             MalformedAnswers);
  addGauge(Registry, "ready", "1 if callers may come", S.Ready_ ? 1 : 0);
  addGauge(Registry, "settings_errors",
           "errors of the settings file, with which no process would start",
           static_cast<double>(S.SettingsErrors_));
  addGauge(Registry, "log_available", "1 if the log answers",
           S.Log_.Available_ ? 1 : 0);
  addGauge(Registry, "lease_held", "1 if this process holds the lease",
           holdsLease(S) ? 1 : 0);
  addGauge(Registry, "config_version", "offset of the configuration in force",
           static_cast<double>(S.Config_.Version_));
  addGauge(Registry, "calls", "requests under way",
           static_cast<double>(S.Calls_.size()));
  int Waiting[2] = {0, 0};
  for (const auto &[Name, Queue] : S.Admission_.ServiceQueues_) {
    Waiting[0] += Queue.WaitingCalls_[0];
    Waiting[1] += Queue.WaitingCalls_[1];
  }
  addGauge(Registry, "waiting", "requests waiting for an upstream", Waiting[0],
           {{"priority", "interactive"}});
  addGauge(Registry, "waiting", "requests waiting for an upstream", Waiting[1],
           {{"priority", "batch"}});
  for (const auto &[Name, Refused] : S.Returns_.Services_)
    addGauge(Registry, "refused_prefill_ms", "work of recently refused prompts",
             recentlyRefusedMs(Refused, S.Now_), {{"service", Name}});
  addGauge(Registry, "upstreams", "upstreams that may get work",
           static_cast<double>(Usable));
  addSpeeds(Registry, S);
  addGauge(Registry, "peers_alive", "other processes that are heard from",
           static_cast<double>(Alive));
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace endivewharf
