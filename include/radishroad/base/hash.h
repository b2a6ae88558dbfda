#ifndef RADISHROAD_BASE_HASH_H
#define RADISHROAD_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace radishroad {

/// 64-bit xxHash (XXH3).
std::uint64_t
hash64(std::string_view aBytes);

/// Hashes two values together, for rendezvous hashing.
std::uint64_t
hashPair(std::uint64_t aFirst, std::uint64_t aSecond);

/// SHA-256 as 64 lower-case hex digits. Caller keys are stored in this form.
std::string
sha256Hex(std::string_view aBytes);

}

#endif
