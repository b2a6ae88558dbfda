#ifndef RADISHROAD_PEER_OUTGOING_FRAME_H
#define RADISHROAD_PEER_OUTGOING_FRAME_H

#include "radishroad/base/body_share.h"
#include "radishroad/peer/byte_budget.h"
#include "radishroad/peer/frame.h"

#include <memory>

namespace radishroad {

/// A frame to be written to a socket. Once queued, it must be used on the
/// transport's thread only.
class OutgoingFrame
{
public:
  /// If aBudget is given, the buffer's size must already be reserved from it.
  explicit OutgoingFrame(FrameBuffer aBuffer,
                         std::shared_ptr<ByteBudget> aBudget = nullptr)
    : mSize(aBuffer.size())
    , mBuffer(std::move(aBuffer))
    , mBudget(std::move(aBudget))
  {
  }
  ~OutgoingFrame() { release(); }
  OutgoingFrame(const OutgoingFrame&) = delete;
  OutgoingFrame& operator=(const OutgoingFrame&) = delete;

  std::span<const std::uint8_t> bytes() const
  {
    return { mBuffer.data(), mBuffer.size() };
  }

  /// Size on the wire, also after release().
  std::size_t size() const { return mSize; }

  /// Frees the buffer and its reserved bytes; a frame that is still queued is
  /// then skipped.
  void release()
  {
    if (mBudget) {
      mBudget->release(mSize);
      mBudget.reset();
    }
    mBuffer.reset();
    mBodyShare.resize(0);
  }

  /// Whether any part of the frame may have been written to a socket.
  bool mWriteStarted = false;
  /// Incarnation of the peer that should receive the frame; 0 for any.
  std::uint64_t mRecipientIncarnation = 0;

private:
  std::size_t mSize;
  FrameBuffer mBuffer;
  std::shared_ptr<ByteBudget> mBudget;
  /// Counts the frame if it has a body.
  BodyShare mBodyShare;
};

using OutgoingFramePtr = std::shared_ptr<OutgoingFrame>;

}

#endif
