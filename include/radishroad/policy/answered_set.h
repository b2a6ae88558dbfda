#ifndef RADISHROAD_POLICY_ANSWERED_SET_H
#define RADISHROAD_POLICY_ANSWERED_SET_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace radishroad {

/// Fingerprints of recently answered requests. If a copy of a request has just
/// been answered, the request is in flight at a crash only by coincidence. Does
/// no I/O and reads no clock; memory is bounded.
class AnsweredSet
{
public:
  void add(std::uint64_t aFingerprint, Millis aNow)
  {
    mLastAnsweredAt[aFingerprint] = aNow;
    mOrder.emplace_back(aFingerprint, aNow);
    while (mOrder.size() > kMaxEntries ||
           aNow - mOrder.front().second > kRetention) {
      dropOldest();
    }
  }

  bool contains(std::uint64_t aFingerprint, Millis aNow) const
  {
    const auto it = mLastAnsweredAt.find(aFingerprint);
    return it != mLastAnsweredAt.end() && aNow - it->second <= kRetention;
  }

private:
  static constexpr Millis kRetention{ 10000 };
  static constexpr std::size_t kMaxEntries = 8192;

  void dropOldest()
  {
    const auto [fingerprint, at] = mOrder.front();
    mOrder.pop_front();
    const auto it = mLastAnsweredAt.find(fingerprint);
    if (it != mLastAnsweredAt.end() && it->second == at) {
      mLastAnsweredAt.erase(it);
    }
  }

  std::unordered_map<std::uint64_t, Millis> mLastAnsweredAt;
  std::deque<std::pair<std::uint64_t, Millis>> mOrder;
};

}

#endif
