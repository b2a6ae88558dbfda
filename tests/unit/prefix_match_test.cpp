#include "radishroad/config/prefix_match.h"

#include "radishroad/config/model.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace radishroad::config;

namespace {

Model
modelOf(std::initializer_list<std::pair<const char*, const char*>> aRoutes)
{
  Model model;
  for (const auto& [host, prefix] : aRoutes) {
    Route route;
    route.mName = prefix;
    route.mHost = host;
    route.mPrefix = prefix;
    route.mService = "s";
    model.mRoutes.push_back(route);
  }
  return model;
}

}

BOOST_AUTO_TEST_SUITE(prefix_match)

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_matches)
{
  const Model model =
    modelOf({ { "a.x", "/p/" }, { "a.x", "/p/q/" }, { "b.x", "/p/q/r/" } });
  BOOST_TEST(matchPrefix(model, "a.x", "/p/q/r/1?k=2")->mName == "/p/q/");
  BOOST_TEST(matchPrefix(model, "A.X:80", "/p/1")->mName == "/p/");
  BOOST_TEST(matchPrefix(model, "a.x", "/p") == nullptr);
  BOOST_TEST(matchPrefix(model, "c.x", "/p/1") == nullptr);
  // The query is not part of the path.
  BOOST_TEST(matchPrefix(model, "a.x", "/?/p/") == nullptr);
}

BOOST_AUTO_TEST_CASE(requests_are_distributed_by_weight)
{
  Route route;
  route.mTargets = { { "a", 90 }, { "b", 10 } };
  std::map<std::string, int> counts;
  for (std::uint64_t pick = 0; pick < 1000; ++pick) {
    ++counts[pickService(route, pick)];
  }
  BOOST_TEST(counts["a"] == 900);
  BOOST_TEST(counts["b"] == 100);
}

BOOST_AUTO_TEST_CASE(service_without_targets_receives_all_requests)
{
  Route route;
  route.mService = "only";
  BOOST_TEST(pickService(route, 12345) == "only");
}

BOOST_AUTO_TEST_SUITE_END()
