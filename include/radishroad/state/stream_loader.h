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

/// Bounds of what is held back while a snapshot is awaited.
constexpr std::size_t kMaxBufferedRecords = 65536;
constexpr std::size_t kMaxBufferedBytes = 64U << 20;

/// Builds a state from a stream's records, whether they start at offset 0 or
/// later, and builds it anew after a gap. Records past a gap are held back
/// until there is a whole snapshot that reaches up to the first of them; then
/// the rest is folded. Pure; for CellState and ConfigState.
template<typename State>
class StreamLoader
{
public:
  struct Hooks
  {
    /// How each record was folded; may be empty.
    std::function<void(const LogRecord&, FoldVerdict)> mOnFolded;
  };

  StreamLoader() = default;
  explicit StreamLoader(Hooks aHooks);

  /// Records in offset order; those seen before are passed over.
  void add(std::span<const LogRecord> aRecords);

  /// Takes over a whole newer state, as from a store that keeps them whole.
  void replaceState(State aState);
  /// Records before aOldest are no longer kept by the log.
  void onGap(std::uint64_t aOldest);

  /// False while a snapshot is awaited; state() is then out of date, but holds
  /// what was true before the gap.
  bool isComplete() const
  {
    return mBuffered.empty() && mState.mNextOffset >= mOldestAvailable;
  }
  const State& state() const { return mState; }

  struct SnapshotInfo
  {
    std::uint64_t mAsOf = 0;
    /// Wall time and offset that the log gave to its last chunk.
    Millis mWallTime;
    std::uint64_t mOffset = 0;
  };
  /// The newest whole snapshot that was read.
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
  /// Records after a gap, without gaps between them.
  std::deque<LogRecord> mBuffered;
  std::size_t mBufferedBytes = 0;
  /// Nothing below is to be had from the log.
  std::uint64_t mOldestAvailable = 0;
};

}

#endif
