#include "radishroad/policy/notice_cache.h"

#include "radishroad/generated/peer_generated.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

wire::UpstreamNoticeT
makeNotice(std::uint64_t aUpstream, double aLimitPerSecond, bool aLeaving)
{
  wire::UpstreamNoticeT notice;
  notice.upstream = aUpstream;
  notice.limit_per_second = aLimitPerSecond;
  notice.leaving = aLeaving;
  return notice;
}

}

BOOST_AUTO_TEST_SUITE(notice_cache)

BOOST_AUTO_TEST_CASE(the_newest_notice_of_a_vm_is_kept)
{
  NoticeCache cache;
  BOOST_TEST((cache.noticeFor("a", 0_ms) == nullptr));
  cache.onAnswer("a", makeNotice(7, 14.3, false), 0_ms);
  cache.onAnswer("b", makeNotice(8, -1, false), 0_ms);
  cache.onAnswer("a", makeNotice(7, 2, false), 10_ms);
  BOOST_REQUIRE((cache.noticeFor("a", 20_ms) != nullptr));
  BOOST_TEST(cache.noticeFor("a", 20_ms)->limit_per_second == 2);
  BOOST_TEST(cache.noticeFor("a", 20_ms)->upstream == 7U);
  BOOST_TEST((cache.noticeFor("b", 20_ms) == nullptr));
  cache.onAnswer("a", makeNotice(7, -1, false), 30_ms);
  BOOST_TEST((cache.noticeFor("a", 40_ms) == nullptr));
}

BOOST_AUTO_TEST_CASE(time_since_leaving_counts_from_the_first_notice)
{
  NoticeCache cache;
  cache.onAnswer("a", makeNotice(7, -1, true), 100_ms);
  cache.onAnswer("a", makeNotice(7, -1, true), 900_ms);
  BOOST_TEST(cache.noticeFor("a", 1100_ms)->leaving_ms == 1000);
  // Another process of the upstream starts anew.
  cache.onAnswer("a", makeNotice(9, -1, true), 1200_ms);
  BOOST_TEST(cache.noticeFor("a", 1300_ms)->leaving_ms == 100);
}

BOOST_AUTO_TEST_SUITE_END()
