#include "rr-relay/pipe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace radishroad::tools {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Reading pauses while more than this many bytes wait for delivery.
constexpr std::size_t kMaxQueuedBytes = 4U << 20;

}

Pipe::Pipe(SocketPtr aFrom, SocketPtr aTo, Hooks aHooks)
  : mFrom(std::move(aFrom))
  , mTo(std::move(aTo))
  , mHooks(std::move(aHooks))
  , mTimer(mFrom->get_executor())
{
}

void
Pipe::start()
{
  read();
}

void
Pipe::stop()
{
  mStopped = true;
  mTimer.cancel();
  mHooks = {};
}

void
Pipe::read()
{
  mFrom->async_read_some(
    asio::buffer(mBuf),
    [self = shared_from_this()](const error_code& aError, std::size_t aCount) {
      self->onRead(aError ? 0 : aCount);
    });
}

void
Pipe::onRead(std::size_t aCount)
{
  if (mStopped) {
    return;
  }
  queue(std::string(mBuf.data(), aCount));
  if (mStopped || aCount == 0) {
    return;
  }
  mReadPaused = mQueuedBytes > kMaxQueuedBytes;
  if (!mReadPaused) {
    read();
  }
}

void
Pipe::queue(std::string aBytes)
{
  const std::chrono::milliseconds delay(mHooks.mDelay().mCount);
  mQueuedBytes += aBytes.size();
  mChunks.push_back(
    { std::chrono::steady_clock::now() + delay, std::move(aBytes) });
  deliver();
}

void
Pipe::deliver()
{
  if (mStopped || mWriting || mChunks.empty() || mHooks.mIsHeld()) {
    return;
  }
  const Chunk& chunk = mChunks.front();
  if (chunk.mDue > std::chrono::steady_clock::now()) {
    mTimer.expires_at(chunk.mDue);
    mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->deliver();
      }
    });
    return;
  }
  if (chunk.mBytes.empty()) {
    end();
    return;
  }
  mWriting = true;
  asio::async_write(
    *mTo,
    asio::buffer(chunk.mBytes),
    [self = shared_from_this()](const error_code& aError, std::size_t) {
      if (aError) {
        self->end();
      } else {
        self->onWritten();
      }
    });
}

void
Pipe::onWritten()
{
  if (mStopped) {
    return;
  }
  mWriting = false;
  mQueuedBytes -= mChunks.front().mBytes.size();
  mChunks.pop_front();
  if (mReadPaused && mQueuedBytes <= kMaxQueuedBytes) {
    mReadPaused = false;
    read();
  }
  deliver();
}

void
Pipe::end()
{
  if (!mStopped) {
    const std::function<void()> onEnd = mHooks.mOnEnd;
    onEnd();
  }
}

}
