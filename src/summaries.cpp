// Each summary replaces the one before, so after a lost message the values are
// only older. aggregators.cpp decides which process sends to which.
#include "summaries.h"

#include "aggregators.h"
#include "diagnostics.h"
#include "membership.h"
#include "operatorlog.h"
#include "requestlimits.h"
#include "rollout.h"
#include "storereaders.h"
#include "usage.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr Millis SummaryPeriod = 250; // ms between summaries of an aggregator
constexpr Millis ReportPeriod = 250;  // ms between reports to an aggregator
// Time between usage messages to the store readers, in ms.
constexpr Millis UsageMessagePeriod = 1000;
// Reports kept because a summary may include one that is not the latest.
constexpr std::size_t MaxRetainedReports = 16;
// Least number of usage windows per summary, the current one included.
constexpr std::int64_t MinSummaryUsageWindows = 4;
constexpr Millis SpeedLogPeriod = 10000; // ms between log lines

std::uint32_t upstreamHash(const Upstream &U) {
  const std::string &Name = U.Row_.Host_.Name_;
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(
      Name.data(), Name.size(), U.Row_.Host_.Incarnation_));
}

/// This process's usage counts of the last `Windows` usage windows.
std::vector<UsageRow> usageRows(const State &S, std::int64_t Windows) {
  std::vector<UsageRow> Rows;
  const std::int64_t Window = currentUsageWindow(S);
  for (const auto &[Number, Counts] : S.Usage_.OwnCounts_)
    if (Number > Window - Windows)
      for (const auto &[Account, Count] : Counts)
        Rows.push_back({Number, Account, Count});
  return Rows;
}

/// Totals the rows of several processes by upstream, account and service.
class SummaryBuilder {
public:
  /// Starts with this process's own values.
  SummaryBuilder(const State &S, SummaryScope Scope) {
    Message_.Scope_ = Scope;
    for (const Upstream &U : S.Upstreams_)
      if (U.InFlight_ > 0 && !U.IsPeer_)
        Loads_[upstreamHash(U)] = {upstreamHash(U), U.InFlight_,
                                   static_cast<int>(U.PrefillMs_)};
    for (const auto &[Service, W] : S.Fleet_.Work_)
      Work_[Service] = {Service, std::max(W.FastAverage_, W.SlowAverage_)};
    for (const auto &[Service, Rollout] : S.Release_.Rollouts_)
      Message_.Rollouts_.push_back(Rollout.Row_);
    Message_.ConfigVersion_ = S.Config_.Version_;
    Message_.UnixMs_ = correctedUnixMs(S);
    writeStoreState(S, Message_);
    Message_.Limits_ = limitRows(S);
    Message_.ColdHosts_ = coldRows(S);
    Message_.Evacuations_ = evacuationRows(S.Evacuations_);
  }

  /// Adds a peer's summary.
  SummaryBuilder &addPeer(const PeerState &Peer) {
    Message_.ProcessCount_ += Peer.Summary_.ProcessCount_;
    for (const LoadRow &Row : Peer.Summary_.Loads_) {
      LoadRow &Total = Loads_[Row.UpstreamHash_];
      Total.UpstreamHash_ = Row.UpstreamHash_;
      Total.InFlight_ += Row.InFlight_;
      Total.PrefillMs_ += Row.PrefillMs_;
    }
    for (const WorkRow &Row : Peer.Summary_.Work_) {
      WorkRow &Total = Work_[Row.Service_];
      Total.Service_ = Row.Service_;
      Total.MsPerSecond_ += Row.MsPerSecond_;
    }
    return *this;
  }

  /// Lists the report of an added peer, so that the peer can subtract it.
  SummaryBuilder &includeReport(const PeerState &Peer) {
    Message_.IncludedReports_.push_back(
        {instanceHash(Peer.Row_.Instance_), Peer.Summary_.Sequence_});
    return *this;
  }

  /// @return the summary; the builder is empty afterwards
  SummaryMessage build() {
    for (auto &[Upstream, Row] : Loads_)
      Message_.Loads_.push_back(Row);
    for (auto &[Service, Row] : Work_)
      Message_.Work_.push_back(std::move(Row));
    return std::move(Message_);
  }

private:
  SummaryMessage Message_;
  std::unordered_map<std::uint32_t, LoadRow> Loads_;
  std::map<std::string, WorkRow> Work_;
};

/// Subtracts this process's own report, as the aggregator received it, from a
/// summary of all processes.
/// @return false if the included report is no longer retained, so that the
/// summary cannot be used
bool subtractOwnReport(const State &S, SummaryMessage &Summary) {
  const std::uint32_t OwnHash = instanceHash(S.Self_);
  const auto Included = std::find_if(
      Summary.IncludedReports_.begin(), Summary.IncludedReports_.end(),
      [&](const IncludedReportRow &Candidate) {
        return Candidate.InstanceHash_ == OwnHash;
      });
  if (Included == Summary.IncludedReports_.end())
    return true;
  const auto &Reports = S.Membership_.SentReports_;
  const auto Report = std::find_if(
      Reports.begin(), Reports.end(), [&](const SummaryMessage &Candidate) {
        return Candidate.Sequence_ == Included->Sequence_;
      });
  if (Report == Reports.end())
    return false;
  Summary.ProcessCount_ -= 1;
  for (const LoadRow &OwnRow : Report->Loads_)
    for (LoadRow &Total : Summary.Loads_)
      if (Total.UpstreamHash_ == OwnRow.UpstreamHash_) {
        Total.InFlight_ = std::max(0, Total.InFlight_ - OwnRow.InFlight_);
        Total.PrefillMs_ = std::max(0, Total.PrefillMs_ - OwnRow.PrefillMs_);
      }
  for (const WorkRow &OwnRow : Report->Work_)
    for (WorkRow &Total : Summary.Work_)
      if (Total.Service_ == OwnRow.Service_)
        Total.MsPerSecond_ =
            std::max(0.0, Total.MsPerSecond_ - OwnRow.MsPerSecond_);
  return true;
}

/// Totals the other processes' load at each upstream.
void updateOthersLoads(State &S) {
  std::unordered_map<std::uint32_t, LoadRow> Totals;
  for (const PeerState *Source : summarySources(S)) {
    if (!hasRecentSummary(S, *Source))
      continue;
    for (const LoadRow &Row : Source->Summary_.Loads_) {
      LoadRow &Total = Totals[Row.UpstreamHash_];
      Total.InFlight_ += Row.InFlight_;
      Total.PrefillMs_ += Row.PrefillMs_;
    }
  }
  for (Upstream &U : S.Upstreams_) {
    const auto Found = Totals.find(upstreamHash(U));
    U.OthersLoad_ = Found == Totals.end() ? 0 : Found->second.InFlight_;
    U.OthersPrefillMs_ = Found == Totals.end() ? 0 : Found->second.PrefillMs_;
  }
}

/// @return true if the next summaries carry what was measured of speeds
bool takeSpeedReportDue(State &S) {
  if (S.Now_ - S.Speeds_.SentAt_ < SpeedWindow)
    return false;
  S.Speeds_.SentAt_ = S.Now_;
  return true;
}

std::vector<std::string> sourceNames(const State &S) {
  std::vector<std::string> Names;
  for (const PeerState *Source : summarySources(S))
    Names.push_back(Source->Row_.Instance_.Name_);
  return Names;
}

/// Hosts by service. One that is missing from the list keeps its speed until it
/// leaves.
HostHashes hostsByService(const State &S) {
  HostHashes Hosts;
  for (const Upstream &U : S.Upstreams_)
    if (!U.Leaving_ && !U.IsPeer_)
      Hosts[U.Row_.Service_].push_back(instanceHash(U.Row_.Host_));
  return Hosts;
}

/// Logs how a service's hosts differ.
void logSpeeds(const State &S, const HostHashes &Hosts, Effects &Out) {
  for (const auto &[Service, Hashes] : Hosts) {
    const SlownessRange Range = slownessRange(S.Speeds_, Hashes);
    logEvent(
        Out, "speeds",
        {{"service", Service},
         {"hosts", std::to_string(Hashes.size())},
         {"ms_per_1000_tokens",
          fmt::format("{:.2f}", typicalPromptMs(S.Speeds_, Service, 1000))},
         {"slowness", fmt::format("{:.2f}/{:.2f}/{:.2f}", Range.Least_,
                                  Range.Median_, Range.Largest_)}});
  }
}

/// Ends a window of measured times and learns from those of all processes.
void tickSpeeds(State &S, Effects &Out) {
  SpeedState &Speeds = S.Speeds_;
  if (S.Now_ - Speeds.WindowBeganAt_ < SpeedWindow)
    return;
  endSpeedWindow(Speeds, S.Now_);
  const HostHashes Hosts = hostsByService(S);
  learnSpeeds(Speeds, totalSpeeds(Speeds, sourceNames(S), S.Now_), Hosts);
  if (S.Now_ - Speeds.LoggedAt_ < SpeedLogPeriod)
    return;
  Speeds.LoggedAt_ = S.Now_;
  logSpeeds(S, Hosts, Out);
}

/// Decides by the scope of a summary whether it counts in this process's role.
/// A report makes this process an aggregator.
/// @return true if the summary counts
bool acceptsSummary(State &S, const InstanceId &From,
                    const SummaryMessage &Message, Effects &Out) {
  switch (Message.Scope_) {
  case SummaryScope::Process:
    becomeAggregator(S, Out);
    return true;
  case SummaryScope::Group:
    return isAggregator(S);
  case SummaryScope::All:
    break;
  }
  return From.Name_ == S.Membership_.Aggregator_;
}

/// Sends this process's values to its aggregator.
void sendReport(State &S, Effects &Out) {
  MembershipState &Membership = S.Membership_;
  Membership.ReportSentAt_ = S.Now_;
  SummaryMessage Report = SummaryBuilder(S, SummaryScope::Process).build();
  Report.Sequence_ = ++Membership.ReportSequence_;
  Membership.SentReports_.push_back(Report);
  if (Membership.SentReports_.size() > MaxRetainedReports)
    Membership.SentReports_.pop_front();
  if (takeSpeedReportDue(S))
    Report.Speeds_ = totalSpeeds(S.Speeds_, {}, S.Now_);
  Out.push_back(SendToPeer{Membership.Aggregator_, std::move(Report)});
}

/// Sends the summary of the group to the other aggregators and the summary of
/// all processes to the group.
void sendSummaries(State &S, Effects &Out) {
  S.Membership_.SummarySentAt_ = S.Now_;
  const std::vector<std::string> Members = groupReporters(S);
  SummaryBuilder Group(S, SummaryScope::Group);
  for (const std::string &Name : Members)
    Group.addPeer(S.Membership_.Peers_.at(Name));
  SummaryMessage Summary = Group.build();
  if (!isLargeCluster(S))
    Summary.Usage_ =
        usageRows(S, std::max(MinSummaryUsageWindows, undecidedWindows(S) + 1));
  else
    Summary.Aggregators_ = recentAggregators(S);
  const bool WithSpeeds = takeSpeedReportDue(S);
  if (WithSpeeds)
    Summary.Speeds_ = totalSpeeds(S.Speeds_, Members, S.Now_);
  Out.push_back(SendToPeers{otherAggregators(S), std::move(Summary)});
  if (Members.empty())
    return;
  SummaryBuilder AllProcesses(S, SummaryScope::All);
  for (const PeerState *Source : summarySources(S))
    if (hasRecentSummary(S, *Source))
      AllProcesses.addPeer(*Source);
  for (const std::string &Name : Members)
    AllProcesses.includeReport(S.Membership_.Peers_.at(Name));
  SummaryMessage All = AllProcesses.build();
  if (WithSpeeds)
    All.Speeds_ = totalSpeeds(S.Speeds_, sourceNames(S), S.Now_);
  Out.push_back(SendToPeers{Members, std::move(All)});
}

/// Sends usage counts to the store readers in a large cluster, because only
/// they can hold the lease. In a small cluster the summaries carry the counts.
void sendUsage(State &S, Effects &Out) {
  if (!isLargeCluster(S) ||
      S.Now_ - S.Membership_.UsageSentAt_ < UsageMessagePeriod)
    return;
  S.Membership_.UsageSentAt_ = S.Now_;
  std::vector<std::string> Readers;
  for (const auto &[Name, Reader] : S.Membership_.StoreReaders_)
    Readers.push_back(Name);
  if (!Readers.empty())
    Out.push_back(
        SendToPeers{std::move(Readers),
                    UsageMessage{usageRows(S, undecidedWindows(S) + 1)}});
}

/// Detects a change that peers must receive at once.
/// @return true if the host list, the configuration or the evacuations have
/// changed since the last call
bool detectPublishedStateChange(State &S) {
  std::uint64_t Hash =
      hostsHash(S) + static_cast<std::uint64_t>(S.Config_.Version_);
  for (const auto &[Name, Known] : S.Evacuations_.DataCentres_)
    Hash += static_cast<std::uint64_t>(Known.Offset_);
  if (Hash == S.Membership_.PublishedStateHash_)
    return false;
  S.Membership_.PublishedStateHash_ = Hash;
  return true;
}

} // namespace

void onSummary(State &S, const InstanceId &From, const SummaryMessage &Message,
               Effects &Out) {
  const auto Found = S.Membership_.Peers_.find(From.Name_);
  if (Found == S.Membership_.Peers_.end())
    return; // Unknown until its digest or join record arrives.
  PeerState &Sender = Found->second;
  mergeStoreState(S, From, Message, Out);
  recordPeerClock(S, From.Name_, Message.UnixMs_);
  adoptServiceRollouts(S, Message.Rollouts_, Out);
  mergeLimits(S, Message.Limits_, Out);
  mergeColdHosts(S, Message.ColdHosts_, Out);
  mergeEvacuations(S, Message.Evacuations_, Out);
  if (Message.ConfigVersion_ > S.Config_.Version_)
    Out.push_back(SendToPeer{From.Name_, ControlRequestMessage{}});
  if (!isLargeCluster(S))
    onPeerUsage(S, From, Message.Usage_);
  if (!acceptsSummary(S, From, Message, Out))
    return;
  mergeAggregators(S, Message.Aggregators_);
  keepSpeedReport(S.Speeds_, From.Name_, Message.Speeds_, S.Now_);
  SummaryMessage Summary = Message;
  Summary.Speeds_ = {};
  if (Message.Scope_ == SummaryScope::All && !subtractOwnReport(S, Summary))
    return;
  Sender.Summary_ = std::move(Summary);
  Sender.SummaryReceivedAt_ = S.Now_;
  S.Membership_.OthersLoadsChanged_ = true;
}

void onPeerUsage(State &S, const InstanceId &From,
                 std::span<const UsageRow> Rows) {
  mergePeerUsage(S, From, Rows);
  const auto Found = S.Membership_.Peers_.find(From.Name_);
  if (Found != S.Membership_.Peers_.end())
    Found->second.UsageReceivedAt_ = S.Now_;
}

void tickSummaries(State &S, Effects &Out) {
  MembershipState &Membership = S.Membership_;
  updateAggregator(S, Out);
  tickSpeeds(S, Out);
  const bool StateChanged = detectPublishedStateChange(S);
  if (isAggregator(S)
          ? StateChanged || S.Now_ - Membership.SummarySentAt_ >= SummaryPeriod
          : false)
    sendSummaries(S, Out);
  if (!isAggregator(S) &&
      (StateChanged || S.Now_ - Membership.ReportSentAt_ >= ReportPeriod))
    sendReport(S, Out);
  sendUsage(S, Out);
  if (!Membership.OthersLoadsChanged_)
    return;
  Membership.OthersLoadsChanged_ = false;
  updateOthersLoads(S);
}

} // namespace endivewharf
