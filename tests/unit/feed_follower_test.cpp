#include "radishroad/log/feed_follower.h"

#include "radishroad/base/bounded_queue.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(feed_follower)

// All daemons restart at one moment; a peer passes on a state that builds on
// one that this daemon has not read.
BOOST_AUTO_TEST_CASE(a_poll_that_is_asked_for_does_not_wait_for_the_interval)
{
  BoundedQueue<int> polls(16);
  FeedFollower::Hooks hooks;
  hooks.mPoll = [&polls]() -> Result<void> {
    polls.tryPush(1);
    return {};
  };
  hooks.mOnError = [](const Error&) {};
  hooks.mAbort = [] {};
  hooks.mInterval = 600_s;
  FeedFollower follower(std::move(hooks), [] { return 0.5; });
  follower.start();
  BOOST_REQUIRE(polls.pop(30_s).has_value());
  follower.pollSoon();
  BOOST_TEST(polls.pop(30_s).has_value());
  follower.stop();
}

BOOST_AUTO_TEST_SUITE_END()
