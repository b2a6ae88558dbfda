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

BOOST_AUTO_TEST_CASE(nothing_is_in_force_before_the_first_version)
{
  OperatorState state;
  state.setZone("z", false);
  BOOST_TEST(state.model() == nullptr);
}

BOOST_AUTO_TEST_CASE(versions_only_rise)
{
  OperatorState state;
  BOOST_TEST((state.apply(version(7)) == OperatorState::Verdict::Applied));
  BOOST_TEST((state.apply(version(7)) == OperatorState::Verdict::Outdated));
  BOOST_TEST((state.apply(version(3)) == OperatorState::Verdict::Outdated));
  BOOST_TEST(state.version() == 7U);
  BOOST_TEST((state.apply(version(12)) == OperatorState::Verdict::Applied));
}

BOOST_AUTO_TEST_CASE(zones_outlive_versions)
{
  OperatorState state;
  state.apply(version(1));
  state.setZone("z", false);
  state.apply(version(2));
  BOOST_TEST(!state.model()->mZones.at("z").mInService);
  state.setZone("z", true);
  BOOST_TEST(!state.model()->mZones.contains("z"));
}

BOOST_AUTO_TEST_SUITE_END()
