// Sums what attempts keep, and finds the one that keeps most.
#include "answerbudget.h"

#include <algorithm>

namespace endivewharf {

std::optional<AttemptId> AnswerBudget::set(AttemptId Id, std::size_t Bytes) {
  std::size_t &Known = Bytes_[Id];
  Total_ += Bytes - Known;
  Known = Bytes;
  if (Total_ <= MaxBytes)
    return std::nullopt;
  return std::max_element(
             Bytes_.begin(), Bytes_.end(),
             [](const auto &A, const auto &B) { return A.second < B.second; })
      ->first;
}

void AnswerBudget::remove(AttemptId Id) {
  const auto Found = Bytes_.find(Id);
  if (Found == Bytes_.end())
    return;
  Total_ -= Found->second;
  Bytes_.erase(Found);
}

} // namespace endivewharf
