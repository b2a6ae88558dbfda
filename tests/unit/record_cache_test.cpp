#include "radishroad/state/record_cache.h"
#include "radishroad/state/relay.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;

namespace {

std::vector<LogRecord>
records(std::uint64_t aFrom, std::size_t aCount)
{
  std::vector<LogRecord> list;
  for (std::size_t i = 0; i < aCount; ++i) {
    list.push_back({ aFrom + i, Millis{ 5 }, Bytes(10, 'x') });
  }
  return list;
}

}

BOOST_AUTO_TEST_SUITE(record_cache)

BOOST_AUTO_TEST_CASE(records_with_gaps_are_refused_and_duplicates_skipped)
{
  RecordCache cache;
  BOOST_TEST(cache.add(records(100, 5)));
  BOOST_TEST(!cache.add(records(106, 1)));
  BOOST_TEST(cache.add(records(103, 4)));
  BOOST_TEST(cache.nextOffset() == 107U);
  BOOST_TEST(cache.size() == 7U);
  std::vector<LogRecord> withGap = records(107, 3);
  withGap.erase(withGap.begin() + 1);
  BOOST_TEST(!cache.add(withGap));
  BOOST_TEST(cache.nextOffset() == 107U);
  cache.clear();
  BOOST_TEST(cache.add(records(300, 1)));
}

BOOST_AUTO_TEST_CASE(reads_are_limited_and_return_only_cached_records)
{
  RecordCache cache(6, 1000);
  BOOST_TEST(cache.get(0, 1000).empty());
  cache.add(records(0, 10));
  BOOST_TEST(cache.get(3, 1000).empty());
  BOOST_TEST(cache.get(10, 1000).empty());
  BOOST_TEST(cache.get(4, 1000).size() == 6U);
  BOOST_TEST(cache.get(5, 25).size() == 2U);
  BOOST_TEST(cache.get(5, 1).size() == 1U);
  BOOST_TEST(cache.get(5, 25).front().mOffset == 5U);
  RecordCache small(100, 35);
  small.add(records(0, 10));
  BOOST_TEST(small.size() == 3U);
}

BOOST_AUTO_TEST_CASE(relay_frame_preserves_records)
{
  const std::vector<LogRecord> sent = records(7, 3);
  const std::vector<LogRecord> received =
    relayedRecords(makeRelayFrame("cell-x", sent));
  BOOST_REQUIRE(received.size() == 3U);
  BOOST_TEST(received[2].mOffset == 9U);
  BOOST_TEST(received[2].mWallTime.mCount == 5);
  BOOST_CHECK((received[2].mData == sent[2].mData));
}

BOOST_AUTO_TEST_SUITE_END()
