#ifndef RADISHROAD_CALLER_ANSWER_MAILBOX_H
#define RADISHROAD_CALLER_ANSWER_MAILBOX_H

#include "radishroad/request/request.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <pistache/os.h>
#include <vector>

namespace radishroad {

class CallerConnection;

/// An answer on its way to the thread of its connection.
struct PostedAnswer
{
  std::weak_ptr<CallerConnection> mConnection;
  /// Which of the connection's requests it answers.
  std::uint64_t mSequence = 0;
  Answer mAnswer;
};

/// Hands answers from any thread to one transport's thread. Holds at most one
/// for each connection. Pistache's own PollableQueue is not used: it clears
/// its wake-up after it has found the queue empty, so an item pushed in
/// between stays until the next one.
class AnswerMailbox
{
public:
  /// Registers the wake-up with the transport's poller. Call once, before
  /// the first post.
  void bind(Pistache::Polling::Epoll& aPoller);
  Pistache::Polling::Tag tag() const;

  void post(PostedAnswer aAnswer);
  /// Everything posted so far. The transport's thread only.
  std::vector<PostedAnswer> take();

private:
  Pistache::NotifyFd mWakeUp;
  std::mutex mMutex;
  std::vector<PostedAnswer> mAnswers;
};

}

#endif
