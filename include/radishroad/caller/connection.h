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

class AnswerMailbox;
class ServerContext;

/// One caller's connection. Requests that may overlap run beside each other;
/// the others wait until all before them are answered. Answers are written in
/// the order of the requests, each only to the request that it belongs to.
/// Lives on one transport thread; only its weak pointer goes to other threads.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  /// Asks for (true) or gives up (false) a call of onWritable.
  using WantWriteFn = std::function<void(bool)>;

  /// Borrows the socket, which outlives the connection's last call.
  CallerConnection(int aSocket,
                   ServerContext& aContext,
                   std::shared_ptr<AnswerMailbox> aMailbox,
                   WantWriteFn aWantWrite);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void onBytes(std::string_view aBytes, Millis aNow);
  void onAnswer(std::uint64_t aSequence, Answer aAnswer, Millis aNow);
  void onWritable(Millis aNow);
  /// The caller has closed: the requests that run are cancelled.
  void onGone();
  /// Checks the time limits. Call every now and then.
  void onTick(Millis aNow);

private:
  enum class Output
  {
    None,
    /// Some of a response is still to be written.
    Pending,
    /// The last response is out and the sending side is shut.
    Ended,
  };

  /// A request from when it was read until its answer is written.
  struct Entry
  {
    RequestReader::Outcome mOutcome;
    bool mStarted = false;
    /// Cancels the request while it runs; may be empty.
    CancelFn mCancel;
    std::optional<Answer> mAnswer;
  };

  void readRequests(Millis aNow);
  /// There is room for one more request in the queue.
  bool canQueue() const;
  void boundHeldInput();
  /// Starts what may run now, and writes the front's answer if it is there.
  void runNext(Millis aNow);
  void startRequests();
  void start(Entry& aEntry, std::uint64_t aSequence);
  void writeFront(Millis aNow);
  /// Cancels all that runs.
  void cancelRuns();
  bool isLastAnswer(const ReadRequest& aFront) const;
  void write(Response aResponse, bool aIsLast, Millis aNow);
  void flush(Millis aNow);
  void finishOutput(Millis aNow);
  void sendContinue();
  void endSending(Millis aNow);
  void abort();
  bool isBusy() const;
  void noteBusy();
  bool hasTimedOut(Millis aNow) const;
  void refuseSlowCaller(Millis aNow);

  const int mSocket;
  ServerContext& mContext;
  const std::shared_ptr<AnswerMailbox> mMailbox;
  const WantWriteFn mWantWrite;

  ResponseSender mSender;
  RequestReader mReader;
  std::deque<Entry> mQueue;
  /// Bodies of the requests in the queue that have not been started.
  std::size_t mQueuedBytes = 0;
  /// Number of the request at the front of the queue.
  std::uint64_t mSequence = 0;
  /// What still comes in is thrown away.
  bool mDiscardInput = false;

  Output mOutput = Output::None;
  bool mIsLastResponse = false;

  bool mCountedBusy = false;
  RequestReader::Phase mLastPhase = RequestReader::Phase::Idle;
  /// When the present phase of reading began, or the output last moved on.
  Millis mPhaseSince;
  Millis mOutputSince;
};

}

#endif
