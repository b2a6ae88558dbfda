#include "radishroad/ownership/promise_feedback.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr LeaseLabel kLabel{ 7, 1 };

}

BOOST_AUTO_TEST_SUITE(promise_feedback)

BOOST_AUTO_TEST_CASE(promises_that_arrive_go_on)
{
  PromiseFeedback feedback;
  BOOST_TEST(feedback.shouldPromise(kLabel, 0_ms, 0_ms));
  for (int n = 1; n < 20; ++n) {
    BOOST_TEST(feedback.shouldPromise(kLabel, 250_ms * n, 250_ms * n));
  }
}

BOOST_AUTO_TEST_CASE(one_lost_promise_is_borne)
{
  PromiseFeedback feedback;
  BOOST_TEST(feedback.shouldPromise(kLabel, 0_ms, 0_ms));
  BOOST_TEST(feedback.shouldPromise(kLabel, 0_ms, 250_ms));
  BOOST_TEST(feedback.shouldPromise(kLabel, 250_ms, 500_ms));
}

BOOST_AUTO_TEST_CASE(promises_that_do_not_arrive_are_held_back_for_a_time)
{
  PromiseFeedback feedback;
  BOOST_TEST(feedback.shouldPromise(kLabel, 0_ms, 0_ms));
  BOOST_TEST(feedback.shouldPromise(kLabel, 0_ms, 250_ms));
  BOOST_TEST(!feedback.shouldPromise(kLabel, 0_ms, 500_ms));
  BOOST_TEST(!feedback.shouldPromise(kLabel, 0_ms, 3499_ms));
  BOOST_TEST(feedback.shouldPromise(kLabel, 0_ms, 3500_ms));
  BOOST_TEST(feedback.shouldPromise(kLabel, 3500_ms, 3750_ms));
}

BOOST_AUTO_TEST_CASE(labels_are_apart)
{
  PromiseFeedback feedback;
  const LeaseLabel other{ 7, 2 };
  BOOST_TEST(feedback.shouldPromise(kLabel, 0_ms, 0_ms));
  BOOST_TEST(feedback.shouldPromise(kLabel, 0_ms, 250_ms));
  BOOST_TEST(!feedback.shouldPromise(kLabel, 0_ms, 500_ms));
  BOOST_TEST(feedback.shouldPromise(other, 0_ms, 500_ms));
  feedback.forgetExcept([&](LeaseLabel aLabel) { return aLabel == other; });
  BOOST_TEST(feedback.shouldPromise(kLabel, 0_ms, 750_ms));
}

BOOST_AUTO_TEST_SUITE_END()
