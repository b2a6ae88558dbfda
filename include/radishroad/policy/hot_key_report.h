#ifndef RADISHROAD_POLICY_HOT_KEY_REPORT_H
#define RADISHROAD_POLICY_HOT_KEY_REPORT_H

#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/cell_state.h"

#include <span>
#include <vector>

namespace radishroad {

/// Of all keys that a member counts, the hottest first, those that its load
/// report carries: the top few, and split keys that the member owns.
std::vector<wire::HotKeyT>
selectHotKeys(std::span<const wire::HotKeyT> aCounted,
              const CellState& aState,
              Incarnation aSelf);

}

#endif
