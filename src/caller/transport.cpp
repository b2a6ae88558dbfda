#include "radishroad/caller/transport.h"

#include "radishroad/caller/answer_queue.h"
#include "radishroad/caller/connection.h"
#include "radishroad/caller/server_context.h"

#include <pistache/peer.h>
#include <pistache/tcp.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace radishroad {

using Pistache::Polling::Event;
using Pistache::Polling::Mode;
using Pistache::Polling::NotifyOn;
using Pistache::Polling::Tag;

namespace {

constexpr long kTickNanoseconds = 250'000'000;

/// Forwards Pistache's connection events to the CallerTransport.
class PeerEventHandler : public Pistache::Tcp::Handler
{
  PROTOTYPE_OF(Pistache::Tcp::Handler, PeerEventHandler)

public:
  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override
  {
    callerTransport().addConnection(aPeer->fd());
  }

  void onInput(const char* aBytes,
               std::size_t aSize,
               const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override
  {
    callerTransport().deliverData(aPeer->fd(), { aBytes, aSize });
  }

  void onDisconnection(
    const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override
  {
    callerTransport().removeConnection(aPeer->fd());
  }

private:
  CallerTransport& callerTransport()
  {
    return static_cast<CallerTransport&>(*transport());
  }
};

int
makeTimer()
{
  const int timer = ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK);
  itimerspec period{};
  period.it_interval.tv_nsec = kTickNanoseconds;
  period.it_value.tv_nsec = kTickNanoseconds;
  ::timerfd_settime(timer, 0, &period, nullptr);
  return timer;
}

void
clearTimer(int aTimer)
{
  std::uint64_t expirations = 0;
  static_cast<void>(::read(aTimer, &expirations, sizeof(expirations)));
}

Event
readEvent(Tag aTag)
{
  Event event(aTag);
  event.flags = Pistache::Flags<NotifyOn>(NotifyOn::Read);
  return event;
}

}

CallerTransport::CallerTransport(std::shared_ptr<ServerContext> aContext)
  : Transport(std::make_shared<PeerEventHandler>())
  , mContext(std::move(aContext))
  , mAnswerQueue(std::make_shared<AnswerQueue>(mContext->mOptions.mBodyMemory))
{
}

CallerTransport::~CallerTransport()
{
  if (mTimer >= 0) {
    ::close(mTimer);
  }
}

std::shared_ptr<Pistache::Aio::Handler>
CallerTransport::clone() const
{
  return std::make_shared<CallerTransport>(mContext);
}

void
CallerTransport::registerPoller(Pistache::Polling::Epoll& aPoller)
{
  Transport::registerPoller(aPoller);
  mAnswerQueue->bind(aPoller);
  mTimer = makeTimer();
  aPoller.addFd(mTimer,
                Pistache::Flags<NotifyOn>(NotifyOn::Read),
                Tag(static_cast<std::uint64_t>(mTimer)));
}

void
CallerTransport::onReady(const Pistache::Aio::FdSet& aReady)
{
  const Millis now = monotonicNow();
  Events rest;
  for (const Pistache::Aio::FdSet::Entry& entry : aReady) {
    handleEvent(entry, rest, now);
  }
  if (!rest.empty()) {
    Transport::onReady(Pistache::Aio::FdSet(std::move(rest)));
  }
}

void
CallerTransport::handleEvent(const Pistache::Aio::FdSet::Entry& aEntry,
                             Events& aRest,
                             Millis aNow)
{
  const Tag tag = aEntry.getTag();
  if (tag == mAnswerQueue->tag()) {
    deliverAnswers(aNow);
    return;
  }
  if (tag == Tag(static_cast<std::uint64_t>(mTimer))) {
    clearTimer(mTimer);
    tick(aRest, aNow);
    return;
  }
  const auto it = mConnections.find(static_cast<int>(tag.value()));
  if (it == mConnections.end()) {
    mPistacheQueueTags.insert(tag.value());
  } else if (aEntry.isWritable()) {
    it->second->onWritable(aNow);
  }
  if (aEntry.isReadable()) {
    aRest.push_back(readEvent(tag));
  }
}

void
CallerTransport::deliverAnswers(Millis aNow)
{
  for (QueuedAnswer& posted : mAnswerQueue->popAll()) {
    if (const std::shared_ptr<CallerConnection> connection =
          posted.mConnection.lock()) {
      if (posted.mIsBodyReady) {
        connection->onBodyReady(posted.mSequence, aNow);
        continue;
      }
      connection->onAnswer(posted.mSequence,
                           std::move(posted.mAnswer),
                           std::move(posted.mBodyShare),
                           aNow);
    }
  }
}

void
CallerTransport::tick(Events& aRest, Millis aNow)
{
  for (const auto& [socket, connection] : mConnections) {
    connection->onTick(aNow);
  }
  // Pistache's queues can lose a wake-up (see AnswerQueue). They are polled on
  // each tick, or a new connection could wait until the next one arrives.
  for (const std::uint64_t tag : mPistacheQueueTags) {
    aRest.push_back(readEvent(Tag(tag)));
  }
}

void
CallerTransport::addConnection(int aSocket)
{
  // The descriptor may have belonged to a queue before it was reused for this
  // socket.
  mPistacheQueueTags.erase(static_cast<std::uint64_t>(aSocket));
  mConnections[aSocket] = std::make_shared<CallerConnection>(
    aSocket, *mContext, mAnswerQueue, [this, aSocket](bool aWanted) {
      setWriteInterest(aSocket, aWanted);
    });
}

void
CallerTransport::removeConnection(int aSocket)
{
  const auto it = mConnections.find(aSocket);
  if (it == mConnections.end()) {
    return;
  }
  it->second->onClosed();
  mConnections.erase(it);
}

void
CallerTransport::deliverData(int aSocket, std::string_view aBytes)
{
  const auto it = mConnections.find(aSocket);
  if (it == mConnections.end()) {
    return;
  }
  it->second->onData(aBytes, monotonicNow());
}

void
CallerTransport::setWriteInterest(int aSocket, bool aWanted)
{
  const NotifyOn reading = NotifyOn::Read | NotifyOn::Shutdown;
  reactor()->modifyFd(
    key(), aSocket, aWanted ? reading | NotifyOn::Write : reading, Mode::Edge);
}

}
