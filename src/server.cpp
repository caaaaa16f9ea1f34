// Event loop of an entry process: queues the edges' events, reduces them and
// dispatches the effects to the edges.
#include "server.h"

#include "attempts.h"
#include "boundedsocket.h"
#include "core.h"
#include "diagnostics.h"
#include "dump.h"
#include "http.h"
#include "logger.h"
#include "metrics.h"
#include "peers.h"
#include "platform.h"
#include "platform/adapter.h"

#include <chrono>
#include <csignal>
#include <deque>
#include <fmt/format.h>
#include <fstream>
#ifdef __GLIBC__
#include <malloc.h>
#endif
#include <random>
#include <sstream>
#include <sys/resource.h>

namespace endivewharf {

namespace {

constexpr auto TickPeriod = std::chrono::milliseconds(50);
constexpr auto SettingsPollInterval = std::chrono::seconds(1);
constexpr auto ExitPollInterval = std::chrono::milliseconds(20);
/// Longest wait for answers to be written before the process exits.
constexpr auto FinalWriteTimeout = std::chrono::seconds(2);
constexpr rlim_t TargetOpenFileLimit = 65536;
/// Size of a block from which it is returned to the system when it is freed.
constexpr int LargeBlockBytes = 256 << 10;
/// Free bytes that the allocator keeps for smaller blocks.
constexpr int KeptFreeBytes = 8 << 20;
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;

/// @return Unix time in ms
std::int64_t unixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// @return incarnation number of this run: the Unix time in ms, so that a later
///         run has a larger number
std::uint64_t newIncarnation() { return static_cast<std::uint64_t>(unixNow()); }

/// Raises the limit of open files to `TargetOpenFileLimit`, or to the highest
/// that the system permits.
/// @return the limit in force
std::size_t raiseOpenFileLimit() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur =
      std::min(Limit.rlim_max, std::max(Limit.rlim_cur, TargetOpenFileLimit));
  setrlimit(RLIMIT_NOFILE, &Limit);
  getrlimit(RLIMIT_NOFILE, &Limit);
  return Limit.rlim_cur;
}

/// Makes the allocator return large blocks to the system when they are freed,
/// whatever was allocated before.
void fixAllocatorThresholds() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, KeptFreeBytes);
#endif
}

/// @return the file's text; empty if it can't be read
std::string readFileText(const std::string &Path) {
  std::ifstream Stream(Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

/// Owns the state and the edges of one entry process. As a visitor of effects
/// it dispatches each of them to its edge.
class EntryProcess {
public:
  EntryProcess(const Settings &InitialSettings, std::string SettingsPath)
      : Settings_(InitialSettings), SettingsPath_(std::move(SettingsPath)),
        State_(makeState(Settings_, newIncarnation())), HttpClient_(Io_),
        AttemptRunner_(HttpClient_, makeEventSink(),
                       InitialSettings.Limits_.MaxAnswerBytes_),
        PlatformClient_(HttpClient_, Settings_, makeEventSink()),
        Http_(Io_, Settings_, makeEventSink(), makeOperatorViews()),
        PeerLinks_(Io_, Settings_, State_.Self_,
                   [this](PeerEnvelope E) {
                     enqueueEvent(PeerReceived{std::move(E)});
                   }),
        TickTimer_(Io_), ExitTimer_(Io_), SettingsTimer_(Io_),
        Signals_(Io_, SIGTERM, SIGINT, SIGHUP) {
    if (Settings_.servesPlatform())
      Adapter_ = std::make_unique<platform::Adapter>(
          Io_, HttpClient_, Settings_, makeEventSink());
  }

  /// Listens on all addresses and runs the event loop until the process stops.
  /// @return exit code of the process
  int run() {
    if (const auto Listening = PeerLinks_.listen(); !Listening) {
      log(LogLevel::Error, "listen_failed",
          {{"which", "peers"}, {"reason", describe(Listening.error())}});
      return ExitFailed;
    }
    const auto OnListenFailure = [this](const std::string &Reason) {
      log(LogLevel::Error, "listen_failed", {{"reason", Reason}});
      ExitCode_ = ExitFailed;
      Io_.stop();
    };
    Http_.listen(OnListenFailure);
    if (Adapter_)
      Adapter_->CallerListener_.listen(OnListenFailure);
    log(LogLevel::Info, "started",
        {{"listen", formatAddress(Settings_.CallerListen_)},
         {"data_centre", Settings_.DataCentre_},
         {"incarnation", std::to_string(State_.Self_.Incarnation_)}});
    logSubstitutes(Settings_);
    SettingsText_ = readFileText(SettingsPath_);
    pollSettingsFile();
    waitForSignal();
    tick();
    Io_.run();
    log(LogLevel::Info, "exiting", {});
    flushLog();
    return ExitCode_;
  }

  // Effects other than answers to callers.
  void operator()(const StartAttempt &E) {
    if (E.Kind_ == CallKind::Routed)
      Adapter_->UpstreamClient_.start(E);
    else
      AttemptRunner_.start(E);
  }
  void operator()(const CancelAttempt &E) {
    AttemptRunner_.cancel(E);
    if (Adapter_)
      Adapter_->UpstreamClient_.cancel(E);
  }
  void operator()(const SetPeerAddress &E) { PeerLinks_.setPeerAddress(E); }
  void operator()(const ReadOperatorLog &E) {
    Adapter_->StoreClient_.readOperatorLog(E);
  }
  void operator()(const WriteRolloutStatus &E) {
    Adapter_->StoreClient_.writeRolloutStatus(E);
  }
  void operator()(const ScaleHosts &E) {
    Adapter_->ControlClient_.sendScaleRequest(E);
  }
  void operator()(const ReportUsage &E) {
    Adapter_->ControlClient_.sendUsageReport(E);
  }
  void operator()(const SendToPeer &E) { PeerLinks_.send(E); }
  void operator()(const SendToPeers &E) { PeerLinks_.send(E); }
  void operator()(const ReconnectPeer &E) { PeerLinks_.reconnect(E.Peer_); }
  void operator()(const ReadLog &E) {
    if (Adapter_)
      Adapter_->StoreClient_.readControlLog(E);
    else
      PlatformClient_.readLog(E);
  }
  void operator()(const AppendToLog &E) {
    if (Adapter_)
      Adapter_->StoreClient_.appendToControlLog(E);
    else
      PlatformClient_.appendToLog(E);
  }
  void operator()(const ReadHosts &E) {
    if (Adapter_)
      Adapter_->StoreClient_.readHosts(E);
    else
      PlatformClient_.readHosts();
  }
  void operator()(const ReadReclaimNotices &) {
    PlatformClient_.readReclaimNotices();
  }
  void operator()(const ProbeUpstream &E) { PlatformClient_.probeUpstream(E); }
  void operator()(const LoadModelVersion &E) {
    PlatformClient_.sendLoadCommand(E);
  }
  void operator()(const WriteLogLine &E) {
    log(E.Warning_ ? LogLevel::Warning : LogLevel::Info, E.Event_, E.Fields_);
  }
  void operator()(const CloseListener &) {
    if (Adapter_)
      Adapter_->CallerListener_.closeListener();
    else
      Http_.closeListener();
  }
  void operator()(const ExitProcess &) { exitWhenWritten(monotonicNow()); }
  /// Sends an answer to a caller: through the platform's caller listener if the
  /// process serves the platform and the listener handles the effect, otherwise
  /// through the HTTP edge.
  template <typename AnswerEffect> void operator()(const AnswerEffect &E) {
    if constexpr (std::is_invocable_v<platform::CallerListener &,
                                      const AnswerEffect &>)
      if (Adapter_) {
        Adapter_->CallerListener_(E);
        return;
      }
    if constexpr (std::is_invocable_v<HttpEdge &, const AnswerEffect &>)
      Http_(E);
  }

private:
  EventSink makeEventSink() {
    return [this](EventBody Body) { enqueueEvent(std::move(Body)); };
  }

  OperatorViews makeOperatorViews() {
    return {[this] { return dumpState(State_); },
            [this] {
              return renderMetrics(State_,
                                   {PeerLinks_.bytesSent(),
                                    PeerLinks_.bytesReceived(),
                                    PeerLinks_.bytesByType()},
                                   CallerConnections::instance().totals(),
                                   HttpClient_.malformedAnswers());
            },
            [this] { return State_.Ready_; }};
  }

  /// Queues an event for the reducer. The queue is processed from the event
  /// loop and not on the caller's stack, so that the effects of an event never
  /// call into the edge that is reporting it.
  void enqueueEvent(EventBody Body) {
    EventQueue_.push_back(std::move(Body));
    if (ProcessingScheduled_)
      return;
    ProcessingScheduled_ = true;
    asio::post(Io_, [this] { processQueuedEvents(); });
  }

  /// Reduces all queued events and carries out their effects in order.
  void processQueuedEvents() {
    while (!EventQueue_.empty()) {
      Event Next{monotonicNow(), unixNow(), RandomGenerator_(),
                 std::move(EventQueue_.front())};
      EventQueue_.pop_front();
      for (const Effect &E : reduce(State_, Next))
        std::visit(*this, E);
    }
    ProcessingScheduled_ = false;
  }

  /// Queues a tick and flushes the log, once every `TickPeriod`.
  void tick() {
    enqueueEvent(Tick{});
    CallerConnections::instance().maintain();
    flushLog();
    TickTimer_.expires_after(TickPeriod);
    TickTimer_.async_wait([this](const asio::error_code &Error) {
      if (!Error)
        tick();
    });
  }

  /// Reloads the settings on SIGHUP and requests a stop on SIGTERM or SIGINT.
  void waitForSignal() {
    Signals_.async_wait([this](const asio::error_code &Error, int Number) {
      if (Error)
        return;
      if (Number == SIGHUP) {
        reloadSettings();
      } else {
        if (Adapter_)
          Adapter_->CallerListener_.closeConnectionsAfterAnswers();
        enqueueEvent(StopRequested{0});
      }
      waitForSignal();
    });
  }

  /// Reloads the settings when the text of their file has changed, since the
  /// file may be replaced without a signal.
  void pollSettingsFile() {
    SettingsTimer_.expires_after(SettingsPollInterval);
    SettingsTimer_.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      if (readFileText(SettingsPath_) != SettingsText_)
        reloadSettings();
      pollSettingsFile();
    });
  }

  /// Logs which values of the settings file are not those in use.
  void logSubstitutes(const Settings &Read) {
    if (!Read.KeysLeftOut_.empty())
      log(LogLevel::Info, "settings_left_out",
          {{"keys", fmt::format("{}", fmt::join(Read.KeysLeftOut_, ","))}});
    for (const FileError &Replaced : Read.ReplacedValues_)
      log(LogLevel::Warning, "settings_value_replaced",
          {{"reason", describe(Replaced)}});
  }

  /// Reads the settings file. If it has errors, they are logged and the present
  /// settings stay in force.
  void reloadSettings() {
    SettingsText_ = readFileText(SettingsPath_);
    const auto Read = readSettings(SettingsPath_);
    if (Read) {
      log(LogLevel::Info, "settings_read", {{"file", SettingsPath_}});
      logSubstitutes(*Read);
      enqueueEvent(SettingsChanged{*Read});
      return;
    }
    for (const FileError &Error : Read.error())
      log(LogLevel::Warning, "settings_kept", {{"reason", describe(Error)}});
    enqueueEvent(SettingsRejected{Read.error().size()});
  }

  /// Stops the event loop once all answers are written or `FinalWriteTimeout`
  /// has passed.
  /// @param WaitStart monotonic time in ms at which the wait began
  void exitWhenWritten(Millis WaitStart) {
    const bool MayWait = std::chrono::milliseconds(monotonicNow() - WaitStart) <
                         FinalWriteTimeout;
    const bool Idle =
        Http_.isIdle() && (!Adapter_ || Adapter_->CallerListener_.isIdle());
    if (Idle || !MayWait) {
      Io_.stop();
      return;
    }
    ExitTimer_.expires_after(ExitPollInterval);
    ExitTimer_.async_wait([this, WaitStart](const asio::error_code &Error) {
      if (!Error)
        exitWhenWritten(WaitStart);
    });
  }

  void log(LogLevel Level, std::string_view Event, const LogFields &Fields) {
    writeLogLine(Level, Event, Fields);
  }

  Settings Settings_;
  std::string SettingsPath_;
  std::string SettingsText_;
  asio::io_context Io_{1};
  std::mt19937_64 RandomGenerator_{std::random_device{}()};
  State State_;
  std::deque<EventBody> EventQueue_;
  bool ProcessingScheduled_ = false;
  int ExitCode_ = ExitOk;
  HttpClient HttpClient_;
  AttemptRunner AttemptRunner_;
  PlatformClient PlatformClient_;
  HttpEdge Http_;
  PeerLinks PeerLinks_;
  /// Null if the process serves the project's own interface instead of the
  /// operators' platform.
  std::unique_ptr<platform::Adapter> Adapter_;
  asio::steady_timer TickTimer_;
  asio::steady_timer ExitTimer_;
  asio::steady_timer SettingsTimer_;
  asio::signal_set Signals_;
};

} // namespace

int runEntryProcess(const Settings &InitialSettings, const std::string &Path) {
  const std::size_t Descriptors = raiseOpenFileLimit();
  fixAllocatorThresholds();
  CallerConnections::instance().setLimits(
      {callersMemory(InitialSettings.Limits_),
       callersConnections(InitialSettings.Limits_, Descriptors)});
  curl_global_init(CURL_GLOBAL_DEFAULT);
  std::signal(SIGPIPE, SIG_IGN);
  initLog(InitialSettings.Name_);
  EntryProcess Process(InitialSettings, Path);
  return Process.run();
}

} // namespace endivewharf
