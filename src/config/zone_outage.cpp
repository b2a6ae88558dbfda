#include "radishroad/config/zone_outage.h"

#include <algorithm>

namespace radishroad::config {

namespace {

/// Percentage of the time limit during which keys are still served, since the
/// zone may have gone out of service.
constexpr std::int64_t kServeKeysPercent = 80;
/// The same since this daemon learned of it: what the operators wrote may have
/// reached all daemons late.
constexpr std::int64_t kServeKeysAfterLearningPercent = 40;

}

ZoneOutage
makeZoneOutage(std::optional<Millis> aInServiceAt,
               Millis aLearnedAt,
               Millis aTimeLimit)
{
  ZoneOutage outage{ aInServiceAt, aLearnedAt, aLearnedAt };
  if (aInServiceAt) {
    outage.mServeKeysUntil =
      std::min(*aInServiceAt + aTimeLimit * kServeKeysPercent / 100,
               aLearnedAt + aTimeLimit * kServeKeysAfterLearningPercent / 100);
  }
  return outage;
}

}
