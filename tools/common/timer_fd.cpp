#include "common/timer_fd.h"

#include <cerrno>
#include <cstdint>
#include <sys/timerfd.h>
#include <system_error>
#include <unistd.h>

namespace radishroad::tools {

TimerFd::TimerFd()
  : mDescriptor(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
  if (mDescriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "timerfd_create");
  }
}

TimerFd::~TimerFd()
{
  ::close(mDescriptor);
}

int
TimerFd::descriptor() const
{
  return mDescriptor;
}

void
TimerFd::arm(std::chrono::steady_clock::time_point aAt)
{
  constexpr std::int64_t kNanosecondsInSecond = 1'000'000'000;
  // steady_clock is CLOCK_MONOTONIC.
  const std::int64_t at =
    std::chrono::nanoseconds(aAt.time_since_epoch()).count();
  itimerspec setting{};
  setting.it_value.tv_sec = at / kNanosecondsInSecond;
  setting.it_value.tv_nsec = at % kNanosecondsInSecond;
  ::timerfd_settime(mDescriptor, TFD_TIMER_ABSTIME, &setting, nullptr);
}

void
TimerFd::disarm()
{
  const itimerspec off{};
  ::timerfd_settime(mDescriptor, 0, &off, nullptr);
}

}
