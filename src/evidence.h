// What processes have seen of versions that move, told to each other, and the
// verdict on it.
#pragma once

#include "state.h"

#include <string>
#include <vector>

namespace endivewharf {

enum class VerdictKind { Undecided, Good, Bad };

struct Verdict {
  VerdictKind Kind_ = VerdictKind::Undecided;
  double MaxLogLikelihoodRatio_ =
      0; ///< Largest log likelihood ratio for "bad".
  std::string Reason_;
};

/// Books a finished attempt as evidence for or against a version.
/// @return true if it speaks against a new version: a verdict may be due
bool recordEvidenceSample(State &S, const Attempt &A, const Call &C,
                          bool Failed);

/// Takes over evidence rows of other processes; the larger one is the newer.
void mergeEvidence(State &S, const std::vector<EvidenceRow> &Rows);

/// Sequential test over all evidence of a move.
/// @param S state with the evidence
/// @param M the move
/// @return bad with its reason, good, or undecided
Verdict evaluateEvidence(const State &S, const RolloutState &M);

/// Sums up windows that are over, so that evidence stays small.
void compactEvidence(State &S);

/// Tells the judges what this process has seen since.
void publishEvidence(State &S, Effects &Out);

} // namespace endivewharf
