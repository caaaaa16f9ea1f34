// Chooses the upstream for an attempt: a few candidates by prefix affinity and
// chance, the cheapest by expected first-token time and price. Never scans the
// whole fleet.
#pragma once

#include "state.h"

#include <span>
#include <string_view>
#include <vector>

namespace endivewharf {

/// Hashes of a prompt's prefixes, one for each whole block.
/// @param Prompt text of the prompt
/// @return hash of blocks 0..i for each i, at most a fixed number
std::vector<std::uint64_t> prefixBlocks(std::string_view Prompt);

/// Picks an upstream with room.
/// @param S state; the policy's own counters may change
/// @param C call to place
/// @param Version model version, unused for services
/// @return index into `Upstreams_`, or -1 if none has room
int pickUpstream(State &S, const Call &C, std::string_view Version);

/// Remembers that an upstream now holds a prompt's prefix.
void rememberPrefix(State &S, std::span<const std::uint64_t> Blocks,
                    int Upstream);

/// Drops all prefixes remembered for an upstream that has gone.
void forgetPrefixes(State &S, int Upstream);

/// @return true if the upstream may get new work now
bool isUsable(const State &S, const Upstream &U);

/// @return true if any usable upstream serves what the call needs
bool isServed(State &S, const Call &C, std::string_view Version);

} // namespace endivewharf
