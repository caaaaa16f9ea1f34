// Measures slopes of state size, message size and processor time, and computes
// the cost of one process at the deployment size that the users state.
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

// Deployment size that the users state.
constexpr double TotalEntryProcesses = 400;
constexpr double EntryProcessesPerDataCentre = 57;
constexpr double TotalUpstreams = 840;
constexpr double RequestsPerSecond = 2100;
constexpr double TokensPerSecond = 530000;
constexpr double SecondsBetweenTokens = 0.038;
constexpr double ConfigChangesPerDay = 930;
// Assumed fraction of requests with an idempotency key; the users do not state
// it.
constexpr double KeyedRequestFraction = 0.05;
// Assumed size of the configuration text; the users do not state it.
constexpr double ConfigurationBytes = 4000;
constexpr double RestartsPerDay = 144; // includes failures

// Budget of the control work of one process, required by the users.
constexpr double CpuBudgetPercent = 1.7; // of one core
constexpr double MemoryBudgetMb = 32;
constexpr double NetworkBudgetKbPerSecond = 4;

// Periods and limits of the code that the table describes.
constexpr double DigestPeriodSeconds = 1; // period in a large cluster
// Digests to peers of the same data centre; one more goes to another one.
constexpr double LocalDigestsPerPeriod = 2;
constexpr double TicksPerSecond = 20;
constexpr double MaxProbesPerSecond = 160; // limit of one process
constexpr double HostListReadPeriodSeconds = 0.5;
constexpr double HostRowBytes = 220; // one row of the host list as JSON
constexpr double ProbeBytes = 400;   // request and answer including headers
constexpr double EvidencePublishPeriodSeconds = 0.25;
constexpr double RouteCount = 2;
constexpr double EvaluatorCount = 3;

/// @return time of the steady clock in microseconds
double steadyClockMicros() {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// @return shortest of seven runs, in microseconds
double minMicros(const std::function<void()> &Run) {
  double Shortest = 1e18;
  for (int I = 0; I < 7; ++I) {
    const double Begin = steadyClockMicros();
    Run();
    Shortest = std::min(Shortest, steadyClockMicros() - Begin);
  }
  return Shortest;
}

/// @return bytes allocated from the heap
double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Measures at each size and fits a line to the results.
LineFit fitOverSizes(std::initializer_list<int> Sizes,
                     const std::function<double(int)> &Measure) {
  std::vector<std::pair<double, double>> Points;
  for (const int Size : Sizes)
    Points.emplace_back(Size, Measure(Size));
  return fitLine(Points);
}

Settings settingsWithPeers(int Peers) {
  Settings Result;
  Result.Name_ = "entry-0";
  Result.DataCentre_ = "dc0";
  Result.Zone_ = "dc0-a";
  for (int I = 1; I <= Peers; ++I)
    Result.Peers_.push_back(
        {fmt::format("entry-{}", I), {"10.0.0.1", 1000 + I}, "dc0", "dc0-a"});
  return Result;
}

/// @return digest with three peer rows and a number of heartbeat rows
DigestMessage makeSampleDigest(int HeartbeatCount, std::uint64_t Heartbeat) {
  DigestMessage D;
  for (int I = 1; I <= 3; ++I)
    D.Peers_.push_back({{fmt::format("entry-{}", I), 1800000000000},
                        "dc0",
                        "dc0-a",
                        Heartbeat,
                        123456,
                        false});
  for (int I = 0; I < HeartbeatCount; ++I)
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
  // Routing builds the upstream pools, which belong to the measured memory.
  pickUpstream(S, C, "v1");
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
  const double Begin = steadyClockMicros();
  for (const std::string &Text : Texts)
    static_cast<void>(decodeRecord(Text));
  reduce(S, {1, 1, 1, Page});
  return steadyClockMicros() - Begin;
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

/// @return state that is ready to serve calls, with four engines
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
  const double Begin = steadyClockMicros();
  for (const Event &E : Events)
    reduce(S, E);
  return steadyClockMicros() - Begin;
}

double microsOfTokens(int Count) {
  State S = servingState();
  reduce(S, {20, 20, 4, RequestArrived{1, makeSampleRequest(1)}});
  std::vector<Event> Events;
  for (int I = 0; I < Count; ++I)
    Events.push_back({30, 30, 5, AttemptToken{1, I, "token "}});
  const double Begin = steadyClockMicros();
  for (const Event &E : Events)
    reduce(S, E);
  return steadyClockMicros() - Begin;
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
  RolloutState Rollout;
  Rollout.Row_.NoteVersion_ = 1000;
  Rollout.Row_.Model_ = "m";
  return minMicros([&] { static_cast<void>(evaluateEvidence(S, Rollout)); });
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
  Slopes Result;
  Result["digest_bytes_per_beat"] =
      fitOverSizes({4, 20, 57, 114}, [](int HeartbeatCount) {
        return static_cast<double>(
            encodeMessage(
                {{"entry-0", 1}, makeSampleDigest(HeartbeatCount, 100000)})
                .size());
      });
  Result["digest_us_per_beat"] =
      fitOverSizes({4, 20, 57, 114}, [](int HeartbeatCount) {
        State S = makeState(settingsWithPeers(HeartbeatCount), 1);
        std::uint64_t Heartbeat = 100000;
        return minMicros([&] {
                 for (int I = 0; I < 50; ++I) {
                   const std::string Bytes = encodeMessage(
                       {{"entry-1", 1},
                        makeSampleDigest(HeartbeatCount, ++Heartbeat)});
                   reduce(S,
                          {100, 100, 1, PeerReceived{*decodeMessage(Bytes)}});
                 }
               }) /
               50;
      });
  Result["tick_us_per_upstream"] =
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
  Result["host_list_us_per_host"] =
      fitOverSizes({12, 120, 420, 840}, [](int Count) {
        State S = stateWithUpstreams(Count);
        const HostsRead Page = makeHostsRead(Count);
        return minMicros([&] { reduce(S, {100, 100, 1, Page}); });
      });
  Result["memory_per_upstream"] =
      fitOverSizes({12, 120, 420, 840}, memoryOfUpstreams);
  Result["memory_per_claim"] = fitOverSizes({100, 1000, 5000}, memoryOfClaims);
  Result["claim_us_per_record"] =
      fitOverSizes({100, 1000, 5000}, microsOfClaims);
  Result["claim_bytes"] = {claimRecordBytes(), 0, 0};
  Result["memory_per_call"] = fitOverSizes({50, 200, 800}, memoryOfCalls);
  Result["request_us"] = fitOverSizes({100, 400, 1600}, microsOfRequests);
  Result["token_us"] = fitOverSizes({1000, 5000, 20000}, microsOfTokens);
  Result["memory_per_evidence_row"] =
      fitOverSizes({50, 400, 1600}, memoryOfEvidence);
  Result["judge_us_per_row"] =
      fitOverSizes({50, 400, 1600}, microsOfEvaluation);
  Result["evidence_bytes_per_row"] = fitOverSizes({1, 4, 16}, [](int Rows) {
    FactsMessage F;
    for (int I = 0; I < Rows; ++I)
      F.Evidence_.push_back(makeSampleEvidenceRow(I));
    return static_cast<double>(encodeMessage({{"entry-0", 1}, F}).size());
  });
  Result["record_bytes_per_token"] =
      fitOverSizes({0, 100, 250, 1000}, [](int Tokens) {
        return static_cast<double>(
            encodeMessage(
                {{"entry-0", 1}, HandoverMessage{makeSampleRecord(Tokens)}})
                .size());
      });
  return Result;
}

namespace {

/// @return value of a fitted line at a size
double valueAtSize(const Slopes &From, const std::string &Name, double Size) {
  const LineFit &Fit = From.at(Name);
  return Fit.Intercept_ + Fit.Slope_ * Size;
}

/// Formats one table row with the cost of one process.
/// @param Role part of the program
/// @param StateText size of its state
/// @param MemoryBytes memory
/// @param BytesPerSecond network traffic
/// @param CpuPercent processor time in percent of one core
/// @param IsControlWork true if the budget applies
/// @param CarriedBy mechanism that does the work
std::string formatTableRow(const std::string &Role,
                           const std::string &StateText, double MemoryBytes,
                           double BytesPerSecond, double CpuPercent,
                           bool IsControlWork, const std::string &CarriedBy) {
  const double Megabytes = MemoryBytes / 1e6;
  const double Kilobytes = BytesPerSecond / 1e3;
  const bool ExceedsBudget =
      IsControlWork &&
      (Megabytes > MemoryBudgetMb || Kilobytes > NetworkBudgetKbPerSecond ||
       CpuPercent > CpuBudgetPercent);
  return fmt::format("| {} | {} | {:.2f} | {:.2f} | {:.3f} | {} | {} |\n", Role,
                     StateText, Megabytes, Kilobytes, CpuPercent,
                     !IsControlWork  ? "not control"
                     : ExceedsBudget ? "**misses**"
                                     : "fits",
                     CarriedBy);
}

} // namespace

std::string renderCapacity(const Slopes &From) {
  const double ProcessRequestsPerSecond =
      RequestsPerSecond / TotalEntryProcesses;
  const double ProcessTokensPerSecond = TokensPerSecond / TotalEntryProcesses;
  const double TokensPerRequest = TokensPerSecond / RequestsPerSecond;
  const double ProcessCallsInFlight =
      ProcessRequestsPerSecond * TokensPerRequest * SecondsBetweenTokens;
  const double KeyedRequestsPerSecond =
      RequestsPerSecond * KeyedRequestFraction;
  std::string Table =
      "| role | state | memory MB | network KB/s | CPU % of a core | budget | "
      "carried by |\n|---|---|---|---|---|---|---|\n";
  Table += formatTableRow(
      "entry data path (reducer only)",
      fmt::format("{:.0f} calls", ProcessCallsInFlight),
      ProcessCallsInFlight * From.at("memory_per_call").Slope_, 0,
      (ProcessRequestsPerSecond * From.at("request_us").Slope_ +
       ProcessTokensPerSecond * From.at("token_us").Slope_) /
          1e4,
      false, "calls, router, admission");
  const double LocalDigestBytes =
      valueAtSize(From, "digest_bytes_per_beat", EntryProcessesPerDataCentre);
  const double RemoteDigestBytes =
      valueAtSize(From, "digest_bytes_per_beat", 0);
  const double DigestsPerSecond = 1 / DigestPeriodSeconds;
  Table += formatTableRow(
      "membership and facts",
      fmt::format("{:.0f} near members", EntryProcessesPerDataCentre), 0,
      2 * DigestsPerSecond *
          (LocalDigestsPerPeriod * LocalDigestBytes + RemoteDigestBytes),
      DigestsPerSecond *
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
      "claims of keys",
      fmt::format("{:.0f} bookings/s, 1 h window", KeyedRequestsPerSecond),
      KeyedRequestsPerSecond * 3600 * From.at("memory_per_claim").Slope_,
      KeyedRequestsPerSecond * From.at("claim_bytes").Intercept_,
      2 * KeyedRequestsPerSecond * From.at("claim_us_per_record").Slope_ / 1e4,
      true, "every process reads every claim");
  Table +=
      formatTableRow("configuration follower",
                     fmt::format("{:.0f} changes a day", ConfigChangesPerDay),
                     2 * ConfigurationBytes,
                     2 * ConfigurationBytes * ConfigChangesPerDay / 86400,
                     0.001, true, "log, and pulls from peers");
  Table += formatTableRow(
      "lease holder (one process)", "1 lease, 1 snapshot each 30 s", 0,
      ConfigurationBytes / 30 + 200, 0.001, true, "acquire and renew records");
  const double EvidenceRowsPerWindow = TotalEntryProcesses * RouteCount * 2;
  Table += formatTableRow(
      "release judge (3 processes)",
      fmt::format("{:.0f} rows a window, 16 windows", EvidenceRowsPerWindow),
      16 * EvidenceRowsPerWindow * From.at("memory_per_evidence_row").Slope_,
      EvidenceRowsPerWindow * From.at("evidence_bytes_per_row").Slope_ /
          EvidencePublishPeriodSeconds,
      5 * 5 *
          valueAtSize(From, "judge_us_per_row", 16 * EvidenceRowsPerWindow) /
          5 / 1e4,
      true, "sums sent to 3 judges by rank");
  Table += formatTableRow(
      "release observer", fmt::format("{:.0f} rows", RouteCount * 2),
      16 * RouteCount * 2 * From.at("memory_per_evidence_row").Slope_,
      EvaluatorCount *
          valueAtSize(From, "evidence_bytes_per_row", RouteCount * 2) /
          EvidencePublishPeriodSeconds,
      0.01, true, "own sums each 0.25 s while a move runs");
  Table += formatTableRow(
      "handover (once, in 0.5 s)",
      fmt::format("{:.0f} records, 2 copies", ProcessCallsInFlight),
      ProcessCallsInFlight *
          valueAtSize(From, "record_bytes_per_token", TokensPerRequest / 2),
      2 * ProcessCallsInFlight *
          valueAtSize(From, "record_bytes_per_token", TokensPerRequest / 2) /
          0.5,
      0, false, "records to two peers in other zones");
  return Table;
}

std::string slopesToJson(const Slopes &From) {
  Json Body;
  for (const auto &[Name, Fit] : From)
    Body[Name] = {{"base", Fit.Intercept_},
                  {"slope", Fit.Slope_},
                  {"residual", Fit.MaxRelativeResidual_}};
  return Body.dump(2) + "\n";
}

Slopes slopesFromJson(const std::string &Text) {
  Slopes Result;
  const Json Body = Json::parse(Text);
  for (const auto &[Name, Fit] : Body.items())
    Result[Name] = {Fit.at("base"), Fit.at("slope"), Fit.at("residual")};
  return Result;
}

void benchCapacity(int) {
  const Slopes Measured = measureSlopes();
  for (const auto &[Name, Fit] : Measured)
    fmt::print("capacity_{}={:.4g} base={:.4g} residual={:.2f}\n", Name,
               Fit.Slope_, Fit.Intercept_, Fit.MaxRelativeResidual_);
  std::ofstream("docs/capacity.json") << slopesToJson(Measured);
  fmt::print("{}", renderCapacity(Measured));
}

} // namespace endivewharf::bench
