#include "radishroad/base/random_id.h"

#include <iomanip>
#include <openssl/rand.h>
#include <random>
#include <sstream>

namespace radishroad {

namespace {

std::uint64_t
randomWord()
{
  std::uint64_t word = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&word), sizeof(word)) == 1) {
    return word;
  }
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}

std::string
RandomId::toString() const
{
  std::ostringstream out;
  out << std::hex << std::setfill('0') << std::setw(16) << mHigh
      << std::setw(16) << mLow;
  return out.str();
}

RandomId
makeRandomId()
{
  return { randomWord(), randomWord() };
}

std::uint64_t
makeIncarnation()
{
  std::uint64_t word = randomWord();
  while (word == 0) {
    word = randomWord();
  }
  return word;
}

}
