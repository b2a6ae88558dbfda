#include "radishroad/peer/channel.h"

#include "radishroad/peer/address.h"

#include <algorithm>
#include <chrono>

namespace radishroad {

namespace asio = boost::asio;

namespace {

constexpr Millis kFirstBackOff{ 25 };
constexpr Millis kMaxBackOff{ 500 };

/// Makes the connection come from the daemon's own IP address, where the
/// machine has several. One that cannot be bound to is passed over.
void
bindOwnAddress(Connection::Socket& aSocket, const std::string& aOwnAddress)
{
  const Result<asio::ip::tcp::endpoint> own = parsePeerAddress(aOwnAddress);
  if (!own) {
    return;
  }
  boost::system::error_code ec;
  aSocket.open(own->protocol(), ec);
  aSocket.bind({ own->address(), 0 }, ec);
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
    deliver(std::move(aFrame));
    return true;
  }
  if (mState == State::Idle && monotonicNow() < mNextAttempt) {
    return false;
  }
  mWaiting.push_back(std::move(aFrame));
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
    // Not from within send(), whose caller counts on the frame being taken.
    asio::post(mContext, [this, attempt, error = endpoint.error()] {
      if (attempt == mAttempt) {
        onAttemptFailed(error);
      }
    });
    return;
  }
  mConnecting = std::make_shared<Connection::Socket>(mContext);
  bindOwnAddress(*mConnecting, mOptions.mOwnAddress);
  mConnectTimer.expires_after(
    std::chrono::milliseconds(mOptions.mConnectTimeout.mCount));
  mConnectTimer.async_wait(
    [this, attempt](const boost::system::error_code& aCode) {
      if (!aCode && attempt == mAttempt && mState == State::Connecting) {
        onAttemptFailed({ ErrorCode::Timeout, "no Hello from the peer" });
      }
    });
  mConnecting->async_connect(
    *endpoint,
    [this, attempt, socket = mConnecting](
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
  hooks.mOnClosed = [this, attempt](const Error& aReason) {
    if (attempt == mAttempt) {
      onDown(aReason);
    }
  };
  hooks.mIsAwaiting = [this] { return mHooks.mIsAwaiting(); };
  mConnecting.reset();
  mConnection = std::make_shared<Connection>(
    std::move(aSocket), mOptions.mConnection, std::move(hooks));
  mConnection->start();
}

void
Channel::onHello()
{
  mState = State::Ready;
  mBackOff = {};
  mConnectTimer.cancel();
  std::deque<OutgoingFramePtr> waiting;
  waiting.swap(mWaiting);
  for (OutgoingFramePtr& frame : waiting) {
    if (mState != State::Ready) {
      return;
    }
    deliver(std::move(frame));
  }
}

void
Channel::deliver(OutgoingFramePtr aFrame)
{
  // Held: the connection may close and leave the channel meanwhile.
  const std::shared_ptr<Connection> connection = mConnection;
  const std::uint64_t peer = connection->peerIncarnation();
  if (aFrame->mRecipient != 0 && aFrame->mRecipient != peer) {
    return;
  }
  mHooks.mOnSend(*aFrame);
  connection->send(std::move(aFrame));
}

void
Channel::onAttemptFailed(const Error& aReason)
{
  ++mAttempt;
  if (mConnecting) {
    boost::system::error_code ec;
    mConnecting->close(ec);
    mConnecting.reset();
  }
  const std::shared_ptr<Connection> connection = std::move(mConnection);
  if (connection) {
    connection->close(aReason);
  }
  onDown(aReason);
}

void
Channel::onDown(const Error& aReason)
{
  const bool wasReady = mState == State::Ready;
  ++mAttempt;
  mState = State::Idle;
  mConnectTimer.cancel();
  mConnection.reset();
  mWaiting.clear();
  if (!wasReady) {
    mBackOff = std::clamp(mBackOff * 2, kFirstBackOff, kMaxBackOff);
    mNextAttempt = monotonicNow() + mBackOff;
  }
  mHooks.mOnDown(aReason);
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
Channel::endBackOff()
{
  mBackOff = {};
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
