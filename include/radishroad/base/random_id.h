#ifndef RADISHROAD_BASE_RANDOM_ID_H
#define RADISHROAD_BASE_RANDOM_ID_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace radishroad {

/// A 128-bit random id that identifies a record or a request.
struct RandomId
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>
  auto operator<=>(const RandomId&) const = default;

  /// 32 lower-case hex digits.
  std::string toString() const;
};

/// Generates an id from the system's random number generator.
RandomId
makeRandomId();

/// Generates a non-zero 64-bit value from the system's random number generator.
std::uint64_t
makeIncarnation();

}

template<>
struct std::hash<radishroad::RandomId>
{
  std::size_t operator()(const radishroad::RandomId& aId) const noexcept
  {
    return aId.mHigh ^ (aId.mLow * 0x9E3779B97F4A7C15ULL);
  }
};

#endif
