#ifndef RADISHROAD_PEER_BYTE_BUDGET_H
#define RADISHROAD_PEER_BYTE_BUDGET_H

#include <atomic>
#include <cstddef>

namespace radishroad {

/// Bounds the bytes queued for one peer. All members may be called from any
/// thread.
class ByteBudget
{
public:
  explicit ByteBudget(std::size_t aMax)
    : mMax(aMax)
  {
  }

  /// False, with nothing taken, if the bound would be passed.
  bool tryTake(std::size_t aBytes)
  {
    if (mUsed.fetch_add(aBytes) + aBytes > mMax) {
      mUsed.fetch_sub(aBytes);
      return false;
    }
    return true;
  }

  void give(std::size_t aBytes) { mUsed.fetch_sub(aBytes); }

  /// Whether aBytes would fit now.
  bool fits(std::size_t aBytes) const { return mUsed + aBytes <= mMax; }

private:
  const std::size_t mMax;
  std::atomic<std::size_t> mUsed = 0;
};

}

#endif
