#ifndef RADISHROAD_CALLER_PENDING_ANSWER_H
#define RADISHROAD_CALLER_PENDING_ANSWER_H

#include "radishroad/request/request.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace radishroad {

class AnswerQueue;
class CallerConnection;

/// Delivers the answer of one request to its connection. Thread-safe. Only the
/// first answer is delivered. If there is none, the destructor answers
/// "unknown", so that the caller does not wait forever.
class PendingAnswer
{
public:
  PendingAnswer(std::shared_ptr<AnswerQueue> aAnswerQueue,
                std::weak_ptr<CallerConnection> aConnection,
                std::uint64_t aSequence,
                RandomId aId);
  ~PendingAnswer();
  PendingAnswer(const PendingAnswer&) = delete;
  PendingAnswer& operator=(const PendingAnswer&) = delete;

  void answer(Answer aAnswer);

private:
  const std::shared_ptr<AnswerQueue> mAnswerQueue;
  std::weak_ptr<CallerConnection> mConnection;
  const std::uint64_t mSequence;
  const RandomId mId;
  std::atomic<bool> mAnswered{ false };
};

}

#endif
