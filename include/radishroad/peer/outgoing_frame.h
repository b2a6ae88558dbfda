#ifndef RADISHROAD_PEER_OUTGOING_FRAME_H
#define RADISHROAD_PEER_OUTGOING_FRAME_H

#include "radishroad/peer/byte_budget.h"
#include "radishroad/peer/frame.h"

#include <memory>

namespace radishroad {

/// A frame on its way to a socket. Belongs to the link's thread once queued.
class OutgoingFrame
{
public:
  /// aBudget, if given, has been charged with the buffer's size.
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

  /// Frees the bytes; a queued frame is then passed over.
  void release()
  {
    if (mBudget) {
      mBudget->give(mSize);
      mBudget.reset();
    }
    mBuffer = FrameBuffer();
  }

  /// Whether any byte may have been handed to a socket.
  bool mHandedOver = false;
  /// The incarnation that the frame is meant for; 0 is whoever answers.
  std::uint64_t mRecipient = 0;

private:
  std::size_t mSize;
  FrameBuffer mBuffer;
  std::shared_ptr<ByteBudget> mBudget;
};

using OutgoingFramePtr = std::shared_ptr<OutgoingFrame>;

}

#endif
