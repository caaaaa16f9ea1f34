// Lease by compare-and-append: an acquire record counts only if it names the
// last lease record before it. spec/lease.pml checks the protocol.
#include "lease.h"

#include "controllog.h"
#include "diagnostics.h"
#include "membership.h"

#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr double HolderLeaseFraction =
    0.8; // of the length that the holder uses
constexpr double ChallengerLeaseFraction =
    1.25; // of the length that others wait
constexpr int RenewalsPerLease = 3;
constexpr std::size_t MaxSmallClusterSize =
    4; // processes that all follow the log

/// The holder counts from before it sent its record, the others from when they
/// read it, and both keep a margin for clocks that run at different speeds.
Millis holderLeaseTime(Millis Length) {
  return static_cast<Millis>(static_cast<double>(Length) * HolderLeaseFraction);
}

Millis challengerWaitTime(Millis Length) {
  return static_cast<Millis>(static_cast<double>(Length) *
                             ChallengerLeaseFraction);
}

/// The platform runs one process of a name: with this one's start its earlier
/// life has ended, and with it the lease that it held.
bool isHeldByEarlierIncarnation(const State &S) {
  const InstanceId &Holder = S.Lease_.Holder_;
  return S.Settings_.servesPlatform() && Holder.Name_ == S.Self_.Name_ &&
         Holder.Incarnation_ < S.Self_.Incarnation_;
}

bool hasLeaseEnded(const State &S) {
  const LeaseState &L = S.Lease_;
  return L.LastRecordOffset_ == NoOffset || L.Released_ ||
         isHeldByEarlierIncarnation(S) ||
         S.Now_ - L.LastRecordReadAt_ > challengerWaitTime(L.Duration_);
}

void recordLeaseUpdate(State &S, LogOffset Offset, Millis Length,
                       bool Released) {
  S.Lease_.LastRecordOffset_ = Offset;
  S.Lease_.LastRecordReadAt_ = S.Now_;
  S.Lease_.Duration_ = Length;
  S.Lease_.Released_ = Released;
}

/// Extends our hold if this is the record that we sent last.
void extendOwnLease(State &S, const InstanceId &Holder, std::uint64_t Nonce,
                    Millis Length) {
  if (Holder != S.Self_ || Nonce != S.Lease_.Nonce_)
    return;
  S.Lease_.HeldUntil_ = S.Lease_.LastRecordSentAt_ + holderLeaseTime(Length);
  S.Lease_.Nonce_ = 0;
}

/// Only who has followed the log for the longest lease knows that one ended.
bool mayAppendLeaseRecord(State &S) {
  LeaseState &L = S.Lease_;
  if (!isStoreReader(S)) {
    L.StoreReaderSince_ = -1;
    return false;
  }
  if (L.StoreReaderSince_ < 0)
    L.StoreReaderSince_ = S.Now_;
  const bool Holder = L.Holder_ == S.Self_ && !L.Released_;
  return Holder || isHeldByEarlierIncarnation(S) ||
         estimatedClusterSize(S) <= MaxSmallClusterSize ||
         S.Now_ - L.StoreReaderSince_ >=
             challengerWaitTime(S.Settings_.Limits_.LeaseDuration_);
}

std::uint64_t startLeaseAppend(State &S) {
  S.Lease_.LastRecordSentAt_ = S.Now_;
  S.Lease_.Nonce_ = nextRandom(S) | 1;
  return S.Lease_.Nonce_;
}

} // namespace

bool holdsLease(const State &S) {
  return S.Lease_.Holder_ == S.Self_ && S.Now_ < S.Lease_.HeldUntil_;
}

void applyLeaseAcquire(State &S, LogOffset Offset, const LeaseAcquireRecord &R,
                       Effects &Out) {
  // On the platform a record gets in only if its writer knew all before it;
  // a reader may have missed those.
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
                 fmt::format("{} acquired at {}", R.Holder_.Name_, Offset));
  logEvent(Out, "lease_acquired",
           {{"holder", R.Holder_.Name_}, {"epoch", std::to_string(Offset)}});
}

void applyLeaseRenew(State &S, LogOffset Offset, const LeaseRenewRecord &R,
                     Effects &) {
  if (R.Epoch_ < S.Lease_.Epoch_)
    return;
  if (R.Epoch_ > S.Lease_.Epoch_) {
    // The record that won has expired; a renewal proves that it did win.
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
  LeaseState &L = S.Lease_;
  if (!S.Log_.ReachedTail_ || !S.Log_.Available_ || S.Stage_ != Stage::Serving)
    return;
  if (S.Settings_.servesPlatform() && !mayAppendLeaseRecord(S))
    return;
  const Millis Length = S.Settings_.Limits_.LeaseDuration_;
  if (L.Nonce_ != 0 && S.Now_ - L.LastRecordSentAt_ < Length)
    return; // a record is under way
  const bool Holder = L.Holder_ == S.Self_ && !L.Released_;
  if (Holder && !hasLeaseEnded(S)) {
    if (S.Now_ - L.LastRecordSentAt_ >= Length / RenewalsPerLease)
      queueLogRecord(S, LeaseRenewRecord{S.Self_, L.Epoch_, Length,
                                         startLeaseAppend(S), false});
    return;
  }
  if (hasLeaseEnded(S))
    queueLogRecord(S, LeaseAcquireRecord{S.Self_, L.LastRecordOffset_, Length,
                                         startLeaseAppend(S)});
}

void releaseLease(State &S) {
  LeaseState &L = S.Lease_;
  if (L.Holder_ != S.Self_ || L.Released_ || L.Epoch_ == NoOffset)
    return;
  L.HeldUntil_ = 0;
  L.Released_ = true;
  queueLogRecord(S,
                 LeaseRenewRecord{S.Self_, L.Epoch_,
                                  S.Settings_.Limits_.LeaseDuration_, 0, true});
}

} // namespace endivewharf
