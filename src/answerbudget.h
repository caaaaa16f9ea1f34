// Limits the bytes of incomplete answers that are kept at one time, over all
// attempts: each of them alone may be within its own limit.
#pragma once

#include "types.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace endivewharf {

/// Bytes that attempts keep, by attempt.
class AnswerBudget {
public:
  /// Bytes that all attempts of a process may keep together.
  static constexpr std::size_t MaxBytes = 32 << 20;

  /// States what an attempt keeps now.
  /// @return the attempt that keeps most, if all together keep too much: it has
  ///   to be given up
  std::optional<AttemptId> set(AttemptId Id, std::size_t Bytes);

  /// Forgets an attempt that has ended.
  void remove(AttemptId Id);

  std::size_t total() const { return Total_; }

private:
  std::unordered_map<AttemptId, std::size_t> Bytes_;
  std::size_t Total_ = 0;
};

} // namespace endivewharf
