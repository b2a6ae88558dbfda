#include "radishroad/peer/stream_sender.h"

#include "radishroad/request/body_stream.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Of one chunk. Small, since the frames of other answers wait for it.
constexpr std::size_t kMaxChunkBytes = 32U << 10;

}

StreamSender::StreamSender(RandomId aId,
                           std::shared_ptr<BodyStream> aBody,
                           std::shared_ptr<BodyMemory> aMemory)
  : mId(aId)
  , mBody(std::move(aBody))
  , mMemory(std::move(aMemory))
{
}

bool
StreamSender::pump(Connection& aConnection, Millis aNow)
{
  while (mWindow.sendable() > 0) {
    BodyStream::Part part =
      mBody->take(std::min(mWindow.sendable(), kMaxChunkBytes));
    const bool isLast = part.mState != BodyStream::State::Open;
    if (part.mData.empty() && !isLast) {
      return false;
    }
    mWindow.onSent(part.mData.size(), aNow);
    wire::ResponseChunkT chunk;
    chunk.data = std::move(part.mData);
    chunk.last = isLast;
    chunk.failed = part.mState == BodyStream::State::Broken;
    send(aConnection, std::move(chunk));
    if (isLast) {
      return true;
    }
  }
  return false;
}

bool
StreamSender::onCredit(std::uint64_t aBytes, Millis aNow)
{
  return aBytes <= mWindow.outstanding() &&
         mWindow.onTaken(static_cast<std::size_t>(aBytes), aNow);
}

bool
StreamSender::isStalled(Millis aNow) const
{
  return mWindow.isStalled(aNow);
}

void
StreamSender::sendFailure(Connection& aConnection)
{
  wire::ResponseChunkT chunk;
  chunk.last = true;
  chunk.failed = true;
  send(aConnection, std::move(chunk));
}

void
StreamSender::send(Connection& aConnection, wire::ResponseChunkT aChunk)
{
  aChunk.id_high = mId.mHigh;
  aChunk.id_low = mId.mLow;
  aChunk.sequence = ++mLastSequence;
  wire::FrameBodyUnion body;
  body.Set(std::move(aChunk));
  OutgoingFramePtr frame = std::make_shared<OutgoingFrame>(encodeFrame(body));
  frame->mBodyShare = BodyShare(mMemory);
  frame->mBodyShare.resize(frame->size());
  aConnection.send(std::move(frame));
}

}
