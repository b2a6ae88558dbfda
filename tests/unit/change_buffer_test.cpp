#include "radishroad/state/change_buffer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace radishroad;

namespace {

ChangeBuffer::Change
makeChange(std::uint64_t aVersion, std::size_t aBytes = 10)
{
  return { aVersion, 1, { Bytes(aBytes) } };
}

}

BOOST_AUTO_TEST_SUITE(change_buffer)

BOOST_AUTO_TEST_CASE(changes_are_taken_in_the_order_of_versions)
{
  ChangeBuffer buffer;
  buffer.add(12, makeChange(13));
  buffer.add(11, makeChange(12));
  BOOST_TEST(!buffer.take(10).has_value());
  BOOST_TEST(buffer.take(11)->mVersion == 12U);
  BOOST_TEST(buffer.take(12)->mVersion == 13U);
  BOOST_TEST(buffer.size() == 0U);
  BOOST_TEST(buffer.bytes() == 0U);
}

// A daemon that missed one change read the state again after each later one.
BOOST_AUTO_TEST_CASE(one_read_catches_up_while_changes_go_on)
{
  constexpr std::uint64_t kChanges = 40;
  constexpr std::uint64_t kMissed = 3;
  constexpr std::uint64_t kReadTakes = 2;
  ChangeBuffer buffer;
  std::uint64_t known = 1;
  int reads = 0;
  std::uint64_t readAt = 0;
  for (std::uint64_t base = 1; base < kChanges; ++base) {
    if (base != kMissed) {
      buffer.add(base, makeChange(base + 1));
    }
    while (const auto change = buffer.take(known)) {
      known = change->mVersion;
    }
    const bool isBehind = known <= base;
    if (isBehind && readAt == 0) {
      ++reads;
      readAt = base;
    }
    if (readAt != 0 && base == readAt + kReadTakes) {
      // The read returns the version at its start.
      known = std::max(known, readAt + 1);
      readAt = 0;
    }
  }
  while (const auto change = buffer.take(known)) {
    known = change->mVersion;
  }
  BOOST_TEST(known == kChanges);
  BOOST_TEST(reads == 1);
}

BOOST_AUTO_TEST_CASE(changes_are_bounded_in_number_and_bytes)
{
  ChangeBuffer buffer;
  for (std::uint64_t base = 1; base <= 1000; ++base) {
    buffer.add(base, makeChange(base + 1));
  }
  BOOST_TEST(buffer.size() == ChangeBuffer::kMaxChanges);
  for (std::uint64_t base = 2000; base <= 2100; ++base) {
    buffer.add(base, makeChange(base + 1, 100'000));
  }
  BOOST_TEST(buffer.bytes() <= ChangeBuffer::kMaxBytes);
}

BOOST_AUTO_TEST_CASE(changes_of_older_states_are_dropped)
{
  ChangeBuffer buffer;
  buffer.add(1, makeChange(2));
  buffer.add(5, makeChange(6));
  BOOST_TEST(!buffer.take(4).has_value());
  BOOST_TEST(buffer.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
