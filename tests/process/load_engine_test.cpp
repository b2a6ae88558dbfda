#include "support/fake_upstream.h"
#include "support/http_call.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace radishroad::test {

using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(load_engine)

// The client that judges answers takes one that ends in its head for a success.
BOOST_AUTO_TEST_CASE(a_response_cut_at_any_byte_is_no_success)
{
  const std::string response = FakeUpstream::ok("body").mBytes;
  std::size_t n = 0;
  FakeUpstream server([&](const FakeUpstream::Request&) {
    return FakeUpstream::Reply{ response.substr(0, n), true };
  });
  for (; n <= response.size(); ++n) {
    const LoadResult result = get("http://" + server.address() + "/", 5_s);
    BOOST_TEST((result.mStatus == 200) == (n == response.size()),
               response.substr(0, n));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}
