#ifndef RADISHROAD_POLICY_CONNECTION_PACER_H
#define RADISHROAD_POLICY_CONNECTION_PACER_H

#include "radishroad/base/millis.h"

#include <algorithm>
#include <cstdint>

namespace radishroad {

/// Paces new connections so that their cost takes at most a tenth of the
/// upstream's time. A few may be opened at once after a pause. Does no I/O and
/// reads no clock.
class ConnectionPacer
{
public:
  /// Cost of one new connection to the upstream; 0 disables pacing.
  void setCost(Millis aCost) { mInterval = aCost * kCostDivisor; }

  bool mayOpen(Millis aNow) const { return aNow >= nextOpen(); }
  void onOpened(Millis aNow)
  {
    mCostCoveredUntil = std::max(mCostCoveredUntil, aNow) + mInterval;
  }
  /// Earliest time at which a connection may be opened.
  Millis nextOpen() const { return mCostCoveredUntil - mInterval * kBurst; }

private:
  static constexpr std::int64_t kCostDivisor = 10;
  /// Connections that may be opened ahead of their time.
  static constexpr std::int64_t kBurst = 2;

  Millis mInterval{ 10 };
  /// Time at which the cost of all connections opened so far is covered.
  Millis mCostCoveredUntil;
};

}

#endif
