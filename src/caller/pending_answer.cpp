#include "radishroad/caller/pending_answer.h"

#include "radishroad/caller/answer_queue.h"

namespace radishroad {

PendingAnswer::PendingAnswer(std::shared_ptr<AnswerQueue> aAnswerQueue,
                             std::weak_ptr<CallerConnection> aConnection,
                             std::uint64_t aSequence,
                             RandomId aId)
  : mAnswerQueue(std::move(aAnswerQueue))
  , mConnection(std::move(aConnection))
  , mSequence(aSequence)
  , mId(aId)
{
}

PendingAnswer::~PendingAnswer()
{
  answer(makeUnknownAnswer(mId));
}

void
PendingAnswer::answer(Answer aAnswer)
{
  if (mAnswered.exchange(true)) {
    return;
  }
  mAnswerQueue->push(
    { std::move(mConnection), mSequence, std::move(aAnswer), {} });
}

}
