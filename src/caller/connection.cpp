#include "radishroad/caller/connection.h"

#include "radishroad/base/json_log.h"
#include "radishroad/caller/answer_mailbox.h"
#include "radishroad/caller/pending_answer.h"
#include "radishroad/caller/server_context.h"

#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <utility>

namespace radishroad {

namespace {

/// Requests of one connection that wait or run.
constexpr std::size_t kMaxPipelined = 16;
/// Requests of one connection that run beside each other.
constexpr std::size_t kMaxRunning = 8;
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
    mQueue.push_back({ std::move(*outcome), false, {}, {} });
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
  startRequests();
  if (mOutput == Output::None) {
    writeFront(aNow);
  }
}

void
CallerConnection::startRequests()
{
  for (std::size_t n = 0; n < mQueue.size() && n < kMaxRunning; ++n) {
    Entry& entry = mQueue[n];
    if (entry.mStarted) {
      continue;
    }
    // A caller sends what stands behind a last answer again, so that only what
    // may run more than once is started before the answers ahead of it.
    const bool mayStart =
      entry.mOutcome &&
      (n == 0 || (mContext.mOptions.mMayOverlap &&
                  mContext.mOptions.mMayOverlap(entry.mOutcome->mRequest)));
    if (!mayStart) {
      return;
    }
    start(entry, mSequence + n);
  }
}

void
CallerConnection::start(Entry& aEntry, std::uint64_t aSequence)
{
  aEntry.mStarted = true;
  ReadRequest& read = *aEntry.mOutcome;
  const RandomId id = read.mRequest.mId;
  const std::shared_ptr<PendingAnswer> pending =
    std::make_shared<PendingAnswer>(mMailbox, weak_from_this(), aSequence, id);
  CallerRequest request = std::move(read.mRequest);
  // Kept for the answer.
  read.mRequest.mId = id;
  read.mRequest.mReceivedAt = request.mReceivedAt;
  mQueuedBytes -= request.mBody.size();
  try {
    aEntry.mCancel =
      mContext.mHandler(std::move(request), [pending](Answer aAnswer) {
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
  // Below the front's number it wraps around, and is no place in the queue.
  const std::uint64_t place = aSequence - mSequence;
  if (place >= mQueue.size() || !mQueue[place].mStarted ||
      mQueue[place].mAnswer) {
    return;
  }
  Entry& entry = mQueue[place];
  entry.mAnswer = std::move(aAnswer);
  entry.mCancel = nullptr;
  runNext(aNow);
  noteBusy();
}

void
CallerConnection::writeFront(Millis aNow)
{
  if (mQueue.empty()) {
    return;
  }
  if (!mQueue.front().mOutcome) {
    const Refusal& refusal = mQueue.front().mOutcome.error();
    mContext.mMetrics.count("radishroad_caller_refused_total{reason=\"" +
                            refusal.mReason + "\"}");
    write(makeRefusal(refusal, makeRandomId(), false), true, aNow);
    return;
  }
  if (!mQueue.front().mAnswer) {
    return;
  }
  Entry entry = std::move(mQueue.front());
  mQueue.pop_front();
  ++mSequence;
  const ReadRequest& read = *entry.mOutcome;
  const std::string outcome(outcomeName(entry.mAnswer->kind));
  mContext.mMetrics.count("radishroad_caller_requests_total{outcome=\"" +
                          outcome + "\"}");
  mContext.mMetrics.observe("radishroad_caller_latency_seconds",
                            aNow - read.mRequest.mReceivedAt);
  const bool isLast = isLastAnswer(read);
  write(makeResponse(std::move(*entry.mAnswer),
                     read.mRequest.mId,
                     { .mKeepAlive = !isLast,
                       .mIsHead = read.mIsHead,
                       .mExactRetryAfter = mContext.mOptions.mExactRetryAfter,
                       .mPlainStatuses = mContext.mOptions.mPlainStatuses }),
        isLast,
        aNow);
}

void
CallerConnection::onGone()
{
  cancelRuns();
}

void
CallerConnection::cancelRuns()
{
  for (Entry& entry : mQueue) {
    const CancelFn cancel = std::exchange(entry.mCancel, nullptr);
    if (cancel) {
      mContext.mMetrics.count("radishroad_caller_hang_ups_total");
      cancel();
    }
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
  return !mQueue.empty() || mOutput == Output::Pending ||
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
