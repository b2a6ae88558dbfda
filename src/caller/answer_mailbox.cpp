#include "radishroad/caller/answer_mailbox.h"

#include <utility>

namespace radishroad {

void
AnswerMailbox::bind(Pistache::Polling::Epoll& aPoller)
{
  mWakeUp.bind(aPoller);
}

Pistache::Polling::Tag
AnswerMailbox::tag() const
{
  return mWakeUp.tag();
}

void
AnswerMailbox::post(PostedAnswer aAnswer)
{
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

std::vector<PostedAnswer>
AnswerMailbox::take()
{
  mWakeUp.tryRead();
  std::lock_guard<std::mutex> lock(mMutex);
  return std::exchange(mAnswers, {});
}

}
