#ifndef RADISHROAD_TOOLS_RR_RELAY_RULE_H
#define RADISHROAD_TOOLS_RR_RELAY_RULE_H

#include "radishroad/base/millis.h"

namespace radishroad::tools {

/// What a relay does to the connections of one source.
struct Rule
{
  /// Ends connections, new ones as well.
  bool mCut = false;
  /// Holds bytes back on their way to the target, or back from it. They are
  /// delivered when the rule is lifted, as after a network partition.
  bool mHoldForward = false;
  bool mHoldBack = false;
  /// Time that bytes take each way.
  Millis mDelay;
};

}

#endif
