#include "radishroad/state/recent_ids.h"

namespace radishroad {

bool
RecentIds::add(RandomId aId)
{
  if (!mSorted.insert(aId).second) {
    return false;
  }
  mOrder.push_back(aId);
  if (mOrder.size() > kCapacity) {
    mSorted.erase(mOrder.front());
    mOrder.pop_front();
  }
  return true;
}

}
