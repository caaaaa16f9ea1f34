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

#include <chrono>
#include <csignal>
#include <deque>
#include <random>
#include <sys/resource.h>

namespace endivewharf {

namespace {

constexpr auto TickPeriod = std::chrono::milliseconds(50);
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

class EntryProcess {
public:
  explicit EntryProcess(const Settings &From)
      : Settings_(From), State_(makeState(Settings_, newIncarnation())),
        Client_(Io_), Attempts_(Client_, sink(), From.Limits_.MaxAnswer_),
        Platform_(Client_, Settings_, sink()),
        Http_(Io_, Settings_, sink(), views()),
        Peers_(Io_, Settings_, State_.Self_,
               [this](PeerEnvelope E) { submit(PeerReceived{std::move(E)}); }),
        TickTimer_(Io_), ExitTimer_(Io_), Signals_(Io_, SIGTERM, SIGINT) {}

  int run() {
    if (!Peers_.open()) {
      log(LogLevel::Error, "listen_failed", {{"which", "peers"}});
      return ExitFailed;
    }
    Http_.open([this](const std::string &Why) {
      log(LogLevel::Error, "listen_failed", {{"reason", Why}});
      ExitCode_ = ExitFailed;
      Io_.stop();
    });
    log(LogLevel::Info, "started",
        {{"listen", format(Settings_.Listen_)},
         {"data_centre", Settings_.DataCentre_}});
    waitForSignal();
    tick();
    Io_.run();
    return ExitCode_;
  }

  // Effects that the HTTP edge does not carry out.
  void operator()(const StartAttempt &E) { Attempts_.start(E); }
  void operator()(const CancelAttempt &E) { Attempts_.cancel(E); }
  void operator()(const SendToPeer &E) { Peers_.send(E); }
  void operator()(const ReconnectPeer &E) { Peers_.reconnect(E.Peer_); }
  void operator()(const ReadLog &E) { Platform_.readLog(E); }
  void operator()(const AppendToLog &E) { Platform_.append(E); }
  void operator()(const ReadHosts &) { Platform_.readHosts(); }
  void operator()(const ReadNotices &) { Platform_.readNotices(); }
  void operator()(const ProbeUpstream &E) { Platform_.probe(E); }
  void operator()(const OrderLoad &E) { Platform_.order(E); }
  void operator()(const WriteLog &E) {
    log(E.Warning_ ? LogLevel::Warning : LogLevel::Info, E.Event_, E.Fields_);
  }
  void operator()(const CloseListener &) { Http_.closeListener(); }
  void operator()(const ExitProcess &) { exitWhenWritten(monotonicNow()); }
  template <typename E> void operator()(const E &Effect) { Http_(Effect); }

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
    TickTimer_.expires_after(TickPeriod);
    TickTimer_.async_wait([this](const asio::error_code &Error) {
      if (!Error)
        tick();
    });
  }

  void waitForSignal() {
    Signals_.async_wait([this](const asio::error_code &Error, int) {
      if (Error)
        return;
      submit(StopRequested{0});
      waitForSignal();
    });
  }

  void exitWhenWritten(Millis Since) {
    const bool Patient =
        std::chrono::milliseconds(monotonicNow() - Since) < ExitGrace;
    if (Http_.isIdle() || !Patient) {
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
    writeLogLine(Level, Settings_.Name_, Event, Fields);
  }

  Settings Settings_;
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
  asio::steady_timer TickTimer_;
  asio::steady_timer ExitTimer_;
  asio::signal_set Signals_;
};

} // namespace

int serve(const Settings &From) {
  raiseFileLimit();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  std::signal(SIGPIPE, SIG_IGN);
  EntryProcess Process(From);
  return Process.run();
}

} // namespace endivewharf
