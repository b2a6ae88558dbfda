#ifndef RADISHROAD_PEER_CONNECTION_H
#define RADISHROAD_PEER_CONNECTION_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/peer/outgoing_frame.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/container/vector.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

/// One TCP connection between daemons, either side. Sends Hello first and
/// expects one. All members belong to the link's thread.
///
/// A peer that takes bytes but never answers is found by repeated Hellos: the
/// connecting side sends one a second while it waits for something, and the
/// accepting side echoes it.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  struct Identity
  {
    std::uint64_t mIncarnation = 0;
    std::string mVm;
    std::string mPeerAddress;
  };

  struct Options
  {
    /// This side opened the connection.
    bool mConnecting = false;
    Identity mSelf;
    std::size_t mMaxFrameBytes = 0;
    std::size_t mMaxQueuedBytes = 0;
  };

  /// Called on the link's thread; never after mOnClosed.
  struct Hooks
  {
    /// The peer's first Hello.
    std::function<void(const wire::HelloT&)> mOnHello;
    /// Any other frame; aBytes is its size on the wire.
    std::function<void(wire::FrameBodyUnion, std::size_t aBytes)> mOnFrame;
    /// Called once, when the connection is gone.
    std::function<void(const Error&)> mOnClosed;
    /// Whether this side waits for bytes of the peer.
    std::function<bool()> mIsAwaiting;
  };

  Connection(Socket aSocket, Options aOptions, Hooks aHooks);

  void start();
  /// Frames are written in order. The connection closes if more is queued than
  /// the bound allows.
  void send(OutgoingFramePtr aFrame);
  void close(const Error& aReason);
  /// To be called a few times a second: sends the repeated Hello, and closes
  /// the connection of a silent peer.
  void checkLiveness(Millis aNow);
  /// 0 before the peer's Hello.
  std::uint64_t peerIncarnation() const { return mPeerIncarnation; }

private:
  void setSocketOptions();
  void sendHello(bool aFull);
  void read();
  void readLargeFrame();
  void onRead(std::size_t aCount);
  bool consume(std::span<const std::uint8_t>& aBytes);
  bool beginFrame();
  bool onWholeFrame();
  bool onHello(const wire::HelloT& aHello);
  void write();
  void touch();

  Socket mSocket;
  Options mOptions;
  Hooks mHooks;
  bool mClosed = false;
  std::uint64_t mPeerIncarnation = 0;
  bool mHelloSeen = false;

  std::vector<std::uint8_t> mReadBuffer;
  /// The frame being read, with its prefix.
  boost::container::vector<std::uint8_t> mFrame;
  std::size_t mFrameFilled = 0;

  std::deque<OutgoingFramePtr> mQueue;
  std::size_t mQueuedBytes = 0;
  std::vector<OutgoingFramePtr> mWriting;
  std::size_t mWritingBytes = 0;
  /// Bytes were sent since the last ones received.
  bool mUnanswered = false;
  Millis mLastActivity;
  Millis mLastPing;
};

}

#endif
