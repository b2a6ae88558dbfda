#ifndef RADISHROAD_TOOLS_COMMON_TIMERS_H
#define RADISHROAD_TOOLS_COMMON_TIMERS_H

#include "radishroad/base/millis.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>

namespace radishroad::tools {

/// Runs functions after a delay, all on one thread of its own.
class Timers
{
public:
  Timers();
  ~Timers();
  Timers(const Timers&) = delete;
  Timers& operator=(const Timers&) = delete;

  /// Any thread. With a delay of 0 the function runs as soon as it can.
  void after(Millis aDelay, std::function<void()> aFunction);

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::thread mThread;
};

}

#endif
