#ifndef RADISHROAD_PEER_CONNECTION_H
#define RADISHROAD_PEER_CONNECTION_H

#include "radishroad/base/body_share.h"
#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/peer/outgoing_frame.h"
#include "radishroad/peer/send_totals.h"

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

/// One TCP connection between daemons, on either side. Sends a Hello first and
/// expects one from the peer. All members must be used on the transport's
/// thread.
///
/// A peer that accepts bytes but never responds is detected by means of
/// repeated Hellos: the connecting side sends one per second while it waits for
/// data, and the accepting side replies with its own.
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
    /// Whether this side opened the connection.
    bool mIsInitiator = false;
    Identity mLocalIdentity;
    std::size_t mMaxFrameBytes = 0;
    std::size_t mMaxQueuedBytes = 0;
    /// Large frames with bodies are counted there while they are read; may be
    /// null.
    std::shared_ptr<BodyMemory> mBodyMemory = {};
    /// Counts the bytes sent; may be null.
    std::shared_ptr<SendTotals> mTotals = {};
    /// Frames that may be overtaken are written after the others. Once there
    /// is one, the system buffers few unsent bytes.
    bool mSmallFirst = false;
  };

  /// Called on the transport's thread, and never after mOnClosed.
  struct Hooks
  {
    /// Called with the peer's first Hello.
    std::function<void(const wire::HelloT&)> mOnHello;
    /// Called with every frame that is not a Hello; aBytes is its size on the
    /// wire.
    std::function<void(wire::FrameBodyUnion, std::size_t aBytes)> mOnFrame;
    /// Called in place of mOnFrame with a request or answer for whose body no
    /// memory is left.
    std::function<void(const ForwardedFrame&)> mOnSkipped;
    /// Called once, when the connection has closed.
    std::function<void(const Error&)> mOnClosed;
    /// Returns whether this side is waiting for data from the peer.
    std::function<bool()> mIsAwaitingPeer;
  };

  Connection(Socket aSocket, Options aOptions, Hooks aHooks);

  void start();
  /// Queues a frame; frames are written in order, except with
  /// Options::mSmallFirst. Closes the connection if the
  /// queued bytes exceed the limit.
  void send(OutgoingFramePtr aFrame);
  void close(const Error& aReason);
  /// Whether frames are left that the peer's system has not received. They
  /// would be lost if the connection was closed.
  bool hasUnsent();
  /// Must be called a few times per second. Sends the repeated Hello, and
  /// closes the connection of an unresponsive peer.
  void checkLiveness(Millis aNow);
  /// 0 before the peer's Hello has arrived.
  std::uint64_t peerIncarnation() const { return mPeerIncarnation; }

private:
  void setSocketOptions();
  /// So that small frames need not wait for what the system buffers.
  void limitUnsentBytes();
  void sendHello(bool aWithIdentity);
  void read();
  void readLargeFrame();
  void onRead(std::size_t aCount);
  bool consume(std::span<const std::uint8_t>& aBytes);
  bool onPrefixComplete();
  /// Decides whether a large frame is read or skipped.
  void onFirstBytesComplete();
  bool onFrameSkipped();
  bool onFrameComplete();
  bool onHello(const wire::HelloT& aHello);
  void write();
  /// Takes the frame to write next; nullptr if there is none for this batch.
  OutgoingFramePtr takeNextFrame();
  void onWritten();
  void recordActivity();

  Socket mSocket;
  Options mOptions;
  Hooks mHooks;
  bool mClosed = false;
  std::uint64_t mPeerIncarnation = 0;
  bool mHelloReceived = false;

  std::vector<std::uint8_t> mReadBuffer;
  /// The frame being read, with its length prefix.
  boost::container::vector<std::uint8_t> mFrame;
  /// Size of the whole frame, once its prefix has been read.
  std::size_t mFrameBytes = 0;
  /// Bytes of the frame that remain to be skipped.
  std::size_t mSkipBytes = 0;
  BodyShare mFrameShare;
  std::size_t mFrameBytesRead = 0;

  std::deque<OutgoingFramePtr> mSendQueue;
  /// Frames that later ones of mSendQueue overtake.
  std::deque<OutgoingFramePtr> mLargeQueue;
  bool mIsUnsentLimited = false;
  bool mBatchHasLarge = false;
  /// Batches since the last frame of mLargeQueue was written.
  int mBatchesWithoutLarge = 0;
  std::size_t mQueuedBytes = 0;
  std::vector<OutgoingFramePtr> mWriteBatch;
  std::size_t mWriteBatchBytes = 0;
  /// Whether data was sent after the last data was received.
  bool mAwaitingReply = false;
  Millis mLastActivity;
  Millis mLastPing;
};

}

#endif
