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
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);

/// Versions by which routed calls choose while a move concerns their service.
constexpr std::string_view OldVersionPool = "old";
constexpr std::string_view NewVersionPool = "new";

/// Hashes of a prompt's leading parts, one for each part.
std::vector<std::uint64_t> partPrefixHashes(std::span<const PromptPart> Parts);

/// Time that an upstream is thought to need for what it has not cached of a
/// prompt, in ms.
double expectedPrefillMs(const State &S, const Call &C, int Index);

/// The same at an upstream that shares its leading parts with earlier ones:
/// all but the last part is thought to be cached.
double sharedPrefixPrefillMs(const Call &C);

/// Picks an upstream with room.
/// @param S state; the policy's own counters may change
/// @param C call to place
/// @param Version model version, unused for services
/// @return index into `Upstreams_`, or -1 if none has room
int pickUpstream(State &S, const Call &C, std::string_view Version);

/// Remembers that an upstream now holds a prompt's prefix.
void recordPrefixHolder(State &S, std::span<const std::uint64_t> Blocks,
                        int Upstream);

/// Drops all prefixes remembered for an upstream that has gone.
void removePrefixHolder(State &S, int Upstream);

/// @return true if the upstream may get new work now
bool isUsable(const State &S, const Upstream &U);

/// @return true if any usable upstream serves what the call needs
bool hasUsableUpstream(State &S, const Call &C, std::string_view Version);

} // namespace endivewharf
