#define BOOST_TEST_MODULE leader_rpc_client
#include <boost/test/unit_test.hpp>
