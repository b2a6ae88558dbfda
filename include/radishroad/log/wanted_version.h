#ifndef RADISHROAD_LOG_WANTED_VERSION_H
#define RADISHROAD_LOG_WANTED_VERSION_H

#include <atomic>
#include <cstdint>

namespace radishroad {

/// Decides whether a state that was missed must still be read from the store.
/// Thread-safe.
///
/// Load pattern: a hundred daemons miss a change at the same time. Peers send
/// most of them the state before their reads begin, and each call to the store
/// has its price.
class WantedVersion
{
public:
  /// A change that builds on this version has arrived.
  void want(std::uint64_t aVersion) { mWanted = aVersion; }
  /// Called as a read is due; aKnown: the newest version known. The first read
  /// is always made: it tells that the store answers.
  bool shouldRead(std::uint64_t aKnown)
  {
    const std::uint64_t wanted = mWanted.exchange(0);
    return !mHasRead || wanted == 0 || wanted > aKnown;
  }
  /// A read has succeeded.
  void onRead() { mHasRead = true; }

private:
  std::atomic<std::uint64_t> mWanted{ 0 };
  std::atomic<bool> mHasRead{ false };
};

}

#endif
