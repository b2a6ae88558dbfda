#ifndef RADISHROAD_FUZZ_MUTATOR_H
#define RADISHROAD_FUZZ_MUTATOR_H

#include "radishroad/state/records.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad::fuzz {

/// Mutates valid inputs; a seed determines how.
class Mutator
{
public:
  explicit Mutator(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::uint64_t draw(std::uint64_t aBound)
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mRandom);
  }

  /// Leaves half of the inputs unchanged, so that state builds up.
  Bytes mutate(Bytes aBytes)
  {
    if (draw(2) == 0) {
      return aBytes;
    }
    for (std::uint64_t i = draw(kMaxMutations); i > 0; --i) {
      applyMutation(aBytes);
    }
    return aBytes;
  }

  /// Replaces some values of a JSON text by odd ones: nested deeply, out of
  /// range, of another type, or not UTF-8.
  std::string mutateJson(std::string aText)
  {
    for (std::uint64_t n = draw(kMaxMutations); n > 0; --n) {
      replaceValue(aText);
    }
    return aText;
  }

  std::string oddValue()
  {
    static const std::array<std::string_view, 14> kValues{
      "null",       "true",
      "[]",         "{}",
      "\"\"",       "-1",
      "1.5",        "1e15",
      "1e300",      "1e400",
      "\"\xE9\"",   "\"a:65536\"",
      "4294967296", "18446744073709551616"
    };
    const std::uint64_t n = draw(kValues.size() + 1);
    if (n < kValues.size()) {
      return std::string(kValues[n]);
    }
    const std::size_t depth = 1 + draw(kMaxDepth);
    return std::string(depth, '[') + std::string(depth, ']');
  }

private:
  /// Replaces the value after a colon, a comma or a bracket.
  void replaceValue(std::string& aText)
  {
    const std::size_t at =
      aText.find_first_of(":,[", aText.empty() ? 0 : draw(aText.size()));
    if (at == std::string::npos) {
      return;
    }
    const std::size_t end =
      std::min(aText.find_first_of(",]}", at + 1), aText.size());
    aText.replace(at + 1, end - at - 1, oddValue());
  }

  static constexpr std::uint64_t kMaxDepth = 200;
  static constexpr std::uint64_t kMaxMutations = 4;
  static constexpr std::uint64_t kMutationKinds = 5;
  static constexpr std::uint64_t kByteValues = 256;

  void applyMutation(Bytes& aBytes)
  {
    if (aBytes.empty()) {
      aBytes.push_back(0);
    }
    const std::size_t at = draw(aBytes.size());
    switch (draw(kMutationKinds)) {
      case 0:
        aBytes[at] ^= static_cast<std::uint8_t>(1U << draw(8));
        break;
      case 1:
        aBytes[at] = static_cast<std::uint8_t>(draw(kByteValues));
        break;
      case 2:
        aBytes.resize(at);
        break;
      case 3:
        aBytes.insert(aBytes.begin() + static_cast<std::ptrdiff_t>(at),
                      static_cast<std::uint8_t>(draw(kByteValues)));
        break;
      default:
        std::copy_n(aBytes.begin(),
                    std::min(at, aBytes.size() - at),
                    aBytes.begin() + static_cast<std::ptrdiff_t>(at));
        break;
    }
  }

  std::mt19937_64 mRandom;
};

/// Exits with a message if a condition does not hold.
inline void
require(bool aHolds, const char* aMessage, std::uint64_t aRound)
{
  if (!aHolds) {
    std::fprintf(stderr,
                 "round %llu: %s\n",
                 static_cast<unsigned long long>(aRound),
                 aMessage);
    std::exit(1);
  }
}

struct Arguments
{
  std::uint64_t mSeed = 1;
  std::uint64_t mRounds = 20000;
};

/// Parses the command line: SEED ROUNDS.
inline Arguments
parseArguments(std::span<char*> aArguments)
{
  Arguments arguments;
  if (aArguments.size() > 1) {
    arguments.mSeed = std::strtoull(aArguments[1], nullptr, 10);
  }
  if (aArguments.size() > 2) {
    arguments.mRounds = std::strtoull(aArguments[2], nullptr, 10);
  }
  return arguments;
}

}

#endif
