// Moves of models to new versions: the share each process gives the new one,
// and the holder's plan to the note's time.
#pragma once

#include "state.h"

#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

void applyNote(State &S, LogOffset Offset, const NoteRecord &R, Effects &Out);
void applyShare(State &S, const ShareRecord &R, Effects &Out);

/// Takes a move back for good; anybody's verdict is enough.
void markBad(State &S, const BadVersionFact &Fact, Effects &Out);

void adoptMoves(State &S, LogOffset NoteVersion,
                const std::vector<MoveRow> &Rows, Effects &Out);

/// @return true if the next attempt goes to the new version
bool isNewVersionDue(const State &S, const Move &M);

/// Books an attempt, so that the share holds at every moment.
void noteVersionChosen(State &S, const std::string &Model, bool New);

/// Books a finished attempt as evidence for or against a version.
void noteEvidence(State &S, const Attempt &A, const Call &C, bool Failed,
                  Effects &Out);

/// Judges all moves, spreads evidence and, with the lease, raises shares and
/// orders loads.
void judgeMoves(State &S, Effects &Out);

/// Does so when it is due.
void tickRelease(State &S, Effects &Out);

} // namespace endivewharf
