#include "radishroad/peer/forwarder.h"

#include "radishroad/base/json_log.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace radishroad {

namespace asio = boost::asio;

namespace {

/// Abandoned requests after which the connection is replaced.
constexpr std::size_t kMaxAbandonedRequests = 65'536;

}

Forwarder::Forwarder(asio::io_context& aContext,
                     const Channel::Options& aOptions)
  : mContext(aContext)
  , mChannel(aContext,
             aOptions,
             { [this](wire::FrameBodyUnion aBody, std::size_t) {
                onFrame(std::move(aBody));
              },
               [this](const ForwardedFrame& aFrame) { onSkipped(aFrame); },
               [](const OutgoingFrame&) {},
               [this](const Error& aReason) { onDisconnected(aReason); },
               [this] { return !mPending.empty() || !mStreams.empty(); } })
  , mStreams(aOptions.mConnectionOptions.mBodyMemory, streamHooks())
{
}

StreamReceiver::Hooks
Forwarder::streamHooks()
{
  StreamReceiver::Hooks hooks;
  hooks.mPost = [this](std::function<void()> aTask) {
    asio::post(mContext, std::move(aTask));
  };
  hooks.mSend = [this](const wire::FrameBodyUnion& aBody) {
    mChannel.send(std::make_shared<OutgoingFrame>(encodeFrame(aBody)));
  };
  hooks.mCancel = [this](RandomId aId) { sendCancel(aId); };
  return hooks;
}

void
Forwarder::forward(OutgoingRequest aRequest)
{
  const RandomId id = aRequest.mId;
  if (mPending.contains(id)) {
    aRequest.mAnswerFn(makeNotRunAnswer(id, NotRunReason::DuplicateInFlight));
    return;
  }
  std::unique_ptr<Pending> pending = std::make_unique<Pending>(mContext);
  pending->mFrame = aRequest.mFrame;
  pending->mAnswerFn = std::move(aRequest.mAnswerFn);
  pending->mEarlierAttemptUnanswered = mAbandoned.contains(id);
  pending->mTimer.expires_at(aRequest.mDeadline);
  pending->mAttempt = ++mLastAttempt;
  pending->mTimer.async_wait(
    [this, id, attempt = mLastAttempt](const boost::system::error_code& aCode) {
      const auto it = mPending.find(id);
      if (!aCode && it != mPending.end() && it->second->mAttempt == attempt) {
        onDeadline(id);
      }
    });
  mPending.emplace(id, std::move(pending));
  if (!mChannel.send(std::move(aRequest.mFrame))) {
    const Millis retryDelay = mChannel.retryAfter(monotonicNow());
    removePending(id)->mAnswerFn(
      makeNotRunAnswer(id, NotRunReason::UpstreamDown, retryDelay));
  }
}

void
Forwarder::cancel(RandomId aId)
{
  abandon(aId, NotRunReason::Cancelled);
}

void
Forwarder::onDeadline(RandomId aId)
{
  abandon(aId, NotRunReason::DeadlinePassed);
}

void
Forwarder::abandon(RandomId aId, NotRunReason aReason)
{
  const std::unique_ptr<Pending> pending = removePending(aId);
  if (!pending) {
    return;
  }
  if (!pending->mFrame->mWriteStarted) {
    pending->mFrame->release();
    pending->mAnswerFn(makeNotRunAnswer(aId, aReason));
    return;
  }
  mAbandoned.insert(aId);
  sendCancel(aId);
  pending->mAnswerFn(makeUnknownAnswer(aId));
  if (mAbandoned.size() > kMaxAbandonedRequests) {
    mChannel.close(
      { ErrorCode::Full, "peer left too many requests unanswered" });
  }
}

void
Forwarder::sendCancel(RandomId aId)
{
  wire::CancelT cancel;
  cancel.id_high = aId.mHigh;
  cancel.id_low = aId.mLow;
  wire::FrameBodyUnion body;
  body.Set(cancel);
  // Sent on the same connection as the request, so that it cannot arrive first.
  mChannel.send(std::make_shared<OutgoingFrame>(encodeFrame(body)));
}

void
Forwarder::onFrame(wire::FrameBodyUnion aBody)
{
  if (wire::ForwardAnswerT* answer = aBody.AsForwardAnswer()) {
    onAnswer(std::move(*answer));
  } else if (const wire::ResponseChunkT* chunk = aBody.AsResponseChunk()) {
    mStreams.onChunk(*chunk);
  }
}

void
Forwarder::onSkipped(const ForwardedFrame& aFrame)
{
  const RandomId id{ aFrame.mIdHigh, aFrame.mIdLow };
  logEvent(LogLevel::Warn,
           "peer_answer_skipped",
           { { "request_id", id.toString() }, { "cause", "no-memory" } });
  onAnswer(makeUnknownAnswer(id));
}

void
Forwarder::onAnswer(Answer aAnswer)
{
  const RandomId id = idOf(aAnswer);
  const std::unique_ptr<Pending> pending = removePending(id);
  if (!pending) {
    mAbandoned.erase(id);
    return;
  }
  // The answer may be that of the abandoned attempt while this one is running.
  if (pending->mEarlierAttemptUnanswered &&
      aAnswer.kind == AnswerKind::NotRun) {
    aAnswer = makeUnknownAnswer(id);
  }
  if (aAnswer.streams) {
    mStreams.start(aAnswer);
  }
  pending->mAnswerFn(std::move(aAnswer));
}

void
Forwarder::onDisconnected(const Error& aReason)
{
  mAbandoned.clear();
  mStreams.breakAll();
  PendingMap pending;
  pending.swap(mPending);
  const auto sent = std::ranges::count_if(pending, [](const auto& aEntry) {
    return aEntry.second->mFrame->mWriteStarted;
  });
  if (sent > 0) {
    logEvent(LogLevel::Warn,
             "peer_answers_lost",
             { { "peer", mChannel.address() },
               { "requests", sent },
               { "cause", aReason.mMessage } });
  }
  const Millis retryDelay = mChannel.retryAfter(monotonicNow());
  for (auto& [id, request] : pending) {
    request->mTimer.cancel();
    if (request->mFrame->mWriteStarted) {
      request->mAnswerFn(makeUnknownAnswer(id));
    } else {
      request->mAnswerFn(
        makeNotRunAnswer(id, NotRunReason::UpstreamDown, retryDelay));
    }
  }
}

std::unique_ptr<Forwarder::Pending>
Forwarder::removePending(RandomId aId)
{
  const auto it = mPending.find(aId);
  if (it == mPending.end()) {
    return nullptr;
  }
  std::unique_ptr<Pending> pending = std::move(it->second);
  mPending.erase(it);
  pending->mTimer.cancel();
  return pending;
}

void
Forwarder::checkLiveness(Millis aNow)
{
  mChannel.checkLiveness(aNow);
}

void
Forwarder::stop()
{
  mChannel.close({ ErrorCode::Unavailable, "peer transport is stopping" });
}

}
