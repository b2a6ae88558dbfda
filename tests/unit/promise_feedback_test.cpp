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
  BOOST_TEST(feedback.shouldPromise({ kLabel, 0_ms, 0_ms }));
  for (int n = 1; n < 20; ++n) {
    BOOST_TEST(feedback.shouldPromise({ kLabel, 250_ms * n, 250_ms * n }));
  }
}

BOOST_AUTO_TEST_CASE(one_lost_promise_is_borne)
{
  PromiseFeedback feedback;
  BOOST_TEST(feedback.shouldPromise({ kLabel, 0_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLabel, 250_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLabel, 500_ms, 250_ms }));
}

BOOST_AUTO_TEST_CASE(
  promises_that_do_not_arrive_are_held_back_until_one_answer_does)
{
  PromiseFeedback feedback;
  BOOST_TEST(feedback.shouldPromise({ kLabel, 0_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLabel, 250_ms, 0_ms }));
  BOOST_TEST(!feedback.shouldPromise({ kLabel, 500_ms, 0_ms }));
  BOOST_TEST(!feedback.shouldPromise({ kLabel, 60_s, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLabel, 60'250_ms, 60_s }));
}

BOOST_AUTO_TEST_CASE(labels_are_apart)
{
  PromiseFeedback feedback;
  const LeaseLabel other{ 7, 2 };
  BOOST_TEST(feedback.shouldPromise({ kLabel, 0_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLabel, 250_ms, 0_ms }));
  BOOST_TEST(!feedback.shouldPromise({ kLabel, 500_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ other, 500_ms, 0_ms }));
  feedback.forgetIf([](LeaseLabel aLabel) { return aLabel == kLabel; });
  BOOST_TEST(feedback.shouldPromise({ kLabel, 750_ms, 0_ms }));
}

BOOST_AUTO_TEST_SUITE_END()
