// Membership at 4, 40 and 400 processes: time until everybody knows, control
// bytes and processor time per process.
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

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Time until a condition holds for every process.
double millisUntilAll(World &W, const std::function<bool(State &)> &Knows) {
  const Millis Begin = W.now();
  W.runUntil(
      [&] {
        for (int I = 0; I < W.entryCount(); ++I)
          if (W.entry(I).Alive_ && !Knows(W.state(I)))
            return false;
        return true;
      },
      PropagationTimeout);
  return static_cast<double>(W.now() - Begin);
}

Figures runOnce(std::uint64_t Seed, int Entries) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  Options.EntryCount_ = Entries;
  Options.DataCentreCount_ = Entries < 10 ? 3 : 7;
  Options.PeerMessageLossShare_ = 0.05;
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
  const double Cpu = cpuSeconds() - CpuBefore;
  std::int64_t Bytes = 0;
  for (int I = 0; I < Entries; ++I)
    Bytes += W.entry(I).BytesSent_ + W.entry(I).BytesReceived_;
  const double Seconds = MeasurementTime / 1000.0;
  int FalseSilent = 0;
  for (int I = 0; I < Entries; ++I)
    for (const auto &[Name, M] : W.state(I).Membership_.Peers_) {
      const bool Near = M.Row_.DataCentre_ == W.state(I).Settings_.DataCentre_;
      FalseSilent += Near && !M.Alive_ ? 1 : 0;
    }
  Figures Out;
  Out.add("bytes_per_second",
          static_cast<double>(Bytes - BytesBefore) / Entries / Seconds);
  Out.add("cpu_percent", Cpu / Entries / Seconds * 100);
  std::map<std::string, std::int64_t> ByType;
  for (int I = 0; I < Entries; ++I)
    for (const auto &[Type, Count] : W.entry(I).BytesSentByType_)
      ByType[Type] += Count;
  for (const auto &[Type, Count] : ByType)
    Out.add("sent_per_second_" + Type,
            static_cast<double>(Count) / Entries / Seconds);
  Out.add("false_silent", FalseSilent);
  // Only one data centre gets the notice from the platform.
  for (int I = 1; I < Options.DataCentreCount_; ++I)
    W.setPlatformUnreachable(W.dataCentre(I), true);
  const InstanceId Host = W.Engines_[0].Row_.Host_;
  W.publishReclaimNotice(Host, 5000);
  Out.add("leave_ms",
          millisUntilAll(W, [&](State &S) { return isLeaving(S, Host); }));
  // A configuration too, learnt by the others from their peers.
  const LogOffset Base = W.state(0).Config_.Version_;
  const LogOffset Offset =
      W.appendLogRecord(ConfigRecord{Base, exampleConfig({"m", "n"})});
  Out.add("config_ms", millisUntilAll(W, [&](State &S) {
            return S.Config_.Version_ >= Offset;
          }));
  for (int I = 1; I < Options.DataCentreCount_; ++I)
    W.setPlatformUnreachable(W.dataCentre(I), false);
  W.appendLogRecord(
      ReleaseNoteRecord{NoOffset, "n", W.unixNow() + 60000, {{"m", "v2"}}});
  W.runFor(3000);
  W.LogUnavailable_ = true; // the verdict has only the peers to spread by
  const auto &Moves = W.state(0).Release_.Rollouts_;
  if (Moves.count("m") > 0) {
    Effects Effects;
    const LogOffset Note = Moves.at("m").Row_.NoteVersion_;
    // Any event lets the process send what it has to say.
    W.runOnState(0, [&](State &S, endivewharf::Effects &Out) {
      rollBackVersion(S, {Note, "m", "bench"}, Out);
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
    const auto M =
        runSeeds(fmt::format("membership_{}", Entries), Runs,
                 [&](std::uint64_t Seed) { return runOnce(Seed, Entries); });
    const auto Judge = [&](const char *Key, double Target) {
      printTargetResult(fmt::format("{}_{}", Entries, Key), M.at(Key), Target,
                        true);
    };
    Judge("leave_ms", 2000);
    Judge("verdict_ms", 2000);
    Judge("config_ms", 7000);
    Judge("bytes_per_second", 4096);
    Judge("cpu_percent", 1.7);
    Judge("false_silent", 0);
  }
}

} // namespace endivewharf::bench
