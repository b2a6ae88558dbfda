#include "radishroad/state/stream_loader.h"

#include <algorithm>
#include <utility>

namespace radishroad {

template<typename State>
StreamLoader<State>::StreamLoader(Hooks aHooks)
  : mHooks(std::move(aHooks))
{
}

template<typename State>
void
StreamLoader<State>::add(std::span<const LogRecord> aRecords)
{
  for (const LogRecord& record : aRecords) {
    addRecord(record);
  }
}

template<typename State>
void
StreamLoader<State>::onRecordsExpired(std::uint64_t aOldest)
{
  mOldestAvailable = std::max(mOldestAvailable, aOldest);
}

template<typename State>
void
StreamLoader<State>::addRecord(const LogRecord& aRecord)
{
  const std::uint64_t next =
    mBuffered.empty() ? mState.mNextOffset : mBuffered.back().mOffset + 1;
  if (aRecord.mOffset < next) {
    return;
  }
  std::optional<State> snapshot = readSnapshot(aRecord);
  if (mBuffered.empty() && aRecord.mOffset == next) {
    foldRecord(aRecord);
    return;
  }
  buffer(aRecord);
  if (snapshot && snapshot->mNextOffset >= mBuffered.front().mOffset) {
    restoreFrom(std::move(*snapshot));
  }
}

template<typename State>
void
StreamLoader<State>::foldRecord(const LogRecord& aRecord)
{
  const FoldVerdict verdict = fold(mState, aRecord);
  if (mHooks.mOnFolded) {
    mHooks.mOnFolded(aRecord, verdict);
  }
}

template<typename State>
std::optional<State>
StreamLoader<State>::readSnapshot(const LogRecord& aRecord)
{
  const Result<std::unique_ptr<wire::RecordT>> record =
    decodeRecord(aRecord.mData);
  if (!record) {
    return std::nullopt;
  }
  const wire::SnapshotChunkT* chunk = (*record)->change.AsSnapshotChunk();
  // A snapshot cannot cover records that are written after it.
  if (chunk == nullptr || chunk->as_of >= aRecord.mOffset) {
    return std::nullopt;
  }
  std::optional<State> snapshot = mReader.add(*chunk);
  if (snapshot &&
      (!mLastSnapshot || mLastSnapshot->mLastFoldedOffset <= chunk->as_of)) {
    mLastSnapshot = { chunk->as_of, aRecord.mWallTime, aRecord.mOffset };
  }
  return snapshot;
}

template<typename State>
void
StreamLoader<State>::buffer(const LogRecord& aRecord)
{
  // A second gap: the buffered records are no longer contiguous with this one.
  if (!mBuffered.empty() && aRecord.mOffset != mBuffered.back().mOffset + 1) {
    mBuffered.clear();
    mBufferedBytes = 0;
  }
  mBuffered.push_back(aRecord);
  mBufferedBytes += aRecord.mData.size();
  while (mBuffered.size() > kMaxBufferedRecords ||
         (mBufferedBytes > kMaxBufferedBytes && mBuffered.size() > 1)) {
    dropFirstBuffered();
  }
}

template<typename State>
void
StreamLoader<State>::dropFirstBuffered()
{
  mBufferedBytes -= mBuffered.front().mData.size();
  mBuffered.pop_front();
}

template<typename State>
void
StreamLoader<State>::restoreFrom(State aSnapshot)
{
  mState = std::move(aSnapshot);
  while (!mBuffered.empty()) {
    if (mBuffered.front().mOffset >= mState.mNextOffset) {
      foldRecord(mBuffered.front());
    }
    dropFirstBuffered();
  }
}

template<typename State>
void
StreamLoader<State>::replaceState(State aState)
{
  if (aState.mNextOffset > mState.mNextOffset) {
    restoreFrom(std::move(aState));
  }
}

template class StreamLoader<CellState>;
template class StreamLoader<ConfigState>;

}
