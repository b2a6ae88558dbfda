#ifndef RADISHROAD_TOOLS_RR_RELAY_FAULT_RULE_H
#define RADISHROAD_TOOLS_RR_RELAY_FAULT_RULE_H

#include "radishroad/base/millis.h"

namespace radishroad::tools {

/// The faults that a relay applies to the connections of one source.
struct FaultRule
{
  /// Closes existing connections and rejects new ones.
  bool mDisconnect = false;
  /// Withholds bytes on the way to the target, or from it. They are delivered
  /// once the rule is removed, as after a network partition.
  bool mHoldToTarget = false;
  bool mHoldFromTarget = false;
  /// Latency added in each direction.
  Millis mDelay;
};

}

#endif
