#include "radishroad/peer/stream_receiver.h"

#include "radishroad/base/json_log.h"
#include "radishroad/policy/stream_window.h"
#include "radishroad/request/body_stream.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace radishroad {

StreamReceiver::StreamReceiver(std::shared_ptr<BodyMemory> aMemory,
                               Hooks aHooks)
  : mMemory(std::move(aMemory))
  , mHooks(std::move(aHooks))
{
}

StreamReceiver::~StreamReceiver()
{
  breakAll();
}

void
StreamReceiver::start(Answer& aAnswer)
{
  const RandomId id = idOf(aAnswer);
  const std::uint64_t number = ++mLastNumber;
  BodyStream::WriterHooks hooks;
  hooks.mOnTaken = [this, id, number](std::size_t aBytes) {
    mHooks.mPost([this, id, number, aBytes] { onTaken(id, number, aBytes); });
  };
  hooks.mOnCancelled = [this, id, number] {
    mHooks.mPost([this, id, number] { onCancelled(id, number); });
  };
  const std::shared_ptr<BodyStream> body =
    std::make_shared<BodyStream>(mMemory, std::move(hooks));
  aAnswer.mStream = BodyStream::makeReader(body);
  const auto earlier = mStreams.find(id);
  if (earlier != mStreams.end()) {
    earlier->second.mBody->finish(BodyStream::State::Broken);
    mStreams.erase(earlier);
  }
  mStreams.emplace(id,
                   Incoming{ number,
                             body,
                             StreamReceipt(StreamWindow::Options{}.mBytes,
                                           aAnswer.body_bytes) });
}

void
StreamReceiver::onChunk(const wire::ResponseChunkT& aChunk)
{
  const RandomId id{ aChunk.id_high, aChunk.id_low };
  const auto it = mStreams.find(id);
  if (it == mStreams.end()) {
    return;
  }
  Incoming& incoming = it->second;
  const bool isAccepted =
    incoming.mReceipt.onPart(aChunk.sequence, aChunk.data.size()) &&
    incoming.mBody->append(aChunk.data);
  if (isAccepted && !aChunk.last) {
    return;
  }
  const bool isWhole =
    isAccepted && !aChunk.failed && incoming.mReceipt.isWhole();
  if (!isWhole) {
    logEvent(LogLevel::Warn,
             "peer_stream_broken",
             { { "request_id", id.toString() },
               { "cause", aChunk.failed ? "sender" : "receiver" } });
  }
  const std::shared_ptr<BodyStream> body = std::move(incoming.mBody);
  mStreams.erase(it);
  body->finish(isWhole ? BodyStream::State::Whole : BodyStream::State::Broken);
  if (!aChunk.last) {
    mHooks.mCancel(id);
  }
}

void
StreamReceiver::breakAll()
{
  for (const auto& [id, incoming] : std::exchange(mStreams, {})) {
    incoming.mBody->finish(BodyStream::State::Broken);
  }
}

StreamReceiver::Incoming*
StreamReceiver::find(RandomId aId, std::uint64_t aNumber)
{
  const auto it = mStreams.find(aId);
  return it != mStreams.end() && it->second.mNumber == aNumber ? &it->second
                                                               : nullptr;
}

void
StreamReceiver::onTaken(RandomId aId, std::uint64_t aNumber, std::size_t aBytes)
{
  Incoming* incoming = find(aId, aNumber);
  const std::size_t bytes =
    incoming == nullptr ? 0 : incoming->mReceipt.onTaken(aBytes);
  if (bytes == 0) {
    return;
  }
  wire::ResponseCreditT credit;
  credit.id_high = aId.mHigh;
  credit.id_low = aId.mLow;
  credit.bytes = bytes;
  wire::FrameBodyUnion body;
  body.Set(credit);
  mHooks.mSend(body);
}

void
StreamReceiver::onCancelled(RandomId aId, std::uint64_t aNumber)
{
  if (find(aId, aNumber) == nullptr) {
    return;
  }
  mStreams.erase(aId);
  mHooks.mCancel(aId);
}

}
