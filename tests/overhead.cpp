// Measures the latency that an entry process adds to a plain answer and to the
// first event of a stream: sends the same requests to a server directly and
// through an entry process.
#include "platformcluster.h"

#include "report.h"

#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>

DEFINE_int32(requests, 1000,
             "number of requests of each kind, sent directly and sent through "
             "an entry process");

namespace endivewharf::harness {

namespace {

using Clock = std::chrono::steady_clock;

double msSince(Clock::time_point StartedAt) {
  return std::chrono::duration<double, std::milli>(Clock::now() - StartedAt)
      .count();
}

/// @return time until the first byte of the body, in ms, or a negative number
/// if there was no complete answer
double measureFirstByte(KeepAliveClient &Client, const std::string &Url,
                        std::vector<std::string> Headers) {
  HttpRequest R;
  R.Url_ = Url;
  R.Headers_ = std::move(Headers);
  const auto StartedAt = Clock::now();
  double FirstByteMs = -1;
  const HttpResult Result =
      Client.sendRequest(std::move(R), [&](std::string_view) {
        if (FirstByteMs < 0)
          FirstByteMs = msSince(StartedAt);
      });
  return isOk(Result) ? FirstByteMs : -1;
}

/// Returns the load average and the CPU pressure, which show whether other work
/// on the machine distorts the results.
std::string machineState() {
  std::string Load;
  std::getline(std::ifstream("/proc/loadavg"), Load);
  std::string Pressure = "unknown";
  std::getline(std::ifstream("/proc/pressure/cpu"), Pressure);
  return fmt::format("load=\"{}\" cpu_pressure=\"{}\"", Load, Pressure);
}

/// Sends all requests of one kind over one path.
/// @param Failed incremented for each request without a complete answer
/// @return times until the first byte of the other requests, in ms
std::vector<double>
measureRequests(KeepAliveClient &Client, const std::string &Url,
                const std::vector<std::string> &ExtraHeaders, int &Failed) {
  std::vector<double> TimesMs;
  for (int I = 0; I < FLAGS_requests; ++I) {
    std::vector<std::string> Headers =
        PlatformCluster::requestHeaders(fmt::format("o{}", I), "k1");
    Headers.insert(Headers.end(), ExtraHeaders.begin(), ExtraHeaders.end());
    const double TimeMs = measureFirstByte(Client, Url, std::move(Headers));
    if (TimeMs < 0)
      ++Failed;
    else
      TimesMs.push_back(TimeMs);
  }
  return TimesMs;
}

int measureOverhead() {
  PlatformCluster Cluster;
  PlatformOptions Options;
  Options.FolderName_ = "overhead";
  Options.EntryCount_ = 1;
  Options.ServerCount_ = 1;
  Options.EventIntervalMs_ = 1;
  if (!Cluster.startAll(Options)) {
    fmt::print("the cluster did not start, logs are in {}\n", Cluster.Folder_);
    return 1;
  }
  const std::string Server =
      fmt::format("http://127.0.0.1:{}", Cluster.ServerPorts_[0]);
  fmt::print("before: {}\n", machineState());
  int Failed = 0;
  for (const char *Kind : {"check", "stream"}) {
    const std::string Path = fmt::format("/{}/1", Kind);
    KeepAliveClient DirectClient;
    KeepAliveClient RelayedClient;
    const auto DirectTimes = measureRequests(DirectClient, Server + Path,
                                             {"Expect-Instance: s0"}, Failed);
    const auto RelayedTimes =
        measureRequests(RelayedClient, Cluster.callerUrl(0, Path), {}, Failed);
    if (DirectTimes.empty() || RelayedTimes.empty())
      break;
    for (const double Quantile : {0.5, 0.99}) {
      const double DirectMs = bench::quantile(DirectTimes, Quantile);
      const double RelayedMs = bench::quantile(RelayedTimes, Quantile);
      fmt::print("{}_p{:.0f}: direct_ms={:.3f} relayed_ms={:.3f} "
                 "added_ms={:.3f}\n",
                 Kind, Quantile * 100, DirectMs, RelayedMs,
                 RelayedMs - DirectMs);
    }
  }
  fmt::print("after: {}\nfailed={}\n", machineState(), Failed);
  return Failed == 0 ? 0 : 1;
}

} // namespace

} // namespace endivewharf::harness

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return endivewharf::harness::measureOverhead();
}
