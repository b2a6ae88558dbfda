#ifndef RADISHROAD_PEER_LINK_H
#define RADISHROAD_PEER_LINK_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/request/request.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace radishroad {

/// Connections to and from the other daemons: TCP with length-framed
/// FlatBuffers, one thread (Boost.Asio). To each peer there are two
/// connections, so that a large body never delays a lease renewal: one for
/// requests and answers, one for control frames.
///
/// A forwarded request ends with exactly one answer: the peer's, or, on the
/// deadline or a broken connection, `Unknown` if its frame may have been
/// handed to the network, else `NotRun`. Answers of dead attempts are dropped
/// by request id.
class PeerLink
{
public:
  struct Options
  {
    std::string mListenAddress;
    std::uint64_t mIncarnation = 0;
    std::string mVm;
    /// Bytes queued for one peer's requests before new ones are refused.
    std::size_t mMaxQueuedBytes = 64U << 20;
    std::size_t mMaxFrameBytes = 24U << 20;
    Millis mConnectTimeout{ 300 };
    /// "ip:port" by which peers reach this daemon; the bound one if empty.
    std::string mAdvertisedAddress = {};
  };

  /// All but mOnClosed must be set.
  struct Hooks
  {
    /// A control frame from a peer; runs on the link's thread.
    std::function<void(std::uint64_t aIncarnation, wire::FrameBodyUnion)>
      mOnControl;
    /// A request from a peer; the answer may come from any thread.
    ForwardFn mOnRequest;
    /// The peer no longer waits for this request.
    std::function<void(RandomId)> mOnCancel;
    /// An accepted connection ended; runs on the link's thread. May be empty.
    std::function<void(std::uint64_t aIncarnation, const Error&)> mOnClosed;
  };

  PeerLink(Options aOptions, Hooks aHooks);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Binds and starts the thread.
  Result<void> start();
  void stop();

  /// Any thread. aAddress is the peer's "ip:port".
  void forward(const std::string& aAddress,
               ForwardRequest aRequest,
               AnswerFn aAnswer);
  void cancel(const std::string& aAddress, RandomId aId);
  /// Sends a control frame; dropped without notice if the peer cannot be
  /// reached. aIncarnation is whom the frame is meant for: a peer that is
  /// another incarnation by its Hello gets nothing. 0 is whoever answers.
  void sendControl(const std::string& aAddress,
                   std::uint64_t aIncarnation,
                   wire::FrameBodyUnion aBody);

  struct Traffic
  {
    std::uint64_t mControlBytesSent = 0;
    std::uint64_t mControlBytesReceived = 0;
    std::uint64_t mControlFramesSent = 0;
  };
  Traffic traffic() const;
  /// The address bound by start(), with its port if none was asked for.
  std::string listenAddress() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif
