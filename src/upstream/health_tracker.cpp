#include "radishroad/upstream/health_tracker.h"

#include <algorithm>
#include <limits>

namespace radishroad {

namespace {

/// Ratio of probe interval to probe cost: probes take at most 1/50 of the
/// upstream's time.
constexpr std::int64_t kProbeIntervalPerCost = 50;
constexpr Millis kMinProbeInterval{ 100 };
/// Minimum time between two probes, also for requested ones.
constexpr Millis kMinProbeSpacing{ 20 };
/// Probes that time out in a row, with no other response in between, until the
/// upstream counts as down. One or two slow probes do not prove it.
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
HealthTracker::onRefused(Millis aStartedAt, Millis aNow)
{
  if (mProcessSince && aStartedAt <= *mProcessSince) {
    requestProbe(aNow);
    return HealthChange::None;
  }
  return onRefused();
}

HealthChange
HealthTracker::onAnswer(std::string_view aInstance)
{
  const HealthChange change = updateInstance(aInstance);
  // Only a probe changes the state from down to up.
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
