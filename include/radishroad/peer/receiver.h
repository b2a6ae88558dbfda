#ifndef RADISHROAD_PEER_RECEIVER_H
#define RADISHROAD_PEER_RECEIVER_H

#include "radishroad/peer/connection.h"
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

/// The accepting side: takes connections of peers, hands over their requests
/// and control frames, and sends answers back on the connection that the
/// request came by. All members belong to the link's thread.
class Receiver
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
    /// Something came from the peer of this address.
    std::function<void(const std::string& aAddress)> mOnHeard;
  };

  Receiver(std::shared_ptr<boost::asio::io_context> aContext, Hooks aHooks);
  Receiver(const Receiver&) = delete;
  Receiver& operator=(const Receiver&) = delete;

  /// Binds; aAddress is "ip:port", port 0 for any.
  Result<void> listen(const std::string& aAddress);
  /// "ip:port" as bound.
  std::string address() const;
  void start(Connection::Options aOptions);
  void checkLiveness(Millis aNow);
  void stop();

private:
  /// One accepted connection and the requests of it that still run.
  struct Session
  {
    std::shared_ptr<Connection> mConnection;
    /// Address at which the peer listens, by its Hello.
    std::string mPeerAddress;
    std::unordered_map<RandomId, std::uint32_t> mRunning;

    /// False if no such request runs any more.
    bool finish(RandomId aId);
  };

  void accept();
  void onAccepted(Connection::Socket aSocket);
  void onFrame(std::uint64_t aSession,
               wire::FrameBodyUnion aBody,
               std::size_t aBytes);
  void onRequest(const std::shared_ptr<Session>& aSession,
                 ForwardRequest aRequest);
  void onCancel(const Session& aSession, RandomId aId);
  void onClosed(std::uint64_t aSession, const Error& aReason);
  AnswerFn answerOn(const std::shared_ptr<Session>& aSession,
                    RandomId aId) const;

  std::shared_ptr<boost::asio::io_context> mContext;
  Hooks mHooks;
  Connection::Options mOptions;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
  std::uint64_t mLastSession = 0;
  std::map<std::uint64_t, std::shared_ptr<Session>> mSessions;
};

}

#endif
