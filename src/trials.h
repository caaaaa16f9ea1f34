// Lets requests that carry a suspect be tried one at a time over all processes.
// A suspect's owner, chosen by a hash among the live processes, permits the
// trials. Processes that disagree on the owner may permit one trial each.
#pragma once

#include "state.h"

namespace endivewharf {

/// Checks a call for which an upstream has room. A call that carries a suspect
/// waits for a trial; one that is blocked, or whose trial is denied, is refused
/// and removed.
/// @return true if the call may be sent now; if not, it may be gone
bool admitSuspect(State &S, Call &C, Effects &Out);

/// Ends the trial of a call, if it has one, without a result.
void endTrial(State &S, Call &C);

/// Ends the trial of a call that broke.
/// @param Name the suspect on trial
/// @param UpstreamHash where it broke
/// @param TrialId number of the trial
void endBrokenTrial(State &S, Call &C, const SuspectName &Name,
                    std::uint32_t UpstreamHash, std::uint32_t TrialId);

/// Tells those who may have to permit trials of a single break.
void reportBreak(State &S, const BreakRow &Row);

/// Handles requests for trials, answers and results of a peer.
void onTrialMessage(State &S, const InstanceId &From,
                    const TrialMessage &Message, Effects &Out);

/// Asks other processes for trials that were not answered and forgets trials
/// without a result.
void tickTrials(State &S, Effects &Out);

/// Sends the rows that have been collected for each peer.
void flushTrialMessages(State &S, Effects &Out);

} // namespace endivewharf
