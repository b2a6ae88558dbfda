#include "radishroad/base/random_id.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <openssl/rand.h>
#include <random>

namespace radishroad {

namespace {

using RandomWords = std::array<std::uint64_t, 2>;

RandomWords
randomWords()
{
  RandomWords words{};
  if (RAND_bytes(reinterpret_cast<unsigned char*>(words.data()),
                 sizeof(words)) == 1) {
    return words;
  }
  std::random_device device;
  for (std::uint64_t& word : words) {
    word = (static_cast<std::uint64_t>(device()) << 32U) | device();
  }
  return words;
}

}

std::string
RandomId::toString() const
{
  constexpr std::size_t kDigits = 32;
  std::array<char, kDigits + 1> buf{};
  std::snprintf(
    buf.data(), buf.size(), "%016" PRIx64 "%016" PRIx64, mHigh, mLow);
  return { buf.data(), kDigits };
}

RandomId
makeRandomId()
{
  const RandomWords words = randomWords();
  return { words[0], words[1] };
}

std::uint64_t
makeIncarnation()
{
  std::uint64_t word = randomWords().front();
  while (word == 0) {
    word = randomWords().front();
  }
  return word;
}

}
