#define BOOST_TEST_MODULE scaling
#include <boost/test/unit_test.hpp>
