#include "radishroad/peer/forwarder.h"

#include <utility>

namespace radishroad {

namespace asio = boost::asio;

namespace {

/// Requests given up on one connection before it is replaced.
constexpr std::size_t kMaxGivenUp = 65'536;

}

Forwarder::Forwarder(asio::io_context& aContext, Channel::Options aOptions)
  : mContext(aContext)
  , mChannel(aContext,
             std::move(aOptions),
             { [this](wire::FrameBodyUnion aBody, std::size_t) {
                onFrame(std::move(aBody));
              },
               [](const OutgoingFrame&) {},
               [this](const Error&) { onDown(); },
               [this] { return !mPending.empty(); } })
{
}

void
Forwarder::forward(Item aItem)
{
  const RandomId id = aItem.mId;
  if (mPending.contains(id)) {
    aItem.mAnswer(makeNotRunAnswer(id, NotRunReason::DuplicateInFlight));
    return;
  }
  std::unique_ptr<Pending> pending = std::make_unique<Pending>(mContext);
  pending->mFrame = aItem.mFrame;
  pending->mAnswer = std::move(aItem.mAnswer);
  pending->mAmbiguous = mGivenUp.contains(id);
  pending->mTimer.expires_at(aItem.mDeadline);
  pending->mAttempt = ++mAttempts;
  pending->mTimer.async_wait(
    [this, id, attempt = mAttempts](const boost::system::error_code& aCode) {
      const auto it = mPending.find(id);
      if (!aCode && it != mPending.end() && it->second->mAttempt == attempt) {
        onDeadline(id);
      }
    });
  mPending.emplace(id, std::move(pending));
  if (!mChannel.send(std::move(aItem.mFrame))) {
    const Millis wait = mChannel.retryAfter(monotonicNow());
    take(id)->mAnswer(makeNotRunAnswer(id, NotRunReason::UpstreamDown, wait));
  }
}

void
Forwarder::cancel(RandomId aId)
{
  giveUp(aId, NotRunReason::Cancelled);
}

void
Forwarder::onDeadline(RandomId aId)
{
  giveUp(aId, NotRunReason::DeadlinePassed);
}

void
Forwarder::giveUp(RandomId aId, NotRunReason aReason)
{
  const std::unique_ptr<Pending> pending = take(aId);
  if (!pending) {
    return;
  }
  if (!pending->mFrame->mHandedOver) {
    pending->mFrame->release();
    pending->mAnswer(makeNotRunAnswer(aId, aReason));
    return;
  }
  mGivenUp.insert(aId);
  sendCancel(aId);
  pending->mAnswer(makeUnknownAnswer(aId));
  if (mGivenUp.size() > kMaxGivenUp) {
    mChannel.close({ ErrorCode::Full, "peer leaves its requests unanswered" });
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
  // On the request's own connection, so that it cannot come before it.
  mChannel.send(std::make_shared<OutgoingFrame>(encodeFrame(body)));
}

void
Forwarder::onFrame(wire::FrameBodyUnion aBody)
{
  if (wire::ForwardAnswerT* answer = aBody.AsForwardAnswer()) {
    onAnswer(std::move(*answer));
  }
}

void
Forwarder::onAnswer(Answer aAnswer)
{
  const RandomId id = idOf(aAnswer);
  const std::unique_ptr<Pending> pending = take(id);
  if (!pending) {
    mGivenUp.erase(id);
    return;
  }
  // It may belong to the attempt given up, while this one runs.
  if (pending->mAmbiguous && aAnswer.kind == AnswerKind::NotRun) {
    aAnswer = makeUnknownAnswer(id);
  }
  pending->mAnswer(std::move(aAnswer));
}

void
Forwarder::onDown()
{
  mGivenUp.clear();
  PendingMap pending;
  pending.swap(mPending);
  const Millis wait = mChannel.retryAfter(monotonicNow());
  for (auto& [id, request] : pending) {
    request->mTimer.cancel();
    if (request->mFrame->mHandedOver) {
      request->mAnswer(makeUnknownAnswer(id));
    } else {
      request->mAnswer(makeNotRunAnswer(id, NotRunReason::UpstreamDown, wait));
    }
  }
}

std::unique_ptr<Forwarder::Pending>
Forwarder::take(RandomId aId)
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
  mChannel.close({ ErrorCode::Unavailable, "the link stops" });
}

}
