#ifndef RADISHROAD_STATE_RECENT_IDS_H
#define RADISHROAD_STATE_RECENT_IDS_H

#include "radishroad/base/random_id.h"

#include <boost/container/flat_set.hpp>
#include <cstddef>
#include <deque>

namespace radishroad {

/// The ids of the most recently folded records; the oldest are evicted first.
/// Uses sorted contiguous storage instead of a tree because states are copied
/// far more often than ids are added.
class RecentIds
{
public:
  /// Limits how late a repeated append is still detected as a duplicate: about
  /// ten seconds at several hundred appends per second.
  static constexpr std::size_t kCapacity = 4096;

  /// Returns false and changes nothing if the id is already present.
  bool add(RandomId aId);
  std::size_t size() const { return mOrder.size(); }
  /// The ids from oldest to newest.
  const std::deque<RandomId>& inOrder() const { return mOrder; }

  bool operator==(const RecentIds&) const = default;

private:
  std::deque<RandomId> mOrder;
  boost::container::flat_set<RandomId> mSorted;
};

}

#endif
