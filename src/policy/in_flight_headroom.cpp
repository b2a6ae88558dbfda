#include "radishroad/policy/in_flight_headroom.h"

namespace radishroad {

namespace {

/// Share of a window that may be in use on average. The rest absorbs bursts; a
/// window grows only while it is often full.
constexpr double kUsableWindowShare = 0.7;

}

void
InFlightHeadroom::setMember(Incarnation aMember,
                            double aWindow,
                            double aInFlight)
{
  mMembers[aMember] = { aWindow, aInFlight };
}

bool
InFlightHeadroom::tryReserve(Incarnation aMember, double aAdded)
{
  const auto it = mMembers.find(aMember);
  if (it == mMembers.end() || it->second.mWindow <= 0) {
    return true;
  }
  Entry& entry = it->second;
  const bool fits =
    entry.mInFlight + aAdded <= entry.mWindow * kUsableWindowShare;
  if (!fits && entry.mInFlight > 0) {
    return false;
  }
  entry.mInFlight += aAdded;
  return true;
}

}
