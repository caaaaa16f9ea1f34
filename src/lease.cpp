// Lease by compare-and-append: an acquire record counts only if it names the
// last lease record before it. spec/lease.pml checks the protocol.
#include "lease.h"

#include "controllog.h"
#include "membership.h"
#include "record.h"

#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr double HolderShare = 0.8;      // of the length that the holder uses
constexpr double ChallengerShare = 1.25; // of the length that others wait
constexpr int RenewalsPerLease = 3;
constexpr std::size_t SmallGroup = 4; // processes that all follow the log

/// The holder counts from before it sent its record, the others from when they
/// read it, and both keep a margin for clocks that run at different speeds.
Millis holderTime(Millis Length) {
  return static_cast<Millis>(static_cast<double>(Length) * HolderShare);
}

Millis challengerTime(Millis Length) {
  return static_cast<Millis>(static_cast<double>(Length) * ChallengerShare);
}

/// The platform runs one process of a name: with this one's start its earlier
/// life has ended, and with it the lease that it held.
bool heldByEarlierLife(const State &S) {
  const Life &Holder = S.Lease_.Holder_;
  return S.Settings_.onPlatform() && Holder.Name_ == S.Self_.Name_ &&
         Holder.Incarnation_ < S.Self_.Incarnation_;
}

bool hasEnded(const State &S) {
  const LeaseState &L = S.Lease_;
  return L.LastRecord_ == NoOffset || L.Released_ || heldByEarlierLife(S) ||
         S.Now_ - L.ReadAt_ > challengerTime(L.Length_);
}

void noteRecord(State &S, LogOffset Offset, Millis Length, bool Released) {
  S.Lease_.LastRecord_ = Offset;
  S.Lease_.ReadAt_ = S.Now_;
  S.Lease_.Length_ = Length;
  S.Lease_.Released_ = Released;
}

/// Extends our hold if this is the record that we sent last.
void extendOwn(State &S, const Life &Holder, std::uint64_t Nonce,
               Millis Length) {
  if (Holder != S.Self_ || Nonce != S.Lease_.Nonce_)
    return;
  S.Lease_.HeldUntil_ = S.Lease_.SentAt_ + holderTime(Length);
  S.Lease_.Nonce_ = 0;
}

/// Only who has followed the log for the longest lease knows that one ended.
bool mayChallenge(State &S) {
  LeaseState &L = S.Lease_;
  if (!followsStore(S)) {
    L.FollowingSince_ = -1;
    return false;
  }
  if (L.FollowingSince_ < 0)
    L.FollowingSince_ = S.Now_;
  const bool Holder = L.Holder_ == S.Self_ && !L.Released_;
  return Holder || heldByEarlierLife(S) || groupSize(S) <= SmallGroup ||
         S.Now_ - L.FollowingSince_ >=
             challengerTime(S.Settings_.Limits_.LeaseTime_);
}

std::uint64_t newNonce(State &S) {
  S.Lease_.SentAt_ = S.Now_;
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
  if (R.Previous_ != S.Lease_.LastRecord_ && !S.Settings_.onPlatform()) {
    if (R.Holder_ == S.Self_)
      S.Lease_.Nonce_ = 0;
    return;
  }
  S.Lease_.Holder_ = R.Holder_;
  S.Lease_.Epoch_ = Offset;
  S.Lease_.HeldUntil_ = 0;
  noteRecord(S, Offset, R.Length_, false);
  extendOwn(S, R.Holder_, R.Nonce_, R.Length_);
  remember(S, "lease",
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
  noteRecord(S, Offset, R.Length_, R.Released_);
  if (R.Released_)
    S.Lease_.HeldUntil_ = 0;
  else
    extendOwn(S, R.Holder_, R.Nonce_, R.Length_);
}

void tickLease(State &S, Effects &) {
  LeaseState &L = S.Lease_;
  if (!S.Log_.SawTail_ || !S.Log_.Available_ || S.Stage_ != Stage::Serving)
    return;
  if (S.Settings_.onPlatform() && !mayChallenge(S))
    return;
  const Millis Length = S.Settings_.Limits_.LeaseTime_;
  if (L.Nonce_ != 0 && S.Now_ - L.SentAt_ < Length)
    return; // a record is under way
  const bool Holder = L.Holder_ == S.Self_ && !L.Released_;
  if (Holder && !hasEnded(S)) {
    if (S.Now_ - L.SentAt_ >= Length / RenewalsPerLease)
      appendRecord(
          S, LeaseRenewRecord{S.Self_, L.Epoch_, Length, newNonce(S), false});
    return;
  }
  if (hasEnded(S))
    appendRecord(
        S, LeaseAcquireRecord{S.Self_, L.LastRecord_, Length, newNonce(S)});
}

void releaseLease(State &S) {
  LeaseState &L = S.Lease_;
  if (L.Holder_ != S.Self_ || L.Released_ || L.Epoch_ == NoOffset)
    return;
  L.HeldUntil_ = 0;
  L.Released_ = true;
  appendRecord(S, LeaseRenewRecord{S.Self_, L.Epoch_,
                                   S.Settings_.Limits_.LeaseTime_, 0, true});
}

} // namespace endivewharf
