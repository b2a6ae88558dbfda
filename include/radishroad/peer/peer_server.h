#ifndef RADISHROAD_PEER_PEER_SERVER_H
#define RADISHROAD_PEER_PEER_SERVER_H

#include "radishroad/peer/connection.h"
#include "radishroad/peer/stream_sender.h"
#include "radishroad/request/request.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace radishroad {

/// Accepting side of the transport: accepts connections from peers, passes on
/// their requests and control frames, and sends each answer on the connection
/// that its request arrived on. All members must be used on the transport's
/// thread.
class PeerServer
{
public:
  struct Hooks
  {
    std::function<void(std::uint64_t aIncarnation,
                       wire::FrameBodyUnion aBody,
                       std::size_t aBytes)>
      mOnControl;
    ForwardFn mOnRequest;
    std::function<void(RandomId)> mOnCancel;
    std::function<void(std::uint64_t aIncarnation, const Error&)> mOnClosed;
    /// Called when a frame arrived from the peer that listens on this address.
    std::function<void(const std::string& aAddress)> mOnPeerActivity;
  };

  PeerServer(std::shared_ptr<boost::asio::io_context> aContext, Hooks aHooks);
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Binds to aAddress, "ip:port"; port 0 selects a free one.
  Result<void> listen(const std::string& aAddress);
  /// The bound "ip:port".
  std::string address() const;
  void start(Connection::Options aOptions);
  void checkLiveness(Millis aNow);
  /// Whether all answers that were given have reached the peers.
  bool areAnswersSent() const;
  void stop();

private:
  /// An accepted connection and its requests that are still running.
  struct Session
  {
    std::shared_ptr<Connection> mConnection;
    /// Address on which the peer listens, from its Hello.
    std::string mPeerAddress;
    std::unordered_map<RandomId, std::uint32_t> mRunningRequests;
    /// Answers whose bodies are being sent.
    std::unordered_map<RandomId, std::shared_ptr<StreamSender>> mStreams;

    /// Sends what the stream may send now; forgets it at its end.
    void pumpStream(RandomId aId);
    void onCredit(const wire::ResponseCreditT& aCredit);
    void endStalledStreams(Millis aNow);
    /// Returns false if the request is not running.
    bool finishRequest(RandomId aId);
  };

  void accept();
  void onAccepted(Connection::Socket aSocket);
  void onFrame(std::uint64_t aSessionId,
               wire::FrameBodyUnion aBody,
               std::size_t aBytes);
  void onSkipped(std::uint64_t aSessionId, const ForwardedFrame& aFrame);
  void onRequest(const std::shared_ptr<Session>& aSession,
                 ForwardRequest aRequest);
  void onCancel(Session& aSession, RandomId aId);
  void onClosed(std::uint64_t aSessionId, const Error& aReason);
  AnswerFn makeAnswerFn(const std::shared_ptr<Session>& aSession,
                        RandomId aId,
                        bool aLargeResponse) const;

  std::shared_ptr<boost::asio::io_context> mContext;
  Hooks mHooks;
  Connection::Options mOptions;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
  std::uint64_t mLastSessionId = 0;
  std::map<std::uint64_t, std::shared_ptr<Session>> mSessions;
};

}

#endif
