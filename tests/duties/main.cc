#define BOOST_TEST_MODULE duties
#include <boost/test/unit_test.hpp>
