#ifndef RADISHROAD_DAEMON_CONTROL_LOOP_H
#define RADISHROAD_DAEMON_CONTROL_LOOP_H

#include "radishroad/base/bounded_queue.h"
#include "radishroad/base/millis.h"

#include <atomic>
#include <functional>
#include <thread>

namespace radishroad {

/// The control thread: runs posted tasks in order and a tick at a fixed
/// interval. All agreed state is touched on this thread alone.
class ControlLoop
{
public:
  using Task = std::function<void()>;
  /// One tick; returns the time until the next.
  using TickFn = std::function<Millis()>;

  explicit ControlLoop(std::size_t aCapacity);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void start(TickFn aTick);
  /// Waits while the ring is full. False once the loop has been stopped.
  bool post(Task aTask);
  /// Drops the task if the ring is full; for what is repeated anyway.
  bool tryPost(Task aTask);
  /// From a task: the next tick follows at once, for what cannot wait.
  void tickSoon();
  void stop();

private:
  void run();

  BoundedQueue<Task> mTasks;
  TickFn mTick;
  /// Belongs to the loop's thread.
  Millis mNextTick;
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

}

#endif
