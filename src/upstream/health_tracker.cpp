#include "radishroad/upstream/health_tracker.h"

#include <algorithm>
#include <limits>

namespace radishroad {

namespace {

/// An upstream spends at most one part in so many on probes.
constexpr std::int64_t kProbeIntervalPerCost = 50;
constexpr Millis kMinProbeInterval{ 100 };
/// Least time between two probes, whatever the reason.
constexpr Millis kMinProbeSpacing{ 20 };
/// Silent probes in a row, without an answer to anything else, until the
/// upstream counts as down. A slow probe or two are no proof.
constexpr int kMaxConsecutiveTimeouts = 3;
constexpr int kStatusOk = 200;

}

void
HealthTracker::setProbeCost(Millis aCost)
{
  mInterval = std::max(kMinProbeInterval, aCost * kProbeIntervalPerCost);
}

void
HealthTracker::disablePeriodicProbes()
{
  constexpr Millis kNever{ std::numeric_limits<std::int64_t>::max() / 2 };
  mInterval = kNever;
  mNextProbe = kNever;
}

HealthChange
HealthTracker::updateInstance(std::string_view aInstance)
{
  mConsecutiveTimeouts = 0;
  const bool restarted =
    !aInstance.empty() && !mInstance.empty() && mInstance != aInstance;
  if (!aInstance.empty()) {
    mInstance = aInstance;
  }
  return restarted ? HealthChange::Restarted : HealthChange::None;
}

HealthChange
HealthTracker::onProbeAnswer(int aStatus, std::string_view aInstance)
{
  const HealthChange change = updateInstance(aInstance);
  const bool wasHealthy = mHealthy;
  mHealthy = aStatus == kStatusOk;
  mLost = false;
  if (change == HealthChange::Restarted) {
    return change;
  }
  if (mHealthy == wasHealthy) {
    return HealthChange::None;
  }
  return mHealthy ? HealthChange::CameUp : HealthChange::WentDown;
}

HealthChange
HealthTracker::onProbeTimeout()
{
  ++mConsecutiveTimeouts;
  if (mConsecutiveTimeouts < kMaxConsecutiveTimeouts || !mHealthy) {
    return HealthChange::None;
  }
  mHealthy = false;
  return HealthChange::WentDown;
}

HealthChange
HealthTracker::onRefused()
{
  const bool wasLost = mLost;
  mLost = true;
  mHealthy = false;
  return wasLost ? HealthChange::None : HealthChange::Lost;
}

HealthChange
HealthTracker::onAnswer(std::string_view aInstance)
{
  const HealthChange change = updateInstance(aInstance);
  // While it is down, only a probe brings it up again.
  return mHealthy ? change : HealthChange::None;
}

bool
HealthTracker::healthy() const
{
  return mHealthy;
}

bool
HealthTracker::lost() const
{
  return mLost;
}

bool
HealthTracker::probeDue(Millis aNow) const
{
  return aNow >= mNextProbe;
}

Millis
HealthTracker::nextProbe() const
{
  return mNextProbe;
}

void
HealthTracker::onProbeStarted(Millis aNow)
{
  mLastProbe = aNow;
  mNextProbe = aNow + mInterval;
}

void
HealthTracker::requestProbe(Millis aNow)
{
  mNextProbe =
    std::min(mNextProbe, std::max(aNow, mLastProbe + kMinProbeSpacing));
}

}
