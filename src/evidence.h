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

/// What a finished attempt says about the version that ran it.
enum class SampleKind {
  Answered, ///< A good answer.
  Failed,   ///< The upstream's own answer is a failure.
  Broken,   ///< It ran and had no answer: the connection broke, or the time.
};

/// Adds a finished attempt to this process's evidence on a version. Attempts
/// outside of a rollout are ignored. Attempts that an upstream has turned away
/// or that never reached one say nothing about a version and must not be added.
/// @return true if the attempt failed on the new version, so that the rollouts
/// should be evaluated now
bool recordEvidenceSample(State &S, const Attempt &A, const Call &C,
                          SampleKind Kind);

/// Merges evidence rows of other processes. Sums only grow, so the row with the
/// larger count replaces the other.
void mergeEvidence(State &S, const std::vector<EvidenceRow> &Rows);

/// Sequential test over all evidence of a rollout. Only like is compared with
/// like: both versions on the same route in the same window, and what ran under
/// strain (strain.h) with what did. Where the old version has no samples in a
/// window, the new one's are compared with the old one's of the newest windows;
/// then only failures that hosts have answered count, and answers without
/// strain that are several times slower.
/// @param S state with the evidence
/// @param Rollout the rollout to evaluate
/// @return bad with its reason, good, or undecided
Verdict evaluateEvidence(const State &S, const RolloutState &Rollout);

/// @return answers of a rollout's new version that have failed so far; attempts
///   without an answer do not count
std::int64_t newVersionFailures(const State &S, const RolloutState &Rollout);

/// Adds rows of windows that are no longer tested one by one to one row for
/// each series, which bounds the size of the evidence.
void compactEvidence(State &S);

/// Sends this process's newest evidence rows to the evaluating processes, if
/// the evidence has changed and the publish period has passed.
void publishEvidence(State &S, Effects &Out);

} // namespace endivewharf
