// The event loop of an entry process.
#include "server.h"

#include "attempts.h"
#include "core.h"
#include "dump.h"
#include "http.h"
#include "logger.h"
#include "metrics.h"
#include "peers.h"
#include "platform.h"
#include "platform/adapter.h"
#include "record.h"

#include <chrono>
#include <csignal>
#include <deque>
#include <fstream>
#include <random>
#include <sstream>
#include <sys/resource.h>

namespace endivewharf {

namespace {

constexpr auto TickPeriod = std::chrono::milliseconds(50);
constexpr auto FilePoll = std::chrono::seconds(1);
constexpr auto ExitPoll = std::chrono::milliseconds(20);
constexpr auto ExitGrace = std::chrono::seconds(2); // for the last writes
constexpr rlim_t WantedFiles = 65536;
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;

std::int64_t unixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// A later life always has a larger number.
std::uint64_t newIncarnation() { return static_cast<std::uint64_t>(unixNow()); }

void raiseFileLimit() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur =
      std::min(Limit.rlim_max, std::max(Limit.rlim_cur, WantedFiles));
  setrlimit(RLIMIT_NOFILE, &Limit);
}

std::string fileText(const std::string &Path) {
  std::ifstream Stream(Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

class EntryProcess {
public:
  EntryProcess(const Settings &From, std::string SettingsPath)
      : Settings_(From), SettingsPath_(std::move(SettingsPath)),
        State_(makeState(Settings_, newIncarnation())), Client_(Io_),
        Attempts_(Client_, sink(), From.Limits_.MaxAnswer_),
        Platform_(Client_, Settings_, sink()),
        Http_(Io_, Settings_, sink(), views()),
        Peers_(Io_, Settings_, State_.Self_,
               [this](PeerEnvelope E) { submit(PeerReceived{std::move(E)}); }),
        TickTimer_(Io_), ExitTimer_(Io_), FileTimer_(Io_),
        Signals_(Io_, SIGTERM, SIGINT, SIGHUP) {
    if (Settings_.onPlatform())
      Adapter_ =
          std::make_unique<platform::Adapter>(Io_, Client_, Settings_, sink());
  }

  int run() {
    if (const auto Opened = Peers_.open(); !Opened) {
      log(LogLevel::Error, "listen_failed",
          {{"which", "peers"}, {"reason", describe(Opened.error())}});
      return ExitFailed;
    }
    const auto Failed = [this](const std::string &Why) {
      log(LogLevel::Error, "listen_failed", {{"reason", Why}});
      ExitCode_ = ExitFailed;
      Io_.stop();
    };
    Http_.open(Failed);
    if (Adapter_)
      Adapter_->Door_.open(Failed);
    log(LogLevel::Info, "started",
        {{"listen", format(Settings_.Listen_)},
         {"data_centre", Settings_.DataCentre_},
         {"incarnation", std::to_string(State_.Self_.Incarnation_)}});
    SettingsText_ = fileText(SettingsPath_);
    watchSettings();
    waitForSignal();
    tick();
    Io_.run();
    log(LogLevel::Info, "exiting", {});
    flushLog();
    return ExitCode_;
  }

  // Effects that the HTTP edge does not carry out.
  void operator()(const StartAttempt &E) {
    if (E.Kind_ == CallKind::Routed)
      Adapter_->Upstreams_.start(E);
    else
      Attempts_.start(E);
  }
  void operator()(const CancelAttempt &E) {
    Attempts_.cancel(E);
    if (Adapter_)
      Adapter_->Upstreams_.cancel(E);
  }
  void operator()(const KnowPeer &E) { Peers_.know(E); }
  void operator()(const ReadOperator &E) { Adapter_->Store_.readOperators(E); }
  void operator()(const WriteMoveState &E) {
    Adapter_->Store_.writeMoveState(E);
  }
  void operator()(const OrderHosts &E) { Adapter_->Duties_.order(E); }
  void operator()(const ReportUsage &E) { Adapter_->Duties_.report(E); }
  void operator()(const SendToPeer &E) { Peers_.send(E); }
  void operator()(const SendToPeers &E) { Peers_.send(E); }
  void operator()(const ReconnectPeer &E) { Peers_.reconnect(E.Peer_); }
  void operator()(const ReadLog &E) {
    if (Adapter_)
      Adapter_->Store_.readOwn(E);
    else
      Platform_.readLog(E);
  }
  void operator()(const AppendToLog &E) {
    if (Adapter_)
      Adapter_->Store_.append(E);
    else
      Platform_.append(E);
  }
  void operator()(const ReadHosts &) {
    if (Adapter_)
      Adapter_->Store_.readHosts();
    else
      Platform_.readHosts();
  }
  void operator()(const ReadNotices &) { Platform_.readNotices(); }
  void operator()(const ProbeUpstream &E) { Platform_.probe(E); }
  void operator()(const OrderLoad &E) { Platform_.order(E); }
  void operator()(const WriteLog &E) {
    log(E.Warning_ ? LogLevel::Warning : LogLevel::Info, E.Event_, E.Fields_);
  }
  void operator()(const CloseListener &) {
    if (Adapter_)
      Adapter_->Door_.closeListener();
    else
      Http_.closeListener();
  }
  void operator()(const ExitProcess &) { exitWhenWritten(monotonicNow()); }
  /// Answers to callers: on the platform all through its door.
  template <typename E> void operator()(const E &Effect) {
    if constexpr (std::is_invocable_v<platform::Door &, const E &>)
      if (Adapter_) {
        Adapter_->Door_(Effect);
        return;
      }
    if constexpr (std::is_invocable_v<HttpEdge &, const E &>)
      Http_(Effect);
  }

private:
  EventSink sink() {
    return [this](EventBody Body) { submit(std::move(Body)); };
  }

  OperatorViews views() {
    return {[this] { return dumpState(State_); },
            [this] {
              return renderMetrics(State_,
                                   {Peers_.bytesSent(), Peers_.bytesReceived(),
                                    Peers_.bytesByType()});
            },
            [this] { return State_.Ready_; }};
  }

  /// Events are taken from a queue, so that an edge's callback never runs
  /// into the edge again.
  void submit(EventBody Body) {
    Queue_.push_back(std::move(Body));
    if (Draining_)
      return;
    Draining_ = true;
    asio::post(Io_, [this] { drain(); });
  }

  void drain() {
    while (!Queue_.empty()) {
      Event Next{monotonicNow(), unixNow(), Random_(),
                 std::move(Queue_.front())};
      Queue_.pop_front();
      for (const Effect &E : reduce(State_, Next))
        std::visit(*this, E);
    }
    Draining_ = false;
  }

  void tick() {
    submit(Tick{});
    flushLog();
    TickTimer_.expires_after(TickPeriod);
    TickTimer_.async_wait([this](const asio::error_code &Error) {
      if (!Error)
        tick();
    });
  }

  void waitForSignal() {
    Signals_.async_wait([this](const asio::error_code &Error, int Number) {
      if (Error)
        return;
      if (Number == SIGHUP) {
        rereadSettings();
      } else {
        if (Adapter_)
          Adapter_->Door_.beginClosing();
        submit(StopRequested{0});
      }
      waitForSignal();
    });
  }

  /// The file may change without a signal.
  void watchSettings() {
    FileTimer_.expires_after(FilePoll);
    FileTimer_.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      if (fileText(SettingsPath_) != SettingsText_)
        rereadSettings();
      watchSettings();
    });
  }

  void rereadSettings() {
    SettingsText_ = fileText(SettingsPath_);
    const auto Read = readSettings(SettingsPath_);
    if (Read) {
      log(LogLevel::Info, "settings_read", {{"file", SettingsPath_}});
      submit(SettingsChanged{*Read});
      return;
    }
    for (const FileMistake &Mistake : Read.error())
      log(LogLevel::Warning, "settings_kept", {{"reason", describe(Mistake)}});
  }

  void exitWhenWritten(Millis Since) {
    const bool Patient =
        std::chrono::milliseconds(monotonicNow() - Since) < ExitGrace;
    const bool Idle = Http_.isIdle() && (!Adapter_ || Adapter_->Door_.isIdle());
    if (Idle || !Patient) {
      Io_.stop();
      return;
    }
    ExitTimer_.expires_after(ExitPoll);
    ExitTimer_.async_wait([this, Since](const asio::error_code &Error) {
      if (!Error)
        exitWhenWritten(Since);
    });
  }

  void log(LogLevel Level, std::string_view Event, const LogFields &Fields) {
    writeLogLine(Level, Event, Fields);
  }

  Settings Settings_;
  std::string SettingsPath_;
  std::string SettingsText_;
  asio::io_context Io_{1};
  std::mt19937_64 Random_{std::random_device{}()};
  State State_;
  std::deque<EventBody> Queue_;
  bool Draining_ = false;
  int ExitCode_ = ExitOk;
  HttpClient Client_;
  AttemptRunner Attempts_;
  PlatformClient Platform_;
  HttpEdge Http_;
  PeerLinks Peers_;
  std::unique_ptr<platform::Adapter> Adapter_; ///< Null: our own interface.
  asio::steady_timer TickTimer_;
  asio::steady_timer ExitTimer_;
  asio::steady_timer FileTimer_;
  asio::signal_set Signals_;
};

} // namespace

int serve(const Settings &From, const std::string &Path) {
  raiseFileLimit();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  std::signal(SIGPIPE, SIG_IGN);
  openLog(From.Name_);
  EntryProcess Process(From, Path);
  return Process.run();
}

} // namespace endivewharf
