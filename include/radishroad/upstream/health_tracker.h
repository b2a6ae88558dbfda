#ifndef RADISHROAD_UPSTREAM_HEALTH_TRACKER_H
#define RADISHROAD_UPSTREAM_HEALTH_TRACKER_H

#include "radishroad/base/millis.h"

#include <string>
#include <string_view>

namespace radishroad {

/// What an observation tells of the upstream.
enum class HealthChange
{
  None,
  CameUp,
  /// It answers that it cannot take work, or is silent.
  WentDown,
  /// Its process is gone: connections are refused.
  Lost,
  /// Another instance answers than before.
  Restarted,
};

/// Follows an upstream's health and says when to probe it. Pure. Probes are
/// spaced so that they take a small share of the upstream's time.
class HealthTracker
{
public:
  void setProbeCost(Millis aCost);
  /// No probes but those asked for by requestProbe().
  void disablePeriodicProbes();

  HealthChange onProbeAnswer(int aStatus, std::string_view aInstance);
  HealthChange onProbeTimeout();
  /// No connection could be opened.
  HealthChange onRefused();
  /// The upstream answered a request; aInstance may be empty.
  HealthChange onAnswer(std::string_view aInstance);

  bool healthy() const;
  /// The process was gone when last looked at.
  bool lost() const;

  bool probeDue(Millis aNow) const;
  Millis nextProbe() const;
  void onProbeStarted(Millis aNow);
  /// There is reason to look again now.
  void requestProbe(Millis aNow);

private:
  HealthChange updateInstance(std::string_view aInstance);

  Millis mInterval{ 100 };
  Millis mNextProbe;
  Millis mLastProbe;
  std::string mInstance;
  bool mHealthy = false;
  bool mLost = false;
  int mConsecutiveTimeouts = 0;
};

}

#endif
