// Bytes that are nearly right: samples with a few things changed.
#pragma once

#include <array>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

class Mutator {
public:
  Mutator(std::uint64_t Seed, std::vector<std::string> Samples)
      : RandomGenerator_(Seed), Samples_(std::move(Samples)) {}

  /// @return one of the samples with one to four changes; now and then as it
  /// was
  std::string nextMutated() {
    std::string Bytes = randomSample();
    const std::size_t Changes = drawBelow(5);
    for (std::size_t I = 0; I < Changes; ++I)
      mutate(Bytes);
    return Bytes;
  }

  /// @return a number below a bound; 0 if the bound is 0
  std::size_t drawBelow(std::size_t Bound) {
    return Bound == 0 ? 0 : RandomGenerator_() % Bound;
  }

private:
  /// What stands at the borders of what decoders take.
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
    const std::size_t At = drawBelow(Bytes.size() + 1);
    const std::size_t Length = drawBelow(std::min<std::size_t>(
        Bytes.size() - At + 1, drawBelow(4) == 0 ? Bytes.size() + 1 : 9));
    switch (drawBelow(8)) {
    case 0:
      if (At < Bytes.size())
        Bytes[At] = static_cast<char>(Bytes[At] ^ (1 << drawBelow(8)));
      break;
    case 1:
      Bytes.insert(At, 1, static_cast<char>(drawBelow(256)));
      break;
    case 2:
      Bytes.erase(At, Length);
      break;
    case 3:
      Bytes.insert(drawBelow(Bytes.size() + 1), Bytes.substr(At, Length));
      break;
    case 4:
      Bytes.resize(At);
      break;
    case 5: {
      const std::string &Other = randomSample();
      Bytes.replace(At, Length, Other.substr(drawBelow(Other.size() + 1), 64));
      break;
    }
    case 6:
      Bytes.insert(At, BoundaryValues[drawBelow(BoundaryValues.size())]);
      break;
    default:
      replaceNumber(Bytes, At);
    }
  }

  /// Puts something odd in the place of the next decimal number.
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
