#define BOOST_TEST_MODULE leader_calls
#include <boost/test/unit_test.hpp>
