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

/// A connection to one peer that is opened when there is something to send and
/// opened again after it broke, with bounded back-off. Frames wait until the
/// peer's Hello has come, so that whatever was queued for a peer that never
/// answered is proven unsent. All members belong to the link's thread.
class Channel
{
public:
  struct Options
  {
    std::string mAddress;
    /// "ip:port" that this daemon listens on; connections come from its IP.
    std::string mOwnAddress;
    Connection::Options mConnection;
    Millis mConnectTimeout;
  };

  struct Hooks
  {
    std::function<void(wire::FrameBodyUnion, std::size_t aBytes)> mOnFrame;
    /// The frame goes to the socket next.
    std::function<void(const OutgoingFrame&)> mOnSend;
    /// The connection, or the attempt at one, ended; all frames given to send()
    /// so far are gone.
    std::function<void(const Error&)> mOnDown;
    /// Whether answers are awaited.
    std::function<bool()> mIsAwaiting;
  };

  Channel(boost::asio::io_context& aContext, Options aOptions, Hooks aHooks);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// False if the peer could not be reached a moment ago and the next attempt
  /// is not due; the frame is then not taken.
  bool send(OutgoingFramePtr aFrame);
  /// Time until the next attempt to connect may be made.
  Millis retryAfter(Millis aNow) const;
  void checkLiveness(Millis aNow);
  /// The peer is known to live: the next attempt to connect is due at once.
  void endBackOff();
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
  void deliver(OutgoingFramePtr aFrame);
  void onAttemptFailed(const Error& aReason);
  void onDown(const Error& aReason);

  boost::asio::io_context& mContext;
  Options mOptions;
  Hooks mHooks;
  State mState = State::Idle;
  /// Tells the handlers of an attempt given up from those of the current one.
  std::uint64_t mAttempt = 0;
  std::shared_ptr<Connection::Socket> mConnecting;
  boost::asio::steady_timer mConnectTimer;
  std::shared_ptr<Connection> mConnection;
  std::deque<OutgoingFramePtr> mWaiting;
  Millis mBackOff;
  Millis mNextAttempt;
};

}

#endif
