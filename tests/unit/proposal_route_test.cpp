#include "radishroad/daemon/proposal_route.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(proposal_route)

BOOST_AUTO_TEST_CASE(settled_records_are_not_written_again)
{
  ProposalRoute route;
  BOOST_TEST(route.throughCoordinator(true, 1_s));
  BOOST_TEST(!route.throughCoordinator(false, 1_s));
  route.onSent(
    { 1, 1 }, [] { BOOST_ERROR("written twice"); }, 1_s);
  route.onSettled({ 1, 1 });
  BOOST_TEST(route.takeOverdue(10_s).empty());
  BOOST_TEST(route.throughCoordinator(true, 10_s));
}

// The store refuses the coordinator's machine: its peers write by themselves.
BOOST_AUTO_TEST_CASE(silent_coordinator_is_passed_over_for_a_while)
{
  ProposalRoute route;
  int written = 0;
  route.onSent(
    { 1, 1 }, [&written] { ++written; }, 1000_ms);
  route.onSent(
    { 1, 2 }, [&written] { ++written; }, 1200_ms);
  BOOST_TEST(route.takeOverdue(1200_ms).empty());
  for (const ProposalRoute::WriteFn& write : route.takeOverdue(1500_ms)) {
    write();
  }
  BOOST_TEST(written == 1);
  BOOST_TEST(!route.throughCoordinator(true, 1500_ms));
  BOOST_TEST(route.takeOverdue(1600_ms).size() == 1U);
  BOOST_TEST(route.throughCoordinator(true, 10_s));
}

BOOST_AUTO_TEST_SUITE_END()
