#include "radishroad/policy/hot_key_report.h"

namespace radishroad {

namespace {

constexpr std::size_t kMaxReportedHotKeys = 8;

}

std::vector<wire::HotKeyT>
selectHotKeys(std::span<const wire::HotKeyT> aCounted,
              const CellState& aState,
              Incarnation aSelf)
{
  std::vector<wire::HotKeyT> selected;
  for (std::size_t i = 0; i < aCounted.size(); ++i) {
    const wire::HotKeyT& key = aCounted[i];
    const auto it = aState.mSplitKeys.find(key.key_hash);
    const bool ownSplit =
      it != aState.mSplitKeys.end() && it->second.mOwnership.mOwner == aSelf;
    if (i < kMaxReportedHotKeys || ownSplit) {
      selected.push_back(key);
    }
  }
  return selected;
}

}
