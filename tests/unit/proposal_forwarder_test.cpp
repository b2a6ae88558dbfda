#include "radishroad/daemon/proposal_forwarder.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr std::array<Incarnation, 5> kSuccession{ 11, 12, 13, 14, 15 };

const ProposalForwarder::SendFn kIgnoreSend = [](Incarnation) {};

}

BOOST_AUTO_TEST_SUITE(proposal_forwarder)

BOOST_AUTO_TEST_CASE(committed_records_are_not_written_again)
{
  ProposalForwarder route;
  BOOST_TEST((route.writerFor(kSuccession, 1_s) == 11U));
  BOOST_TEST(!route.writerFor({}, 1_s).has_value());
  route.send(
    { 1, 1 },
    11,
    kIgnoreSend,
    [] { BOOST_ERROR("a committed record was written again"); },
    1_s);
  route.onCommitted({ 1, 1 });
  BOOST_TEST(route.takeOverdue(kSuccession, 10_s).empty());
  BOOST_TEST((route.writerFor(kSuccession, 10_s) == 11U));
}

// The coordinator's VM cannot reach the store: the next member writes.
BOOST_AUTO_TEST_CASE(unresponsive_writers_are_passed_over_temporarily)
{
  ProposalForwarder route;
  std::vector<Incarnation> sentTo;
  const auto send = [&sentTo](Incarnation aWriter) {
    sentTo.push_back(aWriter);
  };
  route.send(
    { 1, 1 }, 11, send, [] {}, 1000_ms);
  BOOST_TEST(route.takeOverdue(kSuccession, 1300_ms).empty());
  BOOST_TEST(route.takeOverdue(kSuccession, 1400_ms).empty());
  BOOST_TEST((sentTo == std::vector<Incarnation>{ 11, 12 }));
  BOOST_TEST((route.writerFor(kSuccession, 1400_ms) == 12U));
  BOOST_TEST(route.takeOverdue(kSuccession, 1800_ms).empty());
  BOOST_TEST((sentTo == std::vector<Incarnation>{ 11, 12, 13 }));
  BOOST_TEST(route.passedOver() == 2U);
  BOOST_TEST((route.writerFor(kSuccession, 10_s) == 11U));
}

BOOST_AUTO_TEST_CASE(record_that_no_member_commits_is_written_once)
{
  ProposalForwarder route;
  int written = 0;
  route.send(
    { 1, 1 }, 11, kIgnoreSend, [&written] { ++written; }, 1000_ms);
  for (Millis now = 1000_ms; now < 4000_ms; now = now + 20_ms) {
    for (const auto& write : route.takeOverdue(kSuccession, now)) {
      write();
    }
  }
  BOOST_TEST(written == 1);
}

// Without any other member the record is written by the first check after the
// commit time.
BOOST_AUTO_TEST_CASE(last_member_is_not_waited_for_again)
{
  ProposalForwarder route;
  constexpr std::array<Incarnation, 1> kOnly{ 11 };
  int written = 0;
  route.send(
    { 1, 0 }, 11, kIgnoreSend, [&written] { ++written; }, 1000_ms);
  for (const auto& write : route.takeOverdue(kOnly, 1400_ms)) {
    write();
  }
  BOOST_TEST(written == 1);
}

// A coordinator of 119 members was too slow after a power loss; all of them
// wrote by themselves at once, for two seconds.
BOOST_AUTO_TEST_CASE(daemons_without_a_writer_do_not_write_at_once)
{
  constexpr Incarnation kMembers = 119;
  constexpr Millis kStep{ 10 };
  std::vector<Incarnation> succession;
  for (Incarnation n = 1; n <= kMembers; ++n) {
    succession.push_back(n);
  }
  std::vector<ProposalForwarder> daemons(kMembers);
  for (ProposalForwarder& daemon : daemons) {
    daemon.send(
      makeRandomId(), 1, kIgnoreSend, [] {}, 0_ms);
  }
  std::size_t most = 0;
  std::size_t written = 0;
  std::set<std::int64_t> firstWrites;
  for (Millis now = 0_ms; now < 5000_ms; now = now + kStep) {
    std::size_t atOnce = 0;
    for (ProposalForwarder& daemon : daemons) {
      atOnce += daemon.takeOverdue(succession, now).size();
    }
    if (atOnce > 0) {
      firstWrites.insert(now.mCount);
    }
    most = std::max(most, atOnce);
    written += atOnce;
  }
  BOOST_TEST(written == kMembers);
  BOOST_TEST(most <= 8U);
  // Three members had their time before.
  BOOST_TEST(*firstWrites.begin() >= 1200);
}

// After a power loss of all VMs the writer's process starts a little later than
// this one, so that records sent before are lost.
BOOST_AUTO_TEST_CASE(record_is_resent_until_committed)
{
  ProposalForwarder route;
  int sent = 0;
  route.send(
    { 1, 1 }, 11, [&sent](Incarnation) { ++sent; }, [] {}, 1000_ms);
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
