// One process on the operators' platform, fed by events: a configuration with
// three kinds of routes, a few upstreams, and what comes out as effects.
#pragma once

#include "core.h"
#include "record.h"
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

  void SetUp() override { start(1); }

  /// A process that has read its configuration, its hosts and the log.
  void start(std::uint64_t Incarnation,
             const std::vector<LogRecord> &Log = {}) {
    Settings Given;
    Given.Name_ = "entry-1";
    Given.DataCentre_ = "a";
    Given.Zone_ = "a";
    Given.PeerListen_ = {"10.0.0.1", 7000};
    Given.StoreUrl_ = "http://10.9.9.9:1";
    Given.CloudUrl_ = "http://10.9.9.8:1";
    Given.Limits_.DrainLimit_ = 8000;
    S_ = makeState(Given, Incarnation);
    feed(Tick{});
    feed(OperatorRead{1, {{0, PublishedConfiguration{Config}}}});
    feed(HostsRead{hosts()});
    LogRead Page{0, 0, true, {}};
    for (const LogRecord &Record : Log)
      Page.Entries_.push_back({NextOffset_++, Record});
    Page.Next_ = Log.empty() ? 0 : NextOffset_;
    feed(Page);
    feed(Tick{});
    if (const auto Append = one<AppendToLog>())
      feed(AppendEnded{Append->Append_, false});
  }

  static std::vector<HostRow> hosts() {
    return {host("e1", "engines", "a", 1), host("e2", "engines", "b", 1),
            host("o1", "orders", "a", 1), host("o2", "orders", "b", 1)};
  }

  static HostRow host(const std::string &Name, const std::string &Service,
                      const std::string &Zone, std::uint64_t Born) {
    return sampleHost(Name, Service, Zone, Born);
  }

  Effects feed(EventBody Body) {
    All_ = reduce(S_, Event{Now_, Unix_ + Now_, 7, std::move(Body)});
    return All_;
  }

  Effects after(Millis Time) {
    Now_ += Time;
    return feed(Tick{});
  }

  CallRequest request(const std::string &Path, const std::string &Key = "k2") {
    return sampleRequest(Path, Key, "r" + std::to_string(NextCall_));
  }

  Effects send(CallRequest R) {
    return feed(RequestArrived{NextCall_++, std::move(R)});
  }
  Effects send(const std::string &Path, const std::string &Key = "k2") {
    return send(request(Path, Key));
  }

  /// The first effect of a kind among the last ones.
  template <typename T> std::optional<T> one() const {
    for (const Effect &E : All_)
      if (const T *Found = std::get_if<T>(&E))
        return *Found;
    return std::nullopt;
  }

  /// Sends a request that is dispatched at once.
  StartAttempt dispatched(const std::string &Path) {
    send(Path);
    const auto Start = one<StartAttempt>();
    EXPECT_TRUE(Start.has_value()) << Path;
    return Start.value_or(StartAttempt{});
  }

  Effects fail(AttemptId Id, AttemptFailure Failure) {
    return feed(AttemptFailed{Id, Failure, false, "test"});
  }

  /// A peer sends its control state.
  void adoptedFromPeer(LogOffset Version, const std::string &Text) {
    ControlSnapshot Control;
    Control.ConfigVersion_ = Version;
    Control.ConfigText_ = Text;
    feed(PeerReceived{{{"entry-2", 9}, ControlMessage{Control}}});
  }

  /// A peer that this process hears of, with an incarnation.
  void hearOf(const std::string &Name, std::uint64_t Incarnation) {
    DigestMessage D;
    MemberRow Row;
    Row.Life_ = {Name, Incarnation};
    Row.DataCentre_ = "b";
    Row.Zone_ = "b";
    Row.Address_ = "10.0.0.2:7000";
    Row.Heartbeat_ = ++Heartbeat_;
    D.Members_.push_back(Row);
    feed(PeerReceived{{{Name, Incarnation}, D}});
  }

  void sums(const std::string &Name, std::uint64_t Incarnation, SumsMessage M) {
    if (M.UnixMs_ == 0)
      M.UnixMs_ = Unix_ + Now_;
    feed(PeerReceived{{{Name, Incarnation}, std::move(M)}});
  }

  /// This process holds the lease, as the log says.
  void takeLease() {
    after(50);
    for (int I = 0; I < 100 && S_.Lease_.HeldUntil_ <= Now_; ++I) {
      after(50);
      if (const auto Append = one<AppendToLog>())
        appended(*Append);
    }
    ASSERT_GT(S_.Lease_.HeldUntil_, Now_);
  }

  /// The log takes records and this process reads them.
  void appended(const AppendToLog &Append) {
    LogRead Page{0, 0, true, {}};
    for (const LogRecord &Record : Append.Records_)
      Page.Entries_.push_back({NextOffset_++, Record});
    Page.Next_ = NextOffset_;
    feed(AppendEnded{Append.Append_, true});
    feed(Page);
  }

  std::uint64_t Heartbeat_ = 0;
  LogOffset NextOffset_ = 10;
  State S_;
  Effects All_;
  Millis Now_ = 100000;
  std::int64_t Unix_ = 1'700'000'000'000;
  CallId NextCall_ = 1;
};

} // namespace endivewharf
