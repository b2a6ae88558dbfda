#include "radishroad/policy/named_limit.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr Millis kWindow{ 4000 };

/// The most requests within kWindow.
std::int64_t
mostInWindow(const std::vector<Millis>& aSent)
{
  std::int64_t most = 0;
  for (auto from = aSent.begin(); from != aSent.end(); ++from) {
    most = std::max<std::int64_t>(
      most, std::lower_bound(from, aSent.end(), *from + kWindow) - from);
  }
  return most;
}

}

BOOST_AUTO_TEST_SUITE(named_limit)

// An upstream in need names a fraction of what it is asked for, while more
// requests wait than it takes, and its daemon restarts now and then.
BOOST_AUTO_TEST_CASE(requests_stay_within_the_limit_across_restarts)
{
  for (const double perSecond : { 0.0, 0.3, 1.0, 6.6, 14.3, 110.0 }) {
    std::mt19937_64 random(17);
    NamedLimit limit;
    limit.set(perSecond, 0_ms);
    std::vector<Millis> sent;
    Millis restartAt{ 5000 };
    for (Millis now; now < 30_s; now += 1_ms) {
      if (now == restartAt) {
        limit = NamedLimit();
        limit.set(perSecond, now);
        restartAt =
          now + 2000_ms + Millis{ static_cast<std::int64_t>(random() % 4000) };
      }
      while (limit.maySend(now)) {
        limit.onSent(now);
        sent.push_back(now);
      }
    }
    const double allowed = perSecond * 4 * 1.5 + 5;
    BOOST_TEST(static_cast<double>(mostInWindow(sent)) <= allowed);
    BOOST_TEST(static_cast<double>(sent.size()) >= perSecond * 30);
  }
}

BOOST_AUTO_TEST_CASE(upstream_without_a_limit_is_not_limited)
{
  NamedLimit limit;
  for (int n = 0; n < 1000; ++n) {
    BOOST_REQUIRE(limit.maySend(1_ms));
    limit.onSent(1_ms);
  }
  limit.set(10, 1_ms);
  limit.onSent(1_ms);
  BOOST_TEST(!limit.maySend(1_ms));
  BOOST_TEST((limit.nextSend(1_ms) > 1_ms));
  limit.set(std::nullopt, 2_ms);
  BOOST_TEST(limit.maySend(2_ms));
  BOOST_TEST(limit.perSecond() == 0);
}

// An upstream that names 0 still gets a request now and then: only its
// response shows that the limit has ended.
BOOST_AUTO_TEST_CASE(limit_of_zero_lets_single_requests_through)
{
  NamedLimit limit;
  limit.set(0, 0_ms);
  limit.onSent(0_ms);
  BOOST_TEST(!limit.maySend(3000_ms));
  BOOST_TEST(limit.maySend(4000_ms));
}

BOOST_AUTO_TEST_SUITE_END()
