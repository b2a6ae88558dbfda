#ifndef RADISHROAD_CONFIG_ZONE_OUTAGE_H
#define RADISHROAD_CONFIG_ZONE_OUTAGE_H

#include "radishroad/base/millis.h"

#include <optional>

namespace radishroad::config {

/// What this daemon knows of an availability zone that operators have taken out
/// of service. Times are of the monotonic clock.
struct ZoneOutage
{
  /// The last moment at which the zone was known to be in service; nullopt if
  /// this process never knew it to be.
  std::optional<Millis> mInServiceAt;
  Millis mLearnedAt;
  /// Until then requests of keys still go to their owners in the zone, so that
  /// the keys can be handed off. Other requests do not.
  Millis mServeKeysUntil;
};

/// aTimeLimit: time within which no more requests may go to the zone.
ZoneOutage
makeZoneOutage(std::optional<Millis> aInServiceAt,
               Millis aLearnedAt,
               Millis aTimeLimit);

}

#endif
