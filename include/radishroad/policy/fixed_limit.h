#ifndef RADISHROAD_POLICY_FIXED_LIMIT_H
#define RADISHROAD_POLICY_FIXED_LIMIT_H

#include "radishroad/base/millis.h"

#include <cstdint>

namespace radishroad {

/// Baseline for comparison with ConcurrencyWindow: a constant limit. The
/// largest value disables limiting. Does no I/O and reads no clock.
class FixedLimit
{
public:
  explicit FixedLimit(std::uint32_t aLimit)
    : mLimit(aLimit)
  {
  }

  std::uint32_t limit() const { return mLimit; }
  void onCold(Millis) {}
  void onAnswer(Millis, std::uint32_t, Millis) {}
  void onShed(Millis) {}
  void onTimeout(Millis, Millis) {}
  Millis expectedTime() const { return Millis{ 0 }; }

private:
  std::uint32_t mLimit;
};

}

#endif
