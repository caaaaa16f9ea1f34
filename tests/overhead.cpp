// What the platform's path adds to a plain answer and to a stream's first
// event: the same requests to a server directly and through an entry process.
#include "platformcluster.h"

#include "report.h"

#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>

DEFINE_int32(requests, 1000, "of each kind, on each way");

namespace endivewharf::harness {

namespace {

using Clock = std::chrono::steady_clock;

double msSince(Clock::time_point Then) {
  return std::chrono::duration<double, std::milli>(Clock::now() - Then).count();
}

/// @return ms until the first byte of the body; below 0: no whole answer
double measureFirstByte(KeepAliveClient &Way, const std::string &Url,
                        std::vector<std::string> Headers) {
  HttpRequest R;
  R.Url_ = Url;
  R.Headers_ = std::move(Headers);
  const auto Start = Clock::now();
  double First = -1;
  const HttpResult Result =
      Way.sendRequest(std::move(R), [&](std::string_view) {
        if (First < 0)
          First = msSince(Start);
      });
  return isOk(Result) ? First : -1;
}

/// Processes that want to run and time that tasks waited for a processor: a
/// busy machine shows beside the figures.
std::string machineState() {
  std::string Load;
  std::getline(std::ifstream("/proc/loadavg"), Load);
  std::string Pressure = "unknown";
  std::getline(std::ifstream("/proc/pressure/cpu"), Pressure);
  return fmt::format("load=\"{}\" cpu_pressure=\"{}\"", Load, Pressure);
}

/// @return times of all requests by one way; those without an answer are
/// counted apart
std::vector<double> measureRequests(KeepAliveClient &Way,
                                    const std::string &Url,
                                    const std::vector<std::string> &More,
                                    int &Failed) {
  std::vector<double> Times;
  for (int I = 0; I < FLAGS_requests; ++I) {
    std::vector<std::string> Headers =
        PlatformCluster::requestHeaders(fmt::format("o{}", I), "k1");
    Headers.insert(Headers.end(), More.begin(), More.end());
    const double Time = measureFirstByte(Way, Url, std::move(Headers));
    if (Time < 0)
      ++Failed;
    else
      Times.push_back(Time);
  }
  return Times;
}

int measureOverhead() {
  PlatformCluster Cluster;
  PlatformOptions Given;
  Given.FolderName_ = "overhead";
  Given.EntryCount_ = 1;
  Given.ServerCount_ = 1;
  Given.EventIntervalMs_ = 1;
  if (!Cluster.startAll(Given)) {
    fmt::print("not started, logs are in {}\n", Cluster.Folder_);
    return 1;
  }
  const std::string Server =
      fmt::format("http://127.0.0.1:{}", Cluster.ServerPorts_[0]);
  fmt::print("before: {}\n", machineState());
  int Failed = 0;
  for (const char *Kind : {"check", "stream"}) {
    const std::string Path = fmt::format("/{}/1", Kind);
    KeepAliveClient Direct;
    KeepAliveClient Relayed;
    const auto Alone =
        measureRequests(Direct, Server + Path, {"Expect-Instance: s0"}, Failed);
    const auto Through =
        measureRequests(Relayed, Cluster.callerUrl(0, Path), {}, Failed);
    if (Alone.empty() || Through.empty())
      break;
    for (const double Part : {0.5, 0.99}) {
      const double Base = bench::quantile(Alone, Part);
      const double All = bench::quantile(Through, Part);
      fmt::print("{}_p{:.0f}: direct_ms={:.3f} relayed_ms={:.3f} "
                 "added_ms={:.3f}\n",
                 Kind, Part * 100, Base, All, All - Base);
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
