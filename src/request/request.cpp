#include "radishroad/request/request.h"

namespace radishroad {

namespace {

Answer
makeAnswer(RandomId aId, AnswerKind aKind)
{
  Answer answer;
  answer.id_high = aId.mHigh;
  answer.id_low = aId.mLow;
  answer.kind = aKind;
  return answer;
}

}

Answer
makeNotRunAnswer(RandomId aId, NotRunReason aReason, Millis aRetryAfter)
{
  Answer answer = makeAnswer(aId, AnswerKind::NotRun);
  answer.reason = aReason;
  answer.retry_after_ms = aRetryAfter.mCount;
  return answer;
}

Answer
makeUnknownAnswer(RandomId aId)
{
  return makeAnswer(aId, AnswerKind::Unknown);
}

RandomId
idOf(const ForwardRequest& aRequest)
{
  return { aRequest.id_high, aRequest.id_low };
}

RandomId
idOf(const Answer& aAnswer)
{
  return { aAnswer.id_high, aAnswer.id_low };
}

}
