#ifndef RADISHROAD_PEER_CHANNEL_H
#define RADISHROAD_PEER_CHANNEL_H

#include "radishroad/base/millis.h"
#include "radishroad/peer/connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace radishroad {

/// Outgoing connection to one peer that is opened on demand and reopened after
/// a failure, with bounded backoff. Frames are held until the peer's Hello has
/// arrived, so that frames for a peer that never responded are known to be
/// unsent. All members must be used on the transport's thread.
class Channel
{
public:
  struct Options
  {
    std::string mAddress;
    /// "ip:port" on which this daemon listens; connections use its IP as
    /// source.
    std::string mLocalAddress;
    Connection::Options mConnectionOptions;
    Millis mConnectTimeout;
  };

  struct Hooks
  {
    std::function<void(wire::FrameBodyUnion, std::size_t aBytes)> mOnFrame;
    /// See Connection::Hooks.
    std::function<void(const ForwardedFrame&)> mOnSkipped;
    /// Called just before the frame is passed to the connection.
    std::function<void(const OutgoingFrame&)> mOnSend;
    /// Called when the connection or the attempt to connect has ended; no frame
    /// passed to send() before will be sent any more.
    std::function<void(const Error&)> mOnDisconnected;
    /// Returns whether answers are outstanding.
    std::function<bool()> mIsAwaitingPeer;
  };

  Channel(boost::asio::io_context& aContext, Options aOptions, Hooks aHooks);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Returns false, without taking the frame, if the last attempt to connect
  /// failed and the next one is not due yet.
  bool send(OutgoingFramePtr aFrame);
  /// The peer's "ip:port".
  const std::string& address() const { return mOptions.mAddress; }
  /// Returns the time until the next attempt to connect is allowed.
  Millis retryAfter(Millis aNow) const;
  void checkLiveness(Millis aNow);
  /// Allows the next attempt to connect at once; called when the peer is known
  /// to be up.
  void resetBackoff();
  void close(const Error& aReason);

private:
  enum class State
  {
    Idle,
    Connecting,
    Ready,
  };

  void connect();
  void onConnected(Connection::Socket aSocket);
  void onHello();
  void sendNow(OutgoingFramePtr aFrame);
  void onAttemptFailed(const Error& aReason);
  void onDisconnected(const Error& aReason);

  boost::asio::io_context& mContext;
  Options mOptions;
  Hooks mHooks;
  State mState = State::Idle;
  /// Distinguishes callbacks of the current attempt from those of earlier ones.
  std::uint64_t mAttempt = 0;
  std::shared_ptr<Connection::Socket> mConnectingSocket;
  boost::asio::steady_timer mConnectTimer;
  std::shared_ptr<Connection> mConnection;
  std::deque<OutgoingFramePtr> mUnsentFrames;
  Millis mBackoff;
  Millis mNextAttempt;
};

}

#endif
