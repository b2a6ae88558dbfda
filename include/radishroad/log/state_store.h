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

/// The newest state kept under a name.
struct StoredState
{
  /// Rises with each replacement; 0 if there is none yet.
  std::uint64_t mVersion = 0;
  Bytes mData;
};

/// Client of a store that keeps one state for each name and replaces it only
/// if it is still the one that the writer has read (compare and set). One
/// client for each thread; only mAbort may be called from others.
struct StateStore
{
  /// Waits up to aWait for a version past aKnown and returns the newest one;
  /// mVersion is aKnown if there is none.
  std::function<Result<StoredState>(const std::string& aName,
                                    std::uint64_t aKnown,
                                    Millis aWait,
                                    Millis aTimeout)>
    mRead;
  /// Replaces the state of version aExpected and returns the new version.
  /// ErrorCode::Conflict: another version is in place. ErrorCode::Unavailable:
  /// certainly not replaced. ErrorCode::Unknown: it may have been, or may be
  /// later as long as aExpected is in place.
  std::function<Result<std::uint64_t>(const std::string& aName,
                                      std::uint64_t aExpected,
                                      std::span<const std::uint8_t> aData,
                                      Millis aTimeout)>
    mReplace;
  /// Ends the call under way, and each later one, with ErrorCode::Timeout.
  std::function<void()> mAbort;
};

/// Opens a client for the calling thread.
using OpenStateStoreFn = std::function<StateStore()>;

/// Something that operators have written, as the platform keeps it.
struct OperatorEntry
{
  std::string mKey;
  /// Empty once the entry has been taken back.
  Bytes mValue;
};

/// Operators' entries that changed, and how far they have been read.
struct OperatorEntries
{
  /// Position to go on from.
  std::uint64_t mNext = 0;
  /// True if mEntries is everything in force; entries not in it are gone.
  bool mWhole = false;
  std::vector<OperatorEntry> mEntries;
};

/// Client of what operators write. One for each thread, as StateStore.
struct OperatorFeed
{
  /// Entries past aFrom (0: all), waiting up to aWait for the first.
  std::function<
    Result<OperatorEntries>(std::uint64_t aFrom, Millis aWait, Millis aTimeout)>
    mRead;
  std::function<void()> mAbort;
};

using OpenOperatorFeedFn = std::function<OperatorFeed()>;

}

#endif
