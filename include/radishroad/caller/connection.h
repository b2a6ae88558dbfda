#ifndef RADISHROAD_CALLER_CONNECTION_H
#define RADISHROAD_CALLER_CONNECTION_H

#include "radishroad/caller/request_reader.h"
#include "radishroad/caller/response_sender.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace radishroad {

class AnswerQueue;
class ServerContext;

/// One connection from a caller. Requests that may run concurrently do so; any
/// other request waits until all requests before it are answered. Answers are
/// written in the order of the requests. Must be used on one transport thread
/// only; other threads hold no more than a weak pointer to it.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  /// Enables (true) or disables (false) calls of onWritable.
  using WriteInterestFn = std::function<void(bool)>;

  /// Does not own the socket, which must stay open until the last call.
  CallerConnection(int aSocket,
                   ServerContext& aContext,
                   std::shared_ptr<AnswerQueue> aAnswerQueue,
                   WriteInterestFn aSetWriteInterest);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void onData(std::string_view aBytes, Millis aNow);
  void onAnswer(std::uint64_t aSequence,
                Answer aAnswer,
                BodyShare aBodyShare,
                Millis aNow);
  /// The streamed body of this answer has more bytes, or has ended.
  void onBodyReady(std::uint64_t aSequence, Millis aNow);
  void onWritable(Millis aNow);
  /// The caller has closed the connection: cancels the running requests.
  void onClosed();
  /// Checks the timeouts. Call periodically.
  void onTick(Millis aNow);

private:
  enum class OutputState
  {
    None,
    /// A response is partly or entirely unsent.
    Pending,
    /// The last response is sent and the sending side is shut down.
    Ended,
  };

  /// A request that was read and whose answer is not yet written.
  struct PipelinedRequest
  {
    RequestReader::ReadResult mReadResult;
    bool mStarted = false;
    /// No request behind this one may run.
    bool mMayEndConnection = false;
    /// Cancels the running request; may be empty.
    CancelFn mCancel;
    std::optional<Answer> mAnswer;
    BodyShare mAnswerShare;
  };

  void readRequests(Millis aNow);
  /// Whether the queue has room for one more request.
  bool canQueue() const;
  void limitBufferedInput();
  /// Starts the requests that may run now, and writes the answer of the first
  /// request if it is available.
  void processQueue(Millis aNow);
  void startRequests();
  void start(PipelinedRequest& aEntry, std::uint64_t aSequence);
  void writeFrontAnswer(Millis aNow);
  void cancelRunningRequests();
  /// The queued requests will not be answered: none of them starts any more.
  void dropQueue();
  bool isLastAnswer(const ParsedRequest& aFront) const;
  void write(Response aResponse, bool aIsLast, Millis aNow);
  void flush(Millis aNow);
  void finishOutput(Millis aNow);
  enum class NextPart
  {
    /// The next part of the streamed body was passed to the sender.
    Started,
    /// The streamed body has no bytes yet.
    Awaited,
    /// The body, streamed or not, was sent completely.
    None,
    /// The rest of the streamed body is lost.
    Lost,
  };
  NextPart startNextPart();
  void sendContinue();
  void shutDownOutput(Millis aNow);
  /// Whether closing the socket resets the connection.
  void setResetOnClose(bool aReset);
  void abort();
  bool isBusy() const;
  void updateBusyCount();
  bool hasTimedOut(Millis aNow) const;
  void refuseTimedOutRequest(Millis aNow);

  const int mSocket;
  ServerContext& mContext;
  const std::shared_ptr<AnswerQueue> mAnswerQueue;
  const WriteInterestFn mSetWriteInterest;

  ResponseSender mSender;
  RequestReader mReader;
  std::deque<PipelinedRequest> mQueue;
  /// Total body size of the queued requests that have not been started.
  std::size_t mQueuedBodyBytes = 0;
  /// Sequence number of the request at the front of the queue.
  std::uint64_t mFrontSequence = 0;
  /// Further input is discarded.
  bool mDiscardInput = false;

  OutputState mOutputState = OutputState::None;
  /// Rest of the body of the response that is pending; null if none is
  /// streamed.
  std::shared_ptr<BodyStream> mStream;
  std::uint64_t mStreamSequence = 0;
  /// A streamed body was aborted: its connection must not end in order.
  bool mIsBrokenOff = false;
  bool mIsLastResponse = false;
  bool mResetsOnClose = false;

  bool mCountedBusy = false;
  std::uint64_t mBusyGeneration = 0;
  RequestReader::Phase mLastPhase = RequestReader::Phase::Idle;
  /// When the current phase of reading began.
  Millis mPhaseStartedAt;
  /// When the output last made progress or was shut down.
  Millis mOutputProgressAt;
};

}

#endif
