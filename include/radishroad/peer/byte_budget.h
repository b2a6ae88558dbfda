#ifndef RADISHROAD_PEER_BYTE_BUDGET_H
#define RADISHROAD_PEER_BYTE_BUDGET_H

#include <atomic>
#include <cstddef>

namespace radishroad {

/// Limits the bytes queued for one peer. Thread-safe.
class ByteBudget
{
public:
  explicit ByteBudget(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// Returns false, and reserves nothing, if the limit would be exceeded.
  bool tryReserve(std::size_t aBytes)
  {
    if (mReservedBytes.fetch_add(aBytes) + aBytes > mMaxBytes) {
      mReservedBytes.fetch_sub(aBytes);
      return false;
    }
    return true;
  }

  void release(std::size_t aBytes) { mReservedBytes.fetch_sub(aBytes); }

  /// Returns whether aBytes would fit now.
  bool fits(std::size_t aBytes) const
  {
    return mReservedBytes + aBytes <= mMaxBytes;
  }

private:
  const std::size_t mMaxBytes;
  std::atomic<std::size_t> mReservedBytes = 0;
};

}

#endif
