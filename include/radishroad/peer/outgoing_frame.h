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
    : OutgoingFrame(std::make_shared<const FrameBuffer>(std::move(aBuffer)),
                    std::move(aBudget))
  {
  }
  /// As above, with a buffer that frames for other peers share.
  explicit OutgoingFrame(std::shared_ptr<const FrameBuffer> aBuffer,
                         std::shared_ptr<ByteBudget> aBudget = nullptr)
    : mSize(aBuffer->size())
    , mBuffer(std::move(aBuffer))
    , mBudget(std::move(aBudget))
  {
  }
  ~OutgoingFrame() { release(); }
  OutgoingFrame(const OutgoingFrame&) = delete;
  OutgoingFrame& operator=(const OutgoingFrame&) = delete;

  std::span<const std::uint8_t> bytes() const
  {
    return mBuffer
             ? std::span<const std::uint8_t>(mBuffer->data(), mBuffer->size())
             : std::span<const std::uint8_t>();
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

  /// Counts the frame if it has a body.
  BodyShare mBodyShare;
  /// Later frames may be written before this one. All frames whose order
  /// matters to each other must have the same value.
  bool mMayBeOvertaken = false;
  /// Whether any part of the frame may have been written to a socket.
  bool mWriteStarted = false;
  /// Incarnation of the peer that should receive the frame; 0 for any.
  std::uint64_t mRecipientIncarnation = 0;

private:
  std::size_t mSize;
  std::shared_ptr<const FrameBuffer> mBuffer;
  std::shared_ptr<ByteBudget> mBudget;
};

using OutgoingFramePtr = std::shared_ptr<OutgoingFrame>;

}

#endif
