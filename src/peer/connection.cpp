#include "radishroad/peer/connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <netinet/tcp.h>

namespace radishroad {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBufferBytes = 64U << 10;
constexpr std::size_t kMaxHelloBytes = 4U << 10;
/// Bounds of one gathered write: small, since all frames of a write that
/// breaks count as handed over.
constexpr std::size_t kMaxBatchFrames = 32;
constexpr std::size_t kMaxBatchBytes = 64U << 10;
constexpr Millis kSilenceLimit{ 3000 };
constexpr Millis kPingInterval{ 1000 };
constexpr int kKeepaliveIdleSeconds = 2;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 3;

Error
brokenBy(const boost::system::error_code& aCode)
{
  return { ErrorCode::Unavailable, aCode.message() };
}

}

Connection::Connection(Socket aSocket, Options aOptions, Hooks aHooks)
  : mSocket(std::move(aSocket))
  , mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mReadBuffer(kReadBufferBytes)
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
  mSocket.set_option(UserTimeout(static_cast<int>(kSilenceLimit.mCount)), ec);
}

void
Connection::sendHello(bool aFull)
{
  wire::HelloT hello;
  hello.incarnation = mOptions.mSelf.mIncarnation;
  if (aFull) {
    hello.vm = mOptions.mSelf.mVm;
    hello.peer_address = mOptions.mSelf.mPeerAddress;
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
  mQueue.push_back(std::move(aFrame));
  if (mQueuedBytes > mOptions.mMaxQueuedBytes) {
    close({ ErrorCode::Full, "peer does not take its frames" });
    return;
  }
  write();
}

void
Connection::write()
{
  if (mClosed || !mWriting.empty()) {
    return;
  }
  std::vector<asio::const_buffer> buffers;
  mWritingBytes = 0;
  while (!mQueue.empty() && mWriting.size() < kMaxBatchFrames &&
         mWritingBytes < kMaxBatchBytes) {
    OutgoingFramePtr frame = std::move(mQueue.front());
    mQueue.pop_front();
    mQueuedBytes -= frame->size();
    const std::span<const std::uint8_t> bytes = frame->bytes();
    if (bytes.empty()) {
      continue;
    }
    frame->mHandedOver = true;
    buffers.emplace_back(bytes.data(), bytes.size());
    mWritingBytes += bytes.size();
    mWriting.push_back(std::move(frame));
  }
  if (mWriting.empty()) {
    return;
  }
  if (!mUnanswered) {
    mUnanswered = true;
    touch();
  }
  asio::async_write(
    mSocket,
    buffers,
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t aWritten) -> std::size_t {
      // A write that ends at once says nothing of the peer; one that goes on
      // in parts shows that it reads.
      if (aWritten > 0 && aWritten < self->mWritingBytes) {
        self->touch();
      }
      return aCode ? 0 : kMaxBatchBytes;
    },
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t /*aWritten*/) {
      self->mWriting.clear();
      if (aCode) {
        self->close(brokenBy(aCode));
        return;
      }
      self->write();
    });
}

void
Connection::read()
{
  mSocket.async_read_some(
    asio::buffer(mReadBuffer),
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t aCount) {
      if (aCode) {
        self->close(brokenBy(aCode));
        return;
      }
      // Closing does not reach a read that has completed already.
      if (!self->mClosed) {
        self->onRead(aCount);
      }
    });
}

void
Connection::onRead(std::size_t aCount)
{
  mUnanswered = false;
  touch();
  std::span<const std::uint8_t> bytes(mReadBuffer.data(), aCount);
  while (!bytes.empty()) {
    if (!consume(bytes)) {
      return;
    }
  }
  if (mFrame.size() - mFrameFilled > kReadBufferBytes) {
    readLargeFrame();
    return;
  }
  read();
}

bool
Connection::consume(std::span<const std::uint8_t>& aBytes)
{
  const std::size_t n = std::min(aBytes.size(), mFrame.size() - mFrameFilled);
  std::memcpy(mFrame.data() + mFrameFilled, aBytes.data(), n);
  mFrameFilled += n;
  aBytes = aBytes.subspan(n);
  if (mFrameFilled < mFrame.size()) {
    return true;
  }
  if (mFrame.size() == kFramePrefixBytes) {
    return beginFrame();
  }
  return onWholeFrame();
}

bool
Connection::beginFrame()
{
  const std::size_t length = frameLength({ mFrame.data(), mFrame.size() });
  const std::size_t most =
    mHelloSeen ? mOptions.mMaxFrameBytes : kMaxHelloBytes;
  if (length == 0 || length > most) {
    close(
      { ErrorCode::Corrupt, "frame of " + std::to_string(length) + " bytes" });
    return false;
  }
  // Not zeroed: that alone would take some milliseconds for a large body.
  mFrame.resize(kFramePrefixBytes + length, boost::container::default_init);
  return true;
}

bool
Connection::onWholeFrame()
{
  Result<wire::FrameBodyUnion> body =
    decodeFrame({ mFrame.data(), mFrame.size() });
  const std::size_t size = mFrame.size();
  // A large body's memory is not kept for the small frames that follow.
  if (size > kReadBufferBytes) {
    boost::container::vector<std::uint8_t>().swap(mFrame);
  }
  mFrame.resize(kFramePrefixBytes);
  mFrameFilled = 0;
  if (!body) {
    close(body.error());
    return false;
  }
  if (const wire::HelloT* hello = body->AsHello()) {
    return onHello(*hello);
  }
  if (!mHelloSeen) {
    close({ ErrorCode::Corrupt, "first frame is not Hello" });
    return false;
  }
  mHooks.mOnFrame(std::move(*body), size);
  return !mClosed;
}

bool
Connection::onHello(const wire::HelloT& aHello)
{
  if (mHelloSeen) {
    if (!mOptions.mConnecting) {
      sendHello(false);
    }
    return !mClosed;
  }
  mHelloSeen = true;
  mPeerIncarnation = aHello.incarnation;
  mHooks.mOnHello(aHello);
  return !mClosed;
}

void
Connection::readLargeFrame()
{
  asio::async_read(
    mSocket,
    asio::buffer(mFrame.data() + mFrameFilled, mFrame.size() - mFrameFilled),
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t aCount) -> std::size_t {
      if (aCount > 0) {
        self->touch();
      }
      return aCode ? 0 : kReadBufferBytes;
    },
    [self = shared_from_this()](const boost::system::error_code& aCode,
                                std::size_t aCount) {
      if (aCode) {
        self->close(brokenBy(aCode));
        return;
      }
      self->mFrameFilled += aCount;
      if (!self->mClosed && self->onWholeFrame()) {
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
  // The accepting side's answers are not answered in turn.
  const bool unanswered = mOptions.mConnecting && mUnanswered;
  const bool awaiting = unanswered || !mWriting.empty() || !mHelloSeen ||
                        (mHooks.mIsAwaiting && mHooks.mIsAwaiting());
  if (!awaiting) {
    mLastActivity = aNow;
    return;
  }
  if (aNow - mLastActivity > kSilenceLimit) {
    close({ ErrorCode::Timeout, "peer is silent" });
    return;
  }
  if (mOptions.mConnecting && mHelloSeen && aNow - mLastPing > kPingInterval) {
    mLastPing = aNow;
    sendHello(false);
  }
}

void
Connection::touch()
{
  mLastActivity = monotonicNow();
}

void
Connection::close(const Error& aReason)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  boost::system::error_code ec;
  mSocket.close(ec);
  mQueue.clear();
  mHooks.mOnClosed(aReason);
}

}
