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
    addOne(record);
  }
}

template<typename State>
void
StreamLoader<State>::onGap(std::uint64_t aOldest)
{
  mOldest = std::max(mOldest, aOldest);
}

template<typename State>
void
StreamLoader<State>::addOne(const LogRecord& aRecord)
{
  const std::uint64_t next =
    mHeld.empty() ? mState.mNextOffset : mHeld.back().mOffset + 1;
  if (aRecord.mOffset < next) {
    return;
  }
  std::optional<State> snapshot = readSnapshot(aRecord);
  if (mHeld.empty() && aRecord.mOffset == next) {
    foldOne(aRecord);
    return;
  }
  hold(aRecord);
  if (snapshot && snapshot->mNextOffset >= mHeld.front().mOffset) {
    startFrom(std::move(*snapshot));
  }
}

template<typename State>
void
StreamLoader<State>::foldOne(const LogRecord& aRecord)
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
  // A snapshot of what was not written yet cannot be one.
  if (chunk == nullptr || chunk->as_of >= aRecord.mOffset) {
    return std::nullopt;
  }
  std::optional<State> snapshot = mReader.add(*chunk);
  if (snapshot && (!mLastSnapshot || mLastSnapshot->mAsOf <= chunk->as_of)) {
    mLastSnapshot = { chunk->as_of, aRecord.mWallTime, aRecord.mOffset };
  }
  return snapshot;
}

template<typename State>
void
StreamLoader<State>::hold(const LogRecord& aRecord)
{
  // A second gap: what was held lacks its continuation.
  if (!mHeld.empty() && aRecord.mOffset != mHeld.back().mOffset + 1) {
    mHeld.clear();
    mHeldBytes = 0;
  }
  mHeld.push_back(aRecord);
  mHeldBytes += aRecord.mData.size();
  while (mHeld.size() > kMaxHeldRecords ||
         (mHeldBytes > kMaxHeldBytes && mHeld.size() > 1)) {
    dropFirstHeld();
  }
}

template<typename State>
void
StreamLoader<State>::dropFirstHeld()
{
  mHeldBytes -= mHeld.front().mData.size();
  mHeld.pop_front();
}

template<typename State>
void
StreamLoader<State>::startFrom(State aSnapshot)
{
  mState = std::move(aSnapshot);
  while (!mHeld.empty()) {
    if (mHeld.front().mOffset >= mState.mNextOffset) {
      foldOne(mHeld.front());
    }
    dropFirstHeld();
  }
}

template<typename State>
void
StreamLoader<State>::adopt(State aState)
{
  if (aState.mNextOffset > mState.mNextOffset) {
    startFrom(std::move(aState));
  }
}

template class StreamLoader<CellState>;
template class StreamLoader<ConfigState>;

}
