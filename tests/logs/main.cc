#define BOOST_TEST_MODULE logs
#include <boost/test/unit_test.hpp>
