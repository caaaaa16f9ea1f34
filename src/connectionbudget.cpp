// Sums what connections hold and finds the one that gives way.
#include "connectionbudget.h"

#include <algorithm>
#include <limits>

namespace endivewharf {

namespace {

bool isIdle(const ConnectionUse &Use) {
  return Use.Accepted_ == 0 && !Use.awaitsCaller();
}

} // namespace

std::size_t ConnectionBudget::bytes(const Entry &E) {
  return BaseBytes + E.Use_.HalfSent_ + E.Use_.Accepted_ + E.Use_.Unsent_;
}

void ConnectionBudget::add(ConnectionKey Key, Millis Now) {
  Connections_[Key].ProgressAt_ = Now;
  Total_ += BaseBytes;
}

void ConnectionBudget::remove(ConnectionKey Key) {
  const auto Found = Connections_.find(Key);
  if (Found == Connections_.end())
    return;
  Total_ -= bytes(Found->second);
  Connections_.erase(Found);
}

void ConnectionBudget::setUse(ConnectionKey Key, const ConnectionUse &Use) {
  const auto Found = Connections_.find(Key);
  if (Found == Connections_.end())
    return;
  Total_ -= bytes(Found->second);
  Found->second.Use_ = Use;
  Total_ += bytes(Found->second);
  Peak_ = std::max(Peak_, Total_);
}

void ConnectionBudget::noteProgress(ConnectionKey Key, Millis Now) {
  const auto Found = Connections_.find(Key);
  if (Found != Connections_.end())
    Found->second.ProgressAt_ = Now;
}

std::optional<ConnectionKey> ConnectionBudget::victim(Millis Now) const {
  if (Total_ > Limits_.MaxBytes_)
    return victimForBytes(Now);
  if (Connections_.size() > Limits_.MaxConnections_)
    return victimForCount();
  return std::nullopt;
}

std::optional<ConnectionKey>
ConnectionBudget::victimForBytes(Millis Now) const {
  const auto AwaitsCaller = [](const ConnectionUse &Use) {
    return Use.awaitsCaller();
  };
  if (const auto Still = longestStill(Now, AwaitsCaller))
    return Still;
  if (const auto Idle = longestStill(Now, isIdle))
    return Idle;
  return largestAwaiting();
}

std::optional<ConnectionKey> ConnectionBudget::victimForCount() const {
  const auto MayClose = [](const ConnectionUse &Use) {
    return isIdle(Use) || Use.awaitsCaller();
  };
  constexpr Millis AnyTime = std::numeric_limits<Millis>::max();
  return longestStill(AnyTime, MayClose);
}

template <typename Allowed>
std::optional<ConnectionKey> ConnectionBudget::longestStill(Millis Now,
                                                            Allowed May) const {
  std::optional<ConnectionKey> Longest;
  Millis Since = Now - StillPeriod;
  for (const auto &[Key, E] : Connections_) {
    if (!May(E.Use_) || E.ProgressAt_ > Since)
      continue;
    Since = E.ProgressAt_;
    Longest = Key;
  }
  return Longest;
}

std::optional<ConnectionKey> ConnectionBudget::largestAwaiting() const {
  std::optional<ConnectionKey> Largest;
  std::size_t Most = 0;
  for (const auto &[Key, E] : Connections_) {
    const std::size_t Awaiting = E.Use_.HalfSent_ + E.Use_.Unsent_;
    if (Awaiting <= Most)
      continue;
    Most = Awaiting;
    Largest = Key;
  }
  return Largest;
}

bool ConnectionBudget::takeTrim(Millis Now) {
  const bool MuchFreed = Peak_ > Total_ + Limits_.MaxBytes_ / TrimDivisor;
  if (!MuchFreed || Now - TrimmedAt_ < TrimPeriod)
    return false;
  Peak_ = Total_;
  TrimmedAt_ = Now;
  return true;
}

} // namespace endivewharf
