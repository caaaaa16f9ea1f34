// Table of the callers' requests that have no final answer yet, indexed by call
// number and by connection.
#pragma once

#include "types.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace endivewharf {

/// @tparam T data that is kept for each request
template <typename T> class PendingCalls {
public:
  /// Adds a request under a new call number.
  /// @param Connection number of the caller's connection
  /// @param Value data to keep
  /// @return the call number; numbers start at 1 and are not reused
  CallId add(std::uint64_t Connection, T Value) {
    const CallId Id = NextCall_++;
    ByConnection_.emplace(Connection, Id);
    ById_.emplace(Id, PendingEntry{Connection, std::move(Value)});
    return Id;
  }

  /// @return the data of a request, or null if it is not pending
  T *find(CallId Id) {
    const auto Found = ById_.find(Id);
    return Found == ById_.end() ? nullptr : &Found->second.Value_;
  }

  /// Removes a request.
  /// @return false if it is not pending, for example already answered
  bool remove(CallId Id) {
    const auto Found = ById_.find(Id);
    if (Found == ById_.end())
      return false;
    const auto [First, Last] =
        ByConnection_.equal_range(Found->second.Connection_);
    const auto Entry = std::find_if(
        First, Last, [Id](const auto &Other) { return Other.second == Id; });
    if (Entry != Last)
      ByConnection_.erase(Entry);
    ById_.erase(Found);
    return true;
  }

  /// Numbers of the requests that are pending on a connection.
  std::vector<CallId> callsOfConnection(std::uint64_t Connection) const {
    const auto [First, Last] = ByConnection_.equal_range(Connection);
    std::vector<CallId> Ids;
    for (auto Entry = First; Entry != Last; ++Entry)
      Ids.push_back(Entry->second);
    return Ids;
  }

  /// Numbers of the pending requests for whose data a condition holds.
  template <typename Condition>
  std::vector<CallId> callsMatching(Condition Holds) const {
    std::vector<CallId> Ids;
    for (const auto &[Id, Entry] : ById_)
      if (Holds(Entry.Value_))
        Ids.push_back(Id);
    return Ids;
  }

  bool empty() const { return ById_.empty(); }

private:
  struct PendingEntry {
    std::uint64_t Connection_ = 0;
    T Value_;
  };

  std::unordered_map<CallId, PendingEntry> ById_;
  std::unordered_multimap<std::uint64_t, CallId> ByConnection_;
  CallId NextCall_ = 1;
};

} // namespace endivewharf
