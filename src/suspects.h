// Finds what ends every upstream that answers it, a part of prompts or a whole
// request, from the attempts of all processes that broke.
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

/// Sets the keys by which a call's request and its shared parts are judged. The
/// call's account must be known.
void fillSuspectKeys(Call &C);

/// Key under which a block is stored, the same for any order of its names.
std::uint64_t blockKey(const BlockFact &Fact);

/// @return true if requests that carry this are refused, whatever else they
///   carry
bool isBlockedAlone(const State &S, std::uint64_t Key);

/// @return true if an upstream has answered under this
bool isCleared(const State &S, std::uint64_t Key);

/// Checks a new request before anything is charged for it.
/// @return the refusal if it carries all names of a block
std::optional<CallError> checkBlocked(State &S, const Call &C);

/// @return key of the suspect for which the call's next attempt needs a trial;
///   0: none
std::uint64_t suspectKeyOf(const State &S, const Call &C);

/// Clears the parts of a call's prompt: its answer has begun.
void recordAnswerBegun(State &S, Call &C, Effects &Out);

/// Clears a call's request: it has been answered in full.
void recordAnswerComplete(State &S, Call &C, Effects &Out);

/// Records that an attempt failed. One that broke is evidence on the request
/// and, before its first event, on the parts that are not cleared; it blocks
/// them if it was the last of enough trials.
/// @return true if a suspect explains the failure
bool recordBreak(State &S, Call &C, const Attempt &A, AttemptFailure Failure,
                 Effects &Out);

/// Merges a break that another process has seen.
/// @return true if it was new
bool mergeBreak(State &S, const BreakRow &Row, Effects &Out);

/// Merges breaks from the control log, unless they are too old to count.
void mergeBreaksRecord(State &S, const BreaksRecord &Record, Effects &Out);

/// Merges all facts on suspects in a peer's message and gossips the new ones.
/// @param From name of the peer
void mergeSuspectFacts(State &S, const std::string &From,
                       const FactsMessage &Facts, Effects &Out);

/// Merges a block from a peer or the control log.
/// @param Source name of the peer, or `log`
void mergeBlock(State &S, const BlockFact &Fact, std::string_view Source,
                Effects &Out);

/// Adds what this process knows of suspects to a message with all facts.
void addSuspectFacts(const State &S, FactsMessage &Facts);

/// Forgets what is cleared when a service has hosts of other versions only than
/// those under which it was.
void forgetClearedUnderOldVersions(State &S, std::span<const HostRow> Hosts);

/// Drops old suspicions and passes on new facts.
void tickSuspects(State &S, Effects &Out);

} // namespace endivewharf
