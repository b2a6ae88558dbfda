#include "radishroad/daemon/caller_key.h"
#include "radishroad/daemon/fleet_view.h"

#include <boost/test/unit_test.hpp>

namespace radishroad::testing {

namespace {

/// Makes a view with one key and its workspace.
FleetView
makeView(std::uint64_t aVersion,
         const std::string& aKey,
         const std::string& aWorkspace)
{
  const std::shared_ptr<config::Model> model =
    std::make_shared<config::Model>();
  model->mWorkspaceOfKey[aKey] = aWorkspace;
  FleetView view;
  view.mConfigVersion = aVersion;
  view.mModel = model;
  return view;
}

}

BOOST_AUTO_TEST_SUITE(caller_key)

BOOST_AUTO_TEST_CASE(later_configuration_withdraws_key)
{
  ForwardRequest request;
  request.workspace = "maple";
  request.caller_key = "k1";
  request.config_version = 3;
  BOOST_TEST(
    (checkKeyAgain(makeView(4, "k1", "maple"), request) == NotRunReason::None));
  BOOST_TEST((checkKeyAgain(makeView(4, "k2", "maple"), request) ==
              NotRunReason::Unauthorized));
  // The key now belongs to another workspace.
  BOOST_TEST((checkKeyAgain(makeView(4, "k1", "birch"), request) ==
              NotRunReason::ConfigUnconfirmed));
}

BOOST_AUTO_TEST_CASE(earlier_configuration_does_not_withdraw_key)
{
  ForwardRequest request;
  request.workspace = "maple";
  request.caller_key = "k1";
  request.config_version = 3;
  BOOST_TEST(
    (checkKeyAgain(makeView(2, "k2", "maple"), request) == NotRunReason::None));
  BOOST_TEST((checkKeyAgain(FleetView{}, request) == NotRunReason::None));
}

BOOST_AUTO_TEST_CASE(public_route_needs_no_key)
{
  ForwardRequest request;
  request.workspace = "maple";
  BOOST_TEST(
    (checkKeyAgain(makeView(4, "k2", "maple"), request) == NotRunReason::None));
}

BOOST_AUTO_TEST_SUITE_END()

}
