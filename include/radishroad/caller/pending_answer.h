#ifndef RADISHROAD_CALLER_PENDING_ANSWER_H
#define RADISHROAD_CALLER_PENDING_ANSWER_H

#include "radishroad/request/request.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace radishroad {

class AnswerMailbox;
class CallerConnection;

/// The way back of one request's answer. Any thread. The first answer counts;
/// if none is given, the destructor answers "unknown", so that a caller never
/// waits for ever.
class PendingAnswer
{
public:
  PendingAnswer(std::shared_ptr<AnswerMailbox> aMailbox,
                std::weak_ptr<CallerConnection> aConnection,
                std::uint64_t aSequence,
                RandomId aId);
  ~PendingAnswer();
  PendingAnswer(const PendingAnswer&) = delete;
  PendingAnswer& operator=(const PendingAnswer&) = delete;

  void answer(Answer aAnswer);

private:
  const std::shared_ptr<AnswerMailbox> mMailbox;
  std::weak_ptr<CallerConnection> mConnection;
  const std::uint64_t mSequence;
  const RandomId mId;
  std::atomic<bool> mAnswered{ false };
};

}

#endif
