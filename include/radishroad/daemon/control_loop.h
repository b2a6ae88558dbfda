#ifndef RADISHROAD_DAEMON_CONTROL_LOOP_H
#define RADISHROAD_DAEMON_CONTROL_LOOP_H

#include "radishroad/base/bounded_queue.h"
#include "radishroad/base/millis.h"

#include <atomic>
#include <functional>
#include <thread>

namespace radishroad {

/// The control thread: runs posted tasks in order, and a periodic tick that
/// sets its own interval. Replicated state is accessed on this thread only.
class ControlLoop
{
public:
  using Task = std::function<void()>;
  /// Runs one tick and returns the time until the next one.
  using TickFn = std::function<Millis()>;

  explicit ControlLoop(std::size_t aCapacity);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void start(TickFn aTick);
  /// Blocks while the queue is full. Returns false once the loop has been
  /// stopped.
  bool post(Task aTask);
  /// Drops the task if the queue is full. For tasks that are repeated anyway.
  bool tryPost(Task aTask);
  /// Makes the next tick follow at once. To be called from a task only.
  void scheduleImmediateTick();
  void stop();

private:
  void run();

  BoundedQueue<Task> mTasks;
  TickFn mTick;
  /// Accessed on the loop's thread only.
  Millis mNextTick;
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

}

#endif
