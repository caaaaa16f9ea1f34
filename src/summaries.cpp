// Sums replace each other, so a lost message costs nothing but its age. Who
// tells whom is decided in collectors.cpp.
#include "summaries.h"

#include "aggregators.h"
#include "membership.h"
#include "quota.h"
#include "rollout.h"
#include "storereaders.h"
#include "usage.h"

#include <algorithm>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr Millis SummaryPeriod = 250; // ms between two messages of a collector
constexpr Millis ReportPeriod = 250;  // ms between two reports to a collector
constexpr Millis UsageMessagePeriod =
    1000; // ms between two messages to followers
constexpr std::size_t MaxRetainedReports = 16; // for answers that are late
constexpr std::int64_t SummaryUsageWindows = 4;
constexpr std::int64_t UsageMessageWindows = 2;

std::uint32_t upstreamHash(const Upstream &U) {
  const std::string &Name = U.Row_.Host_.Name_;
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(
      Name.data(), Name.size(), U.Row_.Host_.Incarnation_));
}

std::vector<UsageRow> usageRows(const State &S, std::int64_t Windows) {
  std::vector<UsageRow> Rows;
  const std::int64_t Window = currentUsageWindow(S);
  for (const auto &[Number, Counts] : S.Usage_.OwnCounts_)
    if (Number > Window - Windows)
      for (const auto &[Account, Count] : Counts)
        Rows.push_back({Number, Account, Count});
  return Rows;
}

/// Adds up rows of several processes, by what they are about.
class SummaryBuilder {
public:
  /// Begins with this process's own part.
  SummaryBuilder(const State &S, SummaryScope Scope) {
    Message_.Scope_ = Scope;
    for (const Upstream &U : S.Upstreams_)
      if (U.InFlight_ > 0)
        Loads_[upstreamHash(U)] = {upstreamHash(U), U.InFlight_,
                                   static_cast<int>(U.PrefillMs_)};
    for (const auto &[Name, Q] : S.Quotas_.Accounts_) {
      const double Others = Scope == SummaryScope::All     ? Q.OthersAdmitted_
                            : Scope == SummaryScope::Group ? Q.GroupAdmitted_
                                                           : 0;
      Demands_[Name] = {Name, Q.DemandPerSecond_, Q.Admitted_ + Others, 0};
    }
    for (const auto &[Service, W] : S.Fleet_.Work_)
      Work_[Service] = {Service, std::max(W.FastAverage_, W.SlowAverage_)};
    for (const auto &[Service, Move] : S.Release_.Rollouts_)
      Message_.Rollouts_.push_back(Move.Row_);
    Message_.ConfigVersion_ = S.Config_.Version_;
    Message_.UnixMs_ = correctedUnixMs(S);
    writeStoreState(S, Message_);
  }

  /// Adds what a peer told; all that it admitted is in our own counts already.
  SummaryBuilder &addPeer(const PeerState &M, bool Heard) {
    for (const DemandRow &Row : M.Summary_.Demands_) {
      DemandRow &Sum = Demands_[Row.Account_];
      Sum.Account_ = Row.Account_;
      (Heard ? Sum.PerSecond_ : Sum.StalePerSecond_) += Row.PerSecond_;
      Sum.StalePerSecond_ += Row.StalePerSecond_;
    }
    if (!Heard)
      return *this;
    Message_.ProcessCount_ += M.Summary_.ProcessCount_;
    for (const LoadRow &Row : M.Summary_.Loads_) {
      LoadRow &Sum = Loads_[Row.UpstreamHash_];
      Sum.UpstreamHash_ = Row.UpstreamHash_;
      Sum.InFlight_ += Row.InFlight_;
      Sum.PrefillMs_ += Row.PrefillMs_;
    }
    for (const WorkRow &Row : M.Summary_.Work_) {
      WorkRow &Sum = Work_[Row.Service_];
      Sum.Service_ = Row.Service_;
      Sum.MsPerSecond_ += Row.MsPerSecond_;
    }
    return *this;
  }

  /// Names the report of a peer that was added.
  SummaryBuilder &includeReport(const PeerState &M) {
    Message_.IncludedReports_.push_back(
        {instanceHash(M.Row_.Instance_), M.Summary_.Sequence_});
    return *this;
  }

  SummaryMessage build() {
    for (auto &[Upstream, Row] : Loads_)
      Message_.Loads_.push_back(Row);
    for (auto &[Account, Row] : Demands_)
      Message_.Demands_.push_back(std::move(Row));
    for (auto &[Service, Row] : Work_)
      Message_.Work_.push_back(std::move(Row));
    return std::move(Message_);
  }

private:
  SummaryMessage Message_;
  std::unordered_map<std::uint32_t, LoadRow> Loads_;
  std::map<std::string, DemandRow> Demands_;
  std::map<std::string, WorkRow> Work_;
};

/// Takes this process's own part out of the sums of all, as it was when the
/// collector heard of it.
/// @return false if that can't be told any more
bool subtractOwnReport(const State &S, SummaryMessage &M, bool &CountsUs) {
  const std::uint32_t Own = instanceHash(S.Self_);
  const auto Row = std::find_if(
      M.IncludedReports_.begin(), M.IncludedReports_.end(),
      [&](const IncludedReportRow &R) { return R.InstanceHash_ == Own; });
  CountsUs = Row != M.IncludedReports_.end();
  if (!CountsUs)
    return true;
  const auto &Reports = S.Membership_.SentReports_;
  const auto Report = std::find_if(
      Reports.begin(), Reports.end(),
      [&](const SummaryMessage &R) { return R.Sequence_ == Row->Sequence_; });
  if (Report == Reports.end())
    return false;
  M.ProcessCount_ -= 1;
  for (const LoadRow &Ours : Report->Loads_)
    for (LoadRow &Sum : M.Loads_)
      if (Sum.UpstreamHash_ == Ours.UpstreamHash_) {
        Sum.InFlight_ = std::max(0, Sum.InFlight_ - Ours.InFlight_);
        Sum.PrefillMs_ = std::max(0, Sum.PrefillMs_ - Ours.PrefillMs_);
      }
  for (const DemandRow &Ours : Report->Demands_)
    for (DemandRow &Sum : M.Demands_)
      if (Sum.Account_ == Ours.Account_) {
        Sum.PerSecond_ = std::max(0.0, Sum.PerSecond_ - Ours.PerSecond_);
        Sum.Admitted_ -= Ours.Admitted_;
      }
  for (const WorkRow &Ours : Report->Work_)
    for (WorkRow &Sum : M.Work_)
      if (Sum.Service_ == Ours.Service_)
        Sum.MsPerSecond_ = std::max(0.0, Sum.MsPerSecond_ - Ours.MsPerSecond_);
  return true;
}

/// Adds up what the others have under way at each upstream.
void updateOthersLoads(State &S) {
  std::unordered_map<std::uint32_t, LoadRow> Sums;
  for (const PeerState *M : summarySources(S)) {
    if (!hasRecentSummary(S, *M))
      continue;
    for (const LoadRow &Row : M->Summary_.Loads_) {
      LoadRow &Sum = Sums[Row.UpstreamHash_];
      Sum.InFlight_ += Row.InFlight_;
      Sum.PrefillMs_ += Row.PrefillMs_;
    }
  }
  for (Upstream &U : S.Upstreams_) {
    const auto Found = Sums.find(upstreamHash(U));
    U.OthersLoad_ = Found == Sums.end() ? 0 : Found->second.InFlight_;
    U.OthersPrefillMs_ = Found == Sums.end() ? 0 : Found->second.PrefillMs_;
  }
}

/// @return true if a message's sums are part of what this process goes by
bool acceptsSummary(State &S, const InstanceId &From, const SummaryMessage &M,
                    Effects &Out) {
  switch (M.Scope_) {
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

void sendReport(State &S, Effects &Out) {
  MembershipState &All = S.Membership_;
  All.ReportSentAt_ = S.Now_;
  SummaryMessage Report = SummaryBuilder(S, SummaryScope::Process).build();
  Report.Sequence_ = ++All.ReportSequence_;
  All.SentReports_.push_back(Report);
  if (All.SentReports_.size() > MaxRetainedReports)
    All.SentReports_.pop_front();
  Out.push_back(SendToPeer{All.Aggregator_, std::move(Report)});
}

/// Sums of the group go to other collectors, those of all to the group.
void sendSummaries(State &S, Effects &Out) {
  S.Membership_.SummarySentAt_ = S.Now_;
  const std::vector<std::string> Members = groupMembers(S);
  SummaryBuilder Group(S, SummaryScope::Group);
  for (const std::string &Name : Members)
    Group.addPeer(S.Membership_.Peers_.at(Name), true);
  SummaryMessage Sums = Group.build();
  if (!isLargeCluster(S))
    Sums.Usage_ = usageRows(S, SummaryUsageWindows);
  else
    Sums.Aggregators_ = recentAggregators(S);
  Out.push_back(SendToPeers{otherAggregators(S), std::move(Sums)});
  if (Members.empty())
    return;
  SummaryBuilder Whole(S, SummaryScope::All);
  for (const PeerState *M : summarySources(S))
    Whole.addPeer(*M, hasRecentSummary(S, *M));
  for (const std::string &Name : Members)
    Whole.includeReport(S.Membership_.Peers_.at(Name));
  Out.push_back(SendToPeers{Members, Whole.build()});
}

/// In a large group only those who may hold the lease are told of usage.
void sendUsage(State &S, Effects &Out) {
  if (!isLargeCluster(S) ||
      S.Now_ - S.Membership_.UsageSentAt_ < UsageMessagePeriod)
    return;
  S.Membership_.UsageSentAt_ = S.Now_;
  std::vector<std::string> Followers;
  for (const auto &[Name, F] : S.Membership_.StoreReaders_)
    Followers.push_back(Name);
  if (!Followers.empty())
    Out.push_back(SendToPeers{std::move(Followers),
                              UsageMessage{usageRows(S, UsageMessageWindows)}});
}

/// @return true if what the others wait for has changed since the last message
bool detectPublishedStateChange(State &S) {
  const std::uint64_t News =
      hostsHash(S) + static_cast<std::uint64_t>(S.Config_.Version_);
  if (News == S.Membership_.PublishedStateHash_)
    return false;
  S.Membership_.PublishedStateHash_ = News;
  return true;
}

} // namespace

void onSummary(State &S, const InstanceId &From, const SummaryMessage &M,
               Effects &Out) {
  const auto Found = S.Membership_.Peers_.find(From.Name_);
  if (Found == S.Membership_.Peers_.end())
    return; // its digest will come first
  PeerState &Sender = Found->second;
  mergeStoreState(S, From, M, Out);
  recordPeerClock(S, From.Name_, M.UnixMs_);
  adoptServiceRollouts(S, M.Rollouts_, Out);
  if (M.ConfigVersion_ > S.Config_.Version_)
    Out.push_back(SendToPeer{From.Name_, ControlRequestMessage{}});
  if (!isLargeCluster(S))
    onPeerUsage(S, From, M.Usage_);
  if (!acceptsSummary(S, From, M, Out))
    return;
  mergeAggregators(S, M.Aggregators_);
  SummaryMessage Sums = M;
  bool CountsUs = false;
  if (M.Scope_ == SummaryScope::All && !subtractOwnReport(S, Sums, CountsUs))
    return;
  // Sums that begin to count otherwise have no increase to be read off them.
  const bool SameKind = Sender.Summary_.Scope_ == M.Scope_ &&
                        Sender.IncludesSelf_ == CountsUs &&
                        (M.Scope_ != SummaryScope::All ||
                         Sender.SummaryIncarnation_ == From.Incarnation_);
  if (SameKind)
    mergePeerAdmissions(S, Sender, Sums, From.Incarnation_);
  Sender.SummaryIncarnation_ = From.Incarnation_;
  Sender.IncludesSelf_ = CountsUs;
  Sender.Summary_ = std::move(Sums);
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
  MembershipState &All = S.Membership_;
  updateAggregator(S, Out);
  const bool News = detectPublishedStateChange(S);
  if (isAggregator(S) ? News || S.Now_ - All.SummarySentAt_ >= SummaryPeriod
                      : false)
    sendSummaries(S, Out);
  if (!isAggregator(S) && (News || S.Now_ - All.ReportSentAt_ >= ReportPeriod))
    sendReport(S, Out);
  sendUsage(S, Out);
  if (!All.OthersLoadsChanged_)
    return;
  All.OthersLoadsChanged_ = false;
  updateOthersLoads(S);
}

} // namespace endivewharf
