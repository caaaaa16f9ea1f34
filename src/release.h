// Rollouts of models to new versions: the traffic share that each process gives
// to the new version, and the lease holder's plan to meet the note's deadline.
#pragma once

#include "evidence.h"
#include "state.h"

#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

/// Starts a rollout for each change of a release note. A note that is not based
/// on the latest one or names an unknown model is rejected as a whole.
/// @param Offset the note's offset in the log, which becomes its version
void applyReleaseNote(State &S, LogOffset Offset, const ReleaseNoteRecord &R,
                      Effects &Out);

/// Applies the share of a rollout. It is kept for later if the rollout is not
/// known yet, and ignored if the rollout was rolled back.
void applyRolloutShare(State &S, const ShareRecord &R, Effects &Out);

/// Rolls a version back permanently and gossips the fact if it is new. The
/// verdict of any single process is sufficient.
void rollBackVersion(State &S, const BadVersionFact &Fact, Effects &Out);

/// Adopts the model rollouts of a newer control state. A known bad version
/// stays rolled back.
/// @param NoteVersion version of the last release note in that state
void adoptModelRollouts(State &S, LogOffset NoteVersion,
                        const std::vector<RolloutRow> &Rows, Effects &Out);

/// @return true if the next attempt goes to the new version
bool isNewVersionDue(const State &S, const RolloutState &Rollout);

/// Counts an attempt at the old or new version, so that the new version never
/// gets more than its share of the attempts so far.
/// @param New true if the attempt goes to the new version
void countVersionAttempt(State &S, const std::string &Model, bool New);

/// Records a finished attempt as evidence and evaluates the rollouts if it
/// failed on the new version.
void recordVersionOutcome(State &S, const Attempt &A, const Call &C,
                          SampleKind Kind, Effects &Out);

/// Records the running attempt of a routed call whose time limit has passed as
/// one without an answer, unless most of the time went by before the attempt.
void recordVersionOverdue(State &S, const Call &C, Effects &Out);

/// Evaluates all rollouts, rolls back bad versions and publishes evidence. The
/// lease holder also raises shares and sends load commands, except on the
/// platform (see rollout.h).
void evaluateRollouts(State &S, Effects &Out);

/// Calls evaluateRollouts() once per evaluation period.
void tickRolloutEvaluation(State &S, Effects &Out);

} // namespace endivewharf
