// Applies the entries of the operator log in order; a later entry always
// replaces an earlier one.
#include "operatorlog.h"

#include "aggregators.h"
#include "controllog.h"
#include "diagnostics.h"
#include "freshness.h"
#include "membership.h"
#include "requestlimits.h"
#include "restore.h"
#include "rollout.h"
#include "storereaders.h"

#include <algorithm>

namespace endivewharf {

namespace {

// Time from a store reader's failed read to the next one.
constexpr Millis StoreReaderRetryPeriod = 250; // ms
// Longest time that a read waits for entries in a small cluster, ms.
constexpr Millis SmallClusterPollTimeout = 1500;

/// Longest time that the next read waits for entries, in ms. In a large cluster
/// the reads of store readers tell the others how recent their view is, and
/// those of the others are answered at once for the same reason.
Millis pollTimeout(const State &S) {
  if (!isLargeCluster(S))
    return SmallClusterPollTimeout;
  return isStoreReader(S)
             ? freshnessBudget(S.Settings_.Bounds_.ConfigLimit_).ReadPeriod_
             : 0;
}

/// @return true if the read in progress has been silent for so long that a
/// second one should begin beside it
bool isSecondReadDue(const State &S) {
  const OperatorLogState &Log = S.OperatorLog_;
  const FreshnessBudget Budget =
      freshnessBudget(S.Settings_.Bounds_.ConfigLimit_);
  return Log.Reading_ && !Log.SecondRead_ && Log.Available_ &&
         S.Now_ - Log.LastReadAt_ >= Budget.OwnReadAge_ &&
         S.Now_ - Log.ReadStartedAt_ >=
             Log.ReadMaxWait_ + Budget.SecondReadDelay_;
}

/// @return true if some upstream is in a data centre that is not evacuated
bool hasUpstreamElsewhere(const State &S) {
  return std::any_of(S.Upstreams_.begin(), S.Upstreams_.end(),
                     [&](const Upstream &U) {
                       return U.Listed_ && !U.Leaving_ &&
                              !isEvacuated(S.Evacuations_, U.Row_.DataCentre_);
                     });
}

/// Warns of an evacuation that operators may not have meant. It is obeyed
/// nevertheless.
void reportOddEvacuation(const State &S, const std::string &DataCentre,
                         Effects &Out) {
  const bool IsKnown = std::any_of(
      S.Upstreams_.begin(), S.Upstreams_.end(),
      [&](const Upstream &U) { return U.Row_.DataCentre_ == DataCentre; });
  if (!IsKnown)
    logWarning(Out, "evacuation_of_unknown", {{"data_centre", DataCentre}});
  if (!S.Upstreams_.empty() && !hasUpstreamElsewhere(S))
    logWarning(Out, "evacuation_leaves_no_upstream",
               {{"data_centre", DataCentre}});
}

/// Applies a statement on a data centre, unless a later one is known.
void adoptEvacuation(State &S, const EvacuationRow &Row,
                     std::string_view Source, Effects &Out) {
  if (!applyEvacuation(S.Evacuations_, Row))
    return;
  incrementCounter(S, Row.Active_ ? "evacuations" : "evacuations_ended");
  recordDecision(S, Row.DataCentre_,
                 Row.Active_ ? "evacuated" : "taken back into use");
  logEvent(Out, Row.Active_ ? "evacuated" : "evacuation_ended",
           {{"data_centre", Row.DataCentre_},
            {"offset", std::to_string(Row.Offset_)},
            {"source", std::string(Source)}});
  if (Row.Active_)
    reportOddEvacuation(S, Row.DataCentre_, Out);
  else
    recordReturn(S, Row.DataCentre_, Out);
}

/// Takes back the evacuations that a read of the newest entry of each key no
/// longer has.
void endMissingEvacuations(State &S, const OperatorLogRead &E, Effects &Out) {
  std::vector<std::string> Named;
  for (const OperatorEntry &Entry : E.Entries_)
    if (const auto *Request = std::get_if<EvacuationRequest>(&Entry.Content_))
      Named.push_back(Request->DataCentre_);
  for (const EvacuationRow &Row :
       endedEvacuations(S.Evacuations_, Named, E.NextOffset_))
    adoptEvacuation(S, Row, "store", Out);
}

/// Applies one entry of the operator log.
struct OperatorEntryVisitor {
  State &S_;
  LogOffset Offset_;
  Effects &Out_;

  void operator()(const PublishedConfiguration &Published) const {
    const LogOffset Version = Published.Version_.value_or(Offset_);
    // A peer of an earlier build may have sent this version in a text from
    // which not all of it can be read.
    if (Version == S_.Config_.Version_ && Published.Text_ != S_.Config_.Text_)
      replaceConfiguration(S_, Published.Text_, Out_);
    else
      adoptConfiguration(S_, Version, Published.Text_, "store", Out_);
  }
  void operator()(const RolloutRequest &Request) const {
    applyRolloutRequest(S_, Offset_, Request, Out_);
  }
  void operator()(const EvacuationRequest &Request) const {
    adoptEvacuation(S_, {Request.DataCentre_, Offset_, Request.Active_},
                    "store", Out_);
  }
};

} // namespace

void onOperatorLogRead(State &S, const OperatorLogRead &E, Effects &Out) {
  OperatorLogState &Log = S.OperatorLog_;
  Log.Reading_ = false;
  Log.SecondRead_ = false;
  if (!Log.Available_)
    logEvent(Out, "operator_log_available", {});
  Log.Available_ = true;
  Log.ReachedTail_ = true;
  Log.LastReadAt_ =
      std::max(Log.LastReadAt_, E.CompleteAt_ < 0 ? S.Now_ : E.CompleteAt_);
  recordEra(S, E.NextOffset_, Out);
  for (const OperatorEntry &Entry : E.Entries_)
    std::visit(OperatorEntryVisitor{S, Entry.Offset_, Out}, Entry.Content_);
  if (E.NewestPerKey_)
    endMissingEvacuations(S, E, Out);
  Log.NextOffset_ = E.NextOffset_;
}

void mergeEvacuations(State &S, std::span<const EvacuationRow> Rows,
                      Effects &Out) {
  for (const EvacuationRow &Row : Rows)
    adoptEvacuation(S, Row, "peer", Out);
}

void onOperatorLogReadFailed(State &S, Effects &Out) {
  OperatorLogState &Log = S.OperatorLog_;
  Log.Reading_ = false;
  Log.SecondRead_ = false;
  if (Log.Available_)
    logWarning(Out, "operator_log_unavailable",
               {{"age_ms", std::to_string(S.Now_ - Log.LastReadAt_)}});
  Log.Available_ = false;
  const Millis Bound = S.Settings_.Bounds_.ConfigLimit_;
  Log.RetryAt_ = isStoreReader(S)
                     ? S.Now_ + StoreReaderRetryPeriod
                     : Log.ReadStartedAt_ + freshnessBudget(Bound).RetryPeriod_;
}

void startOperatorLogRead(State &S, Effects &Out) {
  OperatorLogState &Log = S.OperatorLog_;
  if (!S.Settings_.servesPlatform())
    return;
  if (isSecondReadDue(S)) {
    Log.SecondRead_ = true;
    incrementCounter(S, "operator_log_reads");
    Out.push_back(ReadOperatorLog{Log.NextOffset_, 0, true});
    return;
  }
  if (Log.Reading_ || S.Now_ < Log.RetryAt_)
    return;
  // In a large cluster the reports of the store readers replace own reads as
  // long as they are recent.
  if (Log.ReachedTail_ && isLargeCluster(S) && !isStoreReader(S)) {
    if (hasRecentOperatorRead(S))
      return;
    logEvent(Out, "operator_log_unconfirmed",
             {{"age_ms", std::to_string(S.Now_ - Log.LastReadAt_)},
              {"store_readers",
               std::to_string(S.Membership_.StoreReaders_.size())}});
  }
  Log.Reading_ = true;
  Log.ReadStartedAt_ = S.Now_;
  Log.ReadMaxWait_ = pollTimeout(S);
  incrementCounter(S, "operator_log_reads");
  Out.push_back(ReadOperatorLog{Log.NextOffset_, Log.ReadMaxWait_});
}

} // namespace endivewharf
