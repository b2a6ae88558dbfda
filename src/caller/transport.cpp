#include "radishroad/caller/transport.h"

#include "radishroad/caller/answer_mailbox.h"
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

/// Passes Pistache's events on to the transport that it belongs to.
class InputHandler : public Pistache::Tcp::Handler
{
  PROTOTYPE_OF(Pistache::Tcp::Handler, InputHandler)

public:
  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override
  {
    owner().addConnection(aPeer->fd());
  }

  void onInput(const char* aBytes,
               std::size_t aSize,
               const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override
  {
    owner().takeBytes(aPeer->fd(), { aBytes, aSize });
  }

  void onDisconnection(
    const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override
  {
    owner().removeConnection(aPeer->fd());
  }

private:
  CallerTransport& owner()
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
  : Transport(std::make_shared<InputHandler>())
  , mContext(std::move(aContext))
  , mMailbox(std::make_shared<AnswerMailbox>())
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
  mMailbox->bind(aPoller);
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
    handle(entry, rest, now);
  }
  if (!rest.empty()) {
    Transport::onReady(Pistache::Aio::FdSet(std::move(rest)));
  }
}

void
CallerTransport::handle(const Pistache::Aio::FdSet::Entry& aEntry,
                        Events& aRest,
                        Millis aNow)
{
  const Tag tag = aEntry.getTag();
  if (tag == mMailbox->tag()) {
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
    mBaseQueues.insert(tag.value());
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
  for (PostedAnswer& posted : mMailbox->take()) {
    if (const std::shared_ptr<CallerConnection> connection =
          posted.mConnection.lock()) {
      connection->onAnswer(posted.mSequence, std::move(posted.mAnswer), aNow);
    }
  }
}

void
CallerTransport::tick(Events& aRest, Millis aNow)
{
  for (const auto& [socket, connection] : mConnections) {
    connection->onTick(aNow);
  }
  // Pistache's queues can lose a wake-up (see AnswerMailbox): look into them
  // again, or a new connection could wait until the next one comes.
  for (const std::uint64_t tag : mBaseQueues) {
    aRest.push_back(readEvent(Tag(tag)));
  }
}

void
CallerTransport::addConnection(int aSocket)
{
  // A descriptor cannot belong to a queue any more once it is a socket.
  mBaseQueues.erase(static_cast<std::uint64_t>(aSocket));
  mConnections[aSocket] = std::make_shared<CallerConnection>(
    aSocket, *mContext, mMailbox, [this, aSocket](bool aWanted) {
      wantWrite(aSocket, aWanted);
    });
}

void
CallerTransport::removeConnection(int aSocket)
{
  const auto it = mConnections.find(aSocket);
  if (it == mConnections.end()) {
    return;
  }
  it->second->onGone();
  mConnections.erase(it);
}

void
CallerTransport::takeBytes(int aSocket, std::string_view aBytes)
{
  const auto it = mConnections.find(aSocket);
  if (it == mConnections.end()) {
    return;
  }
  it->second->onBytes(aBytes, monotonicNow());
}

void
CallerTransport::wantWrite(int aSocket, bool aWanted)
{
  const NotifyOn reading = NotifyOn::Read | NotifyOn::Shutdown;
  reactor()->modifyFd(
    key(), aSocket, aWanted ? reading | NotifyOn::Write : reading, Mode::Edge);
}

}
