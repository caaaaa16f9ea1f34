// Fault soak: real processes, random faults from outside that overlap, and the
// promises checked from what callers, servers and the platform saw.
#include "platformcluster.h"
#include "soakchecks.h"

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

constexpr Millis CallerTimeout = 15000;   // ms
constexpr Millis RecoveryTimeout = 15000; // ms after the last fault, to serve
constexpr Millis MaxFaultGap = 900;       // ms between the starts of two faults
constexpr Millis MaxFaultDuration = 3500; // ms that one lasts
constexpr Millis ConfigCheckInterval =
    150; // ms between two configuration checks
constexpr Millis ServerFaultMargin =
    5000;                                 // ms for which a server fault is felt
constexpr std::int64_t FirstExtraKey = 1; // number of the first extra key

/// Sends one request and notes what its caller sees.
RequestObservation sendAndObserve(KeepAliveClient &Open,
                                  RequestObservation Request,
                                  const std::string &Url,
                                  const std::string &Key) {
  HttpRequest R;
  R.Url_ = Url;
  R.Headers_ = PlatformCluster::requestHeaders(Request.Id_, Key);
  R.TotalTimeout_ = CallerTimeout;
  Request.SentAt_ = monotonicNow();
  const HttpResult Result =
      Open.sendRequest(std::move(R), [&](std::string_view Bytes) {
        Request.Body_.append(Bytes);
      });
  Request.End_ = Result.End_;
  Request.Status_ = Result.Status_;
  Request.EndedAt_ = monotonicNow();
  return Request;
}

class SoakRun : private PlatformCluster {
public:
  SoakRun() : RandomGenerator_(static_cast<std::uint64_t>(FLAGS_seed)) {}

  /// @return true if every promise held
  bool runSoak();

private:
  struct ScheduledTask {
    Millis DueAt_;
    std::function<void()> Task_;
    bool operator<(const ScheduledTask &Other) const {
      return DueAt_ > Other.DueAt_;
    }
  };

  Millis drawBetween(Millis Least, Millis Most) {
    return std::uniform_int_distribution<Millis>(Least, Most)(RandomGenerator_);
  }
  int drawIndex(int Count) {
    return static_cast<int>(drawBetween(0, Count - 1));
  }

  void scheduleTask(Millis In, std::function<void()> Do) {
    ScheduledTasks_.push({monotonicNow() + In, std::move(Do)});
  }

  /// Does what was put off until now.
  void runDueTasks();

  // --- Faults ---
  void injectRandomFault();
  void stopEntry(int I, int Signal);
  void freezeEntry(int I, Millis Time);
  void injectStoreFault(Millis Time);
  void injectRelayFault(Relay &R, Millis Time);
  void injectServerFault(int I, Millis Time);
  void replaceServer(int I, Millis Time);
  void publishNextConfiguration();
  void restartEndedEntries();
  void recordServerFault(Millis Time);

  // --- Load ---
  void sendRequests(int Caller);
  void checkConfigurationOrder(int I);

  // --- Judgement ---
  void checkGuarantees();
  bool waitForRecovery();

  std::mt19937_64 RandomGenerator_;
  std::priority_queue<ScheduledTask> ScheduledTasks_;
  std::atomic<bool> Running_{true};
  std::atomic<std::int64_t> NewestKey_{
      FirstExtraKey}; ///< Number of the newest key.
  std::mutex Mutex_;  ///< Guards what follows.
  SoakRecord Record_;
  GuaranteeViolations Violations_{FLAGS_seed};
  std::vector<bool> Frozen_;            ///< Processes that stand still.
  std::vector<int> ServerIncarnations_; ///< Newest life of each server.
};

void SoakRun::runDueTasks() {
  while (!ScheduledTasks_.empty() &&
         ScheduledTasks_.top().DueAt_ <= monotonicNow()) {
    const auto Do = ScheduledTasks_.top().Task_;
    ScheduledTasks_.pop();
    Do();
  }
}

// --- Faults ---

void SoakRun::injectRandomFault() {
  const int I = drawIndex(FLAGS_entries);
  const int Server = drawIndex(FLAGS_servers);
  const Millis Time = drawBetween(100, MaxFaultDuration);
  switch (drawIndex(10)) {
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
    injectStoreFault(Time);
    break;
  case 4:
    injectRelayFault(*StoreRelays_[I], Time);
    break;
  case 5:
    recordServerFault(Time);
    injectRelayFault(*ServerRelays_[Server], Time);
    break;
  case 6:
    injectServerFault(Server, Time);
    break;
  case 7:
    replaceServer(Server, Time);
    break;
  default:
    publishNextConfiguration();
    break;
  }
}

void SoakRun::stopEntry(int I, int Signal) {
  const std::lock_guard Lock(Mutex_);
  EntryIncarnation &Life = Record_.Incarnations_[I].back();
  if (Life.EndedAt_ != NoTime || Life.KilledAt_ != NoTime ||
      (Signal == SIGTERM && Life.SigtermAt_ != NoTime))
    return;
  (Signal == SIGTERM ? Life.SigtermAt_ : Life.KilledAt_) = monotonicNow();
  Life.FrozenAfterSigterm_ = Life.FrozenAfterSigterm_ || Frozen_[I];
  entryProcess(I).sendSignal(Signal);
}

void SoakRun::freezeEntry(int I, Millis Time) {
  const std::lock_guard Lock(Mutex_);
  EntryIncarnation &Life = Record_.Incarnations_[I].back();
  if (Frozen_[I] || Life.EndedAt_ != NoTime || Life.KilledAt_ != NoTime)
    return;
  Frozen_[I] = true;
  Life.FrozenAfterSigterm_ =
      Life.FrozenAfterSigterm_ || Life.SigtermAt_ != NoTime;
  Record_.FrozenIntervals_[I].push_back(
      {monotonicNow(), monotonicNow() + Time});
  entryProcess(I).sendSignal(SIGSTOP);
  scheduleTask(Time, [this, I] {
    const std::lock_guard Again(Mutex_);
    Frozen_[I] = false;
    entryProcess(I).sendSignal(SIGCONT);
  });
}

void SoakRun::injectStoreFault(Millis Time) {
  static constexpr std::array<const char *, 2> Switches = {"outage", "silent"};
  const int Which = drawIndex(4);
  if (Which == 2) {
    sendControl(StorePort_, {{"lose_answers", 2}});
  } else if (Which == 3) {
    sendControl(StorePort_, {{"forget", true}});
  } else {
    sendControl(StorePort_, {{Switches[Which], true}});
    scheduleTask(Time, [this, Which] {
      sendControl(StorePort_, {{Switches[Which], false}});
    });
  }
}

void SoakRun::injectRelayFault(Relay &R, Millis Time) {
  constexpr std::array Faults = {RelayFault::Delayed,
                                 RelayFault::TargetBytesLost,
                                 RelayFault::AllBytesLost};
  const int Which = drawIndex(4);
  if (Which == 3) {
    R.resetConnections();
    return;
  }
  R.setFault(Faults[Which]);
  scheduleTask(Time, [&R] { R.setFault(RelayFault::None); });
}

void SoakRun::injectServerFault(int I, Millis Time) {
  recordServerFault(Time);
  const int Port = ServerPorts_[I];
  switch (drawIndex(3)) {
  case 0:
    sendControl(Port, {{"refuse", true}});
    scheduleTask(Time, [Port] { sendControl(Port, {{"refuse", false}}); });
    break;
  case 1:
    sendControl(Port, {{"lose_answers", 3}});
    break;
  default:
    sendControl(Port, {{"cut_after", drawBetween(1, 15)}});
    scheduleTask(Time, [Port] { sendControl(Port, {{"cut_after", -1}}); });
  }
}

void SoakRun::replaceServer(int I, Millis Time) {
  // A server that drains goes; another one comes in its place.
  registerServer(I, "draining", ServerIncarnations_[I]);
  scheduleTask(Time, [this, I] {
    registerServer(I, "ready", ++ServerIncarnations_[I]);
  });
}

/// The key `v<n>` comes, `v<n-1>` goes.
void SoakRun::publishNextConfiguration() {
  const std::int64_t Next = NewestKey_ + 1;
  putRecord("keyed.op", "config",
            configJson(fmt::format(R"(["k1","v{}"])", Next)));
  NewestKey_ = Next;
}

void SoakRun::recordServerFault(Millis Time) {
  const std::lock_guard Lock(Mutex_);
  const Millis Now = monotonicNow();
  Record_.ServerFaults_.push_back({Now, Now + Time + ServerFaultMargin});
}

/// Notes ends of processes and starts those again that were ended.
void SoakRun::restartEndedEntries() {
  const std::lock_guard Lock(Mutex_);
  for (int I = 0; I < FLAGS_entries; ++I) {
    EntryIncarnation &Life = Record_.Incarnations_[I].back();
    const Millis Now = monotonicNow();
    if (Life.EndedAt_ != NoTime || !entryProcess(I).exitStatus())
      continue;
    Life.EndedAt_ = Now;
    const bool Asked = Life.SigtermAt_ != NoTime || Life.KilledAt_ != NoTime;
    if (!Asked)
      Violations_.recordViolation(
          "own_exits", fmt::format("entry-{} ended by itself with {}", I,
                                   *entryProcess(I).exitStatus()));
    if (Life.SigtermAt_ != NoTime && Life.KilledAt_ == NoTime &&
        !Life.FrozenAfterSigterm_ &&
        Now - Life.SigtermAt_ > DrainTimeout + ExitDetectionMargin)
      Violations_.recordViolation(
          "drain_late",
          fmt::format("entry-{} took {} ms", I, Now - Life.SigtermAt_));
    scheduleTask(drawBetween(0, MaxFaultGap), [this, I] {
      const std::lock_guard Again(Mutex_);
      startEntry(I);
      Record_.Incarnations_[I].push_back({});
      Record_.Incarnations_[I].back().StartedAt_ = monotonicNow();
    });
  }
}

// --- Load ---

void SoakRun::sendRequests(int Caller) {
  std::mt19937_64 Random(static_cast<std::uint64_t>(FLAGS_seed) * 1000 +
                         static_cast<std::uint64_t>(Caller));
  KeepAliveClient Open;
  const std::array Paths = {"/check/1", "/book/1", "/stream/1"};
  for (int Number = 0; Running_; ++Number) {
    RequestObservation R;
    R.Id_ = fmt::format("c{}-{}", Caller, Number);
    R.Entry_ =
        static_cast<int>(Random() % static_cast<std::uint64_t>(FLAGS_entries));
    R.Kind_ = static_cast<RequestKind>(Random() % Paths.size());
    const char *Path = Paths[static_cast<std::size_t>(R.Kind_)];
    const int To = R.Entry_;
    R = sendAndObserve(Open, std::move(R), callerUrl(To, Path), "k1");
    const bool Refused = R.End_ == TransferEnd::NotSent;
    {
      const std::lock_guard Lock(Mutex_);
      Record_.Observations_.push_back(std::move(R));
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Refused ? 100 : Random() % 30));
  }
}

/// An older configuration must never come back in a life that had a newer one.
void SoakRun::checkConfigurationOrder(int I) {
  KeepAliveClient Open;
  std::size_t Life = 0;
  std::int64_t Newest = 0;
  for (int Number = 0; Running_; ++Number) {
    const auto LivesNow = [&] {
      const std::lock_guard Lock(Mutex_);
      return Record_.Incarnations_[I].size();
    };
    const std::size_t Before = LivesNow();
    if (Before != Life)
      Newest = 0;
    Life = Before;
    const auto Accepts = [&](std::int64_t Key) {
      RequestObservation R;
      R.Id_ = fmt::format("w{}-{}-{}", I, Number, Key);
      R = sendAndObserve(Open, std::move(R), callerUrl(I, "/check/1"),
                         fmt::format("v{}", Key));
      return R.End_ == TransferEnd::Complete && R.Status_ == 200;
    };
    const std::int64_t Key = NewestKey_;
    if (Newest > FirstExtraKey && Accepts(Newest - 1) && LivesNow() == Life) {
      const std::lock_guard Lock(Mutex_);
      Violations_.recordViolation(
          "config_reverts",
          fmt::format("entry-{} took v{} after v{}", I, Newest - 1, Newest));
    }
    if (Accepts(Key) && LivesNow() == Life)
      Newest = std::max(Newest, Key);
    std::this_thread::sleep_for(std::chrono::milliseconds(ConfigCheckInterval));
  }
}

// --- Judgement ---

void SoakRun::checkGuarantees() {
  std::map<std::string, int> Runs;
  for (int I = 0; I < FLAGS_servers; ++I) {
    const Json Books = fetchServerState(I);
    for (const auto &[Id, Count] : Books["runs"].items())
      Runs[Id] += Count.get<int>();
  }
  checkRequests(Record_, Runs, Violations_);
  const Json Answer = sendControl(CloudPort_, Json::object()).parseJson();
  checkControlCalls(Record_, Answer["duties"], Violations_);
}

/// @return true if all processes serve again once nothing is at fault
bool SoakRun::waitForRecovery() {
  for (int I = 0; I < FLAGS_entries; ++I)
    if (!waitUntil(
            [&] {
              restartEndedEntries();
              runDueTasks();
              const std::string Key = fmt::format("v{}", NewestKey_.load());
              return sendGet(I, "/check/1", "last", Key).Status_ == 200;
            },
            RecoveryTimeout))
      return false;
  return true;
}

bool SoakRun::runSoak() {
  PlatformOptions Given;
  Given.FolderName_ = fmt::format("soak-{}", FLAGS_seed);
  Given.EntryCount_ = FLAGS_entries;
  Given.ServerCount_ = FLAGS_servers;
  Given.UseRelays_ = true;
  if (!startAll(Given)) {
    fmt::print("seed={} not started, logs are in {}\n", FLAGS_seed, Folder_);
    return false;
  }
  Record_.Incarnations_.assign(FLAGS_entries, {{}});
  Record_.FrozenIntervals_.resize(FLAGS_entries);
  Frozen_.resize(FLAGS_entries);
  ServerIncarnations_.assign(FLAGS_servers, 1);
  publishNextConfiguration();
  std::vector<std::thread> Threads;
  for (int I = 0; I < FLAGS_callers; ++I)
    Threads.emplace_back([this, I] { sendRequests(I); });
  for (int I = 0; I < std::min(FLAGS_entries, FLAGS_callers); ++I)
    Threads.emplace_back([this, I] { checkConfigurationOrder(I); });

  const Millis End =
      monotonicNow() + static_cast<Millis>(FLAGS_minutes * 60000);
  Millis NextFault = monotonicNow() + MaxFaultGap;
  while (monotonicNow() < End || !ScheduledTasks_.empty()) {
    restartEndedEntries();
    runDueTasks();
    if (monotonicNow() < End && monotonicNow() >= NextFault) {
      NextFault = monotonicNow() + drawBetween(20, MaxFaultGap);
      injectRandomFault();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  if (!waitForRecovery())
    Violations_.recordViolation("not_recovered", "a process does not serve");
  Running_ = false;
  for (std::thread &Thread : Threads)
    Thread.join();
  checkGuarantees();
  Violations_.printCounts();
  if (!Violations_.hasNoViolations())
    fmt::print("seed={} logs are in {}\n", FLAGS_seed, Folder_);
  return Violations_.hasNoViolations();
}

} // namespace

} // namespace endivewharf::harness

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  endivewharf::harness::SoakRun Soak;
  return Soak.runSoak() ? 0 : 1;
}
