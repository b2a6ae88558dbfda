#include "radishroad/upstream/upstream_report.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;

namespace {

UpstreamReport
report(std::int64_t aBorn, std::uint64_t aSequence)
{
  UpstreamReport made;
  made.mInstance = "i-1";
  made.mStartTime = { aBorn };
  made.mSequence = aSequence;
  made.mSlots = 9;
  return made;
}

UpstreamReport
leaving(const std::string& aInstance)
{
  UpstreamReport made;
  made.mInstance = aInstance;
  made.mKind = UpstreamReport::Kind::Leaving;
  return made;
}

}

BOOST_AUTO_TEST_SUITE(upstream_report)

BOOST_AUTO_TEST_CASE(reports_of_one_start_count_in_their_order)
{
  BOOST_TEST(isNewer(report(1000, 5), report(1000, 4)));
  BOOST_TEST(!isNewer(report(1000, 4), report(1000, 4)));
  BOOST_TEST(!isNewer(report(1000, 3), report(1000, 4)));
}

BOOST_AUTO_TEST_CASE(a_report_of_an_earlier_start_changes_nothing)
{
  // Held up on its way while the upstream has crashed and come back.
  BOOST_TEST(!isNewer(report(1000, 90), report(2000, 1)));
  BOOST_TEST(isNewer(report(2000, 1), report(1000, 90)));
  BOOST_TEST(incarnationOf(report(1000, 1)) != incarnationOf(report(2000, 1)));
}

BOOST_AUTO_TEST_CASE(a_notice_to_leave_belongs_to_the_start_that_reported)
{
  // It names no time of start: taken alone, it would be older than any report,
  // and requests would go on to an upstream that leaves.
  const UpstreamReport known = report(1000, 7);
  const UpstreamReport notice = fillFromPrevious(leaving("i-1"), known);
  BOOST_TEST(isNewer(notice, known));
  BOOST_TEST(incarnationOf(notice) == incarnationOf(known));
  BOOST_TEST(notice.mSlots == 9U);
}

BOOST_AUTO_TEST_CASE(a_notice_of_another_upstream_stays_as_it_is)
{
  const UpstreamReport known = report(1000, 7);
  BOOST_TEST(!isNewer(fillFromPrevious(leaving("i-0"), known), known));
}

BOOST_AUTO_TEST_SUITE_END()
