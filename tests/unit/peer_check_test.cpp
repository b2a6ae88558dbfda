#include "radishroad/daemon/peer_check.h"

#include "radishroad/config/model.h"
#include "radishroad/daemon/fleet_view.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;

BOOST_AUTO_TEST_SUITE(peer_check)

BOOST_AUTO_TEST_CASE(
  a_request_for_another_service_at_a_reused_address_is_refused)
{
  ForwardRequest request;
  request.service = "catalog";
  BOOST_TEST(
    (checkPeerRequest({}, "catalog", request, true) == NotRunReason::None));
  BOOST_TEST(
    (checkPeerRequest({}, "library", request, true) == NotRunReason::NotOwner));
}

BOOST_AUTO_TEST_CASE(a_key_withdrawn_in_transit_is_refused)
{
  FleetView view;
  view.mConfigVersion = 5;
  view.mModel = std::make_shared<config::Model>();
  ForwardRequest request;
  request.service = "catalog";
  request.workspace = "guild";
  request.caller_key = "hash";
  request.config_version = 4;
  BOOST_TEST((checkPeerRequest(view, "catalog", request, true) ==
              NotRunReason::Unauthorized));
}

// A key that had moved to another workspace was refused with 401.
BOOST_AUTO_TEST_CASE(a_key_of_another_workspace_in_transit_is_to_be_asked_again)
{
  FleetView view;
  view.mConfigVersion = 5;
  std::shared_ptr<config::Model> model = std::make_shared<config::Model>();
  model->mWorkspaceOfKey["hash"] = "other";
  view.mModel = model;
  ForwardRequest request;
  request.service = "catalog";
  request.workspace = "guild";
  request.caller_key = "hash";
  request.config_version = 4;
  BOOST_TEST((checkPeerRequest(view, "catalog", request, true) ==
              NotRunReason::ConfigUnconfirmed));
}

// A daemon that may itself be behind called a key unknown that had come back.
BOOST_AUTO_TEST_CASE(a_view_of_unknown_age_does_not_call_a_key_withdrawn)
{
  FleetView view;
  view.mConfigVersion = 5;
  view.mModel = std::make_shared<config::Model>();
  ForwardRequest request;
  request.service = "catalog";
  request.workspace = "guild";
  request.caller_key = "hash";
  request.config_version = 4;
  BOOST_TEST((checkPeerRequest(view, "catalog", request, false) ==
              NotRunReason::ConfigUnconfirmed));
}

BOOST_AUTO_TEST_SUITE_END()
