#ifndef RADISHROAD_TOOLS_COMMON_TIMERS_H
#define RADISHROAD_TOOLS_COMMON_TIMERS_H

#include "radishroad/base/millis.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>

namespace radishroad::tools {

/// Runs functions after a delay, all on one dedicated thread.
class Timers
{
public:
  Timers();
  ~Timers();
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;

  /// Thread-safe. With a delay of 0 the function runs as soon as possible.
  void after(Millis aDelay, std::function<void()> aFunction);

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWorkGuard;
  std::thread mThread;
};

}

#endif
