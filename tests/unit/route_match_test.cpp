#include "radishroad/base/percent.h"
#include "radishroad/config/folder.h"
#include "radishroad/config/route_match.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::config;

namespace {

Model
makeModel()
{
  const std::vector<ConfigText> files{
    { "a.yaml",
      "services: {s: {}}\n"
      "routes:\n"
      "  page: {method: GET, path: '/c/{key}/page', service: s}\n"
      "  buy: {method: POST, path: '/c/{key}/buy', service: s}\n"
      "  find: {path: /find, key: query id, service: s}\n"
      "  by-header: {path: /h, key: header X-Key, service: s}\n" }
  };
  return parse(files).value();
}

/// Route name and key of a request, separated by a space; empty if no route
/// matches.
std::string
matchOf(std::string_view aMethod, std::string_view aTarget)
{
  const Model model = makeModel();
  const std::optional<RouteMatch> match =
    matchRoute(model, aMethod, aTarget, [](std::string_view aName) {
      return aName == "X-Key" ? std::optional<std::string_view>("hk")
                              : std::nullopt;
    });
  return match ? match->mRoute->mName + " " + match->mKey : "";
}

}

BOOST_AUTO_TEST_SUITE(route_match)

BOOST_AUTO_TEST_CASE(routes_by_method_and_path)
{
  BOOST_TEST(matchOf("GET", "/c/k/page") == "page k");
  BOOST_TEST(matchOf("POST", "/c/k/buy?x=1") == "buy k");
  BOOST_TEST(matchOf("DELETE", "/h") == "by-header hk");
  BOOST_TEST(matchOf("GET", "/c/k/buy").empty());
  BOOST_TEST(matchOf("GET", "/c/k").empty());
  BOOST_TEST(matchOf("GET", "/c//page").empty());
  BOOST_TEST(matchOf("GET", "/c/k/page/").empty());
}

BOOST_AUTO_TEST_CASE(head_falls_back_to_get)
{
  BOOST_TEST(matchOf("HEAD", "/c/k/page") == "page k");
  BOOST_TEST(matchOf("HEAD", "/c/k/buy").empty());
}

BOOST_AUTO_TEST_CASE(encodings_of_a_key_give_the_same_key)
{
  BOOST_TEST(matchOf("GET", "/c/%6B/page") == "page k");
  BOOST_TEST(matchOf("GET", "/c/a%20b/page") == "page a b");
  BOOST_TEST(matchOf("GET", "/c/a+b/page") == "page a+b");
  BOOST_TEST(matchOf("GET", "/find?id=a%20b") == "find a b");
  BOOST_TEST(matchOf("GET", "/find?id=a+b") == "find a b");
  BOOST_TEST(matchOf("GET", "/find?x=1&%69d=k") == "find k");
}

BOOST_AUTO_TEST_CASE(ambiguous_keys_match_nothing)
{
  BOOST_TEST(matchOf("GET", "/find").empty());
  BOOST_TEST(matchOf("GET", "/find?id").empty());
  BOOST_TEST(matchOf("GET", "/find?id=").empty());
  BOOST_TEST(matchOf("GET", "/find?id=a&id=b").empty());
  BOOST_TEST(matchOf("GET", "/find?id=a&%69d=b").empty());
}

BOOST_AUTO_TEST_CASE(percent_escapes)
{
  BOOST_TEST(percentDecode("a%2Fb%2f").value() == "a/b/");
  BOOST_TEST(percentDecode("").value().empty());
  BOOST_TEST(!percentDecode("%"));
  BOOST_TEST(!percentDecode("%2"));
  BOOST_TEST(!percentDecode("%-1"));
  BOOST_TEST(!percentDecode("%zz"));
}

BOOST_AUTO_TEST_SUITE_END()
