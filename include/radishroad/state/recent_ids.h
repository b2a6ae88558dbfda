#ifndef RADISHROAD_STATE_RECENT_IDS_H
#define RADISHROAD_STATE_RECENT_IDS_H

#include "radishroad/base/random_id.h"

#include <boost/container/flat_set.hpp>
#include <cstddef>
#include <deque>

namespace radishroad {

/// The ids of the newest folded records; the oldest go first. Sorted storage
/// rather than a tree: a state is copied far more often than an id is added.
class RecentIds
{
public:
  /// Bounds how late a repeated append is still known as one: at the log's
  /// several hundred appends a second, about ten seconds.
  static constexpr std::size_t kCapacity = 4096;

  /// False, without a change, if the id is there.
  bool add(RandomId aId);
  std::size_t size() const { return mOrder.size(); }
  /// Oldest first.
  const std::deque<RandomId>& inOrder() const { return mOrder; }

  bool operator==(const RecentIds&) const = default;

private:
  std::deque<RandomId> mOrder;
  boost::container::flat_set<RandomId> mSorted;
};

}

#endif
