#include "radishroad/policy/hot_key_sketch.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

constexpr double kMillisPerSecond = 1000.0;
/// Weights are rescaled beyond this, before they lose precision.
constexpr double kMaxWeight = 1e9;

}

HotKeySketch::HotKeySketch(std::size_t aCapacity, Millis aTimeConstant)
  : mCapacity(std::max<std::size_t>(aCapacity, 1))
  , mTimeConstant(aTimeConstant)
{
  mCounters.reserve(mCapacity);
  mHeap.reserve(mCapacity);
  mIndex.reserve(mCapacity + 1);
}

double
HotKeySketch::weightAt(Millis aNow) const
{
  const Millis age = aNow - mLandmark;
  return std::exp(static_cast<double>(age.mCount) /
                  static_cast<double>(mTimeConstant.mCount));
}

void
HotKeySketch::moveLandmark(Millis aNow)
{
  const double scale = 1 / weightAt(aNow);
  for (Counter& counter : mCounters) {
    counter.mWeight *= scale;
    counter.mError *= scale;
  }
  mLandmark = aNow;
}

void
HotKeySketch::swapHeapEntries(std::size_t aLeft, std::size_t aRight)
{
  std::swap(mHeap[aLeft], mHeap[aRight]);
  mCounters[mHeap[aLeft]].mHeapIndex = aLeft;
  mCounters[mHeap[aRight]].mHeapIndex = aRight;
}

void
HotKeySketch::siftDown(std::size_t aCounter)
{
  const auto weightOf = [this](std::size_t aIndex) {
    return mCounters[mHeap[aIndex]].mWeight;
  };
  std::size_t index = mCounters[aCounter].mHeapIndex;
  while (2 * index + 1 < mHeap.size()) {
    std::size_t child = 2 * index + 1;
    const bool second =
      child + 1 < mHeap.size() && weightOf(child + 1) < weightOf(child);
    child += second ? 1 : 0;
    if (weightOf(index) <= weightOf(child)) {
      return;
    }
    swapHeapEntries(index, child);
    index = child;
  }
}

void
HotKeySketch::append(std::uint64_t aKeyHash, double aWeight)
{
  const std::size_t n = mCounters.size();
  mIndex.emplace(aKeyHash, n);
  mCounters.push_back({ aKeyHash, aWeight, 0, n });
  mHeap.push_back(n);
  for (std::size_t index = n; index > 0; index = (index - 1) / 2) {
    const std::size_t parent = (index - 1) / 2;
    if (mCounters[mHeap[parent]].mWeight <= aWeight) {
      return;
    }
    swapHeapEntries(index, parent);
  }
}

void
HotKeySketch::add(std::uint64_t aKeyHash, Millis aNow)
{
  if (mCounters.empty() || weightAt(aNow) > kMaxWeight) {
    moveLandmark(aNow);
  }
  const double weight = weightAt(aNow);
  const auto it = mIndex.find(aKeyHash);
  if (it != mIndex.end()) {
    mCounters[it->second].mWeight += weight;
    siftDown(it->second);
    return;
  }
  if (mCounters.size() < mCapacity) {
    append(aKeyHash, weight);
    return;
  }
  // The new key inherits the smallest count as its error bound, since all of
  // that count may be its own.
  const std::size_t smallest = mHeap.front();
  Counter& counter = mCounters[smallest];
  mIndex.erase(counter.mKeyHash);
  mIndex.emplace(aKeyHash, smallest);
  counter.mKeyHash = aKeyHash;
  counter.mError = counter.mWeight;
  counter.mWeight += weight;
  siftDown(smallest);
}

std::vector<HotKeySketch::Entry>
HotKeySketch::entries(Millis aNow) const
{
  const double seconds =
    static_cast<double>(mTimeConstant.mCount) / kMillisPerSecond;
  const double toRate = 1 / (weightAt(aNow) * seconds);
  std::vector<Entry> all;
  all.reserve(mCounters.size());
  for (const Counter& counter : mCounters) {
    const double error = counter.mError * toRate;
    all.push_back(
      { counter.mKeyHash, counter.mWeight * toRate - error, error });
  }
  std::ranges::sort(all, std::ranges::greater{}, &Entry::mRate);
  return all;
}

}
