#define BOOST_TEST_MODULE radishroad
#undef BOOST_TEST_NO_MAIN
#include <boost/test/unit_test.hpp>
