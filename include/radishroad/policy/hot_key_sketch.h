#ifndef RADISHROAD_POLICY_HOT_KEY_SKETCH_H
#define RADISHROAD_POLICY_HOT_KEY_SKETCH_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace radishroad {

/// Estimates the rates of the hottest keys in fixed memory, with counts that
/// decay over time. Does no I/O and reads no clock.
///
/// Space-Saving (A. Metwally, D. Agrawal, A. El Abbadi: "Efficient Computation
/// of Frequent and Top-k Elements in Data Streams", ICDT 2005) over weights by
/// forward decay (G. Cormode, V. Shkapenyuk, D. Srivastava, B. Xu: "Forward
/// Decay: A Practical Time Decay Model for Streaming Systems", ICDE 2009): an
/// arrival weighs exp((now - landmark) / time constant), so that entries never
/// have to be aged one by one. With n entries, each key above 1/n of the
/// decayed total is tracked, and no count is too high by more than that.
class HotKeySketch
{
public:
  struct Entry
  {
    std::uint64_t mKeyHash = 0;
    /// Requests a second; a lower bound of the actual rate.
    double mRate = 0;
    /// Upper bound on how much mRate is too low.
    double mError = 0;
  };

  HotKeySketch(std::size_t aCapacity, Millis aTimeConstant);

  void add(std::uint64_t aKeyHash, Millis aNow);
  /// Returns all entries, the highest rate first. A key reaches its steady rate
  /// after a few time constants.
  std::vector<Entry> entries(Millis aNow) const;

private:
  struct Counter
  {
    std::uint64_t mKeyHash = 0;
    double mWeight = 0;
    double mError = 0;
    /// Index in mHeap.
    std::size_t mHeapIndex = 0;
  };

  double weightAt(Millis aNow) const;
  void moveLandmark(Millis aNow);
  void append(std::uint64_t aKeyHash, double aWeight);
  /// Restores the heap order after a counter has grown.
  void siftDown(std::size_t aCounter);
  void swapHeapEntries(std::size_t aLeft, std::size_t aRight);

  std::size_t mCapacity;
  Millis mTimeConstant;
  Millis mLandmark;
  std::vector<Counter> mCounters;
  /// Min-heap of indices into mCounters, ordered by weight.
  std::vector<std::size_t> mHeap;
  std::unordered_map<std::uint64_t, std::size_t> mIndex;
};

}

#endif
