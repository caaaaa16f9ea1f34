// Test fixture for one process on the operators' platform. It feeds events to
// the reducer and keeps the effects that the last event produced; the
// configuration has three kinds of routes and two services.
#pragma once

#include "core.h"
#include "diagnostics.h"
#include "samples.h"

#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <vector>

namespace endivewharf {

class PlatformTest : public ::testing::Test {
protected:
  static constexpr const char *Config = R"([account buyers]
key = k1
rate = 1000
burst = 1000
unit = tokens
plain_units = 10
[account sales]
key = k2
rate = none
[service engines]
slots = 8
min_hosts = 1
max_hosts = 6
start_time = 4000ms
spot_price = 0.2
zone_price = a:0.8
zone_price = b:1
zone_price = c:1.2
[service orders]
max_connections = 100
[route report]
host = shop.example
path = /report/
kind = stream
resumable = yes
time_limit = 15000ms
objective = 1000ms
rank = 1
attempts = 2
service = engines:1
[route question]
host = shop.example
path = /question/
kind = stream
time_limit = 3000ms
objective = 500ms
service = engines:1
[route booking]
host = shop.example
path = /booking/
kind = unrepeatable
time_limit = 1000ms
objective = 100ms
service = orders:1
[route check]
host = shop.example
path = /check/
kind = repeatable
time_limit = 1000ms
objective = 100ms
attempts = 2
service = orders:1
)";

  void SetUp() override { startProcess(1); }

  /// Starts a process that has read its configuration, its hosts and the
  /// control log.
  /// @param Log records that the control log contains
  void startProcess(std::uint64_t Incarnation,
                    const std::vector<LogRecord> &Log = {}) {
    Settings ProcessSettings;
    ProcessSettings.Name_ = "entry-1";
    ProcessSettings.DataCentre_ = "a";
    ProcessSettings.Zone_ = "a";
    ProcessSettings.PeerListen_ = {"10.0.0.1", 7000};
    ProcessSettings.StoreUrl_ = "http://10.9.9.9:1";
    ProcessSettings.CloudUrl_ = "http://10.9.9.8:1";
    ProcessSettings.Limits_.DrainTimeout_ = 8000;
    State_ = makeState(ProcessSettings, Incarnation);
    reduceEvent(Tick{});
    reduceEvent(OperatorLogRead{1, {{0, PublishedConfiguration{Config}}}});
    reduceEvent(HostsRead{makeHosts()});
    LogRead Page{0, 0, true, {}};
    for (const LogRecord &Record : Log)
      Page.Entries_.push_back({NextOffset_++, Record});
    Page.NextOffset_ = Log.empty() ? 0 : NextOffset_;
    reduceEvent(Page);
    reduceEvent(Tick{});
    if (const auto Append = firstEffect<AppendToLog>())
      reduceEvent(AppendEnded{Append->AppendId_, false});
  }

  static std::vector<HostRow> makeHosts() {
    return {makeHost("e1", "engines", "a", 1),
            makeHost("e2", "engines", "b", 1), makeHost("o1", "orders", "a", 1),
            makeHost("o2", "orders", "b", 1)};
  }

  static HostRow makeHost(const std::string &Name, const std::string &Service,
                          const std::string &Zone,
                          std::uint64_t HostIncarnation) {
    return sampleHost(Name, Service, Zone, HostIncarnation);
  }

  /// Applies an event at the current time.
  /// @return effects of the event, also kept in `LastEffects_`
  Effects reduceEvent(EventBody Body) {
    LastEffects_ =
        reduce(State_, Event{Now_, UnixMsAtZero_ + Now_, 7, std::move(Body)});
    return LastEffects_;
  }

  /// Advances the clock by a time in ms and applies a tick.
  Effects advanceTime(Millis Time) {
    Now_ += Time;
    return reduceEvent(Tick{});
  }

  CallRequest makeRequest(const std::string &Path,
                          const std::string &Key = "k2") {
    return sampleRequest(Path, Key, "r" + std::to_string(NextCallId_));
  }

  Effects sendRequest(CallRequest R) {
    return reduceEvent(RequestArrived{NextCallId_++, std::move(R)});
  }
  Effects sendRequest(const std::string &Path, const std::string &Key = "k2") {
    return sendRequest(makeRequest(Path, Key));
  }

  /// @return the first effect of a type among the effects of the last event
  template <typename T> std::optional<T> firstEffect() const {
    for (const Effect &E : LastEffects_)
      if (const T *Found = std::get_if<T>(&E))
        return *Found;
    return std::nullopt;
  }

  /// Sends a request and expects that it is dispatched at once.
  StartAttempt dispatchRequest(const std::string &Path) {
    sendRequest(Path);
    const auto Start = firstEffect<StartAttempt>();
    EXPECT_TRUE(Start.has_value()) << Path;
    return Start.value_or(StartAttempt{});
  }

  Effects failAttempt(AttemptId Id, AttemptFailure Failure) {
    return reduceEvent(AttemptFailed{Id, Failure, false, "test"});
  }

  /// Receives the control state of a peer.
  /// @param Text text of the configuration
  void receiveControlSnapshot(LogOffset Version, const std::string &Text) {
    ControlSnapshot Control;
    Control.ConfigVersion_ = Version;
    Control.ConfigText_ = Text;
    reduceEvent(PeerReceived{{{"entry-2", 9}, ControlMessage{Control}}});
  }

  /// Receives a digest in which a peer introduces its own incarnation.
  void receiveDigestFrom(const std::string &Name, std::uint64_t Incarnation,
                         const std::string &DataCentre = "b") {
    DigestMessage Digest;
    PeerRow Row;
    Row.Instance_ = {Name, Incarnation};
    Row.DataCentre_ = DataCentre;
    Row.Zone_ = DataCentre;
    Row.Address_ = "10.0.0.2:7000";
    Row.Heartbeat_ = ++Heartbeat_;
    Digest.Peers_.push_back(Row);
    reduceEvent(PeerReceived{{{Name, Incarnation}, Digest}});
  }

  /// Receives a summary, with the current time if it has none.
  void receiveSummary(const std::string &Name, std::uint64_t Incarnation,
                      SummaryMessage Summary) {
    if (Summary.UnixMs_ == 0)
      Summary.UnixMs_ = UnixMsAtZero_ + Now_;
    reduceEvent(PeerReceived{{{Name, Incarnation}, std::move(Summary)}});
  }

  /// Runs the process until it holds the lease, completing its appends to the
  /// control log.
  void acquireLease() {
    advanceTime(50);
    for (int I = 0; I < 100 && State_.Lease_.HeldUntil_ <= Now_; ++I) {
      advanceTime(50);
      if (const auto Append = firstEffect<AppendToLog>())
        completeAppend(*Append);
    }
    ASSERT_GT(State_.Lease_.HeldUntil_, Now_);
  }

  /// Confirms an append to the control log and delivers its records to the
  /// process.
  void completeAppend(const AppendToLog &Append) {
    LogRead Page{0, 0, true, {}};
    for (const LogRecord &Record : Append.Records_)
      Page.Entries_.push_back({NextOffset_++, Record});
    Page.NextOffset_ = NextOffset_;
    reduceEvent(AppendEnded{Append.AppendId_, true});
    reduceEvent(Page);
  }

  std::uint64_t Heartbeat_ = 0; ///< Heartbeat number of the last digest.
  LogOffset NextOffset_ = 10;
  State State_;
  Effects LastEffects_;
  Millis Now_ = 100000;
  std::int64_t UnixMsAtZero_ = 1'700'000'000'000;
  CallId NextCallId_ = 1;
};

} // namespace endivewharf
