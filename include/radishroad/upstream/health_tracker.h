#ifndef RADISHROAD_UPSTREAM_HEALTH_TRACKER_H
#define RADISHROAD_UPSTREAM_HEALTH_TRACKER_H

#include "radishroad/base/millis.h"

#include <optional>
#include <string>
#include <string_view>

namespace radishroad {

/// Change of the upstream's health that an observation implies.
enum class HealthChange
{
  None,
  CameUp,
  /// It reports itself as unhealthy, or its probes time out.
  WentDown,
  /// Its process has ended: connections are refused.
  Lost,
  /// Another instance than before responds.
  Restarted,
};

/// Tracks an upstream's health and schedules its probes, spaced so that they
/// take a small share of the upstream's time. Does no I/O and reads no clock.
class HealthTracker
{
public:
  void setProbeCost(Millis aCost);
  /// From now on only requestProbe() schedules probes.
  void disablePeriodicProbes();

  HealthChange onProbeAnswer(int aStatus, std::string_view aInstance);
  HealthChange onProbeTimeout();
  /// No connection could be opened.
  HealthChange onRefused();
  /// As onRefused(), for an exchange that was started at aStartedAt. One that
  /// was started before the present process became known says nothing about
  /// it, so that it only requests a probe.
  HealthChange onRefused(Millis aStartedAt, Millis aNow);
  /// The upstream's present process has become known.
  void onNewProcess(Millis aNow) { mProcessSince = aNow; }
  /// The upstream responded to a request; aInstance may be empty.
  HealthChange onAnswer(std::string_view aInstance);

  bool healthy() const;
  /// Instance that responded last; empty before the first response.
  const std::string& instance() const { return mInstance; }
  /// A connection was refused, and no probe has been answered since.
  bool lost() const;

  bool probeDue(Millis aNow) const;
  Millis nextProbe() const;
  void onProbeStarted(Millis aNow);
  /// Schedules a probe as early as the minimum spacing allows.
  void requestProbe(Millis aNow);

private:
  HealthChange updateInstance(std::string_view aInstance);

  Millis mInterval{ 100 };
  Millis mNextProbe;
  Millis mLastProbe;
  std::string mInstance;
  std::optional<Millis> mProcessSince;
  bool mHealthy = false;
  bool mLost = false;
  int mConsecutiveTimeouts = 0;
};

}

#endif
