#include "radishroad/upstream/upstream_notice.h"

#include "radishroad/upstream/exchange.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;

namespace {

std::optional<UpstreamNotice>
read(const std::string& aLimit, const std::string& aLeaving)
{
  UpstreamResponse response;
  const auto add = [&response](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      wire::HeaderT header;
      header.name = aName;
      header.value = aValue;
      response.mHeaders.push_back(std::move(header));
    }
  };
  add("limit", aLimit);
  add("leaving", aLeaving);
  return readUpstreamNotice(response, { "Limit", "Leaving" });
}

}

BOOST_AUTO_TEST_SUITE(upstream_notice)

BOOST_AUTO_TEST_CASE(limit_and_leaving_are_read)
{
  BOOST_TEST((read("", "") == UpstreamNotice{}));
  BOOST_TEST((read("14.3", "") == UpstreamNotice{ 14.3, false }));
  BOOST_TEST((read("0", "1") == UpstreamNotice{ 0, true }));
}

BOOST_AUTO_TEST_CASE(malformed_headers_are_not_taken_for_no_limit)
{
  for (const char* limit : { "x", "1,2", "-1", "inf", "nan", "2 3" }) {
    BOOST_TEST(!read(limit, "").has_value(), limit);
  }
  BOOST_TEST(!read("", "yes").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
