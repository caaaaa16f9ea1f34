// Evidence about the versions of a rollout, shared by all entry processes, and
// the verdict that follows from it.
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

/// Adds a finished attempt to this process's evidence on a version. Attempts
/// outside of a rollout are ignored.
/// @return true if the attempt failed on the new version, so that the rollouts
/// should be evaluated now
bool recordEvidenceSample(State &S, const Attempt &A, const Call &C,
                          bool Failed);

/// Merges evidence rows of other processes. Sums only grow, so the row with the
/// larger count replaces the other.
void mergeEvidence(State &S, const std::vector<EvidenceRow> &Rows);

/// Sequential test over all evidence of a rollout.
/// @param S state with the evidence
/// @param Rollout the rollout to evaluate
/// @return bad with its reason, good, or undecided
Verdict evaluateEvidence(const State &S, const RolloutState &Rollout);

/// Adds rows of windows that are no longer tested one by one to one row for
/// each series, which bounds the size of the evidence.
void compactEvidence(State &S);

/// Sends this process's newest evidence rows to the evaluating processes, if
/// the evidence has changed and the publish period has passed.
void publishEvidence(State &S, Effects &Out);

} // namespace endivewharf
