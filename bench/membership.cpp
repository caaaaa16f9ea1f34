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

constexpr Millis WarmUp = 10000;
constexpr Millis QuietTime = 10000;
constexpr Millis GiveUp = 20000;

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Time until a condition holds for every process.
double timeToAll(World &W, const std::function<bool(State &)> &Knows) {
  const Millis Begin = W.now();
  W.runUntil(
      [&] {
        for (int I = 0; I < W.entries(); ++I)
          if (W.entry(I).Alive_ && !Knows(W.state(I)))
            return false;
        return true;
      },
      GiveUp);
  return static_cast<double>(W.now() - Begin);
}

Figures runOnce(std::uint64_t Seed, int Entries) {
  WorldOptions Options;
  Options.Seed_ = Seed;
  Options.Entries_ = Entries;
  Options.DataCentres_ = Entries < 10 ? 3 : 7;
  Options.Loss_ = 0.05;
  Options.CountBytes_ = true;
  World W(Options);
  for (int I = 0; I < 3; ++I)
    W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}});
  W.publishConfig(exampleConfig({"m"}));
  W.run(WarmUp);
  std::int64_t BytesBefore = 0;
  for (int I = 0; I < Entries; ++I) {
    BytesBefore += W.entry(I).BytesSent_ + W.entry(I).BytesReceived_;
    W.entry(I).BytesByType_.clear();
  }
  const double CpuBefore = cpuSeconds();
  W.run(QuietTime);
  const double Cpu = cpuSeconds() - CpuBefore;
  std::int64_t Bytes = 0;
  for (int I = 0; I < Entries; ++I)
    Bytes += W.entry(I).BytesSent_ + W.entry(I).BytesReceived_;
  const double Seconds = QuietTime / 1000.0;
  int FalseSilent = 0;
  for (int I = 0; I < Entries; ++I)
    for (const auto &[Name, M] : W.state(I).Membership_.Members_) {
      const bool Near = M.Row_.DataCentre_ == W.state(I).Settings_.DataCentre_;
      FalseSilent += Near && !M.Alive_ ? 1 : 0;
    }
  Figures Out;
  Out.add("bytes_per_second",
          static_cast<double>(Bytes - BytesBefore) / Entries / Seconds);
  Out.add("cpu_percent", Cpu / Entries / Seconds * 100);
  std::map<std::string, std::int64_t> ByType;
  for (int I = 0; I < Entries; ++I)
    for (const auto &[Type, Count] : W.entry(I).BytesByType_)
      ByType[Type] += Count;
  for (const auto &[Type, Count] : ByType)
    Out.add("sent_per_second_" + Type,
            static_cast<double>(Count) / Entries / Seconds);
  Out.add("false_silent", FalseSilent);
  // Only one data centre gets the notice from the platform.
  for (int I = 1; I < Options.DataCentres_; ++I)
    W.cutPlatform(W.dataCentre(I), true);
  const Life Host = W.Engines_[0].Row_.Host_;
  W.notice(Host, 5000);
  Out.add("leave_ms",
          timeToAll(W, [&](State &S) { return isLeaving(S, Host); }));
  // A configuration too, learnt by the others from their peers.
  const LogOffset Base = W.state(0).Config_.Version_;
  const LogOffset Offset =
      W.publish(ConfigRecord{Base, exampleConfig({"m", "n"})});
  Out.add("config_ms",
          timeToAll(W, [&](State &S) { return S.Config_.Version_ >= Offset; }));
  for (int I = 1; I < Options.DataCentres_; ++I)
    W.cutPlatform(W.dataCentre(I), false);
  W.publish(NoteRecord{NoOffset, "n", W.unixNow() + 60000, {{"m", "v2"}}});
  W.run(3000);
  W.LogDown_ = true; // the verdict has only the peers to spread by
  const auto &Moves = W.state(0).Release_.Moves_;
  if (Moves.count("m") > 0) {
    Effects Effects;
    const LogOffset Note = Moves.at("m").Row_.Note_;
    // Any event lets the process send what it has to say.
    W.inject(0, [&](State &S, endivewharf::Effects &Out) {
      markBad(S, {Note, "m", "bench"}, Out);
    });
    Out.add("verdict_ms", timeToAll(W, [&](State &S) {
              const auto Found = S.Release_.Moves_.find("m");
              return Found != S.Release_.Moves_.end() &&
                     Found->second.Row_.Bad_;
            }));
  }
  return Out;
}

} // namespace

void benchMembership(int Seeds) {
  for (const int Entries : {4, 40, 400}) {
    const int Runs = Entries == 400 ? std::min(Seeds, 2) : Seeds;
    const auto M =
        report(fmt::format("membership_{}", Entries), Runs,
               [&](std::uint64_t Seed) { return runOnce(Seed, Entries); });
    const auto Judge = [&](const char *Key, double Target) {
      judgeTarget(fmt::format("{}_{}", Entries, Key), M.at(Key), Target, true);
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
