#ifndef RADISHROAD_PEER_STREAM_SENDER_H
#define RADISHROAD_PEER_STREAM_SENDER_H

#include "radishroad/base/random_id.h"
#include "radishroad/peer/connection.h"
#include "radishroad/policy/stream_window.h"

#include <cstdint>
#include <memory>

namespace radishroad {

class BodyStream;

/// Sends the body of one answer to a peer, chunk by chunk, as far as the peer
/// gives credit. Must be used on the transport's thread.
class StreamSender
{
public:
  /// aBody: the reader's handle.
  StreamSender(RandomId aId,
               std::shared_ptr<BodyStream> aBody,
               std::shared_ptr<BodyMemory> aMemory);

  RandomId id() const { return mId; }
  /// Sends what there is and may be sent. Returns true once the end was sent.
  bool pump(Connection& aConnection, Millis aNow);
  /// False if the peer gives credit for more than was sent.
  bool onCredit(std::uint64_t aBytes, Millis aNow);
  bool isStalled(Millis aNow) const;
  /// Tells the peer that the body ends incomplete.
  void sendFailure(Connection& aConnection);

private:
  void send(Connection& aConnection, wire::ResponseChunkT aChunk);

  const RandomId mId;
  const std::shared_ptr<BodyStream> mBody;
  const std::shared_ptr<BodyMemory> mMemory;
  StreamWindow mWindow{ {} };
  std::uint32_t mLastSequence = 0;
};

}

#endif
