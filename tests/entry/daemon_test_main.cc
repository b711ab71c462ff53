#define BOOST_TEST_MODULE entry_daemon
#include <boost/test/unit_test.hpp>
