// Generates malformed input for fuzz tests by mutating valid samples.
#pragma once

#include <array>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

/// Deterministic generator of mutated samples.
class Mutator {
public:
  Mutator(std::uint64_t Seed, std::vector<std::string> Samples)
      : RandomGenerator_(Seed), Samples_(std::move(Samples)) {}

  /// @return one of the samples with up to four random mutations; about one in
  /// five is unchanged
  std::string nextMutated() {
    std::string Bytes = randomSample();
    const std::size_t Changes = drawBelow(5);
    for (std::size_t I = 0; I < Changes; ++I)
      mutate(Bytes);
    return Bytes;
  }

  /// @return a random number below a bound, or 0 if the bound is 0
  std::size_t drawBelow(std::size_t Bound) {
    return Bound == 0 ? 0 : RandomGenerator_() % Bound;
  }

private:
  /// Values at and beyond the limits of what decoders accept.
  static constexpr std::array<std::string_view, 18> BoundaryValues = {
      "-1",
      "0",
      "9223372036854775807",
      "9223372036854775808",
      "1e308",
      "1e400",
      "-1e400",
      "1.5",
      "null",
      "{}",
      "[]",
      "\"\"",
      "true",
      "\xff",
      "\\u0000",
      "\r\n",
      "=",
      "99999999999999999999"};

  const std::string &randomSample() {
    return Samples_[drawBelow(Samples_.size())];
  }

  void mutate(std::string &Bytes) {
    const std::size_t Position = drawBelow(Bytes.size() + 1);
    const std::size_t Length = drawBelow(std::min<std::size_t>(
        Bytes.size() - Position + 1, drawBelow(4) == 0 ? Bytes.size() + 1 : 9));
    switch (drawBelow(8)) {
    case 0:
      if (Position < Bytes.size())
        Bytes[Position] =
            static_cast<char>(Bytes[Position] ^ (1 << drawBelow(8)));
      break;
    case 1:
      Bytes.insert(Position, 1, static_cast<char>(drawBelow(256)));
      break;
    case 2:
      Bytes.erase(Position, Length);
      break;
    case 3:
      Bytes.insert(drawBelow(Bytes.size() + 1), Bytes.substr(Position, Length));
      break;
    case 4:
      Bytes.resize(Position);
      break;
    case 5: {
      const std::string &Other = randomSample();
      Bytes.replace(Position, Length,
                    Other.substr(drawBelow(Other.size() + 1), 64));
      break;
    }
    case 6:
      Bytes.insert(Position, BoundaryValues[drawBelow(BoundaryValues.size())]);
      break;
    default:
      replaceNumber(Bytes, Position);
    }
  }

  /// Replaces the first decimal number at or after a position by a boundary
  /// value.
  void replaceNumber(std::string &Bytes, std::size_t From) {
    constexpr std::string_view Digits = "0123456789";
    const std::size_t Begin = Bytes.find_first_of(Digits, From);
    if (Begin == std::string::npos)
      return;
    const std::size_t End = Bytes.find_first_not_of(Digits, Begin);
    Bytes.replace(Begin, End == std::string::npos ? End : End - Begin,
                  BoundaryValues[drawBelow(BoundaryValues.size())]);
  }

  std::mt19937_64 RandomGenerator_;
  std::vector<std::string> Samples_;
};

} // namespace endivewharf
