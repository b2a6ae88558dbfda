#include "radishroad/policy/move_allowance.h"

namespace radishroad {

namespace {

/// Share of a window that may be in use on average. The rest is for bursts; a
/// window grows only while it is full often.
constexpr double kWindowShare = 0.7;

}

void
MoveAllowance::setMember(Incarnation aMember, double aWindow, double aBusy)
{
  mMembers[aMember] = { aWindow, aBusy };
}

bool
MoveAllowance::take(Incarnation aMember, double aLoad)
{
  const auto it = mMembers.find(aMember);
  if (it == mMembers.end() || it->second.mWindow <= 0) {
    return true;
  }
  Entry& entry = it->second;
  const bool fits = entry.mBusy + aLoad <= entry.mWindow * kWindowShare;
  if (!fits && entry.mBusy > 0) {
    return false;
  }
  entry.mBusy += aLoad;
  return true;
}

}
