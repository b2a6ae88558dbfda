#ifndef RADISHROAD_PEER_PEER_TRANSPORT_H
#define RADISHROAD_PEER_PEER_TRANSPORT_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/request/request.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace radishroad {

/// Transport between daemons: length-prefixed FlatBuffers over TCP, on one
/// thread (Boost.Asio). Uses two connections to each peer, one for requests and
/// answers and one for control frames, so that a large body never delays a
/// lease renewal.
///
/// Each forwarded request is completed with exactly one answer: the peer's, or,
/// if the deadline passes or the connection fails, `Unknown` if its frame may
/// have been written to a socket, else `NotRun`. Late answers of abandoned
/// attempts are dropped by request id.
class PeerTransport
{
public:
  struct Options
  {
    std::string mListenAddress;
    std::uint64_t mIncarnation = 0;
    std::string mVm;
    /// Limit of the bytes queued for one peer's requests; requests beyond it
    /// are refused.
    std::size_t mMaxQueuedBytes = 64U << 20;
    std::size_t mMaxFrameBytes = 24U << 20;
    /// Frames of requests and answers are counted there; may be null.
    std::shared_ptr<BodyMemory> mBodyMemory = {};
    Millis mConnectTimeout{ 300 };
    /// "ip:port" on which peers reach this daemon; the bound address if empty.
    std::string mAdvertisedAddress = {};
    /// Small answers are sent ahead of large ones that wait.
    bool mSmallFirst = false;
  };

  /// All hooks except mOnClosed must be set.
  struct Hooks
  {
    /// Called on the transport's thread with a control frame from a peer.
    std::function<void(std::uint64_t aIncarnation, wire::FrameBodyUnion)>
      mOnControl;
    /// Called with a request from a peer; its answer may be given on any
    /// thread.
    ForwardFn mOnRequest;
    /// Called when the peer no longer waits for this request.
    std::function<void(RandomId)> mOnCancel;
    /// Called on the transport's thread when an accepted connection has closed.
    /// May be empty.
    std::function<void(std::uint64_t aIncarnation, const Error&)> mOnClosed;
  };

  PeerTransport(Options aOptions, Hooks aHooks);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Binds to the listen address and starts the thread.
  Result<void> start();
  void stop();

  /// Thread-safe. aAddress is the peer's "ip:port".
  void forward(const std::string& aAddress,
               ForwardRequest aRequest,
               AnswerFn aAnswer);
  void cancel(const std::string& aAddress, RandomId aId);
  /// Sends a control frame, which is silently dropped if the peer cannot be
  /// reached. aIncarnation is the incarnation that should receive it: the frame
  /// is not sent if the peer's Hello names another one. 0 matches any.
  void sendControl(const std::string& aAddress,
                   std::uint64_t aIncarnation,
                   wire::FrameBodyUnion aBody);

  /// Sends a control frame, which is encoded once, to whichever process now has
  /// each of these addresses.
  void sendControlToAll(std::span<const std::string> aAddresses,
                        const wire::FrameBodyUnion& aBody);

  /// Waits until the answers that were given have reached the peers, at most
  /// until aUntil. False if some have not. Call before stop().
  bool waitAnswersSent(Millis aUntil);

  struct Traffic
  {
    std::uint64_t mControlBytesSent = 0;
    std::uint64_t mControlBytesReceived = 0;
    std::uint64_t mControlFramesSent = 0;
    /// Answers and other frames on accepted connections; see SendTotals.
    std::uint64_t mAnswerBytesQueued = 0;
    std::uint64_t mAnswerBytesWritten = 0;
  };
  Traffic traffic() const;
  /// The address bound by start(), with the selected port if port 0 was
  /// requested.
  std::string listenAddress() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif
