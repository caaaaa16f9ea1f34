// Membership at 4, 40 and 400 processes: time until all processes know a fact,
// and control traffic and processor time per process.
#include "benches.h"
#include "release.h"
#include "upstreams.h"

#include <ctime>
#include <fmt/format.h>

namespace endivewharf::bench {

namespace {

using namespace fakes;

constexpr Millis WarmUpTime = 10000;
constexpr Millis MeasurementTime = 10000;
constexpr Millis PropagationTimeout = 20000;

/// @return processor time that this program has used
double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Runs until a condition holds for every live process.
/// @return simulated milliseconds, at most PropagationTimeout
double millisUntilAll(World &W, const std::function<bool(State &)> &Condition) {
  const Millis StartedAt = W.now();
  W.runUntil(
      [&] {
        for (int I = 0; I < W.entryCount(); ++I)
          if (W.entry(I).Alive_ && !Condition(W.state(I)))
            return false;
        return true;
      },
      PropagationTimeout);
  return static_cast<double>(W.now() - StartedAt);
}

Figures runOnce(std::uint64_t Seed, int Entries) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  Options.EntryCount_ = Entries;
  Options.DataCentreCount_ = Entries < 10 ? 3 : 7;
  Options.PeerMessageLossFraction_ = 0.05;
  Options.CountPeerBytes_ = true;
  World W(Options);
  for (int I = 0; I < 3; ++I)
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}});
  W.publishConfig(exampleConfig({"m"}));
  W.runFor(WarmUpTime);
  std::int64_t BytesBefore = 0;
  for (int I = 0; I < Entries; ++I) {
    BytesBefore += W.entry(I).BytesSent_ + W.entry(I).BytesReceived_;
    W.entry(I).BytesSentByType_.clear();
  }
  const double CpuBefore = cpuSeconds();
  W.runFor(MeasurementTime);
  const double CpuUsed = cpuSeconds() - CpuBefore;
  std::int64_t BytesAfter = 0;
  for (int I = 0; I < Entries; ++I)
    BytesAfter += W.entry(I).BytesSent_ + W.entry(I).BytesReceived_;
  const double Seconds = MeasurementTime / 1000.0;
  int FalselyUnresponsive = 0;
  for (int I = 0; I < Entries; ++I)
    for (const auto &[Name, Peer] : W.state(I).Membership_.Peers_) {
      const bool SameDataCentre =
          Peer.Row_.DataCentre_ == W.state(I).Settings_.DataCentre_;
      FalselyUnresponsive += SameDataCentre && !Peer.Alive_ ? 1 : 0;
    }
  Figures Out;
  Out.add("bytes_per_second",
          static_cast<double>(BytesAfter - BytesBefore) / Entries / Seconds);
  Out.add("cpu_percent", CpuUsed / Entries / Seconds * 100);
  std::map<std::string, std::int64_t> ByType;
  for (int I = 0; I < Entries; ++I)
    for (const auto &[Type, Count] : W.entry(I).BytesSentByType_)
      ByType[Type] += Count;
  for (const auto &[Type, Count] : ByType)
    Out.add("sent_per_second_" + Type,
            static_cast<double>(Count) / Entries / Seconds);
  Out.add("false_silent", FalselyUnresponsive);
  // Only the processes of the first data centre can read the notice from the
  // platform; all others learn it by gossip.
  for (int I = 1; I < Options.DataCentreCount_; ++I)
    W.setPlatformUnreachable(W.dataCentre(I), true);
  const InstanceId Host = W.Engines_[0].Row_.Host_;
  W.publishReclaimNotice(Host, 5000);
  Out.add("leave_ms",
          millisUntilAll(W, [&](State &S) { return isLeaving(S, Host); }));
  // Likewise for a configuration: only the first data centre reads the log.
  const LogOffset BaseVersion = W.state(0).Config_.Version_;
  const LogOffset NewVersion =
      W.appendLogRecord(ConfigRecord{BaseVersion, exampleConfig({"m", "n"})});
  Out.add("config_ms", millisUntilAll(W, [&](State &S) {
            return S.Config_.Version_ >= NewVersion;
          }));
  for (int I = 1; I < Options.DataCentreCount_; ++I)
    W.setPlatformUnreachable(W.dataCentre(I), false);
  W.appendLogRecord(
      ReleaseNoteRecord{NoOffset, "n", W.unixNow() + 60000, {{"m", "v2"}}});
  W.runFor(3000);
  // Without the log the verdict spreads only by gossip.
  W.LogUnavailable_ = true;
  const auto &Rollouts = W.state(0).Release_.Rollouts_;
  if (Rollouts.count("m") > 0) {
    Effects UnusedEffects;
    const LogOffset NoteVersion = Rollouts.at("m").Row_.NoteVersion_;
    // runOnState() executes the gossip effects that rollBackVersion() adds.
    W.runOnState(0, [&](State &S, endivewharf::Effects &Out) {
      rollBackVersion(S, {NoteVersion, "m", "bench"}, Out);
    });
    Out.add("verdict_ms", millisUntilAll(W, [&](State &S) {
              const auto Found = S.Release_.Rollouts_.find("m");
              return Found != S.Release_.Rollouts_.end() &&
                     Found->second.Row_.RolledBack_;
            }));
  }
  return Out;
}

} // namespace

void benchMembership(int Seeds) {
  for (const int Entries : {4, 40, 400}) {
    const int Runs = Entries == 400 ? std::min(Seeds, 2) : Seeds;
    const auto Medians =
        runSeeds(fmt::format("membership_{}", Entries), Runs,
                 [&](std::uint64_t Seed) { return runOnce(Seed, Entries); });
    const auto CheckTarget = [&](const char *Key, double Target) {
      printTargetResult(fmt::format("{}_{}", Entries, Key), Medians.at(Key),
                        Target, true);
    };
    CheckTarget("leave_ms", 2000);
    CheckTarget("verdict_ms", 2000);
    CheckTarget("config_ms", 7000);
    CheckTarget("bytes_per_second", 4096);
    CheckTarget("cpu_percent", 1.7);
    CheckTarget("false_silent", 0);
  }
}

} // namespace endivewharf::bench
