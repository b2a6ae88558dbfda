#include "radishroad/peer/connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace radishroad {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBufferBytes = 64U << 10;
/// Enough of a frame to tell which request or answer it holds.
constexpr std::size_t kFirstBytes = 4U << 10;
constexpr std::size_t kMaxHelloBytes = 4U << 10;
/// Limits of one gathered write. They are small because all frames of a failed
/// write count as possibly sent.
constexpr std::size_t kMaxBatchFrames = 32;
constexpr std::size_t kMaxBatchBytes = 64U << 10;
/// With small frames first: large frames are written after this many batches
/// without one, so that they are not starved.
constexpr int kMaxBatchesWithoutLarge = 4;
/// With small frames first: what the system buffers cannot be overtaken.
constexpr int kMaxUnsentBytes = 32 << 10;
constexpr Millis kPeerTimeout{ 3000 };
constexpr Millis kPingInterval{ 1000 };
constexpr int kKeepaliveIdleSeconds = 2;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 3;

Error
toError(const boost::system::error_code& aCode)
{
  return { ErrorCode::Unavailable, aCode.message() };
}

}

Connection::Connection(Socket aSocket, Options aOptions, Hooks aHooks)
  : mSocket(std::move(aSocket))
  , mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mReadBuffer(kReadBufferBytes)
  , mFrameShare(mOptions.mBodyMemory)
  , mLastActivity(monotonicNow())
{
}

void
Connection::start()
{
  setSocketOptions();
  mFrame.resize(kFramePrefixBytes);
  sendHello(true);
  read();
}

void
Connection::setSocketOptions()
{
  using KeepaliveIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using KeepaliveInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using KeepaliveCount =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code ec;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ec);
  mSocket.set_option(asio::socket_base::keep_alive(true), ec);
  mSocket.set_option(KeepaliveIdle(kKeepaliveIdleSeconds), ec);
  mSocket.set_option(KeepaliveInterval(kKeepaliveIntervalSeconds), ec);
  mSocket.set_option(KeepaliveCount(kKeepaliveProbes), ec);
  mSocket.set_option(UserTimeout(static_cast<int>(kPeerTimeout.mCount)), ec);
}

void
Connection::limitUnsentBytes()
{
  if (mIsUnsentLimited) {
    return;
  }
  mIsUnsentLimited = true;
  using MaxUnsent =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
  boost::system::error_code ec;
  mSocket.set_option(MaxUnsent(kMaxUnsentBytes), ec);
}

void
Connection::sendHello(bool aWithIdentity)
{
  wire::HelloT hello;
  hello.incarnation = mOptions.mLocalIdentity.mIncarnation;
  if (aWithIdentity) {
    hello.vm = mOptions.mLocalIdentity.mVm;
    hello.peer_address = mOptions.mLocalIdentity.mPeerAddress;
  }
  wire::FrameBodyUnion body;
  body.Set(std::move(hello));
  send(std::make_shared<OutgoingFrame>(encodeFrame(body)));
}

void
Connection::send(OutgoingFramePtr aFrame)
{
  if (mClosed) {
    return;
  }
  mQueuedBytes += aFrame->size();
  const bool goesLast = mOptions.mSmallFirst && aFrame->mMayBeOvertaken;
  if (mOptions.mTotals) {
    mOptions.mTotals->mQueued += aFrame->size();
  }
  if (goesLast) {
    limitUnsentBytes();
  }
  (goesLast ? mLargeQueue : mSendQueue).push_back(std::move(aFrame));
  if (mQueuedBytes > mOptions.mMaxQueuedBytes) {
    close({ ErrorCode::Full, "send queue of the peer connection is full" });
    return;
  }
  write();
}

void
Connection::write()
{
  if (mClosed || !mWriteBatch.empty()) {
    return;
  }
  std::vector<asio::const_buffer> buffers;
  mWriteBatchBytes = 0;
  mBatchHasLarge = false;
  while (mWriteBatch.size() < kMaxBatchFrames &&
         mWriteBatchBytes < kMaxBatchBytes) {
    OutgoingFramePtr frame = takeNextFrame();
    if (!frame) {
      break;
    }
    mQueuedBytes -= frame->size();
    const std::span<const std::uint8_t> bytes = frame->bytes();
    if (bytes.empty()) {
      if (mOptions.mTotals) {
        mOptions.mTotals->mQueued -= frame->size();
      }
      continue;
    }
    frame->mWriteStarted = true;
    buffers.emplace_back(bytes.data(), bytes.size());
    mWriteBatchBytes += bytes.size();
    mWriteBatch.push_back(std::move(frame));
  }
  if (mWriteBatch.empty()) {
    return;
  }
  if (!mAwaitingReply) {
    mAwaitingReply = true;
    recordActivity();
  }
  asio::async_write(
    mSocket,
    buffers,
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t aWritten) -> std::size_t {
      // A write that completes at once says nothing about the peer; one that
      // continues in parts shows that the peer is reading.
      if (aWritten > 0 && aWritten < self->mWriteBatchBytes) {
        self->recordActivity();
      }
      return aCode ? 0 : kMaxBatchBytes;
    },
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t /*aWritten*/) {
      if (aCode) {
        self->close(toError(aCode));
        self->mWriteBatch.clear();
        return;
      }
      self->onWritten();
      self->write();
    });
}

OutgoingFramePtr
Connection::takeNextFrame()
{
  // One large frame a batch, as later small ones wait for the whole batch.
  const bool mayTakeLarge = !mLargeQueue.empty() && !mBatchHasLarge;
  const bool isLargeDue = mBatchesWithoutLarge >= kMaxBatchesWithoutLarge;
  const bool takesLarge = mayTakeLarge && (mSendQueue.empty() || isLargeDue);
  std::deque<OutgoingFramePtr>& queue = takesLarge ? mLargeQueue : mSendQueue;
  if (queue.empty()) {
    return nullptr;
  }
  OutgoingFramePtr frame = std::move(queue.front());
  queue.pop_front();
  if (takesLarge) {
    mBatchHasLarge = true;
    mBatchesWithoutLarge = 0;
  }
  return frame;
}

void
Connection::onWritten()
{
  mBatchesWithoutLarge += mBatchHasLarge || mLargeQueue.empty() ? 0 : 1;
  if (mOptions.mTotals && !mClosed) {
    mOptions.mTotals->mWritten += mWriteBatchBytes;
  }
  mWriteBatch.clear();
}

void
Connection::read()
{
  mSocket.async_read_some(
    asio::buffer(mReadBuffer),
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t aCount) {
      if (aCode) {
        self->close(toError(aCode));
        return;
      }
      // Closing the socket does not cancel a read that has already completed.
      if (!self->mClosed) {
        self->onRead(aCount);
      }
    });
}

void
Connection::onRead(std::size_t aCount)
{
  mAwaitingReply = false;
  recordActivity();
  std::span<const std::uint8_t> bytes(mReadBuffer.data(), aCount);
  while (!bytes.empty()) {
    if (!consume(bytes)) {
      return;
    }
  }
  if (mFrame.size() - mFrameBytesRead > kReadBufferBytes) {
    readLargeFrame();
    return;
  }
  read();
}

bool
Connection::consume(std::span<const std::uint8_t>& aBytes)
{
  const std::size_t copyBytes =
    std::min(aBytes.size(), mFrame.size() - mFrameBytesRead);
  std::memcpy(mFrame.data() + mFrameBytesRead, aBytes.data(), copyBytes);
  mFrameBytesRead += copyBytes;
  aBytes = aBytes.subspan(copyBytes);
  if (mFrameBytesRead < mFrame.size()) {
    return true;
  }
  if (mFrame.size() == kFramePrefixBytes) {
    return onPrefixComplete();
  }
  if (mSkipBytes > 0) {
    const std::size_t skipped = std::min(mSkipBytes, aBytes.size());
    aBytes = aBytes.subspan(skipped);
    mSkipBytes -= skipped;
    return mSkipBytes > 0 || onFrameSkipped();
  }
  if (mFrame.size() < mFrameBytes) {
    onFirstBytesComplete();
    return true;
  }
  return onFrameComplete();
}

bool
Connection::onPrefixComplete()
{
  const std::size_t length = frameLength({ mFrame.data(), mFrame.size() });
  const std::size_t maxLength =
    mHelloReceived ? mOptions.mMaxFrameBytes : kMaxHelloBytes;
  if (length == 0 || length > maxLength) {
    close({ ErrorCode::Corrupt,
            "invalid frame length: " + std::to_string(length) + " bytes" });
    return false;
  }
  mFrameBytes = kFramePrefixBytes + length;
  mFrame.resize(length > kReadBufferBytes ? kFirstBytes : mFrameBytes,
                boost::container::default_init);
  return true;
}

void
Connection::onFirstBytesComplete()
{
  const bool isForwarded =
    readForwardedFrame({ mFrame.data(), mFrame.size() }).has_value();
  if (isForwarded && !mFrameShare.tryResize(mFrameBytes)) {
    mSkipBytes = mFrameBytes - mFrame.size();
    return;
  }
  // The new bytes are not zeroed, which would take some milliseconds for a
  // large body.
  mFrame.resize(mFrameBytes, boost::container::default_init);
}

bool
Connection::onFrameSkipped()
{
  const std::optional<ForwardedFrame> frame =
    readForwardedFrame({ mFrame.data(), mFrame.size() });
  mFrame.resize(kFramePrefixBytes);
  mFrameBytesRead = 0;
  mHooks.mOnSkipped(*frame);
  return !mClosed;
}

bool
Connection::onFrameComplete()
{
  Result<wire::FrameBodyUnion> body =
    decodeFrame({ mFrame.data(), mFrame.size() });
  const std::size_t size = mFrame.size();
  // Frees the memory of a large frame instead of keeping it for small ones.
  if (size > kReadBufferBytes) {
    boost::container::vector<std::uint8_t>().swap(mFrame);
  }
  mFrame.resize(kFramePrefixBytes);
  mFrameBytesRead = 0;
  if (!body) {
    close(body.error());
    return false;
  }
  if (const wire::HelloT* hello = body->AsHello()) {
    return onHello(*hello);
  }
  if (!mHelloReceived) {
    close({ ErrorCode::Corrupt, "first frame of the connection is not Hello" });
    return false;
  }
  mHooks.mOnFrame(std::move(*body), size);
  mFrameShare.resize(0);
  return !mClosed;
}

bool
Connection::onHello(const wire::HelloT& aHello)
{
  if (mHelloReceived) {
    if (!mOptions.mIsInitiator) {
      sendHello(false);
    }
    return !mClosed;
  }
  mHelloReceived = true;
  mPeerIncarnation = aHello.incarnation;
  mHooks.mOnHello(aHello);
  return !mClosed;
}

void
Connection::readLargeFrame()
{
  asio::async_read(
    mSocket,
    asio::buffer(mFrame.data() + mFrameBytesRead,
                 mFrame.size() - mFrameBytesRead),
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t aCount) -> std::size_t {
      if (aCount > 0) {
        self->recordActivity();
      }
      return aCode ? 0 : kReadBufferBytes;
    },
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t aCount) {
      if (aCode) {
        self->close(toError(aCode));
        return;
      }
      self->mFrameBytesRead += aCount;
      if (!self->mClosed && self->onFrameComplete()) {
        self->read();
      }
    });
}

void
Connection::checkLiveness(Millis aNow)
{
  if (mClosed) {
    return;
  }
  // Only the initiator expects a reply: the other side's Hello replies are not
  // replied to in turn.
  const bool awaitingReply = mOptions.mIsInitiator && mAwaitingReply;
  const bool awaiting = awaitingReply || !mWriteBatch.empty() ||
                        !mHelloReceived ||
                        (mHooks.mIsAwaitingPeer && mHooks.mIsAwaitingPeer());
  if (!awaiting) {
    mLastActivity = aNow;
    return;
  }
  if (aNow - mLastActivity > kPeerTimeout) {
    close({ ErrorCode::Timeout, "peer did not respond in time" });
    return;
  }
  if (mOptions.mIsInitiator && mHelloReceived &&
      aNow - mLastPing > kPingInterval) {
    mLastPing = aNow;
    sendHello(false);
  }
}

void
Connection::recordActivity()
{
  mLastActivity = monotonicNow();
}

bool
Connection::hasUnsent()
{
  if (mClosed) {
    return false;
  }
  int unacknowledged = 0;
  const bool isKnown =
    ::ioctl(mSocket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
  return mQueuedBytes > 0 || !mWriteBatch.empty() ||
         (isKnown && unacknowledged > 0);
}

void
Connection::close(const Error& aReason)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  if (mOptions.mTotals) {
    const std::size_t unwritten = mWriteBatch.empty() ? 0 : mWriteBatchBytes;
    mOptions.mTotals->mQueued -= mQueuedBytes + unwritten;
  }
  boost::system::error_code ec;
  mSocket.close(ec);
  mSendQueue.clear();
  mLargeQueue.clear();
  mHooks.mOnClosed(aReason);
}

}
