#ifndef RADISHROAD_BASE_MILLIS_H
#define RADISHROAD_BASE_MILLIS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace radishroad {

/// A number of milliseconds: a point in time on some clock, or a duration. The
/// variable's documentation states which clock it refers to.
struct Millis
{
  std::int64_t mCount = 0;

  /// A time that never comes.
  static constexpr Millis max()
  {
    return { std::numeric_limits<std::int64_t>::max() };
  }

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>
  constexpr auto operator<=>(const Millis&) const = default;

  constexpr Millis operator+(Millis aOther) const
  {
    return { mCount + aOther.mCount };
  }
  constexpr Millis operator-(Millis aOther) const
  {
    return { mCount - aOther.mCount };
  }
  constexpr Millis operator*(std::int64_t aFactor) const
  {
    return { mCount * aFactor };
  }
  constexpr Millis operator/(std::int64_t aDivisor) const
  {
    return { mCount / aDivisor };
  }
  constexpr Millis& operator+=(Millis aOther)
  {
    mCount += aOther.mCount;
    return *this;
  }
};

/// Reads a clock. Core code takes a point in time or a ClockFn as a parameter
/// and never reads the system clock itself.
using ClockFn = std::function<Millis()>;

/// The machine's monotonic clock. It continues to advance while the process is
/// stopped or the VM is suspended.
Millis
monotonicNow();

/// Wall-clock time since the Unix epoch. Use it for logs and records only.
Millis
wallNow();

namespace literals {
constexpr Millis operator""_ms(unsigned long long aCount)
{
  return { static_cast<std::int64_t>(aCount) };
}
constexpr Millis operator""_s(unsigned long long aCount)
{
  return { static_cast<std::int64_t>(aCount) * 1000 };
}
}

}

#endif
