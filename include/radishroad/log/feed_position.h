#ifndef RADISHROAD_LOG_FEED_POSITION_H
#define RADISHROAD_LOG_FEED_POSITION_H

#include "radishroad/base/millis.h"
#include "radishroad/log/state_store.h"

#include <cstdint>
#include <optional>

namespace radishroad {

/// From where and how to read the operators' entries next. Does no I/O and
/// reads no clock.
class FeedPosition
{
public:
  /// How long a read waits for new entries.
  static constexpr Millis kWait{ 15000 };
  /// After the store was restored from a copy, operators write again what it
  /// lost. All entries are read again after this time.
  static constexpr Millis kRereadDelay{ 2000 };

  struct Read
  {
    /// 0 to read all entries.
    std::uint64_t mFrom = 0;
    Millis mWait;
  };
  Read nextRead(Millis aNow) const;
  void onRead(const OperatorEntries& aEntries, Millis aNow);
  /// The store may have been restored since the last read: a log that has grown
  /// to its old length again would let a read wait for the next entry.
  void onFailed() { mMayWait = false; }

private:
  std::uint64_t mNext = 0;
  bool mMayWait = true;
  std::optional<Millis> mRereadAt;
};

}

#endif
