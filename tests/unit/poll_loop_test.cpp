#include "radishroad/log/poll_loop.h"

#include "radishroad/base/bounded_queue.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(poll_loop)

// When all daemons restart together, a peer may relay a state that builds on
// one that this daemon has not read yet. The requested poll must then read the
// missing state without waiting for the interval.
BOOST_AUTO_TEST_CASE(requested_poll_does_not_wait_for_the_interval)
{
  BoundedQueue<int> polls(16);
  PollLoop::Hooks hooks;
  hooks.mPoll = [&polls]() -> Result<void> {
    polls.tryPush(1);
    return {};
  };
  hooks.mOnError = [](const Error&) {};
  hooks.mAbort = [] {};
  hooks.mInterval = 600_s;
  PollLoop loop(std::move(hooks), [] { return 0.5; });
  loop.start();
  BOOST_REQUIRE(polls.pop(30_s).has_value());
  loop.requestPoll();
  BOOST_TEST(polls.pop(30_s).has_value());
  loop.stop();
}

BOOST_AUTO_TEST_SUITE_END()
