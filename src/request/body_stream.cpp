#include "radishroad/request/body_stream.h"

#include <algorithm>
#include <utility>

namespace radishroad {

BodyStream::BodyStream(std::shared_ptr<BodyMemory> aMemory, WriterHooks aHooks)
  : mShare(aMemory)
  , mMemory(std::move(aMemory))
  , mHooks(std::move(aHooks))
{
}

std::shared_ptr<BodyStream>
BodyStream::makeReader(const std::shared_ptr<BodyStream>& aStream)
{
  return { aStream.get(),
           [aStream](BodyStream* aReader) { aReader->cancel(); } };
}

bool
BodyStream::append(std::span<const std::uint8_t> aBytes)
{
  std::function<void()> onReady;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mState != State::Open || mCancelled || aBytes.empty()) {
      return true;
    }
    if (!mShare.tryResize(mBytes.size() + aBytes.size())) {
      return false;
    }
    onReady = mBytes.empty() ? mOnReady : nullptr;
    mBytes.insert(mBytes.end(), aBytes.begin(), aBytes.end());
  }
  if (onReady) {
    onReady();
  }
  return true;
}

void
BodyStream::finish(State aState)
{
  std::function<void()> onReady;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mState != State::Open) {
      return;
    }
    mState = aState;
    onReady = mOnReady;
  }
  {
    const std::lock_guard<std::mutex> lock(mHookMutex);
    mHooks = {};
  }
  if (onReady) {
    onReady();
  }
}

void
BodyStream::setOnReady(const std::function<void()>& aOnReady)
{
  bool isReady = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mOnReady = aOnReady;
    isReady = !mBytes.empty() || mState != State::Open;
  }
  if (isReady && aOnReady) {
    aOnReady();
  }
}

BodyStream::Part
BodyStream::take(std::size_t aMaxBytes)
{
  Part part;
  part.mShare = BodyShare(mMemory);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mBytes.size() <= aMaxBytes) {
      part.mData = std::exchange(mBytes, {});
      part.mState = mState;
    } else {
      const auto end = mBytes.begin() + static_cast<std::ptrdiff_t>(aMaxBytes);
      part.mData.assign(mBytes.begin(), end);
      mBytes.erase(mBytes.begin(), end);
    }
    mShare.resize(mBytes.size());
    part.mShare.resize(part.mData.size());
  }
  if (!part.mData.empty()) {
    const std::lock_guard<std::mutex> lock(mHookMutex);
    if (mHooks.mOnTaken) {
      mHooks.mOnTaken(part.mData.size());
    }
  }
  return part;
}

void
BodyStream::cancel()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mCancelled = true;
    mOnReady = nullptr;
    mBytes = {};
    mShare.resize(0);
  }
  const std::lock_guard<std::mutex> lock(mHookMutex);
  const WriterHooks hooks = std::exchange(mHooks, {});
  if (hooks.mOnCancelled) {
    hooks.mOnCancelled();
  }
}

}
