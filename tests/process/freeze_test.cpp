#include "support/scenario.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// Freezes processes of a VM for longer than the lease and resumes them, under
/// traffic that also enters through that VM. Requests that it accepted before
/// and during the freeze must not run under its old grants.
void
checkFreeze(const std::string& aName,
            std::uint64_t aSeed,
            const std::string& aService,
            const std::vector<Role>& aRoles)
{
  Scenario scenario({ aName + "-" + aService, aSeed });
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm(aService);
  scenario.startTraffic({}, "ms=20");
  scenario.runTrafficFor(1_s, 2_s);
  for (const Role role : aRoles) {
    fleet.signal(affectedVm, role, SIGSTOP);
  }
  scenario.runTrafficFor(3_s, 4_s);
  for (const Role role : aRoles) {
    fleet.signal(affectedVm, role, SIGCONT);
  }
  scenario.runTrafficFor(3_s, 3_s);
  checkInvariants(scenario.stopTraffic());
}

}

BOOST_AUTO_TEST_SUITE(freeze)

BOOST_AUTO_TEST_CASE(of_daemon_catalog)
{
  checkFreeze("freeze_daemon", 21, "catalog", { Role::Daemon });
}

BOOST_AUTO_TEST_CASE(of_daemon_library)
{
  checkFreeze("freeze_daemon", 22, "library", { Role::Daemon });
}

BOOST_AUTO_TEST_CASE(of_upstream_catalog)
{
  checkFreeze("freeze_upstream", 23, "catalog", { Role::Upstream });
}

BOOST_AUTO_TEST_CASE(of_vm_library)
{
  checkFreeze("freeze_vm", 24, "library", { Role::Daemon, Role::Upstream });
}

BOOST_AUTO_TEST_SUITE_END()

}
