#ifndef RADISHROAD_CALLER_TRANSPORT_H
#define RADISHROAD_CALLER_TRANSPORT_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <memory>
#include <pistache/transport.h>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace radishroad {

class AnswerQueue;
class CallerConnection;
class ServerContext;

/// Pistache transport of one worker thread. It adds an answer queue and a timer
/// to the same poller.
///
/// Connections write to their sockets directly instead of using Pistache's
/// write queue, for two reasons. That queue is keyed by file descriptor, so an
/// answer could reach a newer connection that reuses the descriptor. It also
/// drops a write readiness event that arrives together with input.
class CallerTransport : public Pistache::Tcp::Transport
{
public:
  explicit CallerTransport(std::shared_ptr<ServerContext> aContext);
  ~CallerTransport() override;
  CallerTransport(const CallerTransport&) = delete;
  CallerTransport& operator=(const CallerTransport&) = delete;

  void registerPoller(Pistache::Polling::Epoll& aPoller) override;
  void onReady(const Pistache::Aio::FdSet& aReady) override;
  std::shared_ptr<Pistache::Aio::Handler> clone() const override;

  void addConnection(int aSocket);
  void removeConnection(int aSocket);
  void deliverData(int aSocket, std::string_view aBytes);

private:
  using Events = std::vector<Pistache::Polling::Event>;

  /// Handles answers, timer and write readiness. Adds events that the base
  /// class must handle to aRest.
  void handleEvent(const Pistache::Aio::FdSet::Entry& aEntry,
                   Events& aRest,
                   Millis aNow);
  void deliverAnswers(Millis aNow);
  void tick(Events& aRest, Millis aNow);
  void setWriteInterest(int aSocket, bool aWanted);

  const std::shared_ptr<ServerContext> mContext;
  const std::shared_ptr<AnswerQueue> mAnswerQueue;
  int mTimer = -1;
  std::unordered_map<int, std::shared_ptr<CallerConnection>> mConnections;
  /// Tags of the base class's queues that have appeared in events.
  std::set<std::uint64_t> mPistacheQueueTags;
};

}

#endif
