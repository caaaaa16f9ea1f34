// Hashes of answered requests in the order in which they were added.
#include "answeredrequests.h"

#include <algorithm>
#include <xxhash.h>

namespace endivewharf {

namespace {

/// Beyond this number the oldest are forgotten.
constexpr std::size_t MaxRequests = 1 << 16;

std::uint64_t hashOf(std::string_view Id, std::string_view Address) {
  return XXH3_64bits_withSeed(Id.data(), Id.size(),
                              XXH3_64bits(Address.data(), Address.size()));
}

} // namespace

void AnsweredRequests::add(std::string_view Id, std::string_view Address,
                           Millis Until) {
  const std::uint64_t Hash = hashOf(Id, Address);
  Millis &Known = UntilByHash_.try_emplace(Hash, Until).first->second;
  Known = std::max(Known, Until);
  Order_.emplace_back(Hash, Until);
  while (Order_.size() > MaxRequests) {
    UntilByHash_.erase(Order_.front().first);
    Order_.pop_front();
  }
}

bool AnsweredRequests::contains(std::string_view Id, std::string_view Address,
                                Millis Now) {
  while (!Order_.empty() && Order_.front().second <= Now) {
    const auto Found = UntilByHash_.find(Order_.front().first);
    if (Found != UntilByHash_.end() && Found->second <= Now)
      UntilByHash_.erase(Found);
    Order_.pop_front();
  }
  const auto Found = UntilByHash_.find(hashOf(Id, Address));
  return Found != UntilByHash_.end() && Now < Found->second;
}

} // namespace endivewharf
