#include "radishroad/caller/connection.h"

#include "radishroad/base/json_log.h"
#include "radishroad/caller/answer_mailbox.h"
#include "radishroad/caller/pending_answer.h"
#include "radishroad/caller/server_context.h"

#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace radishroad {

namespace {

/// Requests of one connection that wait or run.
constexpr std::size_t kMaxPipelined = 16;
/// Further requests wait unread once those in the queue hold this much.
constexpr std::size_t kMaxQueuedBytes = 1U << 20;
/// A caller that sends more than this beyond a full queue loses the rest.
constexpr std::size_t kMaxHeldBytes = 256U << 10;

}

CallerConnection::CallerConnection(int aSocket,
                                   ServerContext& aContext,
                                   std::shared_ptr<AnswerMailbox> aMailbox,
                                   WantWriteFn aWantWrite)
  : mSocket(aSocket)
  , mContext(aContext)
  , mMailbox(std::move(aMailbox))
  , mWantWrite(std::move(aWantWrite))
  , mSender(aSocket)
  , mReader(
      { aContext.mOptions.mMaxHeaderBytes, aContext.mOptions.mMaxBodyBytes })
  , mPhaseSince(monotonicNow())
{
  mContext.connectionOpened();
}

CallerConnection::~CallerConnection()
{
  if (mCountedBusy) {
    mContext.connectionIdle();
  }
  mContext.connectionClosed();
}

void
CallerConnection::onBytes(std::string_view aBytes, Millis aNow)
{
  if (mDiscardInput) {
    return;
  }
  mReader.feed(aBytes);
  readRequests(aNow);
  runNext(aNow);
  noteBusy();
}

void
CallerConnection::readRequests(Millis aNow)
{
  while (!mDiscardInput && canQueue()) {
    std::optional<RequestReader::Outcome> outcome = mReader.next(aNow);
    if (!outcome) {
      break;
    }
    mDiscardInput = !*outcome || !(*outcome)->mKeepAlive;
    mQueuedBytes += *outcome ? (*outcome)->mRequest.mBody.size() : 0;
    mQueue.push_back(std::move(*outcome));
    mPhaseSince = aNow;
  }
  boundHeldInput();
  const RequestReader::Phase phase = mReader.phase();
  if (phase != mLastPhase) {
    mPhaseSince = aNow;
    mLastPhase = phase;
  }
  const bool alone = mQueue.empty() && mOutput == Output::None;
  if (mReader.takeContinueWanted() && alone) {
    sendContinue();
  }
}

bool
CallerConnection::canQueue() const
{
  return mQueue.size() < kMaxPipelined && mQueuedBytes < kMaxQueuedBytes;
}

void
CallerConnection::boundHeldInput()
{
  if (!canQueue() && mReader.heldBytes() > kMaxHeldBytes) {
    mDiscardInput = true;
  }
}

void
CallerConnection::runNext(Millis aNow)
{
  if (mRunning || mQueue.empty() || mOutput != Output::None) {
    return;
  }
  RequestReader::Outcome& front = mQueue.front();
  if (!front) {
    mContext.mMetrics.count("radishroad_caller_refused_total{reason=\"" +
                            front.error().mReason + "\"}");
    Response response = makeRefusal(front.error(), makeRandomId(), false);
    write(std::move(response), true, aNow);
    return;
  }
  runFront(*front);
}

void
CallerConnection::runFront(ReadRequest& aFront)
{
  mRunning = true;
  const RandomId id = aFront.mRequest.mId;
  const std::shared_ptr<PendingAnswer> pending =
    std::make_shared<PendingAnswer>(mMailbox, weak_from_this(), mSequence, id);
  CallerRequest request = std::move(aFront.mRequest);
  // Kept for the answer.
  aFront.mRequest.mId = id;
  aFront.mRequest.mReceivedAt = request.mReceivedAt;
  mQueuedBytes -= request.mBody.size();
  try {
    mCancel = mContext.mHandler(std::move(request), [pending](Answer aAnswer) {
      pending->answer(std::move(aAnswer));
    });
  } catch (const std::exception& error) {
    // What was handed on may run: the caller is told "unknown".
    logEvent(LogLevel::Error,
             "caller_handler_failed",
             { { "request_id", id.toString() }, { "error", error.what() } });
  }
}

void
CallerConnection::onAnswer(std::uint64_t aSequence, Answer aAnswer, Millis aNow)
{
  if (!mRunning || aSequence != mSequence) {
    return;
  }
  mRunning = false;
  mCancel = nullptr;
  ++mSequence;
  const ReadRequest front = std::move(*mQueue.front());
  mQueue.pop_front();
  const std::string outcome(outcomeName(aAnswer.kind));
  mContext.mMetrics.count("radishroad_caller_requests_total{outcome=\"" +
                          outcome + "\"}");
  mContext.mMetrics.observe("radishroad_caller_latency_seconds",
                            aNow - front.mRequest.mReceivedAt);
  const bool isLast = isLastAnswer(front);
  write(makeResponse(std::move(aAnswer),
                     front.mRequest.mId,
                     { .mKeepAlive = !isLast,
                       .mIsHead = front.mIsHead,
                       .mExactRetryAfter = mContext.mOptions.mExactRetryAfter,
                       .mPlainStatuses = mContext.mOptions.mPlainStatuses }),
        isLast,
        aNow);
  noteBusy();
}

void
CallerConnection::onGone()
{
  if (mRunning && mCancel) {
    mContext.mMetrics.count("radishroad_caller_hang_ups_total");
    mCancel();
  }
}

bool
CallerConnection::isLastAnswer(const ReadRequest& aFront) const
{
  if (!aFront.mKeepAlive) {
    return true;
  }
  const bool moreToAnswer =
    !mQueue.empty() || mReader.phase() != RequestReader::Phase::Idle;
  if (mDiscardInput) {
    return mQueue.empty();
  }
  return mContext.phase() != ServerContext::Phase::Serving && !moreToAnswer;
}

bool
CallerConnection::isBusy() const
{
  if (mOutput == Output::Ended) {
    return false;
  }
  const RequestReader::Phase phase = mReader.phase();
  const bool reading =
    phase == RequestReader::Phase::Head || phase == RequestReader::Phase::Body;
  return mRunning || !mQueue.empty() || mOutput == Output::Pending ||
         (reading && !mDiscardInput);
}

void
CallerConnection::noteBusy()
{
  const bool busy = isBusy();
  if (busy == mCountedBusy) {
    return;
  }
  mCountedBusy = busy;
  if (busy) {
    mContext.connectionBusy();
  } else {
    mContext.connectionIdle();
  }
}

}
