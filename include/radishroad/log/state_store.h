#ifndef RADISHROAD_LOG_STATE_STORE_H
#define RADISHROAD_LOG_STATE_STORE_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/state/records.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace radishroad {

/// The newest state stored under a name.
struct StoredState
{
  /// Increases with each replacement.
  std::uint64_t mVersion = 0;
  /// Rises each time the store was restored from an older copy, which takes
  /// back what had been written since. Versions increase all the same.
  std::uint64_t mGeneration = 0;
  /// Empty if no state is stored.
  Bytes mData;
};

/// Client of a store that keeps one state per name and replaces it by
/// compare-and-set on its version. Use one client per thread; only mAbort may
/// be called from other threads.
struct StateStore
{
  /// Waits up to aWait for a version newer than aKnownVersion and returns the
  /// newest state. Its mVersion is aKnownVersion if there is no newer one.
  std::function<Result<StoredState>(const std::string& aName,
                                    std::uint64_t aKnownVersion,
                                    Millis aWait,
                                    Millis aTimeout)>
    mRead;
  /// Replaces the state of version aExpectedVersion and returns the new
  /// version. Fails with ErrorCode::Conflict if the stored version is another
  /// one, with ErrorCode::Unavailable if the state was certainly not replaced,
  /// and with ErrorCode::Unknown if it may have been replaced or may still be
  /// while aExpectedVersion is the stored version.
  std::function<Result<std::uint64_t>(const std::string& aName,
                                      std::uint64_t aExpectedVersion,
                                      std::span<const std::uint8_t> aData,
                                      Millis aTimeout)>
    mReplace;
  /// Ends the call in progress and each later one with ErrorCode::Timeout.
  std::function<void()> mAbort;
};

/// Opens a client for the calling thread.
using OpenStateStoreFn = std::function<StateStore()>;

/// An entry written by operators, as stored by the platform.
struct OperatorEntry
{
  std::string mKey;
  /// Empty if the entry was removed.
  Bytes mValue;
};

/// Changed operator entries and the position up to which they have been read.
struct OperatorEntries
{
  /// Position from which to continue reading.
  std::uint64_t mNext = 0;
  /// True if mEntries holds all entries in force; entries not in it were
  /// removed.
  bool mIsComplete = false;
  /// The store was restored from an older copy since the position from which
  /// the read continued. mEntries may lack entries, or hold old ones, that
  /// operators have yet to write again.
  bool mIsRestored = false;
  /// The store had no entry after them when it answered.
  bool mIsAtEnd = false;
  std::vector<OperatorEntry> mEntries;
};

/// Client that reads operator entries. Use one client per thread, as for
/// StateStore.
struct OperatorFeed
{
  /// Returns the entries after position aFrom (0: all), waiting up to aWait for
  /// the first one.
  std::function<
    Result<OperatorEntries>(std::uint64_t aFrom, Millis aWait, Millis aTimeout)>
    mRead;
  std::function<void()> mAbort;
};

using OpenOperatorFeedFn = std::function<OperatorFeed()>;

}

#endif
