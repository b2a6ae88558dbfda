#ifndef RADISHROAD_POLICY_HOT_KEY_REPORT_H
#define RADISHROAD_POLICY_HOT_KEY_REPORT_H

#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/cell_state.h"

#include <span>
#include <vector>

namespace radishroad {

/// Selects the keys for a member's load report from all keys that it counts,
/// hottest first: the top few, and the split keys that the member owns.
std::vector<wire::HotKeyT>
selectHotKeys(std::span<const wire::HotKeyT> aCounted,
              const CellState& aState,
              Incarnation aSelf);

}

#endif
