#include "radishroad/config/operator_state.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad::config;

namespace {

VersionedModel
version(std::uint64_t aVersion)
{
  VersionedModel model;
  model.mVersion = aVersion;
  model.mModel.mServices["s"] = {};
  return model;
}

}

BOOST_AUTO_TEST_SUITE(operator_state)

BOOST_AUTO_TEST_CASE(model_is_null_before_the_first_version)
{
  OperatorState state;
  state.setZonesOutOfService({ { "z", {} } });
  BOOST_TEST(state.model() == nullptr);
}

BOOST_AUTO_TEST_CASE(older_versions_are_not_applied)
{
  OperatorState state;
  BOOST_TEST((state.apply(version(7)) == OperatorState::ApplyResult::Applied));
  BOOST_TEST((state.apply(version(7)) == OperatorState::ApplyResult::Outdated));
  BOOST_TEST((state.apply(version(3)) == OperatorState::ApplyResult::Outdated));
  BOOST_TEST(state.version() == 7U);
  BOOST_TEST((state.apply(version(12)) == OperatorState::ApplyResult::Applied));
}

BOOST_AUTO_TEST_CASE(zone_state_is_kept_across_versions)
{
  OperatorState state;
  state.apply(version(1));
  state.setZonesOutOfService({ { "z", {} } });
  state.apply(version(2));
  BOOST_TEST(!state.model()->mZones.at("z").mInService);
  state.setZonesOutOfService({});
  BOOST_TEST(!state.model()->mZones.contains("z"));
}

BOOST_AUTO_TEST_SUITE_END()
