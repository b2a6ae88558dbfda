#include "radishroad/base/hash.h"
#include "radishroad/base/millis.h"
#include "radishroad/base/random_id.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(base)

BOOST_AUTO_TEST_CASE(millis_arithmetic)
{
  BOOST_TEST((1_s + 250_ms).mCount == 1250);
  BOOST_TEST((1_s > 999_ms));
  BOOST_TEST((1_s / 4).mCount == 250);
}

BOOST_AUTO_TEST_CASE(monotonic_clock_never_goes_back)
{
  const Millis first = monotonicNow();
  BOOST_TEST((monotonicNow() >= first));
}

BOOST_AUTO_TEST_CASE(sha256_matches_a_known_digest)
{
  BOOST_TEST(
    sha256Hex("abc") ==
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(random_ids_differ)
{
  BOOST_TEST((makeRandomId() != makeRandomId()));
  BOOST_TEST(makeRandomId().toString().size() == 32U);
  BOOST_TEST(makeIncarnation() != 0U);
}

BOOST_AUTO_TEST_CASE(random_id_as_text_keeps_leading_zeros)
{
  const RandomId id{ 0xAB, 0xFEDCBA9876543210 };
  BOOST_TEST(id.toString() == "00000000000000abfedcba9876543210");
}

BOOST_AUTO_TEST_SUITE_END()
