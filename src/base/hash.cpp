#include "radishroad/base/hash.h"

#include <array>
#include <iomanip>
#include <openssl/sha.h>
#include <sstream>
#include <xxhash.h>

namespace radishroad {

std::uint64_t
hash64(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

std::uint64_t
hashPair(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> pair{ aFirst, aSecond };
  return XXH3_64bits(pair.data(), sizeof(pair));
}

std::string
sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         digest.data());
  std::ostringstream out;
  out << std::hex << std::setfill('0');
  for (const unsigned char byte : digest) {
    out << std::setw(2) << static_cast<unsigned>(byte);
  }
  return out.str();
}

}
