#include "radishroad/config/zone_outage.h"

namespace radishroad::config {

namespace {

/// Percentage of the time limit during which keys are still served.
constexpr std::int64_t kServeKeysPercent = 80;

}

ZoneOutage
makeZoneOutage(std::optional<Millis> aInServiceAt,
               Millis aLearnedAt,
               Millis aTimeLimit)
{
  return { aInServiceAt,
           aLearnedAt,
           aLearnedAt + aTimeLimit * kServeKeysPercent / 100 };
}

}
