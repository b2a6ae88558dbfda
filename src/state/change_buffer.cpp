#include "radishroad/state/change_buffer.h"

#include <utility>

namespace radishroad {

namespace {

std::size_t
sizeOf(const ChangeBuffer::Change& aChange)
{
  std::size_t n = 0;
  for (const Bytes& record : aChange.mRecords) {
    n += record.size();
  }
  return n;
}

}

ChangeBuffer::Changes::iterator
ChangeBuffer::drop(Changes::iterator aIt)
{
  mBytes -= sizeOf(aIt->second);
  return mChanges.erase(aIt);
}

void
ChangeBuffer::add(std::uint64_t aBaseVersion, Change aChange)
{
  const std::size_t n = sizeOf(aChange);
  const auto [it, isAdded] = mChanges.try_emplace(aBaseVersion);
  if (!isAdded) {
    return;
  }
  it->second = std::move(aChange);
  mBytes += n;
  while (mChanges.size() > kMaxChanges || mBytes > kMaxBytes) {
    drop(mChanges.begin());
  }
}

std::optional<ChangeBuffer::Change>
ChangeBuffer::take(std::uint64_t aVersion)
{
  auto it = mChanges.begin();
  while (it != mChanges.end() && it->first < aVersion) {
    it = drop(it);
  }
  if (it == mChanges.end() || it->first != aVersion) {
    return std::nullopt;
  }
  mBytes -= sizeOf(it->second);
  std::optional<Change> change(std::move(it->second));
  mChanges.erase(it);
  return change;
}

}
