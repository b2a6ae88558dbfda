#include "radishroad/log/wanted_version.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;

BOOST_AUTO_TEST_SUITE(wanted_version)

BOOST_AUTO_TEST_CASE(states_that_peers_have_sent_are_not_read)
{
  WantedVersion wanted;
  wanted.onRead();
  BOOST_TEST(wanted.shouldRead(3));
  wanted.want(5);
  BOOST_TEST(!wanted.shouldRead(5));
  wanted.want(6);
  BOOST_TEST(wanted.shouldRead(5));
  BOOST_TEST(wanted.shouldRead(5));
}

// After a power loss a daemon whose peers were ahead of its first read joined
// its cell 15 s late.
BOOST_AUTO_TEST_CASE(first_read_is_made_whatever_peers_have_sent)
{
  WantedVersion wanted;
  wanted.want(5);
  BOOST_TEST(wanted.shouldRead(7));
  wanted.onRead();
  wanted.want(5);
  BOOST_TEST(!wanted.shouldRead(7));
}

BOOST_AUTO_TEST_SUITE_END()
