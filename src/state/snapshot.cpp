#include "radishroad/state/snapshot.h"

#include "radishroad/base/hash.h"
#include "radishroad/state/snapshot_codec.h"

#include <algorithm>

namespace radishroad {

namespace {

std::uint64_t
checksumOf(const Bytes& aBytes)
{
  return hash64(
    { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() });
}

template<typename State>
std::vector<wire::SnapshotChunkT>
splitIntoChunks(const State& aState, std::size_t aChunkBytes)
{
  std::vector<wire::SnapshotChunkT> chunks;
  if (aState.mNextOffset == 0 || aChunkBytes == 0) {
    return chunks;
  }
  const Bytes bytes = encodeState(aState);
  const std::span<const std::uint8_t> all(bytes);
  for (std::size_t at = 0; at < all.size(); at += aChunkBytes) {
    const std::size_t n = std::min(aChunkBytes, all.size() - at);
    const std::span<const std::uint8_t> part = all.subspan(at, n);
    wire::SnapshotChunkT chunk;
    chunk.as_of = aState.mNextOffset - 1;
    chunk.index = static_cast<std::uint32_t>(chunks.size());
    chunk.checksum = checksumOf(bytes);
    chunk.data.assign(part.begin(), part.end());
    chunks.push_back(std::move(chunk));
  }
  for (wire::SnapshotChunkT& chunk : chunks) {
    chunk.count = static_cast<std::uint32_t>(chunks.size());
  }
  return chunks;
}

}

std::vector<wire::SnapshotChunkT>
makeSnapshot(const CellState& aState, std::size_t aChunkBytes)
{
  return splitIntoChunks(aState, aChunkBytes);
}

std::vector<wire::SnapshotChunkT>
makeSnapshot(const ConfigState& aState, std::size_t aChunkBytes)
{
  return splitIntoChunks(aState, aChunkBytes);
}

template<typename State>
std::optional<State>
SnapshotReader<State>::add(const wire::SnapshotChunkT& aChunk)
{
  if (aChunk.index >= aChunk.count || aChunk.count > kMaxSnapshotChunks) {
    return std::nullopt;
  }
  const std::pair<std::uint64_t, std::uint64_t> key{ aChunk.as_of,
                                                     aChunk.checksum };
  const auto it = mPending.try_emplace(key).first;
  Parts& parts = it->second;
  if (parts.mData.empty()) {
    parts.mCount = aChunk.count;
  }
  if (parts.mCount != aChunk.count ||
      parts.mBytes + aChunk.data.size() > kMaxSnapshotBytes) {
    return std::nullopt;
  }
  if (parts.mData.try_emplace(aChunk.index, aChunk.data).second) {
    parts.mBytes += aChunk.data.size();
  }
  if (parts.mData.size() < parts.mCount) {
    evictOldest();
    return std::nullopt;
  }
  std::optional<State> state = assemble(parts, aChunk);
  // Incomplete snapshots older than a complete one are no longer needed.
  mPending.erase(state ? mPending.begin() : it, std::next(it));
  return state;
}

template<typename State>
std::optional<State>
SnapshotReader<State>::assemble(const Parts& aParts,
                                const wire::SnapshotChunkT& aChunk)
{
  Bytes bytes;
  bytes.reserve(aParts.mBytes);
  for (const auto& [index, data] : aParts.mData) {
    bytes.insert(bytes.end(), data.begin(), data.end());
  }
  State state;
  if (checksumOf(bytes) != aChunk.checksum || !decodeState(bytes, state) ||
      state.mNextOffset != aChunk.as_of + 1) {
    return std::nullopt;
  }
  return state;
}

template<typename State>
void
SnapshotReader<State>::evictOldest()
{
  if (mPending.size() > kMaxPendingSnapshots) {
    mPending.erase(mPending.begin());
  }
}

template class SnapshotReader<CellState>;
template class SnapshotReader<ConfigState>;

}
