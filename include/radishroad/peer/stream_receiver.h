#ifndef RADISHROAD_PEER_STREAM_RECEIVER_H
#define RADISHROAD_PEER_STREAM_RECEIVER_H

#include "radishroad/policy/stream_receipt.h"
#include "radishroad/request/request.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace radishroad {

class BodyStream;

/// Receives the streamed bodies of answers on one connection. Must be used on
/// the transport's thread.
class StreamReceiver
{
public:
  struct Hooks
  {
    /// Runs a task on the transport's thread. Called on any thread.
    std::function<void(std::function<void()>)> mPost;
    /// Sends a frame to the peer.
    std::function<void(const wire::FrameBodyUnion&)> mSend;
    /// The peer is to end the answer.
    std::function<void(RandomId)> mCancel;
  };

  StreamReceiver(std::shared_ptr<BodyMemory> aMemory, Hooks aHooks);
  /// Ends all bodies as broken.
  ~StreamReceiver();
  StreamReceiver(const StreamReceiver&) = delete;
  StreamReceiver& operator=(const StreamReceiver&) = delete;

  /// Attaches the body that follows to the answer.
  void start(Answer& aAnswer);
  void onChunk(const wire::ResponseChunkT& aChunk);
  /// The connection is lost, and all bodies with it.
  void breakAll();
  bool empty() const { return mStreams.empty(); }

private:
  struct Incoming
  {
    /// Distinguishes it from an earlier one with the same id.
    std::uint64_t mNumber = 0;
    std::shared_ptr<BodyStream> mBody;
    StreamReceipt mReceipt;
  };

  void onTaken(RandomId aId, std::uint64_t aNumber, std::size_t aBytes);
  void onCancelled(RandomId aId, std::uint64_t aNumber);
  /// Returns nullptr if the stream has ended.
  Incoming* find(RandomId aId, std::uint64_t aNumber);

  const std::shared_ptr<BodyMemory> mMemory;
  const Hooks mHooks;
  std::uint64_t mLastNumber = 0;
  std::unordered_map<RandomId, Incoming> mStreams;
};

}

#endif
