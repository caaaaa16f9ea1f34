// Fault soak: injects random, overlapping faults into real processes and checks
// the guarantees on what callers, servers and the platform observed.
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

DEFINE_int64(seed, 1, "seed of all random choices");
DEFINE_double(minutes, 0.2, "duration of the fault phase, in minutes");
DEFINE_int32(entries, 3, "number of entry processes");
DEFINE_bool(restores, false, "also let the store come back from a copy");
DEFINE_int32(servers, 4, "number of servers");
DEFINE_int32(callers, 6,
             "number of callers, each on connections that are kept open");

namespace endivewharf::harness {

namespace {

constexpr Millis CallerTimeout = 15000; // ms
/// Time after the last fault within which each process must serve again, in ms.
constexpr Millis RecoveryTimeout = 15000;
/// Longest time between the starts of two faults, and until an ended process is
/// started again, in ms.
constexpr Millis MaxFaultGap = 900;
/// Longest duration of a fault, in ms.
constexpr Millis MaxFaultDuration = 3500;
/// Time between two configuration checks of a process, in ms.
constexpr Millis ConfigCheckInterval = 150;
/// Time after a server fault in which streams may still fail, in ms.
constexpr Millis ServerFaultMargin = 5000;
/// Time for which the store is away before it comes back from a copy, in ms.
constexpr Millis RestoreOutage = 1500;
/// Time from then until operators and servers write again, in ms.
constexpr Millis WriteAgainDelay = 500;
/// Number of the first API key that configurations replace.
constexpr std::int64_t FirstExtraKey = 1;

/// Sends one request and records what its caller observes.
RequestObservation sendAndObserve(KeepAliveClient &Client,
                                  RequestObservation Request,
                                  const std::string &Url,
                                  const std::string &Key) {
  HttpRequest R;
  R.Url_ = Url;
  R.Headers_ = PlatformCluster::requestHeaders(Request.Id_, Key);
  R.TotalTimeout_ = CallerTimeout;
  Request.SentAt_ = monotonicNow();
  const HttpResult Result =
      Client.sendRequest(std::move(R), [&](std::string_view Bytes) {
        Request.Body_.append(Bytes);
      });
  Request.End_ = Result.End_;
  Request.Status_ = Result.Status_;
  Request.EndedAt_ = monotonicNow();
  return Request;
}

/// One run of the soak with the options of the command line.
class SoakRun : private PlatformCluster {
public:
  SoakRun() : RandomGenerator_(static_cast<std::uint64_t>(FLAGS_seed)) {}

  /// @return true if no guarantee was violated
  bool runSoak();

private:
  /// Task that runs on the main thread at a later time.
  struct ScheduledTask {
    Millis DueAt_;
    std::function<void()> Task_;
    /// Orders tasks so that the earliest is at the top of the queue.
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

  void scheduleTask(Millis Delay, std::function<void()> Task) {
    ScheduledTasks_.push({monotonicNow() + Delay, std::move(Task)});
  }

  /// Runs the scheduled tasks that are due.
  void runDueTasks();

  // --- Faults ---
  void injectRandomFault();
  /// Sends SIGTERM or SIGKILL, unless the process has ended or has received it.
  void stopEntry(int I, int Signal);
  void freezeEntry(int I, Millis Duration);
  void injectStoreFault(Millis Duration);
  void restoreStore(Millis CopyAge);
  void injectRelayFault(Relay &R, Millis Duration);
  void injectServerFault(int I, Millis Duration);
  void replaceServer(int I, Millis Duration);
  void publishNextConfiguration();
  void restartEndedEntries();
  void recordServerFault(Millis Duration);

  // --- Load ---
  void sendRequests(int Caller);
  void checkConfigurationOrder(int I);

  // --- Checks ---
  void checkGuarantees();
  bool waitForRecovery();

  std::mt19937_64 RandomGenerator_;
  std::priority_queue<ScheduledTask> ScheduledTasks_;
  std::atomic<bool> Running_{true};
  std::atomic<std::int64_t> NewestKey_{
      FirstExtraKey}; ///< Number of the newest published key.
  std::mutex Mutex_;  ///< Guards the members below.
  SoakRecord Record_;
  GuaranteeViolations Violations_{FLAGS_seed};
  std::vector<bool> Frozen_;            ///< Frozen processes.
  std::vector<int> ServerIncarnations_; ///< Newest incarnation of each server.
};

void SoakRun::runDueTasks() {
  while (!ScheduledTasks_.empty() &&
         ScheduledTasks_.top().DueAt_ <= monotonicNow()) {
    const auto Task = ScheduledTasks_.top().Task_;
    ScheduledTasks_.pop();
    Task();
  }
}

// --- Faults ---

void SoakRun::injectRandomFault() {
  const int I = drawIndex(FLAGS_entries);
  const int Server = drawIndex(FLAGS_servers);
  const Millis Duration = drawBetween(100, MaxFaultDuration);
  switch (drawIndex(10)) {
  case 0:
    stopEntry(I, SIGTERM);
    break;
  case 1:
    stopEntry(I, SIGKILL);
    break;
  case 2:
    freezeEntry(I, Duration);
    break;
  case 3:
    injectStoreFault(Duration);
    break;
  case 4:
    injectRelayFault(*StoreRelays_[I], Duration);
    break;
  case 5:
    recordServerFault(Duration);
    injectRelayFault(*ServerRelays_[Server], Duration);
    break;
  case 6:
    injectServerFault(Server, Duration);
    break;
  case 7:
    replaceServer(Server, Duration);
    break;
  default:
    publishNextConfiguration();
    break;
  }
}

void SoakRun::stopEntry(int I, int Signal) {
  const std::lock_guard Lock(Mutex_);
  EntryIncarnation &Incarnation = Record_.Incarnations_[I].back();
  if (Incarnation.EndedAt_ != NoTime || Incarnation.KilledAt_ != NoTime ||
      (Signal == SIGTERM && Incarnation.SigtermAt_ != NoTime))
    return;
  (Signal == SIGTERM ? Incarnation.SigtermAt_ : Incarnation.KilledAt_) =
      monotonicNow();
  Incarnation.FrozenAfterSigterm_ =
      Incarnation.FrozenAfterSigterm_ || Frozen_[I];
  entryProcess(I).sendSignal(Signal);
}

void SoakRun::freezeEntry(int I, Millis Duration) {
  const std::lock_guard Lock(Mutex_);
  EntryIncarnation &Incarnation = Record_.Incarnations_[I].back();
  if (Frozen_[I] || Incarnation.EndedAt_ != NoTime ||
      Incarnation.KilledAt_ != NoTime)
    return;
  Frozen_[I] = true;
  Incarnation.FrozenAfterSigterm_ =
      Incarnation.FrozenAfterSigterm_ || Incarnation.SigtermAt_ != NoTime;
  Record_.FrozenIntervals_[I].push_back(
      {monotonicNow(), monotonicNow() + Duration});
  entryProcess(I).sendSignal(SIGSTOP);
  scheduleTask(Duration, [this, I] {
    const std::lock_guard TaskLock(Mutex_);
    Frozen_[I] = false;
    entryProcess(I).sendSignal(SIGCONT);
  });
}

void SoakRun::injectStoreFault(Millis Duration) {
  static constexpr std::array<const char *, 2> ControlKeys = {"outage",
                                                              "silent"};
  const int Choice = drawIndex(FLAGS_restores ? 5 : 4);
  if (Choice == 4) {
    restoreStore(Duration);
  } else if (Choice == 2) {
    sendControl(StorePort_, {{"lose_answers", 2}});
  } else if (Choice == 3) {
    sendControl(StorePort_, {{"forget", true}});
  } else {
    sendControl(StorePort_, {{ControlKeys[Choice], true}});
    scheduleTask(Duration, [this, Choice] {
      sendControl(StorePort_, {{ControlKeys[Choice], false}});
    });
  }
}

/// The store comes back from a copy; then operators and servers write again.
void SoakRun::restoreStore(Millis CopyAge) {
  sendControl(StorePort_, {{"copy", true}});
  scheduleTask(CopyAge, [this] {
    sendControl(StorePort_, {{"outage", true}});
    scheduleTask(RestoreOutage, [this] {
      sendControl(StorePort_, {{"restore", true}, {"outage", false}});
      scheduleTask(WriteAgainDelay, [this] {
        publishNextConfiguration();
        for (int I = 0; I < FLAGS_servers; ++I)
          registerServer(I, "ready", ServerIncarnations_[I]);
      });
    });
  });
}

void SoakRun::injectRelayFault(Relay &R, Millis Duration) {
  constexpr std::array Faults = {RelayFault::Delayed,
                                 RelayFault::TargetBytesLost,
                                 RelayFault::AllBytesLost};
  const int Choice = drawIndex(4);
  if (Choice == 3) {
    R.resetConnections();
    return;
  }
  R.setFault(Faults[Choice]);
  scheduleTask(Duration, [&R] { R.setFault(RelayFault::None); });
}

void SoakRun::injectServerFault(int I, Millis Duration) {
  recordServerFault(Duration);
  const int Port = ServerPorts_[I];
  switch (drawIndex(3)) {
  case 0:
    sendControl(Port, {{"refuse", true}});
    scheduleTask(Duration, [Port] { sendControl(Port, {{"refuse", false}}); });
    break;
  case 1:
    sendControl(Port, {{"lose_answers", 3}});
    break;
  default:
    sendControl(Port, {{"cut_after", drawBetween(1, 15)}});
    scheduleTask(Duration, [Port] { sendControl(Port, {{"cut_after", -1}}); });
  }
}

void SoakRun::replaceServer(int I, Millis Duration) {
  // A draining server ends; a new incarnation replaces it.
  registerServer(I, "draining", ServerIncarnations_[I]);
  scheduleTask(Duration, [this, I] {
    registerServer(I, "ready", ++ServerIncarnations_[I]);
  });
}

/// Publishes a configuration that accepts the key `v<n>` instead of `v<n-1>`.
void SoakRun::publishNextConfiguration() {
  const std::int64_t NextKey = NewestKey_ + 1;
  putRecord("keyed.op", "config",
            configJson(fmt::format(R"(["k1","v{}"])", NextKey)));
  NewestKey_ = NextKey;
}

void SoakRun::recordServerFault(Millis Duration) {
  const std::lock_guard Lock(Mutex_);
  const Millis Now = monotonicNow();
  Record_.ServerFaults_.push_back({Now, Now + Duration + ServerFaultMargin});
}

/// Records the exits of processes, checks their reasons and drain times, and
/// schedules the restarts.
void SoakRun::restartEndedEntries() {
  const std::lock_guard Lock(Mutex_);
  for (int I = 0; I < FLAGS_entries; ++I) {
    EntryIncarnation &Incarnation = Record_.Incarnations_[I].back();
    const Millis Now = monotonicNow();
    if (Incarnation.EndedAt_ != NoTime || !entryProcess(I).exitStatus())
      continue;
    Incarnation.EndedAt_ = Now;
    const bool StopRequested =
        Incarnation.SigtermAt_ != NoTime || Incarnation.KilledAt_ != NoTime;
    if (!StopRequested)
      Violations_.recordViolation(
          "own_exits",
          fmt::format("entry-{} exited unexpectedly with status {}", I,
                      *entryProcess(I).exitStatus()));
    if (Incarnation.SigtermAt_ != NoTime && Incarnation.KilledAt_ == NoTime &&
        !Incarnation.FrozenAfterSigterm_ &&
        Now - Incarnation.SigtermAt_ > DrainTimeout + ExitDetectionMargin)
      Violations_.recordViolation(
          "drain_late", fmt::format("entry-{} exited {} ms after SIGTERM", I,
                                    Now - Incarnation.SigtermAt_));
    scheduleTask(drawBetween(0, MaxFaultGap), [this, I] {
      const std::lock_guard TaskLock(Mutex_);
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
  KeepAliveClient Client;
  const std::array Paths = {"/check/1", "/book/1", "/stream/1"};
  for (int Number = 0; Running_; ++Number) {
    RequestObservation R;
    R.Id_ = fmt::format("c{}-{}", Caller, Number);
    R.Entry_ =
        static_cast<int>(Random() % static_cast<std::uint64_t>(FLAGS_entries));
    R.Kind_ = static_cast<RequestKind>(Random() % Paths.size());
    const char *Path = Paths[static_cast<std::size_t>(R.Kind_)];
    const int EntryIndex = R.Entry_;
    R = sendAndObserve(Client, std::move(R), callerUrl(EntryIndex, Path), "k1");
    const bool SendFailed = R.End_ == TransferEnd::NotSent;
    {
      const std::lock_guard Lock(Mutex_);
      Record_.Observations_.push_back(std::move(R));
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(SendFailed ? 100 : Random() % 30));
  }
}

/// Checks that a process that has applied a configuration does not return to an
/// older one within the same incarnation.
void SoakRun::checkConfigurationOrder(int I) {
  KeepAliveClient Client;
  std::size_t KnownCount = 0;
  std::int64_t NewestAccepted = 0;
  for (int Number = 0; Running_; ++Number) {
    const auto CountIncarnations = [&] {
      const std::lock_guard Lock(Mutex_);
      return Record_.Incarnations_[I].size();
    };
    const std::size_t CurrentCount = CountIncarnations();
    if (CurrentCount != KnownCount)
      NewestAccepted = 0;
    KnownCount = CurrentCount;
    const auto IsAccepted = [&](std::int64_t Key) {
      RequestObservation R;
      R.Id_ = fmt::format("w{}-{}-{}", I, Number, Key);
      R = sendAndObserve(Client, std::move(R), callerUrl(I, "/check/1"),
                         fmt::format("v{}", Key));
      return R.End_ == TransferEnd::Complete && R.Status_ == 200;
    };
    const std::int64_t Key = NewestKey_;
    if (NewestAccepted > FirstExtraKey && IsAccepted(NewestAccepted - 1) &&
        CountIncarnations() == KnownCount) {
      const std::lock_guard Lock(Mutex_);
      Violations_.recordViolation(
          "config_reverts",
          fmt::format("entry-{} accepted key v{} after key v{}", I,
                      NewestAccepted - 1, NewestAccepted));
    }
    if (IsAccepted(Key) && CountIncarnations() == KnownCount)
      NewestAccepted = std::max(NewestAccepted, Key);
    std::this_thread::sleep_for(std::chrono::milliseconds(ConfigCheckInterval));
  }
}

// --- Checks ---

void SoakRun::checkGuarantees() {
  std::map<std::string, int> RunsById;
  for (int I = 0; I < FLAGS_servers; ++I) {
    const Json ServerState = fetchServerState(I);
    for (const auto &[Id, Count] : ServerState["runs"].items())
      RunsById[Id] += Count.get<int>();
  }
  checkRequests(Record_, RunsById, Violations_);
  const Json Answer = sendControl(CloudPort_, Json::object()).parseJson();
  checkControlCalls(Record_, Answer["duties"], Violations_);
}

/// @return true if all processes serve requests after the last fault has ended
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
  PlatformOptions Options;
  Options.FolderName_ = fmt::format("soak-{}", FLAGS_seed);
  Options.EntryCount_ = FLAGS_entries;
  Options.ServerCount_ = FLAGS_servers;
  Options.UseRelays_ = true;
  if (!startAll(Options)) {
    fmt::print("seed={} the cluster did not start, logs are in {}\n",
               FLAGS_seed, Folder_);
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
    Violations_.recordViolation("not_recovered",
                                "a process does not answer /check/1 with 200");
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
