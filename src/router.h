// Chooses the upstream for an attempt. The default policy compares a few
// candidates, found by prefix affinity and at random, by expected first-token
// time and price. It scans a whole pool only if no candidate has room.
#pragma once

#include "state.h"

#include <span>
#include <string_view>
#include <vector>

namespace endivewharf {

/// Hashes the prefixes of a prompt that end at a block boundary.
/// @param Prompt text of the prompt
/// @return hash of blocks 0..i for each whole block i, up to a fixed number of
///         blocks
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);

/// Values of a `Version` parameter for routed calls while their service has a
/// rollout: they select the hosts with the old or with the new version.
constexpr std::string_view OldVersionPool = "old";
constexpr std::string_view NewVersionPool = "new";

/// Hashes the prefixes of a prompt that is given as a list of parts.
/// @param Parts parts of the prompt in their order
/// @return hash of parts 0..i for each part i
std::vector<std::uint64_t> partPrefixHashes(std::span<const PromptPart> Parts);

/// Prefill time in ms that is outstanding at an upstream, for the prompts of
/// this and of other processes.
double prefillBacklogMs(const Upstream &U);

/// Longest prefill backlog in ms at which a routed call with a prompt is
/// placed, so that its first event is within its objective.
double maxBacklogMs(const Call &C);

/// Estimated number of requests at an upstream: those of this process, which
/// are exact, and those of other processes, which come from probes or summaries
/// and lag.
int estimatedLoad(const Upstream &U);

/// Tokens of a prompt that an upstream is expected not to have cached.
/// @param Index index of the upstream in `Upstreams_`
/// @return 0 if the token counts of the prompt's parts are unknown
double expectedUncachedTokens(const State &S, const Call &C, int Index);

/// Estimates how long an upstream takes to process those tokens, by its speed.
/// @param Index index of the upstream in `Upstreams_`
/// @return time in ms
double expectedPrefillMs(const State &S, const Call &C, int Index);

/// Estimates how long a typical owner of a prompt's prefix takes to process the
/// prompt: most of the tokens before the last part are expected to be cached
/// there by earlier calls.
/// @return time in ms
double sharedPrefixPrefillMs(const State &S, const Call &C);

/// The same for the plan of hosts: no longer than by the default speed, because
/// times that are measured in a full service contain waits, for which more
/// hosts would be ordered.
/// @return time in ms
double plannedPrefillMs(const State &S, const Call &C);

/// Picks an upstream with room for a call, in this data centre if possible.
/// @param S state; the pools, the policy's counters and the random sequence may
///          change
/// @param C call to place
/// @param Version model version; for routed calls a version pool, or empty;
///                unused for plain services
/// @return index into `Upstreams_`, or -1 if no upstream has room
int pickUpstream(State &S, const Call &C, std::string_view Version);

/// Records that an upstream has a prompt's prefixes in its cache.
/// @param Blocks hashes of the prompt's prefixes
/// @param Index index of the upstream in `Upstreams_`
void recordPrefixHolder(State &S, std::span<const std::uint64_t> Blocks,
                        int Index);

/// Removes an upstream from all recorded prefixes.
/// @param Index index of the upstream in `Upstreams_`
void removeHolderFromPrefixes(State &S, int Index);

/// @return true if the upstream may get new work now: it is listed, not
///         leaving, not evacuated, not paused and not in backoff
bool isUsable(const State &S, const Upstream &U);

/// Checks whether a call can be placed once there is room.
/// @param S state; its pools are rebuilt if the upstreams have changed
/// @param Version as for pickUpstream()
/// @return true if a usable upstream serves what the call needs, with or
///         without room for it
bool hasUsableUpstream(State &S, const Call &C, std::string_view Version);

} // namespace endivewharf
