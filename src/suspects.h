// Finds parts of prompts that end every upstream that begins to answer them,
// from the requests of all processes that broke before their answer had begun.
#pragma once

#include "state.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace endivewharf {

/// @return keys of the parts of a request's prompt that other requests may
///   share: all but the last, which belongs to the request or its session
std::vector<std::uint64_t> sharedPartKeys(const CallRequest &Request);

/// Key under which a block is stored, the same for any order of its parts.
std::uint64_t blockKey(const BlockFact &Fact);

/// @return true if requests with a part are refused, whatever else they hold
bool isBlockedAlone(const State &S, std::uint64_t Key);

/// @return true if an answer has begun under a part
bool isCleared(const State &S, std::uint64_t Key);

/// Checks a new request before anything is charged for it.
/// @return the refusal if its prompt has all parts of a block
std::optional<CallError> checkBlocked(State &S, const Call &C);

/// @return key of the part for which the call's next attempt needs a trial; 0:
///   none
std::uint64_t suspectKeyOf(const State &S, const Call &C);

/// Clears the parts of a call whose answer has begun.
void recordAnswerBegun(State &S, Call &C, Effects &Out);

/// Records that an attempt failed. One that broke before its first event is
/// evidence on the parts that are not cleared, and blocks them if it was the
/// last of enough trials.
/// @return true if a suspect part explains the failure
bool recordBreak(State &S, Call &C, const Attempt &A, AttemptFailure Failure,
                 Effects &Out);

/// Merges a break that another process has seen.
/// @return true if it was new
bool mergeBreak(State &S, const BreakRow &Row, Effects &Out);

/// Merges all facts on parts in a peer's message and gossips the new ones.
/// @param From name of the peer
void mergeSuspectFacts(State &S, const std::string &From,
                       const FactsMessage &Facts, Effects &Out);

/// Merges a block from a peer or the control log.
void mergeBlock(State &S, const BlockFact &Fact, Effects &Out);

/// Adds what this process knows of parts to a message with all facts.
void addSuspectFacts(const State &S, FactsMessage &Facts);

/// Forgets which parts are cleared when a service has hosts of other versions
/// only than those under which they were.
void forgetClearedUnderOldVersions(State &S, std::span<const HostRow> Hosts);

/// Drops old suspicions and gossips new facts.
void tickSuspects(State &S, Effects &Out);

} // namespace endivewharf
