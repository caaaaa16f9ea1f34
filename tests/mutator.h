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
      : Random_(Seed), Samples_(std::move(Samples)) {}

  /// @return one of the samples with one to four changes; now and then as it
  /// was
  std::string next() {
    std::string Bytes = sample();
    const std::size_t Changes = draw(5);
    for (std::size_t I = 0; I < Changes; ++I)
      change(Bytes);
    return Bytes;
  }

  /// @return a number below a bound; 0 if the bound is 0
  std::size_t draw(std::size_t Bound) {
    return Bound == 0 ? 0 : Random_() % Bound;
  }

private:
  /// What stands at the borders of what decoders take.
  static constexpr std::array<std::string_view, 18> Odd = {
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

  const std::string &sample() { return Samples_[draw(Samples_.size())]; }

  void change(std::string &Bytes) {
    const std::size_t At = draw(Bytes.size() + 1);
    const std::size_t Length = draw(std::min<std::size_t>(
        Bytes.size() - At + 1, draw(4) == 0 ? Bytes.size() + 1 : 9));
    switch (draw(8)) {
    case 0:
      if (At < Bytes.size())
        Bytes[At] = static_cast<char>(Bytes[At] ^ (1 << draw(8)));
      break;
    case 1:
      Bytes.insert(At, 1, static_cast<char>(draw(256)));
      break;
    case 2:
      Bytes.erase(At, Length);
      break;
    case 3:
      Bytes.insert(draw(Bytes.size() + 1), Bytes.substr(At, Length));
      break;
    case 4:
      Bytes.resize(At);
      break;
    case 5: {
      const std::string &Other = sample();
      Bytes.replace(At, Length, Other.substr(draw(Other.size() + 1), 64));
      break;
    }
    case 6:
      Bytes.insert(At, Odd[draw(Odd.size())]);
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
                  Odd[draw(Odd.size())]);
  }

  std::mt19937_64 Random_;
  std::vector<std::string> Samples_;
};

} // namespace endivewharf
