// Sums replace each other, so a lost message costs nothing but its age. Who
// tells whom is decided in collectors.cpp.
#include "sums.h"

#include "collectors.h"
#include "followers.h"
#include "membership.h"
#include "quota.h"
#include "rollout.h"
#include "usage.h"

#include <algorithm>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr Millis SumsPeriod = 250;   // ms between two messages of a collector
constexpr Millis ReportPeriod = 250; // ms between two reports to a collector
constexpr Millis UsagePeriod = 1000; // ms between two messages to followers
constexpr std::size_t ReportsKept = 16; // for answers that are late
constexpr std::int64_t UsageWindowsTold = 4;
constexpr std::int64_t UsageWindowsToldToFollowers = 2;

std::uint32_t upstreamHash(const Upstream &U) {
  const std::string &Name = U.Row_.Host_.Name_;
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(
      Name.data(), Name.size(), U.Row_.Host_.Incarnation_));
}

std::vector<UsageRow> usageRows(const State &S, std::int64_t Windows) {
  std::vector<UsageRow> Rows;
  const std::int64_t Window = usageWindow(S);
  for (const auto &[Number, Counts] : S.Usage_.Own_)
    if (Number > Window - Windows)
      for (const auto &[Account, Count] : Counts)
        Rows.push_back({Number, Account, Count});
  return Rows;
}

/// Adds up rows of several processes, by what they are about.
class SumsBuilder {
public:
  /// Begins with this process's own part.
  SumsBuilder(const State &S, SumsScope Scope) {
    Message_.Scope_ = Scope;
    for (const Upstream &U : S.Upstreams_)
      if (U.InFlight_ > 0)
        Loads_[upstreamHash(U)] = {upstreamHash(U), U.InFlight_,
                                   static_cast<int>(U.PrefillMs_)};
    for (const auto &[Name, Q] : S.Quotas_.Accounts_) {
      const double Others = Scope == SumsScope::All     ? Q.Heard_
                            : Scope == SumsScope::Group ? Q.InGroup_
                                                        : 0;
      Demands_[Name] = {Name, Q.Demand_, Q.Admitted_ + Others, 0};
    }
    for (const auto &[Service, W] : S.Fleet_.Work_)
      Work_[Service] = {Service, std::max(W.Fast_, W.Slow_)};
    for (const auto &[Service, Move] : S.Release_.Moves_)
      Message_.Moves_.push_back(Move.Row_);
    Message_.ConfigVersion_ = S.Config_.Version_;
    Message_.UnixMs_ = trueUnixMs(S);
    tellFollowing(S, Message_);
  }

  /// Adds what a peer told; all that it admitted is in our own counts already.
  SumsBuilder &add(const Member &M, bool Heard) {
    for (const DemandRow &Row : M.Sums_.Demands_) {
      DemandRow &Sum = Demands_[Row.Account_];
      Sum.Account_ = Row.Account_;
      (Heard ? Sum.PerSecond_ : Sum.Silent_) += Row.PerSecond_;
      Sum.Silent_ += Row.Silent_;
    }
    if (!Heard)
      return *this;
    Message_.Processes_ += M.Sums_.Processes_;
    for (const LoadRow &Row : M.Sums_.Loads_) {
      LoadRow &Sum = Loads_[Row.Upstream_];
      Sum.Upstream_ = Row.Upstream_;
      Sum.InFlight_ += Row.InFlight_;
      Sum.PrefillMs_ += Row.PrefillMs_;
    }
    for (const WorkRow &Row : M.Sums_.Work_) {
      WorkRow &Sum = Work_[Row.Service_];
      Sum.Service_ = Row.Service_;
      Sum.MsPerSecond_ += Row.MsPerSecond_;
    }
    return *this;
  }

  /// Names the report of a peer that was added.
  SumsBuilder &include(const Member &M) {
    Message_.Included_.push_back({lifeHash(M.Row_.Life_), M.Sums_.Sequence_});
    return *this;
  }

  SumsMessage build() {
    for (auto &[Upstream, Row] : Loads_)
      Message_.Loads_.push_back(Row);
    for (auto &[Account, Row] : Demands_)
      Message_.Demands_.push_back(std::move(Row));
    for (auto &[Service, Row] : Work_)
      Message_.Work_.push_back(std::move(Row));
    return std::move(Message_);
  }

private:
  SumsMessage Message_;
  std::unordered_map<std::uint32_t, LoadRow> Loads_;
  std::map<std::string, DemandRow> Demands_;
  std::map<std::string, WorkRow> Work_;
};

/// Takes this process's own part out of the sums of all, as it was when the
/// collector heard of it.
/// @return false if that can't be told any more
bool takeOwnOut(const State &S, SumsMessage &M, bool &CountsUs) {
  const std::uint32_t Own = lifeHash(S.Self_);
  const auto Row =
      std::find_if(M.Included_.begin(), M.Included_.end(),
                   [&](const IncludedRow &R) { return R.LifeHash_ == Own; });
  CountsUs = Row != M.Included_.end();
  if (!CountsUs)
    return true;
  const auto &Reports = S.Membership_.Reports_;
  const auto Report =
      std::find_if(Reports.begin(), Reports.end(), [&](const SumsMessage &R) {
        return R.Sequence_ == Row->Sequence_;
      });
  if (Report == Reports.end())
    return false;
  M.Processes_ -= 1;
  for (const LoadRow &Ours : Report->Loads_)
    for (LoadRow &Sum : M.Loads_)
      if (Sum.Upstream_ == Ours.Upstream_) {
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
void addOthersLoads(State &S) {
  std::unordered_map<std::uint32_t, LoadRow> Sums;
  for (const Member *M : sumsSources(S)) {
    if (!isHeard(S, *M))
      continue;
    for (const LoadRow &Row : M->Sums_.Loads_) {
      LoadRow &Sum = Sums[Row.Upstream_];
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
bool isForUs(State &S, const Life &From, const SumsMessage &M, Effects &Out) {
  switch (M.Scope_) {
  case SumsScope::Process:
    becomeCollector(S, Out);
    return true;
  case SumsScope::Group:
    return isCollector(S);
  case SumsScope::All:
    break;
  }
  return From.Name_ == S.Membership_.Collector_;
}

void sendReport(State &S, Effects &Out) {
  MembershipState &All = S.Membership_;
  All.ReportSentAt_ = S.Now_;
  SumsMessage Report = SumsBuilder(S, SumsScope::Process).build();
  Report.Sequence_ = ++All.ReportSequence_;
  All.Reports_.push_back(Report);
  if (All.Reports_.size() > ReportsKept)
    All.Reports_.pop_front();
  Out.push_back(SendToPeer{All.Collector_, std::move(Report)});
}

/// Sums of the group go to other collectors, those of all to the group.
void sendAsCollector(State &S, Effects &Out) {
  S.Membership_.SumsSentAt_ = S.Now_;
  const std::vector<std::string> Members = groupMembers(S);
  SumsBuilder Group(S, SumsScope::Group);
  for (const std::string &Name : Members)
    Group.add(S.Membership_.Members_.at(Name), true);
  SumsMessage Sums = Group.build();
  if (!isLargeGroup(S))
    Sums.Usage_ = usageRows(S, UsageWindowsTold);
  else
    Sums.Collectors_ = heardCollectors(S);
  Out.push_back(SendToPeers{otherCollectors(S), std::move(Sums)});
  if (Members.empty())
    return;
  SumsBuilder Whole(S, SumsScope::All);
  for (const Member *M : sumsSources(S))
    Whole.add(*M, isHeard(S, *M));
  for (const std::string &Name : Members)
    Whole.include(S.Membership_.Members_.at(Name));
  Out.push_back(SendToPeers{Members, Whole.build()});
}

/// In a large group only those who may hold the lease are told of usage.
void sendUsage(State &S, Effects &Out) {
  if (!isLargeGroup(S) || S.Now_ - S.Membership_.UsageSentAt_ < UsagePeriod)
    return;
  S.Membership_.UsageSentAt_ = S.Now_;
  std::vector<std::string> Followers;
  for (const auto &[Name, F] : S.Membership_.Followers_)
    Followers.push_back(Name);
  if (!Followers.empty())
    Out.push_back(
        SendToPeers{std::move(Followers),
                    UsageMessage{usageRows(S, UsageWindowsToldToFollowers)}});
}

/// @return true if what the others wait for has changed since the last message
bool hasNews(State &S) {
  const std::uint64_t News =
      hostsHash(S) + static_cast<std::uint64_t>(S.Config_.Version_);
  if (News == S.Membership_.NewsTold_)
    return false;
  S.Membership_.NewsTold_ = News;
  return true;
}

} // namespace

void onSums(State &S, const Life &From, const SumsMessage &M, Effects &Out) {
  const auto Found = S.Membership_.Members_.find(From.Name_);
  if (Found == S.Membership_.Members_.end())
    return; // its digest will come first
  Member &Sender = Found->second;
  noteFollowing(S, From, M, Out);
  noteClock(S, From.Name_, M.UnixMs_);
  adoptRollouts(S, M.Moves_, Out);
  if (M.ConfigVersion_ > S.Config_.Version_)
    Out.push_back(SendToPeer{From.Name_, ControlRequestMessage{}});
  if (!isLargeGroup(S))
    onUsageTold(S, From, M.Usage_);
  if (!isForUs(S, From, M, Out))
    return;
  noteCollectors(S, M.Collectors_);
  SumsMessage Sums = M;
  bool CountsUs = false;
  if (M.Scope_ == SumsScope::All && !takeOwnOut(S, Sums, CountsUs))
    return;
  // Sums that begin to count otherwise have no increase to be read off them.
  const bool SameKind =
      Sender.Sums_.Scope_ == M.Scope_ && Sender.CountsUs_ == CountsUs &&
      (M.Scope_ != SumsScope::All || Sender.SumsLife_ == From.Incarnation_);
  if (SameKind)
    noteAdmitted(S, Sender, Sums, From.Incarnation_);
  Sender.SumsLife_ = From.Incarnation_;
  Sender.CountsUs_ = CountsUs;
  Sender.Sums_ = std::move(Sums);
  Sender.SumsAt_ = S.Now_;
  S.Membership_.LoadsChanged_ = true;
}

void onUsageTold(State &S, const Life &From, std::span<const UsageRow> Rows) {
  noteUsage(S, From, Rows);
  const auto Found = S.Membership_.Members_.find(From.Name_);
  if (Found != S.Membership_.Members_.end())
    Found->second.UsageAt_ = S.Now_;
}

void tickSums(State &S, Effects &Out) {
  MembershipState &All = S.Membership_;
  updateCollector(S, Out);
  const bool News = hasNews(S);
  if (isCollector(S) ? News || S.Now_ - All.SumsSentAt_ >= SumsPeriod : false)
    sendAsCollector(S, Out);
  if (!isCollector(S) && (News || S.Now_ - All.ReportSentAt_ >= ReportPeriod))
    sendReport(S, Out);
  sendUsage(S, Out);
  if (!All.LoadsChanged_)
    return;
  All.LoadsChanged_ = false;
  addOthersLoads(S);
}

} // namespace endivewharf
