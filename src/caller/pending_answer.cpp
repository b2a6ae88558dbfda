#include "radishroad/caller/pending_answer.h"

#include "radishroad/caller/answer_mailbox.h"

namespace radishroad {

PendingAnswer::PendingAnswer(std::shared_ptr<AnswerMailbox> aMailbox,
                             std::weak_ptr<CallerConnection> aConnection,
                             std::uint64_t aSequence,
                             RandomId aId)
  : mMailbox(std::move(aMailbox))
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
  mMailbox->post({ std::move(mConnection), mSequence, std::move(aAnswer) });
}

}
