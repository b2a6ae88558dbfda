#include "radishroad/daemon/proposal_forwarder.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(proposal_forwarder)

BOOST_AUTO_TEST_CASE(committed_records_are_not_written_again)
{
  ProposalForwarder route;
  BOOST_TEST(route.usesCoordinator(true, 1_s));
  BOOST_TEST(!route.usesCoordinator(false, 1_s));
  route.send(
    { 1, 1 },
    [] {},
    [] { BOOST_ERROR("a committed record was written again"); },
    1_s);
  route.onCommitted({ 1, 1 });
  BOOST_TEST(route.takeOverdue(10_s).empty());
  BOOST_TEST(route.usesCoordinator(true, 10_s));
}

// The coordinator's VM cannot reach the store: its peers write directly.
BOOST_AUTO_TEST_CASE(unresponsive_coordinator_is_bypassed_temporarily)
{
  ProposalForwarder route;
  int written = 0;
  route.send(
    { 1, 1 }, [] {}, [&written] { ++written; }, 1000_ms);
  route.send(
    { 1, 2 }, [] {}, [&written] { ++written; }, 1200_ms);
  BOOST_TEST(route.takeOverdue(1200_ms).empty());
  for (const ProposalForwarder::WriteFn& write : route.takeOverdue(1500_ms)) {
    write();
  }
  BOOST_TEST(written == 1);
  BOOST_TEST(!route.usesCoordinator(true, 1500_ms));
  BOOST_TEST(route.takeOverdue(1600_ms).size() == 1U);
  BOOST_TEST(route.usesCoordinator(true, 10_s));
}

// After a power loss of all VMs the coordinator's process starts a little later
// than this one, so that records sent before are lost.
BOOST_AUTO_TEST_CASE(record_is_resent_until_committed)
{
  ProposalForwarder route;
  int sent = 0;
  route.send(
    { 1, 1 }, [&sent] { ++sent; }, [] {}, 1000_ms);
  BOOST_TEST(sent == 1);
  route.resend(1050_ms);
  BOOST_TEST(sent == 1);
  route.resend(1100_ms);
  route.resend(1120_ms);
  BOOST_TEST(sent == 2);
  route.onCommitted({ 1, 1 });
  route.resend(1300_ms);
  BOOST_TEST(sent == 2);
}

BOOST_AUTO_TEST_SUITE_END()
