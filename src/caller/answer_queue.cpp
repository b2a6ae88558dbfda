#include "radishroad/caller/answer_queue.h"

#include <utility>

namespace radishroad {

AnswerQueue::AnswerQueue(std::shared_ptr<BodyMemory> aMemory)
  : mMemory(std::move(aMemory))
{
}

void
AnswerQueue::bind(Pistache::Polling::Epoll& aPoller)
{
  mWakeUp.bind(aPoller);
}

Pistache::Polling::Tag
AnswerQueue::tag() const
{
  return mWakeUp.tag();
}

void
AnswerQueue::push(QueuedAnswer aAnswer)
{
  aAnswer.mBodyShare = BodyShare(mMemory);
  aAnswer.mBodyShare.resize(aAnswer.mAnswer.body.size());
  bool first = false;
  {
    std::lock_guard<std::mutex> lock(mMutex);
    first = mAnswers.empty();
    mAnswers.push_back(std::move(aAnswer));
  }
  if (first) {
    mWakeUp.notify();
  }
}

std::vector<QueuedAnswer>
AnswerQueue::popAll()
{
  mWakeUp.tryRead();
  std::lock_guard<std::mutex> lock(mMutex);
  return std::exchange(mAnswers, {});
}

}
