// Moves of models to new versions: the share each process gives the new one,
// and the holder's plan to the note's time.
#pragma once

#include "state.h"

#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

void applyReleaseNote(State &S, LogOffset Offset, const ReleaseNoteRecord &R,
                      Effects &Out);
void applyRolloutShare(State &S, const ShareRecord &R, Effects &Out);

/// Takes a move back for good; anybody's verdict is enough.
void rollBackVersion(State &S, const BadVersionFact &Fact, Effects &Out);

void adoptModelRollouts(State &S, LogOffset NoteVersion,
                        const std::vector<RolloutRow> &Rows, Effects &Out);

/// @return true if the next attempt goes to the new version
bool isNewVersionDue(const State &S, const RolloutState &M);

/// Books an attempt, so that the share holds at every moment.
void countVersionAttempt(State &S, const std::string &Model, bool New);

/// Books a finished attempt as evidence for or against a version.
void recordVersionOutcome(State &S, const Attempt &A, const Call &C,
                          bool Failed, Effects &Out);

/// Judges all moves, spreads evidence and, with the lease, raises shares and
/// orders loads.
void evaluateRollouts(State &S, Effects &Out);

/// Does so when it is due.
void tickRolloutEvaluation(State &S, Effects &Out);

} // namespace endivewharf
