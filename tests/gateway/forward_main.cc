#define BOOST_TEST_MODULE gateway_forward
#include <boost/test/unit_test.hpp>
