// Lease by compare-and-append: an acquire record is valid only if it names the
// last lease record before it. spec/lease.pml model-checks the protocol.
#include "lease.h"

#include "controllog.h"
#include "diagnostics.h"
#include "membership.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

// Fractions of the lease's duration: how long the holder uses the lease, and
// how long the others wait before they may acquire it.
constexpr double HolderLeaseFraction = 0.8;
constexpr double ChallengerLeaseFraction = 1.25;
constexpr int RenewalsPerLease = 3;
// Longest duration that counts; a record may state any number.
constexpr Millis MaxLeaseDuration = 600000; // ms
// Up to this size every process of the cluster is a store reader.
constexpr std::size_t MaxSmallClusterSize = 4;

Millis boundedDuration(Millis Duration) {
  return std::clamp<Millis>(Duration, 0, MaxLeaseDuration);
}

/// Time for which the holder uses its lease, from before it sent its record.
/// The others wait from when they read the record. The two fractions leave a
/// margin for clocks that run at different speeds.
Millis holderLeaseTime(Millis Duration) {
  return static_cast<Millis>(static_cast<double>(boundedDuration(Duration)) *
                             HolderLeaseFraction);
}

/// Time after which other processes may acquire a lease that is not renewed,
/// from when they read its last record.
Millis challengerWaitTime(Millis Duration) {
  return static_cast<Millis>(static_cast<double>(boundedDuration(Duration)) *
                             ChallengerLeaseFraction);
}

/// The platform runs one process of each name. The start of this process means
/// that its earlier incarnation has ended, and so has the lease that it held.
bool isHeldByEarlierIncarnation(const State &S) {
  const InstanceId &Holder = S.Lease_.Holder_;
  return S.Settings_.servesPlatform() && Holder.Name_ == S.Self_.Name_ &&
         Holder.Incarnation_ < S.Self_.Incarnation_;
}

bool hasLeaseEnded(const State &S) {
  const LeaseState &Lease = S.Lease_;
  return Lease.LastRecordOffset_ == NoOffset || Lease.Released_ ||
         isHeldByEarlierIncarnation(S) ||
         S.Now_ - Lease.LastRecordReadAt_ > challengerWaitTime(Lease.Duration_);
}

/// Records a valid lease record as the last one.
void recordLeaseUpdate(State &S, LogOffset Offset, Millis Duration,
                       bool Released) {
  S.Lease_.LastRecordOffset_ = Offset;
  S.Lease_.LastRecordReadAt_ = S.Now_;
  S.Lease_.Duration_ = Duration;
  S.Lease_.Released_ = Released;
}

/// @param WrittenIn era of the log in which a lease record was written
/// @return true if the record is only there because the log was restored from a
///   copy, or was appended late. It says nothing about who holds the lease now.
bool isOfEndedEra(const State &S, LogOffset Offset, std::int64_t WrittenIn) {
  return S.Settings_.servesPlatform() && WrittenIn < eraOf(Offset);
}

/// Starts the wait of all challengers, unless a lease of this era is known: a
/// record that the copy lacks may have given the lease to anybody.
void applyEndedLease(State &S, LogOffset Offset, Millis Duration) {
  if (eraOf(S.Lease_.Epoch_) >= eraOf(Offset))
    return;
  S.Lease_.Holder_ = {};
  S.Lease_.HeldUntil_ = 0;
  recordLeaseUpdate(S, Offset, Duration, false);
}

/// Extends this process's lease if the record is the one that it sent last. The
/// lease counts from the time of sending, not of reading.
void extendOwnLease(State &S, const InstanceId &Holder, std::uint64_t Nonce,
                    Millis Duration) {
  if (Holder != S.Self_ || Nonce != S.Lease_.Nonce_)
    return;
  S.Lease_.HeldUntil_ = S.Lease_.LastRecordSentAt_ + holderLeaseTime(Duration);
  S.Lease_.Nonce_ = 0;
}

/// A process can only tell that a lease has ended if it has been a store reader
/// for the time that a challenger has to wait. The holder, a later incarnation
/// of it and all processes of a small cluster need not wait.
bool mayAppendLeaseRecord(State &S) {
  LeaseState &Lease = S.Lease_;
  if (!isStoreReader(S)) {
    Lease.StoreReaderSince_ = -1;
    return false;
  }
  if (Lease.StoreReaderSince_ < 0)
    Lease.StoreReaderSince_ = S.Now_;
  const bool IsHolder = Lease.Holder_ == S.Self_ && !Lease.Released_;
  return IsHolder || isHeldByEarlierIncarnation(S) ||
         estimatedClusterSize(S) <= MaxSmallClusterSize ||
         S.Now_ - Lease.StoreReaderSince_ >=
             challengerWaitTime(S.Settings_.Limits_.LeaseDuration_);
}

/// Prepares the append of a lease record.
/// @return nonce by which this process recognizes the record; never 0
std::uint64_t startLeaseAppend(State &S) {
  S.Lease_.LastRecordSentAt_ = S.Now_;
  S.Lease_.Nonce_ = nextRandom(S) | 1;
  return S.Lease_.Nonce_;
}

} // namespace

bool holdsLease(const State &S) {
  return S.Lease_.Holder_ == S.Self_ && S.Now_ < S.Lease_.HeldUntil_;
}

bool isLastHolder(const State &S) {
  const LeaseState &Lease = S.Lease_;
  if (Lease.Holder_ != S.Self_ || Lease.Released_ || Lease.HeldUntil_ == 0)
    return false;
  const Millis SentAt = Lease.HeldUntil_ - holderLeaseTime(Lease.Duration_);
  return S.Now_ - SentAt < challengerWaitTime(Lease.Duration_);
}

void applyLeaseAcquire(State &S, LogOffset Offset, const LeaseAcquireRecord &R,
                       Effects &Out) {
  if (isOfEndedEra(S, Offset, R.Era_)) {
    applyEndedLease(S, Offset, R.Duration_);
    return;
  }
  // On the platform the append itself is conditional on the writer having read
  // all earlier records, while a reader may have missed some of them.
  if (R.PreviousOffset_ != S.Lease_.LastRecordOffset_ &&
      !S.Settings_.servesPlatform()) {
    if (R.Holder_ == S.Self_)
      S.Lease_.Nonce_ = 0;
    return;
  }
  S.Lease_.Holder_ = R.Holder_;
  S.Lease_.Epoch_ = Offset;
  S.Lease_.HeldUntil_ = 0;
  recordLeaseUpdate(S, Offset, R.Duration_, false);
  extendOwnLease(S, R.Holder_, R.Nonce_, R.Duration_);
  recordDecision(S, "lease",
                 fmt::format("{} acquired the lease at offset {}",
                             R.Holder_.Name_, Offset));
  logEvent(Out, "lease_acquired",
           {{"holder", R.Holder_.Name_}, {"epoch", std::to_string(Offset)}});
}

void applyLeaseRenew(State &S, LogOffset Offset, const LeaseRenewRecord &R,
                     Effects &) {
  if (isOfEndedEra(S, Offset, eraOf(R.Epoch_))) {
    applyEndedLease(S, Offset, R.Duration_);
    return;
  }
  if (R.Epoch_ < S.Lease_.Epoch_)
    return;
  if (R.Epoch_ > S.Lease_.Epoch_) {
    // The acquire record has expired from the log. The renewal proves that it
    // was valid.
    S.Lease_.Epoch_ = R.Epoch_;
    S.Lease_.Holder_ = R.Holder_;
    S.Lease_.HeldUntil_ = 0;
  }
  recordLeaseUpdate(S, Offset, R.Duration_, R.Released_);
  if (R.Released_)
    S.Lease_.HeldUntil_ = 0;
  else
    extendOwnLease(S, R.Holder_, R.Nonce_, R.Duration_);
}

void tickLease(State &S, Effects &) {
  LeaseState &Lease = S.Lease_;
  if (!S.Log_.ReachedTail_ || !S.Log_.Available_ || S.Stage_ != Stage::Serving)
    return;
  if (S.Settings_.servesPlatform() && !mayAppendLeaseRecord(S))
    return;
  const Millis Duration = S.Settings_.Limits_.LeaseDuration_;
  if (Lease.Nonce_ != 0 && S.Now_ - Lease.LastRecordSentAt_ < Duration)
    return; // A lease record is in progress.
  const bool IsHolder = Lease.Holder_ == S.Self_ && !Lease.Released_;
  if (IsHolder && !hasLeaseEnded(S)) {
    if (S.Now_ - Lease.LastRecordSentAt_ >= Duration / RenewalsPerLease)
      queueLogRecord(S, LeaseRenewRecord{S.Self_, Lease.Epoch_, Duration,
                                         startLeaseAppend(S), false});
    return;
  }
  if (hasLeaseEnded(S))
    queueLogRecord(S, LeaseAcquireRecord{S.Self_, Lease.LastRecordOffset_,
                                         Duration, startLeaseAppend(S),
                                         eraOf(S.Log_.NextOffset_)});
}

void endLeasesOfEarlierEras(State &S) {
  LeaseState &Lease = S.Lease_;
  std::erase_if(S.Log_.Outbox_, [](const LogRecord &R) {
    return std::holds_alternative<LeaseAcquireRecord>(R) ||
           std::holds_alternative<LeaseRenewRecord>(R);
  });
  Lease.Holder_ = {};
  Lease.HeldUntil_ = 0;
  Lease.Nonce_ = 0;
  recordLeaseUpdate(
      S, std::max<LogOffset>(Lease.LastRecordOffset_, 0),
      std::max(Lease.Duration_, S.Settings_.Limits_.LeaseDuration_), false);
}

void releaseLease(State &S) {
  LeaseState &Lease = S.Lease_;
  if (Lease.Holder_ != S.Self_ || Lease.Released_ || Lease.Epoch_ == NoOffset)
    return;
  Lease.HeldUntil_ = 0;
  Lease.Released_ = true;
  queueLogRecord(S,
                 LeaseRenewRecord{S.Self_, Lease.Epoch_,
                                  S.Settings_.Limits_.LeaseDuration_, 0, true});
}

} // namespace endivewharf
