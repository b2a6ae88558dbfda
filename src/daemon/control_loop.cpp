#include "radishroad/daemon/control_loop.h"

#include <algorithm>
#include <chrono>

namespace radishroad {

namespace {

/// Time between two attempts to push a task into a full queue.
constexpr std::chrono::milliseconds kFullQueueRetryInterval{ 1 };

}

ControlLoop::ControlLoop(std::size_t aCapacity)
  : mTasks(aCapacity)
{
}

ControlLoop::~ControlLoop()
{
  stop();
}

void
ControlLoop::start(TickFn aTick)
{
  mTick = std::move(aTick);
  mThread = std::thread([this] { run(); });
}

bool
ControlLoop::post(Task aTask)
{
  while (!mStopped) {
    // NOLINTNEXTLINE(bugprone-use-after-move): a failed push moves nothing
    if (mTasks.tryPush(std::move(aTask))) {
      return true;
    }
    std::this_thread::sleep_for(kFullQueueRetryInterval);
  }
  return false;
}

bool
ControlLoop::tryPost(Task aTask)
{
  return mTasks.tryPush(std::move(aTask));
}

void
ControlLoop::scheduleImmediateTick()
{
  mNextTick = {};
}

void
ControlLoop::stop()
{
  mStopped = true;
  mTasks.close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
ControlLoop::run()
{
  while (!mStopped) {
    const Millis now = monotonicNow();
    if (now >= mNextTick) {
      mNextTick = now + mTick();
      continue;
    }
    std::optional<Task> task = mTasks.pop(mNextTick - now);
    if (task) {
      (*task)();
    }
  }
}

}
