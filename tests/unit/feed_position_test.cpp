#include "radishroad/log/feed_position.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

OperatorEntries
makeEntries(std::uint64_t aNext, bool aIsRestored = false)
{
  OperatorEntries entries;
  entries.mNext = aNext;
  entries.mIsRestored = aIsRestored;
  return entries;
}

}

BOOST_AUTO_TEST_SUITE(feed_position)

BOOST_AUTO_TEST_CASE(reads_continue_where_the_last_one_ended)
{
  FeedPosition position;
  BOOST_TEST(position.nextRead(0_ms).mFrom == 0U);
  BOOST_TEST((position.nextRead(0_ms).mWait == FeedPosition::kWait));
  position.onRead(makeEntries(7), 0_ms);
  BOOST_TEST(position.nextRead(10_ms).mFrom == 7U);
}

// A restored log has grown to its old length: a read that waits there learns
// nothing until the next entry.
BOOST_AUTO_TEST_CASE(the_first_read_after_a_failure_does_not_wait)
{
  FeedPosition position;
  position.onRead(makeEntries(7), 0_ms);
  position.onFailed();
  BOOST_TEST((position.nextRead(10_ms).mWait == 0_ms));
  position.onRead(makeEntries(7), 10_ms);
  BOOST_TEST((position.nextRead(20_ms).mWait == FeedPosition::kWait));
}

// Entries that a copy lacks are written again; what is still missing then was
// removed.
BOOST_AUTO_TEST_CASE(everything_is_read_again_after_a_restore)
{
  FeedPosition position;
  position.onRead(makeEntries(7), 0_ms);
  position.onRead(makeEntries(103, true), 100_ms);
  const FeedPosition::Read next = position.nextRead(600_ms);
  BOOST_TEST(next.mFrom == 103U);
  BOOST_TEST((next.mWait == FeedPosition::kRereadDelay - 500_ms));
  const Millis later = 100_ms + FeedPosition::kRereadDelay;
  BOOST_TEST(position.nextRead(later).mFrom == 0U);
  position.onRead(makeEntries(104), later);
  BOOST_TEST(position.nextRead(later).mFrom == 104U);
}

BOOST_AUTO_TEST_SUITE_END()
