#include "radishroad/daemon/control_loop.h"

#include <algorithm>
#include <chrono>

namespace radishroad {

namespace {

/// Pause of a producer that finds the ring full.
constexpr std::chrono::milliseconds kFullPause{ 1 };

}

ControlLoop::ControlLoop(std::size_t aCapacity, Millis aTickInterval)
  : mTasks(aCapacity)
  , mTickInterval(aTickInterval)
{
}

ControlLoop::~ControlLoop()
{
  stop();
}

void
ControlLoop::start(Task aTick)
{
  mTick = std::move(aTick);
  mThread = std::thread([this] { run(); });
}

bool
ControlLoop::post(Task aTask)
{
  while (!mStopped) {
    // NOLINTNEXTLINE(bugprone-use-after-move): a refused task stays whole
    if (mTasks.tryPush(std::move(aTask))) {
      return true;
    }
    std::this_thread::sleep_for(kFullPause);
  }
  return false;
}

bool
ControlLoop::tryPost(Task aTask)
{
  return mTasks.tryPush(std::move(aTask));
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
  Millis nextTick = monotonicNow();
  while (!mStopped) {
    const Millis now = monotonicNow();
    if (now >= nextTick) {
      mTick();
      nextTick = now + mTickInterval;
      continue;
    }
    std::optional<Task> task = mTasks.pop(nextTick - now);
    if (task) {
      (*task)();
    }
  }
}

}
