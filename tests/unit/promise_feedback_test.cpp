#include "radishroad/ownership/promise_feedback.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr LeaseId kLeaseId{ 7, 1 };

}

BOOST_AUTO_TEST_SUITE(promise_feedback)

BOOST_AUTO_TEST_CASE(promises_continue_while_answers_arrive)
{
  PromiseFeedback feedback;
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 0_ms, 0_ms }));
  for (int n = 1; n < 20; ++n) {
    BOOST_TEST(feedback.shouldPromise({ kLeaseId, 250_ms * n, 250_ms * n }));
  }
}

BOOST_AUTO_TEST_CASE(one_lost_promise_is_tolerated)
{
  PromiseFeedback feedback;
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 0_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 250_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 500_ms, 250_ms }));
}

BOOST_AUTO_TEST_CASE(promises_are_withheld_until_an_answer_arrives)
{
  PromiseFeedback feedback;
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 0_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 250_ms, 0_ms }));
  BOOST_TEST(!feedback.shouldPromise({ kLeaseId, 500_ms, 0_ms }));
  BOOST_TEST(!feedback.shouldPromise({ kLeaseId, 60_s, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 60'250_ms, 60_s }));
}

BOOST_AUTO_TEST_CASE(leases_are_tracked_separately)
{
  PromiseFeedback feedback;
  const LeaseId other{ 7, 2 };
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 0_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 250_ms, 0_ms }));
  BOOST_TEST(!feedback.shouldPromise({ kLeaseId, 500_ms, 0_ms }));
  BOOST_TEST(feedback.shouldPromise({ other, 500_ms, 0_ms }));
  feedback.removeIf([](LeaseId aLeaseId) { return aLeaseId == kLeaseId; });
  BOOST_TEST(feedback.shouldPromise({ kLeaseId, 750_ms, 0_ms }));
}

BOOST_AUTO_TEST_SUITE_END()
