#include "radishroad/upstream/health_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(health_tracker)

BOOST_AUTO_TEST_CASE(comes_up_goes_down_and_restarts)
{
  HealthTracker health;
  BOOST_TEST(!health.healthy());
  BOOST_TEST((health.onProbeAnswer(200, "a") == HealthChange::CameUp));
  BOOST_TEST((health.onProbeAnswer(200, "a") == HealthChange::None));
  BOOST_TEST((health.onAnswer("b") == HealthChange::Restarted));
  BOOST_TEST((health.onProbeAnswer(503, "b") == HealthChange::WentDown));
  BOOST_TEST((health.onProbeAnswer(200, "b") == HealthChange::CameUp));
  BOOST_TEST((health.onRefused() == HealthChange::Lost));
  BOOST_TEST((health.onRefused() == HealthChange::None));
  BOOST_TEST(health.lost());
  BOOST_TEST((health.onProbeAnswer(200, "c") == HealthChange::Restarted));
  BOOST_TEST(health.healthy());
}

// OWNER: a refusal from before a restart was taken for the end of the process
// that had reported since, and what that was granted counted as free.
BOOST_AUTO_TEST_CASE(a_refusal_from_before_the_process_does_not_end_it)
{
  HealthTracker health;
  health.disablePeriodicProbes();
  health.onNewProcess(1000_ms);
  health.onProbeAnswer(200, "b");
  for (const Millis startedAt : { 900_ms, 1000_ms }) {
    BOOST_TEST((health.onRefused(startedAt, 1100_ms) == HealthChange::None));
    BOOST_TEST(health.healthy());
    BOOST_TEST(!health.lost());
    BOOST_TEST(health.probeDue(1100_ms));
  }
  BOOST_TEST((health.onRefused(1001_ms, 1100_ms) == HealthChange::Lost));
  BOOST_TEST(health.lost());
}

BOOST_AUTO_TEST_CASE(two_probe_timeouts_do_not_mark_the_upstream_down)
{
  HealthTracker health;
  health.onProbeAnswer(200, "a");
  BOOST_TEST((health.onProbeTimeout() == HealthChange::None));
  BOOST_TEST((health.onProbeTimeout() == HealthChange::None));
  health.onAnswer("a");
  BOOST_TEST((health.onProbeTimeout() == HealthChange::None));
  BOOST_TEST((health.onProbeTimeout() == HealthChange::None));
  BOOST_TEST((health.onProbeTimeout() == HealthChange::WentDown));
  BOOST_TEST(!health.lost());
}

BOOST_AUTO_TEST_CASE(probes_are_spaced_by_their_cost)
{
  HealthTracker health;
  health.setProbeCost(6_ms);
  health.onProbeStarted(1000_ms);
  BOOST_TEST(!health.probeDue(1299_ms));
  BOOST_TEST(health.probeDue(1300_ms));
  health.requestProbe(1001_ms);
  BOOST_TEST((health.nextProbe() == 1020_ms));
}

BOOST_AUTO_TEST_SUITE_END()
