#include "radishroad/base/hash.h"

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <openssl/sha.h>
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
  std::string text;
  text.reserve(digest.size() * 2);
  boost::algorithm::hex_lower(digest, std::back_inserter(text));
  return text;
}

}
