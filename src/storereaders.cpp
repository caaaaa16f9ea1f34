// Versions grow with every change, so the larger one is the newer whichever way
// it arrives. Ages are relative, because clocks of processes differ; each
// process that passes a row on adds the time that it kept it.
#include "storereaders.h"

#include "aggregators.h"
#include "diagnostics.h"
#include "freshness.h"
#include "membership.h"
#include "restore.h"
#include "upstreams.h"

#include <algorithm>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr Millis MaxHostListAge = 1100; // ms; older reads are not published
// The same limit, in ms, for a large cluster, where lists are read less often.
constexpr Millis LargeClusterMaxHostListAge = 2500;
// Longer than the time between two reads of store readers, ms.
constexpr Millis MinOutage = 1100;
constexpr Millis HostListUpdateTimeout = 1500;  // ms for a peer's newer list
constexpr Millis HostListRequestInterval = 300; // ms between two requests
constexpr Millis StoreReaderRemovalTimeout = 10000; // ms since the last read
// Time without a confirmation of the host list, in ms, that is logged.
constexpr Millis LoggedHostListSilence = 1200;
constexpr std::size_t MaxStoreReaderRows = 4; // all store readers and one spare

StoreReaderRow ownStoreReaderRow(const State &S) {
  StoreReaderRow Row;
  Row.Name_ = S.Self_.Name_;
  Row.HostsHash_ = hostsHash(S);
  Row.HostsVersion_ = S.HostsVersion_;
  Row.HostsAge_ = S.Now_ - S.HostsCompleteAt_;
  Row.HostsReadAt_ = S.HostsCompleteAt_;
  Row.HostsReadableFor_ = S.HostsCompleteAt_ - S.HostsReadableSince_;
  Row.HostsRecovered_ = S.HostsRecovered_;
  Row.ConfigVersion_ = S.Config_.Version_;
  Row.ConfigAge_ =
      S.OperatorLog_.LastReadAt_ < 0 ? -1 : S.Now_ - S.OperatorLog_.LastReadAt_;
  return Row;
}

/// @return true if this process publishes what it has read: it is a store
/// reader, or none of them has read as recently as it has
bool publishesReads(const State &S) {
  return isStoreReader(S) || S.HostsCompleteAt_ >= S.HostsConfirmedAt_;
}

/// Compares a store reader's host list with the list in use here. A newer list
/// with other contents shows that the one in use is outdated; any other list
/// confirms it.
void mergeHostListState(State &S, const StoreReaderRow &Row, Effects &Out) {
  if (Row.HostsVersion_ > S.HostsVersion_) {
    if (Row.HostsHash_ != hostsHash(S)) {
      if (S.HostsBehindSince_ == 0) {
        S.HostsBehindSince_ = S.Now_;
        logEvent(Out, "host_list_behind",
                 {{"peer", Row.Name_},
                  {"version", std::to_string(Row.HostsVersion_)},
                  {"own", std::to_string(S.HostsVersion_)},
                  {"age_ms", std::to_string(Row.HostsAge_)}});
      }
      // In a large cluster a peer sends the list; this process reads the store
      // only if none does.
      if (!isLargeCluster(S) ||
          S.Now_ - S.HostsBehindSince_ > HostListUpdateTimeout)
        S.HostsOutdated_ = true;
      return;
    }
    S.HostsVersion_ = Row.HostsVersion_;
  }
  S.HostsBehindSince_ = 0;
  confirmHostList(S, S.Now_ - Row.HostsAge_, Row.Name_, Out);
}

/// Merges the row of one store reader, received directly or through others.
void mergeStoreReaderRow(State &S, const StoreReaderRow &Row, Effects &Out) {
  if (Row.Name_ == S.Self_.Name_ || Row.HostsHash_ == 0)
    return;
  StoreReaderState &Known = S.Membership_.StoreReaders_[Row.Name_];
  const Millis HostsReadAt = S.Now_ - Row.HostsAge_;
  // A row that is passed on in a circle must not renew itself, so a row counts
  // only if its read is later on the reader's own clock. If the known row is
  // stale, any row replaces it.
  const bool Stale =
      S.Now_ - Known.HostsReadAt_ > LargeClusterStoreReaderTimeout;
  if (Row.HostsReadAt_ <= Known.Row_.HostsReadAt_ && !Stale)
    return;
  Known.Row_ = Row;
  Known.HostsReadAt_ = HostsReadAt;
  recordEra(S, Row.HostsVersion_, Out);
  if (eraOf(Row.HostsVersion_) == S.StoreService_.Era_)
    recordStoreService(S, HostsReadAt - Row.HostsReadableFor_, HostsReadAt,
                       Row.HostsRecovered_, Out);
  mergeHostListState(S, Row, Out);
  if (Row.ConfigAge_ < 0 || Row.ConfigVersion_ > S.Config_.Version_)
    return;
  const Millis ConfigReadAt = S.Now_ - Row.ConfigAge_;
  S.OperatorLog_.LastReadAt_ =
      std::max(S.OperatorLog_.LastReadAt_, ConfigReadAt);
  S.OperatorLog_.StoreReaderReadAt_ =
      std::max(S.OperatorLog_.StoreReaderReadAt_, ConfigReadAt);
}

/// Requests the host list of a peer that uses a newer one, in a large cluster
/// or if this process cannot read it. A list with equal contents needs only its
/// version.
void requestNewerHostList(State &S, const InstanceId &From,
                          const SummaryMessage &Message, Effects &Out) {
  const bool ReadsItself = !isLargeCluster(S) && S.HostsFailingSince_ == 0;
  if (Message.UsedHostsVersion_ <= S.HostsVersion_ || ReadsItself)
    return;
  if (Message.UsedHostsHash_ == hostsHash(S)) {
    S.HostsVersion_ = Message.UsedHostsVersion_;
    return;
  }
  if (S.Now_ - S.HostsRequestedAt_ < HostListRequestInterval)
    return;
  S.HostsRequestedAt_ = S.Now_;
  Out.push_back(SendToPeer{From.Name_, HostsRequestMessage{}});
}

} // namespace

void confirmHostList(State &S, Millis At, const std::string &By, Effects &Out) {
  if (At <= S.HostsConfirmedAt_)
    return;
  const Millis Silence = At - S.HostsConfirmedAt_;
  if (S.HostsConfirmedAt_ >= 0 && Silence > LoggedHostListSilence)
    logEvent(Out, "host_list_confirmed",
             {{"peer", By},
              {"age_ms", std::to_string(S.Now_ - At)},
              {"silent_ms", std::to_string(Silence)}});
  S.HostsConfirmedAt_ = At;
  S.HostsConfirmedBy_ = By;
}

std::uint64_t hostsHash(const State &S) {
  std::uint64_t Sum = 1;
  for (const Upstream &U : S.Upstreams_)
    if (U.InLatestList_)
      Sum += XXH3_64bits_withSeed(
          U.Row_.Host_.Name_.data(), U.Row_.Host_.Name_.size(),
          U.Row_.Host_.Incarnation_ * 2 + (U.Row_.Leaving_ ? 1 : 0));
  return Sum;
}

void writeStoreState(const State &S, SummaryMessage &To) {
  if (S.HostsVersion_ != 0) {
    To.UsedHostsHash_ = hostsHash(S);
    To.UsedHostsVersion_ = S.HostsVersion_;
  }
  const Millis MaxAge =
      isLargeCluster(S) ? LargeClusterMaxHostListAge : MaxHostListAge;
  const bool HasRecentList = S.HostsCompleteAt_ >= 0 &&
                             S.HostsFailingSince_ == 0 &&
                             S.Now_ - S.HostsCompleteAt_ < MaxAge;
  if (HasRecentList && publishesReads(S)) {
    To.StoreReaders_.push_back(ownStoreReaderRow(S));
    To.HostsHash_ = To.StoreReaders_.front().HostsHash_;
    To.HostsVersion_ = S.HostsVersion_;
  }
  if (!isLargeCluster(S))
    return;
  std::vector<const StoreReaderState *> Recent;
  for (const auto &[Name, Reader] : S.Membership_.StoreReaders_)
    if (S.Now_ - Reader.HostsReadAt_ < LargeClusterStoreReaderTimeout)
      Recent.push_back(&Reader);
  std::sort(Recent.begin(), Recent.end(), [](const auto *A, const auto *B) {
    return storeReaderRank(A->Row_.Name_) < storeReaderRank(B->Row_.Name_);
  });
  Recent.resize(std::min(Recent.size(), MaxStoreReaderRows));
  for (const StoreReaderState *Reader : Recent) {
    StoreReaderRow Row = Reader->Row_;
    const Millis Elapsed = S.Now_ - Reader->HostsReadAt_ - Row.HostsAge_;
    Row.HostsAge_ += Elapsed;
    if (Row.ConfigAge_ >= 0)
      Row.ConfigAge_ += Elapsed;
    To.StoreReaders_.push_back(std::move(Row));
  }
}

void mergeStoreState(State &S, const InstanceId &From,
                     const SummaryMessage &Message, Effects &Out) {
  auto &Readers = S.Membership_.StoreReaders_;
  if (Message.HostsHash_ == 0)
    Readers.erase(From.Name_);
  bool HasSenderRow = false;
  for (const StoreReaderRow &Row : Message.StoreReaders_) {
    HasSenderRow = HasSenderRow || Row.Name_ == From.Name_;
    mergeStoreReaderRow(S, Row, Out);
  }
  if (Message.HostsHash_ != 0 && !HasSenderRow) {
    StoreReaderRow Row;
    Row.Name_ = From.Name_;
    Row.HostsHash_ = Message.HostsHash_;
    Row.HostsVersion_ = Message.HostsVersion_;
    Row.HostsReadAt_ = S.Now_;
    Row.ConfigAge_ = -1;
    mergeStoreReaderRow(S, Row, Out);
  }
  std::erase_if(Readers, [&](const auto &Entry) {
    return S.Now_ - Entry.second.HostsReadAt_ > StoreReaderRemovalTimeout;
  });
  requestNewerHostList(S, From, Message, Out);
}

bool hasRecentOperatorRead(const State &S) {
  return S.OperatorLog_.LastReadAt_ >= 0 &&
         S.Now_ - S.OperatorLog_.LastReadAt_ <
             ownReadAge(S.Self_.Name_, S.Settings_.Bounds_.ConfigLimit_);
}

void recordStoreService(State &S, Millis From, Millis To, bool Recovered,
                        Effects &Out) {
  StoreService &Known = S.StoreService_;
  const bool ReadThroughOutage =
      Known.Since_ != 0 && From < Known.Since_ && To >= Known.Since_;
  if (ReadThroughOutage || (Recovered && From - Known.Until_ > MinOutage)) {
    logEvent(Out, "store_served",
             {{"since_ms", std::to_string(S.Now_ - From)},
              {"last_read_ms", std::to_string(S.Now_ - Known.Until_)},
              {"outage", ReadThroughOutage ? "no" : "yes"}});
    Known.Since_ = From;
  }
  Known.Until_ = std::max(Known.Until_, To);
}

HostsMessage hostsMessage(const State &S) {
  HostsMessage Message;
  Message.Version_ = S.HostsVersion_;
  if (S.HostsConfirmedAt_ >= 0)
    Message.Age_ = S.Now_ - S.HostsConfirmedAt_;
  for (const Upstream &U : S.Upstreams_)
    if (U.InLatestList_)
      Message.Hosts_.push_back(U.Row_);
  return Message;
}

void onHostsMessage(State &S, const std::string &From,
                    const HostsMessage &Message, Effects &Out) {
  if (Message.Version_ <= S.HostsVersion_)
    return;
  recordEra(S, Message.Version_, Out);
  adoptHostList(S, Message.Hosts_, Message.Version_, Out);
  if (Message.Age_ >= 0)
    confirmHostList(S, S.Now_ - Message.Age_, From, Out);
  logEvent(Out, "host_list_told",
           {{"peer", From},
            {"version", std::to_string(Message.Version_)},
            {"age_ms", std::to_string(Message.Age_)},
            {"hosts", std::to_string(Message.Hosts_.size())}});
}

} // namespace endivewharf
