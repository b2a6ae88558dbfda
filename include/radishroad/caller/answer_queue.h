#ifndef RADISHROAD_CALLER_ANSWER_QUEUE_H
#define RADISHROAD_CALLER_ANSWER_QUEUE_H

#include "radishroad/request/request.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <pistache/os.h>
#include <vector>

namespace radishroad {

class CallerConnection;

/// An answer queued for the thread that serves its connection.
struct QueuedAnswer
{
  std::weak_ptr<CallerConnection> mConnection;
  /// Sequence number of the answered request on its connection.
  std::uint64_t mSequence = 0;
  Answer mAnswer;
  /// Counts the answer's body; set by push().
  BodyShare mBodyShare;
  /// No answer, but the streamed body of one that was delivered has more bytes
  /// or has ended.
  bool mIsBodyReady = false;
};

/// Thread-safe queue that passes answers from any thread to the thread of one
/// transport. It holds at most one answer for each running request.
///
/// Pistache's PollableQueue is not used because it clears its wake-up
/// notification after finding the queue empty: an item pushed in between stays
/// in the queue until the next push.
class AnswerQueue
{
public:
  /// The bodies are counted in aMemory, which may be null.
  explicit AnswerQueue(std::shared_ptr<BodyMemory> aMemory);

  /// Registers the wake-up notification with the transport's poller. Call once,
  /// before the first push.
  void bind(Pistache::Polling::Epoll& aPoller);
  Pistache::Polling::Tag tag() const;

  void push(QueuedAnswer aAnswer);
  /// Removes and returns all queued answers. Call only on the transport's
  /// thread.
  std::vector<QueuedAnswer> popAll();

private:
  const std::shared_ptr<BodyMemory> mMemory;
  Pistache::NotifyFd mWakeUp;
  std::mutex mMutex;
  std::vector<QueuedAnswer> mAnswers;
};

}

#endif
