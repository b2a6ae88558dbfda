#include "rr-relay/session.h"

namespace radishroad::tools {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

void
closeSocket(tcp::socket& aSocket)
{
  error_code ec;
  aSocket.close(ec);
}

}

Session::Session(Pipe::SocketPtr aClient, std::string aSource, RuleFn aRule)
  : mClient(std::move(aClient))
  , mTarget(std::make_shared<tcp::socket>(mClient->get_executor()))
  , mSource(std::move(aSource))
  , mRule(std::move(aRule))
{
}

void
Session::connect(const tcp::endpoint& aTarget, std::function<void()> aOnEnd)
{
  mOnEnd = std::move(aOnEnd);
  mTarget->async_connect(
    aTarget, [self = shared_from_this()](const error_code& aError) {
      if (aError) {
        self->close();
        return;
      }
      error_code ec;
      self->mClient->set_option(tcp::no_delay(true), ec);
      self->mTarget->set_option(tcp::no_delay(true), ec);
      self->mForward =
        self->makePipe(self->mClient, self->mTarget, &FaultRule::mHoldToTarget);
      self->mBackward = self->makePipe(
        self->mTarget, self->mClient, &FaultRule::mHoldFromTarget);
      self->mForward->start();
      self->mBackward->start();
    });
}

std::shared_ptr<Pipe>
Session::makePipe(const Pipe::SocketPtr& aFrom,
                  const Pipe::SocketPtr& aTo,
                  bool FaultRule::*aHold)
{
  Pipe::Hooks hooks;
  hooks.mIsHeld = [self = shared_from_this(), aHold] {
    return self->mRule(self->mSource).*aHold;
  };
  hooks.mDelay = [self = shared_from_this()] {
    return self->mRule(self->mSource).mDelay;
  };
  hooks.mOnEnd = [self = shared_from_this()] { self->close(); };
  return std::make_shared<Pipe>(aFrom, aTo, std::move(hooks));
}

void
Session::applyRule()
{
  if (mRule(mSource).mDisconnect) {
    close();
    return;
  }
  // Keeps the session alive, since a delivery may end it.
  const std::shared_ptr<Session> self = shared_from_this();
  const std::shared_ptr<Pipe> forward = mForward;
  const std::shared_ptr<Pipe> backward = mBackward;
  if (forward) {
    forward->deliver();
  }
  if (backward) {
    backward->deliver();
  }
}

void
Session::close()
{
  const std::shared_ptr<Session> self = shared_from_this();
  closeSocket(*mClient);
  closeSocket(*mTarget);
  if (mForward) {
    mForward->stop();
    mBackward->stop();
  }
  if (const std::function<void()> onEnd = std::exchange(mOnEnd, {})) {
    onEnd();
  }
}

}
