// Fleet for Boost.Test: prints the logs of the processes if the test case
// failed.
#ifndef SYCAMOREBEND_TESTS_SYSTEM_TEST_FLEET_H_
#define SYCAMOREBEND_TESTS_SYSTEM_TEST_FLEET_H_

#include <boost/test/framework.hpp>
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include "system/fleet.h"

namespace sycamorebend {

class TestFleet : public Fleet {
 public:
  explicit TestFleet(const FleetOptions& options) : Fleet(options) {}
  ~TestFleet() {
    const auto& result = boost::unit_test::results_collector.results(
        boost::unit_test::framework::current_test_case().p_id);
    if (!result.passed()) {
      this->PrintLogs();
    }
  }
  TestFleet(const TestFleet&) = delete;
  TestFleet& operator=(const TestFleet&) = delete;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_SYSTEM_TEST_FLEET_H_
