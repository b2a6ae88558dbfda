#include "radishroad/peer/channel.h"

#include "radishroad/peer/address.h"

#include <algorithm>
#include <chrono>

namespace radishroad {

namespace asio = boost::asio;

namespace {

constexpr Millis kInitialBackoff{ 25 };
constexpr Millis kMaxBackoff{ 500 };

/// Binds the socket to the daemon's own IP address, for machines that have
/// several. Errors are ignored; the system then selects the address.
void
bindLocalAddress(Connection::Socket& aSocket, const std::string& aLocalAddress)
{
  const Result<asio::ip::tcp::endpoint> localEndpoint =
    parsePeerAddress(aLocalAddress);
  if (!localEndpoint) {
    return;
  }
  boost::system::error_code ec;
  aSocket.open(localEndpoint->protocol(), ec);
  aSocket.bind({ localEndpoint->address(), 0 }, ec);
}

}

Channel::Channel(asio::io_context& aContext, Options aOptions, Hooks aHooks)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mConnectTimer(aContext)
{
}

bool
Channel::send(OutgoingFramePtr aFrame)
{
  if (mState == State::Ready) {
    sendNow(std::move(aFrame));
    return true;
  }
  if (mState == State::Idle && monotonicNow() < mNextAttempt) {
    return false;
  }
  mUnsentFrames.push_back(std::move(aFrame));
  if (mState == State::Idle) {
    connect();
  }
  return true;
}

Millis
Channel::retryAfter(Millis aNow) const
{
  return std::max(Millis{}, mNextAttempt - aNow);
}

void
Channel::connect()
{
  mState = State::Connecting;
  const std::uint64_t attempt = ++mAttempt;
  const Result<asio::ip::tcp::endpoint> endpoint =
    parsePeerAddress(mOptions.mAddress);
  if (!endpoint) {
    // Posted, as the caller of send() relies on the frame having been taken.
    asio::post(mContext, [this, attempt, error = endpoint.error()] {
      if (attempt == mAttempt) {
        onAttemptFailed(error);
      }
    });
    return;
  }
  mConnectingSocket = std::make_shared<Connection::Socket>(mContext);
  bindLocalAddress(*mConnectingSocket, mOptions.mLocalAddress);
  mConnectTimer.expires_after(
    std::chrono::milliseconds(mOptions.mConnectTimeout.mCount));
  mConnectTimer.async_wait([this,
                            attempt](const boost::system::error_code& aCode) {
    if (!aCode && attempt == mAttempt && mState == State::Connecting) {
      onAttemptFailed({ ErrorCode::Timeout,
                        "peer did not send Hello within the connect timeout" });
    }
  });
  mConnectingSocket->async_connect(
    *endpoint,
    [this, attempt, socket = mConnectingSocket](
      const boost::system::error_code& aCode) {
      if (attempt != mAttempt || mState != State::Connecting) {
        return;
      }
      if (aCode) {
        onAttemptFailed({ ErrorCode::Unavailable, aCode.message() });
        return;
      }
      onConnected(std::move(*socket));
    });
}

void
Channel::onConnected(Connection::Socket aSocket)
{
  const std::uint64_t attempt = mAttempt;
  Connection::Hooks hooks;
  hooks.mOnHello = [this](const wire::HelloT&) { onHello(); };
  hooks.mOnFrame = [this](wire::FrameBodyUnion aBody, std::size_t aBytes) {
    mHooks.mOnFrame(std::move(aBody), aBytes);
  };
  hooks.mOnSkipped = [this](const ForwardedFrame& aFrame) {
    mHooks.mOnSkipped(aFrame);
  };
  hooks.mOnClosed = [this, attempt](const Error& aReason) {
    if (attempt == mAttempt) {
      onDisconnected(aReason);
    }
  };
  hooks.mIsAwaitingPeer = [this] { return mHooks.mIsAwaitingPeer(); };
  mConnectingSocket.reset();
  mConnection = std::make_shared<Connection>(
    std::move(aSocket), mOptions.mConnectionOptions, std::move(hooks));
  mConnection->start();
}

void
Channel::onHello()
{
  mState = State::Ready;
  mBackoff = {};
  mConnectTimer.cancel();
  std::deque<OutgoingFramePtr> unsentFrames;
  unsentFrames.swap(mUnsentFrames);
  for (OutgoingFramePtr& frame : unsentFrames) {
    if (mState != State::Ready) {
      return;
    }
    sendNow(std::move(frame));
  }
}

void
Channel::sendNow(OutgoingFramePtr aFrame)
{
  // Keeps the connection alive if it closes and the channel drops it meanwhile.
  const std::shared_ptr<Connection> connection = mConnection;
  const std::uint64_t peerIncarnation = connection->peerIncarnation();
  if (aFrame->mRecipientIncarnation != 0 &&
      aFrame->mRecipientIncarnation != peerIncarnation) {
    return;
  }
  mHooks.mOnSend(*aFrame);
  connection->send(std::move(aFrame));
}

void
Channel::onAttemptFailed(const Error& aReason)
{
  ++mAttempt;
  if (mConnectingSocket) {
    boost::system::error_code ec;
    mConnectingSocket->close(ec);
    mConnectingSocket.reset();
  }
  const std::shared_ptr<Connection> connection = std::move(mConnection);
  if (connection) {
    connection->close(aReason);
  }
  onDisconnected(aReason);
}

void
Channel::onDisconnected(const Error& aReason)
{
  const bool wasReady = mState == State::Ready;
  ++mAttempt;
  mState = State::Idle;
  mConnectTimer.cancel();
  mConnection.reset();
  mUnsentFrames.clear();
  if (!wasReady) {
    mBackoff = std::clamp(mBackoff * 2, kInitialBackoff, kMaxBackoff);
    mNextAttempt = monotonicNow() + mBackoff;
  }
  mHooks.mOnDisconnected(aReason);
}

void
Channel::checkLiveness(Millis aNow)
{
  const std::shared_ptr<Connection> connection = mConnection;
  if (connection) {
    connection->checkLiveness(aNow);
  }
}

void
Channel::resetBackoff()
{
  mBackoff = {};
  mNextAttempt = {};
}

void
Channel::close(const Error& aReason)
{
  if (mState != State::Idle) {
    onAttemptFailed(aReason);
  }
}

}
