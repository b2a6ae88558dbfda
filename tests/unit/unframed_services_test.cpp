#include "radishroad/policy/unframed_services.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(unframed_services)

BOOST_AUTO_TEST_CASE(services_are_told_by_their_answers)
{
  UnframedServices services;
  BOOST_TEST(services.mayEndConnection("a", 1_s));
  services.onAnswer("a", false, 1_s);
  BOOST_TEST(!services.mayEndConnection("a", 2_s));
  BOOST_TEST(services.mayEndConnection("b", 2_s));
  services.onAnswer("a", true, 3_s);
  services.onAnswer("a", false, 4_s);
  BOOST_TEST(services.mayEndConnection("a", 62_s));
  BOOST_TEST(!services.mayEndConnection("a", 63_s));
}

BOOST_AUTO_TEST_SUITE_END()
