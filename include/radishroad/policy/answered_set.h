#ifndef RADISHROAD_POLICY_ANSWERED_SET_H
#define RADISHROAD_POLICY_ANSWERED_SET_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace radishroad {

/// Fingerprints of requests that were answered a short time ago. A request
/// whose copy has just been answered is in flight at a crash by chance. Pure;
/// bounded memory.
class AnsweredSet
{
public:
  void add(std::uint64_t aFingerprint, Millis aNow)
  {
    mLast[aFingerprint] = aNow;
    mOrder.emplace_back(aFingerprint, aNow);
    while (mOrder.size() > kMaxEntries ||
           aNow - mOrder.front().second > kMemory) {
      dropOldest();
    }
  }

  bool contains(std::uint64_t aFingerprint, Millis aNow) const
  {
    const auto it = mLast.find(aFingerprint);
    return it != mLast.end() && aNow - it->second <= kMemory;
  }

private:
  static constexpr Millis kMemory{ 10000 };
  static constexpr std::size_t kMaxEntries = 8192;

  void dropOldest()
  {
    const auto [fingerprint, at] = mOrder.front();
    mOrder.pop_front();
    const auto it = mLast.find(fingerprint);
    if (it != mLast.end() && it->second == at) {
      mLast.erase(it);
    }
  }

  std::unordered_map<std::uint64_t, Millis> mLast;
  std::deque<std::pair<std::uint64_t, Millis>> mOrder;
};

}

#endif
