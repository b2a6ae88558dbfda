#ifndef RADISHROAD_CONFIG_CHECK_PLAN_H
#define RADISHROAD_CONFIG_CHECK_PLAN_H

#include "radishroad/base/millis.h"

#include <optional>

namespace radishroad::config {

/// Decides when a daemon asks whether its configuration is the newest one, and
/// whom. Does no I/O and reads no clock.
///
/// Load pattern: a cell of a hundred members. The coordinator asks the store
/// for all; what it learns spreads with lease renewals, too slowly for most
/// members of a large cell, and each call to the store has its price. A member
/// therefore asks the coordinator, and the store only if that does not help.
class CheckPlan
{
public:
  enum class Action
  {
    None,
    AskCoordinator,
    AskStore,
  };

  /// aAsOf: time as of which the configuration is known to be the newest one.
  /// aConfigTime: time after which a new configuration must be in force.
  Action next(bool aIsCoordinator,
              std::optional<Millis> aAsOf,
              Millis aConfigTime,
              Millis aNow);

private:
  Millis mNextCoordinatorAsk;
  Millis mNextStoreAsk;
};

}

#endif
