#include "radishroad/caller/connection.h"

#include "radishroad/base/json_log.h"
#include "radishroad/caller/answer_queue.h"
#include "radishroad/caller/pending_answer.h"
#include "radishroad/caller/server_context.h"

#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <utility>

namespace radishroad {

namespace {

/// Maximum number of waiting and running requests of one connection.
constexpr std::size_t kMaxPipelinedRequests = 16;
/// Maximum number of concurrently running requests of one connection.
constexpr std::size_t kMaxConcurrentRequests = 8;
/// No further requests are parsed once the bodies of queued requests reach this
/// total size.
constexpr std::size_t kMaxQueuedBodyBytes = 1U << 20;
/// If more unparsed input than this is buffered while the queue is full, it and
/// all further input are discarded.
constexpr std::size_t kMaxBufferedInputBytes = 256U << 10;

}

CallerConnection::CallerConnection(int aSocket,
                                   ServerContext& aContext,
                                   std::shared_ptr<AnswerQueue> aAnswerQueue,
                                   WriteInterestFn aSetWriteInterest)
  : mSocket(aSocket)
  , mContext(aContext)
  , mAnswerQueue(std::move(aAnswerQueue))
  , mSetWriteInterest(std::move(aSetWriteInterest))
  , mSender(aSocket)
  , mReader({ aContext.mOptions.mMaxHeaderBytes,
              aContext.mOptions.mMaxBodyBytes,
              aContext.mOptions.mBodyMemory })
  , mPhaseStartedAt(monotonicNow())
{
  mContext.connectionOpened();
}

CallerConnection::~CallerConnection()
{
  if (mCountedBusy) {
    mContext.connectionIdle(mBusyGeneration);
  }
  mContext.connectionClosed();
}

void
CallerConnection::onData(std::string_view aBytes, Millis aNow)
{
  if (mDiscardInput) {
    return;
  }
  mReader.feed(aBytes);
  readRequests(aNow);
  // Before a request starts, so that a stop waits for it.
  updateBusyCount();
  processQueue(aNow);
  updateBusyCount();
}

void
CallerConnection::readRequests(Millis aNow)
{
  while (!mDiscardInput && canQueue()) {
    std::optional<RequestReader::ReadResult> result = mReader.next(aNow);
    if (!result) {
      break;
    }
    mDiscardInput = !*result || !(*result)->mKeepAlive;
    mQueuedBodyBytes += *result ? (*result)->mRequest.mBody.size() : 0;
    mQueue.push_back({ std::move(*result), false, false, {}, {}, {} });
    mPhaseStartedAt = aNow;
  }
  limitBufferedInput();
  const RequestReader::Phase phase = mReader.phase();
  if (phase != mLastPhase) {
    mPhaseStartedAt = aNow;
    mLastPhase = phase;
  }
  const bool isFirst = mQueue.empty() && mOutputState == OutputState::None;
  if (mReader.takeContinueWanted() && isFirst) {
    sendContinue();
  }
}

bool
CallerConnection::canQueue() const
{
  return mQueue.size() < kMaxPipelinedRequests &&
         mQueuedBodyBytes < kMaxQueuedBodyBytes;
}

void
CallerConnection::limitBufferedInput()
{
  if (!canQueue() && (mReader.bufferedBytes() > kMaxBufferedInputBytes ||
                      !mReader.reserveHeld())) {
    mDiscardInput = true;
  }
}

void
CallerConnection::processQueue(Millis aNow)
{
  startRequests();
  if (mOutputState == OutputState::None) {
    writeFrontAnswer(aNow);
  }
}

void
CallerConnection::startRequests()
{
  for (std::size_t n = 0; n < mQueue.size() && n < kMaxConcurrentRequests;
       ++n) {
    PipelinedRequest& entry = mQueue[n];
    if (n > 0 && mQueue[n - 1].mMayEndConnection) {
      return;
    }
    if (entry.mStarted) {
      continue;
    }
    // A caller resends requests that follow the last answer on a connection.
    // Hence only requests that may run more than once start before the requests
    // ahead of them are answered.
    const bool mayStart =
      entry.mReadResult &&
      (n == 0 ||
       (mContext.mOptions.mMayRunConcurrently &&
        mContext.mOptions.mMayRunConcurrently(entry.mReadResult->mRequest)));
    if (!mayStart) {
      return;
    }
    start(entry, mFrontSequence + n);
  }
}

void
CallerConnection::start(PipelinedRequest& aEntry, std::uint64_t aSequence)
{
  aEntry.mStarted = true;
  ParsedRequest& parsed = *aEntry.mReadResult;
  const RandomId id = parsed.mRequest.mId;
  const std::shared_ptr<PendingAnswer> pending =
    std::make_shared<PendingAnswer>(
      mAnswerQueue, weak_from_this(), aSequence, id);
  parsed.mRequest.mStartedAt = monotonicNow();
  aEntry.mMayEndConnection =
    mContext.mOptions.mMayEndConnection &&
    mContext.mOptions.mMayEndConnection(parsed.mRequest);
  CallerRequest request = std::move(parsed.mRequest);
  // The response needs these two fields after the request has been moved.
  parsed.mRequest.mId = id;
  parsed.mRequest.mReceivedAt = request.mReceivedAt;
  mQueuedBodyBytes -= request.mBody.size();
  try {
    aEntry.mCancel =
      mContext.mHandler(std::move(request), [pending](Answer aAnswer) {
        pending->answer(std::move(aAnswer));
      });
  } catch (const std::exception& error) {
    // The handler may have started the request, so the caller is answered
    // "unknown" by the destructor of PendingAnswer.
    logEvent(LogLevel::Error,
             "caller_handler_failed",
             { { "request_id", id.toString() }, { "error", error.what() } });
  }
}

void
CallerConnection::onAnswer(std::uint64_t aSequence,
                           Answer aAnswer,
                           BodyShare aBodyShare,
                           Millis aNow)
{
  // For a sequence number before the front, the difference wraps around to a
  // value beyond the queue's size.
  const std::uint64_t position = aSequence - mFrontSequence;
  if (position >= mQueue.size() || !mQueue[position].mStarted ||
      mQueue[position].mAnswer) {
    return;
  }
  PipelinedRequest& entry = mQueue[position];
  entry.mAnswer = std::move(aAnswer);
  entry.mAnswerShare = std::move(aBodyShare);
  entry.mCancel = nullptr;
  processQueue(aNow);
  updateBusyCount();
}

void
CallerConnection::writeFrontAnswer(Millis aNow)
{
  if (mQueue.empty()) {
    return;
  }
  if (!mQueue.front().mReadResult) {
    const Refusal& refusal = mQueue.front().mReadResult.error();
    mContext.mMetrics.count("radishroad_caller_refused_total{reason=\"" +
                            refusal.mReason + "\"}");
    write(makeRefusal(refusal, makeRandomId(), false), true, aNow);
    return;
  }
  if (!mQueue.front().mAnswer) {
    return;
  }
  PipelinedRequest entry = std::move(mQueue.front());
  mQueue.pop_front();
  ++mFrontSequence;
  const ParsedRequest& parsed = *entry.mReadResult;
  const std::string outcome(outcomeName(entry.mAnswer->kind));
  mContext.mMetrics.count("radishroad_caller_requests_total{outcome=\"" +
                          outcome + "\"}");
  mContext.mMetrics.observe("radishroad_caller_latency_seconds",
                            aNow - parsed.mRequest.mReceivedAt);
  const bool isLast =
    isLastAnswer(parsed) || endsConnection(*entry.mAnswer, parsed.mIsHead);
  Response response = makeResponse(
    std::move(*entry.mAnswer),
    parsed.mRequest.mId,
    { .mKeepAlive = !isLast,
      .mIsHead = parsed.mIsHead,
      .mFractionalRetryAfter = mContext.mOptions.mFractionalRetryAfter,
      .mRestrictStatuses = mContext.mOptions.mRestrictStatuses });
  response.mBodyShare = std::move(entry.mAnswerShare);
  write(std::move(response), isLast, aNow);
}

void
CallerConnection::onClosed()
{
  if (mStream) {
    mContext.mMetrics.count("radishroad_caller_hang_ups_total");
    mStream = nullptr;
  }
  for (const PipelinedRequest& entry : mQueue) {
    if (entry.mCancel) {
      mContext.mMetrics.count("radishroad_caller_hang_ups_total");
    }
  }
  cancelRunningRequests();
}

void
CallerConnection::cancelRunningRequests()
{
  for (PipelinedRequest& entry : mQueue) {
    const CancelFn cancel = std::exchange(entry.mCancel, nullptr);
    if (cancel) {
      cancel();
    }
  }
}

bool
CallerConnection::isLastAnswer(const ParsedRequest& aFront) const
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
  if (mOutputState == OutputState::Ended) {
    return false;
  }
  const RequestReader::Phase phase = mReader.phase();
  const bool reading =
    phase == RequestReader::Phase::Head || phase == RequestReader::Phase::Body;
  return !mQueue.empty() || mOutputState == OutputState::Pending ||
         (reading && !mDiscardInput);
}

void
CallerConnection::updateBusyCount()
{
  const bool busy = isBusy();
  if (busy == mCountedBusy) {
    return;
  }
  mCountedBusy = busy;
  if (busy) {
    mBusyGeneration = mContext.connectionBusy();
  } else {
    mContext.connectionIdle(mBusyGeneration);
  }
}

}
