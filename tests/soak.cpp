// Fault soak: real processes, random faults from outside that overlap, and the
// promises checked from what callers, servers and the platform saw.
#include "platformcluster.h"
#include "soakjudge.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <mutex>
#include <queue>
#include <random>

DEFINE_int64(seed, 1, "all random choices follow from it");
DEFINE_double(minutes, 0.2, "time under faults");
DEFINE_int32(entries, 3, "entry processes");
DEFINE_int32(servers, 4, "servers");
DEFINE_int32(callers, 6, "callers, each on connections that stay open");

namespace endivewharf::harness {

namespace {

constexpr Millis CallerLimit = 15000;    // ms
constexpr Millis RecoveryTime = 15000;   // ms after the last fault, to serve
constexpr Millis MaxGap = 900;           // ms between the starts of two faults
constexpr Millis MaxFault = 3500;        // ms that one lasts
constexpr Millis ProbePause = 150;       // ms between two configuration checks
constexpr Millis ServerFaultTail = 5000; // ms for which a server fault is felt
constexpr std::int64_t FirstSwing = 1;   // number of the first extra key

/// Sends one request and notes what its caller sees.
Seen ask(Connection &Open, Seen Request, const std::string &Url,
         const std::string &Key) {
  HttpRequest R;
  R.Url_ = Url;
  R.Headers_ = PlatformCluster::headers(Request.Id_, Key);
  R.TotalLimit_ = CallerLimit;
  Request.SentAt_ = monotonicNow();
  const HttpResult Result = Open.ask(std::move(R), [&](std::string_view Bytes) {
    Request.Body_.append(Bytes);
  });
  Request.End_ = Result.End_;
  Request.Status_ = Result.Status_;
  Request.EndedAt_ = monotonicNow();
  return Request;
}

class Soak : private PlatformCluster {
public:
  Soak() : Random_(static_cast<std::uint64_t>(FLAGS_seed)) {}

  /// @return true if every promise held
  bool run();

private:
  struct Later {
    Millis At_;
    std::function<void()> Do_;
    bool operator<(const Later &Other) const { return At_ > Other.At_; }
  };

  Millis draw(Millis Least, Millis Most) {
    return std::uniform_int_distribution<Millis>(Least, Most)(Random_);
  }
  int pick(int Count) { return static_cast<int>(draw(0, Count - 1)); }

  void later(Millis In, std::function<void()> Do) {
    Later_.push({monotonicNow() + In, std::move(Do)});
  }

  /// Does what was put off until now.
  void runDue();

  // --- Faults ---
  void beginFault();
  void stopEntry(int I, int Signal);
  void freezeEntry(int I, Millis Time);
  void faultStore(Millis Time);
  void faultRelay(Relay &R, Millis Time);
  void faultServer(int I, Millis Time);
  void faultRegistration(int I, Millis Time);
  void changeConfiguration();
  void reapEntries();
  void noteServerFault(Millis Time);

  // --- Load ---
  void call(int Caller);
  void watchConfiguration(int I);

  // --- Judgement ---
  void judge();
  bool recovers();

  std::mt19937_64 Random_;
  std::priority_queue<Later> Later_;
  std::atomic<bool> Running_{true};
  std::atomic<std::int64_t> Keys_{FirstSwing}; ///< Number of the newest key.
  std::mutex Mutex_;                           ///< Guards what follows.
  SoakRecord Record_;
  Verdict Verdict_{FLAGS_seed};
  std::vector<bool> Held_; ///< Processes that stand still.
  std::vector<int> Born_;  ///< Newest life of each server.
};

void Soak::runDue() {
  while (!Later_.empty() && Later_.top().At_ <= monotonicNow()) {
    const auto Do = Later_.top().Do_;
    Later_.pop();
    Do();
  }
}

// --- Faults ---

void Soak::beginFault() {
  const int I = pick(FLAGS_entries);
  const int Server = pick(FLAGS_servers);
  const Millis Time = draw(100, MaxFault);
  switch (pick(10)) {
  case 0:
    stopEntry(I, SIGTERM);
    break;
  case 1:
    stopEntry(I, SIGKILL);
    break;
  case 2:
    freezeEntry(I, Time);
    break;
  case 3:
    faultStore(Time);
    break;
  case 4:
    faultRelay(*StoreRelays_[I], Time);
    break;
  case 5:
    noteServerFault(Time);
    faultRelay(*ServerRelays_[Server], Time);
    break;
  case 6:
    faultServer(Server, Time);
    break;
  case 7:
    faultRegistration(Server, Time);
    break;
  default:
    changeConfiguration();
    break;
  }
}

void Soak::stopEntry(int I, int Signal) {
  const std::lock_guard Lock(Mutex_);
  EntryLife &Life = Record_.Lives_[I].back();
  if (Life.EndedAt_ != Never || Life.KilledAt_ != Never ||
      (Signal == SIGTERM && Life.TermAt_ != Never))
    return;
  (Signal == SIGTERM ? Life.TermAt_ : Life.KilledAt_) = monotonicNow();
  Life.Frozen_ = Life.Frozen_ || Held_[I];
  entry(I).signal(Signal);
}

void Soak::freezeEntry(int I, Millis Time) {
  const std::lock_guard Lock(Mutex_);
  EntryLife &Life = Record_.Lives_[I].back();
  if (Held_[I] || Life.EndedAt_ != Never || Life.KilledAt_ != Never)
    return;
  Held_[I] = true;
  Life.Frozen_ = Life.Frozen_ || Life.TermAt_ != Never;
  Record_.Frozen_[I].push_back({monotonicNow(), monotonicNow() + Time});
  entry(I).signal(SIGSTOP);
  later(Time, [this, I] {
    const std::lock_guard Again(Mutex_);
    Held_[I] = false;
    entry(I).signal(SIGCONT);
  });
}

void Soak::faultStore(Millis Time) {
  static constexpr std::array<const char *, 2> Switches = {"outage", "silent"};
  const int Which = pick(4);
  if (Which == 2) {
    control(Store_, {{"lose_answers", 2}});
  } else if (Which == 3) {
    control(Store_, {{"forget", true}});
  } else {
    control(Store_, {{Switches[Which], true}});
    later(Time, [this, Which] { control(Store_, {{Switches[Which], false}}); });
  }
}

void Soak::faultRelay(Relay &R, Millis Time) {
  constexpr std::array Faults = {RelayFault::Delayed, RelayFault::OneWay,
                                 RelayFault::Silent};
  const int Which = pick(4);
  if (Which == 3) {
    R.reset();
    return;
  }
  R.setFault(Faults[Which]);
  later(Time, [&R] { R.setFault(RelayFault::None); });
}

void Soak::faultServer(int I, Millis Time) {
  noteServerFault(Time);
  const int Port = Servers_[I];
  switch (pick(3)) {
  case 0:
    control(Port, {{"refuse", true}});
    later(Time, [Port] { control(Port, {{"refuse", false}}); });
    break;
  case 1:
    control(Port, {{"lose_answers", 3}});
    break;
  default:
    control(Port, {{"cut_after", draw(1, 15)}});
    later(Time, [Port] { control(Port, {{"cut_after", -1}}); });
  }
}

void Soak::faultRegistration(int I, Millis Time) {
  // A server that drains goes; another one comes in its place.
  registerServer(I, "draining", Born_[I]);
  later(Time, [this, I] { registerServer(I, "ready", ++Born_[I]); });
}

/// The key `v<n>` comes, `v<n-1>` goes.
void Soak::changeConfiguration() {
  const std::int64_t Next = Keys_ + 1;
  put("keyed.op", "config", config(fmt::format(R"(["k1","v{}"])", Next)));
  Keys_ = Next;
}

void Soak::noteServerFault(Millis Time) {
  const std::lock_guard Lock(Mutex_);
  const Millis Now = monotonicNow();
  Record_.ServerFaults_.push_back({Now, Now + Time + ServerFaultTail});
}

/// Notes ends of processes and starts those again that were ended.
void Soak::reapEntries() {
  const std::lock_guard Lock(Mutex_);
  for (int I = 0; I < FLAGS_entries; ++I) {
    EntryLife &Life = Record_.Lives_[I].back();
    const Millis Now = monotonicNow();
    if (Life.EndedAt_ != Never || !entry(I).ended())
      continue;
    Life.EndedAt_ = Now;
    const bool Asked = Life.TermAt_ != Never || Life.KilledAt_ != Never;
    if (!Asked)
      Verdict_.report("own_exits",
                      fmt::format("entry-{} ended by itself with {}", I,
                                  *entry(I).ended()));
    if (Life.TermAt_ != Never && Life.KilledAt_ == Never && !Life.Frozen_ &&
        Now - Life.TermAt_ > DrainLimit + ExitSlack)
      Verdict_.report("drain_late", fmt::format("entry-{} took {} ms", I,
                                                Now - Life.TermAt_));
    later(draw(0, MaxGap), [this, I] {
      const std::lock_guard Again(Mutex_);
      startEntry(I);
      Record_.Lives_[I].push_back({});
      Record_.Lives_[I].back().StartedAt_ = monotonicNow();
    });
  }
}

// --- Load ---

void Soak::call(int Caller) {
  std::mt19937_64 Random(static_cast<std::uint64_t>(FLAGS_seed) * 1000 +
                         static_cast<std::uint64_t>(Caller));
  Connection Open;
  const std::array Paths = {"/check/1", "/book/1", "/stream/1"};
  for (int Number = 0; Running_; ++Number) {
    Seen R;
    R.Id_ = fmt::format("c{}-{}", Caller, Number);
    R.Entry_ =
        static_cast<int>(Random() % static_cast<std::uint64_t>(FLAGS_entries));
    R.Kind_ = static_cast<RequestKind>(Random() % Paths.size());
    const char *Path = Paths[static_cast<std::size_t>(R.Kind_)];
    const int To = R.Entry_;
    R = ask(Open, std::move(R), url(To, Path), "k1");
    const bool Refused = R.End_ == TransferEnd::NotSent;
    {
      const std::lock_guard Lock(Mutex_);
      Record_.Seen_.push_back(std::move(R));
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Refused ? 100 : Random() % 30));
  }
}

/// An older configuration must never come back in a life that had a newer one.
void Soak::watchConfiguration(int I) {
  Connection Open;
  std::size_t Life = 0;
  std::int64_t Newest = 0;
  for (int Number = 0; Running_; ++Number) {
    const auto LivesNow = [&] {
      const std::lock_guard Lock(Mutex_);
      return Record_.Lives_[I].size();
    };
    const std::size_t Before = LivesNow();
    if (Before != Life)
      Newest = 0;
    Life = Before;
    const auto Accepts = [&](std::int64_t Key) {
      Seen R;
      R.Id_ = fmt::format("w{}-{}-{}", I, Number, Key);
      R = ask(Open, std::move(R), url(I, "/check/1"), fmt::format("v{}", Key));
      return R.End_ == TransferEnd::Complete && R.Status_ == 200;
    };
    const std::int64_t Key = Keys_;
    if (Newest > FirstSwing && Accepts(Newest - 1) && LivesNow() == Life) {
      const std::lock_guard Lock(Mutex_);
      Verdict_.report(
          "config_reverts",
          fmt::format("entry-{} took v{} after v{}", I, Newest - 1, Newest));
    }
    if (Accepts(Key) && LivesNow() == Life)
      Newest = std::max(Newest, Key);
    std::this_thread::sleep_for(std::chrono::milliseconds(ProbePause));
  }
}

// --- Judgement ---

void Soak::judge() {
  std::map<std::string, int> Runs;
  for (int I = 0; I < FLAGS_servers; ++I) {
    const Json Books = books(I);
    for (const auto &[Id, Count] : Books["runs"].items())
      Runs[Id] += Count.get<int>();
  }
  judgeRequests(Record_, Runs, Verdict_);
  const Json Answer = control(Cloud_, Json::object()).json();
  judgeDuties(Record_, Answer["duties"], Verdict_);
}

/// @return true if all processes serve again once nothing is at fault
bool Soak::recovers() {
  for (int I = 0; I < FLAGS_entries; ++I)
    if (!waitFor(
            [&] {
              reapEntries();
              runDue();
              const std::string Key = fmt::format("v{}", Keys_.load());
              return get(I, "/check/1", "last", Key).Status_ == 200;
            },
            RecoveryTime))
      return false;
  return true;
}

bool Soak::run() {
  PlatformOptions Given;
  Given.Name_ = fmt::format("soak-{}", FLAGS_seed);
  Given.Entries_ = FLAGS_entries;
  Given.Servers_ = FLAGS_servers;
  Given.Relays_ = true;
  if (!startAll(Given)) {
    fmt::print("seed={} not started, logs are in {}\n", FLAGS_seed, Folder_);
    return false;
  }
  Record_.Lives_.assign(FLAGS_entries, {{}});
  Record_.Frozen_.resize(FLAGS_entries);
  Held_.resize(FLAGS_entries);
  Born_.assign(FLAGS_servers, 1);
  changeConfiguration();
  std::vector<std::thread> Threads;
  for (int I = 0; I < FLAGS_callers; ++I)
    Threads.emplace_back([this, I] { call(I); });
  for (int I = 0; I < std::min(FLAGS_entries, FLAGS_callers); ++I)
    Threads.emplace_back([this, I] { watchConfiguration(I); });

  const Millis End =
      monotonicNow() + static_cast<Millis>(FLAGS_minutes * 60000);
  Millis NextFault = monotonicNow() + MaxGap;
  while (monotonicNow() < End || !Later_.empty()) {
    reapEntries();
    runDue();
    if (monotonicNow() < End && monotonicNow() >= NextFault) {
      NextFault = monotonicNow() + draw(20, MaxGap);
      beginFault();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  if (!recovers())
    Verdict_.report("not_recovered", "a process does not serve");
  Running_ = false;
  for (std::thread &Thread : Threads)
    Thread.join();
  judge();
  Verdict_.print();
  if (!Verdict_.isClean())
    fmt::print("seed={} logs are in {}\n", FLAGS_seed, Folder_);
  return Verdict_.isClean();
}

} // namespace

} // namespace endivewharf::harness

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  endivewharf::harness::Soak Soak;
  return Soak.run() ? 0 : 1;
}
