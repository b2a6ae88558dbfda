#include "radishroad/peer/receiver.h"

#include "radishroad/peer/address.h"

#include <boost/asio/post.hpp>
#include <chrono>

namespace radishroad {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// Pause after a failed accept, as when file descriptors have run out.
constexpr std::chrono::milliseconds kAcceptRetry{ 100 };

OutgoingFramePtr
encodeAnswer(Answer aAnswer, RandomId aId, std::size_t aMaxBytes)
{
  aAnswer.id_high = aId.mHigh;
  aAnswer.id_low = aId.mLow;
  wire::FrameBodyUnion body;
  body.Set(std::move(aAnswer));
  FrameBuffer buffer = encodeFrame(body);
  if (buffer.size() > aMaxBytes) {
    body.Set(makeUnknownAnswer(aId));
    buffer = encodeFrame(body);
  }
  return std::make_shared<OutgoingFrame>(std::move(buffer));
}

}

bool
Receiver::Session::finish(RandomId aId)
{
  const auto it = mRunning.find(aId);
  if (it == mRunning.end()) {
    return false;
  }
  if (--it->second == 0) {
    mRunning.erase(it);
  }
  return true;
}

Receiver::Receiver(std::shared_ptr<asio::io_context> aContext, Hooks aHooks)
  : mContext(std::move(aContext))
  , mHooks(std::move(aHooks))
  , mAcceptor(*mContext)
  , mRetryTimer(*mContext)
{
}

Result<void>
Receiver::listen(const std::string& aAddress)
{
  const Result<Tcp::endpoint> endpoint = parsePeerAddress(aAddress);
  if (!endpoint) {
    return tl::unexpected<Error>(endpoint.error());
  }
  boost::system::error_code ec;
  mAcceptor.open(endpoint->protocol(), ec);
  if (!ec) {
    mAcceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    mAcceptor.bind(*endpoint, ec);
  }
  if (!ec) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return fail(ErrorCode::Unavailable, aAddress + ": " + ec.message());
  }
  return {};
}

std::string
Receiver::address() const
{
  boost::system::error_code ec;
  const Tcp::endpoint bound = mAcceptor.local_endpoint(ec);
  const std::string host = bound.address().to_string();
  const std::string port = std::to_string(bound.port());
  return bound.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

void
Receiver::start(Connection::Options aOptions)
{
  mOptions = std::move(aOptions);
  accept();
}

void
Receiver::accept()
{
  mAcceptor.async_accept(
    [this](const boost::system::error_code& aCode, Connection::Socket aSocket) {
      if (!mAcceptor.is_open()) {
        return;
      }
      if (!aCode) {
        onAccepted(std::move(aSocket));
        accept();
        return;
      }
      mRetryTimer.expires_after(kAcceptRetry);
      mRetryTimer.async_wait([this](const boost::system::error_code& aWait) {
        if (!aWait) {
          accept();
        }
      });
    });
}

void
Receiver::onAccepted(Connection::Socket aSocket)
{
  const std::uint64_t number = ++mLastSession;
  const std::shared_ptr<Session> session = std::make_shared<Session>();
  Connection::Hooks hooks;
  hooks.mOnHello = [this, at = session.get()](const wire::HelloT& aHello) {
    at->mPeerAddress = aHello.peer_address;
    mHooks.mOnHeard(at->mPeerAddress);
  };
  hooks.mOnFrame = [this, number](wire::FrameBodyUnion aBody,
                                  std::size_t aBytes) {
    onFrame(number, std::move(aBody), aBytes);
  };
  hooks.mOnClosed = [this, number](const Error& aReason) {
    onClosed(number, aReason);
  };
  hooks.mIsAwaiting = [running = &session->mRunning] {
    return !running->empty();
  };
  session->mConnection = std::make_shared<Connection>(
    std::move(aSocket), mOptions, std::move(hooks));
  mSessions.emplace(number, session);
  session->mConnection->start();
}

void
Receiver::onFrame(std::uint64_t aSession,
                  wire::FrameBodyUnion aBody,
                  std::size_t aBytes)
{
  const auto it = mSessions.find(aSession);
  if (it == mSessions.end()) {
    return;
  }
  const std::shared_ptr<Session> session = it->second;
  mHooks.mOnHeard(session->mPeerAddress);
  if (wire::ForwardRequestT* request = aBody.AsForwardRequest()) {
    onRequest(session, std::move(*request));
    return;
  }
  if (const wire::CancelT* cancel = aBody.AsCancel()) {
    onCancel(*session, { cancel->id_high, cancel->id_low });
    return;
  }
  mHooks.mOnControl(
    session->mConnection->peerIncarnation(), std::move(aBody), aBytes);
}

void
Receiver::onRequest(const std::shared_ptr<Session>& aSession,
                    ForwardRequest aRequest)
{
  const RandomId id = idOf(aRequest);
  ++aSession->mRunning[id];
  mHooks.mOnRequest(std::move(aRequest), answerOn(aSession, id));
}

AnswerFn
Receiver::answerOn(const std::shared_ptr<Session>& aSession, RandomId aId) const
{
  // The context is kept, since the answer may come after the link's end.
  return [context = mContext,
          weak = std::weak_ptr<Session>(aSession),
          aId,
          maxBytes = mOptions.mMaxFrameBytes](Answer aAnswer) {
    OutgoingFramePtr frame = encodeAnswer(std::move(aAnswer), aId, maxBytes);
    asio::post(*context, [weak, aId, frame = std::move(frame)] {
      const std::shared_ptr<Session> session = weak.lock();
      if (session && session->finish(aId)) {
        session->mConnection->send(frame);
      }
    });
  };
}

void
Receiver::onCancel(const Session& aSession, RandomId aId)
{
  if (aSession.mRunning.contains(aId)) {
    mHooks.mOnCancel(aId);
  }
}

void
Receiver::onClosed(std::uint64_t aSession, const Error& aReason)
{
  const auto it = mSessions.find(aSession);
  if (it == mSessions.end()) {
    return;
  }
  const std::shared_ptr<Session> session = std::move(it->second);
  mSessions.erase(it);
  for (const auto& [id, count] : session->mRunning) {
    mHooks.mOnCancel(id);
  }
  if (mHooks.mOnClosed) {
    mHooks.mOnClosed(session->mConnection->peerIncarnation(), aReason);
  }
}

void
Receiver::checkLiveness(Millis aNow)
{
  const std::map<std::uint64_t, std::shared_ptr<Session>> sessions = mSessions;
  for (const auto& [number, session] : sessions) {
    session->mConnection->checkLiveness(aNow);
  }
}

void
Receiver::stop()
{
  boost::system::error_code ec;
  mAcceptor.close(ec);
  mRetryTimer.cancel();
  const std::map<std::uint64_t, std::shared_ptr<Session>> sessions = mSessions;
  for (const auto& [number, session] : sessions) {
    session->mConnection->close({ ErrorCode::Unavailable, "the link stops" });
  }
}

}
