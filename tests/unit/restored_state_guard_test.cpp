#include "radishroad/state/restored_state_guard.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

using Base = RestoredStateGuard::Base;

CellState
makeState(std::uint64_t aNextOffset, std::uint64_t aGeneration)
{
  CellState state;
  state.mNextOffset = aNextOffset;
  state.mStoreGeneration = aGeneration;
  return state;
}

}

BOOST_AUTO_TEST_SUITE(restored_state_guard)

BOOST_AUTO_TEST_CASE(a_stored_state_of_this_generation_is_the_newest)
{
  RestoredStateGuard guard;
  BOOST_TEST(
    (guard.choose(makeState(9, 1), 1, makeState(5, 1), 0_ms) == Base::Stored));
  BOOST_TEST((guard.choose(makeState(9, 2), 2, {}, 0_ms) == Base::Stored));
  BOOST_TEST((guard.choose({}, 1, {}, 0_ms) == Base::Stored));
}

// The store comes back from a copy, and daemons that go on know more.
BOOST_AUTO_TEST_CASE(a_state_in_memory_replaces_an_older_copy)
{
  RestoredStateGuard guard;
  BOOST_TEST(
    (guard.choose(makeState(5, 1), 2, makeState(9, 1), 0_ms) == Base::Known));
  BOOST_TEST((guard.choose({}, 2, makeState(9, 1), 0_ms) == Base::Known));
  BOOST_TEST(
    (guard.choose(makeState(9, 1), 2, makeState(9, 1), 0_ms) == Base::Stored));
}

// A daemon that has just started knows nothing but the copy.
BOOST_AUTO_TEST_CASE(a_copy_is_not_used_before_others_could_replace_it)
{
  RestoredStateGuard guard;
  const Millis end = RestoredStateGuard::kRewriteTime;
  BOOST_TEST((guard.choose(makeState(5, 1), 2, {}, 0_ms) == Base::Undecided));
  BOOST_TEST(
    (guard.choose(makeState(5, 1), 2, {}, end - 1_ms) == Base::Undecided));
  BOOST_TEST((guard.choose(makeState(10, 2), 2, {}, 100_ms) == Base::Stored));
  BOOST_TEST((guard.choose(makeState(5, 1), 2, {}, end) == Base::Stored));
  // The next restore starts anew.
  BOOST_TEST((guard.choose(makeState(5, 2), 3, {}, end) == Base::Undecided));
}

BOOST_AUTO_TEST_SUITE_END()
