// Slopes of state, messages and processor time, and what they come to at the
// letter's size.
#include "capacity.h"

#include "benches.h"
#include "codec.h"
#include "evidence.h"
#include "membership.h"
#include "release.h"
#include "router.h"

#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace endivewharf::bench {

namespace {

using namespace fakes;
using Json = nlohmann::json;

// The letter's size.
constexpr double TotalEntryProcesses = 400;
constexpr double EntryProcessesPerDataCentre = 57;
constexpr double TotalUpstreams = 840;
constexpr double RequestsPerSecond = 2100;
constexpr double TokensPerSecond = 530000;
constexpr double SecondsBetweenTokens = 0.038;
constexpr double ConfigChangesPerDay = 930;
constexpr double KeyedRequestShare = 0.05;  // of requests; our assumption
constexpr double ConfigurationBytes = 4000; // text; our assumption
constexpr double RestartsPerDay = 144;      // failures and restarts
// The letter's budget of one process's control work.
constexpr double CpuBudgetPercent = 1.7;       // % of a core
constexpr double MemoryBudgetMb = 32;          // MB
constexpr double NetworkBudgetKbPerSecond = 4; // KB/s
// Periods of the code.
constexpr double DigestPeriodSeconds = 1;   // in a large group
constexpr double LocalDigestsPerPeriod = 2; // in the data centre

constexpr double TicksPerSecond = 20;
constexpr double MaxProbesPerSecond = 160; // bound of a process
constexpr double HostListReadPeriodSeconds = 0.5;
constexpr double HostRowBytes = 220; // JSON of the host list
constexpr double ProbeBytes = 400;   // request and answer with their headers
constexpr double EvidencePublishPeriodSeconds = 0.25;
constexpr double RouteCount = 2;
constexpr double EvaluatorCount = 3;

double nowMicros() {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Shortest of several timings, in microseconds.
double minMicros(const std::function<void()> &Run) {
  double Best = 1e18;
  for (int I = 0; I < 7; ++I) {
    const double Begin = nowMicros();
    Run();
    Best = std::min(Best, nowMicros() - Begin);
  }
  return Best;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

LineFit fitOverSizes(std::initializer_list<int> Sizes,
                     const std::function<double(int)> &Measure) {
  std::vector<std::pair<double, double>> Points;
  for (const int Size : Sizes)
    Points.emplace_back(Size, Measure(Size));
  return fitLine(Points);
}

Settings settingsWithPeers(int Peers) {
  Settings S;
  S.Name_ = "entry-0";
  S.DataCentre_ = "dc0";
  S.Zone_ = "dc0-a";
  for (int I = 1; I <= Peers; ++I)
    S.Peers_.push_back(
        {fmt::format("entry-{}", I), {"10.0.0.1", 1000 + I}, "dc0", "dc0-a"});
  return S;
}

/// A digest with three rows and a number of beats.
DigestMessage makeSampleDigest(int Beats, std::uint64_t Heartbeat) {
  DigestMessage D;
  for (int I = 1; I <= 3; ++I)
    D.Peers_.push_back({{fmt::format("entry-{}", I), 1800000000000},
                        "dc0",
                        "dc0-a",
                        Heartbeat,
                        123456,
                        false});
  for (int I = 0; I < Beats; ++I)
    D.Heartbeats_.push_back(
        {0x80000000U + static_cast<std::uint32_t>(I), Heartbeat});
  D.ControlVersion_ = NoOffset;
  return D;
}

HostsRead makeHostsRead(int Count) {
  HostsRead Page;
  for (int I = 0; I < Count; ++I) {
    HostRow Row;
    Row.Host_ = {fmt::format("engine-{}", I), 1};
    Row.Address_ = fmt::format("http://10.0.{}.{}:8000", I / 250, I % 250);
    Row.DataCentre_ = fmt::format("dc{}", I % 7);
    Row.Zone_ = "a";
    Page.Hosts_.push_back(Row);
  }
  return Page;
}

State stateWithUpstreams(int UpstreamCount) {
  State S = makeState(settingsWithPeers(3), 1);
  reduce(S, {1, 1, 1, makeHostsRead(UpstreamCount)});
  for (Upstream &U : S.Upstreams_)
    U.Loaded_ = {{"m", "v1"}};
  return S;
}

double memoryOfUpstreams(int Count) {
  const double Before = heapBytes();
  State S = stateWithUpstreams(Count);
  Call C;
  C.Request_.Model_ = "m";
  pickUpstream(S, C, "v1"); // builds the pools
  return heapBytes() - Before;
}

double memoryOfClaims(int Count) {
  State S = makeState(settingsWithPeers(3), 1);
  const double Before = heapBytes();
  for (LogOffset I = 0; I < Count; ++I) {
    const std::string Key = fmt::format("account/booking-{:08}", I);
    LogRead Page;
    Page.NextOffset_ = I + 1;
    Page.Entries_ = {
        {2 * I,
         ClaimRecord{
             Key, fmt::format("entry-7-18f0-{}", I), {"entry-7", 5}, 77}},
        {2 * I + 1,
         ClaimDoneRecord{Key, fmt::format("entry-7-18f0-{}", I), true, 200,
                         "application/json", std::string(200, 'x')}}};
    Page.NextOffset_ = 2 * I + 2;
    reduce(S, {1, 1, 1, Page});
  }
  return heapBytes() - Before;
}

double microsOfClaims(int Count) {
  State S = makeState(settingsWithPeers(3), 1);
  LogRead Page;
  for (int I = 0; I < Count; ++I)
    Page.Entries_.push_back(
        {I, ClaimRecord{fmt::format("account/booking-{:08}", I),
                        fmt::format("entry-7-18f0-{}", I),
                        {"entry-7", 5},
                        77}});
  Page.NextOffset_ = Count;
  std::vector<std::string> Texts;
  for (const LogEntry &Entry : Page.Entries_)
    Texts.push_back(encodeRecord(*Entry.Record_));
  const double Begin = nowMicros();
  for (const std::string &Text : Texts)
    static_cast<void>(decodeRecord(Text));
  reduce(S, {1, 1, 1, Page});
  return nowMicros() - Begin;
}

double claimRecordBytes() {
  const std::string Key = "account/booking-00000001";
  return static_cast<double>(
      encodeRecord(ClaimRecord{Key, "entry-7-18f0-1", {"entry-7", 5}, 77})
          .size() +
      encodeRecord(ClaimDoneRecord{Key, "entry-7-18f0-1", true, 200,
                                   "application/json", std::string(200, 'x')})
          .size());
}

/// A serving state with one engine, for calls.
State servingState() {
  State S = makeState(settingsWithPeers(3), 1);
  LogRead Page;
  Page.Entries_ = {{0, ConfigRecord{NoOffset, exampleConfig({"m"})}}};
  Page.NextOffset_ = 1;
  Page.AtTail_ = true;
  reduce(S, {1, 1, 1, Page});
  reduce(S, {2, 2, 2, makeHostsRead(4)});
  for (Upstream &U : S.Upstreams_) {
    U.Loaded_ = {{"m", "v1"}};
    U.ConcurrencyLimit_ = 1e6;
  }
  S.PoolsChanged_ = true;
  reduce(S, {10, 10, 3, Tick{}});
  return S;
}

CallRequest makeSampleRequest(int Number) {
  CallRequest R =
      World::makeCompletionRequest("k0", "m", std::string(2000, 'a'), 250);
  R.RequestId_ = fmt::format("request-{}", Number);
  return R;
}

double memoryOfCalls(int Count) {
  State S = servingState();
  const double Before = heapBytes();
  for (int I = 0; I < Count; ++I)
    reduce(S,
           {20, 20, 4,
            RequestArrived{static_cast<CallId>(I + 1), makeSampleRequest(I)}});
  for (AttemptId Id = 1; Id <= static_cast<AttemptId>(Count); ++Id)
    for (std::int64_t T = 0; T < 125; ++T)
      reduce(S, {30, 30, 5, AttemptToken{Id, T, "token "}});
  return heapBytes() - Before;
}

double microsOfRequests(int Count) {
  State S = servingState();
  std::vector<Event> Events;
  for (int I = 0; I < Count; ++I)
    Events.push_back(
        {20, 20, 4,
         RequestArrived{static_cast<CallId>(I + 1), makeSampleRequest(I)}});
  const double Begin = nowMicros();
  for (const Event &E : Events)
    reduce(S, E);
  return nowMicros() - Begin;
}

double microsOfTokens(int Count) {
  State S = servingState();
  reduce(S, {20, 20, 4, RequestArrived{1, makeSampleRequest(1)}});
  std::vector<Event> Events;
  for (int I = 0; I < Count; ++I)
    Events.push_back({30, 30, 5, AttemptToken{1, I, "token "}});
  const double Begin = nowMicros();
  for (const Event &E : Events)
    reduce(S, E);
  return nowMicros() - Begin;
}

EvidenceRow makeSampleEvidenceRow(int Number) {
  return {1000,
          "m",
          Number % 2 == 0,
          Number % 4 < 2 ? "chat" : "completions",
          fmt::format("dc{}", Number % 7),
          {fmt::format("entry-{}", Number / 4), 1800000000000},
          900000000,
          {100, 1, 99, 350.25, 1300.75}};
}

double memoryOfEvidence(int Count) {
  State S = makeState(settingsWithPeers(3), 1);
  S.UnixMs_ = 1'800'000'000'000;
  const double Before = heapBytes();
  std::vector<EvidenceRow> Rows;
  for (int I = 0; I < Count; ++I)
    Rows.push_back(makeSampleEvidenceRow(I));
  mergeEvidence(S, Rows);
  Rows.clear();
  Rows.shrink_to_fit();
  return heapBytes() - Before;
}

double microsOfEvaluation(int Count) {
  State S = makeState(settingsWithPeers(3), 1);
  S.UnixMs_ = 1'800'000'000'000;
  std::vector<EvidenceRow> Rows;
  for (int I = 0; I < Count; ++I)
    Rows.push_back(makeSampleEvidenceRow(I));
  mergeEvidence(S, Rows);
  RolloutState M;
  M.Row_.NoteVersion_ = 1000;
  M.Row_.Model_ = "m";
  return minMicros([&] { static_cast<void>(evaluateEvidence(S, M)); });
}

CallRecord makeSampleRecord(int Tokens) {
  CallRecord R;
  R.RequestId_ = "entry-1-18f0-77";
  R.Model_ = "m";
  R.Route_ = "chat";
  R.Body_ = std::string(2000, 'a');
  for (int I = 0; I < Tokens; ++I) {
    R.GeneratedText_ += "token ";
    R.TokenEnds_.push_back(R.GeneratedText_.size());
  }
  R.NextIndex_ = Tokens;
  return R;
}

} // namespace

Slopes measureSlopes() {
  Slopes All;
  All["digest_bytes_per_beat"] = fitOverSizes({4, 20, 57, 114}, [](int Rows) {
    return static_cast<double>(
        encodeMessage({{"entry-0", 1}, makeSampleDigest(Rows, 100000)}).size());
  });
  All["digest_us_per_beat"] = fitOverSizes({4, 20, 57, 114}, [](int Rows) {
    State S = makeState(settingsWithPeers(Rows), 1);
    std::uint64_t Heartbeat = 100000;
    return minMicros([&] {
             for (int I = 0; I < 50; ++I) {
               const std::string Bytes = encodeMessage(
                   {{"entry-1", 1}, makeSampleDigest(Rows, ++Heartbeat)});
               reduce(S, {100, 100, 1, PeerReceived{*decodeMessage(Bytes)}});
             }
           }) /
           50;
  });
  All["tick_us_per_upstream"] =
      fitOverSizes({12, 120, 420, 840}, [](int Count) {
        State S = stateWithUpstreams(Count);
        for (Upstream &U : S.Upstreams_)
          U.Probing_ = true;
        Millis Now = 100;
        return minMicros([&] {
                 for (int I = 0; I < 50; ++I)
                   reduce(S, {Now += 1, 100, 1, Tick{}});
               }) /
               50;
      });
  All["host_list_us_per_host"] =
      fitOverSizes({12, 120, 420, 840}, [](int Count) {
        State S = stateWithUpstreams(Count);
        const HostsRead Page = makeHostsRead(Count);
        return minMicros([&] { reduce(S, {100, 100, 1, Page}); });
      });
  All["memory_per_upstream"] =
      fitOverSizes({12, 120, 420, 840}, memoryOfUpstreams);
  All["memory_per_claim"] = fitOverSizes({100, 1000, 5000}, memoryOfClaims);
  All["claim_us_per_record"] = fitOverSizes({100, 1000, 5000}, microsOfClaims);
  All["claim_bytes"] = {claimRecordBytes(), 0, 0};
  All["memory_per_call"] = fitOverSizes({50, 200, 800}, memoryOfCalls);
  All["request_us"] = fitOverSizes({100, 400, 1600}, microsOfRequests);
  All["token_us"] = fitOverSizes({1000, 5000, 20000}, microsOfTokens);
  All["memory_per_evidence_row"] =
      fitOverSizes({50, 400, 1600}, memoryOfEvidence);
  All["judge_us_per_row"] = fitOverSizes({50, 400, 1600}, microsOfEvaluation);
  All["evidence_bytes_per_row"] = fitOverSizes({1, 4, 16}, [](int Rows) {
    FactsMessage F;
    for (int I = 0; I < Rows; ++I)
      F.Evidence_.push_back(makeSampleEvidenceRow(I));
    return static_cast<double>(encodeMessage({{"entry-0", 1}, F}).size());
  });
  All["record_bytes_per_token"] =
      fitOverSizes({0, 100, 250, 1000}, [](int Tokens) {
        return static_cast<double>(
            encodeMessage(
                {{"entry-0", 1}, HandoverMessage{makeSampleRecord(Tokens)}})
                .size());
      });
  return All;
}

namespace {

double valueAtSize(const Slopes &From, const std::string &Name, double Size) {
  const LineFit &L = From.at(Name);
  return L.Intercept_ + L.Slope_ * Size;
}

/// One row: figures of one process, and whether they fit the budget.
std::string formatTableRow(const std::string &Role,
                           const std::string &StateText, double Memory,
                           double BytesPerSecond, double CpuPercent,
                           bool Control, const std::string &Mechanism) {
  const double MegaBytes = Memory / 1e6;
  const double KiloBytes = BytesPerSecond / 1e3;
  const bool Misses = Control && (MegaBytes > MemoryBudgetMb ||
                                  KiloBytes > NetworkBudgetKbPerSecond ||
                                  CpuPercent > CpuBudgetPercent);
  return fmt::format("| {} | {} | {:.2f} | {:.2f} | {:.3f} | {} | {} |\n", Role,
                     StateText, MegaBytes, KiloBytes, CpuPercent,
                     !Control ? "not control"
                     : Misses ? "**misses**"
                              : "fits",
                     Mechanism);
}

} // namespace

std::string renderCapacity(const Slopes &From) {
  const double RequestsHere = RequestsPerSecond / TotalEntryProcesses;
  const double TokensHere = TokensPerSecond / TotalEntryProcesses;
  const double TokensEach = TokensPerSecond / RequestsPerSecond;
  const double CallsHere = RequestsHere * TokensEach * SecondsBetweenTokens;
  const double Bookings = RequestsPerSecond * KeyedRequestShare;
  std::string Table =
      "| role | state | memory MB | network KB/s | CPU % of a core | budget | "
      "carried by |\n|---|---|---|---|---|---|---|\n";
  Table += formatTableRow("entry data path (reducer only)",
                          fmt::format("{:.0f} calls", CallsHere),
                          CallsHere * From.at("memory_per_call").Slope_, 0,
                          (RequestsHere * From.at("request_us").Slope_ +
                           TokensHere * From.at("token_us").Slope_) /
                              1e4,
                          false, "calls, router, admission");
  const double Digest =
      valueAtSize(From, "digest_bytes_per_beat", EntryProcessesPerDataCentre);
  const double Remote = valueAtSize(From, "digest_bytes_per_beat", 0);
  const double DigestRate = 1 / DigestPeriodSeconds;
  Table += formatTableRow(
      "membership and facts",
      fmt::format("{:.0f} near members", EntryProcessesPerDataCentre), 0,
      2 * DigestRate * (LocalDigestsPerPeriod * Digest + Remote),
      DigestRate *
          (LocalDigestsPerPeriod * valueAtSize(From, "digest_us_per_beat",
                                               EntryProcessesPerDataCentre) +
           valueAtSize(From, "digest_us_per_beat", 0)) /
          1e4,
      true, "digests to 2 near and 1 far peer each second; rumours");
  Table += formatTableRow(
      "upstream table", fmt::format("{:.0f} upstreams", TotalUpstreams),
      valueAtSize(From, "memory_per_upstream", TotalUpstreams), 0,
      TicksPerSecond *
          valueAtSize(From, "tick_us_per_upstream", TotalUpstreams) / 1e4,
      true, "pools and hash rings; scanned once a tick");
  Table += formatTableRow(
      "host list", fmt::format("{:.0f} rows a read", TotalUpstreams), 0,
      TotalUpstreams * HostRowBytes / HostListReadPeriodSeconds,
      valueAtSize(From, "host_list_us_per_host", TotalUpstreams) /
          HostListReadPeriodSeconds / 1e4,
      true, "every process reads the whole list each 0.5 s");
  Table += formatTableRow("upstream probing",
                          fmt::format("{:.0f} probes/s", MaxProbesPerSecond), 0,
                          MaxProbesPerSecond * ProbeBytes, 0, true,
                          "every process probes every upstream");
  Table += formatTableRow(
      "claims of keys", fmt::format("{:.0f} bookings/s, 1 h window", Bookings),
      Bookings * 3600 * From.at("memory_per_claim").Slope_,
      Bookings * From.at("claim_bytes").Intercept_,
      2 * Bookings * From.at("claim_us_per_record").Slope_ / 1e4, true,
      "every process reads every claim");
  Table +=
      formatTableRow("configuration follower",
                     fmt::format("{:.0f} changes a day", ConfigChangesPerDay),
                     2 * ConfigurationBytes,
                     2 * ConfigurationBytes * ConfigChangesPerDay / 86400,
                     0.001, true, "log, and pulls from peers");
  Table += formatTableRow(
      "lease holder (one process)", "1 lease, 1 snapshot each 30 s", 0,
      ConfigurationBytes / 30 + 200, 0.001, true, "acquire and renew records");
  const double Rows = TotalEntryProcesses * RouteCount * 2;
  Table += formatTableRow(
      "release judge (3 processes)",
      fmt::format("{:.0f} rows a window, 16 windows", Rows),
      16 * Rows * From.at("memory_per_evidence_row").Slope_,
      Rows * From.at("evidence_bytes_per_row").Slope_ /
          EvidencePublishPeriodSeconds,
      5 * 5 * valueAtSize(From, "judge_us_per_row", 16 * Rows) / 5 / 1e4, true,
      "sums sent to 3 judges by rank");
  Table += formatTableRow(
      "release observer", fmt::format("{:.0f} rows", RouteCount * 2),
      16 * RouteCount * 2 * From.at("memory_per_evidence_row").Slope_,
      EvaluatorCount *
          valueAtSize(From, "evidence_bytes_per_row", RouteCount * 2) /
          EvidencePublishPeriodSeconds,
      0.01, true, "own sums each 0.25 s while a move runs");
  Table += formatTableRow(
      "handover (once, in 0.5 s)",
      fmt::format("{:.0f} records, 2 copies", CallsHere),
      CallsHere * valueAtSize(From, "record_bytes_per_token", TokensEach / 2),
      2 * CallsHere *
          valueAtSize(From, "record_bytes_per_token", TokensEach / 2) / 0.5,
      0, false, "records to two peers in other zones");
  return Table;
}

std::string slopesToJson(const Slopes &From) {
  Json Body;
  for (const auto &[Name, L] : From)
    Body[Name] = {{"base", L.Intercept_},
                  {"slope", L.Slope_},
                  {"residual", L.MaxRelativeResidual_}};
  return Body.dump(2) + "\n";
}

Slopes slopesFromJson(const std::string &Text) {
  Slopes All;
  const Json Body = Json::parse(Text);
  for (const auto &[Name, L] : Body.items())
    All[Name] = {L.at("base"), L.at("slope"), L.at("residual")};
  return All;
}

void benchCapacity(int) {
  const Slopes All = measureSlopes();
  for (const auto &[Name, L] : All)
    fmt::print("capacity_{}={:.4g} base={:.4g} residual={:.2f}\n", Name,
               L.Slope_, L.Intercept_, L.MaxRelativeResidual_);
  std::ofstream("docs/capacity.json") << slopesToJson(All);
  fmt::print("{}", renderCapacity(All));
}

} // namespace endivewharf::bench
