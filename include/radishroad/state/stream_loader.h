#ifndef RADISHROAD_STATE_STREAM_LOADER_H
#define RADISHROAD_STATE_STREAM_LOADER_H

#include "radishroad/state/fold.h"
#include "radishroad/state/snapshot.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>

namespace radishroad {

/// Limits on the records buffered while waiting for a snapshot.
constexpr std::size_t kMaxBufferedRecords = 65536;
constexpr std::size_t kMaxBufferedBytes = 64U << 20;

/// Builds a state from the records of a stream, starting at offset 0 or later,
/// and rebuilds it after a gap. Records after a gap are buffered until a
/// complete snapshot covers everything before the first of them; then the
/// snapshot is loaded and the remaining records are folded. Performs no I/O.
/// Instantiated for CellState and ConfigState.
template<typename State>
class StreamLoader
{
public:
  struct Hooks
  {
    /// Called with the verdict of each folded record; may be empty.
    std::function<void(const LogRecord&, FoldVerdict)> mOnFolded;
  };

  StreamLoader() = default;
  explicit StreamLoader(Hooks aHooks);

  /// Adds records in offset order; records seen before are skipped.
  void add(std::span<const LogRecord> aRecords);

  /// Replaces the state if aState is newer, for stores that hold complete
  /// states instead of records.
  void replaceState(State aState);
  /// Reports that the log no longer retains records before aOldest.
  void onRecordsExpired(std::uint64_t aOldest);

  /// False while waiting for a snapshot; state() is then outdated and reflects
  /// the stream before the gap.
  bool isComplete() const
  {
    return mBuffered.empty() && mState.mNextOffset >= mOldestAvailable;
  }
  const State& state() const { return mState; }

  struct SnapshotInfo
  {
    std::uint64_t mLastFoldedOffset = 0;
    /// Wall time and offset that the log assigned to the last chunk.
    Millis mWallTime;
    std::uint64_t mOffset = 0;
  };
  /// The newest complete snapshot that was read.
  const std::optional<SnapshotInfo>& lastSnapshot() const
  {
    return mLastSnapshot;
  }

private:
  void addRecord(const LogRecord& aRecord);
  void foldRecord(const LogRecord& aRecord);
  std::optional<State> readSnapshot(const LogRecord& aRecord);
  void buffer(const LogRecord& aRecord);
  void dropFirstBuffered();
  void restoreFrom(State aSnapshot);

  Hooks mHooks;
  State mState;
  SnapshotReader<State> mReader;
  std::optional<SnapshotInfo> mLastSnapshot;
  /// Contiguous records after a gap.
  std::deque<LogRecord> mBuffered;
  std::size_t mBufferedBytes = 0;
  /// The log no longer retains records below this offset.
  std::uint64_t mOldestAvailable = 0;
};

}

#endif
