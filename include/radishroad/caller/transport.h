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

class AnswerMailbox;
class CallerConnection;
class ServerContext;

/// Pistache's transport for one worker thread, with answers and timers of our
/// own on the same poller. Connections write their sockets themselves:
/// Pistache's write queue goes by descriptor, so an answer could reach a newer
/// connection that got the same one, and it drops a write readiness that comes
/// together with input.
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
  void takeBytes(int aSocket, std::string_view aBytes);

private:
  using Events = std::vector<Pistache::Polling::Event>;

  /// Handles what is ours of an event and adds the rest to aRest.
  void handle(const Pistache::Aio::FdSet::Entry& aEntry,
              Events& aRest,
              Millis aNow);
  void deliverAnswers(Millis aNow);
  void tick(Events& aRest, Millis aNow);
  void wantWrite(int aSocket, bool aWanted);

  const std::shared_ptr<ServerContext> mContext;
  const std::shared_ptr<AnswerMailbox> mMailbox;
  int mTimer = -1;
  std::unordered_map<int, std::shared_ptr<CallerConnection>> mConnections;
  /// Tags of the base class's own queues, as seen in events.
  std::set<std::uint64_t> mBaseQueues;
};

}

#endif
