#include "common/timer_fd.h"

#include <boost/test/unit_test.hpp>
#include <poll.h>

namespace radishroad::test {

namespace {

using Clock = std::chrono::steady_clock;

bool
becomesReadable(const tools::TimerFd& aTimer, int aTimeoutMs)
{
  pollfd entry{ aTimer.descriptor(), POLLIN, 0 };
  return ::poll(&entry, 1, aTimeoutMs) == 1;
}

}

BOOST_AUTO_TEST_SUITE(timer_fd)

BOOST_AUTO_TEST_CASE(fires_at_the_armed_time_and_not_before)
{
  constexpr std::chrono::microseconds kDelay(1500);
  constexpr int kLongMs = 10000;
  tools::TimerFd timer;
  const Clock::time_point at = Clock::now() + kDelay;
  timer.arm(at);
  BOOST_TEST(becomesReadable(timer, kLongMs));
  BOOST_TEST((Clock::now() >= at));
}

BOOST_AUTO_TEST_CASE(past_time_fires_at_once_and_later_time_replaces_it)
{
  tools::TimerFd timer;
  timer.arm(Clock::now() - std::chrono::seconds(1));
  BOOST_TEST(becomesReadable(timer, 0));
  timer.arm(Clock::now() + std::chrono::hours(1));
  BOOST_TEST(!becomesReadable(timer, 0));
  timer.arm(Clock::now() - std::chrono::seconds(1));
  timer.disarm();
  BOOST_TEST(!becomesReadable(timer, 0));
}

BOOST_AUTO_TEST_SUITE_END()

}
