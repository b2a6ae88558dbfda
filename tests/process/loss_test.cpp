#include "support/scenario.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

constexpr Millis kMaxTakeoverTime = 2_s;

/// Kills some or all processes of a VM under traffic through the other VMs.
void
checkLoss(const std::string& aName,
          std::uint64_t aSeed,
          const std::string& aService,
          const std::vector<Role>& aRoles)
{
  Scenario scenario({ aName, aSeed });
  const std::string affectedVm = scenario.drawVm(aService);
  scenario.startTraffic({ affectedVm }, "ms=5");
  scenario.runTrafficFor(1_s, 2_s);
  for (const Role role : aRoles) {
    scenario.fleet().kill(affectedVm, role);
  }
  scenario.runTrafficFor(4_s, 4_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  checkMaxUnavailability(observations, kMaxTakeoverTime);
}

}

BOOST_AUTO_TEST_SUITE(loss)

BOOST_AUTO_TEST_CASE(of_daemon_catalog)
{
  checkLoss("loss_of_daemon_catalog", 11, "catalog", { Role::Daemon });
}

BOOST_AUTO_TEST_CASE(of_daemon_library)
{
  checkLoss("loss_of_daemon_library", 12, "library", { Role::Daemon });
}

BOOST_AUTO_TEST_CASE(of_vm_catalog)
{
  checkLoss(
    "loss_of_vm_catalog", 13, "catalog", { Role::Daemon, Role::Upstream });
}

BOOST_AUTO_TEST_CASE(of_vm_library)
{
  checkLoss(
    "loss_of_vm_library", 14, "library", { Role::Daemon, Role::Upstream });
}

BOOST_AUTO_TEST_CASE(of_upstream_catalog)
{
  checkLoss("loss_of_upstream_catalog", 15, "catalog", { Role::Upstream });
}

BOOST_AUTO_TEST_CASE(of_upstream_library)
{
  checkLoss("loss_of_upstream_library", 16, "library", { Role::Upstream });
}

BOOST_AUTO_TEST_SUITE_END()

}
