#include "radishroad/log/confirmed_position.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(confirmed_position)

BOOST_AUTO_TEST_CASE(nothing_is_confirmed_before_the_first_read)
{
  ConfirmedPosition position;
  position.onPeer(0, 10_ms);
  BOOST_TEST(!position.confirmedAt());
  position.onRelayed(7);
  BOOST_TEST(!position.confirmedAt());
  position.onRead(7, 20_ms);
  BOOST_TEST((position.confirmedAt() == 20_ms));
}

BOOST_AUTO_TEST_CASE(a_peer_at_the_same_position_confirms_it)
{
  ConfirmedPosition position;
  position.onRead(7, 20_ms);
  position.onPeer(7, 250_ms);
  BOOST_TEST((position.confirmedAt() == 250_ms));
  position.onPeer(7, 100_ms);
  BOOST_TEST((position.confirmedAt() == 250_ms));
}

// A peer that is behind has no evidence, whether or not another one is ahead.
BOOST_AUTO_TEST_CASE(peers_confirm_nothing_while_one_is_behind_or_ahead)
{
  ConfirmedPosition position;
  position.onRead(7, 20_ms);
  position.onPeer(6, 250_ms);
  BOOST_TEST((position.confirmedAt() == 20_ms));
  position.onPeer(8, 300_ms);
  position.onPeer(7, 310_ms);
  BOOST_TEST((position.confirmedAt() == 20_ms));
  position.onRelayed(8);
  BOOST_TEST((position.confirmedAt() == 20_ms));
  position.onPeer(8, 400_ms);
  BOOST_TEST((position.confirmedAt() == 400_ms));
}

BOOST_AUTO_TEST_CASE(an_older_read_confirms_nothing)
{
  ConfirmedPosition position;
  position.onRelayed(9);
  position.onRead(7, 500_ms);
  BOOST_TEST(!position.confirmedAt());
  BOOST_TEST(position.next() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
