#include "radishroad/policy/stop_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(stop_schedule)

BOOST_AUTO_TEST_CASE(all_times_count_from_the_request_to_stop)
{
  const StopSchedule schedule = StopSchedule::make(100_s, 6_s);
  BOOST_TEST((schedule.mHandoffsUntil == 103500_ms));
  BOOST_TEST((schedule.mWorkUntil == 105_s));
  BOOST_TEST((schedule.mAnswersUntil == 105250_ms));
}

// A process that is still there at the end of its time to stop is killed.
BOOST_AUTO_TEST_CASE(answers_end_before_the_process_is_killed)
{
  for (const Millis stopTime : { 0_ms, 1_ms, 500_ms, 6_s, 60_s }) {
    const StopSchedule schedule = StopSchedule::make({}, stopTime);
    BOOST_TEST((schedule.mHandoffsUntil <= schedule.mWorkUntil));
    BOOST_TEST((schedule.mWorkUntil <= schedule.mAnswersUntil));
    BOOST_TEST((schedule.mAnswersUntil <= stopTime));
  }
}

BOOST_AUTO_TEST_SUITE_END()
