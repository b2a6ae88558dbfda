#ifndef RADISHROAD_BASE_MILLIS_H
#define RADISHROAD_BASE_MILLIS_H

#include <compare>
#include <cstdint>
#include <functional>

namespace radishroad {

/// A count of milliseconds: a point on some clock, or a span of time.
/// The owner of a value says which clock it belongs to.
struct Millis
{
  std::int64_t mCount = 0;

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

/// Reads a clock. Core code takes a point in time or this hook, never the
/// system's clock.
using ClockFn = std::function<Millis()>;

/// The machine's monotonic clock. It counts on while the process is stopped or
/// the VM is suspended.
Millis
monotonicNow();

/// Wall-clock time since the Unix epoch; for logs and records only.
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
