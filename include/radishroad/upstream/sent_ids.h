#ifndef RADISHROAD_UPSTREAM_SENT_IDS_H
#define RADISHROAD_UPSTREAM_SENT_IDS_H

#include "radishroad/base/hash.h"
#include "radishroad/base/millis.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace radishroad {

/// Ids that an upstream has responded to over connections that may still be
/// open. A response repeats the request's id, so it does not tell which of
/// several attempts on one connection it belongs to. Ids are kept until their
/// request's deadline, after which no attempt follows. Does no I/O and reads no
/// clock.
class SentIds
{
public:
  void add(std::string_view aId, Millis aDeadline, Millis aNow)
  {
    if (aNow >= mNextCleanup) {
      mNextCleanup = aNow + kCleanupInterval;
      std::erase_if(mKeptUntil, [aNow](const auto& aEntry) {
        return aNow >= aEntry.second;
      });
    }
    mKeptUntil[hash64(aId)] = aDeadline + kDeadlineMargin;
  }

  bool contains(std::string_view aId) const
  {
    return mKeptUntil.contains(hash64(aId));
  }

private:
  /// Covers the way from the daemon that took the request.
  static constexpr Millis kDeadlineMargin{ 1000 };
  static constexpr Millis kCleanupInterval{ 500 };

  std::unordered_map<std::uint64_t, Millis> mKeptUntil;
  Millis mNextCleanup;
};

}

#endif
