#include "radishroad/upstream/upstream_report.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;

namespace {

UpstreamReport
report(std::int64_t aBorn, std::uint64_t aSequence)
{
  UpstreamReport result;
  result.mInstance = "i-1";
  result.mStartTime = { aBorn };
  result.mSequence = aSequence;
  result.mSlots = 9;
  return result;
}

UpstreamReport
leaving(const std::string& aInstance)
{
  UpstreamReport result;
  result.mInstance = aInstance;
  result.mKind = UpstreamReport::Kind::Leaving;
  return result;
}

}

BOOST_AUTO_TEST_SUITE(upstream_report)

BOOST_AUTO_TEST_CASE(reports_of_one_incarnation_are_ordered_by_sequence)
{
  BOOST_TEST(isNewer(report(1000, 5), report(1000, 4)));
  BOOST_TEST(!isNewer(report(1000, 4), report(1000, 4)));
  BOOST_TEST(!isNewer(report(1000, 3), report(1000, 4)));
}

BOOST_AUTO_TEST_CASE(a_report_of_an_earlier_incarnation_is_outdated)
{
  // The first report was delayed while the upstream crashed and restarted.
  BOOST_TEST(!isNewer(report(1000, 90), report(2000, 1)));
  BOOST_TEST(isNewer(report(2000, 1), report(1000, 90)));
  BOOST_TEST(incarnationOf(report(1000, 1)) != incarnationOf(report(2000, 1)));
}

BOOST_AUTO_TEST_CASE(a_leaving_report_gets_the_start_time_reported_before)
{
  // A leaving report has no start time. Without that of the previous report it
  // would count as outdated, and an upstream that leaves would still be sent
  // requests.
  const UpstreamReport known = report(1000, 7);
  const UpstreamReport notice = fillFromPrevious(leaving("i-1"), known);
  BOOST_TEST(isNewer(notice, known));
  BOOST_TEST(incarnationOf(notice) == incarnationOf(known));
  BOOST_TEST(notice.mSlots == 9U);
}

BOOST_AUTO_TEST_CASE(a_leaving_report_of_another_upstream_stays_unchanged)
{
  const UpstreamReport known = report(1000, 7);
  BOOST_TEST(!isNewer(fillFromPrevious(leaving("i-0"), known), known));
}

// Made all reports of the real upstream outdated.
BOOST_AUTO_TEST_CASE(a_report_from_the_far_future_is_outdated)
{
  const Millis now{ 1700000000000 };
  UpstreamReport odd = report(now.mCount + 90000000, 1);
  BOOST_TEST(!hasPlausibleStart(odd, now));
  BOOST_TEST(hasPlausibleStart(report(now.mCount + 80000000, 1), now));
  BOOST_TEST(hasPlausibleStart(report(0, 1), now));
  odd.mHasPlausibleStart = false;
  BOOST_TEST(!isNewer(odd, report(now.mCount, 7)));
  BOOST_TEST(isNewer(report(now.mCount, 7), odd));
  UpstreamReport next = odd;
  ++next.mSequence;
  BOOST_TEST(isNewer(next, odd));
  BOOST_TEST(isNewer(fillFromPrevious(leaving("i-1"), odd), odd));
}

// Was taken for a new life of the upstream.
BOOST_AUTO_TEST_CASE(a_report_of_another_address_is_outdated)
{
  UpstreamReport other = report(2000, 1);
  other.mIsAtOwnAddress = false;
  BOOST_TEST(!isNewer(other, report(1000, 7)));
  BOOST_TEST(isNewer(report(1000, 7), other));
}

BOOST_AUTO_TEST_SUITE_END()
